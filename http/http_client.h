// An HTTP/1.1 client of one server with keep-alive, timeouts and size limits.
//
//   http_client client{executor, address, http_limits{}};
//   result<http_response> answer = co_await client.call(request, std::chrono::seconds{2});
//
//   result<http_stream> stream = co_await client.open(request, timeout);      // reads the header
//   for (;;) {
//       result<std::string> piece = co_await stream.value().read(idle_timeout);
//       if (!piece) ...                        // the response is incomplete
//       if (piece.value().empty()) break;      // end of the response
//   }
//
// A connection whose response was not read to its end is closed and not reused, so that no request
// can receive the rest of another's response. A client must outlive the calls made on it, but not
// its streams.
#pragma once

#include "base/base.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// Limits of a client, whatever the server sends.
struct http_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 8 * 1024 * 1024; ///< of one buffered response; streams are unlimited
    std::size_t idle_connections = 4;         ///< maximum number kept open
    duration idle_connection_timeout = std::chrono::seconds{20}; ///< older ones are not reused
    duration connect_timeout = duration::max();                  ///< part of a call's timeout
    /// Accept responses with neither Content-Length nor chunked encoding, which end when the
    /// connection closes. If the server closes such a connection early, the response looks
    /// complete, so the caller needs another proof that it is, such as a header.
    bool allow_unframed_answers = false;
    /// Received and not parsed yet: the longest header, chunk header or trailer.
    std::size_t unparsed_bytes = 64 * 1024;
    /// Local address of new connections; empty: the system chooses it for each.
    std::optional<boost::asio::ip::address> source_address;
    /// Called before a connection is opened; an error fails the connection. Tests use it to cut a
    /// client off from a server.
    std::function<boost::system::error_code(const std::string& address)> before_connect;
};

struct http_header {
    std::string name;
    std::string value;
};

struct http_request {
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;
    /// Called when a new connection was opened for the request, before `before_send`.
    std::function<void()> on_connected;
    /// Asked after `on_connected`, since opening a connection may take a while; if it returns
    /// false, the request fails as `unavailable` and nothing is sent. Empty: always allowed.
    std::function<bool()> may_send;
    /// Replaces `body`: returns the next bytes, or an empty string at the end. It is not called
    /// while the server accepts no more bytes. Such a request is never sent a second time.
    std::function<awaitable<result<std::string>>()> body_source;
    std::optional<std::uint64_t> body_length; ///< of body_source; chunked if empty
    /// Called when the connection is established, right before the first byte is sent.
    std::function<void()> before_send;
    std::function<void()> on_head; ///< called when the header of the answer has arrived
    /// The request may be sent again on a new connection, after another call of `before_send`, if
    /// the idle connection it was sent on was being closed. Its failures are reported as
    /// deadline_exceeded or unavailable instead of unknown_outcome.
    bool repeatable = false;
    /// Asked before a repeatable request is sent again; if it returns false, the request fails
    /// instead. Empty: always allowed.
    std::function<bool()> may_resend;
    /// Idle connections are reused only up to this idle time. A server may be closing an older one,
    /// and the failure would not show whether the request was executed.
    duration max_connection_idle = duration::max();
};

struct http_response {
    boost::beast::http::status status = boost::beast::http::status::unknown;
    boost::beast::http::fields headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Timeouts of a call whose response may be large. As long as its bytes arrive, the time until it
/// is complete depends on its size and on how many clients share the server's link.
struct call_timeouts {
    duration header; ///< for connecting, sending and the response's header
    duration stall;  ///< without a byte of the body
    duration total;  ///< for the whole exchange
};

class http_connection;
struct http_pool;

/// A response whose body is read piece by piece.
class http_stream {
public:
    http_stream(std::shared_ptr<http_connection> connection, std::shared_ptr<http_pool> pool,
                bool repeatable);
    http_stream(http_stream&&) noexcept;
    http_stream& operator=(http_stream&&) noexcept;
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;
    /// Returns the connection to the pool if the response was read to its end, else closes it.
    ~http_stream();

    [[nodiscard]] boost::beast::http::status status() const;
    [[nodiscard]] const boost::beast::http::fields& headers() const;
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// The Content-Length header; empty if it is missing or not a number.
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;
    /// The next bytes of the body; empty at its end.
    awaitable<result<std::string>> read(duration idle_timeout);
    /// Discards this response, which belongs to an earlier request, and reads the header of the
    /// next one on the connection. False if none arrives within `timeout`.
    awaitable<bool> skip(duration timeout);
    /// Sets how long the connection may stay idle before it is no longer reused, as announced by
    /// the server.
    void set_idle_limit(duration limit);
    /// Closes the connection; a pending read fails with `cancelled`.
    void cancel();

private:
    std::shared_ptr<http_connection> m_connection;
    std::shared_ptr<http_pool> m_pool;
    bool m_repeatable = false;
};

/// Client of one server, with a pool of idle connections.
class http_client {
public:
    http_client(boost::asio::any_io_executor executor, std::string address, http_limits limits);
    ~http_client();
    http_client(http_client&&) noexcept;
    http_client& operator=(http_client&&) noexcept;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and reads the whole response, whatever its status. `timeout` covers the
    /// whole exchange.
    awaitable<result<http_response>> call(http_request request, duration timeout);
    awaitable<result<http_response>> call(http_request request, call_timeouts timeouts);
    /// Sends a request and reads the response's header. `timeout` covers connecting, sending and
    /// the header.
    awaitable<result<http_stream>> open(http_request request, duration timeout);
    /// Whether a new connection to the server can be opened within `timeout`. It is closed again
    /// without a request. The server's process may be stopped: its kernel opens the connection.
    awaitable<bool> can_connect(duration timeout);
    [[nodiscard]] const std::string& address() const;

private:
    std::shared_ptr<http_pool> m_pool;
};

} // namespace jaynotch
