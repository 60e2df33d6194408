// Requests that are sent through another node while this one reaches no backend server.
#include "routing/core_fixture.h"

#include <criterion/criterion.h>

#include <set>

using namespace jaynotch;
using namespace jaynotch::testing;
using namespace std::chrono_literals;

namespace {

/// Tables in which /read and /once need three servers each to fail before the node is cut off.
fixture make_world(std::size_t nodes = 2,
                   const core_settings& settings = fixture::default_settings())
{
    fixture world{settings, 3, 1};
    relay_nodes_changed seen;
    for (std::size_t node = 0; node < nodes; ++node)
        seen.nodes.push_back({node_id{"entry-" + std::to_string(node + 2)}, failure_domain_id{"a"},
                              "10.2.0." + std::to_string(node + 2) + ":7340"});
    world.send(seen);
    return world;
}

/// Whether a probe asks another node, which stays in reach in these tests.
bool is_node(const target_id& probed)
{
    return probed.value().starts_with("node/");
}

command_list fail(fixture& world, const send_attempt& attempt, attempt_failure why)
{
    return world.send(attempt_failed{attempt.request, attempt.attempt, why});
}

/// Fails connections until the request leaves the servers; the attempt at a node, or nullopt.
std::optional<send_attempt> fail_connections(fixture& world, command_list next)
{
    for (int attempts = 0; attempts < 8; ++attempts) {
        const auto* sent = first<send_attempt>(next);
        if (sent == nullptr || sent->relayed)
            return sent == nullptr ? std::optional<send_attempt>{} : *sent;
        next = fail(world, *sent, attempt_failure::not_connected);
    }
    return std::nullopt;
}

/// Cuts the node off: requests find no connection until each is sent through another node.
void cut_off(fixture& world)
{
    for (std::uint64_t id = 900; id < 904; ++id)
        (void)fail_connections(world, world.plain(id, "/once"));
    world.pass(20ms);
    cr_assert(world.core.cut_off());
}

attempt_head refusal_of(const send_attempt& attempt, error_kind kind, ran_state ran)
{
    attempt_head head;
    head.request = attempt.request;
    head.attempt = attempt.attempt;
    head.status = 503;
    head.refusal = relay_refusal{{kind, "refused", "send it again"}, ran, 700ms};
    return head;
}

} // namespace

// Guards against refusing a request that another node could serve.
Test(detour_core, a_request_that_reaches_no_server_goes_through_another_node)
{
    fixture world = make_world();
    const auto detour = fail_connections(world, world.plain(1, "/once"));
    cr_assert(detour);
    cr_assert(detour->address.starts_with("10.2.0."));
    cr_assert(detour->instance.value().empty());
    cr_assert_eq(detour->relayed->servers_used, 0U);
}

// Guards against wasting a caller's time on servers that are known to be out of reach.
Test(detour_core, a_cut_off_node_passes_requests_on_at_once)
{
    fixture world = make_world();
    cut_off(world);
    const command_list next = world.plain(1, "/read");
    const auto* sent = first<send_attempt>(next);
    cr_assert(sent != nullptr && sent->relayed);
    cr_assert(sent->relayed->first_attempt, "no server has had it");
}

// Guards against a request that runs twice: its first sending may have run at a server.
Test(detour_core, a_request_that_may_have_run_is_not_passed_on)
{
    fixture world = make_world();
    std::vector<send_attempt> sent; // each at another server
    for (std::uint64_t id = 1; id <= 3; ++id)
        sent.push_back(*first<send_attempt>(world.plain(id, "/once")));
    world.send(attempt_sent{sent[0].request, sent[0].attempt});
    for (std::uint64_t id = 4; id <= 20; ++id)
        (void)fail_connections(world, world.plain(id, "/once"));
    cr_assert(world.core.cut_off());
    const command_list end = fail(world, sent[0], attempt_failure::cut);
    cr_assert_eq(first<send_attempt>(end), nullptr);
    cr_assert_eq(first<refuse>(end)->ran, ran_state::unknown);
}

