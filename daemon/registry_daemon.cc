#include "daemon/registry_daemon.h"

#include "base/parse_number.h"
#include "daemon/daemon_setup.h"
#include "daemon/formation_driver.h"
#include "daemon/forward_front.h"
#include "daemon/metrics.h"
#include "daemon/registry_feed.h"
#include "daemon/registry_pages.h"
#include "daemon/relay.h"
#include "daemon/request_driver.h"
#include "daemon/target_view.h"
#include "daemon/trace.h"
#include "daemon/upstreams.h"
#include "http/http_server.h"
#include "peers/peers.h"
#include "services/services.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <charconv>
#include <numeric>

// Everything runs on one thread. Changes of the registry are passed to the group managers and, as
// targets, to the request core. When the request core detects an unresponsive group, the managers
// are notified and find out which member is lost.

namespace jaynotch {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{50}; ///< of managers and feed
constexpr duration second = std::chrono::seconds{1};
/// A connection to a server in reach opens within a few milliseconds.
constexpr duration reach_probe_timeout = std::chrono::milliseconds{200};
/// Between a cut connection and the check whether its server has ended.
constexpr duration end_check_delay = std::chrono::milliseconds{20};
constexpr duration call_report_interval = std::chrono::seconds{10};

std::string to_hex(std::uint64_t value)
{
    constexpr int base = 16;
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, base).ptr;
    return {digits.data(), end};
}

content_notice notice_of(const crash_evidence& seen)
{
    return {seen.content.value(), static_cast<content_notice::fact>(seen.kind), seen.server,
            seen.since_end, seen.age};
}

crash_evidence evidence_of(const content_notice& heard)
{
    return {content_id{heard.content}, static_cast<evidence_kind>(heard.what), heard.server,
            heard.since_end, heard.age};
}

/// Names no start if the text can't be read.
std::pair<vm_id, std::int64_t> parse_start_name(const std::string& name)
{
    const std::size_t at = name.rfind('@');
    if (at == std::string::npos)
        return {};
    const auto born_ms = parse_number<std::int64_t>(std::string_view{name}.substr(at + 1));
    if (!born_ms)
        return {};
    return {vm_id{name.substr(0, at)}, *born_ms};
}

platform::store_settings store_settings_of(const daemon_settings& settings)
{
    platform::store_settings made;
    made.address = settings.key_value.front();
    return made;
}

/// Settings of the request core with the operators' limit on retries, which applies to all nodes
/// together and counts every retry, whatever its reason.
core_settings bounded_core_settings(const daemon_settings& settings, std::uint64_t incarnation)
{
    core_settings made = core_settings_of(settings, incarnation);
    made.failure_domain = settings.failure_domain;
    made.retry_share = settings.site.retry_share;
    made.retry_extra = settings.site.retry_extra;
    made.retry_extra_fleet_wide = true;
    made.retry_window = settings.site.retry_window;
    made.charge_every_retry = true;
    made.min_retry_after = std::chrono::milliseconds{100};
    made.started_again = !settings.first_start;
    made.cold_excess = settings.site.cold_excess;
    made.cold_slack = settings.site.cold_slack;
    return made;
}

} // namespace

class registry_daemon::impl : public std::enable_shared_from_this<impl> {
public:
    impl(net::io_context& context, const daemon_settings& chosen)
        : io{context}, settings{chosen}, kv{kv_service::over_store(context.get_executor(),
                                                                   store_settings_of(chosen))},
          servers{context, settings}, m_timer{context}
    {
        memory->set_budget(settings.limits.held_bytes);
    }

