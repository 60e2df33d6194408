// Contents of requests under which servers end.
#include "routing/crash_suspects.h"
#include "routing/modelled_fixture.h"

#include <criterion/criterion.h>

#include <limits>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

const content_id culprit{1};
const content_id shared{2};

vm_id runner(int number)
{
    return vm_id{"i-" + std::to_string(number)};
}

/// Nodes that exchange evidence with a delay.
struct fleet {
    explicit fleet(std::size_t nodes) : suspects(nodes) {}

    void end_server(std::size_t node, std::vector<content_id> contents)
    {
        suspects[node].note_ended(runner(++ended), contents, now);
        pass(100ms);
    }

    void pass(duration time)
    {
        now += time;
        for (std::size_t from = 0; from < suspects.size(); ++from) {
            suspects[from].tick(now);
            for (const crash_evidence& each : suspects[from].take_evidence())
                deliver(from, each);
        }
    }

    void deliver(std::size_t from, crash_evidence evidence)
    {
        evidence.age += 50ms;
        for (std::size_t to = 0; to < suspects.size(); ++to) {
            if (to != from)
                suspects[to].note_evidence(evidence, now);
        }
    }

    [[nodiscard]] std::size_t blocking(content_id content) const
    {
        return static_cast<std::size_t>(
            std::count_if(suspects.begin(), suspects.end(), [&](const auto& each) {
                return each.is_blocked({&content, 1});
            }));
    }

    std::vector<crash_suspects> suspects;
    time_point now{};
    int ended = 0;
};

request_info request_with(std::uint64_t id, content_id content)
{
    request_info info;
    info.id = request_id{id};
    info.kind = request_kind::plain;
    info.method = "POST";
    info.path = "/chat/x";
    info.host = "a.example";
    info.credential = "key-1";
    info.model = "m";
    info.prompt_tokens = 1'000;
    info.contents = {content};
    return info;
}

/// Sends a request and ends the server that gets it, if there is one.
bool end_a_server(modelled_world& world, std::uint64_t id, bool ended = true)
{
    const auto sent =
        last_command<send_attempt>(world.send(request_arrived{request_with(id, culprit)}));
    if (!sent)
        return false;
    world.send(attempt_sent{sent->request, sent->attempt});
    const command_list out = world.fail_attempt(*sent);
    const auto check = last_command<check_server_ended>(out);
    cr_assert(check);
    world.send(server_checked{check->target, check->server, ended});
    world.send(caller_gone{sent->request});
    if (ended)
        world.send(group_broken{check->target});
    return true;
}

} // namespace

// Guards against a fleet in which each node counts the ends of servers for itself.
Test(crash_suspects, ends_seen_by_different_nodes_add_up)
{
    fleet all{4};
    all.end_server(0, {culprit});
    all.end_server(1, {culprit});
    cr_assert_eq(all.blocking(culprit), 0U);
    all.end_server(2, {culprit});
    cr_assert_eq(all.blocking(culprit), 4U);
}

// Guards against counting one end of a server twice, as two nodes see it or a report is repeated.
Test(crash_suspects, an_end_that_several_nodes_report_counts_once)
{
    fleet all{3};
    for (std::size_t node = 0; node < 3; ++node)
        all.suspects[node].note_ended(runner(1), std::vector{culprit}, all.now);
    all.pass(100ms);
    all.pass(100ms);
    cr_assert_eq(all.blocking(culprit), 0U);
}

// Guards against blocking what sound requests share with those that end servers.
Test(crash_suspects, a_content_that_is_answered_is_not_blocked)
{
    fleet all{2};
    for (int end = 0; end < 6; ++end) {
        all.suspects[1].note_served(std::vector{shared}, all.now, all.now);
        all.end_server(0, {culprit, shared});
    }
    cr_assert_eq(all.blocking(culprit), 2U);
    cr_assert_eq(all.blocking(shared), 0U, "node 1 has seen it answered");
}

// Guards against a content that stays blocked although a server has answered it since.
Test(crash_suspects, an_answer_lifts_the_block_on_all_nodes)
{
    fleet all{3};
    for (std::size_t node = 0; node < 3; ++node)
        all.end_server(node, {shared});
    cr_assert_eq(all.blocking(shared), 3U);
    all.suspects[2].note_served(std::vector{shared}, all.now, all.now);
    all.pass(100ms);
    cr_assert_eq(all.blocking(shared), 0U);
}

