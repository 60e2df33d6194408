#include "daemon/registry_fixture.h"

#include <criterion/criterion.h>

// Streams were cut beside planned work while their servers were sound but silent for about a
// second. Here servers are paused for 0.6 to 1.8 s and go on. Callers' deadlines are far away, so
// each answer has to be whole: a silent server is no reason to end an answer sooner.

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t stream_events = 120; // long enough to be open together on a busy machine
constexpr std::chrono::milliseconds event_gap{10};
constexpr std::chrono::milliseconds caller_timeout{20'000};
constexpr std::chrono::milliseconds until_streams_run{200};
constexpr std::array<duration, 3> pauses{600ms, 1'200ms, 1'800ms};

enum class retries { none, plenty };

registry_fixture_settings fleet_settings(std::size_t nodes, retries budget)
{
    const auto fabric = std::make_shared<runner_fabric>();
    fabric->stall =
        site_bounds{}.group_stall; // longer than any pause, so no group breaks by itself
    return {.nodes = nodes,
            .retry_extra = budget == retries::plenty ? 1'000.0 : 0.0,
            .retry_window = 0ms,
            .events = stream_events,
            .gap = event_gap,
            .timeout = caller_timeout,
            .balancer_wait = 200ms,
            .fabric = fabric};
}

std::string whole_stream()
{
    std::string all;
    for (std::size_t id = 1; id <= stream_events; ++id)
        all += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
    return all;
}

/// Begins `count` requests at each node.
std::vector<begun_request> begin_everywhere(registry_fixture& fleet, const std::string& path,
                                            std::size_t count)
{
    std::vector<begun_request> begun;
    for (std::size_t sent = 0; sent < count; ++sent) {
        for (std::size_t node = 0; node < fleet.daemons.size(); ++node)
            begun.push_back(fleet.begin(node, path));
    }
    return begun;
}

bool all_ended(const std::vector<begun_request>& begun)
{
    return std::all_of(begun.begin(), begun.end(),
                       [](const auto& one) { return one.answer->ended; });
}

bool any_ended(const std::vector<begun_request>& begun)
{
    return std::any_of(begun.begin(), begun.end(),
                       [](const auto& one) { return one.answer->ended; });
}

/// Begins streams at each node and waits until all of them run.
std::vector<begun_request> begin_streams(registry_fixture& fleet, std::size_t count)
{
    std::vector<begun_request> streams = begin_everywhere(fleet, "/chat/1", count);
    cr_assert(fleet.run_until([&] {
        return std::all_of(streams.begin(), streams.end(),
                           [](const auto& one) { return !one.answer->body.empty(); });
    }));
    fleet.run(until_streams_run);
    cr_assert(!any_ended(streams), "the streams must be open when their servers fall silent");
    return streams;
}

/// Waits for the streams and checks that each has all events, in order and once.
void expect_whole(registry_fixture& fleet, const std::vector<begun_request>& streams)
{
    cr_expect(fleet.run_until([&] { return all_ended(streams); }, 2 * caller_timeout));
    const std::string whole = whole_stream();
    for (const begun_request& one : streams) {
        const received_answer& answer = *one.answer;
        const auto events = std::count(answer.body.begin(), answer.body.end(), '\n') / 3;
        cr_expect(answer.complete && answer.body == whole, "%s: status %u, %zu of %zu events, %s",
                  one.id.c_str(), static_cast<unsigned>(answer.status),
                  static_cast<std::size_t>(events), stream_events,
                  answer.complete ? "ended as if complete" : "cut");
    }
}

void pause_all(registry_fixture& fleet, duration time)
{
    for (const auto& server : fleet.servers)
        server->pause(time);
}

void expect_whole_while_all_pause(std::size_t nodes, retries budget)
{
    constexpr std::size_t streams_per_node = 5;
    registry_fixture fleet{fleet_settings(nodes, budget)};
    for (const duration pause : pauses) {
        const auto streams = begin_streams(fleet, streams_per_node);
        pause_all(fleet, pause);
        expect_whole(fleet, streams);
    }
}

/// Both heads pause, one after the other, and overlap.
void expect_whole_while_heads_pause_in_turn(std::size_t nodes, retries budget)
{
    constexpr std::size_t streams_per_node = 5;
    constexpr duration pause = 1'200ms;
    constexpr duration until_second = 700ms;
    registry_fixture fleet{fleet_settings(nodes, budget)};
    const auto heads = fleet.heads();
    cr_assert_eq(heads.size(), 2U);
    const auto streams = begin_streams(fleet, streams_per_node);
    heads[0]->pause(pause);
    fleet.run(until_second);
    heads[1]->pause(pause);
    expect_whole(fleet, streams);
}

/// All servers pause while `plan` is carried out at the fleet.
template <class Plan>
void expect_whole_beside(Plan plan, retries budget)
{
    constexpr std::size_t streams_per_node = 5;
    constexpr duration pause = 1'500ms;
    constexpr duration before_pause = 50ms;
    registry_fixture fleet{fleet_settings(2, budget)};
    const auto streams = begin_streams(fleet, streams_per_node);
    plan(fleet);
    fleet.run(before_pause);
    pause_all(fleet, pause);
    expect_whole(fleet, streams);
}

} // namespace

