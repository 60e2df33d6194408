// One accepted TCP connection, plain or TLS: buffered reads, bounded writes and notice of its end.
//
//   auto caller = std::make_shared<connection>(std::move(socket), tls);
//   if (!co_await caller->handshake(10s)) co_return;
//   while (co_await caller->wait_for_input(10s) == input_state::arrived) parse(caller->input());
//   co_await caller->write(30s, net::buffer(head), net::buffer(body));
//
// At most one read is pending. It stays pending while a response is written, so that a disconnect
// is detected at once and the bytes of a pipelined request are kept for later.
#pragma once

#include "base/base.h"
#include "http/held_memory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace jaynotch {

namespace net = boost::asio;
using tcp = net::ip::tcp;

enum class input_state {
    arrived,   ///< input() holds new bytes
    ended,     ///< the peer has closed its sending half
    failed,    ///< the connection is broken
    timed_out, ///< no bytes arrived before the timeout
    full,      ///< input() holds as many bytes as it may, and none were consumed
    no_memory, ///< no memory is granted for more input
};

class connection : public std::enable_shared_from_this<connection> {
public:
    /// `tls` is null for plain TCP. What the connection's requests hold is counted in `memory`.
    connection(tcp::socket socket, net::ssl::context* tls, held_memory::account memory);

    /// Performs the TLS handshake. False if it failed or took longer than `timeout`; always true
    /// for plain TCP.
    net::awaitable<bool> handshake(duration timeout);

    /// Waits until input() has received bytes that no earlier call has reported.
    net::awaitable<input_state> wait_for_input(duration timeout);
    /// Lets pending and later waits for input time out at once.
    void expire_input();
    boost::beast::flat_buffer& input() { return m_input; }
    /// Bounds the bytes in input(): nothing more is read while it holds as many.
    void limit_input(std::size_t bytes);
    /// Whether unconsumed bytes exist, in input() or still in the kernel's receive buffer.
    [[nodiscard]] bool has_input();
    /// Frees the read buffers of an idle connection; does nothing if input() holds bytes.
    void release_buffers();

    /// Keeps reading while nobody waits for input, and calls `on_disconnect` once when the
    /// connection breaks or, with `half_close` set, when the peer closes its sending half.
    /// watch_disconnect(nullptr) stops watching.
    void watch_disconnect(std::function<void()> on_disconnect, bool half_close = false);
    /// Whether the peer has closed its sending half.
    [[nodiscard]] bool half_closed() const { return m_state == input_state::ended; }
    /// When the pending write began to wait for the peer; nullopt: none waits.
    [[nodiscard]] std::optional<time_point> blocked_since() const { return m_blocked_since; }
    /// For how long writes have waited for the peer in all.
    [[nodiscard]] duration write_wait() const { return m_write_wait; }
    /// Whether this end has closed the connection.
    [[nodiscard]] bool closed() const { return m_closed; }
    [[nodiscard]] bool broken() const { return m_closed || m_state == input_state::failed; }

    /// Writes the buffers in order. False if the connection broke or the write did not complete
    /// within `stall`.
    net::awaitable<bool> write(duration stall, net::const_buffer first,
                               net::const_buffer second = {}, net::const_buffer third = {});

    /// Closes the connection at once with a TCP reset. The peer may lose what it has not read yet.
    void abort();
    /// Closes an idle connection at once, without a reset unless the peer sends more. What the peer
    /// has not read yet is still delivered by the kernel.
    void close_idle();
    /// Closes the connection gracefully: closes the sending half, then discards input for up to
    /// `linger` so that the peer can read what was sent.
    net::awaitable<void> close(duration linger);

    /// What the connection holds. A request's part is released with release_request().
    [[nodiscard]] held_memory::account& memory() { return m_memory; }
    void release_request();
    /// Bytes received so far.
    [[nodiscard]] std::uint64_t received() const { return m_received; }

    [[nodiscard]] net::any_io_executor executor() { return m_input_timer.get_executor(); }

private:
    static constexpr std::size_t default_input_limit = 64 * 1024;
    using out_buffers = std::array<net::const_buffer, 3>;
    using tls_stream = net::ssl::stream<tcp::socket>;

    tcp::socket& socket();
    [[nodiscard]] bool is_disconnected() const;
    /// Whether another read may be started.
    [[nodiscard]] bool may_read() const;
    /// The same while a request is being served.
    [[nodiscard]] bool may_read_ahead() const;
    /// Counts the input with a further read in m_memory, and chooses the size of that read. False
    /// if the memory is not granted.
    bool hold_input();
    /// Counts no more than what is still in m_input.
    void release_parsed_input();
    void start_read();
    /// Frees what the buffers hold beyond the unconsumed input.
    void trim_buffers();
    void read_done(boost::system::error_code failed, std::size_t bytes);
    net::awaitable<bool> write_rest(out_buffers buffers, std::size_t sent, duration stall);

    /// With TLS, a stream takes the socket's place once the client has sent something.
    std::variant<tcp::socket, std::unique_ptr<tls_stream>> m_stream;
    net::ssl::context* m_tls; ///< null: plain TCP
    held_memory::account m_memory;
    std::size_t m_kept_memory = 0;   ///< part of m_memory that stays until the end
    std::size_t m_counted_input = 0; ///< part of m_memory
    std::size_t m_read_bytes = 0;    ///< size of the next read
    boost::beast::flat_buffer m_input;
    std::vector<char> m_read_buffer;                 ///< target of the pending read
    std::size_t m_input_limit = default_input_limit; ///< of m_input, in bytes
    timer m_input_timer; ///< wakes wait_for_input; cancelled on input, expires as its timeout
    std::uint64_t m_received = 0;
    std::optional<time_point> m_blocked_since;
    duration m_write_wait{0};
    std::function<void()> m_on_disconnect;
    bool m_half_close_counts = false; ///< a half-closed connection counts as disconnected
    input_state m_state = input_state::arrived;
    bool m_reading = false;
    bool m_unreported_input = false; ///< bytes that wait_for_input has not reported yet
    bool m_last_read_full = false; ///< the last read filled the buffer; the next uses a larger one
    bool m_input_expired = false;  ///< waits for input time out at once
    bool m_closed = false;
};

} // namespace jaynotch