    result<void> open()
    {
        const std::uint64_t seed = seed_or_random(settings);
        BOOST_OUTCOME_TRY(spans, tracer::open(settings.trace_file, settings.node, seed ^ 1U));
        BOOST_OUTCOME_TRY(open_relay_port());
        peer_settings chosen_peers = peer_settings_of(settings, seed ^ 2U);
        chosen_peers.relay_port = relay_server ? relay_server->port() : std::uint16_t{0};
        BOOST_OUTCOME_TRY(peers, peer_service::create(io, std::move(chosen_peers)));
        random_source random{seed ^ 4U};
        const std::uint64_t incarnation = random.bits();
        BOOST_OUTCOME_TRY(request_core core,
                          request_core::create(bounded_core_settings(settings, incarnation), random,
                                               runtime_clock::now()));
        driver_hooks hooks;
        hooks.on_silent = [this](const target_silent& seen) { handle_silent_target(seen); };
        hooks.on_share_limit = [this](const share_limit& seen) { publish_limit(seen); };
        hooks.on_cold_servers = [](const cold_servers_changed& seen) {
            if (seen.cold == 0)
                log_event(log_level::info, "server_warm", {});
            else
                log_event(log_level::info, "server_cold",
                          {{"servers", seen.cold},
                           {"first", seen.example.value()},
                           {"own_requests_per_second", seen.own_parts}});
        };
        hooks.on_probe_server = [this](const probe_server& wanted) {
            net::co_spawn(io, probe(wanted), net::detached);
        };
        hooks.on_check_server_ended = [this](const check_server_ended& wanted) {
            net::co_spawn(io, check_ended(wanted), net::detached);
        };
        hooks.on_share_evidence = [this](const share_evidence& seen) {
            publish_evidence(seen.evidence);
        };
        hooks.on_content_blocked = [](const content_blocked& seen) {
            log_event(log_level::warning, "content_blocked",
                      {{"content", to_hex(seen.content.value())}});
        };
        hooks.on_overload_changed = log_overload;
        hooks.on_reach_changed = [this](const reach_changed& seen) { handle_reach(seen); };
        hooks.on_group_reach_changed = [this](const group_reach_changed& seen) {
            managers->set_cut_off(seen.reaches_none);
        };
        requests = std::make_unique<request_driver>(io, std::move(core), kv, std::move(hooks));
        managers = std::make_unique<formation_driver>(io, settings, kv, *peers, m_registry);
        managers->set_response_check([this](const vm_id& vm, time_point since) {
            return requests->core().responded_since(vm, since);
        });
        managers->on_group_changed([this] { push_targets(); });
        feed = std::make_unique<registry_feed>(io, settings, kv, *peers, feed_hooks());
        services.reset(
            new relay_services{io,
                               settings,
                               *requests,
                               servers,
                               *spans,
                               exported_metrics,
                               counts,
                               {},
                               {},
                               [this] { return tables ? tables->revision : config_revision{0}; },
                               {}});
        services->on_leaving = [this](const target_id& /*target*/, const vm_id& server) {
            handle_leaving(server);
        };
        services->memory = memory;
        caller_front = std::make_unique<forward_front>(*services, [this] {
            return front_state{tables, m_stopping, false};
        });
        pages.reset(new registry_pages{
            {settings, m_registry, *peers, *requests, [this] { return tables; },
             [this] { return ready(); }, [this] { return feed->current(); },
             [this] { return feed->configuration_unreadable(); },
             [this] { return managers->managed(); }, [this] { return counts.in_flight; },
             [this] { return metrics_page(); }, runtime_clock::now()}});
        peers->on_rumor([this](const rumor& heard) {
            if (const auto* newer = std::get_if<key_notice>(&heard))
                feed->notice_received(*newer);
            if (const auto* limit = std::get_if<server_limit>(&heard))
                requests->handle(
                    peer_limit_received{vm_id{limit->server}, limit->per_second, limit->age});
            if (const auto* left = std::get_if<leaving>(&heard))
                handle_leaving(*left);
            if (const auto* notice = std::get_if<content_notice>(&heard))
                requests->handle(peer_evidence_received{evidence_of(*notice)});
        });
        peers->on_member([this](const member& changed) {
            if (changed.live() && changed.node != settings.node)
                requests->handle(peer_started{});
        });
        peers->on_superseded([this] {
            if (superseded)
                superseded();
        });
        return open_ports();
    }

    void start()
    {
        net::co_spawn(io, peers->run(), net::detached);
        feed->start();
        requests->start();
        caller_server->start();
        if (relay_server)
            relay_server->start();
        ready_server->start();
        admin_server->start();
        net::co_spawn(io, run_ticks(), net::detached);
        log_event(log_level::info, "daemon_started",
                  {{"listen", settings.listen},
                   {"first_start", settings.first_start},
                   {"without", settings.mechanisms.disabled_names()}});
    }

