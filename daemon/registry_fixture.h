// Test fixture: complete registry daemons before stand-ins of the platform, all on one io_context
// of this process and on free ports. Each daemon can be cut off from all servers, and all can be
// restarted.
//
//   registry_fixture fleet{{.nodes = 2}};
//   fleet.cut(1);
//   cr_assert_eq(fleet.served(1, "/read/1", 10), 10U);
//
//   const auto stream = fleet.begin(0, "/chat/1");   // returns at once
//   cr_assert(fleet.run_until([&] { return stream.answer->ended; }));
#pragma once

#include "daemon/registry_daemon.h"
#include "daemon/registry_testing.h"
#include "standins/fault_proxy.h"
#include "standins/platform_forms.h"
#include "standins/store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

#include <set>

namespace jaynotch {

using namespace std::chrono_literals;

struct registry_fixture_settings {
    std::size_t nodes = 1;
    std::size_t failure_domains = 1; ///< of the nodes, in turn; all servers are in the first
    std::size_t model_servers = 4;   ///< in groups of two
    double retry_extra = 100.0;      ///< of all nodes together
    /// Repeats that a predecessor of a node may have sent count for this long.
    std::chrono::milliseconds retry_window{10'000};
    std::size_t events = 6;                            ///< events in a stream
    std::chrono::milliseconds gap{10};                 ///< time between the events of a stream
    std::chrono::milliseconds timeout = usual_timeout; ///< of routes and of callers' requests
    std::chrono::milliseconds balancer_wait = daemon_timeouts{}.balancer_wait; ///< on a stop
    std::chrono::milliseconds longest_stop = daemon_timeouts{}.max_stop_time;
    std::chrono::milliseconds plain_work{0}; ///< of each request to a plain server
    std::size_t held_bytes = 0;              ///< that a node may hold for requests; 0: unlimited
    /// Heads notice members that are silent, leave or join another group; null: they don't.
    std::shared_ptr<runner_fabric> fabric;
    std::size_t other_routes = 0; ///< in the configuration, beside those of the callers
    bool proxied = false; ///< nodes reach the store and each other through proxies of their own
};

/// The proxies of one node; null if the fixture has none.
struct node_links {
    std::shared_ptr<fault_proxy> store; ///< to the store
    std::shared_ptr<fault_proxy> peers; ///< from the other nodes
};

/// What a caller has received so far.
struct received_answer {
    boost::beast::http::status status = boost::beast::http::status::unknown; ///< unknown: no head
    std::string body;
    bool complete = false; ///< the end of the answer was received
    bool ended = false;    ///< complete or cut
    duration took{0};      ///< until the end
};

struct begun_request {
    std::string id; ///< as in the log
    std::shared_ptr<received_answer> answer;
};

/// Stand-ins of the platform and some daemons, each of which can be cut off from all servers.
class registry_fixture {
    boost::asio::io_context m_io; // first member, since all others use it until they are destroyed

public:
    explicit registry_fixture(registry_fixture_settings chosen)
        : daemons(chosen.nodes), links(chosen.nodes), m_settings{chosen}
    {
        m_store = store_standin::start(m_io.get_executor()).value();
        for (node_links& one : links) {
            if (chosen.proxied)
                one = {open_proxy(), open_proxy()};
        }
        change_configuration();
        for (std::size_t number = 0; number < chosen.model_servers; ++number)
            servers.push_back(add({.id = "m-" + std::to_string(number),
                                   .domain = "d0",
                                   .events = chosen.events,
                                   .gap = chosen.gap,
                                   .fabric = chosen.fabric}));
        for (const char* id : {"a-0", "a-1", "a-2"})
            servers.push_back(add({.id = id, .service = "app", .work = chosen.plain_work}));
        for (std::size_t node = 0; node < daemons.size(); ++node)
            start_daemon(node);
        cr_assert(run_until([&] { return all_serve(); }));
        run(1s); // the nodes learn of each other
    }

    void cut(std::size_t node) { m_cut.insert(node); }
    void reconnect(std::size_t node) { m_cut.erase(node); }