// Guards against a second run through a second node after the first node was lost.
Test(detour_core, a_detour_that_was_cut_is_not_repeated)
{
    fixture world = make_world();
    const auto detour = fail_connections(world, world.plain(1, "/once"));
    cr_assert(detour);
    world.send(attempt_sent{detour->request, detour->attempt});
    const command_list end = fail(world, *detour, attempt_failure::cut);
    cr_assert_eq(first<send_attempt>(end), nullptr);
    cr_assert_eq(first<refuse>(end)->ran, ran_state::unknown);
}

// Guards against requests that travel between nodes: one that was passed on is never passed on.
Test(detour_core, a_relayed_request_is_never_passed_on)
{
    fixture world = make_world();
    cut_off(world);
    request_info info;
    info.id = request_id{1};
    info.method = "POST";
    info.path = "/read";
    info.relayed = relayed_request{};
    const command_list next = world.send(request_arrived{info});
    cr_assert_eq(first<send_attempt>(next), nullptr);
    cr_assert_eq(first<refuse>(next)->ran, ran_state::no);
    cr_assert_eq(first<refuse>(next)->failure.kind, error_kind::unavailable);
}

// Guards against a refusal while a third node could serve the request, and against endless tries.
Test(detour_core, a_node_that_reaches_no_server_either_is_replaced_by_another)
{
    fixture world = make_world(2);
    const auto detour = fail_connections(world, world.plain(1, "/once"));
    cr_assert(detour);
    const command_list next =
        world.send(refusal_of(*detour, error_kind::unavailable, ran_state::no));
    const auto* second = first<send_attempt>(next);
    cr_assert(second != nullptr && second->relayed && second->address != detour->address);
    const command_list end =
        world.send(refusal_of(*second, error_kind::unavailable, ran_state::no));
    cr_assert_eq(first<send_attempt>(end), nullptr);
    cr_assert_eq(first<refuse>(end)->ran, ran_state::no);
}

// Guards against an arrival at a second server that no node counts as a retry: the first node's
// server has rejected the request.
Test(detour_core, a_second_detour_after_a_server_was_reached_is_charged)
{
    core_settings settings = fixture::default_settings();
    settings.retry_extra = 1.0;
    settings.charge_every_retry = true;
    fixture world = make_world(3, settings);
    const auto detour = fail_connections(world, world.plain(1, "/once"));
    cr_assert(detour);
    cr_assert_geq(world.core.retries_left(detour->request), 1.0);
    attempt_head refusal = refusal_of(*detour, error_kind::unavailable, ran_state::no);
    refusal.refusal->reached_server = true;
    const command_list next = world.send(refusal);
    const auto* second = first<send_attempt>(next);
    cr_assert(second != nullptr && second->relayed);
    cr_assert_not(second->relayed->first_attempt);
    cr_assert_lt(world.core.retries_left(detour->request), 1.0);
    attempt_head again = refusal_of(*second, error_kind::unavailable, ran_state::no);
    again.refusal->reached_server = true;
    const command_list end = world.send(again);
    cr_assert_eq(first<send_attempt>(end), nullptr, "the budget is empty");
}

// Guards against losing the other node's statement of when to return.
Test(detour_core, the_refusal_of_a_busy_node_is_the_answer)
{
    fixture world = make_world();
    const auto detour = fail_connections(world, world.plain(1, "/once"));
    cr_assert(detour);
    const command_list end = world.send(refusal_of(*detour, error_kind::overloaded, ran_state::no));
    cr_assert_eq(first<refuse>(end)->failure.kind, error_kind::overloaded);
    cr_assert_eq(*first<refuse>(end)->retry_after, 700ms);
}

