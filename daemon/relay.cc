#include "daemon/relay.h"

#include "daemon/relay_way.h"
#include "daemon/sse.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// The request's own coroutine takes the core's commands in their order; each attempt is a coroutine
// besides. What an attempt reads reaches the caller only while the core has it deliver, and the
// request ends only after every attempt of it has ended, so that nothing writes to an exchange that
// is gone.
//
// A caller that closes its sending half while an answer of a model is awaited is taken for gone,
// since that is how a client that gives up looks and the engine's time is scarce; a refusal that
// says so is sent in case it still reads. Plain services are left to finish.

namespace jaynotch {

namespace {

constexpr duration cancel_timeout = std::chrono::seconds{1};

net::awaitable<void> cancel_at_engine(net::any_io_executor executor, std::string address,
                                      attempt_id attempt)
{
    engine_client engine{executor, std::move(address), cancel_timeout};
    // If this fails the closed connection tells the engine as well.
    (void)co_await engine.cancel(attempt);
}

} // namespace

relay_request::relay_request(relay_services& services, http_exchange& exchange, asked_request asked)
    : m_way{std::make_shared<way>(services, exchange, std::move(asked))}
{}

relay_request::~relay_request() = default;

net::awaitable<void> relay_request::run()
{
    return m_way->run();
}

relay_request::way::way(relay_services& services, http_exchange& exchange, asked_request asked)
    : m_services{services}, m_exchange{exchange}, m_asked{std::move(asked)},
      m_attempt_ended{services.io, time_point::max()}, m_log{m_asked.facts ? m_asked.facts->attempt
                                                                           : std::string{},
                                                             m_asked.arrived}
{}

net::awaitable<void> relay_request::way::run()
{
    const auto self = shared_from_this();
    m_inbox = m_services.driver.open();
    m_asked.info.id = m_inbox->id();
    m_inbox->at_once = [this](const command& wanted) { note(wanted); };
    m_services.slow.emplace(this, [this] { tell_slow_caller(); });
    const auto gone = [&driver = m_services.driver, id = m_inbox->id()] {
        driver.handle(caller_gone{id});
    };
    m_admission = m_services.spans.begin("admission", span_kind::internal, m_asked.caller.context);
    if (m_asked.facts)
        m_log.admitted(m_asked.info, *m_asked.facts);
    m_services.driver.handle(request_arrived{m_asked.info});
    m_exchange.watch_caller(gone, m_asked.model.has_value() || m_asked.facts.has_value());
    bool done = false;
    while (!done) {
        const command wanted = co_await m_inbox->next();
        done = co_await carry_out(wanted);
    }
    co_await stop_attempts();
    m_exchange.unwatch_caller();
    m_services.slow.erase(this);
    m_inbox->at_once = nullptr;
    m_services.driver.close(m_inbox->id());
}

void relay_request::way::note(const command& wanted)
{
    if (m_admission) {
        m_services.spans.end(std::move(*m_admission));
        m_admission.reset();
    }
    if (const auto* order = std::get_if<send_attempt>(&wanted)) {
        const auto attempt = std::make_shared<attempt_state>();
        attempt->order = *order;
        m_log.sent(*order);
        m_attempts.emplace(order->attempt, attempt);
    }
    else if (const auto* order_deliver = std::get_if<deliver>(&wanted)) {
        const auto found = m_attempts.find(order_deliver->attempt);
        if (found != m_attempts.end())
            found->second->delivering = true;
    }
    else if (const auto* order_cancel = std::get_if<cancel_attempt>(&wanted)) {
        const auto found = m_attempts.find(order_cancel->attempt);
        if (found != m_attempts.end())
            give_up(*found->second, order_cancel->reason);
    }
}

void relay_request::way::give_up(attempt_state& attempt, cancel_reason why)
{
    m_log.attempt_cancelled(attempt.order, why, attempt.sent);
    m_services.counted.attempt_cancelled(why);
    cancel(attempt);
}

void relay_request::way::cancel(attempt_state& attempt)
{
    if (attempt.cancelled)
        return;
    attempt.cancelled = true;
    if (attempt.stream != nullptr)
        attempt.stream->cancel();
    else
        attempt.stop.emit(net::cancellation_type::terminal);
    if (attempt.sent && attempt.order.kind == pool_kind::model && !m_asked.facts)
        net::co_spawn(m_services.io,
                      cancel_at_engine(m_services.io.get_executor(), attempt.order.address,
                                       attempt.order.attempt),
                      net::detached);
}

net::awaitable<bool> relay_request::way::carry_out(const command& wanted)
{
    if (const auto* order = std::get_if<send_attempt>(&wanted)) {
        start_attempt(m_attempts.at(order->attempt));
        co_return false;
    }
    if (std::holds_alternative<complete>(wanted)) {
        co_await complete_answer();
    }
    else if (const auto* refused = std::get_if<refuse>(&wanted)) {
        co_await refuse_caller(*refused);
    }
    else if (const auto* stored = std::get_if<replay>(&wanted)) {
        co_await replay_answer(*stored);
    }
    else if (const auto* truncated = std::get_if<end_truncated>(&wanted)) {
        co_await end_cut(*truncated);
    }
    else if (std::holds_alternative<forget>(wanted)) {
        co_await forget_caller();
    }
    else
        co_return false;
    co_return true;
}

void relay_request::way::start_attempt(const attempt_ptr& attempt)
{
    if (attempt->cancelled)
        return;
    ++m_running;
    m_services.counted.attempt();
    if (attempt->order.basis.sending <= 1)
        m_services.counted.queued(std::chrono::milliseconds{attempt->order.basis.waited_ms});
    if (attempt->order.resume) {
        ++m_services.counts.resumed;
        m_services.counted.resumed();
    }
    net::co_spawn(m_services.io, run_attempt(attempt),
                  net::bind_cancellation_slot(attempt->stop.slot(), net::detached));
}

net::awaitable<void> relay_request::way::complete_answer()
{
    bool fine = true;
    if (m_held) {
        first_byte();
        m_status = m_held->status;
        fine = co_await m_exchange.begin(m_held->status, m_held->headers, m_held->body.size());
        if (fine) {
            fine = co_await m_exchange.write(m_held->body);
        }
    }
    else if (m_streaming_events && !m_asked.facts) {
        fine = co_await m_exchange.write(done_event);
    }
    if (fine) {
        fine = co_await m_exchange.finish();
    }
    if (fine)
        m_log.finished(static_cast<unsigned>(m_status), m_events, m_first_after, m_longest_pause);
    else
        m_log.abandoned(m_sent, m_events);
    ended(fine ? outcome::answered : outcome::abandoned);
}

net::awaitable<void> relay_request::way::refuse_caller(const refuse& wanted)
{
    m_services.counted.refused(wanted.failure.kind);
    const refusal shown = shown_to_caller(wanted);
    m_log.refused(wanted,
                  static_cast<unsigned>(shown.status.value_or(status_of(shown.failure.kind))));
    co_await m_exchange.refuse(shown);
    ended(outcome::refused);
}

net::awaitable<void> relay_request::way::replay_answer(const replay& wanted)
{
    m_exchange.set("jaynotch-replayed", "1");
    co_await m_exchange.answer(http::int_to_status(wanted.answer.status),
                               wanted.answer.content_type, wanted.answer.body);
    ended(outcome::replayed);
}

net::awaitable<void> relay_request::way::end_cut(const end_truncated& wanted)
{
    m_log.cut(wanted.failure, m_events);
    if (m_writing) {
        m_exchange.abort();
    }
    else {
        if (m_streaming_events && !m_asked.facts) {
            const refusal shown{.failure = wanted.failure, .ran = ran_state::unknown};
            const std::string last = error_event(refusal_body(shown));
            co_await m_exchange.write(last);
        }
        m_exchange.cut();
    }
    ended(outcome::cut);
}

net::awaitable<void> relay_request::way::forget_caller()
{
    m_log.abandoned(m_sent, m_events);
    if (!m_asked.facts && !m_exchange.header_sent() && m_exchange.half_closed() && !m_writing) {
        const refusal shown{.failure = {error_kind::cancelled,
                                        "the connection's sending half was closed before the "
                                        "answer came, which counts as giving up",
                                        "keep the connection open until the answer is whole"},
                            .ran = m_sent ? ran_state::unknown : ran_state::no,
                            .status = http::status::bad_request};
        m_exchange.close_after_answer();
        co_await m_exchange.refuse(shown);
    }
    else {
        m_exchange.abort();
    }
    ended(outcome::abandoned);
}

net::awaitable<void> relay_request::way::stop_attempts()
{
    for (auto& [id, attempt] : m_attempts)
        cancel(*attempt);
    while (m_running > 0) {
        boost::system::error_code woken;
        co_await m_attempt_ended.async_wait(net::redirect_error(net::use_awaitable, woken));
    }
}

void relay_request::way::ended(outcome how)
{
    m_services.counted.ended(how, runtime_clock::now() - m_asked.arrived);
    m_asked.caller.set("jaynotch.outcome", to_name(how));
    m_asked.caller.failed = how != outcome::answered && how != outcome::replayed;
    m_services.spans.end(std::move(m_asked.caller));
    if (how == outcome::answered || how == outcome::replayed)
        ++m_services.counts.answered;
    else if (how == outcome::refused)
        ++m_services.counts.refused;
    else if (how == outcome::cut)
        ++m_services.counts.cut;
}

void relay_request::way::first_byte()
{
    m_first_after = runtime_clock::now() - m_asked.arrived;
    m_services.counted.first_byte(m_first_after);
}

void relay_request::way::tell_slow_caller()
{
    if (!m_writing)
        return;
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt->delivering && !attempt->cancelled)
            m_services.driver.handle(attempt_progress{m_inbox->id(), id, 0});
    }
}

} // namespace jaynotch
