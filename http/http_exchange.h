// One request of a caller and its response, as a handler sees them.
//
//   result<std::string> body = co_await exchange.read_body(limit);        // whole body
//   co_await exchange.answer(http::status::ok, "application/json", text); // Content-Length
//
//   co_await exchange.begin(http::status::ok, headers, std::nullopt);     // chunked
//   while (...) if (!co_await exchange.write(piece)) break;               // disconnected
//   co_await exchange.finish();                                           // or exchange.cut()
#pragma once

#include "base/base.h"
#include "http/connection.h"
#include "http/server_settings.h"

#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

namespace http = boost::beast::http;

using request_parser = http::request_parser<http::buffer_body>;

/// An error response to a caller.
struct refusal {
    error failure;
    ran_state ran = ran_state::no; ///< whether the request was executed
    std::optional<std::chrono::milliseconds> retry_after = std::nullopt;
    /// Replaces the status that status_of gives for the kind, where HTTP has a more specific one.
    std::optional<http::status> status = std::nullopt;
    /// Send Retry-After with fractions of a second, for callers that accept them; RFC 9110 only
    /// allows whole seconds.
    bool fractional_retry_after = false;
};

/// Of a body that is not read, or not read on, since memory is short.
error no_memory_for_body();
/// The HTTP status for a kind of error.
http::status status_of(error_kind kind);
/// The JSON body of an error response: `{"error":{"kind","message","remedy","ran"}}`.
std::string refusal_body(const refusal& refused);

class http_exchange {
public:
    http_exchange(std::shared_ptr<connection> caller, request_parser& parser,
                  const http_timeouts& timeouts, bool keep_alive);

    [[nodiscard]] const http::request_header<>& request() const;
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// The target's path, without the query.
    [[nodiscard]] std::string_view path() const;
    /// The decoded value of the query parameter `name`; empty if it is missing.
    [[nodiscard]] std::string query(std::string_view name) const;
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;
    [[nodiscard]] bool has_body() const;

    /// The next bytes of the body; empty at its end. Sends 100 Continue first if the caller expects
    /// it.
    net::awaitable<result<std::string>> read_some();
    /// The whole body; too_large if it is longer than `limit` bytes. Each byte is counted
    /// `counted_copies` times in memory(); if that isn't granted, the error is `overloaded`.
    net::awaitable<result<std::string>> read_body(std::size_t limit,
                                                  std::size_t counted_copies = 1);

    /// Called once when the request has been read or, before that, is passed on as it arrives.
    void on_received(std::function<void()> handler);
    /// The rest of the body is passed on as it arrives.
    void begin_forwarding() { note_received(); }

    /// Drops what has already arrived of the body, without waiting for more. If that is all of it,
    /// the connection can be used again after a response.
    void skip_received_body();

    [[nodiscard]] net::any_io_executor executor() { return m_caller->executor(); }
    /// What the caller's connection holds for the request, whose end releases it.
    [[nodiscard]] held_memory::account& memory() { return m_caller->memory(); }

    /// Sets a header of the response, whichever call sends it.
    void set(std::string_view name, std::string_view value);

    /// Sends a complete response. Like the other sending calls, returns false if that failed.
    net::awaitable<bool> answer(http::status status, std::string_view content_type,
                                std::string_view body);
    /// Sends a complete error response.
    net::awaitable<bool> refuse(const refusal& refused);
    /// Sends the header of a response whose body follows piece by piece. Without a length the body
    /// is chunked or, for HTTP/1.0, ends when the connection closes.
    net::awaitable<bool> begin(http::status status, const http::fields& headers,
                               std::optional<std::uint64_t> length);
    /// Sends the next bytes of the body.
    net::awaitable<bool> write(std::string_view piece);
    /// Ends a complete response. Fails if fewer bytes than the announced length were written.
    net::awaitable<bool> finish();
    /// Ends an incomplete response and the connection, such that the caller can detect the loss.
    void cut();
    /// Resets the connection at once, even while a write is pending.
    void abort();

    /// Calls `on_disconnect` once when the caller disconnects or, with `half_close` set, when it
    /// closes its sending half. The body must have been read.
    void watch_caller(std::function<void()> on_disconnect, bool half_close);
    void unwatch_caller();
    [[nodiscard]] bool caller_gone() const { return m_caller->broken(); }
    [[nodiscard]] bool half_closed() const { return m_caller->half_closed(); }
    /// Ends a response without a length by closing the connection instead of chunking it, as the
    /// server did from which the response is forwarded.
    void close_delimited() { m_close_delimited = true; }

    [[nodiscard]] bool header_sent() const { return m_header_sent; }
    [[nodiscard]] bool answered() const { return m_answered; }
    [[nodiscard]] bool keeps_alive() const { return m_keep_alive; }
    void close_after_answer() { m_keep_alive = false; }
    /// Bytes of the response's body that were passed to the connection.
    [[nodiscard]] std::uint64_t bytes_sent() const { return m_sent; }

private:
    enum class framing { length, chunked, until_close, none };

    void note_received();
    std::string head(http::status status, const http::fields& headers,
                     std::optional<std::uint64_t> length);
    net::awaitable<bool> send_continue();
    /// Parses what has arrived; the next bytes of the body go to `target`. Returns how many.
    std::size_t parse_received(char* target, std::size_t size, boost::system::error_code& failed);
    net::awaitable<result<void>> read_more_input();
    net::awaitable<bool> send(net::const_buffer first, net::const_buffer second = {},
                              net::const_buffer third = {});
    /// How long the caller may take for the next bytes, within `timeout`, after it has taken
    /// `spent` for `bytes`.
    [[nodiscard]] duration time_left(duration timeout, duration spent, std::uint64_t bytes) const;

    std::shared_ptr<connection> m_caller;
    request_parser& m_parser;
    const http_timeouts& m_timeouts;
    std::function<void()> m_on_received;      ///< empty after its call
    std::vector<std::string> m_extra_headers; ///< alternating names and values
    framing m_framing = framing::length;
    std::uint64_t m_sent = 0;
    std::uint64_t m_written = 0;         ///< bytes of the response, with header and framing
    duration m_write_wait_before{0};     ///< of the connection, before the response
    std::uint64_t m_received_before = 0; ///< on the connection, before the body
    duration m_body_time{0};             ///< for which the body was awaited
    std::uint64_t m_announced_length = 0;
    bool m_continue_pending = false;
    bool m_keep_alive = true;
    bool m_close_delimited = false;
    bool m_header_sent = false;
    bool m_answered = false;
};

} // namespace jaynotch
