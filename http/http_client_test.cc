#include "http/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

using namespace std::chrono_literals;
namespace net = boost::asio;
using net::ip::tcp;

/// Reads a request without a body. False at the end of the connection.
net::awaitable<bool> receive_request(tcp::socket& socket, std::string& received)
{
    boost::system::error_code failed;
    const std::size_t length =
        co_await net::async_read_until(socket, net::dynamic_buffer(received), "\r\n\r\n",
                                       net::redirect_error(net::use_awaitable, failed));
    received.erase(0, length);
    co_return !failed;
}

constexpr std::string_view empty_answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A server that answers every request but the second: it processes that one for `processing_time`
/// and closes the connection without a response. It pauses and advances the runtime clock.
class closing_server {
public:
    explicit closing_server(duration processing_time, std::function<bool()> may_resend = {})
        : m_processing_time{processing_time}, m_may_resend{std::move(may_resend)},
          m_acceptor{m_io, {net::ip::make_address("127.0.0.1"), 0}}
    {
        runtime_clock::pause();
        net::co_spawn(m_io, accept(), net::detached);
    }
    ~closing_server() { runtime_clock::resume(); }

    /// Sends two requests one after the other and returns the result of the second.
    result<http_response> send_two_requests()
    {
        std::optional<result<http_response>> second;
        const auto send_both = [&]() -> net::awaitable<void> {
            const std::string address =
                "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
            http_client client{m_io.get_executor(), address, http_limits{}};
            const result<http_response> first = co_await client.call(read_request(), 5s);
            cr_assert(first);
            second = co_await client.call(read_request(), 5s);
            m_io.stop();
        };
        net::co_spawn(m_io, send_both(), net::detached);
        m_io.run();
        return std::move(*second);
    }

    [[nodiscard]] int requests() const { return m_requests; }

private:
    [[nodiscard]] http_request read_request() const
    {
        http_request request;
        request.target = "/read";
        request.repeatable = true;
        request.may_resend = m_may_resend;
        return request;
    }

    net::awaitable<void> accept()
    {
        for (;;) {
            tcp::socket socket = co_await m_acceptor.async_accept(net::use_awaitable);
            net::co_spawn(m_io, serve(std::move(socket)), net::detached);
        }
    }

    net::awaitable<void> serve(tcp::socket socket)
    {
        std::string received;
        while (co_await receive_request(socket, received)) {
            ++m_requests;
            if (m_requests == 2) {
                runtime_clock::advance(m_processing_time);
                co_return;
            }
            co_await net::async_write(socket, net::buffer(empty_answer), net::use_awaitable);
        }
    }

    net::io_context m_io;
    duration m_processing_time;
    std::function<bool()> m_may_resend;
    tcp::acceptor m_acceptor;
    int m_requests = 0;
};

/// Whether a client can connect to the address; `io` runs meanwhile.
bool can_connect(net::io_context& io, const std::string& address, http_limits limits = {})
{
    std::optional<bool> connected;
    const auto probe = [&]() -> net::awaitable<void> {
        http_client client{io.get_executor(), address, limits};
        connected = co_await client.can_connect(200ms);
        io.stop();
    };
    net::co_spawn(io, probe(), net::detached);
    io.run();
    io.restart();
    return *connected;
}

