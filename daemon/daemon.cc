#include "daemon/daemon.h"

#include "daemon/daemon_impl.h"
#include "daemon/daemon_setup.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// Order of a graceful stop: report "not ready" and keep serving until the load balancer has
// noticed; accept no new connections; finish every request in flight, however long its stream may
// take, up to the time limit for a stop; leave the membership; close everything. Each step comes
// only after callers and peers no longer need what it closes.

namespace jaynotch {

namespace {

constexpr duration second = std::chrono::seconds{1};
/// Enough time for the tickets of complete groups to arrive from peers by gossip.
constexpr duration max_warm_up = std::chrono::seconds{10};

etcd_settings key_value_settings(const daemon_settings& settings)
{
    etcd_settings made;
    made.address = settings.key_value.front();
    return made;
}

} // namespace

daemon::impl::impl(net::io_context& context, const daemon_settings& chosen)
    : io{context}, settings{chosen}, kv{kv_service::over_etcd(context.get_executor(),
                                                              key_value_settings(chosen))},
      servers{context, settings}, m_started{runtime_clock::now()}, m_timer{context}
{}

daemon::impl::~impl() = default;

result<void> daemon::impl::open()
{
    const std::uint64_t seed = seed_or_random(settings);
    BOOST_OUTCOME_TRY(spans, tracer::open(settings.trace_file, settings.node, seed ^ 1U));
    BOOST_OUTCOME_TRY(peers, peer_service::create(io, peer_settings_of(settings, seed ^ 2U)));
    BOOST_OUTCOME_TRY(open_cores(seed));
    connect_parts();
    return open_ports();
}

result<void> daemon::impl::open_cores(std::uint64_t seed)
{
    config_settings for_config;
    for_config.deployment = settings.deployment;
    for_config.random_seed = seed ^ 3U;
    BOOST_OUTCOME_TRY(config, config_service::create(io, for_config, kv, *peers));
    random_source random{seed ^ 4U};
    const std::uint64_t incarnation = random.bits();
    BOOST_OUTCOME_TRY(request_core core,
                      request_core::create(core_settings_of(settings, incarnation), random,
                                           runtime_clock::now()));
    driver_hooks hooks;
    hooks.on_overload_changed = log_overload;
    hooks.on_released = [](const target_released& gone) {
        log_event(log_level::info, "target_released", {{"target", gone.target.value()}});
    };
    hooks.on_share_demand = [this](const share_demand& own) { publish_demand(own); };
    requests = std::make_unique<request_driver>(io, std::move(core), kv, std::move(hooks));
    return success();
}

result<void> daemon::impl::open_ports()
{
    http_server_settings for_callers{settings.timeouts.http, settings.limits.http,
                                     settings.caller_tls, services->memory};
    BOOST_OUTCOME_TRY(caller_server, http_server::open(io, settings.listen, for_callers,
                                                       [this](http_exchange& exchange) {
                                                           return caller_front->serve(exchange);
                                                       }));
    http_server_settings for_operators{settings.timeouts.http, operator_limits_of(settings.limits),
                                       settings.admin_tls, services->memory};
    BOOST_OUTCOME_TRY(admin_server, http_server::open(io, settings.admin_listen, for_operators,
                                                      [this](http_exchange& exchange) {
                                                          return admin->serve(exchange);
                                                      }));
    return success();
}

void daemon::impl::start()
{
    net::co_spawn(io, peers->run(), net::detached);
    net::co_spawn(io, config->run(), net::detached);
    requests->start();
    groups->start();
    plain->start();
    caller_server->start();
    admin_server->start();
    net::co_spawn(io, housekeeping(), net::detached);
    log_event(log_level::info, "daemon_started",
              {{"listen_port", caller_server->port()}, {"admin_port", admin_server->port()}});
}

net::awaitable<void> daemon::impl::housekeeping()
{
    const auto self = shared_from_this();
    while (!m_stopped) {
        boost::system::error_code ignored;
        m_timer.expires_after(second);
        co_await m_timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
        check_slow_callers(*services);
        spans->flush();
    }
}

bool daemon::impl::ready() const
{
    return !m_stopping && config->current() != nullptr && !warming_up();
}

// A node that has just started gets the tables at once but the tickets of groups a little later. If
// it reported ready in between, it would have to refuse callers that any other node could serve.
// The wait is bounded, since there may be no complete group at all.
bool daemon::impl::warming_up() const
{
    const auto tables = config->current();
    const auto is_model = [](const pool& row) { return row.kind == pool_kind::model; };
    const bool groups_wanted =
        tables && std::any_of(tables->pools.begin(), tables->pools.end(), is_model);
    return groups_wanted && m_pushed.empty() && runtime_clock::now() - m_started < max_warm_up;
}

net::awaitable<void> daemon::impl::stop()
{
    const auto self = shared_from_this();
    if (m_stopping)
        co_return;
    m_stopping = true;
    const time_point until = runtime_clock::now() + settings.timeouts.max_stop_time;
    log_event(log_level::info, "daemon_stopping", {{"in_flight", counts.in_flight}});
    caller_server->disable_keep_alive();
    requests->handle(stop_begun{last_answers_at(until)});
    co_await sleep_for(io, settings.timeouts.balancer_wait);
    co_await drain_callers(io, *caller_server, counts, until);
    const std::uint64_t unfinished = counts.in_flight;
    config->stop();
    co_await peers->leave();
    m_stopped = true;
    m_timer.cancel();
    admin_server->stop_accepting();
    log_event(unfinished == 0 ? log_level::info : log_level::error, "daemon_stopped",
              {{"in_flight", unfinished}});
    abort();
}

/// Stops every component. Coroutines that still run on the io_context own the state that they use
/// and end by themselves.
void daemon::impl::abort()
{
    m_stopping = true;
    m_stopped = true;
    m_timer.cancel();
    if (caller_server)
        caller_server->abort();
    if (admin_server)
        admin_server->abort();
    if (config)
        config->stop();
    if (peers)
        peers->stop();
    if (groups)
        groups->stop();
    if (plain)
        plain->stop();
    if (requests)
        requests->stop();
    if (spans)
        spans->flush();
}

daemon::daemon(std::shared_ptr<impl> made) : m_impl{std::move(made)} {}

daemon::~daemon()
{
    m_impl->abort();
    keep_alive_for_pending_calls(m_impl->io, m_impl);
}

result<std::unique_ptr<daemon>> daemon::create(net::io_context& io, const daemon_settings& settings)
{
    BOOST_OUTCOME_TRY(check(settings));
    auto made = std::make_shared<impl>(io, settings);
    BOOST_OUTCOME_TRY(made->open());
    return std::unique_ptr<daemon>{new daemon{std::move(made)}};
}

void daemon::start()
{
    m_impl->start();
}

net::awaitable<void> daemon::stop()
{
    return m_impl->stop();
}

void daemon::on_superseded(std::function<void()> handler)
{
    m_impl->superseded = std::move(handler);
}

bool daemon::ready() const
{
    return m_impl->ready();
}

config_revision daemon::revision() const
{
    const auto tables = m_impl->config->current();
    return tables ? tables->revision : config_revision{};
}

std::uint16_t daemon::listen_port() const
{
    return m_impl->caller_server->port();
}

std::uint16_t daemon::peer_port() const
{
    return parse_endpoint(m_impl->peers->address()).value().port();
}

std::uint16_t daemon::admin_port() const
{
    return m_impl->admin_server->port();
}

daemon_counts daemon::counts() const
{
    return m_impl->counts;
}

std::size_t daemon::complete_groups() const
{
    return m_impl->groups_in_use();
}

} // namespace jaynotch
