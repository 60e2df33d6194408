// Release before reuse: a VM that reports another group than the record's is released first and
// must then be quiet for an order horizon before it is assigned. Within its own group it may be
// ordered anew at any time.
//
// Loads go group by group, the one with the fewest loads left first (shortest remaining time first
// minimises the sum of the times to completion on one shared server, Schrage 1968): sharing the
// weight store's rate evenly would make all groups whole at the very end, together.
#include "groups/orders.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

/// The places of a group that must be loaded or told anew.
struct group_work {
    const group_assignment* group = nullptr;
    const group_health* health = nullptr;
    std::vector<member> members;
    std::vector<std::size_t> to_order;
    std::size_t loads = 0; ///< of them, those that need weights
};

bool loaded(const vm_view& view, const group_assignment& group, std::size_t rank)
{
    return view.report && has_weights(*view.report, group, rank);
}

std::size_t loading_now(const vm_table& vms, time_point now)
{
    return static_cast<std::size_t>(
        std::count_if(vms.all().begin(), vms.all().end(), [&](const auto& entry) {
            return vms.fresh(entry.second, now) &&
                   entry.second.report->state == member_state::loading;
        }));
}

/// Whether another domain's record names `vm`: the list is wrong about where the VM is, and the
/// domain that holds it goes on holding it.
bool in_other_record(const vm_id& vm, const order_input& in)
{
    const auto names = [&](const member& one) { return one.vm == vm; };
    return std::any_of(in.records.begin(), in.records.end(), [&](const auto& entry) {
        return entry.first != in.record.domain &&
               std::any_of(
                   entry.second.groups.begin(), entry.second.groups.end(),
                   [&](const group_assignment& group) {
                       return std::any_of(group.members.begin(), group.members.end(), names) ||
                              std::any_of(group.standbys.begin(), group.standbys.end(), names);
                   });
    });
}

/// Which places of `group` differ from what they should be.
group_work work_of(const group_assignment& group, const group_health& health, vm_table& vms,
                   const order_input& in)
{
    group_work work{&group, &health, group.members, {}, 0};
    // Survivors are only told of the new composition once every replacement is loaded; while the
    // platform answers, the record is changed first and `members` are the new ones by then.
    const bool switching = in.platform_unreachable && (health.can_switch || health.switched);
    if (switching)
        work.members = health.target;
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
        const bool substitute = health.places[rank].substitute.has_value();
        const std::vector<member>& members = substitute ? health.target : work.members;
        const member& one = members[rank];
        const vm_view* view = vms.find(one.vm);
        if (view == nullptr || vms.condition(*view, in.now) != vm_condition::healthy)
            continue;
        if (holds_place(*view->report, group, rank, members))
            continue;
        work.to_order.push_back(rank);
        work.loads += loaded(*view, group, rank) ? 0 : 1;
    }
    return work;
}

} // namespace