    net::awaitable<void> stop()
    {
        const auto self = shared_from_this();
        if (m_stopping)
            co_return;
        m_stopping = true;
        const time_point until = runtime_clock::now() + settings.timeouts.max_stop_time;
        log_event(log_level::info, "daemon_stopping", {{"in_flight", counts.in_flight}});
        caller_server->disable_keep_alive();
        if (relay_server)
            relay_server->disable_keep_alive();
        requests->handle(stop_begun{last_answers_at(until)});
        co_await managers->resign(resignation::where_possible);
        co_await sleep_for(io, settings.timeouts.balancer_wait);
        if (relay_server)
            relay_server->stop_accepting();
        co_await drain_callers(io, *caller_server, counts, until);
        if (relay_server) {
            co_await drain_callers(io, *relay_server, counts, until);
        }
        co_await managers->resign(resignation::all);
        const std::uint64_t unfinished = counts.in_flight;
        co_await peers->leave();
        log_event(unfinished == 0 ? log_level::info : log_level::error, "daemon_stopped",
                  {{"in_flight", unfinished}});
        abort();
    }

    void abort()
    {
        m_stopping = true;
        m_stopped = true;
        m_timer.cancel();
        for (http_server* one :
             {caller_server.get(), relay_server.get(), ready_server.get(), admin_server.get()})
        {
            if (one != nullptr)
                one->abort();
        }
        if (feed)
            feed->stop();
        if (managers)
            managers->stop();
        if (peers)
            peers->stop();
        if (requests)
            requests->stop();
    }

    [[nodiscard]] bool ready() const { return !m_stopping && tables != nullptr; }
    [[nodiscard]] std::size_t serving_groups() const { return m_pushed.groups.size(); }

    net::io_context& io;
    daemon_settings settings;
    daemon_counts counts;
    metrics exported_metrics;
    kv_service kv;
    upstreams servers;
    std::unique_ptr<tracer> spans;
    std::unique_ptr<peer_service> peers;
    std::unique_ptr<request_driver> requests;
    std::unique_ptr<formation_driver> managers;
    std::unique_ptr<registry_feed> feed;
    std::unique_ptr<relay_services> services;
    std::unique_ptr<forward_front> caller_front;
    std::unique_ptr<registry_pages> pages;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> relay_server; ///< null if requests of other nodes are not accepted
    std::unique_ptr<http_server> ready_server;
    std::unique_ptr<http_server> admin_server;
    std::shared_ptr<const configuration> tables;
    std::shared_ptr<held_memory> memory = std::make_shared<held_memory>(); ///< of all servers
    std::function<void()> superseded;

private:
    result<void> open_ports()
    {
        const http_server_settings for_callers{
            settings.timeouts.http, settings.limits.http, {}, memory};
        const http_server_settings for_operators{
            settings.timeouts.http, operator_limits_of(settings.limits), {}, memory};
        BOOST_OUTCOME_TRY(caller_server, http_server::open(io, settings.listen, for_callers,
                                                           [this](auto& exchange) {
                                                               managers->traffic_started();
                                                               return caller_front->serve(exchange);
                                                           }));
        BOOST_OUTCOME_TRY(ready_server, http_server::open(io, settings.ready_listen, for_operators,
                                                          [this](http_exchange& exchange) {
                                                              return answer_readiness(exchange);
                                                          }));
        BOOST_OUTCOME_TRY(admin_server, http_server::open(io, settings.admin_listen, for_operators,
                                                          [this](http_exchange& exchange) {
                                                              return pages->serve(exchange);
                                                          }));
        return success();
    }

    /// The port on which other nodes pass on requests. Their credentials cross it, so it is not
    /// opened in plain text where the nodes use TLS among themselves.
    result<void> open_relay_port()
    {
        if (settings.relay_listen.empty())
            return success();
        if (settings.peer_tls.enabled()) {
            log_event(log_level::warning, "relay_port_closed",
                      {{"reason", "requests can't be passed on under --peer_certificate"}});
            return success();
        }
        http_server_settings for_nodes{settings.timeouts.http, settings.limits.http, {}, memory};
        for_nodes.limits.connections = settings.limits.relay_connections;
        BOOST_OUTCOME_TRY(
            relay_server,
            http_server::open(io, settings.relay_listen, for_nodes, [this](auto& exchange) {
                return caller_front->serve_relayed(exchange);
            }));
        return success();
    }

