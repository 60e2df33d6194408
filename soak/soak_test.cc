#include "soak/fault_plan.h"
#include "soak/promise_book.h"
#include "standins/platform_forms.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t events = 2;
const std::string whole_stream = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";

time_point at(duration since_start)
{
    return time_point{std::chrono::hours{1}} + since_start;
}

request_record order(std::string id, duration sent = 0s)
{
    return {std::move(id), caller_request_kind::order, "entry-1", 0, at(sent)};
}

/// Records one request with the key of a version, and its answer.
void ask_with_key(promise_checker& checker, const std::string& id, std::int64_t key, duration sent,
                  std::uint32_t status)
{
    checker.record_request({id, caller_request_kind::read, "entry-1", key, at(sent), 1});
    if (status == 200)
        checker.record_run(id, "a-1", at(sent));
    checker.record_answer(id, {status, id, "answer of a-1 to " + id}, at(sent + 10ms));
}

bool is_pause(const planned_fault& fault)
{
    return std::holds_alternative<planned_pause>(fault.action);
}

void assert_one(const promise_checker& checker, const std::string& part)
{
    const std::vector<std::string> violations = checker.violations();
    cr_assert_eq(violations.size(), 1U, "%zu, first: %s", violations.size(),
                 violations.empty() ? "none" : violations.front().c_str());
    cr_assert(violations.front().find(part) != std::string::npos, "%s", violations.front().c_str());
}

} // namespace

Test(promise_checker, normal_requests_violate_nothing)
{
    promise_checker checker{events};
    checker.record_request(order("1"));
    checker.record_run("1", "a-1", at(1ms));
    checker.record_answer("1", {200, "1", "answer of a-1 to 1"}, at(5ms));
    checker.record_request({"2", caller_request_kind::stream, "entry-1", 0, at(0s), 2});
    checker.record_run("2", "m-1", at(1ms));
    checker.record_run("2", "m-2", at(2ms)); // the stream was resumed there
    checker.record_answer("2", {200, "2", whole_stream}, at(5ms));
    checker.record_request(order("3"));
    checker.record_answer("3", {503, "3", ""}, at(5ms));
    cr_assert(checker.violations().empty(), "%s", checker.violations().front().c_str());
    cr_assert_eq(checker.successes(), 2U);
}

Test(promise_checker, an_order_that_ran_twice_is_reported)
{
    promise_checker checker{events};
    checker.record_request(order("1"));
    checker.record_run("1", "a-1", at(1ms));
    checker.record_run("1", "a-2", at(2ms));
    checker.record_answer("1", {200, "1", "answer of a-2 to 1"}, at(5ms));
    assert_one(checker, "ran 2 times");
}

Test(promise_checker, a_stream_on_too_many_servers_is_reported)
{
    promise_checker checker{events};
    checker.record_request({"1", caller_request_kind::stream, "entry-1", 0, at(0s), 2});
    checker.record_run("1", "m-1", at(1ms));
    checker.record_run("1", "m-2", at(2ms));
    checker.record_run("1", "m-2", at(3ms));
    cr_assert(checker.violations().empty(), "the same server twice is one server");
    checker.record_run("1", "m-3", at(4ms));
    assert_one(checker, "ran on 3 servers, 2 are allowed");
}

Test(promise_checker, repeats_beyond_the_retry_budget_are_reported)
{
    promise_bounds bounds;
    bounds.retry_share = 0.5;
    bounds.retry_extra = 1.0;
    promise_checker checker{events, bounds};
    checker.record_request({"1", caller_request_kind::read, "entry-1", 0, at(0s), 2});
    checker.record_request({"2", caller_request_kind::read, "entry-2", 0, at(0s), 2});
    for (const char* id : {"1", "2"}) {
        checker.record_arrival(id, "app", at(1ms));
        checker.record_arrival(id, "app", at(2ms));
    }
    cr_assert(checker.violations().empty(), "one for the share, one more");
    checker.record_arrival("2", "app", at(9s));
    assert_one(checker, "app: 1.0");
}

