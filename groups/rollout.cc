// Rollout of new models, versions, adapters and group sizes. A group never mixes two of them: its
// record names one, and a ticket requires that every member reports that one.
//
// With enough free VMs a new group is built while the old one serves, and replaces it once it is
// complete. Otherwise one group at a time is drained and loads the new version on its own VMs,
// while the pool's other groups serve the old one; domains do so one after another, in the order of
// their names.
//
// A group with a member that is about to leave is replaced in the same way: with enough free VMs a
// complete new group is built first, so that no request has to wait for a switch. A standby is
// loaded for the member's place as well, in case the VM leaves before the new group is complete.
#include "groups/plan_pass.h"

namespace jaynotch::groups {

namespace {

bool outdated_for(const group_assignment& group, const pool& row)
{
    return group.pool == row.name && !group.retiring &&
           (group.model != row.model || group.version != row.version ||
            group.adapters != row.adapters || group.members.size() != row.replica_vms);
}

/// Whether a domain before this one, in the order of names, still has outdated groups.
bool earlier_domain_outdated(const record_map& records, const fabric_domain_id& self,
                             const pool& row)
{
    return std::any_of(records.begin(), records.end(), [&](const auto& entry) {
        return entry.first < self &&
               std::any_of(entry.second.groups.begin(), entry.second.groups.end(),
                           [&](const auto& group) { return outdated_for(group, row); });
    });
}

} // namespace

bool planner::pass::being_replaced(const group_id& group) const
{
    return std::any_of(next.groups.begin(), next.groups.end(),
                       [&](const auto& one) { return one.replaces == group; });
}

void planner::pass::build_replacements_for_leaving()
{
    std::vector<group_id> leaving;
    for (const group_assignment& group : next.groups) {
        const group_health& seen = health(group);
        const bool planned = seen.complete && seen.lost > 0 && !seen.can_switch;
        if (planned && !group.draining && !outdated(group) && group.replaces.value().empty() &&
            !being_replaced(group.group))
            leaving.push_back(group.group);
    }
    for (const group_id& id : leaving) {
        const pool* row = pool_of(*find(id));
        if (row != nullptr && spares().size() + unneeded_standbys() >= row->replica_vms)
            add_group(*row, id);
    }
}

void planner::pass::roll_out()
{
    for (group_assignment& group : next.groups) {
        const group_assignment* old = find(group.replaces);
        const bool ready = old != nullptr && complete(group);
        // A group that is complete by the manager's reports may not have a ticket yet: the watchers
        // need another probe.
        if (held_for("ready", group.group, ready) < in.settings.report_horizon || !ready)
            continue;
        // The new group takes over, and the old one finishes its requests in flight.
        start_drain(*find(group.replaces), true, "replaced by a new group");
        group.replaces = group_id{};
    }
    for (const pool* row : pools_by_rank(in.tables)) {
        std::vector<group_id> old;
        bool changing = false;
        for (const group_assignment& group : next.groups) {
            if (group.pool != row->name || group.retiring)
                continue;
            changing = changing || !group.replaces.value().empty() ||
                       (!outdated(group) && !complete(group));
            if (outdated(group))
                old.push_back(group.group);
        }
        if (old.empty())
            continue;
        for (const group_id& id : old) {
            group_assignment& group = *find(id);
            if (!group.draining || !drained(group))
                continue;
            if (group.members.size() != row->replica_vms) {
                erase(id, "its size differs from the pool's");
                continue;
            }
            group.model = row->model;
            group.version = row->version;
            group.adapters = row->adapters;
            group.draining = false;
            add_notice("group_changes_version", id, row->version);
        }
        std::erase_if(
            old, [&](const group_id& id) { return find(id) == nullptr || !outdated(*find(id)); });
        // An incomplete group serves no requests, so its change costs nothing and comes first.
        const auto first = std::stable_partition(
            old.begin(), old.end(), [&](const group_id& id) { return !complete(*find(id)); });
        const bool one_draining = std::any_of(
            old.begin(), old.end(), [&](const group_id& id) { return find(id)->draining; });
        if (old.empty() || changing || one_draining ||
            earlier_domain_outdated(in.records, next.domain, *row))
            continue;
        if (first == old.begin() && spares().size() + unneeded_standbys() >= row->replica_vms) {
            add_group(*row, old.front());
            continue;
        }
        start_drain(*find(old.front()), false, "loads the new version in place");
    }
}

} // namespace jaynotch::groups
