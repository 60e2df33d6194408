// Servers that send nothing for a while and go on: paused, or busy for longer than usual.
#include "routing/modelled_fixture.h"

#include <criterion/criterion.h>

#include <set>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

using world = modelled_world;

/// A stream that has begun on the second of the two servers that its route allows.
send_attempt begin_on_last_server(world& sim)
{
    const send_attempt first = *last_command<send_attempt>(sim.submit());
    sim.begin(first);
    send_attempt second = *last_command<send_attempt>(sim.fail_attempt(first));
    sim.begin(second);
    return second;
}

/// Ends the stream and checks that its caller gets the whole answer.
void expect_completes(world& sim, const send_attempt& order)
{
    sim.send(attempt_progress{order.request, order.attempt, 1});
    cr_assert(last_command<complete>(
        sim.send(attempt_finished{order.request, order.attempt, true, std::nullopt})));
}

/// Begins `count` streams; returns their attempts.
std::vector<send_attempt> begin_streams(world& sim, int count)
{
    std::vector<send_attempt> begun;
    for (int index = 0; index < count; ++index) {
        begun.push_back(*last_command<send_attempt>(sim.submit()));
        sim.begin(begun.back());
    }
    return begun;
}

/// The first attempt that resumes a stream, if there is one.
std::optional<send_attempt> resumed_stream(const command_list& list)
{
    for (const command& one : list) {
        const auto* sent = std::get_if<send_attempt>(&one);
        if (sent != nullptr && sent->resume)
            return *sent;
    }
    return std::nullopt;
}

/// Streams at each of three groups, of which those at the groups in `silent` get no more events.
class three_groups {
public:
    explicit three_groups(std::set<std::string> silent)
        : m_streams{begin_streams(sim, 12)}, m_silent{std::move(silent)}
    {}

    /// Lets the time pass; the groups that are not silent go on to respond.
    command_list pass(duration time)
    {
        command_list all;
        for (duration done{0}; done < time; done += 20ms) {
            for (const send_attempt& order : m_streams) {
                if (!m_silent.contains(order.target.value()))
                    sim.send(attempt_progress{order.request, order.attempt, 1});
            }
            const command_list out = sim.pass(20ms);
            all.insert(all.end(), out.begin(), out.end());
        }
        return all;
    }

    [[nodiscard]] std::size_t streams_at(const std::string& group) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_streams.begin(), m_streams.end(), [&](const send_attempt& order) {
                return order.target.value() == group;
            }));
    }

    world sim{3};

private:
    std::vector<send_attempt> m_streams;
    std::set<std::string> m_silent;
};

} // namespace

// Guards against cutting a stream that may go to no other server when its server pauses.
Test(silent_servers, a_stream_on_its_last_server_waits_for_it)
{
    world sim{3};
    const send_attempt last = begin_on_last_server(sim);
    const command_list paused = sim.pass(2s);
    cr_assert_eq(count<cancel_attempt>(paused), 0U);
    cr_assert_eq(count<end_truncated>(paused), 0U);
    cr_assert(last_command<attempt_held>(paused)->reason == hold_reason::retries_used);
    expect_completes(sim, last);
}

// Guards against cutting a stream for want of a retry when its server pauses.
Test(silent_servers, a_stream_without_a_retry_in_the_budget_waits_for_its_server)
{
    core_settings settings = modelled_settings();
    settings.retry_extra = 0.0;
    world sim{3, settings};
    const send_attempt order = *last_command<send_attempt>(sim.submit());
    sim.begin(order);
    const command_list paused = sim.pass(2s);
    cr_assert_eq(count<cancel_attempt>(paused), 0U);
    cr_assert(last_command<attempt_held>(paused)->reason == hold_reason::no_retry_left);
    expect_completes(sim, order);
}

// Guards against cutting a stream whose server pauses while all other servers are full.
Test(silent_servers, a_stream_waits_for_its_server_while_no_other_has_a_place)
{
    world sim{2};
    std::vector<send_attempt> streams = begin_streams(sim, 16);
    cr_assert(!last_command<send_attempt>(sim.submit()), "both groups are full");
    command_list out;
    for (int step = 0; step < 200; ++step) {
        for (const send_attempt& order : streams) {
            if (order.target.value() == "g2")
                sim.send(attempt_progress{order.request, order.attempt, 1});
        }
        const command_list next = sim.pass(10ms);
        out.insert(out.end(), next.begin(), next.end());
    }
    cr_assert_eq(count<cancel_attempt>(out), 0U);
    cr_assert_eq(count<end_truncated>(out), 0U);
    for (const send_attempt& order : streams)
        expect_completes(sim, order);
}

