#include "daemon/relay_way.h"
#include "daemon/sse.h"
#include "http/hop_headers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

// One sending of a request. Three shapes of answer:
//
// - events: a model's stream, handed on event by event as they come; those that one read brings
//   go out in one write, which is what keeps up under load. The terminal mark is kept back until
//   the core says that the answer is whole.
// - whole: a model's answer that is not streamed, and any answer of a keyed call, is held within a
//   bound and handed on only once it is known to be whole, so that it can still be asked for
//   elsewhere if it turns out cut or empty.
// - body: any other answer of a plain service, piece by piece with back-pressure: nothing is read
//   while the caller takes nothing.
//
// The core's timeouts cancel an attempt; the ones here are longer and only bound what a defect
// could hold.

namespace jaynotch {

namespace {

constexpr duration drain_wait = std::chrono::seconds{1};
constexpr duration write_poll = std::chrono::milliseconds{2};

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
    // One that is no number names no attempt of ours; 0 is never given out.
    if (failed != std::errc{} || end != text.data() + text.size())
        return attempt_id{0};
    return attempt_id{number};
}

/// The answer's headers without those that are only for this node.
http::fields forwarded_headers(const http_stream& answer)
{
    http::fields kept;
    for (const auto& field : answer.headers()) {
        if (!is_own_header(view(field.name_string())))
            kept.insert(field.name(), field.name_string(), field.value());
    }
    return kept;
}

/// Reads what follows the terminal mark so that the connection can be used again; one that does
/// not end soon is closed with the stream.
net::awaitable<void> drain(http_stream answer)
{
    for (;;) {
        const result<std::string> piece = co_await answer.read(drain_wait);
        if (!piece || !piece.value().empty())
            break; // more than the mark: an engine that answers twice
        if (piece.value().empty())
            co_return;
    }
    answer.cancel();
}

} // namespace

net::awaitable<void> relay_request::way::run_attempt(attempt_ptr attempt)
{
    const auto self = shared_from_this();
    attempt->hop = m_services.spans.begin("attempt", span_kind::client, m_asked.caller.context);
    attempt->hop.set("server.address", attempt->order.address);
    attempt->hop.set("jaynotch.attempt", attempt->order.attempt.value());
    if (!attempt->order.group.value().empty())
        attempt->hop.set("jaynotch.group", attempt->order.group.value());
    try {
        co_await send(*attempt);
    }
    catch (const std::exception& thrown) {
        // A cancelled wait throws; anything else is reported so that the request goes on.
        if (!attempt->cancelled) {
            log_event(log_level::error, "attempt_failed", {{"message", thrown.what()}});
            report_failure(*attempt, attempt_failure::cut);
        }
    }
    attempt->stream = nullptr;
    attempt->hop.failed = attempt->hop.failed || attempt->cancelled;
    m_services.spans.end(std::move(attempt->hop));
    --m_running;
    m_attempt_ended.cancel();
}

net::awaitable<std::optional<http_stream>> relay_request::way::open_answer(attempt_state& attempt,
                                                                           http_request request)
{
    const std::shared_ptr<http_client> client = m_services.servers.at(attempt.order.address);
    request.before_send = [this, &attempt] {
        if (attempt.sent) {
            m_log.attempt_repeated(attempt.order);
            m_services.counted.attempt_repeated();
        }
        attempt.sent = true;
        m_sent = true;
        m_services.driver.handle(attempt_sent{m_inbox->id(), attempt.order.attempt});
    };
    result<http_stream> opened = co_await client->open(std::move(request), longest_wait);
    if (attempt.cancelled)
        co_return std::nullopt;
    if (!opened) {
        report_read_failure(attempt, opened.error());
        co_return std::nullopt;
    }
    co_return std::move(opened).value();
}

