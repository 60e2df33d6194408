// One connection of the HTTP client, and the pool of idle connections. Internal to the client.
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

/// A socket, its read buffer and the deadline of the pending operation.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    http_connection(const boost::asio::any_io_executor& executor, std::size_t unparsed_bytes)
        : m_socket{executor}, m_deadline_timer{executor}, m_buffer{unparsed_bytes}
    {}

    /// Closes the socket after `timeout` unless `disarm` is called first.
    void arm(duration timeout);
    void disarm();
    void close();
    [[nodiscard]] bool timed_out() const { return m_timed_out; }
    [[nodiscard]] bool cancelled() const { return m_cancelled; }
    void cancel();
    /// Whether an idle connection can be reused: it is open and has received no unexpected bytes.
    bool is_usable();
    /// Whether the response was read to its end and another request may follow.
    [[nodiscard]] bool reusable() const;
    /// Frees the buffers of an idle connection; a node holds hundreds of them.
    void release_buffers();

    awaitable<boost::system::error_code>
    connect(boost::asio::ip::tcp::endpoint remote,
            std::optional<boost::asio::ip::address> source_address);
    awaitable<boost::system::error_code> send_and_read_header(const http_request& request,
                                                              std::string_view host,
                                                              std::size_t header_bytes);
    awaitable<boost::system::error_code> send_buffered(const http_request& request,
                                                       std::string_view host);
    awaitable<boost::system::error_code> send_streamed(const http_request& request,
                                                       std::string_view host);
    awaitable<result<std::string>> read(duration idle_timeout, bool repeatable);
    /// Reads the header of the next response. `bodiless` is set for the response to a HEAD request.
    awaitable<boost::system::error_code> read_header(std::size_t header_bytes, bool bodiless);
    void set_idle_limit(duration limit) { m_idle_limit = limit; }
    [[nodiscard]] duration idle_limit() const { return m_idle_limit; }

    [[nodiscard]] const response_parser& parser() const { return *m_parser; }
    /// The fields of the response's head, without those of its trailer.
    [[nodiscard]] const boost::beast::http::fields& head() const
    {
        return m_head ? *m_head : m_parser->get().base();
    }

private:
    void wait_for_deadline();

    boost::asio::ip::tcp::socket m_socket;
    timer m_deadline_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    std::optional<boost::beast::http::fields> m_head; ///< of a response that may have a trailer
    std::vector<char> m_read_buffer;                  ///< target of body reads
    bool m_last_read_full = false; ///< the last read filled the buffer; the next uses a larger one
    time_point m_deadline_at;      ///< valid if m_armed
    duration m_idle_limit = duration::max();
    bool m_armed = false;
    bool m_timer_pending = false;
    bool m_timed_out = false;
    bool m_cancelled = false;
    bool m_request_incomplete = false; ///< the request's body was not sent completely
};

/// Idle connections to one server, the most recently used last.
struct http_pool {
    struct idle_connection {
        std::shared_ptr<http_connection> connection;
        time_point since;
    };

    boost::asio::any_io_executor executor;
    std::string address;
    http_limits limits;
    std::deque<idle_connection> idle;

    /// Removes and returns the most recently used connection that can be reused, or null.
    /// Connections that have been idle for too long or were closed by the server are closed.
    std::shared_ptr<http_connection> acquire(duration max_connection_idle);
    /// Adds an idle connection; at the limit the one idle for the longest time is dropped.
    void release(std::shared_ptr<http_connection> connection);
    /// Closes the idle connections that were last used before `time`.
    void close_idle_since_before(time_point time);
};

} // namespace jaynotch
