#include "daemon/plain_watch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// A report that a server is leaving takes effect at once, whoever sends it. A server counts as back
// only after a probe by this node, or when reports have ceased: the watchers of a leaving server
// repeat their report every publish_interval, so none during leaving_ttl, which is several of these
// intervals, means that the server is no longer leaving.

namespace jaynotch {

namespace {

constexpr duration probe_interval = std::chrono::seconds{1};
constexpr duration probe_timeout = std::chrono::milliseconds{800};
constexpr duration publish_interval = std::chrono::seconds{4};
constexpr duration leaving_ttl = std::chrono::seconds{20};
constexpr std::size_t watchers_per_server = 2;

} // namespace

class plain_watch::impl : public std::enable_shared_from_this<impl> {
public:
    struct server_state {
        bool leaving = false;
        time_point last_report{};
        time_point last_published{};
        bool probing = false;
    };

    impl(boost::asio::io_context& io, upstreams& servers, node_id self, plain_watch_hooks hooks)
        : m_io{io}, m_servers{servers}, m_self{std::move(self)}, m_hooks{std::move(hooks)}, m_timer{
                                                                                                io}
    {}

    boost::asio::awaitable<void> run()
    {
        const auto self = shared_from_this();
        while (!m_stopped) {
            probe_assigned();
            boost::system::error_code ignored;
            m_timer.expires_after(probe_interval);
            co_await m_timer.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
    }

    void probe_assigned()
    {
        const std::vector<std::string> nodes = m_hooks.live_nodes();
        const time_point now = runtime_clock::now();
        for (auto& [server, state] : m_states) {
            if (state.leaving && now - state.last_report > leaving_ttl)
                set_leaving(server, state, false);
            bool assigned = false;
            for (const std::size_t index : rendezvous(server, nodes, watchers_per_server))
                assigned = assigned || nodes[index] == m_self.value();
            if (!assigned || state.probing)
                continue;
            state.probing = true;
            boost::asio::co_spawn(m_io, probe(server), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> probe(std::string server)
    {
        const auto self = shared_from_this();
        const std::shared_ptr<http_client> client = m_servers.at(server);
        http_request request;
        request.target = "/healthz";
        request.repeatable = true;
        const result<http_response> answer =
            co_await client->call(std::move(request), probe_timeout);
        const auto found = m_states.find(server);
        if (m_stopped || found == m_states.end())
            co_return;
        found->second.probing = false;
        if (!answer)
            co_return;
        const bool is_leaving =
            answer.value().status == boost::beast::http::status::service_unavailable ||
            !answer.value().header("jaynotch-leaving").empty();
        if (is_leaving)
            announced(server);
        else
            set_leaving(server, found->second, false);
    }

    void announced(const std::string& server)
    {
        const auto found = m_states.find(server);
        if (found == m_states.end())
            return;
        const time_point now = runtime_clock::now();
        if (!found->second.leaving || now - found->second.last_published > publish_interval) {
            found->second.last_published = now;
            m_hooks.publish(server);
        }
        reported(server);
    }

    void reported(const std::string& server)
    {
        const auto found = m_states.find(server);
        if (found == m_states.end())
            return;
        found->second.last_report = runtime_clock::now();
        set_leaving(server, found->second, true);
    }

    void set_leaving(const std::string& server, server_state& state, bool leaving)
    {
        if (state.leaving == leaving)
            return;
        state.leaving = leaving;
        log_event(log_level::info, leaving ? "server_leaving" : "server_back",
                  {{"server", server}});
        m_hooks.on_leaving(server, leaving);
    }

    boost::asio::io_context& m_io;
    upstreams& m_servers;
    node_id m_self;
    plain_watch_hooks m_hooks;
    timer m_timer;
    std::map<std::string, server_state> m_states;
    bool m_stopped = false;
};

plain_watch::plain_watch(boost::asio::io_context& io, upstreams& servers, node_id self,
                         plain_watch_hooks hooks)
    : m_impl{std::make_shared<impl>(io, servers, std::move(self), std::move(hooks))}
{}

plain_watch::~plain_watch()
{
    stop();
}

void plain_watch::stop()
{
    m_impl->m_stopped = true;
    m_impl->m_timer.cancel();
}

void plain_watch::start()
{
    boost::asio::co_spawn(m_impl->m_io, m_impl->run(), boost::asio::detached);
}

void plain_watch::install(const configuration& tables)
{
    std::map<std::string, impl::server_state> next;
    for (const pool& one : tables.pools) {
        for (const std::string& server : one.servers) {
            const auto found = m_impl->m_states.find(server);
            next[server] = found == m_impl->m_states.end() ? impl::server_state{} : found->second;
        }
    }
    m_impl->m_states = std::move(next);
}

void plain_watch::announced(const std::string& server)
{
    m_impl->announced(server);
}

void plain_watch::reported(const std::string& server)
{
    m_impl->reported(server);
}

bool plain_watch::leaving(const std::string& server) const
{
    const auto found = m_impl->m_states.find(server);
    return found != m_impl->m_states.end() && found->second.leaving;
}

std::vector<std::string> plain_watch::servers() const
{
    std::vector<std::string> names;
    for (const auto& [server, state] : m_impl->m_states)
        names.push_back(server);
    return names;
}

} // namespace jaynotch
