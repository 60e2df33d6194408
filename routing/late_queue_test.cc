// How long requests wait that miss their latency target, alone and in the core.
#include "routing/first_event_delay.h"
#include "routing/late_queue.h"
#include "routing/modelled_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

const time_point start = time_point{} + 10s;

/// A request that became late at `start`; its caller leaves 2 s later.
late_queue::terms late_request()
{
    return {start, start + 2s, 150ms};
}

/// Sends requests until the groups of the world are full.
std::vector<send_attempt> fill(modelled_world& sim, int places)
{
    std::vector<send_attempt> running;
    for (int index = 0; index < places; ++index) {
        running.push_back(*last_command<send_attempt>(sim.submit()));
        sim.begin(running.back());
    }
    return running;
}

} // namespace

// Load: 75 nodes with four places each, where one becomes free every 0.4 s.
Test(late_queue, a_node_with_few_places_waits_longer_than_one_with_many)
{
    const auto waited = [](double places) {
        return late_queue::wait_until(late_request(), {places, 1.7, 0.0}, start) - start;
    };
    cr_assert_geq(waited(4.0).count(), duration{1s}.count());
    cr_assert_leq(waited(30.0).count(), duration{300ms}.count());
    cr_assert_leq(waited(1.0).count(), duration{2s - 150ms}.count(), "its caller has left");
}

// Load: more late requests at a node than it can serve before their callers leave.
Test(late_queue, a_wait_in_vain_is_known_at_once)
{
    cr_assert_not(late_queue::waits_in_vain(late_request(), {4.0, 1.7, 2.0}, start));
    cr_assert(late_queue::waits_in_vain(late_request(), {4.0, 1.7, 4.0}, start));
    cr_assert_float_eq(late_queue::expected_wait_s({4.0, 1.7, 3.0}), 1.7, 1e-9);
}

// Load: engines that need 100 ms more for each first event than their figures say.
Test(late_queue, the_usual_delay_of_first_events_is_learnt)
{
    first_event_delay delay;
    for (int sample = 0; sample < 32; ++sample)
        delay.note(sample % 3 == 0 ? 100.0 : 400.0); // most of them queue in the engine besides
    cr_assert_float_eq(delay.usual_ms(), 100.0, 1e-9);
    for (int sample = 0; sample < 32; ++sample)
        delay.note(-20.0);
    cr_assert_float_eq(delay.usual_ms(), 0.0, 1e-9);
}

// Load: a pool that is full for more than a second, with places that become free now and then. A
// late request is served when one does, also after the time in which it could have been refused.
Test(late_queue, a_late_request_is_served_while_its_pool_serves)
{
    modelled_world sim{1};
    const std::vector<send_attempt> running = fill(sim, 8);
    sim.submit();
    constexpr std::uint64_t waiting = 9;
    bool served = false;
    for (std::size_t ended = 0; ended < 6 && !served; ++ended) {
        for (int event = 0; event < 3; ++event) {
            cr_assert_not(last_command<refuse>(sim.pass(100ms)), "refused after %zu ends", ended);
            for (const send_attempt& order : running)
                sim.send(attempt_progress{order.request, order.attempt, 1});
        }
        const send_attempt& done = running[ended];
        const command_list out =
            sim.send(attempt_finished{done.request, done.attempt, true, std::nullopt});
        const auto sent = last_command<send_attempt>(out);
        served = sent && sent->request.value() == waiting;
    }
    cr_assert(served);
}

// Load: three times as many late requests at a node as its places. Those that can't be served are
// told at once how long the others take.
Test(late_queue, the_last_of_a_long_queue_is_refused_at_once)
{
    modelled_world sim{1};
    fill(sim, 8);
    std::vector<refuse> refused;
    for (int index = 0; index < 24; ++index)
        sim.submit();
    const command_list out = sim.pass(250ms);
    for (const command& one : out) {
        if (const auto* refusal = std::get_if<refuse>(&one))
            refused.push_back(*refusal);
    }
    cr_assert_gt(refused.size(), 4U, "%zu refused", refused.size());
    cr_assert_lt(refused.size(), 20U, "%zu refused", refused.size());
    for (const refuse& one : refused) {
        cr_assert_eq(one.ran, ran_state::no);
        cr_assert_geq(one.retry_after->count(), 1'000);
    }
}
