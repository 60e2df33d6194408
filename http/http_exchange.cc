#include "http/http_exchange.h"

#include "http/hop_headers.h"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

// Beast parses requests and renders response headers; the bytes go through `connection`, which
// keeps a read pending. A caller recognises a complete response by its length or its last chunk, so
// an incomplete one is marked by leaving these out.

namespace jaynotch {

namespace {

constexpr std::size_t body_read_bytes = 16 * 1024;

/// Reason phrase of a status that the library has no name for. Clients ignore the phrase.
constexpr std::string_view unnamed_reason = "Unnamed";

std::string render(const http::response<http::empty_body>& message)
{
    http::response_serializer<http::empty_body> serializer{message};
    std::string text;
    boost::system::error_code failed;
    while (!serializer.is_header_done()) {
        serializer.next(failed, [&](boost::system::error_code& /*failed*/, const auto& buffers) {
            text += boost::beast::buffers_to_string(buffers);
            serializer.consume(boost::beast::buffer_bytes(buffers));
        });
        if (failed)
            break;
    }
    return text;
}

std::string retry_after_text(std::chrono::milliseconds wait, bool fractional_retry_after)
{
    constexpr std::int64_t ms_in_second = 1000;
    if (!fractional_retry_after)
        return std::to_string((wait.count() + ms_in_second - 1) / ms_in_second);
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.3f",
                                     static_cast<double>(wait.count()) / ms_in_second);
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

http::status status_of(error_kind kind)
{
    switch (kind) {
    case error_kind::invalid_argument:
    case error_kind::invalid_table:
        return http::status::bad_request;
    case error_kind::conflict:
        return http::status::conflict;
    case error_kind::not_found:
        return http::status::not_found;
    case error_kind::unauthorized:
        return http::status::unauthorized;
    case error_kind::too_large:
        return http::status::payload_too_large;
    case error_kind::rate_limited:
        return http::status::too_many_requests;
    case error_kind::overloaded:
    case error_kind::unavailable:
        return http::status::service_unavailable;
    case error_kind::deadline_exceeded:
        return http::status::gateway_timeout;
    case error_kind::protocol:
    case error_kind::unknown_outcome:
        return http::status::bad_gateway;
    case error_kind::cancelled:
    case error_kind::internal:
        break;
    }
    return http::status::internal_server_error;
}

error no_memory_for_body()
{
    return {error_kind::overloaded, "no memory is left here for the request's body",
            "come back after the time in Retry-After"};
}

std::string refusal_body(const refusal& refused)
{
    return boost::json::serialize(boost::json::object{{"error",
                                                       {{"kind", to_name(refused.failure.kind)},
                                                        {"message", refused.failure.message},
                                                        {"remedy", refused.failure.remedy},
                                                        {"ran", to_name(refused.ran)}}}});
}

http_exchange::http_exchange(std::shared_ptr<connection> caller, request_parser& parser,
                             const http_timeouts& timeouts, bool keep_alive)
    : m_caller{std::move(caller)}, m_parser{parser}, m_timeouts{timeouts}, m_keep_alive{
                                                                               keep_alive &&
                                                                               parser.keep_alive()}
{
    m_received_before = m_caller->received();
    m_write_wait_before = m_caller->write_wait();
    m_continue_pending =
        boost::beast::iequals(parser.get()[http::field::expect], "100-continue") && has_body();
}

const http::request_header<>& http_exchange::request() const
{
    return m_parser.get();
}

std::string_view http_exchange::header(std::string_view name) const
{
    const boost::beast::string_view field_name{name.data(), name.size()};
    const auto found = m_parser.get().find(field_name);
    if (found == m_parser.get().end())
        return {};
    return {found->value().data(), found->value().size()};
}

std::string_view http_exchange::path() const
{
    const auto target = m_parser.get().target();
    const std::string_view content{target.data(), target.size()};
    return content.substr(0, content.find('?'));
}

std::string http_exchange::query(std::string_view name) const
{
    const auto parsed = boost::urls::parse_origin_form(m_parser.get().target());
    if (!parsed)
        return {};
    const auto parameters = parsed->params();
    const auto found = parameters.find(boost::urls::string_view{name.data(), name.size()});
    return found == parameters.end() ? std::string{} : std::string{(*found).value};
}

std::optional<std::uint64_t> http_exchange::content_length() const
{
    const auto length = m_parser.content_length();
    return length ? std::optional<std::uint64_t>{*length} : std::nullopt;
}

bool http_exchange::has_body() const
{
    return m_parser.chunked() || content_length().value_or(0) > 0;
}

void http_exchange::on_received(std::function<void()> handler)
{
    m_on_received = std::move(handler);
    if (m_parser.is_done())
        note_received();
}

void http_exchange::note_received()
{
    if (m_on_received)
        std::exchange(m_on_received, nullptr)();
}

net::awaitable<bool> http_exchange::send_continue()
{
    m_continue_pending = false;
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    co_return co_await send(net::buffer(text));
}

duration http_exchange::time_left(duration timeout, duration spent, std::uint64_t bytes) const
{
    const std::chrono::duration<double> earned{static_cast<double>(bytes) /
                                               static_cast<double>(m_timeouts.min_bytes_s)};
    const duration left = timeout + std::chrono::duration_cast<duration>(earned) - spent;
    return std::clamp(left, duration{0}, timeout);
}

net::awaitable<bool> http_exchange::send(net::const_buffer first, net::const_buffer second,
                                         net::const_buffer third)
{
    const duration waited = m_caller->write_wait() - m_write_wait_before;
    const duration stall = time_left(m_timeouts.write_stall, waited, m_written);
    m_written += first.size() + second.size() + third.size();
    co_return co_await m_caller->write(stall, first, second, third);
}

net::awaitable<result<void>> http_exchange::read_more_input()
{
    const time_point from = runtime_clock::now();
    const duration longest_wait =
        time_left(m_timeouts.body_stall, m_body_time, m_caller->received() - m_received_before);
    const input_state state = co_await m_caller->wait_for_input(longest_wait);
    m_body_time += runtime_clock::now() - from;
    switch (state) {
    case input_state::arrived:
        co_return success();
    case input_state::timed_out:
        m_keep_alive = false;
        co_return error{error_kind::deadline_exceeded, "the request's body did not come",
                        "send the body without pauses"};
    case input_state::no_memory:
        m_keep_alive = false;
        co_return no_memory_for_body();
    case input_state::full:
        m_keep_alive = false;
        co_return error{error_kind::invalid_argument,
                        "a chunk's header or the trailers of the body are too long",
                        "send shorter chunk extensions and trailers"};
    case input_state::ended:
    case input_state::failed:
        break;
    }
    m_keep_alive = false;
    co_return error{error_kind::cancelled, "the connection ended before the request's body did",
                    "send as many bytes as the request's length says"};
}

std::size_t http_exchange::parse_received(char* target, std::size_t size,
                                          boost::system::error_code& failed)
{
    auto& body = m_parser.get().body();
    body.data = target;
    body.size = size;
    body.more = true;
    auto& input = m_caller->input();
    if (input.size() > 0)
        input.consume(m_parser.put(input.data(), failed));
    else
        failed = http::error::need_more;
    return size - body.size;
}

net::awaitable<result<std::string>> http_exchange::read_some()
{
    if (m_parser.is_done())
        co_return std::string{};
    if (m_continue_pending) {
        const bool sent = co_await send_continue();
        if (!sent)
            co_return error{error_kind::cancelled, "the caller is gone", ""};
    }
    for (;;) {
        boost::system::error_code failed;
        std::string piece(std::min(body_read_bytes, m_caller->input().size()), '\0');
        const std::size_t bytes_read = parse_received(piece.data(), piece.size(), failed);
        if (m_parser.is_done())
            note_received();
        piece.resize(bytes_read);
        if (!piece.empty() || m_parser.is_done())
            co_return piece;
        if (failed && failed != http::error::need_more) {
            m_keep_alive = false;
            if (failed == http::error::body_limit)
                co_return error{error_kind::too_large, "the request's body is too large",
                                "send a smaller body"};
            co_return error{error_kind::invalid_argument,
                            "the request's body is malformed: " + failed.message(),
                            "send a body as its Content-Length or chunked framing says"};
        }
        const result<void> more = co_await read_more_input();
        if (!more)
            co_return more.error();
    }
}

net::awaitable<result<std::string>> http_exchange::read_body(std::size_t limit,
                                                             std::size_t counted_copies)
{
    std::string content;
    if (content_length().value_or(0) > limit) {
        m_keep_alive = false;
        co_return error{error_kind::too_large,
                        "the request's body is over " + std::to_string(limit) + " bytes",
                        "send a smaller body"};
    }
    while (!m_parser.is_done()) {
        const result<std::string> piece = co_await read_some();
        if (!piece)
            co_return piece.error();
        if (content.size() + piece.value().size() > limit) {
            m_keep_alive = false;
            co_return error{error_kind::too_large,
                            "the request's body is over " + std::to_string(limit) + " bytes",
                            "send a smaller body"};
        }
        const bool held = co_await memory().hold_or_wait(
            m_caller->executor(), counted_copies * piece.value().size(), held_for::body);
        if (!held) {
            m_keep_alive = false;
            co_return no_memory_for_body();
        }
        content += piece.value();
    }
    co_return content;
}

void http_exchange::skip_received_body()
{
    constexpr std::size_t piece_bytes = 1024;
    std::array<char, piece_bytes> dropped{};
    auto& input = m_caller->input();
    bool moves = true;
    while (moves && !m_parser.is_done()) {
        const std::size_t before = input.size();
        boost::system::error_code failed;
        parse_received(dropped.data(), dropped.size(), failed);
        moves = input.size() < before &&
                (!failed || failed == http::error::need_more || failed == http::error::need_buffer);
    }
}

void http_exchange::set(std::string_view name, std::string_view value)
{
    m_extra_headers.emplace_back(name);
    m_extra_headers.emplace_back(value);
}

std::string http_exchange::head(http::status status, const http::fields& headers,
                                std::optional<std::uint64_t> length)
{
    http::response<http::empty_body> message;
    message.version(m_parser.get().version());
    message.result(status);
    if (message.result() == http::status::unknown) // has no name in the library
        message.reason({unnamed_reason.data(), unnamed_reason.size()});
    for (const auto& field : headers) {
        if (!is_response_hop_header(field.name()))
            message.insert(field.name(), field.name_string(), field.value());
    }
    for (std::size_t at = 0; at + 1 < m_extra_headers.size(); at += 2)
        message.set(m_extra_headers[at], m_extra_headers[at + 1]);
    const bool bodiless = status == http::status::no_content ||
                          status == http::status::not_modified ||
                          to_status_class(status) == http::status_class::informational;
    const bool head_only = m_parser.get().method() == http::verb::head;
    m_framing = framing::none;
    if (length && !(bodiless && *length == 0)) {
        message.content_length(*length);
        m_announced_length = *length;
        m_framing = framing::length;
    }
    else if (!length && !bodiless) {
        m_framing =
            message.version() >= 11 && !m_close_delimited ? framing::chunked : framing::until_close;
        message.chunked(m_framing == framing::chunked);
    }
    if (bodiless || head_only)
        m_framing = framing::none;
    // The unread rest of a request body would be parsed as the next request.
    if (!m_parser.is_done() || m_framing == framing::until_close)
        m_keep_alive = false;
    message.keep_alive(m_keep_alive);
    return render(message);
}

net::awaitable<bool> http_exchange::answer(http::status status, std::string_view content_type,
                                           std::string_view body)
{
    http::fields headers;
    if (!content_type.empty())
        headers.set(http::field::content_type, content_type);
    const std::string header_text = head(status, headers, body.size());
    m_header_sent = true;
    m_answered = true;
    m_sent = m_framing == framing::none ? 0 : body.size();
    const net::const_buffer payload =
        m_framing == framing::none ? net::const_buffer{} : net::buffer(body);
    co_return co_await send(net::buffer(header_text), payload);
}

net::awaitable<bool> http_exchange::refuse(const refusal& refused)
{
    set("jaynotch-ran", to_name(refused.ran));
    if (refused.retry_after)
        set("Retry-After", retry_after_text(*refused.retry_after, refused.fractional_retry_after));
    co_return co_await answer(refused.status.value_or(status_of(refused.failure.kind)),
                              "application/json", refusal_body(refused));
}

net::awaitable<bool> http_exchange::begin(http::status status, const http::fields& headers,
                                          std::optional<std::uint64_t> length)
{
    const std::string header_text = head(status, headers, length);
    m_header_sent = true;
    co_return co_await send(net::buffer(header_text));
}

net::awaitable<bool> http_exchange::write(std::string_view piece)
{
    if (piece.empty() || m_framing == framing::none)
        co_return true;
    if (m_framing == framing::length && m_sent + piece.size() > m_announced_length)
        co_return false;
    m_sent += piece.size();
    if (m_framing != framing::chunked) {
        co_return co_await send(net::buffer(piece));
    }
    std::array<char, 20> size_line{};
    const int digits = std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", piece.size());
    co_return co_await send(net::buffer(size_line.data(), std::size_t(digits)), net::buffer(piece),
                            net::buffer("\r\n", 2));
}

net::awaitable<bool> http_exchange::finish()
{
    m_answered = true;
    if (m_framing == framing::length && m_sent != m_announced_length) {
        cut();
        co_return false;
    }
    if (m_framing != framing::chunked)
        co_return true;
    static constexpr std::string_view last_chunk = "0\r\n\r\n";
    co_return co_await send(net::buffer(last_chunk));
}

void http_exchange::cut()
{
    m_answered = true;
    m_keep_alive = false;
    // Missing bytes or a missing last chunk show that the response is incomplete. If neither frames
    // it, a normal close would make it look complete, so the connection is reset.
    if (!m_header_sent || m_framing == framing::until_close || m_framing == framing::none)
        m_caller->abort();
}

void http_exchange::abort()
{
    m_answered = true;
    m_keep_alive = false;
    m_caller->abort();
}

void http_exchange::watch_caller(std::function<void()> on_disconnect, bool half_close)
{
    m_caller->watch_disconnect(std::move(on_disconnect), half_close);
}

void http_exchange::unwatch_caller()
{
    m_caller->watch_disconnect(nullptr);
}

} // namespace jaynotch
