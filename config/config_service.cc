// Hands spread_core its events and carries out its commands; acceptance is config_store's.
//
// Calls run as coroutines of their own and come back as events, so a slow platform never holds up
// the ticks or the peers. All of them keep the state alive and look at m_stopped when they wake.
#include "config/config.h"
#include "config/node_registry.h"
#include "config/spread.h"
#include "config/store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <unordered_map>

namespace jaynotch {

namespace asio = boost::asio;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr duration tick_interval = std::chrono::milliseconds{100};
constexpr duration watch_wait = std::chrono::seconds{5};
constexpr duration registry_retry = std::chrono::seconds{5};
/// Accepted changes between two collections of old pages.
constexpr std::int64_t collect_each = 32;
constexpr std::size_t nodes_asked_at_once = 32;

spread_settings core_settings(const config_settings& settings, const peer_service& peers)
{
    spread_settings out;
    out.deployment = settings.deployment;
    out.self = peers.self().node;
    out.failure_domain = peers.self().failure_domain;
    return out;
}

} // namespace

class config_service::state : public std::enable_shared_from_this<state> {
public:
    state(asio::io_context& io, const config_settings& settings, kv_service& kv,
          peer_service& peers, const std::string& prefix)
        : m_io{io}, m_kv{kv}, m_peers{peers}, m_deployment{settings.deployment},
          m_store{io, kv, config_keys{prefix}, settings.deployment},
          m_registry{kv, prefix, peers.self().node, peers.self().address},
          m_core{core_settings(settings, peers),
                 random_source{settings.random_seed != 0 ? settings.random_seed
                                                         : hash64(peers.self().node.value())}},
          m_tick{io}, m_registry_wait{io}
    {}

    void listen()
    {
        const std::weak_ptr<state> self = weak_from_this();
        m_peers.on_config([self](const config_message& message) {
            if (const auto held = self.lock())
                held->heard(message);
        });
        m_peers.on_confirmation([self](const confirmation& told) {
            if (const auto held = self.lock())
                held->heard(told);
        });
    }

    awaitable<void> run(std::shared_ptr<state> keep)
    {
        asio::co_spawn(m_io, registry_loop(keep), asio::detached);
        while (!m_stopped) {
            note_members();
            carry_out(m_core.tick(runtime_clock::now()));
            m_tick.expires_after(tick_interval);
            co_await m_tick.async_wait(use_result);
        }
    }

    void stop()
    {
        m_stopped = true;
        ++m_watch_generation;
        m_tick.cancel();
        m_registry_wait.cancel();
    }

    // Aggregates go by reference: g++ 12 copies one that is passed by value to an awaited coroutine
    // bit by bit, which breaks its short strings.
    awaitable<result<accepted_change>> accept(config_revision base, const edit& wanted)
    {
        const auto keep = shared_from_this();
        // Copied, since an installation while this waits replaces the core's own.
        const std::map<std::string, std::string> known = m_core.pages();
        auto done = co_await m_store.swap_in(base, wanted, known);
        if (!done)
            co_return done.error();
        if (!done.value().head_text.empty() && !m_stopped) {
            std::vector<config_page> pages;
            for (const table_page& page : done.value().pages)
                pages.push_back({page.digest, page.bytes});
            carry_out(m_core.accepted(runtime_clock::now(), done.value().head_text, pages));
            if (done.value().change.revision.value() % collect_each == 0)
                asio::co_spawn(m_io, collect(keep), asio::detached);
        }
        co_return done.value().change;
    }

    [[nodiscard]] std::vector<node_confirmation> confirmations() const
    {
        std::vector<node_confirmation> out;
        std::vector<node_id> unheard;
        for (const member& known : m_peers.members()) {
            node_confirmation told{known.node, known.failure_domain, known.state, {}, false};
            const auto found = m_confirmed.find(wire_key(known.node.value()));
            if (found != m_confirmed.end()) {
                told.revision = found->second.revision;
                told.platform_lost = found->second.platform_lost;
            }
            if (known.node == m_peers.self().node) {
                told.revision = m_core.revision();
                told.platform_lost = m_core.platform_lost();
            }
            else if (known.live() && told.revision < m_core.revision()) {
                unheard.push_back(known.node);
            }
            out.push_back(std::move(told));
        }
        // Confirmations are gossiped sparingly; whoever waits for some asks for them.
        if (unheard.size() > nodes_asked_at_once)
            unheard.resize(nodes_asked_at_once);
        m_peers.ping_nodes(unheard);
        return out;
    }

    asio::io_context& m_io;
    kv_service& m_kv;
    peer_service& m_peers;
    std::string m_deployment;
    config_store m_store;
    node_registry m_registry;
    spread_core m_core;
    std::string m_last_error;
    std::function<void(std::shared_ptr<const configuration>)> m_installed_handler;

private:
    void note_members()
    {
        if (m_peers.members_version() == m_members_seen)
            return;
        m_members_seen = m_peers.members_version();
        std::vector<node_id> live;
        m_alone = true;
        for (const member& known : m_peers.members()) {
            if (!known.live())
                continue;
            m_alone = m_alone && known.node == m_peers.self().node;
            if (known.failure_domain == m_peers.self().failure_domain)
                live.push_back(known.node);
        }
        std::sort(live.begin(), live.end());
        carry_out(m_core.domain_changed(runtime_clock::now(), std::move(live)));
    }

