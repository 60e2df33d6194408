// Simulated request histories: compares the executions on backend servers with the answers that
// callers received.
#include "routing/history_simulation.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;
using namespace std::chrono_literals;

namespace {

constexpr int callers_in_history = 60;

/// Schedules calls of all kinds over 10 s; every key is used about three times, at random nodes.
void add_random_calls(history_simulation& world, random_source& random, int nodes)
{
    for (int caller = 0; caller < callers_in_history; ++caller) {
        const duration at = std::chrono::milliseconds{random.between(0, 10'000)};
        const int node = static_cast<int>(random.index(static_cast<std::size_t>(nodes)));
        const std::size_t kind = random.index(6);
        if (kind == 0) {
            world.call(at, node, "/once", "", "b");
            continue;
        }
        if (kind == 1) {
            world.call(at, node, "/read", "", "b");
            continue;
        }
        const std::string key = "key-" + std::to_string(random.index(12));
        const std::string body = random.chance(0.9) ? "b" : "another";
        world.call(at, node, "/orders", key, body);
    }
}

void check(const history_simulation& world, std::uint64_t seed)
{
    for (const auto& [key, runs] : world.executions_by_key)
        cr_assert_leq(runs, 1, "seed %lu: %s ran %d times", seed, key.c_str(), runs);
    for (std::size_t number = 0; number < world.callers.size(); ++number) {
        const caller_record& caller = world.callers[number];
        const auto found = world.executions_by_caller.find(number);
        const int runs = found == world.executions_by_caller.end() ? 0 : found->second;
        if (caller.node_died)
            cr_assert_eq(caller.finals, 0, "seed %lu: an answer from a node that died", seed);
        else
            cr_assert_eq(caller.finals, 1, "seed %lu: caller %lu got %d finals", seed, number,
                         caller.finals);
        if (caller.refused && caller.ran == ran_state::no)
            cr_assert_eq(runs, 0, "seed %lu: reported as not run, but it ran", seed);
        if (caller.path != "/read")
            cr_assert_leq(runs, 1, "seed %lu: ran twice", seed);
        if (caller.completed) {
            cr_assert_geq(runs, 1, "seed %lu: completed without an execution", seed);
            cr_assert(caller.answer.starts_with("answer to " + caller.body),
                      "seed %lu: wrong answer", seed);
        }
        if (caller.replayed) {
            cr_assert_eq(runs, 0, "seed %lu: replayed and executed", seed);
            cr_assert(world.answer_by_key.at(caller.key) == caller.answer,
                      "seed %lu: replay differs from what ran", seed);
            cr_assert(caller.answer.starts_with("answer to " + caller.body),
                      "seed %lu: replay for another body", seed);
        }
    }
}

void run_histories(const fault_rates& faults, int nodes, std::uint64_t count,
                   bool with_store_outage)
{
    std::size_t completed = 0;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        history_simulation world{seed, faults, nodes};
        random_source random{seed + 1'000};
        add_random_calls(world, random, nodes);
        if (with_store_outage)
            world.store_outage(3s, 6s);
        world.run(60s);
        check(world, seed);
        for (const caller_record& caller : world.callers)
            completed += caller.completed ? 1 : 0;
    }
    // Without completed calls the checks would prove nothing.
    cr_assert_gt(completed, count * 5);
}

} // namespace

// Guards against a double execution when a caller repeats a keyed call through another entry VM
// while the first one is in progress. No faults, only the race.
Test(request_history, two_entry_nodes_race_on_the_same_keys)
{
    run_histories({}, 2, 100, false);
}

// As above, while the key-value service loses requests and replies, and some writes take effect
// seconds after they were reported as failed.
Test(request_history, lost_and_delayed_store_replies)
{
    fault_rates faults;
    faults.kv_reply_lost = 0.1;
    faults.kv_request_lost = 0.1;
    faults.kv_delayed = 0.1;
    run_histories(faults, 2, 150, false);
}

// As above, with an outage of the key-value service for three seconds.
Test(request_history, store_outage_of_three_seconds)
{
    run_histories({}, 2, 100, true);
}

// Guards against double executions and wrong answers when backend servers refuse, close connections
// before or after running a call, run without answering, or answer with another attempt's id.
Test(request_history, faulty_servers)
{
    fault_rates faults;
    faults.connect_refused = 0.1;
    faults.did_not_run = 0.1;
    faults.cut_before_run = 0.05;
    faults.cut_after_run = 0.1;
    faults.wrong_attempt_id = 0.05;
    faults.stalled = 0.03;
    run_histories(faults, 2, 150, false);
}

// Guards against double executions when entry VMs pause for up to 15 s at any point, including
// between a claim's reply or a new connection and the request, or restart without their state, and
// when callers disconnect.
Test(request_history, paused_and_dying_entry_nodes)
{
    fault_rates faults;
    faults.node_pauses = 0.05;
    faults.node_dies = 0.05;
    faults.caller_leaves = 0.1;
    run_histories(faults, 3, 150, false);
}

// Guards against the deletion of another call's claim. Unreachable servers make many calls abandon
// their claims while replies of the key-value service are lost. A deletion whose reply was lost is
// repeated after another call has claimed the key; it must not delete the new claim, under which a
// call may be running.
Test(request_history, claims_given_up_while_replies_are_lost)
{
    fault_rates faults;
    faults.kv_reply_lost = 0.3;
    faults.kv_delayed = 0.1;
    faults.connect_refused = 0.6;
    run_histories(faults, 3, 300, false);
}

// All faults together.
Test(request_history, everything_at_once)
{
    fault_rates faults;
    faults.kv_reply_lost = 0.05;
    faults.kv_request_lost = 0.05;
    faults.kv_delayed = 0.05;
    faults.connect_refused = 0.05;
    faults.did_not_run = 0.05;
    faults.cut_before_run = 0.03;
    faults.cut_after_run = 0.05;
    faults.wrong_attempt_id = 0.03;
    faults.stalled = 0.02;
    faults.caller_leaves = 0.05;
    faults.node_pauses = 0.03;
    faults.node_dies = 0.03;
    run_histories(faults, 4, 200, true);
}
