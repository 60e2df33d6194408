// A keep-alive HTTP/1.1 client for one server, with timeouts and bounded sizes.
//
//   http_client client{executor, address, http_limits{}};
//   result<http_response> answer = co_await client.call(request, std::chrono::seconds{2});
//
//   result<http_stream> stream = co_await client.open(request, timeout);      // until the header
//   for (;;) {
//       result<std::string> piece = co_await stream.value().read(idle_timeout);
//       if (!piece) ...                        // cut: the answer is not whole
//       if (piece.value().empty()) break;      // whole
//   }
//
// A connection with an unfinished answer is closed, never used again, so an answer can't reach
// the wrong caller. A client must outlive the calls made on it, but not its streams.
#pragma once

#include "base/base.h"

#include <boost/asio/any_io_executor.hpp>
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

/// Sizes that hold whatever the other side sends.
struct http_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 8 * 1024 * 1024; ///< of one buffered answer; streams have no end
    std::size_t idle_connections = 4;         ///< kept for later calls
    duration idle_connection_timeout = std::chrono::seconds{20};
    duration connect_timeout = duration::max(); ///< of a call's timeout, for connecting
    /// Take answers with neither length nor chunks, which end with their connection. One that is
    /// cut in an orderly way can't be told from a whole one, so a mark in its headers must vouch
    /// for it.
    bool allow_unframed_answers = false;
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
    /// Instead of `body`: gives the next bytes, none at the end. Nothing is asked of it while the
    /// server takes nothing. Such a request is never sent a second time.
    std::function<awaitable<result<std::string>>()> body_source;
    std::optional<std::uint64_t> body_length; ///< of body_source; chunked if unknown
    /// Called once a connection stands, right before the first byte may leave.
    std::function<void()> before_send;
    /// May be sent again on a fresh connection if an idle one turned out to be closing, with
    /// another call of `before_send`; its failure is deadline_exceeded or unavailable instead of
    /// unknown_outcome.
    bool repeatable = false;
    /// An idle connection is used only if it has idled no longer: the server may be closing it, and
    /// what was sent then can't be told from what ran.
    duration max_connection_idle = duration::max();
};

struct http_response {
    boost::beast::http::status status = boost::beast::http::status::unknown;
    boost::beast::http::fields headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const;
};

class http_connection;
struct http_pool;

/// An answer whose body is read piece by piece.
class http_stream {
public:
    http_stream(std::shared_ptr<http_connection> connection, std::shared_ptr<http_pool> pool,
                bool repeatable);
    http_stream(http_stream&&) noexcept;
    http_stream& operator=(http_stream&&) noexcept;
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;
    /// Closes the connection unless the answer was read whole.
    ~http_stream();

    [[nodiscard]] boost::beast::http::status status() const;
    [[nodiscard]] const boost::beast::http::fields& headers() const;
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// As the header states it; nothing if it is missing or no number.
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;
    /// The next bytes of the body; empty once the body is whole.
    awaitable<result<std::string>> read(duration idle_timeout);
    /// Passes over this answer, which belongs to an earlier request, to the one that follows on the
    /// connection. False if there is none in time.
    awaitable<bool> skip(duration timeout);
    /// The server closes an idle connection after `limit`, as it says.
    void set_idle_limit(duration limit);
    /// Closes the connection; a read that waits ends with `cancelled`.
    void cancel();

private:
    std::shared_ptr<http_connection> m_connection;
    std::shared_ptr<http_pool> m_pool;
    bool m_repeatable = false;
};

/// Client of one server.
class http_client {
public:
    http_client(boost::asio::any_io_executor executor, std::string address, http_limits limits);
    ~http_client();
    http_client(http_client&&) noexcept;
    http_client& operator=(http_client&&) noexcept;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and reads the whole answer, of any status. `timeout` covers all of it.
    awaitable<result<http_response>> call(http_request request, duration timeout);
    /// Sends a request and reads the answer's header. `timeout` covers connecting up to it.
    awaitable<result<http_stream>> open(http_request request, duration timeout);
    [[nodiscard]] const std::string& address() const;

private:
    std::shared_ptr<http_pool> m_pool;
};

} // namespace jaynotch
