// Costs of the relay: added latency, from the same requests to the same server sent directly and
// through one daemon in one run; tokens per second through one node; memory per idle connection.
//
// The daemon, the servers and the callers run on separate threads, so that the daemon's CPU time
// can be measured with its thread clock.
#include "daemon/daemon.h"
#include "daemon/sse.h"
#include "standins/standins.h"

#include <benchmark/benchmark.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <ctime>
#include <future>
#include <thread>

namespace {

using namespace jaynotch;
namespace http = boost::beast::http;
namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::uint32_t bench_tokens = 200;

double thread_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

/// A thread that runs one io_context and can report its CPU time.
class worker {
public:
    asio::io_context io{1};

    worker() : m_thread{[this] { io.run(); }} {}
    ~worker() { stop(); }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// Runs `work` on the thread and returns its result.
    template <class Work>
    auto on(Work work)
    {
        std::promise<decltype(work())> done;
        asio::post(io, [&] { done.set_value(work()); });
        return done.get_future().get();
    }
    /// Ends the thread. Objects owned by its coroutines live until the io_context is destroyed.
    void stop()
    {
        io.stop();
        if (m_thread.joinable())
            m_thread.join();
    }
    double seconds() { return on(thread_seconds); }

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_guard{io.get_executor()};
    std::thread m_thread;
};

/// Plain server with a minimal answer to every request.
class fast_server {
public:
    explicit fast_server(asio::io_context& io)
        : m_acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}}
    {
        asio::co_spawn(io, accept(), asio::detached);
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            socket.set_option(tcp::no_delay{true});
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }
    static asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code failed;
        while (!failed) {
            http::request<http::string_body> request;
            co_await http::async_read(socket, buffer, request,
                                      asio::redirect_error(asio::use_awaitable, failed));
            if (failed)
                break;
            http::response<http::string_body> response{http::status::ok, 11};
            response.body() = "{\"ok\":true}";
            response.prepare_payload();
            co_await http::async_write(socket, response,
                                       asio::redirect_error(asio::use_awaitable, failed));
        }
    }
    tcp::acceptor m_acceptor;
};

/// Stand-in for an engine. It reports its model as loaded as soon as it is assigned, and sends each
/// stream one token per interval, one write per token, whatever the number of streams.
class paced_engine {
public:
    paced_engine(asio::io_context& io, std::string name, duration token_interval)
        : m_acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}}, m_token_interval{token_interval}
    {
        m_report.vm = vm_id{std::move(name)};
        m_report.boot = "1";
        asio::co_spawn(io, accept(), asio::detached);
    }
    [[nodiscard]] vm_entry entry() const
    {
        vm_entry made;
        made.vm = m_report.vm;
        made.address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        made.fabric_domain = fabric_domain_id{"f-" + m_report.vm.value()};
        made.failure_domain = failure_domain_id{"a"};
        made.accelerators = 1;
        return made;
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto socket = std::make_shared<tcp::socket>(
                co_await m_acceptor.async_accept(asio::use_awaitable));
            socket->set_option(tcp::no_delay{true});
            asio::co_spawn(m_acceptor.get_executor(), serve(socket), asio::detached);
        }
    }
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code failed;
        while (!failed) {
            http::request<http::string_body> request;
            co_await http::async_read(*socket, buffer, request,
                                      asio::redirect_error(asio::use_awaitable, failed));
            if (failed)
                break;
            if (request.target().starts_with("/v1/")) {
                co_await stream(*socket, std::string{request["jaynotch-attempt"]});
                continue;
            }
            http::response<http::string_body> response{http::status::ok, 11};
            if (request.target() == "/control/assign")
                assign(request.body());
            response.body() = render_engine_report(m_report);
            response.prepare_payload();
            co_await http::async_write(*socket, response,
                                       asio::redirect_error(asio::use_awaitable, failed));
        }
    }
    void assign(const std::string& body)
    {
        const engine_order_assign order = parse_engine_assign(body).value();
        m_report.group = order.group;
        m_report.fencing = order.fencing;
        m_report.rank = order.rank;
        m_report.members = order.members;
        m_report.model = order.model;
        m_report.version = order.version;
        m_report.state = engine_state::ready;
        m_report.progress = 1.0;
    }
    asio::awaitable<void> stream(tcp::socket& socket, std::string attempt)
    {
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\njaynotch-attempt: " +
                                 attempt + "\r\n\r\n";
        boost::system::error_code failed;
        co_await asio::async_write(socket, asio::buffer(head),
                                   asio::redirect_error(asio::use_awaitable, failed));
        const std::string event =
            "data: {\"id\":\"a\",\"object\":\"chat.completion.chunk\",\"created\":1,"
            "\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"},"
            "\"finish_reason\":null}]}\n\n";
        char size_line[16];
        std::snprintf(size_line, sizeof size_line, "%zx\r\n", event.size());
        const std::string piece = size_line + event + "\r\n";
        timer next_token{m_acceptor.get_executor(), runtime_clock::now() + m_token_interval};
        for (std::uint32_t token = 0; token < bench_tokens && !failed; ++token) {
            co_await next_token.async_wait(asio::redirect_error(asio::use_awaitable, failed));
            next_token.expires_at(next_token.expiry() + m_token_interval);
            co_await asio::async_write(socket, asio::buffer(piece),
                                       asio::redirect_error(asio::use_awaitable, failed));
        }
        const std::string end = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
        if (!failed) {
            co_await asio::async_write(socket, asio::buffer(end),
                                       asio::redirect_error(asio::use_awaitable, failed));
        }
    }

    tcp::acceptor m_acceptor;
    engine_report m_report;
    duration m_token_interval;
};

