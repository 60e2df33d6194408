// The request core: answers, resumption, draining, overload, timeouts, ejection and limits.
#include "routing/core_fixture.h"

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

/// Reports the first byte and the answer's head for the attempt in `commands`, and returns it.
send_attempt answer_head(fixture& world, const command_list& commands, std::uint32_t status = 200)
{
    const send_attempt* sent = first<send_attempt>(commands);
    cr_assert_not_null(sent, "nothing was sent");
    send_attempt copy = *sent;
    world.send(attempt_sent{copy.request, copy.attempt});
    world.send(attempt_head{copy.request, copy.attempt, status, copy.attempt, false, copy.version});
    return copy;
}

} // namespace

Test(request_core, serves_a_complete_stream)
{
    fixture world;
    const send_attempt sent = answer_head(world, world.chat(1));
    cr_assert(sent.version == "v1");
    cr_assert_eq(count<deliver>(world.commands), 1);
    world.send(attempt_progress{sent.request, sent.attempt, 5});
    const command_list end = world.send(attempt_finished{sent.request, sent.attempt, true, {}});
    cr_assert_eq(count<complete>(end), 1);
    cr_assert_eq(world.core.open_requests(), 0);
}

// Guards against queueing requests that can't be served: a model without a route, or without
// complete groups. Both are refused at once as not run; only the second gets a Retry-After.
Test(request_core, refuses_unroutable_requests_at_once)
{
    fixture world{0};
    const command_list refused = world.chat(1);
    const refuse* answer = first<refuse>(refused);
    cr_assert_not_null(answer);
    cr_assert(answer->ran == ran_state::no);
    cr_assert(answer->retry_after.has_value());

    request_info info;
    info.id = request_id{2};
    info.kind = request_kind::chat;
    info.model = "no such model";
    const command_list unknown = world.send(request_arrived{info});
    cr_assert(first<refuse>(unknown)->failure.kind == error_kind::not_found);
    cr_assert(!first<refuse>(unknown)->retry_after);
}

// Guards against delivering an answer to the wrong caller. If a backend server answers with another
// attempt's id, nothing is delivered, the connection is closed, and another target is tried.
Test(request_core, drops_an_answer_that_names_another_attempt)
{
    fixture world;
    const command_list sent_first = world.chat(1);
    const send_attempt sent = *first<send_attempt>(sent_first);
    world.send(attempt_sent{sent.request, sent.attempt});
    const command_list crossed = world.send(attempt_head{
        sent.request, sent.attempt, 200, attempt_id{sent.attempt.value() + 9}, false, ""});
    cr_assert_eq(count<deliver>(crossed), 0);
    cr_assert_eq(count<cancel_attempt>(crossed), 1);
    const send_attempt* again = first<send_attempt>(crossed);
    cr_assert_not_null(again);
    cr_assert(again->target != sent.target);
    // A later answer to the cancelled attempt is dropped.
    const command_list late =
        world.send(attempt_head{sent.request, sent.attempt, 200, sent.attempt, false, ""});
    cr_assert(late.empty());
    cr_assert_eq(world.core.counters().answers_dropped, 2);
}

// Guards against a stream that combines the output of two model versions. If a group is lost during
// a stream, the stream resumes on another group of the same version; if there is none, it ends as
// truncated.
Test(request_core, resumes_a_stream_only_on_the_same_version)
{
    for (const bool same : {true, false}) {
        fixture world{0};
        std::vector<target> groups = make_groups(2);
        groups[1].version = same ? "v1" : "v2";
        groups[1].leaving = true;
        world.send(groups_changed{groups});
        const send_attempt sent = answer_head(world, world.chat(1));
        cr_assert(sent.target == groups[0].id);
        groups[1].leaving = false;
        world.send(groups_changed{groups});
        const command_list lost = world.send(group_broken{sent.target});
        cr_assert_eq(count<cancel_attempt>(lost), 1);
        const send_attempt* resumed = first<send_attempt>(lost);
        if (same) {
            cr_assert_not_null(resumed);
            cr_assert(resumed->resume);
            cr_assert(resumed->target == groups[1].id);
            continue;
        }
        cr_assert_null(resumed);
        const command_list later = world.pass(std::chrono::seconds{6});
        cr_assert_eq(count<end_truncated>(later), 1);
        cr_assert_eq(count<complete>(world.commands), 0);
    }
}

