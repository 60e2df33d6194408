#include "daemon/registry_daemon.h"
#include "standins/platform_forms.h"
#include "standins/store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

#include <set>

// One entry VM reaches no backend server while callers, the store and the other entry VMs reach it.
// Seen by users on a fleet of four entry VMs: first tries there were refused for 12 s, with
// connections refused at once and with connections that hang.

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

/// Stand-ins of the platform and some daemons, each of which can be cut off from all servers.
class cut_fleet {
    boost::asio::io_context m_io; // first member, since all others use it until they are destroyed

public:
    explicit cut_fleet(std::size_t nodes)
    {
        m_store = store_standin::start(m_io.get_executor()).value();
        put_config_version(*m_store, 1);
        for (const char* id : {"m-0", "m-1", "m-2", "m-3"})
            servers.push_back(add({.id = id, .domain = "d0"}));
        for (const char* id : {"a-0", "a-1", "a-2"})
            servers.push_back(add({.id = id, .service = "app"}));
        for (std::size_t node = 0; node < nodes; ++node)
            start_daemon(node);
        cr_assert(run_until([&] {
            return std::all_of(daemons.begin(), daemons.end(),
                               [](const auto& one) { return one->complete_groups() >= 2; });
        }));
        run(1s); // the nodes learn of each other
    }

    void cut(std::size_t node) { m_cut.insert(node); }
    void reconnect(std::size_t node) { m_cut.erase(node); }

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
        http_request request = caller_request({.id = "id-" + std::to_string(++m_last_id),
                                               .path = path,
                                               .key = key,
                                               .body = "body",
                                               .streams = path.starts_with("/chat/")});
        for (http_header& header : extra_headers)
            request.headers.push_back(std::move(header));
        std::optional<result<http_response>> answer;
        const std::string address = "127.0.0.1:" + std::to_string(daemons[node]->listen_port());
        http_client client{m_io.get_executor(), address, http_limits{}};
        boost::asio::co_spawn(m_io, receive(client, std::move(request), answer),
                              boost::asio::detached);
        cr_assert(run_until([&] { return answer.has_value(); }));
        return std::move(*answer);
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
        const time_point until = runtime_clock::now() + longest;
        m_io.restart();
        while (!done() && runtime_clock::now() < until)
            m_io.run_one_for(std::chrono::milliseconds{20});
        return done();
    }

    void run(duration time)
    {
        const time_point until = runtime_clock::now() + time;
        run_until([&] { return runtime_clock::now() >= until; }, time + 1s);
    }

    std::vector<std::shared_ptr<runner_standin>> servers;
    std::vector<std::unique_ptr<registry_daemon>> daemons;

private:
    static boost::asio::awaitable<void> receive(http_client& client, http_request request,
                                                std::optional<result<http_response>>& answer)
    {
        result<http_response> received = co_await client.call(std::move(request), 5s);
        answer.emplace(std::move(received));
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

    void start_daemon(std::size_t node)
    {
        daemon_settings chosen;
        chosen.source = source_kind::registry;
        chosen.first_start = true;
        chosen.node = node_id{"node-" + std::to_string(node)};
        chosen.failure_domain = failure_domain_id{"zone-a"};
        chosen.deployment = "test";
        chosen.listen = "127.0.0.1:0";
        chosen.ready_listen = "127.0.0.1:0";
        chosen.admin_listen = "127.0.0.1:0";
        chosen.peer_listen = "127.0.0.1:0";
        chosen.relay_listen = "127.0.0.1:0";
        chosen.key_value = {m_store->address()};
        chosen.site.retry_extra = 100;
        chosen.seed = node + 1;
        chosen.before_connect = [this, node](const std::string& address) {
            const bool refused = m_cut.contains(node) && is_server(address);
            return refused ? make_error_code(boost::asio::error::connection_refused)
                           : boost::system::error_code{};
        };
        if (!daemons.empty())
            chosen.seed_peers = {daemons.front()->peer_address()};
        daemons.push_back(registry_daemon::create(m_io, chosen).value());
        daemons.back()->start();
    }

    std::shared_ptr<store_standin> m_store;
    std::set<std::size_t> m_cut;
    int m_last_id = 0;
};

} // namespace

