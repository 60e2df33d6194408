// The health of each group of the record: which members are lost, which bound standby replaces each
// of them, and whether the replacements are loaded. It is recomputed at each tick from the record
// and the reports, so a manager that takes over reaches the same result as its predecessor.
//
//   substitutes chosen;
//   const group_health health = chosen.assess(group, vms, now);
#pragma once

#include "groups/vm_table.h"

#include <map>
#include <optional>
#include <vector>

namespace jaynotch::groups {

/// The place of one rank in a group.
struct place_health {
    bool ready = false;    ///< the record's member has a fresh report and is ready in this place
    bool lost = false;     ///< the record's member has to be replaced
    time_point lost_since; ///< when its last good report was requested
    std::optional<member> substitute;
    bool substitute_ready = false;
};

struct group_health {
    std::vector<place_health> places;
    std::vector<member> target; ///< the record's members with the substitutes put in
    bool complete = false;      ///< every member of the record is ready in its place
    bool switched = false;      ///< after a switch: all of `target` report it and are ready
    std::size_t lost = 0;
    std::size_t uncovered = 0; ///< lost places without a substitute
    bool can_switch = false;   ///< every lost or substituted place has a loaded substitute
    bool idle = false;         ///< the leader's fresh report shows no running or waiting requests
};

/// The standbys chosen to replace members. Kept between ticks so that a load in progress is not
/// abandoned.
class substitutes {
public:
    /// Assesses `group`, and chooses, keeps or drops substitutes among its bound standbys.
    group_health assess(const group_assignment& group, const vm_table& vms, time_point now);
    /// Forgets groups that are no longer in `record`.
    void prune(const domain_record& record);
    /// Whether `vm` is chosen as a substitute in `group`.
    [[nodiscard]] bool chosen(const group_id& group, const vm_id& vm) const;

private:
    using by_rank = std::map<std::size_t, vm_id>;

    void choose(const group_assignment& group, const vm_table& vms, group_health& health,
                time_point now);

    std::map<group_id, by_rank> m_chosen;
};

} // namespace jaynotch::groups