    void heard(const config_message& message)
    {
        if (m_stopped)
            return;
        if (const auto* digest = std::get_if<config_digest>(&message.body)) {
            m_confirmed[wire_key(message.from.value())] = {wire_key(message.from.value()),
                                                           digest->revision, digest->platform_lost,
                                                           duration{0}};
        }
        carry_out(m_core.peer_spoke(runtime_clock::now(), message));
    }

    void heard(const confirmation& told)
    {
        if (m_stopped)
            return;
        if (m_confirmed.size() < 2 * max_members)
            m_confirmed[told.node] = told;
        carry_out(m_core.peer_confirmed(runtime_clock::now(), told));
    }

    void carry_out(const spread_commands& commands)
    {
        for (const spread_command& command : commands)
            std::visit([this](const auto& order) { carry_out(order); }, command);
    }
    void carry_out(const watch_head& /*order*/)
    {
        asio::co_spawn(m_io, watch_loop(shared_from_this(), ++m_watch_generation), asio::detached);
    }
    void carry_out(const stop_watch& /*order*/) { ++m_watch_generation; }
    void carry_out(const read_head& /*order*/)
    {
        asio::co_spawn(m_io, read_head_once(shared_from_this()), asio::detached);
    }
    void carry_out(const read_pages& order)
    {
        asio::co_spawn(m_io, read_pages_once(shared_from_this(), order.digests), asio::detached);
    }
    void carry_out(const tell_peer& order) { m_peers.send_config(order.to, order.body); }
    void carry_out(const install& order)
    {
        log_event(log_level::info, "config_installed",
                  {{"revision", order.tables->revision.value()},
                   {"routes", order.tables->routes.size()},
                   {"pools", order.tables->pools.size()}});
        if (m_installed_handler)
            m_installed_handler(order.tables);
    }
    void carry_out(const announce& order)
    {
        if (order.digest.platform_lost != m_told_lost) {
            m_told_lost = order.digest.platform_lost;
            log_event(log_level::warning,
                      m_told_lost ? "config_platform_lost" : "config_platform_back",
                      {{"revision", order.digest.revision.value()}});
        }
        m_peers.set_config(order.digest.revision, order.digest.platform_lost);
    }
    void carry_out(const report& order)
    {
        m_last_error = to_string(order.failure);
        log_event(log_level::warning, order.kind, {{"error", m_last_error}});
    }

    void head_arrived(const std::optional<kv_entry>& entry)
    {
        std::optional<std::string> value;
        if (entry)
            value = entry->value;
        carry_out(m_core.platform_head(runtime_clock::now(), value));
    }

    void call_failed(const error& failure)
    {
        m_last_error = to_string(failure);
        carry_out(m_core.platform_failed(runtime_clock::now()));
    }

    awaitable<void> read_head_once([[maybe_unused]] std::shared_ptr<state> keep)
    {
        const auto read = co_await m_kv.get(m_store.keys().head());
        if (m_stopped)
            co_return;
        if (read)
            head_arrived(read.value().entry);
        else
            call_failed(read.error());
    }

    awaitable<void> read_pages_once([[maybe_unused]] std::shared_ptr<state> keep,
                                    std::vector<std::string> digests)
    {
        std::vector<config_page> pages;
        for (const std::string& digest : digests) {
            const auto read = co_await m_kv.get(m_store.keys().page(digest));
            if (m_stopped)
                co_return;
            if (!read) {
                call_failed(read.error());
                co_return;
            }
            if (read.value().entry)
                pages.push_back({digest, read.value().entry->value});
        }
        carry_out(m_core.platform_pages(runtime_clock::now(), pages));
    }

    awaitable<void> watch_loop([[maybe_unused]] std::shared_ptr<state> keep,
                               std::uint64_t generation)
    {
        const auto current = [&] { return !m_stopped && generation == m_watch_generation; };
        const std::string key = m_store.keys().head();
        const auto read = co_await m_kv.get(key);
        if (!current())
            co_return;
        if (!read) {
            call_failed(read.error());
            co_return;
        }
        head_arrived(read.value().entry);
        auto watch = co_await m_kv.watch(key, read.value().revision + 1);
        if (!current())
            co_return;
        if (!watch) {
            call_failed(watch.error());
            co_return;
        }
        while (current()) {
            const auto batch = co_await watch.value().next(watch_wait);
            if (!current())
                co_return;
            if (!batch) {
                call_failed(batch.error());
                co_return;
            }
            for (const kv_event& event : batch.value().events) {
                if (event.entry.key == key && !event.deleted)
                    head_arrived(event.entry);
            }
        }
    }