/// Sends `count` requests one after another over one connection. Latencies are in seconds.
asio::awaitable<void> send_sequentially(std::uint16_t port, std::size_t count,
                                        std::shared_ptr<std::vector<double>> latencies,
                                        std::shared_ptr<std::atomic<std::size_t>> finished)
{
    tcp::socket socket{co_await asio::this_coro::executor};
    const tcp::endpoint remote{asio::ip::make_address("127.0.0.1"), port};
    co_await socket.async_connect(remote, asio::use_awaitable);
    socket.set_option(tcp::no_delay{true});
    boost::beast::flat_buffer buffer;
    for (std::size_t index = 0; index < count; ++index) {
        http::request<http::empty_body> request{http::verb::get, "/read", 11};
        request.set(http::field::host, "bench");
        const auto began = std::chrono::steady_clock::now();
        co_await http::async_write(socket, request, asio::use_awaitable);
        http::response<http::string_body> response;
        co_await http::async_read(socket, buffer, response, asio::use_awaitable);
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
        latencies->push_back(took.count());
        if (response.result() != http::status::ok)
            break;
    }
    ++*finished;
}

struct latency {
    double median = 0;
    double p99 = 0;
    double requests_s = 0;
};

latency measure(worker& callers, std::uint16_t port, std::size_t connections, std::size_t each)
{
    std::vector<std::shared_ptr<std::vector<double>>> all;
    const auto finished = std::make_shared<std::atomic<std::size_t>>(0);
    const auto began = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < connections; ++index) {
        all.push_back(std::make_shared<std::vector<double>>());
        asio::co_spawn(callers.io, send_sequentially(port, each, all.back(), finished),
                       asio::detached);
    }
    while (finished->load() < connections)
        std::this_thread::sleep_for(1ms);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    std::vector<double> joined;
    for (const auto& one : all)
        joined.insert(joined.end(), one->begin(), one->end());
    std::sort(joined.begin(), joined.end());
    return {joined[joined.size() / 2], joined[joined.size() * 99 / 100],
            static_cast<double>(joined.size()) / took.count()};
}

/// A platform with its servers, a daemon and callers, each on a thread of its own.
class bench_fleet {
public:
    explicit bench_fleet(duration token_interval = 10ms)
    {
        platform_worker.on([this, token_interval] {
            standin_fleet_settings settings;
            settings.engines = 0;
            settings.fabric_domains = 1;
            fleet = standin_fleet::start(platform_worker.io.get_executor(), settings).value();
            plain = std::make_unique<fast_server>(platform_worker.io);
            for (int index = 0; index < 2; ++index) {
                engines.push_back(std::make_unique<paced_engine>(
                    platform_worker.io, "vm-" + std::to_string(index), token_interval));
                fleet->vms().put(engines.back()->entry());
            }
            return true;
        });
        daemon_worker.on([this] {
            daemon_settings made;
            made.node = node_id{"bench"};
            made.failure_domain = failure_domain_id{"a"};
            made.deployment = "bench";
            made.listen = made.peer_listen = made.admin_listen = "127.0.0.1:0";
            made.key_value = {fleet->kv().address()};
            made.vm_list = fleet->vms().address();
            made.timeouts.order_horizon = 1200ms;
            made.admission = false;
            node = daemon::create(daemon_worker.io, made).value();
            node->start();
            port = node->listen_port();
            admin = node->admin_port();
            return true;
        });
        apply();
        for (int round = 0; round < 2000; ++round) {
            if (daemon_worker.on([this] { return node->complete_groups() == 2; }))
                return;
            std::this_thread::sleep_for(10ms);
        }
        throw std::runtime_error{"no complete groups after 20 s"};
    }
    ~bench_fleet()
    {
        daemon_worker.on([this] {
            node.reset();
            return true;
        });
        caller_worker.stop();
        daemon_worker.stop();
        platform_worker.stop();
    }
    bench_fleet(const bench_fleet&) = delete;
    bench_fleet& operator=(const bench_fleet&) = delete;

