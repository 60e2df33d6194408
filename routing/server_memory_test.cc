// Replicas whose memory the requests that they hold must not exceed.
#include "routing/modelled_fixture.h"
#include "routing/server_memory.h"

#include <criterion/criterion.h>

#include <map>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

constexpr std::uint64_t replica_tokens = 1'000'000;

configuration tables_with_memory()
{
    configuration tables = modelled_tables();
    tables.revision = config_revision{2};
    for (pool& each : tables.pools)
        each.memory_tokens = each.kind == pool_kind::model ? replica_tokens : 0;
    return tables;
}

/// A node of a fleet whose replicas have a known memory.
modelled_world node_with_memory(int groups, const std::string& name = "node-1")
{
    core_settings settings = modelled_settings();
    settings.node = node_id{name};
    modelled_world made{groups, settings};
    made.send(tables_installed{tables_with_memory()});
    return made;
}

std::optional<send_attempt> submit(modelled_world& node, std::uint32_t tokens)
{
    return last_command<send_attempt>(node.submit("/chat/x", "a.example", "key-1", tokens));
}

} // namespace

// Load: large prompts arrive at one replica until its memory is full, with usual ones behind them.
Test(server_memory, requests_wait_for_memory_and_smaller_ones_are_served_past_them)
{
    modelled_world node = node_with_memory(1);
    const auto first = submit(node, 400'000);
    cr_assert(first);
    node.begin(*first);
    const auto second = submit(node, 400'000);
    cr_assert(second);
    node.begin(*second);
    cr_assert_not(submit(node, 400'000));
    const auto usual = submit(node, 1'000);
    cr_assert(usual, "a usual request must not wait behind a large one");
    node.begin(*usual);
    const command_list out =
        node.send(attempt_finished{first->request, first->attempt, true, std::nullopt});
    cr_assert(last_command<send_attempt>(out), "the waiting request gets the memory that is free");
}

// Load: a request that no replica can hold comes with a deadline of seconds.
Test(server_memory, a_request_beyond_any_replica_is_refused_at_once)
{
    modelled_world node = node_with_memory(2);
    const command_list out = node.submit("/chat/x", "a.example", "key-1", replica_tokens + 1);
    const auto refused = last_command<refuse>(out);
    cr_assert(refused);
    cr_assert_eq(refused->failure.kind, error_kind::unavailable);
    cr_assert_not(refused->retry_after, "it would come back in vain");
    modelled_world earlier{2};
    cr_assert(submit(earlier, replica_tokens + 1), "no figure is known there");
}

// Load: 28 and 75 nodes with the same reports each send a large request at the same moment.
Test(server_memory, large_requests_of_many_nodes_meet_different_replicas)
{
    for (const int nodes : {28, 75}) {
        constexpr int groups = 27;
        constexpr std::uint32_t large = 100'000;
        std::map<std::string, double> held;
        for (int number = 0; number < nodes; ++number) {
            modelled_world node = node_with_memory(groups, "node-" + std::to_string(number));
            node.send(fleet_size_updated{static_cast<std::size_t>(nodes)});
            const auto sent = submit(node, large);
            cr_assert(sent);
            held[sent->target.value()] += large;
        }
        for (const auto& [target, tokens] : held)
            cr_assert_leq(tokens, replica_tokens, "%s of %d nodes", target.c_str(), nodes);
    }
}

// Load: reports say that other nodes' usual requests fill a replica's memory.
Test(server_memory, the_other_nodes_requests_count_at_the_usual_size)
{
    pool known;
    known.memory_tokens = 100'000;
    known.engine = dense_model();
    const double usual = request_tokens(0, 0, known.engine);
    cr_assert(has_memory_for(known, {.others = 77.0}, usual));
    cr_assert_not(has_memory_for(known, {.others = 78.0}, usual));
    cr_assert_not(has_memory_for(known, {.others = 70.0, .deviation = 5.0}, usual));
    cr_assert(has_memory_for(known, {}, 200'000.0), "an empty replica may try it");
}
