// One run of the planner: the record being changed and the state shared by the passes over it.
// Internal to the library (plan.cc, rollout.cc, repair.cc).
#pragma once

#include "groups/plan.h"

#include <algorithm>

namespace jaynotch::groups {

/// The passes of one run, in the order in which `planner::next` calls them.
struct planner::pass {
    pass(planner& owner, const plan_input& input, std::vector<notice>& out);

    // plan.cc: groups and standbys that are retired, dissolved or switched.
    void drop_unusable_standbys();
    void retire_surplus();
    void dissolve_unrecoverable();
    void finish_drains();
    void switch_to_substitutes();
    // rollout.cc: new versions, adapters and sizes.
    void roll_out();
    void build_replacements_for_leaving();
    [[nodiscard]] bool being_replaced(const group_id& group) const;
    // repair.cc: VMs are assigned where they are worth most.
    void replace_lost_members();
    void complete_one_from_another();
    void form_groups();
    void bind_spares();

    group_assignment* find(const group_id& group);
    [[nodiscard]] const pool* pool_of(const group_assignment& group) const;
    [[nodiscard]] const group_health& health(const group_assignment& group) const;
    [[nodiscard]] bool outdated(const group_assignment& group) const;
    /// Whether all members are ready, in the record's composition or in the one after a switch.
    [[nodiscard]] bool complete(const group_assignment& group) const;
    duration held_for(const char* why, const group_id& group, bool holds);
    void erase(const group_id& group, const char* why);
    void start_drain(group_assignment& group, bool retire, const char* why);
    [[nodiscard]] bool drained(const group_assignment& group);
    void add_notice(const char* kind, const group_id& group, std::string detail);

    /// VMs that may join a group and are named by no group of `next`.
    std::vector<member>& spares() { return m_spares; }
    /// Number of bound standbys that are not needed as substitutes.
    [[nodiscard]] std::size_t unneeded_standbys() const;
    std::optional<member> take_spare();
    /// Removes and returns a spare or, if there is none, an unneeded standby of the group with the
    /// most standbys, `for_group` excepted.
    std::optional<member> take_vm(const group_id& for_group);
    void add_group(const pool& row, const group_id& replaces);

    planner& self;
    const plan_input& in;
    std::vector<notice>& notices;
    domain_record next;
    domain_shares shares;

private:
    [[nodiscard]] bool unneeded(const group_assignment& group, const member& standby) const;

    std::vector<member> m_spares;
    std::size_t m_added = 0;
};

} // namespace jaynotch::groups
