// Seeded random histories: a small world, faults of every kind at any moment, then healing.
//
//   const history_outcome outcome = run_history({.seed = 7, .steps = 2000});
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jaynotch::groups {

struct history_options {
    std::uint64_t seed = 1;
    std::size_t steps = 2000; ///< of 250 ms, with faults
    double faults_per_step = 0.05;
    bool late_orders = false; ///< paused managers send orders that should have been dropped
};

struct history_outcome {
    std::vector<std::string> violations; ///< empty if every invariant held at every step
    bool attainable = false; ///< the VMs suffice for all groups, so healing is asked for
    bool healed = false; ///< after the faults ended every node had a ticket for every group wanted
    std::string end;     ///< records and engines at the end, if something was wrong
    std::string shape;   ///< what the seed chose, for the report of a failure
};

/// Runs one history. The seed also chooses its shape: domains, VMs, pools, whether engines check
/// fencing numbers, and changes of the tables under way.
history_outcome run_history(const history_options& options);

} // namespace jaynotch::groups