net::awaitable<void> relay_request::way::send(attempt_state& attempt)
{
    if (m_asked.metadata) {
        co_await forward(attempt);
        co_return;
    }
    if (attempt.order.kind == pool_kind::model && !m_services.may_get(attempt.order.group)) {
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
        m_services.on_leaving(attempt.order.target);
    const bool model = attempt.order.kind == pool_kind::model;
    const bool events = model && m_asked.info.stream && answer.status() == http::status::ok &&
                        answer.header("Content-Type").starts_with(event_stream);
    if (events) {
        co_await relay_events(attempt, answer);
    }
    else if (model) {
        co_await relay_whole(attempt, answer, m_services.settings.limits.answer_bytes);
    }
    else if (keyed()) {
        co_await relay_whole(attempt, answer, m_services.settings.limits.keyed_body_bytes);
    }
    else {
        co_await relay_body(attempt, answer);
    }
    attempt.stream = nullptr;
}

http_request relay_request::way::build_request(const attempt_state& attempt) const
{
    http_request request = attempt.order.kind == pool_kind::model ? build_model_request(attempt)
                                                                  : build_plain_request(attempt);
    request.headers.push_back(
        {std::string{attempt_header}, std::to_string(attempt.order.attempt.value())});
    request.headers.push_back({"traceparent", attempt.hop.context.header()});
    return request;
}

http_request relay_request::way::build_model_request(const attempt_state& attempt) const
{
    const send_attempt& order = attempt.order;
    http_request request;
    request.method = http::verb::post;
    request.target =
        m_asked.info.kind == request_kind::chat ? "/v1/chat/completions" : "/v1/completions";
    request.headers = {
        {"Content-Type", "application/json"},
        {std::string{group_header}, order.group.value()},
        {std::string{fencing_header}, std::to_string(order.fencing.value())},
        {std::string{priority_header}, std::string{to_name(order.priority)}},
    };
    request.body = engine_body(*m_asked.model, order.model, order.adapter, order.resume, m_given);
    return request;
}

http_request relay_request::way::build_plain_request(const attempt_state& /*attempt*/) const
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
    request.body = m_asked.body;
    if (m_asked.stream_body) {
        request.body_length = m_exchange.content_length();
        request.body_source = [exchange = &m_exchange] { return exchange->read_some(); };
    }
    return request;
}

attempt_head relay_request::way::head_of(const attempt_state& attempt, const http_stream& answer,
                                         answer_shape shape) const
{
    attempt_head head;
    head.whole = shape == answer_shape::whole;
    head.request = m_inbox->id();
    head.attempt = attempt.order.attempt;
    head.status = static_cast<std::uint32_t>(answer.status());
    return head;
}

bool relay_request::way::report_head(attempt_state& attempt, const attempt_head& head)
{
    attempt.hop.set("http.response.status_code", std::uint64_t{head.status});
    m_services.driver.handle(head);
    return attempt.delivering && !attempt.cancelled;
}

void relay_request::way::count_foreign_answer()
{
    ++m_services.counts.foreign_answers;
    m_services.counted.foreign_answer();
}

bool relay_request::way::report_engine_head(attempt_state& attempt, const http_stream& answer,
                                            answer_shape shape)
{
    attempt_head head = head_of(attempt, answer, shape);
    head.echoed = echoed_attempt(answer);
    head.says_did_not_run = answer.header(ran_header) == to_name(ran_state::no);
    head.version = std::string{answer.header(version_header)};
    if (head.echoed && *head.echoed != head.attempt) {
        // The answer to another attempt: an engine mixed up its callers. It is never delivered.
        count_foreign_answer();
        attempt.hop.failed = true;
    }
    return report_head(attempt, head);
}

void relay_request::way::report_finished(const attempt_state& attempt)
{
    m_services.driver.handle(
        attempt_finished{m_inbox->id(), attempt.order.attempt, true, std::nullopt});
}

void relay_request::way::report_failure(attempt_state& attempt, attempt_failure reason)
{
    attempt.hop.failed = true;
    attempt.hop.set("jaynotch.failure", to_name(reason));
    m_log.attempt_ended(attempt.order, to_name(reason), attempt.sent);
    m_services.counted.attempt_failed(reason);
    m_services.driver.handle(attempt_failed{m_inbox->id(), attempt.order.attempt, reason});
}

void relay_request::way::report_read_failure(attempt_state& attempt, const error& failure)
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

net::awaitable<bool> relay_request::way::begin(attempt_state& attempt, http::status status,
                                               http::fields headers,
                                               std::optional<std::uint64_t> length)
{
    first_byte();
    const bool fine = co_await m_exchange.begin(status, headers, length);
    if (!fine && !attempt.cancelled)
        m_services.driver.handle(caller_gone{m_inbox->id()});
    co_return fine && !attempt.cancelled;
}

net::awaitable<bool> relay_request::way::hand_on(attempt_state& attempt, std::string_view piece)
{
    // An attempt that was given up may still be writing what it had read; its bytes count as given,
    // so the one that resumes waits for them.
    while (m_writing) {
        timer pause{m_services.io, write_poll};
        co_await pause.async_wait(net::use_awaitable);
    }
    m_writing = true;
    // A caller that reads slowly must not pass for a server that stalls.
    if (!attempt.cancelled)
        m_services.driver.handle(attempt_waits{m_inbox->id(), attempt.order.attempt});
    const bool fine = co_await m_exchange.write(piece);
    m_writing = false;
    if (!fine && !attempt.cancelled)
        m_services.driver.handle(caller_gone{m_inbox->id()});
    co_return fine && !attempt.cancelled;
}