    [[nodiscard]] std::uint16_t direct_port() const
    {
        return parse_endpoint(plain->address()).value().port();
    }

    worker platform_worker;
    worker daemon_worker;
    worker caller_worker;
    std::shared_ptr<standin_fleet> fleet;
    std::unique_ptr<fast_server> plain;
    std::vector<std::unique_ptr<paced_engine>> engines;
    std::unique_ptr<class daemon> node;
    std::uint16_t port = 0;
    std::uint16_t admin = 0;

private:
    void apply()
    {
        const std::string routes = "deployment = \"bench\"\n[[route]]\nname = \"r\"\n"
                                   "kind = \"plain\"\npath_prefix = \"/\"\nworkspaces = [\"*\"]\n"
                                   "pool = \"p\"\n[[route]]\nname = \"c\"\nkind = \"chat\"\n"
                                   "model = \"m\"\nworkspaces = [\"*\"]\npool = \"m\"\n";
        const std::string pools =
            "deployment = \"bench\"\n[[pool]]\nname = \"p\"\nkind = \"plain\"\nservers = [\"" +
            plain->address() +
            "\"]\nmax_in_flight_per_server = 4096\n[[pool]]\nname = \"m\"\nkind = \"model\"\n"
            "model = \"m\"\nversion = \"v\"\nreplicas = 2\nreplica_vms = 1\n"
            "max_in_flight_per_replica = 16000\n";
        const boost::json::object change{{"routes", routes},   {"pools", pools},
                                         {"base_revision", 0}, {"author", "bench"},
                                         {"message", "bench"}, {"change_id", "bench-1"}};
        asio::io_context io;
        tcp::socket socket{io};
        socket.connect({asio::ip::make_address("127.0.0.1"), admin});
        http::request<http::string_body> request{http::verb::post, "/admin/v1/apply", 11,
                                                 boost::json::serialize(change)};
        request.prepare_payload();
        http::write(socket, request);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        if (response.result() != http::status::ok)
            throw std::runtime_error{response.body()};
    }
};

/// Latency added to direct calls in the same run, and requests per second and per core.
void added_latency(benchmark::State& state)
{
    bench_fleet fleet;
    const auto connections = static_cast<std::size_t>(state.range(0));
    constexpr std::size_t each = 2'000;
    measure(fleet.caller_worker, fleet.port, connections, each / 10);
    for (auto _ : state) {
        const latency direct = measure(fleet.caller_worker, fleet.direct_port(), connections, each);
        const double before = fleet.daemon_worker.seconds();
        const latency relayed = measure(fleet.caller_worker, fleet.port, connections, each);
        const double cpu_seconds = fleet.daemon_worker.seconds() - before;
        const auto count = static_cast<double>(connections * each);
        state.counters["direct_median_us"] = direct.median * 1e6;
        state.counters["added_median_us"] = (relayed.median - direct.median) * 1e6;
        state.counters["added_p99_us"] = (relayed.p99 - direct.p99) * 1e6;
        state.counters["median_ratio"] = relayed.median / direct.median;
        state.counters["requests_s"] = relayed.requests_s;
        state.counters["requests_s_per_core"] = count / cpu_seconds;
        state.counters["direct_requests_s"] = direct.requests_s;
    }
}
BENCHMARK(added_latency)->Arg(1)->Arg(32)->Iterations(1)->Unit(benchmark::kMillisecond);