// Guards against a node that starts later and has to see servers end itself.
Test(crash_suspects, a_node_that_starts_learns_what_is_blocked)
{
    fleet all{3};
    for (std::size_t node = 0; node < 3; ++node)
        all.end_server(node, {culprit});
    all.pass(1s);
    all.suspects[0] = crash_suspects{};
    for (std::size_t node = 1; node < 3; ++node)
        all.suspects[node].note_peer_started(all.now);
    for (int step = 0; step < 6; ++step)
        all.pass(100ms);
    cr_assert_eq(all.blocking(culprit), 3U);
}

// Guards against a culprit that the number of interrupted contents hides.
Test(crash_suspects, a_content_among_many_is_blocked)
{
    const content_id last{std::numeric_limits<std::uint64_t>::max()};
    fleet all{2};
    for (std::uint64_t end = 1; end <= 3; ++end) {
        std::vector<content_id> contents{last};
        for (std::uint64_t number = 0; number < 200; ++number)
            contents.emplace_back(1'000 * end + number);
        all.end_server(0, contents);
    }
    cr_assert_eq(all.blocking(last), 2U);
    cr_assert_eq(all.blocking(content_id{1'001}), 0U);
}

// Guards against a mistaken block that never ends, and against a new series of ends after each
// block.
Test(crash_suspects, a_block_ends_and_one_more_end_renews_it)
{
    fleet all{2};
    for (int end = 0; end < 3; ++end)
        all.end_server(0, {culprit});
    for (int second = 0; second < 125; ++second)
        all.pass(1s);
    cr_assert_eq(all.blocking(culprit), 0U);
    all.end_server(1, {culprit});
    cr_assert_eq(all.blocking(culprit), 2U);
}

// Guards against callers that fill the memory of a node with contents.
Test(crash_suspects, the_number_of_contents_is_bounded)
{
    constexpr std::uint64_t many = 100'000;
    crash_suspects suspects;
    time_point now{};
    std::size_t reports = 0;
    for (std::uint64_t number = 0; number < many; number += 100) {
        std::vector<content_id> contents;
        for (std::uint64_t at = 0; at < 100; ++at)
            contents.emplace_back(number + at);
        suspects.note_served(std::vector{content_id{many + number}}, now, now);
        suspects.note_ended(runner(static_cast<int>(number)), contents, now);
        reports = std::max(reports, suspects.take_evidence().size());
        now += 1ms;
    }
    cr_assert_leq(suspects.size(), 2'048U);
    cr_assert_leq(reports, 64U, "reports of one end");
    suspects.tick(now + 61s);
    cr_assert_eq(suspects.size(), 0U);
}

// Guards against sending a request on after three servers have ended under it.
Test(crash_suspects, a_request_that_ends_servers_is_refused_as_not_run)
{
    modelled_world world{6};
    for (std::uint64_t id = 1; id <= 3; ++id)
        cr_assert(end_a_server(world, id));
    const command_list out = world.send(request_arrived{request_with(10, culprit)});
    cr_assert_not(last_command<send_attempt>(out));
    const auto refused = last_command<refuse>(out);
    cr_assert(refused);
    cr_assert_eq(refused->ran, ran_state::no);
    cr_assert(refused->retry_after);
    cr_assert(last_command<send_attempt>(world.send(request_arrived{request_with(11, shared)})));
}

// Guards against taking a reset connection for the end of its server.
Test(crash_suspects, a_server_that_only_resets_connections_has_not_ended)
{
    modelled_world world{6};
    for (std::uint64_t id = 1; id <= 8; ++id)
        cr_assert(end_a_server(world, id, false), "request %lu is refused", id);
}

// Guards against suspecting requests whose answers had been coming for a while when their server
// ended.
Test(crash_suspects, a_stream_that_was_being_answered_is_no_cause)
{
    modelled_world world{6};
    const auto sent =
        last_command<send_attempt>(world.send(request_arrived{request_with(1, culprit)}));
    world.begin(*sent);
    world.now += 300ms;
    world.send(attempt_progress{sent->request, sent->attempt, 1});
    const command_list out = world.fail_attempt(*sent);
    cr_assert_not(last_command<check_server_ended>(out));
    cr_assert(last_command<send_attempt>(out), "it goes on at once");
}