// Guards against resuming on an engine that runs another version than its group's: the version in
// the resumed answer's head is checked as well.
Test(request_core, a_resumed_stream_refuses_another_version_in_the_answer)
{
    fixture world{2};
    const send_attempt sent = answer_head(world, world.chat(1));
    const command_list cut =
        world.send(attempt_failed{sent.request, sent.attempt, attempt_failure::cut});
    const send_attempt resumed = *first<send_attempt>(cut);
    world.send(attempt_sent{resumed.request, resumed.attempt});
    const command_list joined = world.send(
        attempt_head{resumed.request, resumed.attempt, 200, resumed.attempt, false, "v2"});
    cr_assert_eq(count<deliver>(joined), 0);
}

// Guards against writing a buffered answer, such as an error, into a started stream, where the
// caller would read it among the events. The attempt that resumed the stream counts as failed; the
// stream resumes on a third group, if a retry is allowed, or ends as truncated.
Test(request_core, a_buffered_answer_never_completes_a_started_stream)
{
    for (const std::uint32_t status : {200U, 404U, 500U}) {
        fixture world{3};
        const send_attempt sent = answer_head(world, world.chat(1));
        const command_list cut =
            world.send(attempt_failed{sent.request, sent.attempt, attempt_failure::cut});
        const send_attempt resumed = *first<send_attempt>(cut);
        world.send(attempt_sent{resumed.request, resumed.attempt});
        attempt_head head{resumed.request, resumed.attempt, status, resumed.attempt, false, "v1"};
        head.buffered = true;
        const command_list answered = world.send(head);
        cr_assert_eq(count<deliver>(answered), 0, "status %u", status);
        cr_assert_eq(count<cancel_attempt>(answered), 1);
        const bool goes_on = count<send_attempt>(answered) == 1;
        const bool ends_cut = count<end_truncated>(answered) == 1;
        cr_assert_neq(goes_on, ends_cut);
        const command_list late =
            world.send(attempt_finished{resumed.request, resumed.attempt, true, {}});
        cr_assert_eq(count<complete>(late), 0);
    }
}

// Guards against cutting requests when an operator drains a server: it gets no new requests, the
// one in flight continues, and when it ends the server is released exactly once.
Test(request_core, drains_without_cutting_requests)
{
    fixture world;
    const send_attempt sent = answer_head(world, world.chat(1));
    const command_list notified = world.send(target_leaving{sent.target, true});
    cr_assert_eq(count<cancel_attempt>(notified), 0);
    cr_assert_eq(count<target_released>(notified), 0);
    for (std::uint64_t id = 2; id < 10; ++id)
        cr_assert(first<send_attempt>(world.chat(id))->target != sent.target);
    const command_list end = world.send(attempt_finished{sent.request, sent.attempt, true, {}});
    cr_assert_eq(count<complete>(end), 1);
    cr_assert_eq(count<target_released>(end), 1);
    cr_assert_eq(count<target_released>(world.pass(std::chrono::seconds{1})), 0);
}

// Guards against losing the notice that a target is leaving if it arrives before the list that
// contains the target.
Test(request_core, a_leaving_notice_before_the_target_is_known_is_kept)
{
    fixture world{0};
    world.send(target_leaving{target_id{"group-1"}, true});
    world.send(groups_changed{make_groups(2)});
    for (std::uint64_t id = 1; id < 9; ++id)
        cr_assert(first<send_attempt>(world.chat(id))->target == target_id{"group-2"});
}

// Guards against refusals only at the deadline under overload: requests that can't be served in
// time are refused on arrival, with a Retry-After, and are never sent.
Test(request_core, refuses_early_under_overload_with_a_time_to_come_back)
{
    fixture world{1};
    std::vector<send_attempt> running;
    for (std::uint64_t id = 1; id <= 8; ++id)
        running.push_back(answer_head(world, world.chat(id)));
    world.pass(std::chrono::seconds{3});
    // One ends, so that the core learns that an answer takes three seconds; the next request takes
    // its place.
    world.send(attempt_finished{running[0].request, running[0].attempt, true, {}});
    answer_head(world, world.chat(9));
    std::size_t early = 0;
    for (std::uint64_t id = 10; id <= 40; ++id) {
        const command_list out = world.chat(id);
        const refuse* answer = first<refuse>(out);
        if (answer == nullptr)
            continue;
        ++early;
        cr_assert(answer->ran == ran_state::no);
        cr_assert(answer->retry_after && answer->retry_after->count() >= 1);
    }
    cr_assert_gt(early, 20);
    cr_assert_eq(world.core.counters().refused_early, early);
}