net::awaitable<bool> relay_request::way::hand_on_events(attempt_state& attempt,
                                                        std::string_view events,
                                                        std::uint32_t count)
{
    if (events.empty())
        co_return true;
    const bool fine = co_await hand_on(attempt, events);
    if (!fine)
        co_return false;
    const time_point now = runtime_clock::now();
    if (m_events > 0)
        m_longest_pause = std::max<duration>(m_longest_pause, now - m_last_events);
    m_last_events = now;
    m_events += count;
    m_services.counts.tokens_relayed += count;
    m_services.counted.tokens(count);
    m_services.driver.handle(attempt_progress{m_inbox->id(), attempt.order.attempt, count});
    co_return !attempt.cancelled;
}

net::awaitable<void> relay_request::way::relay_events(attempt_state& attempt, http_stream& answer)
{
    if (!report_engine_head(attempt, answer, answer_shape::parts))
        co_return;
    if (!m_streaming_events) {
        m_streaming_events = true;
        http::fields headers;
        headers.set(http::field::content_type, event_stream);
        headers.set(http::field::cache_control, "no-cache");
        const bool fine =
            co_await begin(attempt, http::status::ok, std::move(headers), std::nullopt);
        if (!fine)
            co_return;
    }
    sse_splitter events{longest_event};
    for (;;) {
        const result<std::string> piece = co_await answer.read(longest_wait);
        if (attempt.cancelled)
            co_return;
        if (!piece || piece.value().empty()) {
            // The end of the body without the terminal mark is a cut, whatever the framing says.
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
            failed = chunk.failed || m_given.size() > m_services.settings.limits.answer_bytes;
            if (failed)
                break;
            m_given += chunk.text;
            first = first == nullptr ? next->data() : first;
            length += next->size();
            ++count;
        }
        const std::string_view whole_events{first, length};
        const bool fine = co_await hand_on_events(attempt, whole_events, count);
        if (!fine)
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

net::awaitable<std::optional<std::string>>
relay_request::way::read_whole(attempt_state& attempt, http_stream& answer, std::size_t limit)
{
    std::string body;
    for (;;) {
        const result<std::string> piece = co_await answer.read(longest_wait);
        if (attempt.cancelled)
            co_return std::nullopt;
        if (!piece) {
            report_read_failure(attempt, piece.error());
            co_return std::nullopt;
        }
        if (piece.value().empty())
            co_return body;
        body += piece.value();
        if (body.size() > limit) {
            answer.cancel();
            report_failure(attempt, attempt_failure::protocol);
            co_return std::nullopt;
        }
    }
}

net::awaitable<void> relay_request::way::relay_whole(attempt_state& attempt, http_stream& answer,
                                                     std::size_t limit)
{
    std::optional<std::string> read = co_await read_whole(attempt, answer, limit);
    if (!read)
        co_return;
    std::string& body = *read;
    const bool model = attempt.order.kind == pool_kind::model;
    if (model && answer.status() == http::status::ok && !is_whole_completion(body)) {
        // "200 with nothing": the head says success and the body holds no answer.
        report_failure(attempt, attempt_failure::protocol);
        co_return;
    }
    if (!report_engine_head(attempt, answer, answer_shape::whole))
        co_return;
    attempt_finished finished{m_inbox->id(), attempt.order.attempt, true, std::nullopt};
    if (keyed())
        finished.answer = stored_answer{static_cast<std::uint32_t>(answer.status()),
                                        std::string{answer.header("Content-Type")}, body};
    m_held = held_answer{answer.status(), forwarded_headers(answer), std::move(body)};
    m_services.driver.handle(std::move(finished));
}

net::awaitable<void> relay_request::way::relay_body(attempt_state& attempt, http_stream& answer)
{
    if (!report_engine_head(attempt, answer, answer_shape::parts))
        co_return;
    const std::optional<std::uint64_t> length = answer.content_length();
    const bool begun = co_await begin(attempt, answer.status(), forwarded_headers(answer), length);
    if (!begun)
        co_return;
    for (;;) {
        const result<std::string> piece = co_await answer.read(longest_wait);
        if (attempt.cancelled)
            co_return;
        if (!piece) {
            report_read_failure(attempt, piece.error());
            co_return;
        }
        if (piece.value().empty())
            break;
        const bool fine = co_await hand_on(attempt, piece.value());
        if (!fine)
            co_return;
        m_services.driver.handle(attempt_progress{m_inbox->id(), attempt.order.attempt, 1});
    }
    report_finished(attempt);
}

} // namespace jaynotch
