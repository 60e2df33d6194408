// How each group of the record stands: which members are lost, which bound standby takes each
// place, and whether the replacements are loaded. Computed anew at each tick from the record and
// the reports, so a manager that takes over sees the same as the one before.
#pragma once

#include "groups/vm_table.h"

#include <map>
#include <optional>
#include <vector>

namespace jaynotch::groups {

/// The place of one rank.
struct place_health {
    bool ready = false;    ///< the member of the record is fresh and ready in its place
    bool lost = false;     ///< the member of the record has to be replaced
    time_point lost_since; ///< when it was last heard, if lost by silence
    std::optional<member> substitute;
    bool substitute_ready = false;
};

struct group_health {
    std::vector<place_health> places;
    std::vector<member> target; ///< the members with every substitute in its place
    bool complete = false;      ///< every member of the record is ready in place
    bool switched = false;      ///< every VM of `target` already agrees on it and is ready
    std::size_t lost = 0;
    std::size_t uncovered = 0; ///< lost places without a substitute
    bool can_switch = false;   ///< all lost places have a substitute that is loaded
    bool idle = false;         ///< fresh word of the leader that nothing runs or waits
};

/// Which standby takes which place; kept between ticks so that a load under way isn't given up.
class substitutes {
public:
    /// Looks at `group` and picks, keeps or gives up substitutes among its bound standbys.
    group_health assess(const group_assignment& group, const vm_table& vms, time_point now);
    /// Forgets groups that are no longer in `record`.
    void prune(const domain_record& record);
    /// Whether `vm` is being loaded, or chosen, to take a place.
    [[nodiscard]] bool chosen(const group_id& group, const vm_id& vm) const;

private:
    using by_rank = std::map<std::size_t, vm_id>;

    void choose(const group_assignment& group, const vm_table& vms, group_health& health,
                time_point now);

    std::map<group_id, by_rank> m_chosen;
};

} // namespace jaynotch::groups
