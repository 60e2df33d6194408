#include "daemon/relay_headers.h"
#include "daemon/relay_way.h"
#include "daemon/sse.h"
#include "platform/platform.h"

#include <boost/asio/use_awaitable.hpp>

// Requests that are passed on unchanged: the body is not interpreted, all that routing needs is in
// the headers.
//
// - forward_events(): a stream of events with increasing ids. Nothing is passed on before the first
//   complete event, so that the request can still be retried elsewhere if the server fails earlier.
//   When another server resumes the stream, events that the caller already has are dropped by id.
// - forward_buffered(): any other answer is buffered and delivered only when complete.
//
// An answer that names another attempt is a late answer to an earlier request on the same
// connection. It is skipped, and the next answer on the connection is read instead. A success
// without the server's seal can't be attributed to that server and is never delivered.

namespace jaynotch {

namespace {

constexpr std::size_t max_foreign_answers = 2;
/// A connection that has been idle longer may be closing on the server's side. Requests that can't
/// be repeated don't use it.
constexpr duration max_idle_if_not_repeatable = std::chrono::milliseconds{500};
/// Subtracted from the idle limit that the server announces, so that a request sent at the last
/// moment arrives before the server closes the connection.
constexpr duration idle_margin = std::chrono::milliseconds{500};

bool is_success(http::status status)
{
    return http::to_status_class(status) == http::status_class::successful;
}

} // namespace

refusal relay_request::impl::make_refusal(const refuse& cmd) const
{
    refusal reply{.failure = cmd.failure, .ran = cmd.ran, .retry_after = cmd.retry_after};
    if (!m_incoming.metadata)
        return reply;
    reply.fractional_retry_after = true;
    // Callers take 503 and 429 to mean that the request did not run, so these are used only if that
    // is certain.
    const http::status default_status = status_of(cmd.failure.kind);
    const bool promises_not_run = default_status == http::status::service_unavailable ||
                                  default_status == http::status::too_many_requests;
    if (cmd.ran == ran_state::no && default_status == http::status::gateway_timeout)
        reply.status = http::status::service_unavailable;
    else if (cmd.ran != ran_state::no && promises_not_run)
        reply.status = http::status::bad_gateway;
    return reply;
}

http_request relay_request::impl::build_forwarded_request(const attempt_state& attempt) const
{
    const auto& received = m_exchange.request();
    const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        attempt.send_command.deadline - runtime_clock::now());
    forwarded_metadata outgoing;
    outgoing.time_left = std::max(time_left, std::chrono::milliseconds{1});
    outgoing.instance = attempt.send_command.instance;
    outgoing.workspace = attempt.send_command.workspace;
    outgoing.after_event = m_last_event_id ? m_last_event_id : m_incoming.metadata->after_event;
    http_request request;
    request.method = received.method();
    request.target = std::string{received.target()};
    const std::optional<relayed_request>& relayed = attempt.send_command.relayed;
    outgoing.to_node = relayed.has_value();
    request.headers = platform::forwarded_request_headers(received, outgoing);
    remove_relayed(request.headers);
    if (relayed)
        request.headers.push_back(render_relayed({*relayed, m_services.revision()}));
    request.body = m_incoming.body;
    request.repeatable = attempt.send_command.repeat == repeat_policy::idempotent;
    if (!request.repeatable)
        request.max_connection_idle = max_idle_if_not_repeatable;
    return request;
}

net::awaitable<void> relay_request::impl::forward(attempt_state& attempt)
{
    http_request request = build_forwarded_request(attempt);
    std::optional<http_stream> opened = co_await open_answer(attempt, std::move(request));
    if (!opened)
        co_return;
    http_stream& answer = *opened;
    attempt.stream = &answer;
    answer_metadata metadata = platform::parse_answer_headers(answer.status(), answer.headers());
    for (std::size_t skipped = 0;
         !metadata.attempt.empty() && metadata.attempt != m_incoming.metadata->attempt &&
         skipped < max_foreign_answers;
         ++skipped)
    {
        count_foreign_answer();
        const bool another = co_await answer.skip(max_read_wait);
        if (attempt.cancelled)
            co_return;
        if (!another) {
            report_failure(attempt, attempt_failure::wrong_attempt);
            co_return;
        }
        metadata = platform::parse_answer_headers(answer.status(), answer.headers());
    }
    if (metadata.contradictory) {
        report_failure(attempt, attempt_failure::protocol);
        co_return;
    }
    if (attempt.send_command.relayed && !metadata.sealed && report_refusal(attempt, answer))
        co_return;
    if (metadata.idle_limit)
        answer.set_idle_limit(*metadata.idle_limit - idle_margin);
    const bool from_server = !attempt.send_command.relayed;
    if (from_server && metadata.running && !metadata.did_not_run)
        m_services.driver.handle(load_reported{
            attempt.send_command.target, {*metadata.running, metadata.waiting, 0.0}, {}});
    if (from_server && !metadata.wrong_instance) {
        report_limit(attempt, metadata);
        report_pause(attempt, metadata.pause, metadata.unreadable_pause);
    }
    if (metadata.leaving && !metadata.wrong_instance && m_services.on_leaving)
        m_services.on_leaving(attempt.send_command.target,
                              from_server ? attempt.send_command.instance
                                          : vm_id{std::string{answer.header(served_by_header)}});
    const bool unsealed = is_success(answer.status()) && !metadata.sealed;
    if (unsealed || !answer.header("Content-Encoding").empty()) {
        report_failure(attempt, attempt_failure::protocol);
    }
    else if (answer.status() == http::status::ok &&
             answer.header("Content-Type").starts_with(event_stream))
    {
        co_await forward_events(attempt, answer, metadata);
    }
    else {
        co_await forward_buffered(attempt, answer, metadata);
    }
    attempt.stream = nullptr;
}

