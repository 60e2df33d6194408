// For the policy report: entry nodes with real request cores and simulated engines, under a seeded
// open-loop load with faults. Internal to the simulation.
#pragma once

#include "routing/policy_engine.h"
#include "routing/routing.h"

#include <functional>
#include <map>
#include <queue>
#include <string>

namespace jaynotch::policy {

/// Parameters of one run.
struct run_options {
    std::uint64_t seed = 1;
    std::uint32_t in_flight_per_group = 48;
    int groups = 6;
    int nodes = 4;
    double offered = 50.0; ///< requests a second
    double seconds = 90.0;
    double warm_up = 10.0; ///< seconds, excluded from the results
    pick_policy pick = pick_policy::two_choices;
    bool admission = true;
    bool retry_budget = true;
    bool adaptive = true;
    std::uint32_t retries = 1;
    int client_retries = 0;    ///< immediate retries of a caller whose request was refused
    bool ideal_router = false; ///< baseline: knows the actual caches and loads without lag
    bool use_prefixes = true;  ///< the cores get the hashes of the prompts' blocks
    bool cache_events = true;
    int lost_groups = 0; ///< groups that fail at `fault_at`
    int stragglers = 0;  ///< groups that are three times as slow from the start
    double fault_at = 20.0;
    double report_lag_s = 0.7; ///< delay of load reports, which are made every 0.5 s
    double events_lag_s = 2.0; ///< delay of cache events, which are sent every second
    double events_lost = 0.1;  ///< fraction of the batches of cache events
    double deadline_s = 2.0;   ///< for the first token
    engine_model engine;
};

/// Results of a run after the warm-up.
struct run_report {
    double offered = 0.0;         ///< requests a second
    double goodput = 0.0;         ///< requests a second, complete and in time
    double refused = 0.0;         ///< share of requests
    double late = 0.0;            ///< share of requests: failed, truncated, or first token too late
    double refused_after_s = 0.0; ///< mean time until a refusal
    double first_p50_s = 0.0;
    double first_p95_s = 0.0;
    double first_p99_s = 0.0;
    double gap_p95_s = 0.0;        ///< 95th percentile of the requests' mean time between tokens
    double hit_share = 0.0;        ///< share of prompt blocks found in the engines' caches
    std::vector<double> good_at_s; ///< end times of the good responses, with the warm-up
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    std::uint64_t ejections = 0;
    double small_workspaces_p95_s = 0.0; ///< 95th percentile of first tokens, smaller workspaces
};

/// Requests a second that one engine completes with a constant `in_flight`.
double closed_loop_rate(const engine_model& model, int in_flight);

run_report run(const run_options& options);

/// Time from the loss of groups until the good responses within one second reach 95% of the rate at
/// the end of the run, seconds. Aggregated over several runs that differ only in their seed, since
/// one run has too few responses per second to distinguish a dip from noise.
double recovery_s(const run_options& options, int runs);

} // namespace jaynotch::policy
