#include "http/connection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

// A plain socket is written to directly first and only waited for when it takes no more: most
// writes are one small event of a stream, and a turn through the reactor would cost more than they
// do.

namespace jaynotch {

namespace {

constexpr std::size_t idle_read = 2 * 1024;    // an idle connection holds this much
constexpr std::size_t busy_read = 16 * 1024;   // once more has come than a small request
constexpr std::size_t most_unread = 64 * 1024; // pipelined bytes that are held
/// Bytes thrown away when closing. A caller whose upload is refused mostly writes all of it before
/// it reads why; they take no memory, and the time for them is bounded as well.
constexpr std::size_t most_drained = 64 * 1024 * 1024;

} // namespace

connection::connection(tcp::socket accepted, net::ssl::context* tls)
    : m_stream{std::move(accepted)}, m_wake{socket().get_executor()}
{
    boost::system::error_code ignored;
    socket().set_option(tcp::no_delay{true}, ignored);
    socket().non_blocking(true, ignored);
    if (tls != nullptr)
        m_stream = std::make_unique<tls_stream>(std::get<tcp::socket>(std::move(m_stream)), *tls);
}

tcp::socket& connection::socket()
{
    if (auto* plain = std::get_if<tcp::socket>(&m_stream))
        return *plain;
    return std::get<std::unique_ptr<tls_stream>>(m_stream)->next_layer();
}

net::awaitable<bool> connection::handshake(duration timeout)
{
    auto* encrypted = std::get_if<std::unique_ptr<tls_stream>>(&m_stream);
    if (encrypted == nullptr)
        co_return true;
    timer guard{m_wake.get_executor(), timeout};
    guard.async_wait([self = weak_from_this()](boost::system::error_code stopped) {
        if (const auto alive = self.lock(); alive && !stopped)
            alive->abort();
    });
    boost::system::error_code failed;
    co_await (*encrypted)
        ->async_handshake(net::ssl::stream_base::server,
                          net::redirect_error(net::use_awaitable, failed));
    co_return !failed;
}

net::awaitable<input_state> connection::more_input(duration timeout)
{
    if (m_fresh) {
        m_fresh = false;
        co_return input_state::arrived;
    }
    if (m_closed)
        co_return input_state::failed;
    if (m_state != input_state::arrived)
        co_return m_state;
    start_read();
    m_wake.expires_after(timeout);
    boost::system::error_code woken;
    co_await m_wake.async_wait(net::redirect_error(net::use_awaitable, woken));
    if (m_fresh) {
        m_fresh = false;
        co_return input_state::arrived;
    }
    if (m_closed)
        co_return input_state::failed;
    co_return m_state == input_state::arrived ? input_state::timed_out : m_state;
}

bool connection::has_input()
{
    boost::system::error_code failed;
    return m_input.size() > 0 || socket().available(failed) > 0;
}

void connection::trim()
{
    if (m_input.size() > 0)
        return;
    m_input.shrink_to_fit();
    m_busy = false;
    if (!m_reading)
        std::vector<char>{}.swap(m_room);
}

void connection::watch_end(std::function<void()> gone, bool half_close)
{
    m_gone = std::move(gone);
    m_gone_by_half_close = half_close;
    if (!m_gone)
        return;
    if (left()) {
        std::exchange(m_gone, nullptr)();
        return;
    }
    if (m_input.size() < most_unread)
        start_read();
}

bool connection::left() const
{
    return broken() || (m_gone_by_half_close && half_closed());
}

void connection::start_read()
{
    if (m_reading || m_closed || m_state != input_state::arrived)
        return;
    m_reading = true;
    // The read has room of its own: consuming m_input may move what a pending read would write to.
    m_room.resize(m_busy ? busy_read : idle_read);
    const net::mutable_buffer room = net::buffer(m_room);
    const auto done = [self = shared_from_this()](boost::system::error_code failed,
                                                  std::size_t bytes) {
        self->read_done(failed, bytes);
    };
    if (auto* plain = std::get_if<tcp::socket>(&m_stream))
        plain->async_read_some(room, done);
    else
        std::get<std::unique_ptr<tls_stream>>(m_stream)->async_read_some(room, done);
}

void connection::read_done(boost::system::error_code failed, std::size_t bytes)
{
    m_reading = false;
    if (!failed) {
        const net::mutable_buffer room = m_input.prepare(bytes);
        m_input.commit(net::buffer_copy(room, net::buffer(m_room.data(), bytes)));
        m_fresh = true;
        m_busy = bytes == m_room.size();
    }
    else {
        const bool orderly =
            failed == net::error::eof || failed == net::ssl::error::stream_truncated;
        m_state = orderly ? input_state::ended : input_state::failed;
    }
    m_wake.cancel();
    if (!m_gone)
        return;
    if (left())
        std::exchange(m_gone, nullptr)();
    else if (!failed && m_input.size() < most_unread)
        start_read();
}

net::awaitable<bool> connection::write(duration stall, net::const_buffer first,
                                       net::const_buffer second, net::const_buffer third)
{
    if (m_closed)
        co_return false;
    std::size_t sent = 0;
    out_buffers buffers;
    buffers[0] = first;
    buffers[1] = second;
    buffers[2] = third;
    if (auto* plain = std::get_if<tcp::socket>(&m_stream)) {
        boost::system::error_code failed;
        sent = plain->write_some(buffers, failed);
        if (failed && failed != net::error::would_block && failed != net::error::try_again) {
            m_state = input_state::failed;
            co_return false;
        }
        if (sent == net::buffer_size(buffers))
            co_return true;
    }
    co_return co_await write_rest(buffers, sent, stall);
}

net::awaitable<bool> connection::write_rest(out_buffers buffers, std::size_t sent, duration stall)
{
    // A caller that takes no bytes would hold its request's memory for ever: the guard ends it.
    timer guard{m_wake.get_executor(), stall};
    guard.async_wait([self = weak_from_this()](boost::system::error_code stopped) {
        if (const auto alive = self.lock(); alive && !stopped)
            alive->abort();
    });
    boost::beast::buffers_suffix<out_buffers> rest{buffers};
    rest.consume(sent);
    boost::system::error_code failed;
    if (auto* plain = std::get_if<tcp::socket>(&m_stream)) {
        co_await net::async_write(*plain, rest, net::redirect_error(net::use_awaitable, failed));
    }
    else {
        co_await net::async_write(*std::get<std::unique_ptr<tls_stream>>(m_stream), rest,
                                  net::redirect_error(net::use_awaitable, failed));
    }
    if (failed)
        m_state = input_state::failed;
    co_return !failed;
}

void connection::abort()
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ignored;
    // Without lingering the kernel sends a reset, which no client takes for an orderly end.
    socket().set_option(net::socket_base::linger{true, 0}, ignored);
    socket().close(ignored);
    m_wake.cancel();
}

net::awaitable<void> connection::close(duration linger)
{
    if (m_closed)
        co_return;
    boost::system::error_code ignored;
    if (auto* encrypted = std::get_if<std::unique_ptr<tls_stream>>(&m_stream)) {
        timer guard{m_wake.get_executor(), linger};
        guard.async_wait([self = weak_from_this()](boost::system::error_code stopped) {
            if (const auto alive = self.lock(); alive && !stopped)
                alive->abort();
        });
        if (!m_reading) {
            co_await (*encrypted)->async_shutdown(net::redirect_error(net::use_awaitable, ignored));
        }
    }
    socket().shutdown(tcp::socket::shutdown_send, ignored);
    // Closing with unread input makes the kernel reset the connection, and a refusal that was just
    // sent would be lost with it: so what still comes is read and thrown away for a while.
    const time_point until = runtime_clock::now() + linger;
    std::size_t drained = 0;
    while (!m_closed && drained < most_drained && runtime_clock::now() < until) {
        drained += m_input.size();
        m_input.consume(m_input.size());
        const input_state got = co_await more_input(until - runtime_clock::now());
        if (got != input_state::arrived)
            break;
    }
    m_closed = true;
    socket().close(ignored);
}

} // namespace jaynotch
