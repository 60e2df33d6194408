// Bytes of servers that never end.
#include "http/http_client.h"
#include "standins/standin_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;
namespace net = boost::asio;

namespace {

constexpr std::size_t most_bytes = 32 * 1024 * 1024;

/// Sends the beginning of a response and then filling until the caller closes the connection, or
/// `most_bytes` have been sent.
class endless_server {
public:
    endless_server(net::io_context& io, std::string beginning) : m_beginning{std::move(beginning)}
    {
        m_server =
            standin_server::listen(io.get_executor(), "127.0.0.1:0",
                                   [this](standin_exchange& exchange) { return fill(exchange); })
                .value();
    }

    [[nodiscard]] const std::string& address() const { return m_server->address(); }
    [[nodiscard]] std::size_t written() const { return m_written; }

private:
    awaitable<void> fill(standin_exchange& exchange)
    {
        const std::string filling(64 * 1024, 'a');
        bool open = co_await exchange.write_raw(m_beginning);
        while (open && m_written < most_bytes) {
            open = co_await exchange.write_raw(filling);
            m_written += filling.size();
        }
        exchange.cut();
    }

    std::string m_beginning;
    std::shared_ptr<standin_server> m_server;
    std::size_t m_written = 0;
};

awaitable<void> call(net::io_context& io, std::string address,
                     std::optional<result<http_response>>& answer)
{
    http_client client{io.get_executor(), std::move(address), http_limits{}};
    http_request request;
    result<http_response> received = co_await client.call(std::move(request), 5s);
    answer.emplace(std::move(received));
    io.stop();
}

/// Whether the client gives up before the server has sent `most_bytes`.
bool is_given_up(const std::string& beginning)
{
    net::io_context io;
    const endless_server server{io, beginning};
    std::optional<result<http_response>> answer;
    net::co_spawn(io, call(io, server.address(), answer), net::detached);
    io.run();
    return !answer->has_value() && server.written() < most_bytes;
}

} // namespace

// Guards against bytes without end that are no answer and fill the memory.
Test(endless_answers, a_header_without_end_is_given_up)
{
    cr_assert(is_given_up("HTTP/1.1 200 OK\r\nx: "));
}
Test(endless_answers, a_body_without_end_is_given_up)
{
    cr_assert(is_given_up("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"));
}
Test(endless_answers, a_chunk_header_without_end_is_given_up)
{
    cr_assert(is_given_up("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x="));
}
Test(endless_answers, a_trailer_without_end_is_given_up)
{
    cr_assert(is_given_up("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx: "));
}
