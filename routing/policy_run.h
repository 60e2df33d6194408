// For the policy report: entry nodes with real request cores before modelled engines, under a
// seeded open-loop load with faults. Not in the public header.
#pragma once

#include "routing/policy_engine.h"
#include "routing/routing.h"

#include <functional>
#include <map>
#include <queue>
#include <string>

namespace jaynotch::policy {

/// One run.
struct run_options {
    std::uint64_t seed = 1;
    std::uint32_t in_flight_per_group = 48;
    int groups = 6;
    int nodes = 4;
    double offered = 50.0; ///< requests a second
    double seconds = 90.0;
    double warm_up = 10.0; ///< not counted
    pick_policy pick = pick_policy::two_choices;
    bool admission = true;
    bool retry_budget = true;
    bool adaptive = true;
    std::uint32_t retries = 1;
    int client_retries = 0;    ///< a caller that gets no answer asks again at once, this often
    bool ideal_router = false; ///< true caches and true loads, no lag
    bool use_prefixes = true;  ///< cores see the prompt's blocks
    bool cache_events = true;
    int lost_groups = 0; ///< at `fault_at`
    int stragglers = 0;  ///< three times as slow, from the start
    double fault_at = 20.0;
    double report_lag_s = 0.7; ///< of load reports, made each 0.5 s
    double events_lag_s = 2.0; ///< of cache events, sent each second
    double events_lost = 0.1;  ///< batches
    double deadline_s = 2.0;   ///< to the first token
    engine_model engine;
};

/// What came of it, after the warm-up.
struct run_report {
    double offered = 0.0;         ///< requests a second
    double goodput = 0.0;         ///< whole, first token in time, requests a second
    double refused = 0.0;         ///< share of requests
    double late = 0.0;            ///< share: failed, cut, or first token too late
    double refused_after_s = 0.0; ///< mean time until a refusal was said
    double first_p50_s = 0.0;
    double first_p95_s = 0.0;
    double first_p99_s = 0.0;
    double gap_p95_s = 0.0;        ///< mean time between tokens of a request, 95 in 100
    double hit_share = 0.0;        ///< prompt blocks found in the engine's cache
    std::vector<double> good_at_s; ///< when each good answer ended, the warm-up included
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    std::uint64_t ejections = 0;
    double small_workspaces_p95_s = 0.0; ///< 95 in 100 first tokens of the smallest workspaces
};

/// Requests a second that one engine completes with `in_flight` at all times.
double closed_loop_rate(const engine_model& model, int in_flight);

run_report run(const run_options& options);

/// Time from the loss until the good answers of a second are 95% of those of the last seconds,
/// seconds, over several runs that differ in their seed alone: one run has too few answers a second
/// to tell a dip from chance.
double recovery_s(const run_options& options, int runs);

} // namespace jaynotch::policy
