// Regression bounds on the routing policy, in the simulation of the policy report. The runs are
// seeded and use simulated time, so the results do not depend on the machine's speed.
#include "routing/policy_run.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::policy;

namespace {

run_options at_load(double multiple)
{
    run_options options;
    options.offered = closed_loop_rate(options.engine, 48) * options.groups * multiple;
    return options;
}

} // namespace

// Guards against a collapse of goodput under overload, such as a morning peak of twice the
// capacity. Goodput has to stay close to that at capacity, refusals have to come early, and hardly
// any accepted request may be late.
Test(policy, goodput_holds_at_twice_and_four_times_capacity)
{
    const double at_capacity = run(at_load(1.0)).goodput;
    for (const double multiple : {2.0, 4.0}) {
        const run_report result = run(at_load(multiple));
        cr_assert_geq(result.goodput, 0.95 * at_capacity, "%.1f of %.1f", result.goodput,
                      at_capacity);
        cr_assert_leq(result.late, 0.01);
        cr_assert_leq(result.refused_after_s, 0.1 * run_options{}.deadline_s);
    }
}

// Guards against a policy that is no better than the baselines. Without admission control, engines
// work on requests whose callers have left; if callers also retry at once, hardly any response is
// in time.
Test(policy, beats_the_baselines_under_overload)
{
    const double own = run(at_load(2.0)).goodput;
    for (const pick_policy other : {pick_policy::round_robin, pick_policy::least_own}) {
        run_options options = at_load(2.0);
        options.pick = other;
        cr_assert_geq(own, 1.02 * run(options).goodput);
    }
    run_options no_admission = at_load(4.0);
    no_admission.admission = false;
    cr_assert_geq(run(at_load(4.0)).goodput, 1.2 * run(no_admission).goodput);
    run_options plain_retries = at_load(2.0);
    plain_retries.admission = false;
    plain_retries.retry_budget = false;
    plain_retries.client_retries = 3;
    cr_assert_geq(own, 4.0 * run(plain_retries).goodput);
}

// Guards against conversations that miss their cached prompt when they enter through another node,
// or because cache events are delayed or lost.
Test(policy, prefix_hits_are_near_those_of_an_ideal_router)
{
    for (const int groups : {3, 6, 50}) {
        run_options options;
        options.groups = groups;
        options.offered = closed_loop_rate(options.engine, 48) * groups * 0.7;
        const double own = run(options).hit_share;
        options.ideal_router = true;
        cr_assert_geq(own, 0.9 * run(options).hit_share, "%d groups", groups);
    }
}

// Guards against a slow group that delays its share of the responses: one group of six is three
// times as slow as the others.
Test(policy, a_straggler_does_not_delay_its_share_of_requests)
{
    run_options options = at_load(0.6);
    options.stragglers = 1;
    const run_report result = run(options);
    cr_assert_leq(result.late + result.refused, 0.01);
}

// Guards against slow recovery: after one group of six fails, the others must reach their full
// throughput within two seconds.
Test(policy, goodput_recovers_after_a_lost_group)
{
    run_options options = at_load(1.0);
    options.lost_groups = 1;
    options.fault_at = 30.0;
    cr_assert_leq(recovery_s(options, 6), 2.0);
}

// Guards against herding: many entry nodes with the same load reports, 0.7 s old, all send to the
// group that looked idle. The first token times with one and with sixteen nodes must be similar.
Test(policy, lagged_load_reports_cause_no_herding)
{
    run_options options = at_load(0.8);
    options.nodes = 1;
    const double one = run(options).first_p99_s;
    options.nodes = 16;
    cr_assert_leq(run(options).first_p99_s, 2.0 * one);
}
