#include "daemon/daemon_setup.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>

namespace jaynotch {

namespace {

constexpr duration max_call_time = std::chrono::seconds{5};
constexpr duration drain_poll_interval = std::chrono::milliseconds{20};
/// For final answers at the end of a stop to reach their callers.
constexpr duration last_answers_time = std::chrono::milliseconds{300};

} // namespace

std::uint64_t seed_or_random(const daemon_settings& settings)
{
    if (settings.seed != 0)
        return settings.seed;
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

peer_settings peer_settings_of(const daemon_settings& settings, std::uint64_t seed)
{
    peer_settings made;
    made.deployment = settings.deployment;
    made.node = settings.node;
    made.failure_domain = settings.failure_domain;
    made.listen = settings.peer_listen;
    made.advertise = settings.peer_advertise;
    made.seeds = settings.seed_peers;
    made.max_inbound = settings.limits.peer_connections;
    made.tls = {settings.peer_tls.certificate, settings.peer_tls.key, settings.peer_tls.authority};
    made.random_seed = seed;
    return made;
}

http_server_limits operator_limits_of(const daemon_limits& limits)
{
    http_server_limits made = limits.http;
    made.connections = limits.operator_connections;
    made.closing = limits.operator_connections;
    return made;
}

core_settings core_settings_of(const daemon_settings& settings, std::uint64_t incarnation)
{
    core_settings made;
    made.node = settings.node;
    made.incarnation = std::to_string(incarnation);
    made.max_requests = settings.limits.requests;
    made.admission = settings.admission;
    made.mechanisms = settings.mechanisms;
    made.stall_timeout = settings.timeouts.stream_stall;
    return made;
}

void log_overload(const overload_changed& seen)
{
    if (seen.limit)
        log_event(log_level::warning, "overload_limited",
                  {{"limit", *seen.limit},
                   {"open", seen.open},
                   {"refused", seen.refused},
                   {"begun_in_time", seen.window.in_time},
                   {"begun_late", seen.window.late},
                   {"ended_well", seen.window.complete},
                   {"ended_slow", seen.window.slow},
                   {"not_ended", seen.window.incomplete}});
    else
        log_event(log_level::info, "overload_over", {{"refused", seen.refused}});
}

net::awaitable<void> sleep_for(net::io_context& io, duration time)
{
    timer pause{io, time};
    boost::system::error_code ignored;
    co_await pause.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

time_point last_answers_at(time_point until)
{
    return until - last_answers_time;
}

net::awaitable<void> drain_callers(net::io_context& io, http_server& server,
                                   const daemon_counts& counts, time_point until)
{
    server.stop_accepting();
    bool expired = false;
    while ((counts.in_flight > 0 || server.connections() > 0) && runtime_clock::now() < until) {
        if (!expired && runtime_clock::now() >= last_answers_at(until)) {
            server.expire_reads();
            expired = true;
        }
        co_await sleep_for(io, drain_poll_interval);
    }
}

void check_slow_callers(const relay_services& services)
{
    std::vector<std::function<void()>> asked; // a copy, since a check may end requests
    for (const auto& [way, ask] : services.slow_caller_checks)
        asked.push_back(ask);
    for (const auto& ask : asked)
        ask();
}

void keep_alive_for_pending_calls(net::io_context& io, std::shared_ptr<const void> parts)
{
    const auto pause = std::make_shared<timer>(io, max_call_time);
    pause->async_wait([kept = std::move(parts), pause](boost::system::error_code) {});
}

gauges common_gauges(const daemon_counts& counts, const http_server& callers,
                     const peer_service& peers, const kv_service& kv, const tracer& spans)
{
    gauges now;
    now.connections = callers.connections();
    now.in_flight = counts.in_flight;
    for (const member& one : peers.members())
        now.members += one.live() ? 1 : 0;
    const peer_counters sent = peers.counters();
    now.peer_bytes_sent = sent.bytes_sent;
    now.peer_bytes_queued = sent.queued_bytes;
    now.peer_frames_dropped = sent.frames_dropped;
    now.peer_connections_silent = sent.connections_silent;
    now.kv_calls = kv.counts();
    now.spans_dropped = spans.dropped();
    now.log_lines_dropped = log_lines_dropped();
    return now;
}

} // namespace jaynotch