    registry_hooks feed_hooks()
    {
        registry_hooks hooks;
        hooks.on_configuration = [this](std::shared_ptr<const configuration> next) {
            install(std::move(next));
        };
        hooks.on_runner = [this](const runner& row) {
            m_registry.update(row, runtime_clock::now());
            managers->runner_updated(m_registry.find(row.id)->row);
        };
        hooks.on_runner_removed = [this](const vm_id& id) {
            m_registry.remove(id, runtime_clock::now());
            managers->runner_removed(id);
        };
        hooks.on_evacuation = [this](const failure_domain_id& domain, bool evacuated) {
            handle_evacuation(domain, evacuated);
        };
        hooks.on_key = [this](const kv_entry& entry, bool exists) {
            managers->store_key_updated(entry, exists);
        };
        hooks.on_current_changed = [this](bool current, std::size_t rank) {
            managers->set_current(current, rank);
        };
        hooks.on_batch = [this] {
            push_targets();
            managers->tick();
        };
        return hooks;
    }

    /// The targets and the managers follow the registry at the end of the batch.
    void handle_evacuation(const failure_domain_id& domain, bool evacuated)
    {
        if (!m_registry.set_evacuated(domain, evacuated))
            return;
        log_event(log_level::warning, evacuated ? "domain_evacuated" : "domain_returned",
                  {{"domain", domain.value()}});
    }

    /// A server says in an answer that it leaves. The store may tell it later, or never.
    void handle_leaving(const vm_id& server)
    {
        const groups::registered_runner* known = m_registry.find(server);
        if (known != nullptr && note_leaving(server, known->row.born_ms))
            peers->publish(leaving{start_name(server, known->row.born_ms)});
    }

    /// Another node has heard it from the server.
    void handle_leaving(const leaving& heard)
    {
        const auto [server, born_ms] = parse_start_name(heard.server);
        (void)note_leaving(server, born_ms);
    }

    bool note_leaving(const vm_id& server, std::int64_t born_ms)
    {
        if (!m_registry.note_leaving(server, born_ms, runtime_clock::now()))
            return false;
        log_event(log_level::info, "server_leaving", {{"server", server.value()}});
        const groups::registered_runner& known = *m_registry.find(server);
        if (known.listed)
            managers->runner_updated(known.row);
        push_targets();
        return true;
    }

    void install(std::shared_ptr<const configuration> next)
    {
        tables = std::move(next);
        m_installed = runtime_clock::now();
        log_event(log_level::info, "config_installed",
                  {{"revision", tables->revision.value()},
                   {"routes", tables->routes.size()},
                   {"pools", tables->pools.size()},
                   {"keys_required", tables->keys_required()},
                   {"workspaces", tables->workspaces ? tables->workspaces->size() : 0},
                   {"keys", tables->key_count()}});
        apply_limits(tables->limits);
        managers->install(*tables);
        requests->handle(tables_installed{*tables});
        m_pushed = {};
        m_pushed_version.reset();
    }

    /// A limit that the operators don't set, or no longer set, is this node's own.
    void apply_limits(const caller_limits& stated) const
    {
        http_timeouts timeouts = settings.timeouts.http;
        timeouts.header = stated.header_timeout.value_or(timeouts.header);
        timeouts.idle = stated.idle_timeout.value_or(timeouts.idle);
        http_server_limits limits = settings.limits.http;
        limits.header_bytes = stated.header_bytes.value_or(limits.header_bytes);
        limits.body_bytes = stated.body_bytes.value_or(limits.body_bytes);
        caller_server->set_limits(timeouts, limits);
    }

    void push_targets()
    {
        const time_point now = runtime_clock::now();
        const bool valid =
            m_pushed_version == m_registry.serving_version() && now < m_pushed.valid_until;
        if (!tables || valid)
            return;
        m_pushed_version = m_registry.serving_version();
        target_lists next = targets_of(m_registry, *tables, now);
        const bool changed = !next.same(m_pushed);
        m_pushed = std::move(next);
        if (!changed)
            return;
        requests->handle(groups_changed{m_pushed.groups});
        requests->handle(servers_changed{m_pushed.servers});
        if (!m_first_targets_after)
            note_first_targets(now);
    }

