#include "http/http_client.h"

#include "http/http_connection.h"
#include "http/response_head.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>

// One timer bounds every wait on the socket by closing it. All pending operations then fail, and a
// flag distinguishes the timeout from a failure of the connection. The kind of the error depends on
// what had been sent: `unavailable` before the first byte; after it, `unknown_outcome` for a
// request that is not repeatable, since the server may have read and executed it, and
// `deadline_exceeded` or `unavailable` for a repeatable one.
//
// The server may close an idle connection just before its next use. is_usable() detects most such
// cases; a repeatable request that fails in the remaining window is sent once more on a new
// connection, if the caller allows it. That failure arrives within a round trip, but a server that
// reads a request and closes at once causes it as well. A server that closes later may have worked
// on the request, so the decision to retry is left to the caller.
//
// A head is checked before anything of it is used. Fields of a trailer are dropped: they come
// behind the body, when the head has been passed on or acted upon.
//
// A connection may pass nothing more without being closed, and often all of a time do. If a request
// on a kept connection gets no answer in time, the idle ones that were last used before it was sent
// are closed as well, so that the next request is sent on one that has worked since, or a new one.

namespace jaynotch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t small_read_bytes = 1024;      // holds a few events of a stream
constexpr std::size_t large_read_bytes = 16 * 1024; // after a read that filled its buffer

/// Longest time from sending on an idle connection to the error that shows that the server was
/// closing it: a round trip between two regions, with a margin.
constexpr duration idle_close_race = std::chrono::milliseconds{50};

error exchange_error(const http_connection& connection, const std::string& address,
                     const error_code& ec, bool repeatable)
{
    if (connection.cancelled())
        return {error_kind::cancelled, "the call to " + address + " was cancelled", ""};
    const std::string why = connection.timed_out() ? "timed out" : ec.message();
    if (!repeatable)
        return {error_kind::unknown_outcome, "no answer from " + address + ": " + why,
                "it may have taken effect: read back before doing it again"};
    if (connection.timed_out())
        return {error_kind::deadline_exceeded, "no answer from " + address + " in time",
                "check its load and the network, or raise the timeout"};
    return {error_kind::unavailable, "connection to " + address + " was cut: " + why,
            "check that the service is up"};
}

error malformed_answer(const std::string& address, const error_code& ec)
{
    return {error_kind::protocol, address + " sent a broken answer: " + ec.message(),
            "check that the address is that of the right service"};
}

/// Opens a connection. The caller holds `connection` and `pool` meanwhile.
awaitable<error_code> connect(http_connection& connection, const http_pool& pool,
                              tcp::endpoint remote, duration timeout)
{
    connection.arm(timeout);
    error_code refused;
    if (pool.limits.before_connect)
        refused = pool.limits.before_connect(pool.address);
    if (refused) {
        // Like a refusal by the network, it never arrives before the caller has suspended.
        co_await asio::post(pool.executor, asio::use_awaitable);
    }
    else {
        refused = co_await connection.connect(remote, pool.limits.source_address);
    }
    connection.disarm();
    co_return refused;
}

bool is_parse_error(const error_code& ec)
{
    return ec.category() == http::make_error_code(http::error::bad_version).category() &&
           ec != http::error::end_of_stream && ec != http::error::partial_message;
}

} // namespace

std::string_view http_response::header(std::string_view name) const
{
    const auto found = headers.find({name.data(), name.size()});
    if (found == headers.end())
        return {};
    return {found->value().data(), found->value().size()};
}

// At most one timer wait is pending, and it is restarted only for an earlier deadline; after expiry
// it waits again if the deadline has moved. A stream sets a deadline for each read, and restarting
// the timer each time would cost more than the read.
void http_connection::arm(duration timeout)
{
    const time_point now = runtime_clock::now();
    m_armed = true;
    m_deadline_at = timeout < time_point::max() - now ? now + timeout : time_point::max();
    if (m_timer_pending && m_deadline_timer.expiry() <= m_deadline_at)
        return;
    wait_for_deadline();
}

void http_connection::wait_for_deadline()
{
    m_timer_pending = true;
    m_deadline_timer.expires_at(m_deadline_at);
    m_deadline_timer.async_wait([self = weak_from_this()](const error_code& ec) {
        const auto connection = self.lock();
        if (ec || !connection)
            return; // restarted for an earlier deadline, or the connection is destroyed
        connection->m_timer_pending = false;
        if (!connection->m_armed)
            return;
        if (runtime_clock::now() < connection->m_deadline_at) {
            connection->wait_for_deadline();
            return;
        }
        connection->m_timed_out = true;
        connection->close();
    });
}

