// One connection of the HTTP client and the pool that keeps idle ones; private to the client.
#pragma once

#include "http/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace jaynotch {

/// A socket, what was read beyond the answer's header, and the deadline over both.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    explicit http_connection(const boost::asio::any_io_executor& executor)
        : m_socket{executor}, m_deadline_timer{executor}
    {}

    /// Closes the socket `timeout` from now unless `disarm` comes first.
    void arm(duration timeout);
    void disarm();
    void close();
    [[nodiscard]] bool timed_out() const { return m_timed_out; }
    [[nodiscard]] bool cancelled() const { return m_cancelled; }
    void cancel();
    /// Whether an idle connection can be used: open, and nothing unasked for came in.
    bool is_usable();
    /// Whether the answer was read whole and another request may follow it.
    [[nodiscard]] bool reusable() const;
    /// Gives back what an idle connection has no use for: a node holds hundreds of them.
    void release_buffers();

    awaitable<boost::system::error_code> connect(boost::asio::ip::tcp::endpoint remote);
    awaitable<boost::system::error_code> send_and_read_header(const http_request& request,
                                                              std::string_view host,
                                                              std::size_t header_bytes);
    awaitable<boost::system::error_code> send_buffered(const http_request& request,
                                                       std::string_view host);
    awaitable<boost::system::error_code> send_streamed(const http_request& request,
                                                       std::string_view host);
    awaitable<result<std::string>> read(duration idle_timeout, bool repeatable);
    /// Reads the header of the next answer.
    awaitable<boost::system::error_code> read_header(std::size_t header_bytes, bool bodiless);
    void set_idle_limit(duration limit) { m_idle_limit = limit; }
    [[nodiscard]] duration idle_limit() const { return m_idle_limit; }

    [[nodiscard]] const response_parser& parser() const { return *m_parser; }

private:
    void wait_for_deadline();

    boost::asio::ip::tcp::socket m_socket;
    timer m_deadline_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    std::vector<char> m_read_buffer; ///< what the body is read into
    bool m_last_read_full = false;   ///< the last read came full: the next one gets more room
    time_point m_deadline_at;        ///< the deadline, if armed
    duration m_idle_limit = duration::max();
    bool m_armed = false;
    bool m_timer_pending = false;
    bool m_timed_out = false;
    bool m_cancelled = false;
    bool m_request_incomplete = false; ///< the request's body was not sent to its end
};

/// Idle connections to one server.
struct http_pool {
    struct idle_connection {
        std::shared_ptr<http_connection> connection;
        time_point since;
    };

    boost::asio::any_io_executor executor;
    std::string address;
    http_limits limits;
    std::deque<idle_connection> idle;

    std::shared_ptr<http_connection> acquire(duration max_connection_idle);
    void release(std::shared_ptr<http_connection> connection);
};

} // namespace jaynotch
