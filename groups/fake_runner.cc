#include "groups/fake_registry.h"

#include <algorithm>

// What runners do with orders and with time. A join takes as long as the weights are far away; what
// a runner must never be ordered to do is told to the registry's account (fail).

namespace jaynotch::groups {

namespace {

constexpr std::int64_t early_loads = 10; ///< times faster, before the first request

duration load_time(const std::string& model, bool traffic)
{
    const duration load = model == "big" ? 16s : 12s;
    return traffic ? load : load / early_loads;
}

} // namespace

void fake_registry::progress(fake_runner& at)
{
    if (at.listed && !m_store_down && m_now >= at.unlist_at)
        unlist(at);
    if (!at.alive)
        return;
    if (m_now >= at.list_at) {
        at.list_at = time_point::max();
        at.unlist_at = time_point::max();
        at.listed = true;
        publish(at);
    }
    if (m_now >= at.staged_at) {
        at.staged_at = time_point::max();
        at.row.staged = {at.staging};
        publish(at);
    }
    if (m_now >= at.joined_at) {
        at.joined_at = time_point::max();
        at.row.staged = {at.joining_model};
        at.row.model = at.joining_model;
        at.warm = at.joining_model;
        at.row.group->phase = member_phase::ready;
        at.was_ready.insert({at.row.group->group, at.row.group->epoch});
        publish(at);
    }
    if (m_now >= at.opens_at) {
        at.opens_at = time_point::max();
        at.row.group->phase = member_phase::open;
        publish(at);
    }
}

order_reply fake_registry::obey(fake_runner& at, const send_order& order)
{
    if (order.fence.value() < at.fence)
        return order_reply::outdated;
    at.fence = order.fence.value();
    if (const auto* wanted = std::get_if<join_group>(&order.order))
        return join(at, *wanted);
    if (const auto* wanted = std::get_if<open_group>(&order.order))
        return open(at, *wanted);
    if (const auto* wanted = std::get_if<stage_model>(&order.order)) {
        const bool under_way = at.staging == wanted->model && at.staged_at != time_point::max();
        if (under_way)
            return order_reply::begun;
        at.staging = wanted->model;
        at.staged_at = m_now + load_time(wanted->model, m_traffic);
        ++at.begun_orders;
        note_report(at, m_now);
        return order_reply::begun;
    }
    const auto named = [&](const group_id& group, std::int64_t epoch) {
        return at.row.group && at.row.group->group == group && at.row.group->epoch == epoch;
    };
    if (const auto* wanted = std::get_if<leave_group>(&order.order)) {
        if (!named(wanted->group, wanted->epoch))
            return order_reply::holds;
        at.row.group.reset();
        at.row.model.clear();
        at.joined_at = time_point::max();
        at.opens_at = time_point::max();
        begin(at);
        return order_reply::holds; // it is done already, though it counts
    }
    const auto& closed = std::get<close_group>(order.order);
    if (!named(closed.group, closed.epoch))
        return order_reply::misfit;
    at.row.group->phase = member_phase::ready; // it has nothing to finish here
    begin(at);
    return order_reply::begun;
}

/// Counts an order that changes something, and tells of the change.
void fake_registry::begin(fake_runner& at)
{
    ++at.begun_orders;
    publish(at);
}

order_reply fake_registry::join(fake_runner& at, const join_group& order)
{
    if (order.epoch < at.epoch)
        return order_reply::outdated;
    if (order.expected_order_count && *order.expected_order_count != at.begun_orders)
        return order_reply::misfit;
    const bool same =
        at.row.group && at.row.group->group == order.group && at.row.group->epoch == order.epoch;
    if (same)
        return order_reply::holds;
    if (at.row.group) {
        for (const auto& [id, other] : m_runners) {
            const bool head = other.alive && other.row.group && other.row.group->rank == 0 &&
                              other.row.group->group == at.row.group->group &&
                              other.row.group->epoch == at.row.group->epoch;
            if (head && other.row.group->phase == member_phase::open)
                fail(at.row.id.value() + " joined " + order.group.value() + " while " + id +
                     " served its group");
        }
    }
    const auto place = std::find(order.members.begin(), order.members.end(), at.row.id);
    at.epoch = order.epoch;
    at.list = order.members;
    at.row.group = membership{order.group, order.epoch,
                              static_cast<std::uint32_t>(place - order.members.begin()),
                              member_phase::joining};
    at.row.model.clear();
    at.joining_model = order.model;
    at.opens_at = time_point::max();
    duration takes = load_time(order.model, m_traffic);
    const bool staged =
        std::find(at.row.staged.begin(), at.row.staged.end(), order.model) != at.row.staged.end();
    if (staged)
        takes = 1'100ms;
    if (at.warm == order.model)
        takes = 200ms;
    at.joined_at = m_now + takes;
    begin(at);
    return order_reply::begun;
}

order_reply fake_registry::open(fake_runner& at, const open_group& order)
{
    const bool head = at.row.group && at.row.group->group == order.group &&
                      at.row.group->epoch == order.epoch && at.row.group->rank == 0;
    if (head && (at.row.group->phase == member_phase::open || at.opens_at != time_point::max()))
        return order_reply::holds;
    if (!head || at.row.group->phase != member_phase::ready)
        return order_reply::misfit;
    const std::size_t size = at.row.model == "big" ? 4 : 3;
    if (at.list.size() != size)
        fail(order.group.value() + " opened with " + std::to_string(at.list.size()) + " members");
    for (const vm_id& member : at.list) {
        const fake_runner* other = find(member.value());
        // One that was ready and is lost since excuses the opening.
        const bool was_ready =
            other == nullptr || other->was_ready.contains({order.group, order.epoch});
        if (!was_ready && other->alive)
            fail(order.group.value() + " opened before " + member.value() + " was ready");
    }
    at.opens_at = m_now + 300ms;
    ++at.begun_orders;
    note_report(at, m_now);
    return order_reply::begun;
}

} // namespace jaynotch::groups
