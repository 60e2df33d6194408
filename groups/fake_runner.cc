// The runners of fake_registry: how they execute orders and advance with time. The duration of a
// join depends on where the weights are: in memory, staged on the host, or remote. An order that
// would violate an invariant is reported by record_violation.
#include "groups/fake_registry.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

constexpr std::int64_t pre_traffic_load_speedup = 10; ///< of loads before the first request

duration load_time(const std::string& model, bool traffic)
{
    const duration load = model == "big" ? 16s : 12s;
    return traffic ? load : load / pre_traffic_load_speedup;
}

} // namespace

void fake_registry::advance(fake_runner& target)
{
    if (target.listed && !m_store_down && m_now >= target.unlist_at)
        unlist(target);
    if (!target.alive || target.paused)
        return;
    if (m_now >= target.list_at) {
        target.list_at = time_point::max();
        target.unlist_at = time_point::max();
        target.listed = true;
        publish(target);
    }
    if (m_now >= target.staged_at) {
        target.staged_at = time_point::max();
        target.row.staged = {target.staging};
        publish(target);
    }
    if (m_now >= target.joined_at) {
        target.joined_at = time_point::max();
        target.row.staged = {target.joining_model};
        target.row.model = target.joining_model;
        target.loaded_model = target.joining_model;
        target.row.group->phase = member_phase::ready;
        target.was_ready.insert({target.row.group->group, target.row.group->epoch});
        publish(target);
    }
    if (m_now >= target.opens_at) {
        target.opens_at = time_point::max();
        target.row.group->phase = member_phase::open;
        publish(target);
    }
}

order_reply fake_registry::execute(fake_runner& target, const send_order& order)
{
    if (order.fence.value() < target.fence)
        return order_reply::outdated;
    target.fence = order.fence.value();
    if (const auto* wanted = std::get_if<join_group>(&order.order))
        return join(target, *wanted);
    if (const auto* wanted = std::get_if<open_group>(&order.order))
        return open(target, *wanted);
    if (const auto* wanted = std::get_if<stage_model>(&order.order)) {
        const bool under_way =
            target.staging == wanted->model && target.staged_at != time_point::max();
        if (under_way)
            return order_reply::begun;
        target.staging = wanted->model;
        target.staged_at = m_now + load_time(wanted->model, m_traffic);
        ++target.begun_orders;
        note_report(target, m_now);
        return order_reply::begun;
    }
    const auto named = [&](const group_id& group, std::int64_t epoch) {
        return target.row.group && target.row.group->group == group &&
               target.row.group->epoch == epoch;
    };
    if (const auto* wanted = std::get_if<leave_group>(&order.order)) {
        if (!named(wanted->group, wanted->epoch))
            return order_reply::holds;
        target.row.group.reset();
        target.row.model.clear();
        target.joined_at = time_point::max();
        target.opens_at = time_point::max();
        count_order(target);
        return order_reply::holds; // nothing remains to be done, but the order counts
    }
    const auto& closed = std::get<close_group>(order.order);
    if (!named(closed.group, closed.epoch))
        return order_reply::misfit;
    target.row.group->phase = member_phase::ready; // there are no requests in flight
    count_order(target);
    return order_reply::begun;
}

/// Counts an order that changes the runner's state, and publishes the new state.
void fake_registry::count_order(fake_runner& target)
{
    ++target.begun_orders;
    publish(target);
}

order_reply fake_registry::join(fake_runner& target, const join_group& order)
{
    if (order.epoch < target.epoch)
        return order_reply::outdated;
    if (order.expected_order_count && *order.expected_order_count != target.begun_orders)
        return order_reply::misfit;
    const bool same = target.row.group && target.row.group->group == order.group &&
                      target.row.group->epoch == order.epoch;
    if (same)
        return order_reply::holds;
    if (target.row.group) {
        for (const auto& [id, other] : m_runners) {
            const bool head = other.alive && other.row.group && other.row.group->rank == 0 &&
                              other.row.group->group == target.row.group->group &&
                              other.row.group->epoch == target.row.group->epoch;
            if (head && other.row.group->phase == member_phase::open)
                record_violation(target.row.id.value() + " joined " + order.group.value() +
                                 " while " + id + " served its group");
        }
    }
    const auto place = std::find(order.members.begin(), order.members.end(), target.row.id);
    target.epoch = order.epoch;
    target.members = order.members;
    target.row.group = membership{order.group, order.epoch,
                                  static_cast<std::uint32_t>(place - order.members.begin()),
                                  member_phase::joining};
    target.row.model.clear();
    target.joining_model = order.model;
    target.opens_at = time_point::max();
    duration takes = load_time(order.model, m_traffic);
    const bool staged = std::find(target.row.staged.begin(), target.row.staged.end(),
                                  order.model) != target.row.staged.end();
    if (staged)
        takes = 1'100ms;
    if (target.loaded_model == order.model)
        takes = 200ms;
    target.joined_at = m_now + takes;
    count_order(target);
    return order_reply::begun;
}

order_reply fake_registry::open(fake_runner& target, const open_group& order)
{
    const bool head = target.row.group && target.row.group->group == order.group &&
                      target.row.group->epoch == order.epoch && target.row.group->rank == 0;
    if (head &&
        (target.row.group->phase == member_phase::open || target.opens_at != time_point::max()))
        return order_reply::holds;
    if (!head || target.row.group->phase != member_phase::ready)
        return order_reply::misfit;
    const std::size_t size = target.row.model == "big" ? 4 : 3;
    if (target.members.size() != size)
        record_violation(order.group.value() + " opened with " +
                         std::to_string(target.members.size()) + " members");
    for (const vm_id& member : target.members) {
        const fake_runner* other = find(member.value());
        // Only live members are checked, as a member may be lost after it has been ready.
        const bool was_ready =
            other == nullptr || other->was_ready.contains({order.group, order.epoch});
        if (!was_ready && other->alive)
            record_violation(order.group.value() + " opened before " + member.value() +
                             " was ready");
    }
    target.opens_at = m_now + 300ms;
    ++target.begun_orders;
    note_report(target, m_now);
    return order_reply::begun;
}

} // namespace jaynotch::groups
