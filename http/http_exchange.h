// One request of a caller and its answer, as a handler sees it.
//
//   result<std::string> body = co_await exchange.read_body(limit);        // whole, bounded
//   co_await exchange.answer(http::status::ok, "application/json", text); // whole, with length
//
//   co_await exchange.begin(http::status::ok, headers, std::nullopt);     // chunked
//   while (...) if (!co_await exchange.write(piece)) break;               // the caller is gone
//   co_await exchange.finish();                                           // or exchange.cut()
#pragma once

#include "base/base.h"
#include "http/connection.h"
#include "http/server_settings.h"

#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

namespace http = boost::beast::http;

using request_parser = http::request_parser<http::buffer_body>;

/// How a refusal is put to a caller.
struct refusal {
    error failure;
    ran_state ran = ran_state::no;
    std::optional<std::chrono::milliseconds> retry_after = std::nullopt;
    /// Overrides the status that goes with the kind, where HTTP has a more telling one.
    std::optional<http::status> status = std::nullopt;
    /// Whether the callers read fractions of a second in Retry-After. By RFC 9110 they need not.
    bool fractional_retry_after = false;
};

/// The status that goes with a kind of error.
http::status status_of(error_kind kind);
/// `{"error":{"kind","message","remedy","ran"}}`.
std::string refusal_body(const refusal& refused);

class http_exchange {
public:
    http_exchange(std::shared_ptr<connection> caller, request_parser& parser,
                  const http_timeouts& timeouts, bool keep_alive);

    [[nodiscard]] const http::request_header<>& request() const;
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// The target's path, without the query.
    [[nodiscard]] std::string_view path() const;
    /// The value of `name` in the target's query, decoded; empty if it isn't there.
    [[nodiscard]] std::string query(std::string_view name) const;
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;
    [[nodiscard]] bool has_body() const;

    /// The next bytes of the body; empty at its end. Says 100-continue first if it was asked for.
    net::awaitable<result<std::string>> read_some();
    /// The whole body, or too_large.
    net::awaitable<result<std::string>> read_body(std::size_t limit);

    /// Headers that go out with whatever answer follows.
    void set(std::string_view name, std::string_view value);

    net::awaitable<bool> answer(http::status status, std::string_view content_type,
                                std::string_view body);
    net::awaitable<bool> refuse(const refusal& refused);
    /// Sends the head of an answer whose body follows piece by piece; without a length it is
    /// chunked, or ended by the connection's end for HTTP/1.0.
    net::awaitable<bool> begin(http::status status, const http::fields& headers,
                               std::optional<std::uint64_t> length);
    net::awaitable<bool> write(std::string_view piece);
    /// The answer is whole.
    net::awaitable<bool> finish();
    /// The answer is not whole: ends the connection so that the caller can tell.
    void cut();
    /// Resets the connection at once, also under a write that waits.
    void abort();

    /// Calls `gone` once if the caller is known to have left, or with `half_close` set says that it
    /// sends nothing more; the body must have been read.
    void watch_caller(std::function<void()> on_disconnect, bool half_close);
    void unwatch_caller();
    [[nodiscard]] bool caller_gone() const { return m_caller->broken(); }
    [[nodiscard]] bool half_closed() const { return m_caller->half_closed(); }
    /// An answer without a length that says nothing of its end: passes on the framing of a server
    /// that ends its answer by closing the connection.
    void close_delimited() { m_close_delimited = true; }

    [[nodiscard]] bool header_sent() const { return m_header_sent; }
    [[nodiscard]] bool answered() const { return m_answered; }
    [[nodiscard]] bool keeps_alive() const { return m_keep_alive; }
    void close_after_answer() { m_keep_alive = false; }
    /// Bytes of the answer's body that were handed to the connection.
    [[nodiscard]] std::uint64_t bytes_sent() const { return m_sent; }

private:
    enum class framing { length, chunked, until_close, none };

    std::string head(http::status status, const http::fields& headers,
                     std::optional<std::uint64_t> length);
    net::awaitable<bool> send_continue();
    net::awaitable<result<void>> read_more_input();

    std::shared_ptr<connection> m_caller;
    request_parser& m_parser;
    const http_timeouts& m_timeouts;
    std::vector<std::string> m_extra_headers; ///< names and values by turns
    framing m_framing = framing::length;
    std::uint64_t m_sent = 0;
    std::uint64_t m_announced_length = 0;
    bool m_continue_pending = false;
    bool m_keep_alive = true;
    bool m_close_delimited = false;
    bool m_header_sent = false;
    bool m_answered = false;
};

} // namespace jaynotch