// Guards against detours after a single server has failed.
Test(detour_core, one_failed_server_is_no_cut)
{
    fixture world = make_world();
    for (std::uint64_t id = 1; id <= 20; ++id) {
        command_list next = world.plain(id, "/read");
        const auto* sent = first<send_attempt>(next);
        cr_assert(sent != nullptr && !sent->relayed);
        if (sent->address != "10.0.0.1:80") {
            world.send(attempt_connected{sent->request, sent->attempt});
            attempt_head head;
            head.request = sent->request;
            head.attempt = sent->attempt;
            head.status = 200;
            world.send(head);
            world.send(attempt_finished{sent->request, sent->attempt, true, std::nullopt});
            continue;
        }
        next = fail(world, *sent, attempt_failure::not_connected);
        const auto* again = first<send_attempt>(next);
        cr_assert(again != nullptr && !again->relayed);
        world.send(caller_gone{again->request});
    }
    cr_assert_eq(world.core.counters().detours, 0U);
}

// Guards against detours after the cut has ended.
Test(detour_core, a_probe_that_is_answered_ends_the_detours)
{
    fixture world = make_world();
    cut_off(world);
    world.pass(300ms);
    cr_assert_eq(count<probe_server>(world.commands), 1U, "one probe at a time");
    std::set<target_id> answered;
    for (int probes = 0; probes < 40 && answered.size() < 2; ++probes) {
        const target_id probed =
            std::get<probe_server>(
                *std::find_if(
                    world.commands.rbegin(), world.commands.rend(),
                    [](const command& each) { return std::holds_alternative<probe_server>(each); }))
                .target;
        answered.insert(probed);
        world.send(server_probed{probed, true});
        if (answered.size() < 2)
            world.pass(200ms);
    }
    const command_list ended = world.pass(10ms);
    cr_assert(first<reach_changed>(ended)->state == reach_state::reached);
    const command_list next = world.plain(1, "/read");
    const auto* sent = first<send_attempt>(next);
    cr_assert(sent != nullptr && !sent->relayed);
}

// Guards against detours because several servers are busy and send nothing for a while.
Test(detour_core, silent_servers_that_answer_a_probe_are_no_cut)
{
    fixture world = make_world();
    std::vector<send_attempt> sent; // each at another server
    for (std::uint64_t id = 1; id <= 3; ++id)
        sent.push_back(*first<send_attempt>(world.plain(id, "/read")));
    for (const send_attempt& attempt : sent)
        fail(world, attempt, attempt_failure::stalled);
    const command_list waited = world.pass(20ms);
    cr_assert(!world.core.cut_off());
    const auto* probe = first<probe_server>(waited);
    cr_assert_neq(probe, nullptr);
    world.send(server_probed{probe->target, true});
    world.pass(20ms);
    cr_assert(!world.core.cut_off());
}

// Guards against requests that stay with servers that send nothing and answer no probe.
Test(detour_core, silent_servers_that_answer_no_probe_are_a_cut)
{
    fixture world = make_world();
    std::vector<send_attempt> sent;
    for (std::uint64_t id = 1; id <= 3; ++id)
        sent.push_back(*first<send_attempt>(world.plain(id, "/read")));
    for (const send_attempt& attempt : sent)
        fail(world, attempt, attempt_failure::stalled);
    const command_list waited = world.pass(20ms);
    const auto* probe = first<probe_server>(waited);
    cr_assert_neq(probe, nullptr);
    for (const command& each : waited) {
        const auto* asked = std::get_if<probe_server>(&each);
        if (asked == nullptr)
            continue;
        cr_assert(!world.core.cut_off(), "some server may still be in reach");
        world.send(server_probed{asked->target, is_node(asked->target)});
    }
    cr_assert(world.core.cut_off());
}

// Guards against requests that return into a cut because one server of many is in reach.
Test(detour_core, one_answered_probe_does_not_end_the_detours)
{
    fixture world = make_world();
    cut_off(world);
    world.pass(300ms);
    world.send(server_probed{target_id{"10.0.0.1:80"}, true});
    world.send(server_probed{target_id{"10.0.0.2:80"}, false});
    world.send(server_probed{target_id{"10.0.0.1:80"}, true});
    world.pass(10ms);
    cr_assert(world.core.cut_off());
}

