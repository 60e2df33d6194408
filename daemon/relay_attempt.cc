#include "daemon/relay_way.h"
#include "daemon/sse.h"
#include "http/hop_headers.h"
#include "http/retry_after.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

// One attempt of a request. An answer is relayed in one of three ways:
//
// - relay_events(): a model's stream. Only complete events are passed on; all events from one read
//   go out in one write, which is needed for throughput under load. The terminal mark is held back
//   until the core declares the answer complete.
// - relay_buffered(): a model's answer that is not streamed, and any answer to a request with an
//   idempotency key. It is buffered up to a size limit and delivered only when complete, so that
//   the request can still be retried on another backend server if the answer is cut off or empty.
// - relay_streamed_body(): any other answer of a plain service. It is passed on piece by piece with
//   back-pressure: nothing is read while the caller doesn't read.
//
// The request core's timeouts cancel attempts. The timeouts here are longer and only bound how long
// a defect could hold resources.

namespace jaynotch {

namespace {

constexpr duration drain_timeout = std::chrono::seconds{1};

constexpr std::string_view attempt_header = "jaynotch-attempt";
constexpr std::string_view group_header = "jaynotch-group";
constexpr std::string_view fencing_header = "jaynotch-fencing";
constexpr std::string_view priority_header = "jaynotch-priority";
constexpr std::string_view version_header = "jaynotch-version";
constexpr std::string_view leaving_header = "jaynotch-leaving";
constexpr std::string_view ran_header = "jaynotch-ran";

bool is_own_header(std::string_view name)
{
    constexpr std::string_view prefix = "jaynotch-";
    return boost::beast::iequals(
        {name.substr(0, prefix.size()).data(), std::min(name.size(), prefix.size())},
        {prefix.data(), prefix.size()});
}

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<attempt_id> echoed_attempt(const http_stream& answer)
{
    const std::string_view text = answer.header(attempt_header);
    if (text.empty())
        return std::nullopt;
    std::uint64_t number = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    // A header that is not a number names no attempt of this node. It is returned as 0, which no
    // attempt has as its id.
    if (failed != std::errc{} || end != text.data() + text.size())
        return attempt_id{0};
    return attempt_id{number};
}

/// The answer's headers without the jaynotch- headers, which are meant for this node.
http::fields forwarded_headers(const http_stream& answer)
{
    http::fields kept;
    for (const auto& field : answer.headers()) {
        if (!is_own_header(view(field.name_string())))
            kept.insert(field.name(), field.name_string(), field.value());
    }
    return kept;
}

/// Reads to the end of the answer after the terminal mark, so that the connection can be reused. If
/// more data follows or the end doesn't come within the timeout, the connection is closed.
net::awaitable<void> drain(http_stream answer)
{
    for (;;) {
        const result<std::string> piece = co_await answer.read(drain_timeout);
        if (!piece || !piece.value().empty())
            break; // an error, or data after the terminal mark: an engine that answers twice
        if (piece.value().empty())
            co_return;
    }
    answer.cancel();
}

} // namespace

net::awaitable<void> relay_request::impl::run_attempt(attempt_ptr attempt)
{
    const auto self = shared_from_this();
    attempt->client_span =
        m_services.spans.begin("attempt", span_kind::client, m_incoming.server_span.context);
    attempt->client_span.set("server.address", attempt->send_command.address);
    attempt->client_span.set("jaynotch.attempt", attempt->send_command.attempt.value());
    if (!attempt->send_command.group.value().empty())
        attempt->client_span.set("jaynotch.group", attempt->send_command.group.value());
    try {
        co_await send(*attempt);
    }
    catch (const std::exception& thrown) {
        // A cancelled wait throws too. Any other exception is reported as a failure, so that the
        // core can retry the request.
        if (!attempt->cancelled) {
            log_event(log_level::error, "attempt_failed", {{"message", thrown.what()}});
            report_failure(*attempt, attempt_failure::cut);
        }
    }
    attempt->stream = nullptr;
    attempt->client_span.failed = attempt->client_span.failed || attempt->cancelled;
    m_services.spans.end(std::move(attempt->client_span));
    --m_running_attempts;
    m_attempt_ended.cancel();
}

bool relay_request::impl::take_resend(const attempt_state& attempt)
{
    if (attempt.cancelled)
        return false;
    const bool allowed = m_services.driver.take_resend(m_inbox->id(), attempt.send_command.attempt);
    const double retries_left = m_services.driver.core().retries_left(m_inbox->id());
    if (!allowed) {
        m_log.resend_denied(attempt.send_command, retries_left);
        return false;
    }
    m_log.attempt_repeated(attempt.send_command, retries_left);
    m_services.exported_metrics.attempt_repeated();
    return true;
}

net::awaitable<std::optional<http_stream>> relay_request::impl::open_answer(attempt_state& attempt,
                                                                            http_request request)
{
    const std::shared_ptr<http_client> client = m_services.servers.at(attempt.send_command.address);
    request.before_send = [this, &attempt] {
        attempt.sent = true;
        attempt.sent_at = runtime_clock::now();
        m_any_attempt_sent = true;
        m_services.driver.handle(attempt_sent{m_inbox->id(), attempt.send_command.attempt});
    };
    request.may_resend = [this, &attempt] { return take_resend(attempt); };
    request.on_connected = [this, &attempt] {
        m_services.driver.handle(attempt_connected{m_inbox->id(), attempt.send_command.attempt});
    };
    bool withdrawn = false;
    request.may_send = [this, &attempt, &withdrawn] {
        withdrawn = attempt.cancelled ||
                    !m_services.driver.may_send(m_inbox->id(), attempt.send_command.attempt);
        return !withdrawn;
    };
    result<http_stream> opened = co_await client->open(std::move(request), max_read_wait);
    if (attempt.cancelled)
        co_return std::nullopt;
    if (withdrawn) {
        report_failure(attempt, attempt_failure::refused_did_not_run);
        co_return std::nullopt;
    }
    if (!opened) {
        report_read_failure(attempt, opened.error());
        co_return std::nullopt;
    }
    co_return std::move(opened).value();
}

net::awaitable<void> relay_request::impl::send(attempt_state& attempt)
{
    if (m_incoming.metadata) {
        co_await forward(attempt);
        co_return;
    }
    if (attempt.send_command.kind == pool_kind::model &&
        !m_services.has_valid_ticket(attempt.send_command.group))
    {
        report_failure(attempt, attempt_failure::not_connected);
        co_return;
    }
    http_request request = build_request(attempt);
    std::optional<http_stream> opened = co_await open_answer(attempt, std::move(request));
    if (!opened)
        co_return;
    http_stream& answer = *opened;
    attempt.stream = &answer;
    if (!answer.header(leaving_header).empty() && m_services.on_leaving)
        m_services.on_leaving(attempt.send_command.target, attempt.send_command.instance);
    if (answer.status() == http::status::service_unavailable) {
        const retry_after wanted = parse_retry_after(answer.headers());
        report_pause(attempt, wanted.wait, wanted.unreadable);
    }
    const bool model = attempt.send_command.kind == pool_kind::model;
    const bool events = model && m_incoming.info.stream && answer.status() == http::status::ok &&
                        answer.header("Content-Type").starts_with(event_stream);
    if (events) {
        co_await relay_events(attempt, answer);
    }
    else if (model) {
        co_await relay_buffered(attempt, answer, m_services.settings.limits.answer_bytes);
    }
    else if (has_idempotency_key()) {
        co_await relay_buffered(attempt, answer, m_services.settings.limits.keyed_body_bytes);
    }
    else {
        co_await relay_streamed_body(attempt, answer);
    }
    attempt.stream = nullptr;
}

http_request relay_request::impl::build_request(const attempt_state& attempt) const
{
    http_request request = attempt.send_command.kind == pool_kind::model
                               ? build_model_request(attempt)
                               : build_plain_request(attempt);
    request.headers.push_back(
        {std::string{attempt_header}, std::to_string(attempt.send_command.attempt.value())});
    request.headers.push_back({"traceparent", attempt.client_span.context.header()});
    return request;
}

http_request relay_request::impl::build_model_request(const attempt_state& attempt) const
{
    const send_attempt& send_command = attempt.send_command;
    http_request request;
    request.method = http::verb::post;
    request.target =
        m_incoming.info.kind == request_kind::chat ? "/v1/chat/completions" : "/v1/completions";
    request.headers = {
        {"Content-Type", "application/json"},
        {std::string{group_header}, send_command.group.value()},
        {std::string{fencing_header}, std::to_string(send_command.fencing.value())},
        {std::string{priority_header}, std::string{to_name(send_command.priority)}},
    };
    request.body = engine_body(*m_incoming.model, send_command.model, send_command.adapter,
                               send_command.resume, m_delivered_text);
    return request;
}

http_request relay_request::impl::build_plain_request(const attempt_state& /*attempt*/) const
{
    const auto& received = m_exchange.request();
    http_request request;
    request.method = received.method();
    request.target = std::string{received.target()};
    for (const auto& field : received) {
        if (is_request_hop_header(field.name()) || field.name_string() == "traceparent" ||
            is_own_header(view(field.name_string())))
            continue;
        request.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    request.body = m_incoming.body;
    if (m_incoming.stream_body) {
        m_exchange.begin_forwarding();
        request.body_length = m_exchange.content_length();
        request.body_source = [exchange = &m_exchange] { return exchange->read_some(); };
    }
    return request;
}

attempt_head relay_request::impl::make_head(const attempt_state& attempt, const http_stream& answer,
                                            delivery_mode mode) const
{
    attempt_head head;
    head.buffered = mode == delivery_mode::buffered;
    head.request = m_inbox->id();
    head.attempt = attempt.send_command.attempt;
    head.status = static_cast<std::uint32_t>(answer.status());
    return head;
}

bool relay_request::impl::report_head(attempt_state& attempt, const attempt_head& head)
{
    attempt.client_span.set("http.response.status_code", std::uint64_t{head.status});
    m_services.driver.handle(head);
    return attempt.delivering && !attempt.cancelled;
}

void relay_request::impl::count_foreign_answer()
{
    ++m_services.counts.foreign_answers;
    m_services.exported_metrics.foreign_answer();
}

bool relay_request::impl::report_engine_head(attempt_state& attempt, const http_stream& answer,
                                             delivery_mode mode)
{
    attempt_head head = make_head(attempt, answer, mode);
    head.echoed = echoed_attempt(answer);
    head.reported_not_run = answer.header(ran_header) == to_name(ran_state::no);
    head.version = std::string{answer.header(version_header)};
    if (head.echoed && *head.echoed != head.attempt) {
        // The answer belongs to another attempt: the engine has mixed up its requests. The core
        // never has such an answer delivered.
        count_foreign_answer();
        attempt.client_span.failed = true;
    }
    return report_head(attempt, head);
}

/// Reports the pause that a refusal names, before its head: the request must not be sent to that
/// server again.
void relay_request::impl::report_pause(const attempt_state& attempt,
                                       std::optional<std::chrono::milliseconds> pause,
                                       const std::string& unreadable)
{
    if (!unreadable.empty())
        log_event(log_level::warning, "server_pause_unreadable",
                  {{"server", attempt.send_command.instance.value()}, {"text", unreadable}});
    if (!pause)
        return;
    log_event(log_level::info, "server_paused",
              {{"server", attempt.send_command.instance.value()},
               {"target", attempt.send_command.target.value()},
               {"pause_ms", pause->count()}});
    m_services.driver.handle(server_pause_requested{attempt.send_command.target, *pause});
}

void relay_request::impl::report_finished(const attempt_state& attempt)
{
    m_services.driver.handle(
        attempt_finished{m_inbox->id(), attempt.send_command.attempt, true, std::nullopt});
}

void relay_request::impl::report_failure(attempt_state& attempt, attempt_failure reason)
{
    attempt.client_span.failed = true;
    attempt.client_span.set("jaynotch.failure", to_name(reason));
    m_log.attempt_failed(attempt.send_command, to_name(reason), attempt.sent);
    m_services.exported_metrics.attempt_failed(reason);
    m_services.driver.handle(attempt_failed{m_inbox->id(), attempt.send_command.attempt, reason});
}

void relay_request::impl::report_read_failure(attempt_state& attempt, const error& failure)
{
    if (failure.kind == error_kind::unavailable && !attempt.sent)
        report_failure(attempt, attempt_failure::not_connected);
    else if (failure.kind == error_kind::protocol)
        report_failure(attempt, attempt_failure::protocol);
    else if (failure.kind == error_kind::deadline_exceeded)
        report_failure(attempt, attempt_failure::stalled);
    else
        report_failure(attempt, attempt_failure::cut);
}

net::awaitable<bool> relay_request::impl::begin_answer(attempt_state& attempt, http::status status,
                                                       http::fields headers,
                                                       std::optional<std::uint64_t> length)
{
    record_first_byte();
    const write_turns::turn mine = co_await m_write_turns.next();
    const bool succeeded = co_await m_exchange.begin(status, headers, length);
    if (!succeeded && !attempt.cancelled)
        m_services.driver.handle(caller_gone{m_inbox->id()});
    co_return succeeded && !attempt.cancelled;
}

net::awaitable<bool> relay_request::impl::write_to_caller(attempt_state& attempt,
                                                          std::string_view piece)
{
    // A cancelled attempt still writes what it has read, because these bytes count as delivered. So
    // the attempt that resumes the stream writes after it.
    const write_turns::turn mine = co_await m_write_turns.next();
    // Reports to the core that the attempt waits for the caller. Otherwise a caller that reads
    // slowly would be mistaken for a stalled backend server.
    if (!attempt.cancelled)
        m_services.driver.handle(
            attempt_writing_to_caller{m_inbox->id(), attempt.send_command.attempt});
    const bool succeeded = co_await m_exchange.write(piece);
    if (!succeeded && !attempt.cancelled)
        m_services.driver.handle(caller_gone{m_inbox->id()});
    co_return succeeded && !attempt.cancelled;
}

net::awaitable<bool> relay_request::impl::write_events(attempt_state& attempt,
                                                       std::string_view events, std::uint32_t count)
{
    if (events.empty())
        co_return true;
    const bool succeeded = co_await write_to_caller(attempt, events);
    if (!succeeded)
        co_return false;
    const time_point now = runtime_clock::now();
    if (m_event_count > 0)
        m_max_event_gap = std::max<duration>(m_max_event_gap, now - m_last_events_at);
    m_last_events_at = now;
    m_event_count += count;
    m_services.counts.tokens_relayed += count;
    m_services.exported_metrics.tokens(count);
    m_services.driver.handle(attempt_progress{m_inbox->id(), attempt.send_command.attempt, count});
    co_return !attempt.cancelled;
}

net::awaitable<void> relay_request::impl::relay_events(attempt_state& attempt, http_stream& answer)
{
    if (!report_engine_head(attempt, answer, delivery_mode::streamed))
        co_return;
    if (!m_streaming_events) {
        m_streaming_events = true;
        http::fields headers;
        headers.set(http::field::content_type, event_stream);
        headers.set(http::field::cache_control, "no-cache");
        const bool succeeded =
            co_await begin_answer(attempt, http::status::ok, std::move(headers), std::nullopt);
        if (!succeeded)
            co_return;
    }
    sse_splitter events{max_event_bytes};
    for (;;) {
        const result<std::string> piece = co_await answer.read(max_read_wait);
        if (attempt.cancelled)
            co_return;
        if (!piece || piece.value().empty()) {
            // A stream that ends without the terminal mark was cut off, even if the HTTP framing is
            // complete.
            if (piece)
                report_failure(attempt, attempt_failure::cut);
            else
                report_read_failure(attempt, piece.error());
            co_return;
        }
        if (!events.feed(piece.value())) {
            report_failure(attempt, attempt_failure::protocol);
            co_return;
        }
        const char* first = nullptr;
        std::size_t length = 0;
        std::uint32_t count = 0;
        bool done = false;
        bool failed = false;
        while (const auto next = events.next()) {
            done = is_done_event(*next);
            if (done)
                break;
            const std::string data = sse_data(*next);
            const stream_chunk chunk = data.empty() ? stream_chunk{} : read_chunk(data);
            failed =
                chunk.failed || m_delivered_text.size() > m_services.settings.limits.answer_bytes;
            if (failed)
                break;
            m_delivered_text += chunk.text;
            first = first == nullptr ? next->data() : first;
            length += next->size();
            ++count;
        }
        const std::string_view complete_events{first, length};
        const bool succeeded = co_await write_events(attempt, complete_events, count);
        if (!succeeded)
            co_return;
        if (failed) {
            report_failure(attempt, attempt_failure::protocol);
            co_return;
        }
        if (!done)
            continue;
        attempt.stream = nullptr;
        net::co_spawn(m_services.io, drain(std::move(answer)), net::detached);
        report_finished(attempt);
        co_return;
    }
}

net::awaitable<std::optional<answer_blocks>>
relay_request::impl::read_full_body(attempt_state& attempt, http_stream& answer, std::size_t limit)
{
    answer_blocks body;
    for (;;) {
        const result<std::string> piece = co_await answer.read(max_read_wait);
        if (piece && piece.value().empty() && !attempt.cancelled)
            co_return body;
        if (piece && !attempt.cancelled) {
            const bool held = co_await hold_answer(attempt, piece.value().size());
            if (held)
                body.append(piece.value());
            if (held && body.size() <= limit)
                continue;
        }
        m_exchange.memory().release(body.size());
        if (attempt.cancelled)
            co_return std::nullopt;
        if (piece)
            answer.cancel();
        if (piece)
            report_failure(attempt, attempt_failure::protocol);
        else
            report_read_failure(attempt, piece.error());
        co_return std::nullopt;
    }
}

net::awaitable<void> relay_request::impl::relay_buffered(attempt_state& attempt,
                                                         http_stream& answer, std::size_t limit)
{
    const std::optional<answer_blocks> read = co_await read_full_body(attempt, answer, limit);
    if (!read)
        co_return;
    std::string body = read->joined();
    const bool model = attempt.send_command.kind == pool_kind::model;
    if (model && answer.status() == http::status::ok && !is_completion(body)) {
        // A 200 whose body holds no completion is a failure of the engine.
        report_failure(attempt, attempt_failure::protocol);
        co_return;
    }
    if (!report_engine_head(attempt, answer, delivery_mode::buffered))
        co_return;
    attempt_finished finished{m_inbox->id(), attempt.send_command.attempt, true, std::nullopt};
    if (has_idempotency_key())
        finished.answer = stored_answer{static_cast<std::uint32_t>(answer.status()),
                                        std::string{answer.header("Content-Type")}, body};
    m_buffered_answer =
        buffered_answer{answer.status(), forwarded_headers(answer), answer_blocks{std::move(body)}};
    m_services.driver.handle(std::move(finished));
}

net::awaitable<void> relay_request::impl::relay_streamed_body(attempt_state& attempt,
                                                              http_stream& answer)
{
    if (!report_engine_head(attempt, answer, delivery_mode::streamed))
        co_return;
    const std::optional<std::uint64_t> length = answer.content_length();
    const bool begun =
        co_await begin_answer(attempt, answer.status(), forwarded_headers(answer), length);
    if (!begun)
        co_return;
    for (;;) {
        const result<std::string> piece = co_await answer.read(max_read_wait);
        if (attempt.cancelled)
            co_return;
        if (!piece) {
            report_read_failure(attempt, piece.error());
            co_return;
        }
        if (piece.value().empty())
            break;
        const bool succeeded = co_await write_to_caller(attempt, piece.value());
        if (!succeeded)
            co_return;
        m_services.driver.handle(attempt_progress{m_inbox->id(), attempt.send_command.attempt, 1});
    }
    report_finished(attempt);
}

} // namespace jaynotch
