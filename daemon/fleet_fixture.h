// Fixture for tests and benchmarks of complete daemons: a platform of stand-ins and some daemons,
// all on one io_context of this process and on free ports.
//
//   fleet_fixture fleet{{.daemons = 2, .engines = 4}};
//   fleet.apply(routes, pools);
//   fleet.run_until([&] { return fleet.node(0).complete_groups() == 1; }, 20s);
//   caller_answer answer = fleet.ask(0, {.target = "/v1/chat/completions", .body = body});
#pragma once

#include "daemon/daemon.h"
#include "daemon/sse.h"
#include "standins/standins.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jaynotch {

struct fixture_settings {
    std::size_t daemons = 1;
    standin_fleet_settings platform;
    std::function<void(daemon_settings&)> adjust; ///< of each daemon's settings
};

/// The answer as received by a caller.
struct caller_answer {
    int status = 0;         ///< 0 if no header was received
    bool complete = false;  ///< according to HTTP's framing
    bool malformed = false; ///< bytes arrived that are not a valid HTTP answer
    std::string body;       ///< the part that was received
    std::string ran;        ///< value of the header jaynotch-ran
    std::string headers;    ///< all of them, as text

    /// Text of the chat stream as far as it was received.
    [[nodiscard]] std::string text() const
    {
        sse_splitter events{body.size() + 1};
        std::string joined;
        if (!events.feed(body))
            return joined;
        while (const auto event = events.next()) {
            if (!is_done_event(*event))
                joined += read_chunk(sse_data(*event)).text;
        }
        return joined;
    }
    /// Whether the chat stream ended with its terminal event.
    [[nodiscard]] bool done() const { return body.ends_with(done_event); }
};

struct caller_request {
    boost::beast::http::verb method = boost::beast::http::verb::post;
    std::string target;
    std::string body = {};
    std::vector<http_header> headers = {};
    std::size_t disconnect_after = 0; ///< bytes of the body; 0: never
};

/// Sends one request on its own connection and reads the answer until it ends or fails.
inline boost::asio::awaitable<void> call(std::uint16_t port, caller_request request,
                                         std::shared_ptr<caller_answer> answer,
                                         std::shared_ptr<bool> ended)
{
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    const auto executor = co_await asio::this_coro::executor;
    asio::ip::tcp::socket socket{executor};
    boost::system::error_code failed;
    const asio::ip::tcp::endpoint remote{asio::ip::make_address("127.0.0.1"), port};
    co_await socket.async_connect(remote, asio::redirect_error(asio::use_awaitable, failed));
    http::request<http::string_body> message{request.method, request.target, 11, request.body};
    message.set(http::field::host, "test");
    for (const http_header& one : request.headers)
        message.set(one.name, one.value);
    message.prepare_payload();
    if (!failed) {
        co_await http::async_write(socket, message,
                                   asio::redirect_error(asio::use_awaitable, failed));
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(request.method == http::verb::head);
    if (!failed) {
        co_await http::async_read_header(socket, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, failed));
    }
    if (!failed)
        answer->status = static_cast<int>(parser.get().result_int());
    while (!failed && !parser.is_done()) {
        co_await http::async_read_some(socket, buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, failed));
        if (request.disconnect_after > 0 && parser.get().body().size() >= request.disconnect_after)
            break;
    }
    answer->complete = !failed && parser.is_done();
    const bool ended_early = failed == http::error::partial_message ||
                             failed == http::error::end_of_stream ||
                             failed == asio::error::connection_reset;
    answer->malformed = failed && !ended_early;
    answer->body = parser.get().body();
    answer->ran = std::string{parser.get()["jaynotch-ran"]};
    for (const auto& field : parser.get())
        answer->headers +=
            std::string{field.name_string()} + ": " + std::string{field.value()} + "\n";
    *ended = true;
}

class fleet_fixture {
public:
    explicit fleet_fixture(fixture_settings settings) : m_settings{std::move(settings)}
    {
        m_platform = standin_fleet::start(m_io.get_executor(), m_settings.platform).value();
        for (std::size_t index = 0; index < m_settings.daemons; ++index)
            start_daemon("entry-" + std::to_string(index));
    }
    fleet_fixture(const fleet_fixture&) = delete;
    fleet_fixture& operator=(const fleet_fixture&) = delete;
    ~fleet_fixture() { m_daemons.clear(); }