// Guards against a check that takes a run in an evacuated failure domain for allowed, or one before
// the bound or after the return for a violation.
Test(promise_checker, a_run_in_an_evacuated_domain_is_reported)
{
    promise_bounds bounds;
    bounds.evacuate = 2s;
    bounds.slack = 0s;
    promise_checker checker{events, bounds};
    checker.record_domain("a-1", "zone-a");
    checker.record_evacuation("zone-a", at(1s));
    checker.record_return("zone-a", at(9s));
    for (const auto& [id, ran] : {std::pair{"1", at(2s)}, {"2", at(10s)}}) {
        checker.record_request({id, caller_request_kind::read, "entry-1", 0, ran, 2});
        checker.record_run(id, "a-1", ran);
    }
    cr_assert(checker.violations().empty());
    checker.record_request({"3", caller_request_kind::read, "entry-1", 0, at(5s), 2});
    checker.record_run("3", "a-1", at(5s));
    assert_one(checker, "evacuation of zone-a");
}

Test(promise_checker, a_run_after_a_not_run_answer_is_reported)
{
    promise_checker checker{events};
    checker.record_request(order("1"));
    checker.record_answer("1", {503, "1", ""}, at(5ms));
    checker.record_run("1", "a-1", at(3s)); // delayed by a partition
    assert_one(checker, "but it ran");
}

Test(promise_checker, foreign_partial_and_unsent_requests_are_reported)
{
    promise_checker foreign{events};
    foreign.record_request(order("1"));
    foreign.record_run("1", "a-1", at(1ms));
    foreign.record_answer("1", {200, "2", "answer of a-1 to 1"}, at(5ms));
    assert_one(foreign, "received the answer to 2");

    promise_checker partial{events};
    partial.record_request({"1", caller_request_kind::stream, "entry-1", 0, at(0s), 2});
    partial.record_run("1", "m-1", at(1ms));
    partial.record_answer("1", {200, "1", "id: 2\ndata: e2\n\n"}, at(5ms));
    assert_one(partial, "not the complete answer of its server");

    promise_checker unsent{events};
    unsent.record_run("nobody's", "a-1", at(1ms));
    assert_one(unsent, "no caller sent");
}

// A planned stop of a daemon cuts the connection of a request that has reached its server: a
// violation, unless a failure of the same node overlaps.
Test(promise_checker, a_planned_stop_that_truncates_is_reported_unless_a_failure_overlaps)
{
    for (const bool failure : {false, true}) {
        promise_checker checker{events};
        const std::size_t stop = checker.record_fault({"entry-1", at(1s), time_point::max(), true});
        if (failure)
            checker.record_fault({"entry-1", at(1s), at(2s), false});
        checker.record_request(order("1", 1s));
        checker.record_run("1", "a-1", at(1001ms));
        checker.record_answer("1", {0, "", ""}, at(1500ms));
        checker.record_fault_end(stop, at(2s));
        if (failure)
            cr_assert(checker.violations().empty());
        else
            assert_one(checker, "cut off");
    }
}

// Guards against an excuse for answers that are cut because their server is silent for a while.
Test(promise_checker, a_cut_while_its_server_is_paused_is_reported)
{
    promise_checker checker{events};
    checker.record_pause("m-1", at(1s), at(2s));
    checker.record_request({"1", caller_request_kind::stream, "entry-1", 0, at(500ms), 2});
    checker.record_run("1", "m-1", at(501ms));
    checker.record_answer("1", {0, "", ""}, at(1800ms));
    assert_one(checker, "after 1300 ms, m-1 paused");
}

// Guards against a request that ran and is given up on with an error instead of being cut.
Test(promise_checker, a_bad_gateway_beside_planned_work_is_reported)
{
    for (const bool failure : {false, true}) {
        promise_checker checker{events};
        if (failure)
            checker.record_fault({"entry-1", at(1s), at(2s), false});
        checker.record_request(order("1", 1s));
        checker.record_run("1", "a-1", at(1001ms));
        checker.record_answer("1", {502, "1", ""}, at(1500ms));
        if (failure)
            cr_assert(checker.violations().empty());
        else
            assert_one(checker, "answered 502");
    }
}

