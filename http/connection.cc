#include "http/connection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

// A write on a plain socket first tries a non-blocking send and waits only for what the socket did
// not accept. Most writes are one small event of a stream, for which a pass through the reactor
// costs more than the write itself.

namespace jaynotch {

namespace {

constexpr std::size_t small_read_bytes = 2 * 1024;  // buffer of an idle connection
constexpr std::size_t large_read_bytes = 16 * 1024; // after a read that filled its buffer
/// Of a TLS stream: four buffers of 17 KB, the session and the handshake.
constexpr std::size_t tls_bytes = 100 * 1024;
/// Input that is allowed for with each connection and not counted.
constexpr std::size_t uncounted_input_bytes = 4 * 1024;
/// Input behind a request that is being served; more of it stays in the kernel.
constexpr std::size_t max_pipelined_bytes = 4 * 1024;
/// Maximum number of bytes that close() discards. A caller whose upload is refused usually sends
/// all of it before it reads the response. Discarded bytes use no memory, and `linger` bounds the
/// time.
constexpr std::size_t max_drained_bytes = 64 * 1024 * 1024;

} // namespace

connection::connection(tcp::socket accepted, net::ssl::context* tls, held_memory::account memory)
    : m_stream{std::move(accepted)}, m_tls{tls}, m_memory{std::move(memory)},
      m_input_timer{socket().get_executor()}
{
    boost::system::error_code ignored;
    socket().set_option(tcp::no_delay{true}, ignored);
    socket().non_blocking(true, ignored);
}

tcp::socket& connection::socket()
{
    if (auto* plain = std::get_if<tcp::socket>(&m_stream))
        return *plain;
    return std::get<std::unique_ptr<tls_stream>>(m_stream)->next_layer();
}

net::awaitable<bool> connection::handshake(duration timeout)
{
    if (m_tls == nullptr)
        co_return true;
    timer deadline{m_input_timer.get_executor(), timeout};
    deadline.async_wait([self = weak_from_this()](boost::system::error_code stopped) {
        if (const auto locked = self.lock(); locked && !stopped)
            locked->abort();
    });
    boost::system::error_code failed;
    co_await socket().async_wait(tcp::socket::wait_read,
                                 net::redirect_error(net::use_awaitable, failed));
    if (failed || m_closed)
        co_return false;
    const bool held = co_await m_memory.hold_or_wait(executor(), tls_bytes, held_for::tls);
    if (!held || m_closed)
        co_return false;
    m_kept_memory = tls_bytes;
    m_stream = std::make_unique<tls_stream>(std::get<tcp::socket>(std::move(m_stream)), *m_tls);
    co_await std::get<std::unique_ptr<tls_stream>>(m_stream)->async_handshake(
        net::ssl::stream_base::server, net::redirect_error(net::use_awaitable, failed));
    co_return !failed;
}

net::awaitable<input_state> connection::wait_for_input(duration timeout)
{
    if (m_unreported_input) {
        m_unreported_input = false;
        co_return input_state::arrived;
    }
    if (m_closed)
        co_return input_state::failed;
    if (m_state != input_state::arrived)
        co_return m_state;
    if (m_input_expired)
        co_return input_state::timed_out;
    if (!m_reading) {
        if (!may_read())
            co_return input_state::full;
        if (!hold_input())
            co_return input_state::no_memory;
        start_read();
    }
    m_input_timer.expires_after(timeout);
    boost::system::error_code woken;
    co_await m_input_timer.async_wait(net::redirect_error(net::use_awaitable, woken));
    if (m_unreported_input) {
        m_unreported_input = false;
        co_return input_state::arrived;
    }
    if (m_closed)
        co_return input_state::failed;
    co_return m_state == input_state::arrived ? input_state::timed_out : m_state;
}

void connection::expire_input()
{
    m_input_expired = true;
    m_input_timer.cancel();
}

void connection::limit_input(std::size_t bytes)
{
    m_input_limit = bytes;
}

bool connection::may_read_ahead() const
{
    return m_input.size() < std::min(max_pipelined_bytes, m_input_limit);
}

bool connection::hold_input()
{
    const auto hold = [this](std::size_t read_bytes) {
        m_read_bytes =
            std::min(read_bytes, m_input_limit - std::min(m_input_limit, m_input.size()));
        const std::size_t bytes = m_input.size() + 2 * m_read_bytes;
        const std::size_t counted = bytes > uncounted_input_bytes ? bytes : 0;
        if (counted <= m_counted_input)
            return true;
        if (!m_memory.hold(counted - m_counted_input, held_for::input))
            return false;
        m_counted_input = counted;
        return true;
    };
    return (m_last_read_full && hold(large_read_bytes)) || hold(small_read_bytes);
}

void connection::release_parsed_input()
{
    const std::size_t left = m_input.size() > uncounted_input_bytes ? m_input.size() : 0;
    if (m_counted_input <= left)
        return;
    m_memory.release(m_counted_input - left);
    m_counted_input = left;
}

void connection::release_request()
{
    release_parsed_input();
    m_memory.release(m_memory.bytes() - m_kept_memory - m_counted_input);
}

void connection::trim_buffers()
{
    m_input.shrink_to_fit();
    m_last_read_full = false;
    if (!m_reading)
        std::vector<char>{}.swap(m_read_buffer);
    release_parsed_input();
}

bool connection::may_read() const
{
    return m_input.size() < m_input_limit;
}

bool connection::has_input()
{
    boost::system::error_code failed;
    return m_input.size() > 0 || socket().available(failed) > 0;
}

void connection::release_buffers()
{
    if (m_input.size() == 0)
        trim_buffers();
}

void connection::watch_disconnect(std::function<void()> on_disconnect, bool half_close)
{
    m_on_disconnect = std::move(on_disconnect);
    m_half_close_counts = half_close;
    if (!m_on_disconnect)
        return;
    if (is_disconnected()) {
        std::exchange(m_on_disconnect, nullptr)();
        return;
    }
    trim_buffers();
    if (may_read_ahead() && hold_input())
        start_read();
}

bool connection::is_disconnected() const
{
    return broken() || (m_half_close_counts && half_closed());
}

void connection::start_read()
{
    if (m_reading || m_closed || m_state != input_state::arrived)
        return;
    m_reading = true;
    // The read has a buffer of its own, because consuming m_input may move its memory while the
    // read is pending.
    m_read_buffer.resize(m_read_bytes);
    const net::mutable_buffer target = net::buffer(m_read_buffer);
    const auto done = [self = shared_from_this()](boost::system::error_code failed,
                                                  std::size_t bytes) {
        self->read_done(failed, bytes);
    };
    if (auto* plain = std::get_if<tcp::socket>(&m_stream))
        plain->async_read_some(target, done);
    else
        std::get<std::unique_ptr<tls_stream>>(m_stream)->async_read_some(target, done);
}

void connection::read_done(boost::system::error_code failed, std::size_t bytes)
{
    m_reading = false;
    if (!failed) {
        m_input.max_size(std::max(m_input_limit, m_input.size() + bytes));
        const net::mutable_buffer target = m_input.prepare(bytes);
        m_input.commit(net::buffer_copy(target, net::buffer(m_read_buffer.data(), bytes)));
        m_unreported_input = true;
        m_received += bytes;
        m_last_read_full = bytes == m_read_buffer.size();
    }
    else {
        const bool orderly =
            failed == net::error::eof || failed == net::ssl::error::stream_truncated;
        m_state = orderly ? input_state::ended : input_state::failed;
    }
    m_input_timer.cancel();
    if (!m_on_disconnect)
        return;
    if (is_disconnected())
        std::exchange(m_on_disconnect, nullptr)();
    else if (!failed && may_read_ahead() && hold_input())
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
    // A caller that stops reading would hold its request's memory forever, so the write has a
    // deadline that closes the connection.
    timer deadline{m_input_timer.get_executor(), stall};
    deadline.async_wait([self = weak_from_this()](boost::system::error_code stopped) {
        if (const auto locked = self.lock(); locked && !stopped)
            locked->abort();
    });
    boost::beast::buffers_suffix<out_buffers> rest{buffers};
    rest.consume(sent);
    boost::system::error_code failed;
    m_blocked_since = runtime_clock::now();
    if (auto* plain = std::get_if<tcp::socket>(&m_stream)) {
        co_await net::async_write(*plain, rest, net::redirect_error(net::use_awaitable, failed));
    }
    else {
        co_await net::async_write(*std::get<std::unique_ptr<tls_stream>>(m_stream), rest,
                                  net::redirect_error(net::use_awaitable, failed));
    }
    m_write_wait += runtime_clock::now() - *m_blocked_since;
    m_blocked_since.reset();
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
    // With a linger time of 0 the kernel sends a reset, which no client mistakes for a normal
    // close.
    socket().set_option(net::socket_base::linger{true, 0}, ignored);
    socket().close(ignored);
    m_input_timer.cancel();
}

void connection::close_idle()
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ignored;
    socket().close(ignored);
    m_input_timer.cancel();
}

net::awaitable<void> connection::close(duration linger)
{
    if (m_closed)
        co_return;
    boost::system::error_code ignored;
    if (auto* tls_socket = std::get_if<std::unique_ptr<tls_stream>>(&m_stream)) {
        timer deadline{m_input_timer.get_executor(), linger};
        deadline.async_wait([self = weak_from_this()](boost::system::error_code stopped) {
            if (const auto locked = self.lock(); locked && !stopped)
                locked->abort();
        });
        if (!m_reading) {
            co_await (*tls_socket)
                ->async_shutdown(net::redirect_error(net::use_awaitable, ignored));
        }
    }
    socket().shutdown(tcp::socket::shutdown_send, ignored);
    // Closing with unread input makes the kernel reset the connection, and the caller could lose
    // the response that was just sent. Input is therefore read and discarded first.
    const time_point until = runtime_clock::now() + linger;
    std::size_t drained = 0;
    while (!m_closed && drained < max_drained_bytes && runtime_clock::now() < until) {
        drained += m_input.size();
        m_input.consume(m_input.size());
        const input_state state = co_await wait_for_input(until - runtime_clock::now());
        if (state != input_state::arrived)
            break;
    }
    m_closed = true;
    socket().close(ignored);
}

} // namespace jaynotch