    boost::asio::io_context& io() { return m_io; }
    class daemon& node(std::size_t index) { return *m_daemons.at(index); }
    [[nodiscard]] std::size_t nodes() const { return m_daemons.size(); }
    standin_fleet& platform() { return *m_platform; }

    std::size_t start_daemon(const std::string& name)
    {
        m_daemons.push_back(daemon::create(m_io, settings_for(name)).value());
        m_daemons.back()->start();
        return m_daemons.size() - 1;
    }
    [[nodiscard]] bool alive(std::size_t index) const { return m_daemons.at(index) != nullptr; }
    void kill_daemon(std::size_t index) { m_daemons.at(index).reset(); }

    /// Applies tables through the admin port; returns true if they were accepted.
    bool apply(const std::string& routes, const std::string& pools)
    {
        const std::int64_t base = node(0).revision().value();
        const boost::json::object change{
            {"routes", routes},      {"pools", pools},
            {"base_revision", base}, {"author", "test"},
            {"message", "test"},     {"change_id", "change-" + std::to_string(++m_changes)}};
        const caller_answer answer =
            ask_port(node(0).admin_port(),
                     {.target = "/admin/v1/apply", .body = boost::json::serialize(change)});
        if (answer.status != 200)
            std::fprintf(stderr, "apply: %d %s\n", answer.status, answer.body.c_str());
        return answer.status == 200;
    }

    /// Runs the io_context until `reached` returns true, at most for `limit`.
    bool run_until(const std::function<bool()>& reached, duration limit)
    {
        const auto until = runtime_clock::now() + limit;
        while (!reached()) {
            if (runtime_clock::now() > until)
                return false;
            m_io.restart();
            m_io.run_one_for(std::chrono::milliseconds{10});
        }
        return true;
    }
    void run_for(duration time)
    {
        run_until([] { return false; }, time);
    }

    /// A pending call; `ended` is set at its end.
    struct pending_call {
        std::shared_ptr<caller_answer> answer = std::make_shared<caller_answer>();
        std::shared_ptr<bool> ended = std::make_shared<bool>(false);
    };
    pending_call begin(std::uint16_t port, caller_request request)
    {
        pending_call made;
        boost::asio::co_spawn(m_io, call(port, std::move(request), made.answer, made.ended),
                              boost::asio::detached);
        return made;
    }
    pending_call begin_at(std::size_t index, caller_request request)
    {
        return begin(node(index).listen_port(), std::move(request));
    }
    caller_answer ask_port(std::uint16_t port, caller_request request)
    {
        const pending_call made = begin(port, std::move(request));
        run_until([&] { return *made.ended; }, std::chrono::seconds{60});
        return *made.answer;
    }
    /// Runs one call to its end.
    caller_answer ask(std::size_t index, caller_request request)
    {
        return ask_port(node(index).listen_port(), std::move(request));
    }

private:
    [[nodiscard]] daemon_settings settings_for(const std::string& name) const
    {
        daemon_settings made;
        made.node = node_id{name};
        made.failure_domain = failure_domain_id{"a"};
        made.deployment = "test";
        made.listen = made.peer_listen = made.admin_listen = "127.0.0.1:0";
        made.key_value = {m_platform->kv().address()};
        made.vm_list = m_platform->vms().address();
        made.weight_store = m_platform->weights().address();
        made.timeouts.order_horizon = std::chrono::milliseconds{1200};
        made.timeouts.balancer_wait = std::chrono::milliseconds{50};
        for (const auto& one : m_daemons) {
            if (one)
                made.seed_peers.push_back("127.0.0.1:" + std::to_string(one->peer_port()));
        }
        if (m_settings.adjust)
            m_settings.adjust(made);
        return made;
    }

    boost::asio::io_context m_io{1};
    fixture_settings m_settings;
    std::shared_ptr<standin_fleet> m_platform;
    std::vector<std::unique_ptr<class daemon>> m_daemons;
    std::int64_t m_changes = 0;
};

