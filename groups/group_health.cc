// A bound standby starts to load for a lost member at once, while the group's other members keep
// their composition until the standby is ready. If the lost member returns first (after a pause),
// the group is complete again at that moment and the standby is released; otherwise the switch
// needs no further load. Hence nothing is gained by delaying the start of the load.
#include "groups/group_health.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

place_health assess_place(const group_assignment& group, std::size_t rank, const vm_table& vms,
                          time_point now)
{
    place_health place;
    const vm_view* view = vms.find(group.members[rank].vm);
    if (view == nullptr) {
        place.lost = true;
        return place;
    }
    place.ready =
        vms.fresh(*view, now) && ready_in_place(*view->report, group, rank, group.members);
    place.lost = vms.condition(*view, now) != vm_condition::healthy;
    place.lost_since = view->unresponsive_since;
    return place;
}

/// A standby that already loads for this place, possibly ordered by an earlier manager.
const member* already_loading(const group_assignment& group, std::size_t rank, const vm_table& vms,
                              time_point now)
{
    const auto at =
        std::find_if(group.standbys.begin(), group.standbys.end(), [&](const member& standby) {
            const vm_view* view = vms.find(standby.vm);
            return view != nullptr && vms.condition(*view, now) == vm_condition::healthy &&
                   has_weights(*view->report, group, rank);
        });
    return at == group.standbys.end() ? nullptr : &*at;
}

bool in_this_group(const vm_view& view, const group_assignment& group)
{
    return view.report && view.report->group == group.group;
}

/// Whether a member of the record already reports a composition with the VM at `address`, as after
/// a switch made while the platform was unreachable. Switching back would interrupt the group
/// again.
bool listed_by_members(const group_assignment& group, const std::string& address,
                       const vm_table& vms, time_point now)
{
    return std::any_of(group.members.begin(), group.members.end(), [&](const member& one) {
        const vm_view* view = vms.find(one.vm);
        return view != nullptr && vms.fresh(*view, now) && in_this_group(*view, group) &&
               std::find(view->report->members.begin(), view->report->members.end(), address) !=
                   view->report->members.end();
    });
}

const member* find_standby(const group_assignment& group, const vm_id& vm)
{
    const auto at = std::find_if(group.standbys.begin(), group.standbys.end(),
                                 [&](const member& standby) { return standby.vm == vm; });
    return at == group.standbys.end() ? nullptr : &*at;
}

} // namespace

group_health substitutes::assess(const group_assignment& group, const vm_table& vms, time_point now)
{
    group_health health;
    for (std::size_t rank = 0; rank < group.members.size(); ++rank)
        health.places.push_back(assess_place(group, rank, vms, now));
    health.complete = std::all_of(health.places.begin(), health.places.end(),
                                  [](const place_health& place) { return place.ready; });
    choose(group, vms, health, now);

    health.target = group.members;
    for (std::size_t rank = 0; rank < health.places.size(); ++rank) {
        const place_health& place = health.places[rank];
        health.lost += place.lost ? 1 : 0;
        health.uncovered += place.lost && !place.substitute ? 1 : 0;
        if (place.substitute)
            health.target[rank] = *place.substitute;
    }
    bool all_ready = health.target != group.members;
    bool all_agree = all_ready;
    for (std::size_t rank = 0; rank < health.places.size(); ++rank) {
        place_health& place = health.places[rank];
        const vm_view* view = vms.find(health.target[rank].vm);
        const bool agrees = view != nullptr && vms.fresh(*view, now) &&
                            ready_in_place(*view->report, group, rank, health.target);
        all_agree = all_agree && agrees;
        place.substitute_ready = place.substitute && agrees;
        if (place.substitute || place.lost)
            all_ready = all_ready && place.substitute_ready;
    }
    health.can_switch = all_ready;
    health.switched = all_agree;

    const vm_view* leader = group.members.empty() ? nullptr : vms.find(health.target.front().vm);
    health.idle = leader != nullptr && vms.fresh(*leader, now) && leader->report->running == 0 &&
                  leader->report->waiting == 0;
    return health;
}

void substitutes::choose(const group_assignment& group, const vm_table& vms, group_health& health,
                         time_point now)
{
    by_rank& chosen = m_chosen[group.group];
    // Keep the loads in progress first, so that no standby is chosen for two places.
    for (std::size_t rank = 0; rank < health.places.size(); ++rank) {
        const place_health& place = health.places[rank];
        if (const member* loading = already_loading(group, rank, vms, now);
            loading != nullptr && !chosen.contains(rank))
            chosen[rank] = loading->vm;
        const auto at = chosen.find(rank);
        if (at == chosen.end())
            continue;
        const member* standby = find_standby(group, at->second);
        const vm_view* view = standby == nullptr ? nullptr : vms.find(standby->vm);
        const bool usable = view != nullptr && vms.condition(*view, now) == vm_condition::healthy;
        const bool under_way = usable && in_this_group(*view, group);
        const bool returned = !place.lost && (place.ready || !under_way);
        if (!usable || (returned && !listed_by_members(group, standby->address, vms, now)))
            chosen.erase(at);
    }
    for (std::size_t rank = 0; rank < health.places.size(); ++rank) {
        if (!health.places[rank].lost || chosen.contains(rank))
            continue;
        for (const member& standby : group.standbys) {
            const vm_view* view = vms.find(standby.vm);
            const bool already_chosen =
                std::any_of(chosen.begin(), chosen.end(),
                            [&](const auto& entry) { return entry.second == standby.vm; });
            if (already_chosen || view == nullptr || !vms.assignable(*view, now))
                continue;
            chosen[rank] = standby.vm;
            break;
        }
    }
    for (const auto& [rank, vm] : chosen) {
        if (rank < health.places.size())
            health.places[rank].substitute = *find_standby(group, vm);
    }
}

void substitutes::prune(const domain_record& record)
{
    std::erase_if(m_chosen, [&](const auto& entry) {
        return std::none_of(record.groups.begin(), record.groups.end(),
                            [&](const auto& group) { return group.group == entry.first; });
    });
}

bool substitutes::chosen(const group_id& group, const vm_id& vm) const
{
    const auto at = m_chosen.find(group);
    return at != m_chosen.end() &&
           std::any_of(at->second.begin(), at->second.end(),
                       [&](const auto& entry) { return entry.second == vm; });
}

} // namespace jaynotch::groups