// Guards against starvation of a workspace: while one workspace floods the pool, another with few
// requests gets its share, and the first one's requests are still served.
Test(request_core, a_flood_of_one_workspace_leaves_the_others_their_share)
{
    fixture world{1};
    std::map<request_id, std::string> owner;
    std::map<std::string, int> served;
    std::vector<send_attempt> running;
    std::uint64_t id = 0;
    const auto note = [&](const command_list& out) {
        for (const command& each : out) {
            if (const auto* sent = std::get_if<send_attempt>(&each)) {
                ++served[owner[sent->request]];
                running.push_back(*sent);
            }
        }
    };
    for (int round = 0; round < 200; ++round) {
        for (int many = 0; many < 10; ++many) {
            owner[request_id{++id}] = "dealers";
            note(world.chat(id, "dealers"));
        }
        owner[request_id{++id}] = "summary";
        note(world.chat(id, "summary"));
        for (int ends = 0; ends < 2; ++ends) {
            const send_attempt sent = running.front();
            running.erase(running.begin());
            world.send(attempt_sent{sent.request, sent.attempt});
            world.send(attempt_head{sent.request, sent.attempt, 200, sent.attempt, false, "v1"});
            note(world.send(attempt_finished{sent.request, sent.attempt, true, {}}));
        }
        note(world.pass(std::chrono::milliseconds{10}));
    }
    // Two places become free each round; one of them goes to the "summary" workspace.
    cr_assert_gt(served["summary"], 170, "summary got %d, dealers %d", served["summary"],
                 served["dealers"]);
    cr_assert_gt(served["dealers"], 150);
}

// Guards against leaking capacity: requests to a server that never answers end at their deadlines,
// and their places in the pool are free again for the next requests.
Test(request_core, a_timeout_frees_its_place)
{
    fixture world{1};
    for (std::uint64_t round = 0; round < 5; ++round) {
        for (std::uint64_t id = 1; id <= 8; ++id) {
            const command_list out = world.chat(round * 8 + id);
            const send_attempt* sent = first<send_attempt>(out);
            cr_assert_not_null(sent, "round %lu: no place", round);
            world.send(attempt_sent{sent->request, sent->attempt});
        }
        world.pass(std::chrono::seconds{20});
        cr_assert_eq(world.core.open_requests(), 0);
    }
}

// Guards against blaming a server for a slow caller: while a part of the answer is being written to
// the caller, here for 30 s, the attempt is not cancelled as stalled. When the server itself sends
// nothing afterwards, it is.
Test(request_core, a_slow_caller_is_not_a_stalled_server)
{
    fixture world;
    const send_attempt sent = answer_head(world, world.chat(1));
    world.send(attempt_progress{sent.request, sent.attempt, 1});
    world.send(attempt_writing_to_caller{sent.request, sent.attempt});
    cr_assert_eq(count<cancel_attempt>(world.pass(std::chrono::seconds{30})), 0);
    world.send(attempt_progress{sent.request, sent.attempt, 1});
    cr_assert_eq(count<cancel_attempt>(world.pass(std::chrono::seconds{4})), 0);
    cr_assert_eq(count<cancel_attempt>(world.pass(std::chrono::seconds{2})), 1);
}

// Guards against cancelling non-streamed requests as stalled: their head comes only after the whole
// answer has been generated, here after 10 s, while streams get their first token after 0.1 s.
Test(request_core, an_answer_that_is_not_streamed_has_until_its_deadline)
{
    configuration tables = make_tables();
    tables.routes[0].timeout = std::chrono::seconds{30};
    fixture world{fixture::default_settings(), 2, 1, tables};
    for (std::uint64_t id = 1; id <= 8; ++id) {
        const send_attempt sent = answer_head(world, world.chat(id));
        world.pass(std::chrono::milliseconds{100});
        world.send(attempt_progress{sent.request, sent.attempt, 1});
        world.send(attempt_finished{sent.request, sent.attempt, true, {}});
    }
    world.pass(std::chrono::seconds{1});
    request_info info;
    info.id = request_id{9};
    info.kind = request_kind::chat;
    info.model = "summary";
    const command_list out = world.send(request_arrived{info});
    const send_attempt sent = *first<send_attempt>(out);
    world.send(attempt_sent{sent.request, sent.attempt});
    cr_assert_eq(count<cancel_attempt>(world.pass(std::chrono::seconds{10})), 0);
    world.send(attempt_head{sent.request, sent.attempt, 200, sent.attempt, false, "v1"});
    cr_assert_eq(
        count<complete>(world.send(attempt_finished{sent.request, sent.attempt, true, {}})), 1);
}