    /// The open connections between nodes and to the store pass nothing from now on and stay open;
    /// later ones work.
    void silence_open_connections()
    {
        for (const node_links& one : links) {
            one.store->drop_open();
            one.peers->drop_open();
        }
    }

    /// Writes the next version of the configuration. The callers' "key-1" stays valid for one
    /// change.
    void change_configuration()
    {
        ++m_version;
        write_configuration_again();
    }

    /// Writes the newest version of the configuration again, as the operators do after the store
    /// has come back from a copy.
    void write_configuration_again()
    {
        put_config_version(
            *m_store, m_version,
            {.route_timeout = m_settings.timeout, .other_routes = m_settings.other_routes});
    }
    [[nodiscard]] std::int64_t version() const { return m_version; }
    store_standin& store() { return *m_store; }

    /// Begins a graceful stop of a node.
    void begin_stop(std::size_t node)
    {
        boost::asio::co_spawn(m_io, daemons[node]->stop(), boost::asio::detached);
    }

    /// Applies a node's settings again, as on SIGHUP.
    void reload(std::size_t node) { daemons[node]->reload(settings_of(node)); }

    /// Kills a daemon and starts it again.
    void restart(std::size_t node)
    {
        daemons[node].reset();
        start_daemon(node);
    }

    /// Kills all daemons at once, starts them again and waits until they serve.
    void restart_all(duration longest = 10s)
    {
        for (auto& one : daemons)
            one.reset();
        for (std::size_t node = 0; node < daemons.size(); ++node)
            start_daemon(node);
        cr_assert(run_until([&] { return all_serve(); }, longest));
    }

    /// Sends `count` requests to a node, one after the other; returns how many were served.
    std::size_t served(std::size_t node, const std::string& path, std::size_t count)
    {
        std::size_t served = 0;
        for (std::size_t sent = 0; sent < count; ++sent) {
            const result<http_response> answer = ask(node, path);
            served += answer && answer.value().status == boost::beast::http::status::ok ? 1 : 0;
        }
        return served;
    }

    result<http_response> ask(std::size_t node, const std::string& path,
                              const std::string& key = "key-1",
                              std::vector<http_header> extra_headers = {})
    {
        http_request request = next_request(path, key);
        for (http_header& header : extra_headers)
            request.headers.push_back(std::move(header));
        std::optional<result<http_response>> answer;
        http_client client{m_io.get_executor(), caller_address(node), http_limits{}};
        boost::asio::co_spawn(m_io, receive(client, std::move(request), answer),
                              boost::asio::detached);
        cr_assert(run_until([&] { return answer.has_value(); }));
        return std::move(*answer);
    }

    /// Sends a request without waiting for its answer.
    begun_request begin(std::size_t node, const std::string& path)
    {
        http_request request = next_request(path, "key-1");
        begun_request made{"id-" + std::to_string(m_last_id), std::make_shared<received_answer>()};
        auto client =
            std::make_shared<http_client>(m_io.get_executor(), caller_address(node), http_limits{});
        boost::asio::co_spawn(m_io, collect(std::move(client), std::move(request), made.answer),
                              boost::asio::detached);
        return made;
    }

    /// The heads of the groups that serve the model.
    [[nodiscard]] std::vector<std::shared_ptr<runner_standin>> heads() const
    {
        std::vector<std::shared_ptr<runner_standin>> found;
        std::copy_if(servers.begin(), servers.end(), std::back_inserter(found),
                     [](const auto& server) { return server->open(); });
        return found;
    }

    /// Number of requests that servers ran.
    [[nodiscard]] std::size_t executions() const
    {
        std::size_t sum = 0;
        for (const auto& server : servers)
            sum += server->ran.size();
        return sum;
    }

    template <class Done>
    bool run_until(Done done, duration longest = 10s)
    {
        return run_io_until(m_io, done, longest);
    }

    void run(duration time)
    {
        const time_point until = runtime_clock::now() + time;
        run_until([&] { return runtime_clock::now() >= until; }, time + 1s);
    }

    boost::asio::io_context& io() { return m_io; }