Test(promise_checker, a_drained_server_that_gets_new_requests_is_reported)
{
    promise_checker checker{events};
    checker.record_drain("a-1", at(1s));
    checker.record_request(order("1", 2s));
    checker.record_run("1", "a-1", at(2s));
    checker.record_answer("1", {200, "1", "answer of a-1 to 1"}, at(2100ms));
    cr_assert(checker.violations().empty(), "within the bound");
    checker.record_request(order("2", 6s));
    checker.record_run("2", "a-1", at(6s));
    checker.record_answer("2", {200, "2", "answer of a-1 to 2"}, at(6100ms));
    assert_one(checker, "after the time allowed for its drain");
}

// Guards against a checker that excuses late requests for as long as a silence may be noticed at
// all, or counts those within its recovery time.
Test(promise_checker, a_silence_postpones_the_bound_of_a_drain_to_its_recovery_time)
{
    promise_checker checker{events};
    checker.record_drain("a-1", at(1s));
    checker.record_silence(at(2s));
    checker.record_request(order("1", 4s));
    checker.record_run("1", "a-1", at(4s));
    checker.record_answer("1", {200, "1", "answer of a-1 to 1"}, at(4100ms));
    cr_assert(checker.violations().empty(), "within the recovery time");
    checker.record_request(order("2", 8s));
    checker.record_run("2", "a-1", at(8s));
    checker.record_answer("2", {200, "2", "answer of a-1 to 2"}, at(8100ms));
    assert_one(checker, "after the time allowed for its drain");
}

Test(promise_checker, late_and_reverted_changes_are_reported)
{
    promise_checker late{events};
    for (std::int64_t version = 1; version <= 4; ++version)
        late.record_version(version, at(version * 1s));
    ask_with_key(late, "1", 2, 6s, 200); // revoked at 4 s
    cr_assert(late.violations().empty(), "not due yet");
    ask_with_key(late, "2", 2, 9s, 200);
    assert_one(late, "had revoked");

    promise_checker unknown{events};
    unknown.record_version(1, at(1s));
    ask_with_key(unknown, "1", 1, 8s, 401);
    assert_one(unknown, "was refused");

    promise_checker backwards{events};
    for (std::int64_t version = 1; version <= 3; ++version)
        backwards.record_version(version, at(version * 100ms));
    ask_with_key(backwards, "1", 3, 400ms, 200);
    ask_with_key(backwards, "2", 1, 600ms, 200);
    assert_one(backwards, "after one of 3");
}

Test(promise_checker, runs_without_a_key_in_force_are_reported)
{
    promise_checker removed{events};
    removed.record_version(1, at(1s));
    removed.record_version(2, at(6s), false);
    removed.record_version(3, at(7s), false);
    ask_with_key(removed, "1", 2, 8s, 200);
    cr_assert(removed.violations().empty(), "not due yet");
    ask_with_key(removed, "2", 3, 10s, 401);
    ask_with_key(removed, "3", 1, 10s, 401);
    removed.record_version(4, at(12s));
    ask_with_key(removed, "4", 3, 13s, 401);
    cr_assert(removed.violations().empty(), "refused as it should be");
    ask_with_key(removed, "5", 3, 11s, 200);
    assert_one(removed, "accepted while no version held a key");

    promise_checker refused{events};
    refused.record_version(1, at(1s), false);
    refused.record_version(2, at(2s));
    ask_with_key(refused, "1", 1, 9s, 401);
    assert_one(refused, "was refused");

    promise_checker unknown{events};
    ask_with_key(unknown, "1", key_never_held, 1s, 200);
    unknown.record_run("1", "a-1", at(1s));
    const std::vector<std::string> found = unknown.violations();
    cr_assert(std::any_of(found.begin(), found.end(), [](const std::string& one) {
        return one.find("ran with a key that no version held") != std::string::npos;
    }));
}

Test(fault_plan, equal_seeds_give_equal_plans)
{
    const auto render = [](std::uint64_t seed) {
        std::string text;
        for (const planned_fault& fault : draw_plan({.seed = seed}))
            text += to_string(fault) + "\n";
        return text;
    };
    cr_assert_eq(render(5), render(5));
    cr_assert_neq(render(5), render(7));
}