// Guards against cutting a stream by a timer between two events while all servers are silent.
Test(silent_servers, streams_stay_whole_while_all_servers_pause)
{
    expect_whole_while_all_pause(1, retries::plenty);
}

// Guards against cutting a silent stream because no retry is left in the budget.
Test(silent_servers, streams_stay_whole_while_all_servers_pause_and_no_retry_is_left)
{
    expect_whole_while_all_pause(1, retries::none);
}

// Guards against two nodes that take a pause of all servers for a cut of their own links.
Test(silent_servers, streams_of_two_nodes_stay_whole_while_all_servers_pause)
{
    expect_whole_while_all_pause(2, retries::plenty);
}

// Guards against moving a stream to its last server, which falls silent as well.
Test(silent_servers, streams_stay_whole_while_servers_pause_in_turn)
{
    expect_whole_while_heads_pause_in_turn(1, retries::plenty);
}

// Guards against giving up a silent server when only some are silent and no retry is left.
Test(silent_servers, streams_stay_whole_while_servers_pause_in_turn_and_no_retry_is_left)
{
    expect_whole_while_heads_pause_in_turn(2, retries::none);
}

// Guards against ending a group, and its streams, because a member other than the head is silent.
Test(silent_servers, streams_stay_whole_while_the_other_members_of_all_groups_pause)
{
    constexpr std::size_t streams_wanted = 6;
    registry_fixture fleet{fleet_settings(1, retries::plenty)};
    for (const duration pause : pauses) {
        const auto streams = begin_streams(fleet, streams_wanted);
        for (const auto& server : fleet.servers) {
            if (!server->open())
                server->pause(pause);
        }
        expect_whole(fleet, streams);
    }
}

// Guards against cutting a stream whose first server was lost and whose last one is silent.
Test(silent_servers, a_resumed_stream_stays_whole_while_its_second_server_pauses)
{
    constexpr std::size_t streams_wanted = 6;
    constexpr std::size_t events_before_cut = 5;
    registry_fixture fleet{fleet_settings(1, retries::plenty)};
    const auto heads = fleet.heads();
    cr_assert_eq(heads.size(), 2U);
    for (const duration pause : pauses) {
        const std::size_t ran_before = heads[1]->ran.size();
        heads[0]->faults.cut_after = events_before_cut;
        const auto streams = begin_everywhere(fleet, "/chat/1", streams_wanted);
        cr_assert(
            fleet.run_until([&] { return heads[1]->ran.size() == ran_before + streams.size(); }));
        heads[0]->faults.cut_after = 0;
        fleet.run(until_streams_run);
        cr_assert(!any_ended(streams));
        heads[1]->pause(pause);
        expect_whole(fleet, streams);
    }
}

// Guards against cutting streams while servers are silent beside a change of the configuration.
Test(silent_servers, streams_stay_whole_beside_a_change_of_the_configuration)
{
    for (const retries budget : {retries::plenty, retries::none})
        expect_whole_beside([](registry_fixture& fleet) { fleet.change_configuration(); }, budget);
}