std::string address_of(const tcp::acceptor& acceptor)
{
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace

// Guards against a read that fails only because the server was closing the idle connection.
Test(http_client, a_race_with_an_idle_close_is_retried)
{
    closing_server server{0ms};
    cr_assert(server.send_two_requests());
    cr_assert_eq(server.requests(), 3);
}

// Guards against a second sending that the caller has not allowed.
Test(http_client, a_request_is_not_sent_again_unless_the_caller_allows_it)
{
    closing_server server{0ms, [] { return false; }};
    cr_assert(!server.send_two_requests());
    cr_assert_eq(server.requests(), 2);
}

// Guards against a request that is executed a second time, without the caller's knowledge, after
// its server worked on it and closed the connection.
Test(http_client, a_request_the_server_may_have_processed_is_not_retried)
{
    closing_server server{500ms};
    const result<http_response> second = server.send_two_requests();
    cr_assert(!second);
    cr_assert_eq(second.error().kind, error_kind::unavailable);
    cr_assert_eq(server.requests(), 2);
}

// Guards against a server that counts as out of reach because its process is stopped, and against a
// request left behind there.
Test(http_client, a_process_that_is_stopped_can_be_connected)
{
    net::io_context io;
    tcp::acceptor stopped{io, {net::ip::make_address("127.0.0.1"), 0}};
    cr_assert(can_connect(io, address_of(stopped)));
    tcp::socket left_behind = stopped.accept();
    char byte = 0;
    boost::system::error_code ended;
    cr_assert_eq(left_behind.receive(net::buffer(&byte, 1), 0, ended), 0U);
    cr_assert(ended == net::error::eof);
}

// Guards against a server that counts as in reach though connections to it are refused, or hang.
Test(http_client, a_server_out_of_reach_can_not_be_connected)
{
    net::io_context io;
    tcp::acceptor full{io};
    full.open(tcp::v4());
    full.bind({net::ip::make_address("127.0.0.1"), 0});
    full.listen(0);
    std::vector<tcp::socket> waiting; // with these the kernel drops further attempts to connect
    for (int sockets = 0; sockets < 4; ++sockets) {
        tcp::socket& one = waiting.emplace_back(io, tcp::v4());
        one.async_connect(full.local_endpoint(), [](boost::system::error_code) {});
    }
    cr_assert_not(can_connect(io, address_of(full)), "it hangs");

    http_limits cut;
    cut.before_connect = [](const std::string&) {
        return make_error_code(net::error::connection_refused);
    };
    tcp::acceptor open{io, {net::ip::make_address("127.0.0.1"), 0}};
    cr_assert_not(can_connect(io, address_of(open), cut), "it is refused");
    cr_assert(can_connect(io, address_of(open)));
}

namespace {

/// A server whose connections that are open at some time pass nothing more from then on and stay
/// open; it answers on later ones.
class silent_server {
public:
    explicit silent_server(net::io_context& io)
        : m_acceptor{io, {net::ip::make_address("127.0.0.1"), 0}}
    {
        net::co_spawn(io, accept(), net::detached);
    }
    [[nodiscard]] std::string address() const { return address_of(m_acceptor); }
    void fall_silent() { m_silent_connections = connections; }
    int connections = 0;

private:
    net::awaitable<void> accept()
    {
        for (;;) {
            tcp::socket socket = co_await m_acceptor.async_accept(net::use_awaitable);
            net::co_spawn(m_acceptor.get_executor(), serve(std::move(socket), ++connections),
                          net::detached);
        }
    }

    net::awaitable<void> serve(tcp::socket socket, int number)
    {
        std::string received;
        while (co_await receive_request(socket, received)) {
            if (number <= m_silent_connections)
                continue;
            co_await net::async_write(socket, net::buffer(empty_answer), net::use_awaitable);
        }
    }

    tcp::acceptor m_acceptor;
    int m_silent_connections = 0;
};

net::awaitable<void> count_answered(http_client& client, duration timeout, int& answered)
{
    http_request request;
    request.repeatable = true;
    const result<http_response> answer = co_await client.call(std::move(request), timeout);
    answered += answer ? 1 : 0;
}

/// Makes calls at once; returns how many were answered.
int answered_calls(net::io_context& io, http_client& client, int calls, duration timeout)
{
    int answered = 0;
    for (int number = 0; number < calls; ++number)
        net::co_spawn(io, count_answered(client, timeout, answered), net::detached);
    io.restart();
    io.run_for(timeout + 100ms);
    return answered;
}

} // namespace

// Guards against a client that tries one kept connection after the other, each for a whole timeout,
// after all of them have fallen silent.
Test(http_client, connections_kept_beside_a_silent_one_are_not_used)
{
    net::io_context io;
    silent_server server{io};
    http_client client{io.get_executor(), server.address(), http_limits{}};
    constexpr int kept = 4;
    cr_assert_eq(answered_calls(io, client, kept, 500ms), kept);
    cr_assert_eq(server.connections, kept);
    server.fall_silent();
    cr_assert_eq(answered_calls(io, client, 1, 200ms), 0,
                 "it finds out that its connection is silent");
    cr_assert_eq(answered_calls(io, client, 1, 200ms), 1);
}