Test(fault_plan, every_third_seed_has_maintenance_only)
{
    for (const planned_fault& fault : draw_plan({.seed = 9, .length = 60s})) {
        const auto* daemon = std::get_if<planned_daemon_fault>(&fault.action);
        const auto* runner = std::get_if<planned_runner_fault>(&fault.action);
        const bool planned = std::holds_alternative<configuration_change>(fault.action) ||
                             std::holds_alternative<planned_evacuation>(fault.action) ||
                             (daemon != nullptr && (daemon->fault == daemon_fault::stop ||
                                                    daemon->fault == daemon_fault::reload)) ||
                             (runner != nullptr && runner->fault == runner_fault::drain);
        cr_assert(planned || is_pause(fault), "%s", to_string(fault).c_str());
    }
}

// Guards against plans without silent servers, with failures only or beside planned work.
Test(fault_plan, servers_are_paused_in_both_kinds_of_seeds)
{
    for (const std::uint64_t seed : {8U, 9U}) {
        std::size_t single = 0;
        std::size_t several = 0;
        std::size_t all = 0;
        std::chrono::milliseconds last_end{0};
        for (const planned_fault& fault : draw_plan({.seed = seed, .length = 300s})) {
            if (!is_pause(fault))
                continue;
            const double share = std::get<planned_pause>(fault.action).share;
            ++(share == 0.0 ? single : share == 1.0 ? all : several);
            cr_assert(fault.at > last_end, "a request could meet one pause after the other");
            cr_assert(fault.active_for < group_stall, "a group would break");
            last_end = fault.at + fault.active_for;
        }
        cr_assert(single > 0 && several > 0 && all > 0, "%zu, %zu, %zu", single, several, all);
    }
}

// Guards against seeds whose other faults change with the pauses.
Test(fault_plan, pauses_leave_the_other_faults_as_they_are)
{
    for (const std::uint64_t seed : {2U, 3U}) {
        std::vector<planned_fault> with = draw_plan({.seed = seed});
        const std::vector<planned_fault> without = draw_plan({.seed = seed, .pauses = false});
        with.erase(std::remove_if(with.begin(), with.end(), is_pause), with.end());
        cr_assert_eq(with.size(), without.size());
        for (std::size_t i = 0; i < with.size(); ++i)
            cr_assert_eq(to_string(with[i]), to_string(without[i]));
    }
}

// Guards against planned work that no pause follows, as in the incident.
Test(fault_plan, each_planned_work_is_followed_by_a_pause_of_most_servers)
{
    const std::vector<planned_fault> plan =
        draw_plan({.seed = 1, .length = 60s, .pause_after_maintenance = true});
    cr_assert(plan.size() >= 6U && plan.size() % 2 == 0);
    for (std::size_t i = 0; i < plan.size(); i += 2) {
        cr_assert(!is_pause(plan[i]) && is_pause(plan[i + 1]));
        cr_assert(std::get<planned_pause>(plan[i + 1].action).share > 0.5);
        cr_assert(plan[i + 1].at - plan[i].at < 1s);
    }
}

// Guards against silences without anything that must be known in time after them.
Test(fault_plan, each_silence_is_followed_by_a_change_and_a_departure)
{
    const std::vector<planned_fault> plan = draw_plan({.seed = 1, .length = 60s, .silences = true});
    cr_assert(plan.size() >= 15U && plan.size() % 3 == 0);
    for (std::size_t i = 0; i < plan.size(); i += 3) {
        cr_assert(std::holds_alternative<planned_silence>(plan[i].action));
        cr_assert(std::holds_alternative<configuration_change>(plan[i + 1].action));
        cr_assert(std::holds_alternative<planned_departure>(plan[i + 2].action));
        cr_assert(plan[i + 1].at - plan[i].at < 3s && plan[i + 2].at - plan[i].at < 3s);
    }
}