// Guards against cutting streams while servers are silent beside a reload of the settings.
Test(silent_servers, streams_stay_whole_beside_a_reload)
{
    const auto reload_all = [](registry_fixture& fleet) {
        for (std::size_t node = 0; node < fleet.daemons.size(); ++node)
            fleet.reload(node);
    };
    expect_whole_beside(reload_all, retries::plenty);
}

// Guards against cutting streams of a stopping node, or of its peer, while servers are silent.
Test(silent_servers, streams_stay_whole_beside_a_planned_stop)
{
    for (const retries budget : {retries::plenty, retries::none}) {
        expect_whole_beside([](registry_fixture& fleet) { fleet.begin_stop(1); }, budget);
    }
}

// Guards against cutting streams that pass through another node while servers are silent.
Test(silent_servers, streams_through_another_node_stay_whole_while_servers_pause)
{
    constexpr std::size_t streams_per_node = 5;
    registry_fixture fleet{fleet_settings(2, retries::plenty)};
    fleet.cut(1);
    cr_assert_eq(fleet.served(1, "/chat/1", 1), 1U);
    for (const duration pause : pauses) {
        const std::uint64_t before = fleet.daemons[0]->counts().requests;
        const auto streams = begin_streams(fleet, streams_per_node);
        cr_assert_eq(fleet.daemons[0]->counts().requests - before, streams.size(),
                     "streams of the other node must pass through this one");
        pause_all(fleet, pause);
        expect_whole(fleet, streams);
    }
}

// Guards against refusing, repeating or losing requests to plain servers that are silent.
Test(silent_servers, plain_requests_at_paused_servers_are_answered)
{
    constexpr std::size_t requests_per_node = 4;
    registry_fixture fleet{fleet_settings(2, retries::plenty)};
    fleet.served(0, "/read/1", requests_per_node); // connections and usual response times
    fleet.served(1, "/order/1", requests_per_node);
    for (const duration pause : pauses) {
        pause_all(fleet, pause);
        const auto reads = begin_everywhere(fleet, "/read/1", requests_per_node);
        const auto orders = begin_everywhere(fleet, "/order/1", requests_per_node);
        cr_expect(fleet.run_until([&] { return all_ended(reads) && all_ended(orders); },
                                  2 * caller_timeout));
        for (const auto* kind : {&reads, &orders}) {
            for (const begun_request& one : *kind) {
                const bool whole =
                    one.answer->complete && one.answer->body.starts_with("answer of");
                cr_expect(whole, "%s %s: status %u: %s", kind == &reads ? "read" : "order",
                          one.id.c_str(), static_cast<unsigned>(one.answer->status),
                          one.answer->body.c_str());
            }
        }
        for (const begun_request& order : orders) {
            std::size_t runs = 0;
            for (const auto& server : fleet.servers) {
                runs += static_cast<std::size_t>(
                    std::count_if(server->ran.begin(), server->ran.end(),
                                  [&](const auto& seen) { return seen.attempt == order.id; }));
            }
            cr_expect_eq(runs, 1U, "%s ran %zu times", order.id.c_str(), runs);
        }
    }
}

namespace {

/// Loses the head of a group by `lose(head)` and checks that its streams go on at the other one.
template <class Lose>
void expect_resumed_elsewhere(Lose lose)
{
    constexpr std::size_t streams_wanted = 6;
    registry_fixture fleet{fleet_settings(1, retries::plenty)};
    const auto streams = begin_streams(fleet, streams_wanted);
    const auto lost = fleet.heads().front();
    cr_assert(!lost->ran.empty());
    lose(*lost);
    expect_whole(fleet, streams);
    for (const begun_request& one : streams)
        cr_expect_lt(one.answer->took, caller_timeout / 4, "%s", one.id.c_str());
}

} // namespace

// Guards against waiting for a crashed server until the deadline while another one is sound.
Test(silent_servers, streams_of_a_crashed_server_resume_on_a_sound_one)
{
    expect_resumed_elsewhere([](runner_standin& head) { head.crash(); });
}

// Guards against waiting for a server that never goes on until the deadline while another is sound.
Test(silent_servers, streams_of_a_server_that_stays_silent_resume_on_a_sound_one)
{
    expect_resumed_elsewhere([](runner_standin& head) { head.pause(4 * caller_timeout); });
}
