// New versions, adapters and sizes. A group never mixes two of them: its record
// names one, and a ticket needs every member to report that one.
//
// The same way serves a group that a member is about to leave: with enough free
// VMs a whole group is built beside it, so that no request has to wait for a
// switch; a standby is loaded for the place as well, in case the VM goes before
// the new group is whole.
//
// With enough free VMs a new group is built beside the old one, which serves
// until the new one is whole. Without, one group at a time is drained and loads
// the new version on its own VMs, while the pool's other groups serve the old
// one; domains take turns in the order of their names.
#include "groups/plan_pass.h"

namespace jaynotch::groups {

namespace {

bool outdated_for(const group_assignment& group, const pool& row)
{
    return group.pool == row.name && !group.retiring &&
           (group.model != row.model || group.version != row.version ||
            group.adapters != row.adapters || group.members.size() != row.replica_vms);
}

/// Whether a domain that goes before this one still has groups to change.
bool others_first(const record_map& records, const fabric_domain_id& self, const pool& row)
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
        const group_sight& seen = sight(group);
        const bool planned = seen.whole && seen.lost > 0 && !seen.can_switch;
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
        const bool ready = old != nullptr && whole(group);
        // Whole in the manager's sight is not yet a ticket: the watchers need
        // another probe.
        if (held_for("ready", group.group, ready) < in.settings.report_horizon || !ready)
            continue;
        // Whole: it takes over, and the old one finishes what it has in flight.
        start_drain(*find(group.replaces), true, "replaced by a group built beside it");
        group.replaces = group_id{};
    }
    for (const pool* row : pools_by_rank(in.tables)) {
        std::vector<group_id> old;
        bool changing = false;
        for (const group_assignment& group : next.groups) {
            if (group.pool != row->name || group.retiring)
                continue;
            changing =
                changing || !group.replaces.value().empty() || (!outdated(group) && !whole(group));
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
                erase(id, "of another size");
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
        // A broken one serves nobody: it changes first, and costs nothing.
        const auto first = std::stable_partition(
            old.begin(), old.end(), [&](const group_id& id) { return !whole(*find(id)); });
        const bool one_draining = std::any_of(
            old.begin(), old.end(), [&](const group_id& id) { return find(id)->draining; });
        if (old.empty() || changing || one_draining || others_first(in.records, next.domain, *row))
            continue;
        if (first == old.begin() && spares().size() + unneeded_standbys() >= row->replica_vms) {
            add_group(*row, old.front());
            continue;
        }
        start_drain(*find(old.front()), false, "changes version in place");
    }
}

} // namespace jaynotch::groups