// Guards against a stream that stays on a silent server although a place elsewhere became free.
Test(silent_servers, a_held_stream_moves_when_a_place_becomes_free)
{
    world sim{2};
    std::vector<send_attempt> streams = begin_streams(sim, 16);
    std::vector<send_attempt> responding;
    for (const send_attempt& order : streams) {
        if (order.target.value() == "g2")
            responding.push_back(order);
    }
    const auto respond = [&] {
        for (const send_attempt& order : responding)
            sim.send(attempt_progress{order.request, order.attempt, 1});
    };
    for (int step = 0; step < 100; ++step) {
        respond();
        sim.pass(10ms);
    }
    const send_attempt ended = responding.back();
    responding.pop_back();
    sim.send(attempt_finished{ended.request, ended.attempt, true, std::nullopt});
    command_list out;
    for (int step = 0; step < 20; ++step) {
        respond();
        const command_list next = sim.pass(10ms);
        out.insert(out.end(), next.begin(), next.end());
    }
    const auto moved = last_command<send_attempt>(out);
    cr_assert(moved);
    cr_assert(moved->resume && moved->target.value() == "g2");
}

// Guards against a caller that waits for a lost server for longer than its route allows.
Test(silent_servers, a_stream_of_a_lost_server_ends_at_its_deadline)
{
    world sim{3};
    begin_on_last_server(sim);
    cr_assert_eq(count<end_truncated>(sim.pass(7s)), 0U);
    const command_list end = sim.pass(2s);
    cr_assert_eq(count<end_truncated>(end), 1U);
    cr_assert(last_command<cancel_attempt>(end)->reason == cancel_reason::out_of_time);
}

// Guards against giving up the only server of a pool while it prepares its answer.
Test(silent_servers, a_request_stays_with_the_only_server)
{
    world sim{0};
    const send_attempt order = *last_command<send_attempt>(sim.submit("/chat/deep/x"));
    sim.send(attempt_sent{order.request, order.attempt});
    const command_list paused = sim.pass(7s);
    cr_assert_eq(count<cancel_attempt>(paused), 0U);
    sim.send(head_of(order, 200));
    cr_assert(last_command<complete>(
        sim.send(attempt_finished{order.request, order.attempt, true, std::nullopt})));
}