    void note_first_targets(time_point now)
    {
        m_first_targets_after = now - m_started;
        log_event(log_level::info, "first_targets",
                  {{"after_ms",
                    std::chrono::duration_cast<std::chrono::milliseconds>(*m_first_targets_after)
                        .count()},
                   {"groups", m_pushed.groups.size()},
                   {"servers", m_pushed.servers.size()},
                   {"members", peers->members().size()}});
    }

    void handle_silent_target(const target_silent& seen)
    {
        log_event(log_level::warning, "group_silent",
                  {{"group", seen.target.value()}, {"head", seen.instance.value()}});
        managers->report_unresponsive_head(
            seen.instance, seen.streams_stopped ? groups::silence_evidence::stopped_streams
                                                : groups::silence_evidence::awaited_response);
    }

    void handle_reach(const reach_changed& seen)
    {
        const bool reached = seen.state == reach_state::reached;
        const bool lost = seen.state == reach_state::lost_for_all;
        const routing_counters& counters = requests->core().counters();
        log_event(reached ? log_level::info : log_level::warning,
                  reached ? "servers_reached_again"
                  : lost  ? "servers_lost_for_all"
                          : "servers_unreachable",
                  {{"pool", seen.pool.value()},
                   {"detours", counters.detours},
                   {"returned", counters.detours_returned}});
    }

    /// Finds out whether the server is in reach. Unless a response is wanted, it doesn't have to
    /// answer: a process that is stopped for a while answers nothing, and says nothing about this
    /// node's links.
    net::awaitable<void> probe(probe_server wanted)
    {
        const auto self = shared_from_this();
        bool reached = false;
        if (wanted.needs_response)
            reached = co_await responds(wanted.address);
        else
            reached = co_await accepts_connections(wanted.address);
        if (!m_stopped)
            requests->handle(server_probed{wanted.target, reached});
    }

    net::awaitable<bool> responds(std::string address)
    {
        platform::order_client prober{io.get_executor(), connection_limits(settings)};
        co_return co_await prober.answers(std::move(address), reach_probe_timeout);
    }

    net::awaitable<bool> accepts_connections(std::string address)
    {
        http_client prober{io.get_executor(), std::move(address), connection_limits(settings)};
        co_return co_await prober.can_connect(reach_probe_timeout);
    }

    /// Finds out whether a server that cut a connection has ended. A process that ends closes its
    /// connections and its listening socket in no certain order.
    net::awaitable<void> check_ended(check_server_ended wanted)
    {
        const auto self = shared_from_this();
        co_await sleep_for(io, end_check_delay);
        const bool connected = co_await accepts_connections(wanted.address);
        if (m_stopped)
            co_return;
        if (!connected)
            log_event(log_level::warning, "server_ended",
                      {{"server", wanted.server.value()}, {"target", wanted.target.value()}});
        requests->handle(server_checked{wanted.target, wanted.server, !connected});
    }

    void publish_evidence(const crash_evidence& seen)
    {
        log_event(log_level::info, "content_evidence",
                  {{"content", to_hex(seen.content.value())}, {"evidence", to_name(seen.kind)}});
        peers->publish(notice_of(seen));
    }

    /// Tells the request core which nodes accept requests passed on to them, and which leave and
    /// only finish those they have, when that changes.
    void update_relay_nodes()
    {
        if (m_relay_nodes_version == peers->members_version())
            return;
        m_relay_nodes_version = peers->members_version();
        relay_nodes_changed seen;
        for (const member& one : peers->members()) {
            const result<net::ip::tcp::endpoint> address = parse_endpoint(one.address);
            const bool lost = one.state == member_state::dead;
            if (one.node == settings.node || lost || one.relay_port == 0 || !address)
                continue;
            seen.nodes.push_back(
                {one.node, one.failure_domain,
                 address.value().address().to_string() + ":" + std::to_string(one.relay_port),
                 one.live()});
        }
        requests->handle(std::move(seen));
    }

    void publish_limit(const share_limit& seen)
    {
        peers->publish(server_limit{seen.server.value(), seen.per_second, {}});
        if (seen.per_second)
            log_event(log_level::info, "server_limited",
                      {{"server", seen.server.value()},
                       {"per_second", *seen.per_second},
                       {"own_share", seen.own_share}});
        else
            log_event(log_level::info, "server_unlimited", {{"server", seen.server.value()}});
    }

