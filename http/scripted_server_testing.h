// Test helper: a server on the loopback interface that sends given bytes, and the client's result.
//
//   const result<http_response> answer = receive({.broken = "HTTP/1.1 200 OK\r\n"});
#pragma once

#include "http/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

namespace jaynotch::testing {

using namespace std::chrono_literals;
namespace net = boost::asio;
namespace http = boost::beast::http;
using net::ip::tcp;

enum class ending { close, reset };

/// What the server sends on one connection: `whole`, if any, for the first request, `broken` for
/// the next one, then the connection ends.
struct script {
    std::string whole;
    std::string broken;
    ending end = ending::close;
};

inline net::awaitable<void> serve(tcp::socket socket, const script& sent)
{
    std::string received;
    std::vector<std::string> answers{sent.broken};
    if (!sent.whole.empty())
        answers.insert(answers.begin(), sent.whole);
    for (const std::string& answer : answers) {
        boost::system::error_code failed;
        const std::size_t length =
            co_await net::async_read_until(socket, net::dynamic_buffer(received), "\r\n\r\n",
                                           net::redirect_error(net::use_awaitable, failed));
        if (failed)
            co_return;
        received.erase(0, length);
        co_await net::async_write(socket, net::buffer(answer),
                                  net::redirect_error(net::use_awaitable, failed));
    }
    if (sent.end == ending::reset)
        socket.set_option(net::socket_base::linger{true, 0});
    socket.close(); // the destructor would not reset
}

inline net::awaitable<void> accept_all(tcp::acceptor& acceptor, const script& sent)
{
    for (;;) {
        tcp::socket socket = co_await acceptor.async_accept(net::use_awaitable);
        net::co_spawn(acceptor.get_executor(), serve(std::move(socket), sent), net::detached);
    }
}

inline http_request request_of(http::verb method, bool repeatable)
{
    http_request request;
    request.method = method;
    request.repeatable = repeatable;
    return request;
}

/// The client's result of the last request of the script.
inline result<http_response> receive(const script& sent, http::verb method = http::verb::get,
                                     bool repeatable = true)
{
    net::io_context io;
    tcp::acceptor acceptor{io, {net::ip::make_address("127.0.0.1"), 0}};
    net::co_spawn(io, accept_all(acceptor, sent), net::detached);
    std::optional<result<http_response>> last;
    const auto send = [&]() -> net::awaitable<void> {
        const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        http_limits limits;
        limits.allow_unframed_answers = true;
        http_client client{io.get_executor(), address, limits};
        if (!sent.whole.empty()) {
            const result<http_response> first =
                co_await client.call(request_of(method, repeatable), 5s);
            cr_assert(first);
        }
        last = co_await client.call(request_of(method, repeatable), 5s);
        io.stop();
    };
    net::co_spawn(io, send(), net::detached);
    io.run();
    return std::move(*last);
}

} // namespace jaynotch::testing