    awaitable<void> registry_loop([[maybe_unused]] std::shared_ptr<state> keep)
    {
        time_point renew_at{};
        while (!m_stopped) {
            if (m_alone) {
                const auto others = co_await m_registry.others();
                if (others && !others.value().empty() && !m_stopped)
                    m_peers.add_seeds(others.value());
            }
            if (!m_stopped && runtime_clock::now() >= renew_at) {
                const auto renewed = co_await m_registry.renew();
                if (renewed)
                    renew_at = runtime_clock::now() + node_registry::renew_interval;
            }
            if (m_stopped)
                break;
            m_registry_wait.expires_after(registry_retry);
            co_await m_registry_wait.async_wait(use_result);
        }
    }

    awaitable<void> collect([[maybe_unused]] std::shared_ptr<state> keep)
    {
        const auto done = co_await m_store.collect();
        if (done)
            log_event(log_level::info, "config_collected", {{"keys", done.value()}});
    }

    timer m_tick;
    timer m_registry_wait;
    std::unordered_map<std::uint32_t, confirmation> m_confirmed;
    std::uint64_t m_members_seen = 0;
    std::uint64_t m_watch_generation = 0;
    bool m_alone = true;
    bool m_told_lost = false;
    bool m_stopped = false;
};

result<std::unique_ptr<config_service>> config_service::create(asio::io_context& io,
                                                               config_settings settings,
                                                               kv_service& kv, peer_service& peers)
{
    if (settings.deployment.empty()) {
        return error{error_kind::invalid_argument, "the deployment must be named",
                     "set --deployment"};
    }
    std::string prefix = settings.key_prefix;
    if (prefix.empty())
        prefix = "/jaynotch/" + settings.deployment + "/";
    auto hidden = std::make_shared<state>(io, settings, kv, peers, prefix);
    hidden->listen();
    return std::unique_ptr<config_service>{new config_service{std::move(hidden)}};
}

config_service::config_service(std::shared_ptr<state> hidden) : m_state{std::move(hidden)} {}

config_service::~config_service()
{
    m_state->stop();
}

awaitable<void> config_service::run()
{
    return m_state->run(m_state);
}

void config_service::stop()
{
    m_state->stop();
}

awaitable<result<accepted_change>> config_service::apply(const change_request& request)
{
    const std::shared_ptr<state> held = m_state;
    if (request.change_id.empty() || request.author.empty()) {
        co_return error{error_kind::invalid_argument, "a change needs an id and an author",
                        "give a change id that is your own, the same when you ask again"};
    }
    auto tables = parse_tables(request.routes_toml, request.pools_toml);
    if (!tables)
        co_return tables.error();
    if (tables.value().deployment != held->m_deployment) {
        co_return error{error_kind::invalid_table,
                        "the tables are of deployment '" + tables.value().deployment +
                            "', this is '" + held->m_deployment + "'",
                        "apply them to their own deployment"};
    }
    edit wanted;
    wanted.tables = std::move(tables).value();
    wanted.made_by.change_id = request.change_id;
    wanted.made_by.author = request.author;
    wanted.made_by.message = request.message;
    wanted.made_by.time_ms = wall_time_ms();
    co_return co_await held->accept(request.base, wanted);
}

awaitable<result<accepted_change>> config_service::go_back(config_revision to, std::string author,
                                                           std::string change_id)
{
    const std::shared_ptr<state> held = m_state;
    auto tables = co_await at(to);
    if (!tables)
        co_return tables.error();
    const auto now = co_await held->m_store.read();
    if (!now)
        co_return now.error();
    edit wanted;
    wanted.tables = std::move(tables).value();
    wanted.made_by.change_id = std::move(change_id);
    wanted.made_by.author = std::move(author);
    wanted.made_by.message = "back to revision " + std::to_string(to.value());
    wanted.made_by.time_ms = wall_time_ms();
    co_return co_await held->accept(now.value().head.revision(), wanted);
}

awaitable<result<std::vector<history_entry>>> config_service::history()
{
    const auto read = co_await m_state->m_store.read();
    if (read)
        co_return read.value().head.history;
    const auto& installed = m_state->m_core.installed();
    if (installed)
        co_return installed->head.history;
    co_return read.error();
}

awaitable<result<configuration>> config_service::at(config_revision revision)
{
    const auto& installed = m_state->m_core.installed();
    if (installed && installed->head.revision() == revision)
        co_return *installed->tables;
    const auto record = co_await m_state->m_store.record_of(revision);
    if (!record)
        co_return record.error();
    const std::map<std::string, std::string> known = m_state->m_core.pages();
    co_return co_await m_state->m_store.tables_of(record.value(), known);
}

std::shared_ptr<const configuration> config_service::current() const
{
    const auto& installed = m_state->m_core.installed();
    return installed ? installed->tables : nullptr;
}

config_status config_service::status() const
{
    const spread_core& core = m_state->m_core;
    return {core.revision(),
            std::max(core.highest_heard(), core.revision()),
            core.installed().has_value(),
            core.watching(),
            core.platform_lost(),
            m_state->m_last_error};
}

std::vector<node_confirmation> config_service::node_confirmations() const
{
    return m_state->confirmations();
}

void config_service::on_installed(std::function<void(std::shared_ptr<const configuration>)> handler)
{
    m_state->m_installed_handler = std::move(handler);
}

} // namespace jaynotch