    std::string body = "body"; ///< of the requests sent from now on
    std::vector<std::shared_ptr<runner_standin>> servers;
    std::vector<std::unique_ptr<registry_daemon>> daemons;
    std::vector<node_links> links; ///< of the nodes

private:
    [[nodiscard]] std::shared_ptr<fault_proxy> open_proxy()
    {
        return fault_proxy::open(m_io.get_executor(), m_store->address()).value();
    }

    [[nodiscard]] bool all_serve() const
    {
        return std::all_of(daemons.begin(), daemons.end(), [&](const auto& one) {
            return one->complete_groups() >= m_settings.model_servers / 2;
        });
    }

    static boost::asio::awaitable<void> receive(http_client& client, http_request request,
                                                std::optional<result<http_response>>& answer)
    {
        result<http_response> received = co_await client.call(std::move(request), 5s);
        answer.emplace(std::move(received));
    }

    static boost::asio::awaitable<void> collect(std::shared_ptr<http_client> client,
                                                http_request request,
                                                std::shared_ptr<received_answer> answer)
    {
        constexpr duration longest_wait = 30s;
        const time_point sent_at = runtime_clock::now();
        result<http_stream> opened = co_await client->open(std::move(request), longest_wait);
        if (opened) {
            answer->status = opened.value().status();
            for (;;) {
                const result<std::string> piece = co_await opened.value().read(longest_wait);
                answer->complete = piece && piece.value().empty();
                if (!piece || answer->complete)
                    break;
                answer->body += piece.value();
            }
        }
        answer->took = runtime_clock::now() - sent_at;
        answer->ended = true;
    }

    http_request next_request(const std::string& path, const std::string& key)
    {
        return caller_request({.id = "id-" + std::to_string(++m_last_id),
                               .path = path,
                               .key = key,
                               .body = body,
                               .streams = path.starts_with("/chat/"),
                               .deadline = m_settings.timeout});
    }

    [[nodiscard]] std::string caller_address(std::size_t node) const
    {
        return "127.0.0.1:" + std::to_string(daemons[node]->listen_port());
    }

    std::shared_ptr<runner_standin> add(runner_standin_settings settings)
    {
        return runner_standin::start(m_io.get_executor(), m_store, std::move(settings)).value();
    }

    [[nodiscard]] bool is_server(const std::string& address) const
    {
        return std::any_of(servers.begin(), servers.end(),
                           [&](const auto& server) { return server->address() == address; });
    }

    daemon_settings settings_of(std::size_t node)
    {
        daemon_settings chosen = registry_settings(node, m_store->address());
        if (m_settings.proxied) {
            chosen.key_value = {links[node].store->address()};
            chosen.peer_advertise = links[node].peers->address();
        }
        const std::size_t domain = node % m_settings.failure_domains;
        if (domain > 0)
            chosen.failure_domain = failure_domain_id{"other-" + std::to_string(domain)};
        chosen.relay_listen = "127.0.0.1:0";
        chosen.site.retry_extra = m_settings.retry_extra;
        chosen.site.retry_window = m_settings.retry_window;
        chosen.timeouts.balancer_wait = m_settings.balancer_wait;
        chosen.timeouts.max_stop_time = m_settings.longest_stop;
        chosen.limits.held_bytes = m_settings.held_bytes;
        chosen.before_connect = [this, node](const std::string& address) {
            const bool refused = m_cut.contains(node) && is_server(address);
            return refused ? make_error_code(boost::asio::error::connection_refused)
                           : boost::system::error_code{};
        };
        if (node > 0)
            chosen.seed_peers = {m_settings.proxied ? links.front().peers->address()
                                                    : daemons.front()->peer_address()};
        return chosen;
    }

    void start_daemon(std::size_t node)
    {
        daemons[node] = registry_daemon::create(m_io, settings_of(node)).value();
        if (m_settings.proxied)
            cr_assert(links[node].peers->set_target(daemons[node]->peer_address()).has_value());
        daemons[node]->start();
    }

    registry_fixture_settings m_settings;
    std::int64_t m_version = 0; ///< of the configuration
    std::shared_ptr<store_standin> m_store;
    std::set<std::size_t> m_cut;
    int m_last_id = 0;
};

} // namespace jaynotch
