// Passes events to spread_core and executes its commands; config_store accepts changes.
//
// Each call on the platform (the key-value service) runs in a coroutine of its own and returns its
// result as an event, so a slow platform does not delay ticks or peer messages. Every coroutine
// keeps the state alive and checks m_stopped after each suspension.
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
/// Number of revisions between two garbage collections.
constexpr std::int64_t collection_interval = 32;
constexpr std::size_t max_nodes_queried = 32;

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

    void subscribe_to_peers()
    {
        const std::weak_ptr<state> self = weak_from_this();
        m_peers.on_config([self](const config_message& message) {
            if (const auto service_state = self.lock())
                service_state->on_peer_event(message);
        });
        m_peers.on_confirmation([self](const confirmation& confirmed) {
            if (const auto service_state = self.lock())
                service_state->on_peer_event(confirmed);
        });
    }

    awaitable<void> run(std::shared_ptr<state> keep_alive)
    {
        asio::co_spawn(m_io, registry_loop(keep_alive), asio::detached);
        while (!m_stopped) {
            update_members();
            execute(m_core.tick(runtime_clock::now()));
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

    // `wanted` is passed by reference: g++ 12 copies an aggregate that is passed by value to an
    // awaited coroutine bitwise, which corrupts its short strings.
    awaitable<result<accepted_change>> accept(config_revision base, const edit& wanted)
    {
        const auto keep_alive = shared_from_this();
        // Copied, because an installation during the call replaces the pages of the core.
        const std::map<std::string, std::string> known = m_core.pages();
        auto done = co_await m_store.commit_edit(base, wanted, known);
        if (!done)
            co_return done.error();
        if (!done.value().head_text.empty() && !m_stopped) {
            std::vector<config_page> pages;
            for (const table_page& page : done.value().pages)
                pages.push_back({page.digest, page.bytes});
            execute(m_core.accepted(runtime_clock::now(), done.value().head_text, pages));
            if (done.value().change.revision.value() % collection_interval == 0)
                asio::co_spawn(m_io, collect(keep_alive), asio::detached);
        }
        co_return done.value().change;
    }

    [[nodiscard]] std::vector<node_confirmation> confirmations() const
    {
        std::vector<node_confirmation> out;
        std::vector<node_id> unconfirmed;
        for (const member& known : m_peers.members()) {
            node_confirmation confirmed{known.node, known.failure_domain, known.state, {}, false};
            const auto found = m_confirmed.find(wire_key(known.node.value()));
            if (found != m_confirmed.end()) {
                confirmed.revision = found->second.revision;
                confirmed.platform_lost = found->second.platform_lost;
            }
            if (known.node == m_peers.self().node) {
                confirmed.revision = m_core.revision();
                confirmed.platform_lost = m_core.platform_lost();
            }
            else if (known.live() && confirmed.revision < m_core.revision()) {
                unconfirmed.push_back(known.node);
            }
            out.push_back(std::move(confirmed));
        }
        // Confirmations are gossiped rarely, so the nodes that lack one are queried.
        if (unconfirmed.size() > max_nodes_queried)
            unconfirmed.resize(max_nodes_queried);
        m_peers.ping_nodes(unconfirmed);
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
    void update_members()
    {
        if (m_peers.members_version() == m_members_version)
            return;
        m_members_version = m_peers.members_version();
        std::vector<node_id> live;
        m_no_live_peers = true;
        for (const member& known : m_peers.members()) {
            if (!known.live())
                continue;
            m_no_live_peers = m_no_live_peers && known.node == m_peers.self().node;
            if (known.failure_domain == m_peers.self().failure_domain)
                live.push_back(known.node);
        }
        std::sort(live.begin(), live.end());
        execute(m_core.domain_changed(runtime_clock::now(), std::move(live)));
    }

    void on_peer_event(const config_message& message)
    {
        if (m_stopped)
            return;
        if (const auto* digest = std::get_if<config_digest>(&message.body)) {
            m_confirmed[wire_key(message.from.value())] = {wire_key(message.from.value()),
                                                           digest->revision, digest->platform_lost,
                                                           duration{0}};
        }
        execute(m_core.peer_message_received(runtime_clock::now(), message));
    }

    void on_peer_event(const confirmation& confirmed)
    {
        if (m_stopped)
            return;
        if (m_confirmed.size() < 2 * max_members)
            m_confirmed[confirmed.node] = confirmed;
        execute(m_core.peer_confirmation_received(runtime_clock::now(), confirmed));
    }

    void execute(const spread_commands& commands)
    {
        for (const spread_command& command : commands)
            std::visit([this](const auto& each) { execute(each); }, command);
    }
    void execute(const watch_head& /*command*/)
    {
        asio::co_spawn(m_io, watch_loop(shared_from_this(), ++m_watch_generation), asio::detached);
    }
    void execute(const stop_watch& /*command*/) { ++m_watch_generation; }
    void execute(const read_head& /*command*/)
    {
        asio::co_spawn(m_io, read_head_once(shared_from_this()), asio::detached);
    }
    void execute(const read_pages& command)
    {
        asio::co_spawn(m_io, read_pages_once(shared_from_this(), command.digests), asio::detached);
    }
    void execute(const send_to_peer& command) { m_peers.send_config(command.to, command.body); }
    void execute(const install& command)
    {
        log_event(log_level::info, "config_installed",
                  {{"revision", command.tables->revision.value()},
                   {"routes", command.tables->routes.size()},
                   {"pools", command.tables->pools.size()}});
        if (m_installed_handler)
            m_installed_handler(command.tables);
    }
    void execute(const announce& command)
    {
        if (command.digest.platform_lost != m_logged_platform_lost) {
            m_logged_platform_lost = command.digest.platform_lost;
            log_event(log_level::warning,
                      m_logged_platform_lost ? "config_platform_lost" : "config_platform_back",
                      {{"revision", command.digest.revision.value()}});
        }
        m_peers.set_config(command.digest.revision, command.digest.platform_lost);
    }
    void execute(const report& command)
    {
        m_last_error = to_string(command.failure);
        log_event(log_level::warning, command.kind, {{"error", m_last_error}});
    }

    void head_received(const std::optional<kv_entry>& entry)
    {
        std::optional<std::string> value;
        if (entry)
            value = entry->value;
        execute(m_core.platform_head_received(runtime_clock::now(), value));
    }

    void call_failed(const error& failure)
    {
        m_last_error = to_string(failure);
        execute(m_core.platform_call_failed(runtime_clock::now()));
    }

    awaitable<void> read_head_once([[maybe_unused]] std::shared_ptr<state> keep_alive)
    {
        const auto read = co_await m_kv.get(m_store.keys().head());
        if (m_stopped)
            co_return;
        if (read)
            head_received(read.value().entry);
        else
            call_failed(read.error());
    }

    awaitable<void> read_pages_once([[maybe_unused]] std::shared_ptr<state> keep_alive,
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
        execute(m_core.platform_pages_received(runtime_clock::now(), pages));
    }

    awaitable<void> watch_loop([[maybe_unused]] std::shared_ptr<state> keep_alive,
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
        head_received(read.value().entry);
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
                    head_received(event.entry);
            }
        }
    }

    awaitable<void> registry_loop([[maybe_unused]] std::shared_ptr<state> keep_alive)
    {
        time_point renew_at{};
        while (!m_stopped) {
            if (m_no_live_peers) {
                const auto peer_addresses = co_await m_registry.peer_addresses();
                if (peer_addresses && !peer_addresses.value().empty() && !m_stopped)
                    m_peers.add_seeds(peer_addresses.value());
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

    awaitable<void> collect([[maybe_unused]] std::shared_ptr<state> keep_alive)
    {
        const auto done = co_await m_store.collect();
        if (done)
            log_event(log_level::info, "config_collected", {{"keys", done.value()}});
    }

    timer m_tick;
    timer m_registry_wait;
    std::unordered_map<std::uint32_t, confirmation> m_confirmed; ///< by wire_key of the node
    std::uint64_t m_members_version = 0;
    std::uint64_t m_watch_generation = 0; ///< a watch_loop of an older generation ends
    bool m_no_live_peers = true;          ///< seeds are read from the registry while this holds
    bool m_logged_platform_lost = false;
    bool m_stopped = false;
};

result<std::unique_ptr<config_service>> config_service::create(asio::io_context& io,
                                                               config_settings settings,
                                                               kv_service& kv, peer_service& peers)
{
    if (settings.deployment.empty()) {
        return error{error_kind::invalid_argument, "the name of the deployment is empty",
                     "set --deployment"};
    }
    std::string prefix = settings.key_prefix;
    if (prefix.empty())
        prefix = "/jaynotch/" + settings.deployment + "/";
    auto impl = std::make_shared<state>(io, settings, kv, peers, prefix);
    impl->subscribe_to_peers();
    return std::unique_ptr<config_service>{new config_service{std::move(impl)}};
}

config_service::config_service(std::shared_ptr<state> impl) : m_state{std::move(impl)} {}

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
    const std::shared_ptr<state> service_state = m_state;
    if (request.change_id.empty() || request.author.empty()) {
        co_return error{error_kind::invalid_argument, "a change needs an id and an author",
                        "give a change id that is your own, the same when you ask again"};
    }
    auto tables = parse_tables(request.routes_toml, request.pools_toml);
    if (!tables)
        co_return tables.error();
    if (tables.value().deployment != service_state->m_deployment) {
        co_return error{error_kind::invalid_table,
                        "the tables are of deployment '" + tables.value().deployment +
                            "', this is '" + service_state->m_deployment + "'",
                        "apply them to their own deployment"};
    }
    edit wanted;
    wanted.tables = std::move(tables).value();
    wanted.metadata.change_id = request.change_id;
    wanted.metadata.author = request.author;
    wanted.metadata.message = request.message;
    wanted.metadata.time_ms = wall_time_ms();
    co_return co_await service_state->accept(request.base, wanted);
}

awaitable<result<accepted_change>> config_service::roll_back(config_revision to, std::string author,
                                                             std::string change_id)
{
    const std::shared_ptr<state> service_state = m_state;
    auto tables = co_await at(to);
    if (!tables)
        co_return tables.error();
    const auto now = co_await service_state->m_store.read();
    if (!now)
        co_return now.error();
    edit wanted;
    wanted.tables = std::move(tables).value();
    wanted.metadata.change_id = std::move(change_id);
    wanted.metadata.author = std::move(author);
    wanted.metadata.message = "back to revision " + std::to_string(to.value());
    wanted.metadata.time_ms = wall_time_ms();
    co_return co_await service_state->accept(now.value().head.revision(), wanted);
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
    const auto record = co_await m_state->m_store.read_revision(revision);
    if (!record)
        co_return record.error();
    const std::map<std::string, std::string> known = m_state->m_core.pages();
    co_return co_await m_state->m_store.read_tables(record.value(), known);
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
            std::max(core.highest_known(), core.revision()),
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