/// A server that answers every request with the given bytes, which need not be valid HTTP.
class fixed_reply_server {
public:
    /// `hold`: keep the connection open after sending the bytes.
    fixed_reply_server(boost::asio::io_context& io, std::string bytes, bool hold)
        : m_acceptor{io, {boost::asio::ip::make_address("127.0.0.1"), 0}}
    {
        boost::asio::co_spawn(io, run(m_acceptor, std::move(bytes), hold, m_requests),
                              boost::asio::detached);
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    [[nodiscard]] std::size_t requests() const { return *m_requests; }

private:
    using socket_type = boost::asio::ip::tcp::socket;

    static boost::asio::awaitable<void> run(boost::asio::ip::tcp::acceptor& acceptor,
                                            std::string bytes, bool hold,
                                            std::shared_ptr<std::size_t> requests)
    {
        for (;;) {
            auto socket = std::make_shared<socket_type>(
                co_await acceptor.async_accept(boost::asio::use_awaitable));
            boost::asio::co_spawn(acceptor.get_executor(), answer(socket, bytes, hold, requests),
                                  boost::asio::detached);
        }
    }
    static boost::asio::awaitable<void> answer(std::shared_ptr<socket_type> socket,
                                               std::string bytes, bool hold,
                                               std::shared_ptr<std::size_t> requests)
    {
        std::string request;
        boost::system::error_code failed;
        std::array<char, 4096> chunk{};
        for (;;) {
            const std::size_t got = co_await socket->async_read_some(
                boost::asio::buffer(chunk),
                boost::asio::redirect_error(boost::asio::use_awaitable, failed));
            if (failed)
                co_return;
            request.append(chunk.data(), got);
            const std::size_t end = request.find("\r\n\r\n");
            if (end == std::string::npos)
                continue;
            const bool probe = request.starts_with("GET /healthz");
            request.clear();
            std::string reply = bytes;
            if (probe)
                reply = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
            else
                ++*requests;
            co_await boost::asio::async_write(
                *socket, boost::asio::buffer(reply),
                boost::asio::redirect_error(boost::asio::use_awaitable, failed));
            if (failed || (!hold && !probe))
                co_return;
        }
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<std::size_t> m_requests = std::make_shared<std::size_t>(0);
};

/// Routes of the model "duct" to pool "m", and of "/orders" (keyed) and "/" to pool "app".
inline std::string fixture_routes()
{
    return R"(deployment = "test"
[[route]]
name = "chat"
kind = "chat"
model = "duct"
workspaces = ["*"]
pool = "m"
timeout_ms = 5000
retries = 3
[[route]]
name = "orders"
kind = "plain"
path_prefix = "/orders"
workspaces = ["*"]
pool = "app"
repeat = "keyed"
timeout_ms = 5000
[[route]]
name = "never"
kind = "plain"
path_prefix = "/never"
workspaces = ["*"]
pool = "app"
repeat = "never"
timeout_ms = 5000
[[route]]
name = "rest"
kind = "plain"
path_prefix = "/"
workspaces = ["*"]
pool = "app"
timeout_ms = 5000
)";
}

inline std::string fixture_pools(std::uint32_t replicas, std::uint32_t replica_vms,
                                 const std::vector<std::string>& servers)
{
    std::string list;
    for (const std::string& server : servers)
        list += (list.empty() ? "\"" : ", \"") + server + "\"";
    return "deployment = \"test\"\n[[pool]]\nname = \"m\"\nkind = \"model\"\n"
           "model = \"duct\"\nversion = \"v1\"\nreplicas = " +
           std::to_string(replicas) + "\nreplica_vms = " + std::to_string(replica_vms) +
           "\n[[pool]]\nname = \"app\"\nkind = \"plain\"\nservers = [" + list + "]\n";
}

/// A chat request's body that asks for `tokens` tokens.
inline std::string chat_body(const std::string& prompt, std::uint32_t tokens, bool stream)
{
    return boost::json::serialize(boost::json::object{
        {"model", "duct"},
        {"stream", stream},
        {"max_tokens", tokens},
        {"messages",
         boost::json::array{boost::json::object{{"role", "user"}, {"content", prompt}}}}});
}

} // namespace jaynotch
