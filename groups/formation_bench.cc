// CPU time that a node of a large fleet spends on group management: the tick of a node that manages
// no failure domain, the tick of a manager, a batch of changed entries, and the initial allocation.
#include "groups/fake_registry.h"
#include "groups/formation.h"
#include "groups/group_allocation.h"

#include <benchmark/benchmark.h>

#include <deque>

namespace {

using namespace jaynotch;
using namespace jaynotch::groups;

constexpr std::size_t failure_domains = 5;
constexpr std::size_t fabric_runners = 73;
constexpr std::size_t nodes = 117;

failure_domain_id failure_domain(std::size_t index)
{
    return failure_domain_id{"failure-domain-" + std::to_string(index)};
}

std::vector<pool> large_pools()
{
    std::vector<pool> pools = fake_registry::pools();
    pools[0].replica_vms = 32;
    pools[1].replica_vms = 8;
    return pools;
}

runner runner_of(std::size_t index)
{
    const std::size_t fabric = index / fabric_runners;
    const std::size_t rank = index % fabric_runners;
    runner row;
    row.id = vm_id{"runner-" + std::to_string(index)};
    row.service = "llm";
    row.address = "10.0.0.1:1";
    row.failure_domain = failure_domain(fabric % failure_domains);
    row.fabric_domain = fabric_domain_id{"fabric-domain-" + std::to_string(fabric)};
    row.born_ms = 1;
    row.places = 22;
    const bool large = rank < 64;
    const std::size_t size = large ? 32 : 8;
    if (rank < 72) {
        row.staged = {large ? "big" : "small"};
        row.model = row.staged.front();
        const std::size_t place = (large ? rank : rank - 64) % size;
        row.group = membership{group_id{"g" + std::to_string(fabric * 4 + rank / 32)}, 4096,
                               static_cast<std::uint32_t>(place),
                               place == 0 ? member_phase::open : member_phase::ready};
    }
    return row;
}

/// The managers of one node after start-up. None of them leads unless lead() is called.
struct node_under_test {
    explicit node_under_test(std::size_t runners)
    {
        std::vector<peer_row> peers;
        for (std::size_t index = 0; index < nodes; ++index)
            peers.push_back({node_id{"node-" + std::to_string(index)},
                             failure_domain(index % failure_domains)});
        for (std::size_t index = 0; index < runners; ++index)
            known.update(runner_of(index), now);
        for (std::size_t index = 0; index < failure_domains; ++index) {
            formation_settings settings;
            settings.deployment = "bench";
            settings.self = peers[0].node;
            settings.own_domain = peers[0].failure_domain;
            settings.domain = failure_domain(index);
            managers.emplace_back(settings, known);
        }
        tell(model_pools_updated{large_pools()});
        tell(registry_status{true});
        tell(peers_seen{peers});
        tell(traffic_started{});
        kv_entry held;
        held.value = "another node";
        tell(manager_key_updated{held});
    }

    void tell(const formation_event& event)
    {
        for (formation_manager& manager : managers)
            benchmark::DoNotOptimize(manager.handle(event, now));
    }

    /// Makes the manager of the first failure domain obtain its key.
    void lead()
    {
        formation_manager& manager = managers.front();
        manager.handle(manager_key_updated{}, now);
        now += std::chrono::minutes{1};
        for (const formation_command& command : manager.handle(formation_tick{}, now)) {
            if (const auto* asked = std::get_if<lease_grant>(&command))
                claim(manager, manager.handle(lease_result{asked->token, lease_id{7}}, now));
        }
        manager.handle(formation_tick{}, now);
    }

    void claim(formation_manager& manager, const formation_commands& commands)
    {
        for (const formation_command& command : commands) {
            if (const auto* call = std::get_if<kv_call>(&command))
                manager.handle(kv_result{call->token, kv_outcome{true, 1, {}}}, now);
        }
    }

    time_point now{std::chrono::hours{1}};
    runner_registry known;
    std::deque<formation_manager> managers;
};

void tick_of_a_node_that_manages_nothing(benchmark::State& state)
{
    node_under_test node{static_cast<std::size_t>(state.range(0))};
    for (auto _ : state) {
        node.now += std::chrono::milliseconds{50};
        node.tell(formation_tick{});
    }
}
BENCHMARK(tick_of_a_node_that_manages_nothing)
    ->Arg(110)
    ->Arg(1100)
    ->Arg(1600)
    ->Unit(benchmark::kMicrosecond);

void tick_of_a_manager(benchmark::State& state)
{
    node_under_test node{static_cast<std::size_t>(state.range(0))};
    node.lead();
    for (auto _ : state)
        node.tell(formation_tick{});
    if (!node.managers.front().leading(node.now))
        state.SkipWithError("the manager does not lead");
}
BENCHMARK(tick_of_a_manager)->Arg(110)->Arg(1100)->Arg(1600)->Unit(benchmark::kMicrosecond);

void batch_of_500_changed_entries(benchmark::State& state)
{
    node_under_test node{1100};
    std::vector<runner> rows;
    for (std::size_t index = 0; index < 500; ++index)
        rows.push_back(runner_of(index));
    bool draining = false;
    for (auto _ : state) {
        draining = !draining;
        for (runner& row : rows) {
            row.leaving = draining;
            node.known.update(row, node.now);
        }
        node.tell(formation_tick{});
    }
}
BENCHMARK(batch_of_500_changed_entries)->Unit(benchmark::kMicrosecond);

void allocation_for_a_fleet(benchmark::State& state)
{
    std::map<fabric_domain_id, domain_capacity> capacities;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        const auto part = static_cast<std::size_t>(index) % failure_domains;
        const std::uint32_t lost = state.range(1) == 0 ? 0 : static_cast<std::uint32_t>(index) % 50;
        capacities[fabric_domain_id{"fabric-domain-" + std::to_string(index)}] = {
            failure_domain(part), static_cast<std::uint32_t>(fabric_runners) - lost};
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(allocate_groups(large_pools(), capacities));
}
BENCHMARK(allocation_for_a_fleet)
    ->ArgNames({"domains", "uneven"})
    ->ArgsProduct({{3, 15, 22, 50, 100}, {0, 1}})
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