// Guards against requests of one pool that take a detour because another pool is out of reach.
Test(detour_core, pools_are_judged_apart)
{
    fixture world = make_world();
    cut_off(world);
    const command_list next = world.chat(1);
    const auto* sent = first<send_attempt>(next);
    cr_assert(sent != nullptr && !sent->relayed);
}

// Guards against a model with a single group whose requests wait for it during a cut.
Test(detour_core, a_pool_with_one_group_is_judged_by_the_other_models)
{
    configuration tables = make_tables();
    tables.pools.push_back(make_model_pool("large"));
    route large = tables.routes.front();
    large.name = route_id{"large"};
    large.model = "large";
    large.pool = pool_id{"large"};
    tables.routes.push_back(large);
    fixture world{fixture::default_settings(), 0, 1, tables};
    std::vector<target> groups = make_groups(4);
    groups.back().pool = pool_id{"large"};
    world.send(groups_changed{groups});
    world.send(relay_nodes_changed{{{node_id{"entry-2"}, {}, "10.2.0.2:7340"}}});
    request_info info;
    info.id = request_id{1};
    info.kind = request_kind::chat;
    info.model = "large";
    info.workspace = workspace_id{"dealers"};
    const command_list next = world.send(request_arrived{info});
    const auto* sent = first<send_attempt>(next);
    cr_assert_neq(sent, nullptr);
    fail(world, *sent, attempt_failure::not_connected);
    world.pass(1s);
    for (std::uint64_t id = 2; id <= 12; ++id)
        (void)fail_connections(world, world.chat(id));
    world.pass(20ms);
    info.id = request_id{20};
    const command_list last = world.send(request_arrived{info});
    const auto* detour = first<send_attempt>(last);
    cr_assert(detour != nullptr && detour->relayed);
}

// Guards against requests that wait in the queue of a node that reaches no server.
Test(detour_core, waiting_requests_leave_with_the_cut)
{
    fixture world = make_world();
    command_list sent;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        const command_list next = world.plain(id, "/read");
        sent.insert(sent.end(), next.begin(), next.end());
    }
    std::set<target_id> failed;
    for (const command& each : sent) {
        const auto* attempt = std::get_if<send_attempt>(&each);
        if (attempt != nullptr && failed.insert(attempt->target).second)
            fail(world, *attempt, attempt_failure::not_connected);
    }
    world.pass(10ms);
    cr_assert(world.core.cut_off());
    std::size_t queued = 0;
    for (const pool_status& pool : world.core.pools())
        queued += pool.queued;
    cr_assert_eq(queued, 0U);
}

// Guards against ending a request while the node that it was passed on to drains, and against
// passing on another one to that node.
Test(detour_core, a_node_that_leaves_keeps_its_detours)
{
    fixture world = make_world(1);
    const auto detour = fail_connections(world, world.plain(1, "/once"));
    cr_assert(detour);
    world.send(attempt_sent{detour->request, detour->attempt});
    const relay_node leaving{node_id{"entry-2"}, failure_domain_id{"a"}, detour->address, false};
    const command_list left = world.send(relay_nodes_changed{{leaving}});
    cr_assert_eq(first<cancel_attempt>(left), nullptr);
    cr_assert_eq(first<refuse>(left), nullptr);
    cr_assert_not(fail_connections(world, world.plain(2, "/once")), "it takes no new requests");

    const relay_node restarted{node_id{"entry-2"}, failure_domain_id{"a"}, "10.2.0.9:7340", true};
    world.send(relay_nodes_changed{{restarted}});
    const auto next = fail_connections(world, world.plain(3, "/once"));
    cr_assert(next && next->address == restarted.address);
    attempt_head head;
    head.request = detour->request;
    head.attempt = detour->attempt;
    head.status = 200;
    world.send(head);
    const command_list end =
        world.send(attempt_finished{detour->request, detour->attempt, true, std::nullopt});
    cr_assert_neq(first<complete>(end), nullptr, "the answer of the old process is whole");
}