// Guards against refusing callers of a node that reaches no server while its peers reach them.
Test(detour, callers_of_a_node_cut_off_from_all_servers_are_served)
{
    constexpr std::size_t count = 30;
    cut_fleet fleet{2};
    fleet.cut(1);
    for (const char* path : {"/chat/1", "/order/1", "/read/1"}) {
        const std::size_t others = fleet.served(0, path, count);
        const std::size_t cut_off = fleet.served(1, path, count);
        cr_expect_geq(3 * cut_off, 2 * others, "%s: %zu of %zu, at the other node %zu", path,
                      cut_off, count, others);
    }
}

// Guards against a request that loses its workspace, or shows its key or the marker to a server, on
// the way through another node.
Test(detour, a_server_receives_the_same_through_another_node)
{
    cut_fleet fleet{2};
    fleet.cut(1);
    cr_assert_eq(fleet.served(1, "/order/1?x=y", 1), 1U);
    const auto ran = std::find_if(fleet.servers.begin(), fleet.servers.end(),
                                  [](const auto& server) { return !server->ran.empty(); });
    cr_assert(ran != fleet.servers.end());
    const received_request& seen = (*ran)->ran.front();
    cr_assert_eq(seen.target, "/order/1?x=y");
    cr_assert_eq(seen.body, "body");
    cr_assert_eq(seen.headers.at("Jaynotch-Tenant"), "farm");
    cr_assert_eq(seen.headers.at("Jaynotch-Expect-Instance"), (*ran)->id());
    cr_assert(!seen.headers.contains("Authorization"));
    cr_assert(!seen.headers.contains("jaynotch-relayed"));
    cr_assert_eq(fleet.executions(), 1U);
}

// Guards against a caller that passes for a node: neither its key check nor the server's view may
// change.
Test(detour, a_callers_marker_has_no_effect)
{
    cut_fleet fleet{1};
    const std::vector<http_header> marker{{"jaynotch-relayed", "0,1,1"}};
    const auto refused = fleet.ask(0, "/order/1", "nobody", marker);
    cr_assert(refused.value().status == boost::beast::http::status::unauthorized);
    const auto served = fleet.ask(0, "/order/1", "key-1", marker);
    cr_assert(served.value().status == boost::beast::http::status::ok);
    for (const auto& server : fleet.servers) {
        for (const received_request& seen : server->ran)
            cr_assert(!seen.headers.contains("jaynotch-relayed"));
    }
}

// Guards against detours that go on after the cut has ended.
Test(detour, a_node_that_reaches_servers_again_sends_to_them_itself)
{
    cut_fleet fleet{2};
    fleet.cut(1);
    cr_assert_eq(fleet.served(1, "/read/1", 12), 12U);
    fleet.reconnect(1);
    fleet.run(1s);
    const std::uint64_t before = fleet.daemons[0]->counts().requests;
    cr_assert_eq(fleet.served(1, "/read/1", 12), 12U);
    cr_assert_eq(fleet.daemons[0]->counts().requests, before, "no request takes the detour");
}

// Guards against a node that is out of reach itself and holds back the callers of another.
Test(detour, a_fleet_that_reaches_no_server_refuses_at_once)
{
    cut_fleet fleet{2};
    fleet.cut(0);
    fleet.cut(1);
    for (int sent = 0; sent < 6; ++sent) {
        const auto refused = fleet.ask(1, "/order/1");
        cr_assert(refused.value().status == boost::beast::http::status::service_unavailable);
        cr_assert_eq(refused.value().header("jaynotch-ran"), "no");
    }
    cr_assert_eq(fleet.executions(), 0U);
}
