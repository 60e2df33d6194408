// Measures the propagation of changes with spread cores on a simulated network (one-way delay 0.5
// to 1.5 ms), compared with a baseline in which every node watches the platform. Times are
// simulated; the processor time includes the simulation and so is an upper bound for the cores.
//
//   spread_bench --benchmark_counters_tabular=true
#include "config/test_fleet.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <ctime>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

constexpr std::size_t rows = 1000;
constexpr std::uint32_t changes = 7;
constexpr duration change_interval = std::chrono::seconds{26}; ///< 3,300 a day
constexpr double header_bytes = 102;  ///< TLS record, TCP and IP headers of a frame
constexpr std::uint32_t groups = 200; ///< their tickets are published as background traffic

enum class fault { none, watcher_lost, domain_cut_off, outage };

std::size_t domains_of(std::size_t nodes)
{
    return nodes >= 410 ? 5 : 3;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0.0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

/// Milliseconds to the installation on each node, from the acceptance of the change, or from
/// `healed` if the installation came after that and the acceptance before.
std::vector<double> spread_times(const test_fleet& fleet, time_point healed)
{
    std::vector<double> out;
    for (const auto& [revision, accepted] : fleet.accepted_at) {
        if (revision == 1)
            continue;
        for (const auto& node : fleet.nodes) {
            // A node may skip this revision and install a later one.
            const auto installed = node->installed_at.lower_bound(revision);
            if (node->peer_node->crashed || installed == node->installed_at.end())
                continue;
            const bool waited = installed->second >= healed;
            const time_point from = waited ? std::max(accepted, healed) : accepted;
            out.push_back(
                std::chrono::duration<double, std::milli>(installed->second - from).count());
        }
    }
    return out;
}

void publish_tickets(test_fleet& fleet)
{
    for (std::uint32_t group = 0; group < groups; ++group) {
        test_node& watcher = *fleet.net.nodes[(group * 2) % fleet.net.nodes.size()];
        const ticket_digest ticket{group * 7919U, fencing_number{100'000}, 500, true, {}};
        fleet.net.run(watcher, watcher.core.publish(fleet.net.now, ticket));
    }
}

/// A node that can accept a change: not crashed, and with access to the platform.
fleet_node& choose_acceptor(test_fleet& fleet, std::size_t turn)
{
    for (std::size_t i = turn * 7 * 3;; i += 3) {
        fleet_node& node = *fleet.nodes[i % fleet.nodes.size()];
        if (!node.peer_node->crashed && !node.platform_unreachable)
            return node;
    }
}

struct fault_injector {
    test_fleet& fleet;
    fault injected;
    time_point healed = time_point::min();

    void inject()
    {
        if (injected == fault::watcher_lost) {
            for (const auto& node : fleet.nodes) {
                if (node->watching && node != fleet.nodes.front()) {
                    node->peer_node->crashed = true;
                    return;
                }
            }
        }
        if (injected == fault::domain_cut_off)
            set_partition(true);
        if (injected == fault::outage)
            fleet.set_outage(true);
    }
    void heal()
    {
        if (injected == fault::domain_cut_off)
            set_partition(false);
        if (injected == fault::outage)
            fleet.set_outage(false);
        healed = fleet.net.now;
    }
    void set_partition(bool active)
    {
        const failure_domain_id lost{"domain-1"};
        fleet.net.cut = nullptr;
        if (active) {
            fleet.net.cut = [lost](const test_node& a, const test_node& b) {
                return (a.core.self().failure_domain == lost) !=
                       (b.core.self().failure_domain == lost);
            };
        }
        for (const auto& node : fleet.nodes) {
            if (node->peer_node->core.self().failure_domain == lost)
                fleet.set_platform_unreachable(*node, active);
        }
    }
};

void spread(benchmark::State& state, fault injected, bool baseline)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    for (auto _ : state) {
        const auto memory_before = mallinfo2().uordblks;
        test_fleet fleet{1, count, domains_of(count), baseline};
        fleet.net.run_for(std::chrono::seconds{90});
        fleet.accept(*fleet.nodes[0], test_fleet::tables(rows, 0, 0), "first");
        fleet.net.run_for(std::chrono::seconds{30});
        for (const auto& node : fleet.nodes) {
            node->calls = 0;
            node->peer_node->bytes_sent = node->peer_node->bytes_received =
                node->peer_node->frames_sent = 0;
        }
        const time_point start = fleet.net.now;
        const std::clock_t cpu_before = std::clock();
        fault_injector faults{fleet, injected};
        faults.inject();
        for (std::uint32_t mark = 1; mark <= changes; ++mark) {
            fleet.accept(choose_acceptor(fleet, mark), test_fleet::tables(rows, mark, mark),
                         "c" + std::to_string(mark));
            for (int part = 0; part < 5; ++part) {
                // Heals between two changes, so that no new change triggers the catch-up.
                if (mark == changes - 3 && part == 2)
                    faults.heal();
                if (!baseline)
                    publish_tickets(fleet);
                fleet.net.run_for(change_interval / 5);
            }
        }
        const double cpu = static_cast<double>(std::clock() - cpu_before) / CLOCKS_PER_SEC;
        const double elapsed = std::chrono::duration<double>(fleet.net.now - start).count();
        const auto nodes = static_cast<double>(count);
        double bytes = 0;
        double frames = 0;
        double max_bytes = 0;
        for (const auto& node : fleet.nodes) {
            const auto sent = static_cast<double>(node->peer_node->frames_sent);
            const double all =
                static_cast<double>(node->peer_node->bytes_sent) + header_bytes * sent;
            bytes += all;
            frames += sent;
            max_bytes = std::max(max_bytes, all);
        }
        const std::vector<double> times = spread_times(fleet, faults.healed);
        state.counters["p50_ms"] = percentile(times, 0.5);
        state.counters["p99_ms"] = percentile(times, 0.99);
        state.counters["max_ms"] = percentile(times, 1.0);
        state.counters["frames_s"] = frames / nodes / elapsed;
        state.counters["sent_B_s"] = bytes / nodes / elapsed;
        state.counters["most_B_s"] = max_bytes / elapsed;
        state.counters["calls_s"] = static_cast<double>(fleet.calls()) / elapsed;
        state.counters["cpu_pct"] = 100.0 * cpu / nodes / elapsed;
        state.counters["node_KB"] =
            static_cast<double>(mallinfo2().uordblks - memory_before) / nodes / 1024.0;
        state.counters["in_force"] = fleet.all_at(fleet.accepted_at.rbegin()->first) ? 1 : 0;
    }
}

void sizes(benchmark::internal::Benchmark* bench)
{
    for (const int nodes : {4, 32, 128, 410})
        bench->Arg(nodes);
    bench->Iterations(1)->Unit(benchmark::kSecond);
}

} // namespace

BENCHMARK_CAPTURE(spread, peers, fault::none, false)->Apply(sizes);
BENCHMARK_CAPTURE(spread, every_node_watches, fault::none, true)->Apply(sizes);
BENCHMARK_CAPTURE(spread, watcher_lost, fault::watcher_lost, false)->Apply(sizes);
BENCHMARK_CAPTURE(spread, domain_cut_off, fault::domain_cut_off, false)->Apply(sizes);
BENCHMARK_CAPTURE(spread, outage_that_ends, fault::outage, false)->Apply(sizes);
BENCHMARK_MAIN();