// Guards against a checker that misses requests to a server in the pause that it asked for, or
// counts those of other nodes and those under way.
Test(promise_checker, requests_in_a_pause_are_counted_by_node)
{
    promise_checker checker{events};
    const auto arrive = [&](const std::string& id, const std::string& node, duration when) {
        checker.record_request({id, caller_request_kind::read, node, 0, at(when), 4});
        checker.record_arrival(id, "app", at(when), "a-1");
    };
    arrive("1", "entry-1", 0s);
    checker.record_refusal("1", "a-1", at(0s), 3s);
    for (int number = 2; number < 8; ++number)
        arrive(std::to_string(number), "entry-1", number * 50ms); // under way
    for (int number = 10; number < 15; ++number)
        arrive(std::to_string(number), "entry-2", 1s);
    arrive("20", "entry-1", 1s);
    arrive("21", "entry-1", 2s);
    arrive("22", "entry-1", 3'100ms);
    cr_assert(checker.violations().empty());
    arrive("23", "entry-1", 2'900ms);
    assert_one(checker, "asked entry-1 for a pause and got 3 requests");
}

// Guards against a checker that misses requests to a server whose leaving the node has passed on,
// or holds them against a process that was paused since.
Test(promise_checker, requests_after_a_word_of_leaving_are_found)
{
    for (const bool paused : {false, true}) {
        promise_checker checker{events};
        checker.record_request({"1", caller_request_kind::read, "entry-1", 0, at(0s), 1});
        checker.record_run("1", "a-1", at(0s));
        checker.record_answer("1", {200, "1", "answer of a-1 to 1", "a-1"}, at(1s));
        if (paused)
            checker.record_fault({"entry-1", at(2s), at(3s), false, true});
        checker.record_request({"2", caller_request_kind::read, "entry-1", 0, at(6s), 1});
        checker.record_arrival("2", "app", at(6s), "a-1");
        if (paused)
            cr_assert(checker.violations().empty());
        else
            assert_one(checker, "had said in an answer that it leaves");
    }
}

namespace {

/// Ten requests sent in a second from `from` on, `served` of them with success.
void record_ten(promise_checker& checker, const std::string& name, duration from,
                std::size_t served, const std::string& node = "entry-1")
{
    for (std::size_t number = 0; number < 10; ++number) {
        const std::string id = name + std::to_string(number);
        checker.record_request({id, caller_request_kind::read, node, 0, at(from), 1});
        if (number < served)
            checker.record_run(id, "a-1", at(from));
        checker.record_answer(id,
                              number < served
                                  ? received_answer{200, id, "answer of a-1 to " + id, {}}
                                  : received_answer{503, id, {}, {}},
                              at(from + 10ms));
    }
}

} // namespace

// Guards against a fleet that returns and serves hardly anybody, unnoticed since one is served.
Test(promise_checker, too_few_served_after_the_return_of_all_nodes_are_reported)
{
    promise_checker checker{events};
    const duration recovery = promise_bounds{}.fleet_recovery;
    record_ten(checker, "before", 0s, 9);
    checker.record_fleet_outage(at(1s), at(2s));
    record_ten(checker, "early", 3s, 0);
    record_ten(checker, "late", 3s + recovery, 2);
    assert_one(checker, "after the loss of all nodes 2 of 10 requests were served");
}

Test(promise_checker, a_quarter_served_after_the_return_of_all_nodes_is_enough)
{
    promise_checker checker{events};
    const duration recovery = promise_bounds{}.fleet_recovery;
    record_ten(checker, "before", 0s, 9);
    checker.record_fleet_outage(at(1s), at(2s));
    record_ten(checker, "late", 3s + recovery, 3);
    cr_assert(checker.violations().empty());
}

// Guards against callers of nodes that reach no server, refused after a return while others are
// served, unnoticed since the others are enough.
Test(promise_checker, too_few_served_at_nodes_that_reach_no_server_are_reported)
{
    promise_checker checker{events};
    const duration recovery = promise_bounds{}.fleet_recovery;
    record_ten(checker, "before", 0s, 9, "n1");
    checker.record_cut("n1");
    checker.record_fleet_outage(at(1s), at(2s));
    record_ten(checker, "cut-off", 3s + recovery, 2, "n1");
    record_ten(checker, "reaching", 3s + recovery, 10, "n2");
    assert_one(checker, "after the loss of all nodes 2 of 10 requests sent to nodes that are cut "
                        "off from all servers were served");
}