/// Reads one stream to its end, and counts it in `complete` if it has its terminal mark.
asio::awaitable<void> read_stream(std::uint16_t port, std::uint32_t tokens,
                                  std::shared_ptr<std::atomic<std::size_t>> complete,
                                  std::shared_ptr<std::atomic<std::size_t>> finished)
{
    tcp::socket socket{co_await asio::this_coro::executor};
    const tcp::endpoint remote{asio::ip::make_address("127.0.0.1"), port};
    co_await socket.async_connect(remote, asio::use_awaitable);
    const std::string body = R"({"model":"m","stream":true,"max_tokens":)" +
                             std::to_string(tokens) +
                             R"(,"messages":[{"role":"user","content":"bench"}]})";
    http::request<http::string_body> request{http::verb::post, "/v1/chat/completions", 11, body};
    request.set(http::field::host, "bench");
    request.prepare_payload();
    co_await http::async_write(socket, request, asio::use_awaitable);
    std::array<char, 64 * 1024> read_buffer{};
    std::string tail;
    boost::system::error_code failed;
    bool refused = false;
    while (!failed && !refused && tail.find("data: [DONE]") == std::string::npos) {
        const std::size_t got = co_await socket.async_read_some(
            asio::buffer(read_buffer), asio::redirect_error(asio::use_awaitable, failed));
        tail.append(read_buffer.data(), got);
        refused = tail.find("jaynotch-ran") != std::string::npos;
        if (tail.size() > 64)
            tail.erase(0, tail.size() - 64);
    }
    if (!failed && !refused)
        ++*complete;
    ++*finished;
}

/// Tokens per second through one node with many concurrent streams, and the utilisation of the
/// threads. The offered rate is streams / token interval.
void tokens_through_one_node(benchmark::State& state)
{
    const std::chrono::milliseconds token_interval{state.range(1)};
    bench_fleet fleet{token_interval};
    const auto streams = static_cast<std::size_t>(state.range(0));
    for (auto _ : state) {
        const auto complete = std::make_shared<std::atomic<std::size_t>>(0);
        const auto finished = std::make_shared<std::atomic<std::size_t>>(0);
        const double before = fleet.daemon_worker.seconds();
        const double standin_before = fleet.platform_worker.seconds();
        const double callers_before = fleet.caller_worker.seconds();
        const auto began = std::chrono::steady_clock::now();
        for (std::size_t index = 0; index < streams; ++index)
            asio::co_spawn(fleet.caller_worker.io,
                           read_stream(fleet.port, bench_tokens, complete, finished),
                           asio::detached);
        while (finished->load() < streams)
            std::this_thread::sleep_for(1ms);
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
        const double cpu_seconds = fleet.daemon_worker.seconds() - before;
        const auto count = static_cast<double>(
            fleet.daemon_worker.on([&] { return fleet.node->counts().tokens_relayed; }));
        state.counters["offered_s"] =
            static_cast<double>(streams) / std::chrono::duration<double>{token_interval}.count();
        state.counters["whole"] = static_cast<double>(complete->load());
        state.counters["tokens_s"] = count / took.count();
        state.counters["tokens_s_per_core"] = count / cpu_seconds;
        state.counters["daemon_busy"] = cpu_seconds / took.count();
        state.counters["engines_busy"] =
            (fleet.platform_worker.seconds() - standin_before) / took.count();
        state.counters["callers_busy"] =
            (fleet.caller_worker.seconds() - callers_before) / took.count();
    }
}
BENCHMARK(tokens_through_one_node)
    ->Args({500, 20})
    ->Args({2000, 20})
    ->Args({2000, 10})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

std::size_t heap_in_use()
{
    const struct mallinfo2 now = mallinfo2();
    return now.uordblks + now.hblkhd;
}

/// Heap bytes per idle connection. Both ends are in this process and counted; the caller's end is a
/// plain socket.
void idle_connection_bytes(benchmark::State& state)
{
    bench_fleet fleet;
    constexpr std::size_t count = 2'000;
    for (auto _ : state) {
        asio::io_context io;
        std::vector<tcp::socket> sockets;
        sockets.reserve(count);
        const std::size_t before = heap_in_use();
        for (std::size_t index = 0; index < count; ++index) {
            sockets.emplace_back(io);
            sockets.back().connect({asio::ip::make_address("127.0.0.1"), fleet.port});
        }
        std::this_thread::sleep_for(300ms);
        state.counters["bytes_each"] =
            static_cast<double>(heap_in_use() - before) / static_cast<double>(count);
    }
}
BENCHMARK(idle_connection_bytes)->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