/// Reports a refusal by the node that the request was passed on to; false if the answer is none.
bool relay_request::impl::report_refusal(attempt_state& attempt, const http_stream& answer)
{
    std::optional<relay_refusal> refused = parse_refusal(answer.headers());
    if (!refused)
        return false;
    attempt_head head = make_head(attempt, answer, delivery_mode::buffered);
    head.refusal = std::move(refused);
    report_head(attempt, head);
    attempt.stream = nullptr;
    return true;
}

/// Reports the rate limit that an answer of any status states, or that it states none.
void relay_request::impl::report_limit(const attempt_state& attempt,
                                       const answer_metadata& metadata)
{
    if (!metadata.unreadable_limit.empty()) {
        log_event(log_level::warning, "server_limit_unreadable",
                  {{"server", attempt.send_command.instance.value()},
                   {"text", metadata.unreadable_limit}});
        return;
    }
    m_services.driver.handle(
        response_limit_received{attempt.send_command.target, metadata.rate_limit});
}

bool relay_request::impl::report_forwarded_head(attempt_state& attempt, const http_stream& answer,
                                                const answer_metadata& metadata, delivery_mode mode)
{
    attempt_head head = make_head(attempt, answer, mode);
    head.reported_not_run = metadata.did_not_run;
    head.wrong_instance = metadata.wrong_instance;
    if (metadata.did_not_run)
        m_log.attempt_refused(attempt.send_command, head.status,
                              runtime_clock::now() - attempt.sent_at, metadata.pause);
    if (!metadata.attempt.empty() && metadata.attempt != m_incoming.metadata->attempt)
        head.echoed = attempt_id{0}; // an id that no attempt has
    return report_head(attempt, head);
}

/// The headers of the answer for this node's caller, which may be another node.
http::fields relay_request::impl::caller_headers(const attempt_state& attempt,
                                                 const http_stream& answer) const
{
    http::fields headers = platform::forwarded_answer_headers(answer.headers());
    headers.erase({served_by_header.data(), served_by_header.size()});
    if (m_incoming.info.relayed)
        headers.set({served_by_header.data(), served_by_header.size()},
                    attempt.send_command.instance.value());
    return headers;
}

net::awaitable<bool> relay_request::impl::begin_forwarded(attempt_state& attempt,
                                                          const http_stream& answer,
                                                          const answer_metadata& metadata)
{
    if (!report_forwarded_head(attempt, answer, metadata, delivery_mode::streamed))
        co_return false;
    if (m_streaming_events)
        co_return true; // the caller has the head of an earlier server's answer
    m_streaming_events = true;
    http::fields headers = caller_headers(attempt, answer);
    co_return co_await begin_answer(attempt, answer.status(), std::move(headers), std::nullopt);
}

net::awaitable<void> relay_request::impl::forward_events(attempt_state& attempt,
                                                         http_stream& answer,
                                                         const answer_metadata& metadata)
{
    sse_splitter events{max_event_bytes};
    bool begun = false;
    attempt.may_read_ahead = true;
    for (;;) {
        const result<std::string> piece = co_await next_part(attempt, answer);
        if (attempt.cancelled)
            co_return;
        if (!piece) {
            report_read_failure(attempt, piece.error());
            co_return;
        }
        const bool ended = piece.value().empty();
        if (ended && (!begun || events.partial())) {
            // No event or an incomplete one: the stream was cut off, even if the HTTP framing is
            // complete.
            report_failure(attempt, attempt_failure::cut);
            co_return;
        }
        if (ended)
            break;
        if (!events.feed(piece.value())) {
            report_failure(attempt, attempt_failure::protocol);
            co_return;
        }
        std::string new_events;
        std::uint32_t count = 0;
        std::optional<std::uint64_t> last = m_last_event_id;
        while (const auto next = events.next()) {
            const std::optional<std::uint64_t> id = sse_id(*next);
            if (id && last && *id <= *last)
                continue; // the caller already has this event from an earlier server
            last = id ? id : last;
            new_events += *next;
            ++count;
        }
        if (count == 0)
            continue;
        if (!begun) {
            begun = co_await begin_forwarded(attempt, answer, metadata);
            if (!begun)
                co_return;
        }
        m_last_event_id = last;
        const bool succeeded = co_await write_events(attempt, new_events, count);
        if (!succeeded)
            co_return;
    }
    report_finished(attempt);
}

net::awaitable<void> relay_request::impl::forward_buffered(attempt_state& attempt,
                                                           http_stream& answer,
                                                           const answer_metadata& metadata)
{
    std::optional<answer_blocks> body =
        co_await read_full_body(attempt, answer, m_services.settings.limits.answer_bytes);
    if (!body)
        co_return;
    const std::optional<std::uint64_t> length = answer.content_length();
    const bool bodiless = m_exchange.request().method() == http::verb::head;
    if (length && *length != body->size() && !bodiless) {
        report_failure(attempt, attempt_failure::protocol);
        co_return;
    }
    if (!report_forwarded_head(attempt, answer, metadata, delivery_mode::buffered))
        co_return;
    m_buffered_answer =
        buffered_answer{answer.status(), caller_headers(attempt, answer), std::move(*body)};
    report_finished(attempt);
}

} // namespace jaynotch
