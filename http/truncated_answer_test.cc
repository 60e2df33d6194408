// Answers that end early, at each of their bytes. The client must report none of them as a success.
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

net::awaitable<void> serve(tcp::socket socket, const script& sent)
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

net::awaitable<void> accept_all(tcp::acceptor& acceptor, const script& sent)
{
    for (;;) {
        tcp::socket socket = co_await acceptor.async_accept(net::use_awaitable);
        net::co_spawn(acceptor.get_executor(), serve(std::move(socket), sent), net::detached);
    }
}

http_request request_of(http::verb method, bool repeatable)
{
    http_request request;
    request.method = method;
    request.repeatable = repeatable;
    return request;
}

/// The client's result of the last request of the script.
result<http_response> receive(const script& sent, http::verb method, bool repeatable)
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

bool is_success(const result<http_response>& answer)
{
    return answer && http::to_status_class(answer.value().status) == http::status_class::successful;
}

/// Checks that no success comes of the first bytes of `answer`, for any number below `end`.
void check_every_byte(const std::string& answer, std::size_t end, http::verb method,
                      const std::string& whole, ending how)
{
    // On a connection that was used before, a repeatable request is sent again on a new one.
    const std::vector<bool> kinds = whole.empty() ? std::vector{false, true} : std::vector{false};
    for (const bool repeatable : kinds) {
        for (std::size_t bytes = 0; bytes < end; ++bytes) {
            const script sent{whole, answer.substr(0, bytes), how};
            cr_expect_not(is_success(receive(sent, method, repeatable)),
                          "a success from %zu of %zu bytes", bytes, answer.size());
        }
    }
    cr_expect(is_success(receive({whole, answer, ending::close}, method, false)));
}

const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello";
const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "5\r\nhello\r\n0\r\nTrailer: z\r\n\r\n";
const std::string unframed = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nhello";

void check_both_endings(const std::string& answer, http::verb method = http::verb::get,
                        const std::string& whole = {})
{
    for (const ending how : {ending::close, ending::reset})
        check_every_byte(answer, answer.size(), method, whole, how);
}

} // namespace

// Guards against a success from an answer that ends inside its head or body.
Test(truncated_answer, with_a_length)
{
    check_both_endings(sized);
}

// Guards against a success from an answer that ends inside its head, a chunk's size or its trailer.
Test(truncated_answer, in_chunks)
{
    check_both_endings(chunked);
}

// Guards against a success from an answer that ends inside its head, where the end of the
// connection is the end of the body.
Test(truncated_answer, that_ends_with_its_connection)
{
    check_every_byte(unframed, unframed.find("\r\n\r\n") + 4, http::verb::get, {}, ending::close);
    check_every_byte(unframed, unframed.size(), http::verb::get, {}, ending::reset);
}

// Guards against a success from the truncated head of an answer without a body.
Test(truncated_answer, to_a_head_request)
{
    const std::string head = sized.substr(0, sized.find("\r\n\r\n") + 4);
    check_both_endings(head, http::verb::head);
}

// Guards against a success from what is left of an answer on a connection that was used before.
Test(truncated_answer, after_a_whole_one_on_the_same_connection)
{
    check_both_endings(sized, http::verb::get, sized);
    check_both_endings(chunked, http::verb::get, sized);
}
