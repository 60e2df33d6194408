// Time of one tick of a manager, and of one second of reports, by the number of VMs of its domain.
// All groups are complete, as at nearly every tick in production.
#include "groups/fake_fleet.h"

#include <benchmark/benchmark.h>

#include <map>

namespace {

using namespace jaynotch;
using namespace jaynotch::groups;

constexpr std::uint32_t group_vms = 8;

/// A domain whose groups are all complete.
struct settled_domain {
    explicit settled_domain(std::size_t vms) : manager{make_settings()}
    {
        auto tables = std::make_shared<configuration>();
        pool row;
        row.name = pool_id{"runners"};
        row.replica_vms = group_vms;
        row.replicas = static_cast<std::uint32_t>(vms * 9 / 10 / group_vms);
        tables->pools.push_back(row);
        vms_seen list;
        for (std::size_t v = 0; v < vms; ++v) {
            const std::string name = "vm-" + std::to_string(v);
            const vm_row listed{
                vm_id{name}, name + ":1", fabric_domain_id{"fabric"}, failure_domain_id{"here"}, 2,
                false,       {}};
            engines.emplace(listed.vm, listed).first->second.load_seconds = 1.0;
            list.rows.push_back(listed);
        }
        deliver(tables_installed{tables});
        deliver(list);
        while (manager.status(now).complete_groups < row.replicas)
            step();
    }

    static manager_settings make_settings()
    {
        manager_settings settings;
        settings.deployment = "bench";
        settings.self = node_id{"node"};
        settings.domain = fabric_domain_id{"fabric"};
        settings.loads_at_once = 10'000;
        return settings;
    }

    void deliver(const manager_event& event)
    {
        for (const manager_command& command : manager.handle(event, now)) {
            if (const auto* call = std::get_if<kv_call>(&command))
                deliver(kv_result{call->token, store.apply(call->transaction, now)});
            else if (const auto* grant = std::get_if<lease_grant>(&command))
                deliver(lease_result{grant->token, store.grant(grant->ttl, now)});
            else if (const auto* renew = std::get_if<lease_renew>(&command))
                deliver(lease_result{renew->token, store.renew(renew->lease, now)});
            else if (const auto* assign = std::get_if<order_assign>(&command))
                engines.at(assign->vm).assign(*assign);
        }
    }

    void step()
    {
        now += std::chrono::seconds{1};
        for (auto& [vm, engine] : engines) {
            engine.advance(std::chrono::seconds{1}, 1.0);
            deliver(report_seen{vm, engine.current_report, now});
        }
        deliver(tick{});
    }

    time_point now{std::chrono::hours{1}};
    domain_manager manager;
    fake_store store;
    std::map<vm_id, fake_engine> engines;
};

void tick_of_a_manager(benchmark::State& state)
{
    settled_domain domain{static_cast<std::size_t>(state.range(0))};
    for (auto _ : state) {
        domain.now += std::chrono::milliseconds{1};
        domain.deliver(tick{});
    }
}
BENCHMARK(tick_of_a_manager)->Arg(64)->Arg(1600)->Unit(benchmark::kMicrosecond);

void second_of_reports(benchmark::State& state)
{
    settled_domain domain{static_cast<std::size_t>(state.range(0))};
    for (auto _ : state)
        domain.step();
}
BENCHMARK(second_of_reports)->Arg(64)->Arg(1600)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