void http_connection::disarm()
{
    m_armed = false;
}

void http_connection::close()
{
    error_code ignored;
    m_socket.close(ignored);
}

void http_connection::cancel()
{
    m_cancelled = true;
    close();
}

bool http_connection::is_usable()
{
    if (!m_socket.is_open())
        return false;
    error_code ec;
    char byte = 0;
    m_socket.non_blocking(true, ec);
    m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

bool http_connection::reusable() const
{
    // Bytes after the end of the response mean that requests and responses no longer match: they
    // would be read as the response to the next request.
    return m_parser && m_parser->is_done() && m_parser->get().keep_alive() &&
           m_buffer.size() == 0 && !m_cancelled && !m_request_incomplete && m_socket.is_open();
}

awaitable<error_code> http_connection::connect(tcp::endpoint remote,
                                               std::optional<asio::ip::address> source_address)
{
    error_code ec;
    if (source_address) {
        m_socket.open(remote.protocol(), ec);
        if (!ec)
            m_socket.bind({*source_address, 0}, ec);
        if (ec) {
            // A failure on the network never arrives before the caller has suspended.
            co_await asio::post(m_socket.get_executor(), asio::use_awaitable);
            co_return ec;
        }
    }
    co_await m_socket.async_connect(remote, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
        error_code ignored;
        m_socket.set_option(tcp::no_delay{true}, ignored);
    }
    co_return ec;
}

awaitable<error_code> http_connection::send_buffered(const http_request& request,
                                                     std::string_view host)
{
    http::request<http::string_body> message{request.method, request.target, 11, request.body};
    message.set(http::field::host, host);
    for (const auto& header : request.headers)
        message.set(header.name, header.value);
    message.prepare_payload();
    if (request.before_send)
        request.before_send();
    error_code ec;
    co_await http::async_write(m_socket, message, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec;
}

awaitable<error_code> http_connection::send_streamed(const http_request& request,
                                                     std::string_view host)
{
    http::request<http::buffer_body> message{request.method, request.target, 11};
    message.set(http::field::host, host);
    for (const auto& header : request.headers)
        message.set(header.name, header.value);
    if (request.body_length)
        message.content_length(*request.body_length);
    else
        message.chunked(true);
    message.body().data = nullptr;
    message.body().more = true;
    http::request_serializer<http::buffer_body> serializer{message};
    if (request.before_send)
        request.before_send();
    error_code ec;
    co_await http::async_write_header(m_socket, serializer,
                                      asio::redirect_error(asio::use_awaitable, ec));
    while (!ec && message.body().more) {
        result<std::string> piece = co_await request.body_source();
        if (!piece) {
            // The body can't be completed. Closing the connection keeps the server from processing
            // a truncated body.
            close();
            co_return asio::error::operation_aborted;
        }
        message.body().data = piece.value().data();
        message.body().size = piece.value().size();
        message.body().more = !piece.value().empty();
        if (piece.value().empty())
            message.body().data = nullptr;
        co_await http::async_write(m_socket, serializer,
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec == http::error::need_buffer)
            ec = {};
    }
    m_request_incomplete = ec.failed();
    co_return ec;
}

awaitable<error_code> http_connection::send_and_read_header(const http_request& request,
                                                            std::string_view host,
                                                            std::size_t header_bytes)
{
    error_code ec;
    if (request.body_source) {
        ec = co_await send_streamed(request, host);
    }
    else {
        ec = co_await send_buffered(request, host);
    }
    // A server that refuses a long body responds before it has read all of it and closes the
    // connection, so a response may be available although sending failed.
    if (ec && !m_request_incomplete)
        co_return ec;
    co_return co_await read_header(header_bytes, request.method == http::verb::head);
}

awaitable<error_code> http_connection::read_header(std::size_t header_bytes, bool bodiless)
{
    m_head.reset();
    for (std::size_t interim = 0; interim <= max_interim_responses; ++interim) {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(header_bytes));
        m_parser->body_limit(boost::none);
        m_parser->skip(bodiless);
        error_code ec;
        co_await http::async_read_header(m_socket, m_buffer, *m_parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
        const response_head& head = m_parser->get().base();
        if (!ec)
            ec = check_response_head(head);
        if (ec)
            co_return ec;
        if (is_interim(head))
            continue;
        if (m_parser->chunked())
            m_head.emplace(head); // the parser adds the fields of the trailer to its own
        co_return ec;
    }
    co_return http::make_error_code(http::error::bad_status);
}

awaitable<result<std::string>> http_connection::read(duration idle_timeout, bool repeatable)
{
    m_read_buffer.resize(m_last_read_full ? large_read_bytes : small_read_bytes);
    while (!m_parser->is_done()) {
        auto& body = m_parser->get().body();
        body.data = m_read_buffer.data();
        body.size = m_read_buffer.size();
        body.more = true;
        error_code ec;
        arm(idle_timeout);
        co_await http::async_read_some(m_socket, m_buffer, *m_parser,
                                       asio::redirect_error(asio::use_awaitable, ec));
        disarm();
        if (ec == http::error::need_buffer)
            ec = {};
        const std::size_t bytes_read = m_read_buffer.size() - body.size;
        m_last_read_full = bytes_read == m_read_buffer.size();
        if (bytes_read > 0)
            co_return std::string{m_read_buffer.data(), bytes_read};
        if (ec && is_parse_error(ec)) {
            close();
            co_return malformed_answer("the server", ec);
        }
        if (ec)
            co_return exchange_error(*this, "the server", ec, repeatable);
    }
    co_return std::string{};
}

std::shared_ptr<http_connection> http_pool::acquire(duration max_connection_idle)
{
    const time_point now = runtime_clock::now();
    while (!idle.empty()) {
        const idle_connection candidate = std::move(idle.back());
        idle.pop_back();
        const duration max_idle = std::min({limits.idle_connection_timeout, max_connection_idle,
                                            candidate.connection->idle_limit()});
        if (now - candidate.since < max_idle && candidate.connection->is_usable())
            return candidate.connection;
        candidate.connection->close();
    }
    return nullptr;
}

void http_connection::release_buffers()
{
    std::vector<char>{}.swap(m_read_buffer);
    m_buffer.shrink_to_fit();
    m_last_read_full = false;
}

void http_pool::release(std::shared_ptr<http_connection> connection)
{
    if (limits.idle_connections == 0)
        return;
    connection->release_buffers();
    if (idle.size() >= limits.idle_connections)
        idle.pop_front();
    idle.push_back({std::move(connection), runtime_clock::now()});
}

void http_pool::close_idle_since_before(time_point time)
{
    std::erase_if(idle, [time](const idle_connection& each) {
        if (each.since < time)
            each.connection->close();
        return each.since < time;
    });
}

http_stream::http_stream(std::shared_ptr<http_connection> connection,
                         std::shared_ptr<http_pool> pool, bool repeatable)
    : m_connection{std::move(connection)}, m_pool{std::move(pool)}, m_repeatable{repeatable}
{}

http_stream::http_stream(http_stream&&) noexcept = default;

http_stream& http_stream::operator=(http_stream&& other) noexcept
{
    std::swap(m_connection, other.m_connection);
    std::swap(m_pool, other.m_pool);
    std::swap(m_repeatable, other.m_repeatable);
    return *this;
}

http_stream::~http_stream()
{
    if (!m_connection)
        return;
    if (m_connection->reusable())
        m_pool->release(std::move(m_connection));
    else
        m_connection->close();
}

http::status http_stream::status() const
{
    return status_of(m_connection->parser().get().base());
}

const http::fields& http_stream::headers() const
{
    return m_connection->head();
}

std::string_view http_stream::header(std::string_view name) const
{
    const auto found = headers().find({name.data(), name.size()});
    if (found == headers().end())
        return {};
    return {found->value().data(), found->value().size()};
}

std::optional<std::uint64_t> http_stream::content_length() const
{
    const std::string_view text = header("Content-Length");
    std::uint64_t length = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (text.empty() || failed != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return length;
}

awaitable<result<std::string>> http_stream::read(duration idle_timeout)
{
    const auto connection = m_connection;
    co_return co_await connection->read(idle_timeout, m_repeatable);
}

awaitable<bool> http_stream::skip(duration timeout)
{
    const auto connection = m_connection;
    const time_point deadline = runtime_clock::now() + timeout;
    for (bool more = true; more;) {
        const result<std::string> piece =
            co_await connection->read(deadline - runtime_clock::now(), m_repeatable);
        if (!piece)
            co_return false;
        more = !piece.value().empty();
    }
    if (!connection->parser().get().keep_alive())
        co_return false;
    connection->arm(deadline - runtime_clock::now());
    const error_code ec = co_await connection->read_header(m_pool->limits.header_bytes, false);
    connection->disarm();
    co_return !ec;
}

void http_stream::set_idle_limit(duration limit)
{
    if (m_connection)
        m_connection->set_idle_limit(limit);
}

void http_stream::cancel()
{
    if (m_connection)
        m_connection->cancel();
}

http_client::http_client(asio::any_io_executor executor, std::string address, http_limits limits)
    : m_pool{std::make_shared<http_pool>()}
{
    m_pool->executor = std::move(executor);
    m_pool->address = std::move(address);
    m_pool->limits = limits;
}

http_client::~http_client() = default;
http_client::http_client(http_client&&) noexcept = default;
http_client& http_client::operator=(http_client&&) noexcept = default;

const std::string& http_client::address() const
{
    return m_pool->address;
}

awaitable<bool> http_client::can_connect(duration timeout)
{
    const auto pool = m_pool;
    const result<tcp::endpoint> remote = parse_endpoint(pool->address);
    if (!remote)
        co_return false;
    const auto connection =
        std::make_shared<http_connection>(pool->executor, pool->limits.unparsed_bytes);
    const error_code refused = co_await connect(*connection, *pool, remote.value(), timeout);
    connection->close();
    co_return !refused;
}

awaitable<result<http_stream>> http_client::open(http_request request, duration timeout)
{
    const auto pool = m_pool;
    const time_point deadline = runtime_clock::now() + timeout;
    const result<tcp::endpoint> remote = parse_endpoint(pool->address);
    if (!remote)
        co_return remote.error();
    std::shared_ptr<http_connection> connection = pool->acquire(request.max_connection_idle);
    bool reused = connection != nullptr;
    for (;;) {
        if (!connection) {
            connection =
                std::make_shared<http_connection>(pool->executor, pool->limits.unparsed_bytes);
            const error_code refused = co_await connect(
                *connection, *pool, remote.value(),
                std::min(deadline - runtime_clock::now(), pool->limits.connect_timeout));
            if (refused)
                co_return error{error_kind::unavailable,
                                pool->address + " can't be reached: " +
                                    (connection->timed_out() ? "timed out" : refused.message()),
                                "check that the service is up and the address is right"};
            if (request.on_connected)
                request.on_connected();
            if (request.may_send && !request.may_send()) {
                connection->close();
                co_return error{error_kind::unavailable,
                                "the request to " + pool->address + " was withdrawn",
                                "send it to another server"};
            }
        }
        const time_point sent = runtime_clock::now();
        connection->arm(deadline - sent);
        const error_code ec = co_await connection->send_and_read_header(request, pool->address,
                                                                        pool->limits.header_bytes);
        connection->disarm();
        if (!ec)
            break;
        const bool was_closing =
            reused && !connection->timed_out() && runtime_clock::now() - sent <= idle_close_race;
        const bool may_resend = was_closing && request.repeatable && !request.body_source &&
                                (!request.may_resend || request.may_resend());
        if (may_resend) {
            reused = false;
            connection = nullptr;
            continue;
        }
        connection->close();
        if (reused && connection->timed_out())
            pool->close_idle_since_before(sent);
        if (is_parse_error(ec) && request.repeatable)
            co_return malformed_answer(pool->address, ec);
        co_return exchange_error(*connection, pool->address, ec, request.repeatable);
    }
    if (request.on_head)
        request.on_head();
    if (connection->parser().need_eof() && !pool->limits.allow_unframed_answers) {
        // Without Content-Length or chunks a truncated response looks complete.
        connection->close();
        co_return error{request.repeatable ? error_kind::protocol : error_kind::unknown_outcome,
                        pool->address + " sent an answer with neither length nor chunks",
                        "make the server send Content-Length or chunks"};
    }
    co_return http_stream{connection, pool, request.repeatable};
}

awaitable<result<http_response>> http_client::call(http_request request, duration timeout)
{
    return call(std::move(request), call_timeouts{timeout, timeout, timeout});
}

awaitable<result<http_response>> http_client::call(http_request request, call_timeouts timeouts)
{
    const time_point deadline = runtime_clock::now() + timeouts.total;
    const std::size_t limit = m_pool->limits.body_bytes;
    const std::string address = m_pool->address;
    const bool repeatable = request.repeatable;
    result<http_stream> opened = co_await open(std::move(request), timeouts.header);
    if (!opened)
        co_return opened.error();
    http_stream stream = std::move(opened).value();
    http_response response{.status = stream.status(), .headers = stream.headers(), .body = {}};
    for (;;) {
        result<std::string> piece =
            co_await stream.read(std::min(timeouts.stall, deadline - runtime_clock::now()));
        if (!piece)
            co_return piece.error();
        if (piece.value().empty())
            co_return response;
        response.body += piece.value();
        if (response.body.size() > limit) {
            stream.cancel();
            co_return error{repeatable ? error_kind::too_large : error_kind::unknown_outcome,
                            address + " sent more than " + std::to_string(limit) + " bytes",
                            "check the service, or raise the limit"};
        }
    }
}

} // namespace jaynotch
