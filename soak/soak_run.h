// Runs the fault soak for one seed: starts the processes, injects the planned faults under load and
// returns what went wrong.
//
//   const soak_outcome outcome = run_soak({.seed = 7, .site = {.folder = "build/soak/7"}});
//   for (const std::string& problem : outcome.problems) ...
#pragma once

#include "soak/fault_plan.h"
#include "soak/soak_site.h"

#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

struct soak_settings {
    std::uint64_t seed = 1;
    std::size_t callers = 12;    ///< each sends its next request after an answer
    double requests_per_s = 0.0; ///< sent beside theirs, whether earlier ones are answered or not
    std::chrono::milliseconds length{10'000};
    double faults_per_s = 1.2;
    bool pauses = true;                   ///< see fault_plan_settings
    bool evacuations = true;              ///< the same
    bool store_returns = true;            ///< the same
    bool key_removals = false;            ///< the same; some callers send keys never held, too
    bool silences = false;                ///< see fault_plan_settings
    bool pause_after_maintenance = false; ///< the same
    /// Ends the run: all daemons are lost at once right after a last change of the configuration.
    std::optional<planned_fleet_outage> final_outage;
    /// All runners are lost with the daemons then; others with empty hosts take their places.
    bool runners_lost_too = false;
    /// Share of each tenth of a second in which the daemons run; in the rest all of them stand
    /// still.
    double daemon_quota = 1.0;
    soak_site_settings site;
};

struct soak_outcome {
    std::vector<std::string> problems;
    std::vector<std::string> faults; ///< descriptions of the injected faults, in order of time
    std::size_t requests = 0;
    std::size_t successes = 0; ///< requests answered with success
    std::vector<promise_checker::second_counts> by_second;
};

soak_outcome run_soak(const soak_settings& settings);

} // namespace jaynotch
