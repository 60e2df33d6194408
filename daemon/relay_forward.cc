#include "daemon/relay_way.h"
#include "daemon/sse.h"
#include "platform/platform.h"

#include <boost/asio/use_awaitable.hpp>

// A request that is passed on as it came: its body is not read, what matters stands in its headers.
//
// - events: a stream with increasing ids. Nothing is handed on before the first whole event, so
//   that a server that fails until then costs the caller nothing. When a stream goes on from
//   another server, events that the caller has are dropped by their ids.
// - whole: any other answer is held until it is known to be whole.
//
// An answer that names another attempt is an earlier request's, sent late: it is passed over, and
// the one that follows on the connection is ours. A success without the server's own mark is
// nobody's answer and is never handed on.

namespace jaynotch {

namespace {

constexpr std::size_t most_foreign_answers = 2;
/// A connection that idled longer may just be closing. What can't be sent twice takes a new one.
constexpr duration safe_idle = std::chrono::milliseconds{500};
/// Kept back from the time after which the server says it closes an idle connection: what is on its
/// way must arrive before.
constexpr duration idle_margin = std::chrono::milliseconds{500};

bool is_success(http::status status)
{
    return http::to_status_class(status) == http::status_class::successful;
}

} // namespace

refusal relay_request::way::shown_to_caller(const refuse& wanted) const
{
    refusal shown{.failure = wanted.failure, .ran = wanted.ran, .retry_after = wanted.retry_after};
    if (!m_asked.facts)
        return shown;
    shown.fractional_retry_after = true;
    // 503 and 429 promise that the request never ran, whatever else the answer says.
    const http::status usual = status_of(wanted.failure.kind);
    const bool promises =
        usual == http::status::service_unavailable || usual == http::status::too_many_requests;
    if (wanted.ran == ran_state::no && usual == http::status::gateway_timeout)
        shown.status = http::status::service_unavailable;
    else if (wanted.ran != ran_state::no && promises)
        shown.status = http::status::bad_gateway;
    return shown;
}

http_request relay_request::way::build_forwarded_request(const attempt_state& attempt) const
{
    const auto& received = m_exchange.request();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.order.deadline -
                                                                            runtime_clock::now());
    call_dress told;
    told.left = std::max(left, std::chrono::milliseconds{1});
    told.instance = attempt.order.instance;
    told.workspace = attempt.order.workspace;
    told.after_event = m_last_event ? m_last_event : m_asked.facts->after_event;
    http_request request;
    request.method = received.method();
    request.target = std::string{received.target()};
    request.headers = platform::forwarded_request_headers(received, told);
    request.body = m_asked.body;
    request.repeatable = attempt.order.repeat == repeat_policy::idempotent;
    if (!request.repeatable)
        request.max_connection_idle = safe_idle;
    return request;
}

net::awaitable<void> relay_request::way::forward(attempt_state& attempt)
{
    http_request request = build_forwarded_request(attempt);
    std::optional<http_stream> opened = co_await open_answer(attempt, std::move(request));
    if (!opened)
        co_return;
    http_stream& answer = *opened;
    attempt.stream = &answer;
    answer_facts facts = platform::parse_answer_headers(answer.status(), answer.headers());
    for (std::size_t skipped = 0;
         !facts.attempt.empty() && facts.attempt != m_asked.facts->attempt &&
         skipped < most_foreign_answers;
         ++skipped)
    {
        count_foreign_answer();
        const bool another = co_await answer.skip(longest_wait);
        if (attempt.cancelled)
            co_return;
        if (!another) {
            report_failure(attempt, attempt_failure::wrong_attempt);
            co_return;
        }
        facts = platform::parse_answer_headers(answer.status(), answer.headers());
    }
    if (facts.idle_limit)
        answer.set_idle_limit(*facts.idle_limit - idle_margin);
    if (facts.running && !facts.did_not_run)
        m_services.driver.handle(
            load_seen{attempt.order.target, {*facts.running, facts.waiting, 0.0}, {}});
    note_limit(attempt, facts);
    const bool unmarked = is_success(answer.status()) && !facts.sealed;
    if (unmarked || !answer.header("Content-Encoding").empty()) {
        report_failure(attempt, attempt_failure::protocol);
    }
    else if (answer.status() == http::status::ok &&
             answer.header("Content-Type").starts_with(event_stream))
    {
        co_await forward_events(attempt, answer, facts);
    }
    else {
        co_await forward_whole(attempt, answer, facts);
    }
    attempt.stream = nullptr;
}

