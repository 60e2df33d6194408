// The planner: what the domain's record should say next. It is a function of the record, the
// reports, the VM list and the tables; the manager writes what it returns and calls it again.
#pragma once

#include "groups/domain_shares.h"
#include "groups/group_health.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jaynotch::groups {

/// What the planner reads.
struct plan_input {
    const manager_settings& settings;
    const domain_record& record;
    const vm_table& vms;
    const configuration& tables;
    const record_map& records;
    time_point now;
};

/// Since when a reason for a change has held; a change that moves VMs waits for it to last.
class condition_timers {
public:
    /// How long `holds` has been true for `what`; 0 if it isn't.
    duration held_for(const std::string& what, bool holds, time_point now);

private:
    std::map<std::string, time_point> m_since;
};

/// The planner of one domain. Its memory only spares work and damps; it holds no assignment.
class planner {
public:
    /// The next record; equal to `in.record` but for `change` if nothing is to be done.
    domain_record next(const plan_input& in, std::vector<notice>& notices);
    /// How the groups of the record stood at the last call of next().
    [[nodiscard]] const std::map<group_id, group_health>& health_by_group() const
    {
        return m_health_by_group;
    }
    /// Looks again, without planning: for a manager that may not write.
    void assess(const plan_input& in);

private:
    struct pass;

    substitutes m_substitutes;
    std::map<group_id, group_health> m_health_by_group;
    condition_timers m_since;
};

} // namespace jaynotch::groups