// Guards against a caller that is left without an answer because the other node was lost.
Test(detour_core, a_lost_node_ends_its_detours)
{
    fixture world = make_world();
    const auto detour = fail_connections(world, world.plain(1, "/once"));
    cr_assert(detour);
    world.send(attempt_sent{detour->request, detour->attempt});
    const command_list end = world.send(relay_nodes_changed{});
    cr_assert_neq(first<cancel_attempt>(end), nullptr);
    cr_assert_eq(first<refuse>(end)->ran, ran_state::unknown);
}

namespace {

/// A world that is cut off from its servers, with a stream that had begun before; its attempt at
/// another node.
send_attempt detoured_stream(fixture& world)
{
    world.send(groups_changed{make_groups(4)});
    const send_attempt order = *first<send_attempt>(world.chat(1));
    world.send(attempt_sent{order.request, order.attempt});
    world.send(attempt_head{order.request, order.attempt, 200, order.attempt, false, "v1"});
    // Longer than the timeout of the first byte.
    for (int part = 0; part < 30; ++part) {
        world.send(attempt_progress{order.request, order.attempt, 1});
        world.pass(100ms);
    }
    for (std::uint64_t id = 10; id < 30; ++id)
        (void)fail_connections(world, world.chat(id));
    for (const command& each : world.pass(20ms)) {
        if (const auto* asked = std::get_if<probe_server>(&each); asked != nullptr)
            world.send(server_probed{asked->target, is_node(asked->target)});
    }
    cr_assert(world.core.cut_off());
    const command_list moved = fail(world, order, attempt_failure::cut);
    const auto* detour = first<send_attempt>(moved);
    cr_assert(detour != nullptr && detour->relayed && detour->resume);
    world.send(attempt_sent{detour->request, detour->attempt});
    return *detour;
}

} // namespace

// Guards against cutting a stream that goes through another node when its server pauses there.
Test(detour_core, a_silent_stream_through_another_node_is_not_cut)
{
    fixture world = make_world();
    const send_attempt detour = detoured_stream(world);
    cr_assert_eq(count<end_truncated>(world.pass(1s)), 0U);
    world.send(attempt_head{detour.request, detour.attempt, 200, detour.attempt, false, ""});
    world.send(attempt_progress{detour.request, detour.attempt, 1});
    const command_list paused = world.pass(3s);
    cr_assert_eq(count<end_truncated>(paused), 0U);
    cr_assert_eq(
        count<complete>(world.send(attempt_finished{detour.request, detour.attempt, true, {}})),
        1U);
}

// Guards against cutting a stream because the nodes that it was passed on to refused it.
Test(detour_core, a_stream_refused_by_the_other_nodes_returns_to_its_own_servers)
{
    for (const error_kind kind : {error_kind::unavailable, error_kind::overloaded}) {
        fixture world = make_world();
        send_attempt detour = detoured_stream(world);
        command_list out;
        for (int refusals = 0; refusals < 4 && detour.relayed; ++refusals) {
            out = world.send(refusal_of(detour, kind, ran_state::no));
            const command_list waited = world.pass(100ms);
            out.insert(out.end(), waited.begin(), waited.end());
            if (const auto* next = first<send_attempt>(out))
                detour = *next;
            cr_assert_eq(count<end_truncated>(out), 0U);
        }
        cr_assert(!detour.relayed && detour.resume);
    }
}

// Guards against cutting a stream that goes on through a node which others take for dead.
Test(detour_core, a_stream_outlives_the_news_that_its_node_is_dead)
{
    fixture world = make_world();
    const send_attempt detour = detoured_stream(world);
    world.send(attempt_head{detour.request, detour.attempt, 200, detour.attempt, false, ""});
    cr_assert_eq(count<end_truncated>(world.send(relay_nodes_changed{})), 0U);
    cr_assert_eq(
        count<complete>(world.send(attempt_finished{detour.request, detour.attempt, true, {}})),
        1U);
}