// Guards against work for a caller that has disconnected: the attempt is cancelled at the engine,
// and there is no retry.
Test(request_core, a_caller_that_leaves_stops_the_engine)
{
    fixture world;
    const send_attempt sent = answer_head(world, world.chat(1));
    const command_list gone = world.send(caller_gone{sent.request});
    cr_assert_eq(count<cancel_attempt>(gone), 1);
    cr_assert_eq(count<forget>(gone), 1);
    cr_assert(world.send(attempt_failed{sent.request, sent.attempt, attempt_failure::cut}).empty());
}

// Guards against failed calls while one of three servers refuses every connection: idempotent calls
// succeed on retry, and the server is ejected after a few failures. If two of three fail, only one
// is ejected, since a single server could not carry the load of all.
Test(request_core, ejects_a_bad_server_but_never_most_of_a_pool)
{
    for (const std::size_t bad : {1UL, 2UL}) {
        fixture world;
        std::uint64_t id = 0;
        for (int round = 0; round < 60; ++round) {
            command_list out = world.plain(++id, "/read/1");
            while (const send_attempt* sent = first<send_attempt>(out)) {
                const send_attempt copy = *sent;
                const bool fails =
                    copy.target <= target_id{bad == 1 ? "10.0.0.1:80" : "10.0.0.2:80"};
                if (fails) {
                    out = world.send(
                        attempt_failed{copy.request, copy.attempt, attempt_failure::not_connected});
                    continue;
                }
                world.send(attempt_sent{copy.request, copy.attempt});
                world.send(attempt_head{copy.request, copy.attempt, 200, copy.attempt, false, ""});
                out = world.send(attempt_finished{copy.request, copy.attempt, true, {}});
            }
            world.pass(std::chrono::milliseconds{10});
            std::size_t ejected = 0;
            for (const target_status& row : world.core.targets())
                ejected += row.ejected ? 1 : 0;
            cr_assert_leq(ejected, 1);
        }
        cr_assert_geq(world.core.counters().ejections, 1);
        for (const command& each : world.commands) {
            if (const auto* refused = std::get_if<refuse>(&each))
                cr_assert(refused->ran == ran_state::no);
        }
        if (bad == 1)
            cr_assert_eq(count<complete>(world.commands), 60);
    }
}

// Guards against a retry storm when all servers of a service fail: retries stay at a tenth of the
// requests, plus the initial budget.
Test(request_core, retries_stay_a_share_of_the_traffic)
{
    fixture world;
    std::uint64_t id = 0;
    constexpr std::uint64_t requests = 500;
    while (id < requests) {
        command_list out = world.plain(++id, "/read/1");
        while (const send_attempt* sent = first<send_attempt>(out)) {
            const send_attempt copy = *sent;
            world.send(attempt_sent{copy.request, copy.attempt});
            out = world.send(attempt_failed{copy.request, copy.attempt, attempt_failure::cut});
        }
    }
    cr_assert_leq(world.core.counters().retries, requests / 10 + 10);
    cr_assert_gt(world.core.counters().retries, 10);
}

// Guards against a workspace's limit that applies to each entry VM instead of all of them: two VMs
// with demand for more stay at the limit of four together; when one has no more requests, the other
// gets its share.
Test(request_core, a_workspace_limit_holds_over_two_entry_nodes)
{
    configuration tables = make_tables();
    tables.pools[0].shares = {{workspace_id{"dealers"}, 1.0, 4}};
    fixture one{fixture::default_settings("entry-1"), 2, 1, tables};
    fixture two{fixture::default_settings("entry-2"), 2, 2, tables};
    const auto gossip = [&] {
        const command_list from_one = one.pass(std::chrono::milliseconds{510});
        const command_list from_two = two.pass(std::chrono::milliseconds{510});
        two.send(peer_demand_received{node_id{"entry-1"}, first<share_demand>(from_one)->rows});
        one.send(peer_demand_received{node_id{"entry-2"}, first<share_demand>(from_two)->rows});
    };
    // Each knows the other's demand for six requests before either sends.
    const std::vector<demand_row> six{{pool_id{"chat"}, workspace_id{"dealers"}, 0, 6}};
    one.send(peer_demand_received{node_id{"entry-2"}, six});
    two.send(peer_demand_received{node_id{"entry-1"}, six});
    for (std::uint64_t id = 1; id <= 6; ++id) {
        one.chat(id);
        two.chat(id);
    }
    cr_assert_eq(count<send_attempt>(one.commands) + count<send_attempt>(two.commands), 4);
    gossip();
    cr_assert_eq(count<send_attempt>(one.commands) + count<send_attempt>(two.commands), 4);
    for (std::uint64_t id = 1; id <= 6; ++id)
        two.send(caller_gone{request_id{id}});
    gossip();
    one.pass(std::chrono::milliseconds{20});
    cr_assert_eq(count<send_attempt>(one.commands), 4);
}
