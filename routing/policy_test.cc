// Regression bounds of the policy, in the model of the policy report. The runs are seeded and in
// modelled time, so the machine's speed doesn't enter.
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

// The morning rush is twice what the engines can do. What they do must stay useful: nearly the
// goodput at capacity, refusals said early, hardly anything that was accepted is late.
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

// Without admission the engines work on what nobody waits for any more; with callers who ask again
// at once whenever they are not served, hardly anything is in time.
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

// The turns of a conversation meet their cached prompt whichever entry node they come by, with
// cache events that are late and have gaps.
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

// One group of six is three times as slow as the others; callers must not see a sixth of their
// answers late.
Test(policy, a_straggler_does_not_delay_its_share_of_requests)
{
    run_options options = at_load(0.6);
    options.stragglers = 1;
    const run_report result = run(options);
    cr_assert_leq(result.late + result.refused, 0.01);
}

// A group of six dies. Within two seconds the others give what they can.
Test(policy, goodput_recovers_after_a_lost_group)
{
    run_options options = at_load(1.0);
    options.lost_groups = 1;
    options.fault_at = 30.0;
    cr_assert_leq(recovery_s(options, 6), 2.0);
}

// Four entry nodes see load reports that are most of a second old. They must not all run for the
// group that looked idle: first tokens at one and at sixteen nodes are alike.
Test(policy, lagged_load_reports_cause_no_herding)
{
    run_options options = at_load(0.8);
    options.nodes = 1;
    const double one = run(options).first_p99_s;
    options.nodes = 16;
    cr_assert_leq(run(options).first_p99_s, 2.0 * one);
}
