// Release before reuse: a VM that reports a group other than the record's is released first and
// must then stay unassigned for an order horizon before it is assigned again. Within its own group
// it may get new orders at any time.
//
// Weights are loaded group by group, fewest remaining loads first (shortest remaining time first
// minimises the sum of completion times on one shared server, Schrage 1968). Sharing the weight
// store's rate evenly would complete all groups only at the very end.
#include "groups/orders.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

/// The ranks of a group whose VMs need an order.
struct group_work {
    const group_assignment* group = nullptr;
    const group_health* health = nullptr;
    std::vector<member> members;
    std::vector<std::size_t> to_order;
    std::size_t loads = 0; ///< how many of `to_order` have to load weights
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

/// Whether another domain's record names `vm`. Then the VM list is wrong about the VM's domain, and
/// the domain whose record names it keeps it.
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

/// The ranks of `group` whose VMs do not yet report the membership that they should have.
group_work work_of(const group_assignment& group, const group_health& health, vm_table& vms,
                   const order_input& in)
{
    group_work work{&group, &health, group.members, {}, 0};
    // Survivors get the new composition only once every replacement is loaded. While the platform
    // answers, the record is changed first, so `members` is already the new composition by then.
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
    std::vector<group_work> pending;
    for (const group_assignment& group : in.record.groups) {
        const group_health& health = in.health_by_group.at(group.group);
        for (const member& one : group.members)
            named[one.vm] = group.group;
        for (const place_health& place : health.places) {
            if (place.substitute)
                named[place.substitute->vm] = group.group;
        }
        if (!group.retiring)
            pending.push_back(work_of(group, health, vms, in));
    }
    for (const auto& [vm, group] : named) {
        const auto [at, added] = m_bound.try_emplace(vm, group, in.now);
        if (!added && at->second.first != group)
            at->second = {group, in.now};
    }
    std::erase_if(m_bound, [&](const auto& entry) { return !named.contains(entry.first); });

    // The record takes precedence over the reports: release VMs that it does not name.
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

    std::stable_sort(pending.begin(), pending.end(),
                     [](const group_work& a, const group_work& b) { return a.loads < b.loads; });
    std::size_t loads = loading_now(vms, in.now);
    for (const group_work& work : pending) {
        // A group starts loading with all its members or not at all. The first one always may,
        // even if it exceeds `loads_at_once`.
        const bool within_limit =
            work.loads == 0 || loads == 0 || loads + work.loads <= in.settings.loads_at_once;
        const bool started = work.loads < work.group->members.size() && work.health->lost == 0 &&
                             !work.health->complete;
        if (!within_limit && !started)
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
        return; // it has to be released first
    const auto bound = m_bound.find(view.id.vm);
    // Once the record has named the VM for an order horizon, no older order can take effect on it.
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
    // The engine accepts orders but does not execute them, or fails repeatedly.
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
