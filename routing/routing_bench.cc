// Time and allocations of the request core per request, from arrival to the final command; per
// token; and per tick.
#include "routing/modelled_fixture.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>

namespace {

std::size_t allocations = 0;

} // namespace

// Counts allocations for the benchmark counters.
void* operator new(std::size_t size)
{
    ++allocations;
    if (void* made = std::malloc(size == 0 ? 1 : size); made != nullptr)
        return made;
    throw std::bad_alloc{};
}

void operator delete(void* freed) noexcept
{
    std::free(freed);
}

void operator delete(void* freed, std::size_t /*size*/) noexcept
{
    std::free(freed);
}

namespace {

using namespace jaynotch;
using namespace jaynotch::testing;

constexpr std::size_t prompt_blocks = 20;
constexpr int parts_of_an_answer = 20;

request_info make_request(std::uint64_t id, random_source& random)
{
    request_info info;
    info.id = request_id{id};
    info.kind = request_kind::chat;
    info.model = "summary";
    info.workspace = workspace_id{"workspace-" + std::to_string(id % 10)};
    info.stream = true;
    info.prompt_tokens = 1'280;
    info.answer_tokens = 100;
    const std::uint64_t conversation = random.index(2'000);
    for (std::uint64_t block = 0; block < prompt_blocks; ++block)
        info.prefix_blocks.push_back(block < 8 ? block + 1 : conversation * 64 + block);
    return info;
}

void a_whole_request(benchmark::State& state)
{
    fixture world{static_cast<int>(state.range(0))};
    random_source random{3};
    std::uint64_t id = 0;
    command_list out;
    const std::size_t before = allocations;
    for (auto step : state) {
        (void)step;
        out.clear();
        request_info info = make_request(++id, random);
        world.core.handle(request_arrived{std::move(info)}, world.now, out);
        const auto* sent = first<send_attempt>(out);
        const request_id request = sent->request;
        const attempt_id attempt = sent->attempt;
        world.core.handle(attempt_sent{request, attempt}, world.now, out);
        world.core.handle(attempt_head{request, attempt, 200, attempt, false, "v1"}, world.now,
                          out);
        for (int part = 0; part < parts_of_an_answer; ++part)
            world.core.handle(attempt_progress{request, attempt, 1}, world.now, out);
        world.core.handle(attempt_finished{request, attempt, true, {}}, world.now, out);
    }
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                       benchmark::Counter::kAvgIterations);
}
BENCHMARK(a_whole_request)->Arg(1)->Arg(6)->Arg(200);

void a_token(benchmark::State& state)
{
    fixture world{200};
    random_source random{3};
    command_list out;
    world.core.handle(request_arrived{make_request(1, random)}, world.now, out);
    const send_attempt sent = *first<send_attempt>(out);
    world.core.handle(attempt_sent{sent.request, sent.attempt}, world.now, out);
    world.core.handle(attempt_head{sent.request, sent.attempt, 200, sent.attempt, false, "v1"},
                      world.now, out);
    for (auto step : state) {
        (void)step;
        world.core.handle(attempt_progress{sent.request, sent.attempt, 1}, world.now, out);
    }
}
BENCHMARK(a_token);

/// A tick of an entry node with 64 requests in flight and, at the target size, 200 groups and 409
/// peers; each peer reports demand for ten workspaces.
void a_tick(benchmark::State& state)
{
    fixture world{static_cast<int>(state.range(0))};
    random_source random{3};
    command_list out;
    for (std::int64_t peer = 0; peer < state.range(1); ++peer) {
        peer_demand_received seen{node_id{"peer-" + std::to_string(peer)}, {}};
        for (int workspace = 0; workspace < 10; ++workspace)
            seen.rows.push_back(
                {pool_id{"chat"}, workspace_id{"workspace-" + std::to_string(workspace)}, 2, 0});
        world.core.handle(seen, world.now, out);
    }
    for (std::uint64_t id = 1; id <= 64; ++id)
        world.core.handle(request_arrived{make_request(id, random)}, world.now, out);
    for (auto step : state) {
        (void)step;
        out.clear();
        world.core.handle(tick{}, world.now, out);
    }
}
BENCHMARK(a_tick)->Args({6, 3})->Args({200, 409});

/// A tick of a node with the given number of groups in five failure domains, whose engine figures
/// are known.
void a_modelled_tick(benchmark::State& state)
{
    modelled_world world{0};
    std::vector<target> groups;
    for (int number = 1; number <= state.range(0); ++number) {
        groups.push_back(group(number));
        groups.back().failure_domain = failure_domain_id{"domain-" + std::to_string(number % 5)};
    }
    world.send(groups_changed{groups});
    for (const target& one : groups)
        world.send(load_reported{one.id, {3, 0, 0.0}, {}});
    command_list out;
    for (auto step : state) {
        (void)step;
        out.clear();
        world.core.handle(tick{}, world.now, out);
    }
}
BENCHMARK(a_modelled_tick)->Arg(6)->Arg(200);

} // namespace

BENCHMARK_MAIN();