    net::awaitable<void> run_ticks()
    {
        const auto self = shared_from_this();
        time_point next_second = runtime_clock::now();
        while (!m_stopped) {
            boost::system::error_code ignored;
            m_timer.expires_after(tick_interval);
            const time_point expected_at = runtime_clock::now() + tick_interval;
            co_await m_timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
            if (m_stopped)
                co_return;
            exported_metrics.loop_delay(
                std::max<duration>(duration{0}, runtime_clock::now() - expected_at));
            feed->tick();
            push_targets();
            update_relay_nodes();
            managers->tick();
            flush_log();
            if (runtime_clock::now() < next_second)
                continue;
            next_second = runtime_clock::now() + second;
            run_second_tasks();
        }
    }

    void run_second_tasks()
    {
        check_slow_callers(*services);
        spans->flush();
        if (runtime_clock::now() >= m_next_call_report)
            log_store_calls();
        update_fleet();
    }

    /// Unreachable nodes may still be sending requests, so they count; only nodes that have left
    /// the membership don't.
    void update_fleet()
    {
        fleet_updated seen;
        for (const member& one : peers->members()) {
            if (one.state != member_state::left)
                seen.members.push_back({one.node, one.failure_domain, one.live()});
        }
        const std::size_t nodes = seen.members.size();
        requests->handle(std::move(seen));
        if (nodes != m_fleet_size) {
            m_fleet_size = nodes;
            requests->handle(fleet_size_updated{std::max(nodes, min_fleet_size)});
        }
    }

    /// Logs the number of calls to the store since the previous such line.
    void log_store_calls()
    {
        m_next_call_report = runtime_clock::now() + call_report_interval;
        const kv_call_counts now = kv.counts();
        const auto since = [&](kv_call kind) { return now.of(kind) - m_logged_calls.of(kind); };
        const auto failed = std::accumulate(now.failed.begin(), now.failed.end(), std::uint64_t{0});
        const auto failed_logged = std::accumulate(m_logged_calls.failed.begin(),
                                                   m_logged_calls.failed.end(), std::uint64_t{0});
        if (now.total() != m_logged_calls.total())
            log_event(log_level::info, "store_calls",
                      {{"reads", since(kv_call::get)},
                       {"pages", since(kv_call::get_prefix)},
                       {"watches", since(kv_call::watch)},
                       {"transactions", since(kv_call::transact)},
                       {"renewals", since(kv_call::keep_alive)},
                       {"leases", since(kv_call::grant) + since(kv_call::revoke)},
                       {"failed", failed - failed_logged}});
        m_logged_calls = now;
    }

    net::awaitable<void> answer_readiness(http_exchange& exchange)
    {
        const bool is_ready = ready();
        const http::status status = is_ready ? http::status::ok : http::status::service_unavailable;
        co_await exchange.answer(status, "text/plain", is_ready ? "ready\n" : "not ready\n");
    }