/// Of every answer, whatever its status: what the server says of the requests that it takes.
void relay_request::way::note_limit(const attempt_state& attempt, const answer_facts& facts)
{
    if (facts.wrong_instance)
        return; // another server's word
    if (!facts.unreadable_limit.empty()) {
        log_event(log_level::warning, "server_limit_unreadable",
                  {{"server", attempt.order.instance.value()}, {"text", facts.unreadable_limit}});
        return;
    }
    m_services.driver.handle(limit_answered{attempt.order.target, facts.rate_limit});
}

bool relay_request::way::report_forwarded_head(attempt_state& attempt, const http_stream& answer,
                                               const answer_facts& facts, answer_shape shape)
{
    attempt_head head = head_of(attempt, answer, shape);
    head.says_did_not_run = facts.did_not_run;
    head.wrong_instance = facts.wrong_instance;
    if (!facts.attempt.empty() && facts.attempt != m_asked.facts->attempt)
        head.echoed = attempt_id{0}; // names none of ours
    return report_head(attempt, head);
}

net::awaitable<bool> relay_request::way::begin_forwarded(attempt_state& attempt,
                                                         const http_stream& answer,
                                                         const answer_facts& facts)
{
    if (!report_forwarded_head(attempt, answer, facts, answer_shape::parts))
        co_return false;
    if (m_streaming_events)
        co_return true; // goes on under the head of the first server
    m_streaming_events = true;
    http::fields headers = platform::forwarded_answer_headers(answer.headers());
    co_return co_await begin(attempt, answer.status(), std::move(headers), std::nullopt);
}

net::awaitable<void> relay_request::way::forward_events(attempt_state& attempt, http_stream& answer,
                                                        const answer_facts& facts)
{
    sse_splitter events{longest_event};
    bool begun = false;
    for (;;) {
        const result<std::string> piece = co_await answer.read(longest_wait);
        if (attempt.cancelled)
            co_return;
        if (!piece) {
            report_read_failure(attempt, piece.error());
            co_return;
        }
        const bool ended = piece.value().empty();
        if (ended && (!begun || events.partial())) {
            // Nothing at all, or half an event: the server broke off, whatever the framing says.
            report_failure(attempt, attempt_failure::cut);
            co_return;
        }
        if (ended)
            break;
        if (!events.feed(piece.value())) {
            report_failure(attempt, attempt_failure::protocol);
            co_return;
        }
        std::string fresh;
        std::uint32_t count = 0;
        std::optional<std::uint64_t> last = m_last_event;
        while (const auto next = events.next()) {
            const std::optional<std::uint64_t> id = sse_id(*next);
            if (id && last && *id <= *last)
                continue; // the caller has it from the server before
            last = id ? id : last;
            fresh += *next;
            ++count;
        }
        if (count == 0)
            continue;
        if (!begun) {
            begun = co_await begin_forwarded(attempt, answer, facts);
            if (!begun)
                co_return;
        }
        m_last_event = last;
        const bool fine = co_await hand_on_events(attempt, fresh, count);
        if (!fine)
            co_return;
    }
    report_finished(attempt);
}

net::awaitable<void> relay_request::way::forward_whole(attempt_state& attempt, http_stream& answer,
                                                       const answer_facts& facts)
{
    std::optional<std::string> body =
        co_await read_whole(attempt, answer, m_services.settings.limits.answer_bytes);
    if (!body)
        co_return;
    const std::optional<std::uint64_t> length = answer.content_length();
    const bool bodiless = m_exchange.request().method() == http::verb::head;
    if (length && *length != body->size() && !bodiless) {
        report_failure(attempt, attempt_failure::protocol);
        co_return;
    }
    if (!report_forwarded_head(attempt, answer, facts, answer_shape::whole))
        co_return;
    m_held = held_answer{answer.status(), platform::forwarded_answer_headers(answer.headers()),
                         std::move(*body)};
    report_finished(attempt);
}

} // namespace jaynotch
