// Runs seeded random histories for tests: a small simulated deployment with faults of all kinds at
// random times, then a phase without faults in which all groups must recover.
//
//   const history_outcome outcome = run_history({.seed = 7, .steps = 2000});
//   // outcome.violations is empty and outcome.healed is true if nothing went wrong
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jaynotch::groups {

struct history_options {
    std::uint64_t seed = 1;
    std::size_t steps = 2000; ///< number of 250 ms steps with faults
    double faults_per_step = 0.05;
    bool late_orders = false; ///< paused managers send orders that should have been dropped
};

struct history_outcome {
    std::vector<std::string> violations; ///< empty if every invariant held at every step
    bool attainable = false; ///< the VMs suffice for all groups, so recovery is required
    /// After the faults ended, every node got a ticket for every wanted group. Also true if not
    /// attainable.
    bool healed = false;
    std::string end;   ///< records and engines at the end, if something was wrong
    std::string shape; ///< parameters chosen by the seed, for failure reports
};

/// Runs one history. The seed also chooses the number of nodes, domains and VMs, the pools, whether
/// engines check fencing numbers, and changes of the tables during the history.
history_outcome run_history(const history_options& options);

} // namespace jaynotch::groups