std::vector<manager_command> order_book::due(const order_input& in, vm_table& vms)
{
    std::vector<manager_command> out;
    std::map<vm_id, group_id> named;
    std::vector<group_work> works;
    for (const group_assignment& group : in.record.groups) {
        const group_health& health = in.health_by_group.at(group.group);
        for (const member& one : group.members)
            named[one.vm] = group.group;
        for (const place_health& place : health.places) {
            if (place.substitute)
                named[place.substitute->vm] = group.group;
        }
        if (!group.retiring)
            works.push_back(work_of(group, health, vms, in));
    }
    for (const auto& [vm, group] : named) {
        const auto [at, added] = m_bound.try_emplace(vm, group, in.now);
        if (!added && at->second.first != group)
            at->second = {group, in.now};
    }
    std::erase_if(m_bound, [&](const auto& entry) { return !named.contains(entry.first); });

    // Whatever an engine believes, the record goes before it: let go what isn't named there.
    for (auto& [vm, view] : vms.all()) {
        if (in.platform_unreachable || !vms.fresh(view, in.now) ||
            view.report->group.value().empty())
            continue;
        const auto at = named.find(vm);
        if (at == named.end() && (view.ambiguous || in_other_record(vm, in)))
            continue;
        if (at == named.end() || at->second != view.report->group)
            release(in, view, out);
    }

    std::stable_sort(works.begin(), works.end(),
                     [](const group_work& a, const group_work& b) { return a.loads < b.loads; });
    std::size_t loads = loading_now(vms, in.now);
    for (const group_work& work : works) {
        // A group is let in whole or not at all; the first always, whatever its size.
        const bool room =
            work.loads == 0 || loads == 0 || loads + work.loads <= in.settings.loads_at_once;
        const bool started = work.loads < work.group->members.size() && work.health->lost == 0 &&
                             !work.health->complete;
        if (!room && !started)
            continue;
        loads += work.loads;
        for (const std::size_t rank : work.to_order) {
            const bool substitute = work.health->places[rank].substitute.has_value();
            assign(in, vms, *work.group, substitute ? work.health->target : work.members, rank,
                   out);
        }
    }
    return out;
}

void order_book::assign(const order_input& in, vm_table& vms, const group_assignment& group,
                        const std::vector<member>& members, std::size_t rank,
                        std::vector<manager_command>& out)
{
    vm_view& view = *vms.find(members[rank].vm);
    const group_id& reported = view.report->group;
    if (!reported.value().empty() && reported != group.group)
        return; // released first
    const auto bound = m_bound.find(view.id.vm);
    const bool bound_long_enough =
        bound != m_bound.end() && in.now - bound->second.second >= in.settings.order_horizon;
    if (reported.value().empty() && !bound_long_enough && !vms.assignable(view, in.now))
        return;

    order_assign order;
    order.vm = view.id.vm;
    order.address = view.id.address;
    order.not_after = in.not_after;
    order.fencing = in.record.revision;
    order.group = group.group;
    order.rank = static_cast<std::uint32_t>(rank);
    for (const member& one : members)
        order.members.push_back(one.address);
    order.model = group.model;
    order.version = group.version;
    order.adapters = group.adapters;

    std::uint64_t content = hash64(group.group.value(), rank + 1);
    for (const std::string& address : order.members)
        content = hash64(address, content);
    content = hash64(group.version, content);
    for (const std::string& adapter : group.adapters)
        content = hash64(adapter, content);
    if (!may_send(in, vms, view, content))
        return;
    order.order = order_name();
    out.emplace_back(std::move(order));
}

void order_book::release(const order_input& in, vm_view& view, std::vector<manager_command>& out)
{
    if (view.report->state == member_state::releasing)
        return;
    const std::uint64_t content = hash64(view.report->group.value());
    if (view.order.content == content && in.now - view.order.at < in.settings.order_retry)
        return;
    view.order = {content, in.now, 0};
    order_release order;
    order.order = order_name();
    order.vm = view.id.vm;
    order.address = view.id.address;
    order.not_after = in.not_after;
    order.fencing = in.record.revision;
    order.group = view.report->group;
    out.emplace_back(std::move(order));
}

bool order_book::may_send(const order_input& in, vm_table& vms, vm_view& view,
                          std::uint64_t content)
{
    if (view.order.content != content) {
        view.order = {content, in.now, 1};
        return true;
    }
    if (in.now - view.order.at < in.settings.order_retry)
        return false;
    // An engine that takes an order and does nothing, or fails at it again and again.
    if (view.order.attempts >= in.settings.order_attempts) {
        vms.quarantine(view.id.vm, in.now);
        return false;
    }
    view.order.at = in.now;
    ++view.order.attempts;
    return true;
}

std::string order_book::order_name()
{
    ++m_sent;
    return m_name + "/" + std::to_string(m_sent);
}

} // namespace jaynotch::groups