    [[nodiscard]] std::string metrics_page()
    {
        gauges now = common_gauges(counts, *caller_server, *peers, kv, *spans);
        now.ready = ready();
        now.revision = tables ? tables->revision.value() : 0;
        now.keys_required = tables && tables->keys_required();
        now.keys = tables ? tables->key_count() : 0;
        now.config_unreadable = feed->configuration_unreadable();
        now.platform_lost = !feed->current();
        now.complete_groups = m_pushed.groups.size();
        now.managed_domains = managers->managed().size();
        now.evacuated_domains = m_registry.evacuated_domains().size();
        now.start_to_targets = m_first_targets_after.value_or(duration{0});
        if (tables)
            now.config_age = runtime_clock::now() - m_installed;
        const std::vector<pool_status> pools = requests->core().pools();
        for (const pool_status& pool : pools) {
            const bool scarcest = &pool == &pools.front() || pool.retries_left < now.retries_left;
            now.retries_left = scarcest ? pool.retries_left : now.retries_left;
        }
        now.retries_charged = requests->core().counters().retries_charged;
        now.retries_denied = requests->core().counters().retries_denied;
        now.cut_off = requests->core().cut_off();
        now.detours = requests->core().counters().detours;
        now.relayed = requests->core().counters().relayed;
        now.losses_told_from_cuts = requests->core().counters().losses_told_from_cuts;
        now.detours_returned = requests->core().counters().detours_returned;
        now.limited_servers = requests->core().limited_servers();
        now.store_era = kv.era().value_or(0);
        now.paused_servers = requests->core().paused_servers();
        now.cold_servers = requests->core().known_cold_servers();
        now.held_from_cold = requests->core().counters().held_from_cold;
        now.refused_overload = requests->core().counters().refused_overload;
        now.overload_limit = requests->core().open_request_limit().value_or(0.0);
        now.refused_limited = requests->core().counters().refused_limited;
        now.servers_ended = requests->core().counters().servers_ended;
        now.contents_blocked = requests->core().counters().contents_blocked;
        now.refused_blocked = requests->core().counters().refused_blocked;
        now.held = memory->counts();
        for (const groups::formation_status& one : managers->status()) {
            now.groups_forming += one.leading ? one.groups_forming : 0;
            now.spare_runners += one.leading ? one.spare_runners : 0;
        }
        return exported_metrics.render(now);
    }

    /// Retry budgets are split among at least this many nodes, for the time before all peers are
    /// known.
    static constexpr std::size_t min_fleet_size = 4;

    groups::runner_registry m_registry;
    target_lists m_pushed;
    std::optional<std::uint64_t> m_pushed_version; ///< of the registry; nullopt forces a push
    time_point m_started = runtime_clock::now();
    std::optional<duration> m_first_targets_after; ///< since the start; nullopt: no targets yet
    time_point m_installed;                        ///< when the current tables were installed
    std::size_t m_fleet_size = 0;
    std::optional<std::uint64_t> m_relay_nodes_version; ///< of the members; nullopt: none so far
    kv_call_counts m_logged_calls;
    time_point m_next_call_report;
    timer m_timer;
    bool m_stopping = false;
    bool m_stopped = false;
};

registry_daemon::registry_daemon(std::shared_ptr<impl> made) : m_impl{std::move(made)} {}

registry_daemon::~registry_daemon()
{
    m_impl->abort();
    keep_alive_for_pending_calls(m_impl->io, m_impl);
}

result<std::unique_ptr<registry_daemon>> registry_daemon::create(net::io_context& io,
                                                                 const daemon_settings& settings)
{
    BOOST_OUTCOME_TRY(check(settings));
    auto made = std::make_shared<impl>(io, settings);
    BOOST_OUTCOME_TRY(made->open());
    return std::unique_ptr<registry_daemon>{new registry_daemon{std::move(made)}};
}

void registry_daemon::start()
{
    m_impl->start();
}

net::awaitable<void> registry_daemon::stop()
{
    return m_impl->stop();
}

void registry_daemon::reload(const daemon_settings& changed)
{
    m_impl->peers->add_seeds(changed.seed_peers);
    log_event(log_level::info, "settings_reloaded", {{"seeds", changed.seed_peers}});
}

void registry_daemon::on_superseded(std::function<void()> handler)
{
    m_impl->superseded = std::move(handler);
}

bool registry_daemon::ready() const
{
    return m_impl->ready();
}

std::uint16_t registry_daemon::listen_port() const
{
    return m_impl->caller_server->port();
}

std::uint16_t registry_daemon::admin_port() const
{
    return m_impl->admin_server->port();
}

std::uint16_t registry_daemon::relay_port() const
{
    return m_impl->relay_server ? m_impl->relay_server->port() : std::uint16_t{0};
}

std::string registry_daemon::peer_address() const
{
    return m_impl->peers->address();
}

std::size_t registry_daemon::complete_groups() const
{
    return m_impl->serving_groups();
}

bool registry_daemon::cut_off() const
{
    return m_impl->requests->core().cut_off();
}

config_revision registry_daemon::tables_revision() const
{
    return m_impl->tables ? m_impl->tables->revision : config_revision{0};
}

daemon_counts registry_daemon::counts() const
{
    return m_impl->counts;
}

const held_memory_counts& registry_daemon::held() const
{
    return m_impl->memory->counts();
}

} // namespace jaynotch
