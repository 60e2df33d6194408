// The planner computes the next record of a fabric domain from the current record, the engines'
// reports, the VM list and the tables. The manager writes the result and calls the planner again.
//
//   planner plan;
//   const domain_record wanted = plan.next(input, notices);
//   if (wanted.groups != input.record.groups)
//       write(wanted);
#pragma once

#include "groups/domain_shares.h"
#include "groups/group_health.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jaynotch::groups {

/// Input of the planner.
struct plan_input {
    const manager_settings& settings;
    const domain_record& record;
    const vm_table& vms;
    const configuration& tables;
    const record_map& records;
    time_point now;
};

/// Measures for how long each reason for a change has held. Changes that move VMs wait until their
/// reason has held for some time.
class condition_timers {
public:
    /// How long `holds` has been true for `what` without a break; 0 if it is false.
    duration held_for(const std::string& what, bool holds, time_point now);

private:
    std::map<std::string, time_point> m_since;
};

/// The planner of one fabric domain. Its state only avoids repeated work and flapping; assignments
/// are stored in the record alone.
class planner {
public:
    /// The next record. Equal to `in.record`, apart from `change`, if nothing has to change.
    domain_record next(const plan_input& in, std::vector<notice>& notices);
    /// State of the record's groups at the last call of next() or assess().
    [[nodiscard]] const std::map<group_id, group_health>& health_by_group() const
    {
        return m_health_by_group;
    }
    /// Updates health_by_group() without planning, for a manager that may not write.
    void assess(const plan_input& in);

private:
    struct pass;

    substitutes m_substitutes;
    std::map<group_id, group_health> m_health_by_group;
    condition_timers m_since;
};

} // namespace jaynotch::groups
