// Sends arbitrary bytes to the HTTP server over a socket, as a caller could. The server must answer
// or close the connection, and must release it within 2 s after the caller has closed its side.
#include "daemon/model_request.h"
#include "http/http_server.h"

#include <boost/asio/use_awaitable.hpp>

namespace {

using namespace jaynotch;

net::awaitable<void> answer(http_exchange& exchange)
{
    const result<std::string> body = co_await exchange.read_body(64 * 1024);
    if (body)
        (void)read_model_request(body.value(), request_kind::chat);
    (void)exchange.query("revision");
    co_await exchange.answer(http::status::ok, "text/plain", "fine");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static net::io_context io;
    static const std::unique_ptr<http_server> server = [] {
        auto made = http_server::open(io, "127.0.0.1:0", {}, answer);
        made.value()->start();
        return std::move(made).value();
    }();
    tcp::socket caller{io};
    boost::system::error_code ignored;
    caller.connect({net::ip::make_address("127.0.0.1"), server->port()}, ignored);
    net::write(caller, net::buffer(data, size), ignored);
    caller.shutdown(tcp::socket::shutdown_send, ignored);
    io.restart();
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds{2};
    do
        io.run_one_for(std::chrono::milliseconds{5});
    while (server->connections() > 0 && std::chrono::steady_clock::now() < until);
    if (server->connections() > 0)
        std::abort(); // the connection was not released
    return 0;
}