// Guards against moving streams among servers that have all paused, which uses up the servers that
// their routes allow.
Test(silent_servers, streams_stay_when_all_servers_fall_silent_together)
{
    three_groups fleet{{"g1", "g2", "g3"}};
    for (const char* group : {"g1", "g2", "g3"})
        cr_assert_gt(fleet.streams_at(group), 0U);
    const command_list out = fleet.pass(1'500ms);
    cr_assert_eq(count<cancel_attempt>(out), 0U);
    cr_assert(last_command<attempt_held>(out)->reason == hold_reason::servers_silent);
}

// Guards against moving streams from one paused server to another while a third one responds.
Test(silent_servers, streams_move_only_to_a_server_that_responds)
{
    three_groups fleet{{"g1", "g2"}};
    const std::size_t silent = fleet.streams_at("g1") + fleet.streams_at("g2");
    const command_list out = fleet.pass(1'500ms);
    cr_assert_gt(count<send_attempt>(out), 0U);
    cr_assert_leq(count<send_attempt>(out), silent);
    for (const command& one : out) {
        if (const auto* moved = std::get_if<send_attempt>(&one))
            cr_assert_eq(moved->target.value(), "g3");
    }
    cr_assert_eq(count<end_truncated>(out), 0U);
}

// Guards against streams that stay with a lost server because an idle one has not responded lately.
Test(silent_servers, a_stream_moves_to_an_idle_server)
{
    world sim{2};
    const send_attempt order = *last_command<send_attempt>(sim.submit());
    sim.begin(order);
    const auto moved = last_command<send_attempt>(sim.pass(700ms));
    cr_assert(moved);
    cr_assert_neq(moved->target, order.target);
}

// Guards against cutting a stream whose server was lost while the retry budget is empty.
Test(silent_servers, a_cut_stream_waits_for_a_retry_in_the_budget)
{
    core_settings settings = modelled_settings();
    settings.retry_extra = 1.0;
    world sim{3, settings};
    const send_attempt first = *last_command<send_attempt>(sim.submit());
    const send_attempt second = *last_command<send_attempt>(sim.submit());
    sim.begin(first);
    sim.begin(second);
    cr_assert(last_command<send_attempt>(sim.fail_attempt(first)), "takes the only retry");
    command_list out = sim.fail_attempt(second);
    const command_list waited = sim.pass(200ms);
    out.insert(out.end(), waited.begin(), waited.end());
    cr_assert_eq(count<send_attempt>(out), 0U);
    cr_assert_eq(count<end_truncated>(out), 0U);
    // Five requests earn a retry.
    for (int index = 0; index < 5; ++index)
        sim.submit();
    const auto resumed = resumed_stream(sim.pass(200ms));
    cr_assert(resumed);
    cr_assert_eq(resumed->request, second.request);
}

// Guards against requests that take the retries for which cut streams wait.
Test(silent_servers, a_request_that_has_not_begun_leaves_the_retry_to_a_waiting_stream)
{
    core_settings settings = modelled_settings();
    settings.retry_extra = 1.0;
    world sim{3, settings};
    const send_attempt taker = *last_command<send_attempt>(sim.submit());
    const send_attempt stream = *last_command<send_attempt>(sim.submit());
    const send_attempt waiting = *last_command<send_attempt>(sim.submit());
    sim.begin(taker);
    sim.begin(stream);
    sim.send(attempt_sent{waiting.request, waiting.attempt});
    sim.fail_attempt(taker);
    sim.fail_attempt(stream);
    for (int index = 0; index < 5; ++index)
        sim.submit();
    const command_list refused = sim.fail_attempt(waiting);
    cr_assert_eq(count<send_attempt>(refused), 0U);
    cr_assert(last_command<refuse>(refused));
    cr_assert_eq(resumed_stream(sim.pass(200ms))->request, stream.request);
}

// Guards against a stream that waits for a retry for ever.
Test(silent_servers, a_cut_stream_that_gets_no_retry_ends)
{
    core_settings settings = modelled_settings();
    settings.retry_extra = 0.0;
    world sim{3, settings};
    const send_attempt order = *last_command<send_attempt>(sim.submit());
    sim.begin(order);
    sim.fail_attempt(order);
    cr_assert_eq(count<end_truncated>(sim.pass(10s)), 1U);
    cr_assert_eq(sim.core.open_requests(), 0U);
}

// Guards against moving streams to an idle server that has paused with all others.
Test(silent_servers, streams_stay_when_all_servers_fall_silent_and_one_is_idle)
{
    world sim{4};
    begin_streams(sim, 3);
    cr_assert_eq(count<cancel_attempt>(sim.pass(1'800ms)), 0U);
}

namespace {

/// Plain servers of which each request may wait for long.
fixture plain_servers(const std::vector<relay_node>& nodes)
{
    configuration tables = make_tables();
    for (route& one : tables.routes)
        one.timeout = 20s;
    fixture made{fixture::default_settings(), 0, 1, tables};
    made.send(relay_nodes_changed{nodes});
    return made;
}

/// Sends a request to each of `count` servers.
void send_to_servers(fixture& sim, std::uint64_t count)
{
    std::set<target_id> used;
    for (std::uint64_t id = 1; id <= count; ++id) {
        const send_attempt sent = *first<send_attempt>(sim.plain(id, "/read"));
        used.insert(sent.target);
        sim.send(attempt_sent{sent.request, sent.attempt});
    }
    cr_assert_eq(used.size(), count);
}

} // namespace

// Guards against requests that stay with dead servers while an idle one is sound.
Test(silent_servers, requests_of_two_dead_servers_move_to_an_idle_one)
{
    fixture sim = plain_servers({});
    send_to_servers(sim, 2);
    cr_assert_gt(count<send_attempt>(sim.pass(15s)), 0U);
}

// Guards against a cut of the node's links that is never suspected because connections stay open.
Test(silent_servers, servers_that_are_all_silent_are_probed)
{
    fixture sim = plain_servers({{node_id{"entry-2"}, failure_domain_id{"a"}, "10.2.0.2:7340"}});
    send_to_servers(sim, 3);
    cr_assert_gt(count<probe_server>(sim.pass(15s)), 0U);
}

// Guards against sound servers that are taken for silent on a node where all answers come late.
Test(silent_servers, servers_are_not_silent_if_all_answer_late)
{
    world sim{12};
    std::size_t silent = 0;
    constexpr int rounds = 30;
    for (int round = 0; round < rounds; ++round) {
        std::vector<send_attempt> sent;
        for (int request = 0; request < 6; ++request) {
            if (const auto order = last_command<send_attempt>(sim.submit()))
                sent.push_back(*order);
        }
        const command_list out = sim.pass(600ms);
        if (round >= rounds / 2)
            silent += std::count_if(out.begin(), out.end(), [](const command& one) {
                return std::holds_alternative<target_silent>(one);
            });
        for (const send_attempt& order : sent) {
            sim.begin(order);
            sim.send(attempt_finished{order.request, order.attempt, true, std::nullopt});
        }
    }
    cr_assert_eq(silent, 0U, "%zu", silent);
}

// Guards against servers that are taken for silent by a node that has not run itself for a while.
Test(silent_servers, a_node_that_has_not_run_reads_before_it_judges)
{
    world sim{2};
    const send_attempt order = *last_command<send_attempt>(sim.submit());
    sim.begin(order);
    sim.pass(20ms);
    sim.now += 2s;
    const command_list late = sim.send(tick{});
    cr_assert(!last_command<target_silent>(late));
    cr_assert(!last_command<cancel_attempt>(late));
    sim.send(attempt_progress{order.request, order.attempt, 1}); // was in the socket
    cr_assert(!last_command<target_silent>(sim.pass(100ms)));
}
