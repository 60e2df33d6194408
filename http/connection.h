// One accepted TCP connection, with or without TLS: bytes in, bytes out, and word of its end.
//
//   auto caller = std::make_shared<connection>(std::move(socket), tls);
//   if (!co_await caller->handshake(10s)) co_return;
//   while (co_await caller->wait_for_input(10s) == input_state::arrived) parse(caller->input());
//   co_await caller->write(30s, net::buffer(head), net::buffer(body));
//
// At most one read is outstanding; it stays outstanding while an answer is written, so that the
// caller's going away is noticed at once and bytes of a pipelined request are kept.
#pragma once

#include "base/base.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace jaynotch {

namespace net = boost::asio;
using tcp = net::ip::tcp;

enum class input_state {
    arrived,   ///< more bytes are in input()
    ended,     ///< the other side sends nothing more
    failed,    ///< the connection is broken
    timed_out, ///< nothing came in time
};

class connection : public std::enable_shared_from_this<connection> {
public:
    /// `tls` null for plain TCP.
    connection(tcp::socket socket, net::ssl::context* tls);

    /// False if the TLS handshake failed; true at once without TLS.
    net::awaitable<bool> handshake(duration timeout);

    /// Waits until bytes arrive that were not there before.
    net::awaitable<input_state> wait_for_input(duration timeout);
    boost::beast::flat_buffer& input() { return m_input; }
    /// Whether bytes have come that are not consumed, also where no read has seen them yet.
    [[nodiscard]] bool has_input();
    /// Frees the input's memory if it is empty, for connections that idle.
    void release_buffers();

    /// Keeps reading while nobody waits for input, and calls `gone` once if the connection breaks
    /// or, with `half_close` set, if the other side closes its sending half. Stop with
    /// watch_disconnect(nullptr).
    void watch_disconnect(std::function<void()> on_disconnect, bool half_close = false);
    /// Whether the other side has closed its sending half.
    [[nodiscard]] bool half_closed() const { return m_state == input_state::ended; }
    [[nodiscard]] bool broken() const { return m_closed || m_state == input_state::failed; }

    /// False if the connection broke or took no bytes for `stall`.
    net::awaitable<bool> write(duration stall, net::const_buffer first,
                               net::const_buffer second = {}, net::const_buffer third = {});

    /// Ends at once; the other side sees a reset if it still sends.
    void abort();
    /// Ends in order: says that nothing follows and lets the other side read what was sent.
    net::awaitable<void> close(duration linger);

    [[nodiscard]] net::any_io_executor executor() { return m_input_timer.get_executor(); }

private:
    using out_buffers = std::array<net::const_buffer, 3>;
    using tls_stream = net::ssl::stream<tcp::socket>;

    tcp::socket& socket();
    [[nodiscard]] bool is_disconnected() const;
    void start_read();
    void read_done(boost::system::error_code failed, std::size_t bytes);
    net::awaitable<bool> write_rest(out_buffers buffers, std::size_t sent, duration stall);

    std::variant<tcp::socket, std::unique_ptr<tls_stream>> m_stream;
    boost::beast::flat_buffer m_input;
    std::vector<char> m_read_buffer; ///< what the pending read writes to
    timer m_input_timer;             ///< the waiter in wait_for_input; expires as its timeout
    std::function<void()> m_on_disconnect;
    bool m_half_close_counts = false;
    input_state m_state = input_state::arrived;
    bool m_reading = false;
    bool m_unreported_input = false; ///< bytes came in that wait_for_input has not told yet
    bool m_last_read_full = false;   ///< reads come full: the next one gets more room
    bool m_closed = false;
};

} // namespace jaynotch
