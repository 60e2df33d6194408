#include "daemon/relay.h"

#include "daemon/relay_headers.h"
#include "daemon/relay_way.h"
#include "daemon/sse.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// One coroutine per request executes the core's commands in order; each attempt runs in a coroutine
// of its own. An attempt's answer reaches the caller only after the core has commanded its
// delivery. run() returns only after all attempts have ended, so no attempt can write to a
// destroyed exchange.
//
// A caller that half-closes its connection while a model's answer or the answer to a forwarded
// request is pending counts as disconnected: a client that gives up looks like this, and engine
// time is scarce. A caller of a model is then sent a refusal that gives this reason, in case it
// still reads. Other requests to plain services are completed.

namespace jaynotch {

namespace {

constexpr duration cancel_timeout = std::chrono::seconds{1};

net::awaitable<void> cancel_at_engine(net::any_io_executor executor, std::string address,
                                      attempt_id attempt)
{
    engine_client engine{executor, std::move(address), cancel_timeout};
    // A failure is ignored: the engine also notices that the attempt's connection is closed.
    (void)co_await engine.cancel(attempt);
}

} // namespace

relay_request::relay_request(relay_services& services, http_exchange& exchange,
                             incoming_request incoming)
    : m_impl{std::make_shared<impl>(services, exchange, std::move(incoming))}
{}

relay_request::~relay_request() = default;

net::awaitable<void> relay_request::run()
{
    return m_impl->run();
}

relay_request::impl::impl(relay_services& services, http_exchange& exchange,
                          incoming_request incoming)
    : m_services{services}, m_exchange{exchange}, m_incoming{std::move(incoming)},
      m_attempt_ended{services.io, time_point::max()}, m_write_turns{services.io.get_executor()},
      m_log{m_incoming.metadata ? m_incoming.metadata->attempt : std::string{}, m_incoming.arrived}
{}

net::awaitable<void> relay_request::impl::run()
{
    const auto self = shared_from_this();
    m_inbox = m_services.driver.open();
    m_incoming.info.id = m_inbox->id();
    m_inbox->on_push = [this](const command& cmd) { apply_immediately(cmd); };
    m_services.slow_caller_checks.emplace(this, [this] { report_slow_caller(); });
    const auto report_caller_gone = [&driver = m_services.driver, id = m_inbox->id()] {
        driver.handle(caller_gone{id});
    };
    m_admission_span =
        m_services.spans.begin("admission", span_kind::internal, m_incoming.server_span.context);
    if (m_incoming.metadata)
        m_log.admitted(m_incoming.info, *m_incoming.metadata);
    m_services.driver.handle(request_arrived{m_incoming.info});
    m_exchange.watch_caller(report_caller_gone,
                            m_incoming.model.has_value() || m_incoming.metadata.has_value());
    bool done = false;
    while (!done) {
        const command cmd = co_await m_inbox->next();
        done = co_await execute(cmd);
    }
    co_await stop_attempts();
    m_exchange.unwatch_caller();
    m_services.slow_caller_checks.erase(this);
    m_inbox->on_push = nullptr;
    m_services.driver.close(m_inbox->id());
}

void relay_request::impl::apply_immediately(const command& cmd)
{
    if (m_admission_span) {
        m_services.spans.end(std::move(*m_admission_span));
        m_admission_span.reset();
    }
    if (const auto* send_command = std::get_if<send_attempt>(&cmd)) {
        const auto attempt = std::make_shared<attempt_state>();
        attempt->send_command = *send_command;
        m_log.sent(*send_command);
        m_attempts.emplace(send_command->attempt, attempt);
    }
    else if (const auto* deliver_command = std::get_if<deliver>(&cmd)) {
        const auto found = m_attempts.find(deliver_command->attempt);
        if (found != m_attempts.end())
            found->second->delivering = true;
    }
    else if (const auto* cancel_command = std::get_if<cancel_attempt>(&cmd)) {
        const auto found = m_attempts.find(cancel_command->attempt);
        if (found != m_attempts.end())
            cancel_on_command(*found->second, *cancel_command);
    }
    else if (const auto* held = std::get_if<attempt_held>(&cmd)) {
        const auto found = m_attempts.find(held->attempt);
        if (found != m_attempts.end())
            m_log.attempt_held(found->second->send_command, *held);
        m_services.exported_metrics.attempt_held(held->reason);
    }
}

void relay_request::impl::cancel_on_command(attempt_state& attempt, const cancel_attempt& cmd)
{
    m_log.attempt_cancelled(attempt.send_command, cmd, attempt.sent);
    m_services.exported_metrics.attempt_cancelled(cmd.reason);
    cancel(attempt);
}

void relay_request::impl::cancel(attempt_state& attempt)
{
    if (attempt.cancelled)
        return;
    attempt.cancelled = true;
    if (attempt.stream != nullptr)
        attempt.stream->cancel();
    else
        attempt.cancel_signal.emit(net::cancellation_type::terminal);
    if (attempt.sent && attempt.send_command.kind == pool_kind::model && !m_incoming.metadata)
        net::co_spawn(m_services.io,
                      cancel_at_engine(m_services.io.get_executor(), attempt.send_command.address,
                                       attempt.send_command.attempt),
                      net::detached);
}

net::awaitable<bool> relay_request::impl::execute(const command& cmd)
{
    if (const auto* send_command = std::get_if<send_attempt>(&cmd)) {
        start_attempt(m_attempts.at(send_command->attempt));
        co_return false;
    }
    if (std::holds_alternative<complete>(cmd)) {
        co_await complete_answer();
    }
    else if (const auto* refused = std::get_if<refuse>(&cmd)) {
        co_await refuse_caller(*refused);
    }
    else if (const auto* stored = std::get_if<replay>(&cmd)) {
        co_await replay_answer(*stored);
    }
    else if (const auto* truncated = std::get_if<end_truncated>(&cmd)) {
        co_await truncate_answer(*truncated);
    }
    else if (std::holds_alternative<forget>(cmd)) {
        co_await end_abandoned();
    }
    else
        co_return false;
    co_return true;
}

void relay_request::impl::start_attempt(const attempt_ptr& attempt)
{
    if (attempt->cancelled)
        return;
    ++m_running_attempts;
    m_services.exported_metrics.attempt();
    if (attempt->send_command.basis.sending <= 1)
        m_services.exported_metrics.queued(
            std::chrono::milliseconds{attempt->send_command.basis.waited_ms});
    if (attempt->send_command.resume) {
        ++m_services.counts.resumed;
        m_services.exported_metrics.resumed();
    }
    net::co_spawn(m_services.io, run_attempt(attempt),
                  net::bind_cancellation_slot(attempt->cancel_signal.slot(), net::detached));
}

net::awaitable<void> relay_request::impl::complete_answer()
{
    bool succeeded = true;
    if (m_buffered_answer) {
        record_first_byte();
        m_status = m_buffered_answer->status;
        succeeded = co_await m_exchange.begin(m_buffered_answer->status, m_buffered_answer->headers,
                                              m_buffered_answer->body.size());
        for (const std::string& block : m_buffered_answer->body.blocks()) {
            if (succeeded)
                succeeded = co_await m_exchange.write(block);
        }
    }
    else if (m_streaming_events && !m_incoming.metadata) {
        succeeded = co_await m_exchange.write(done_event);
    }
    if (succeeded) {
        succeeded = co_await m_exchange.finish();
    }
    if (succeeded)
        m_log.finished(static_cast<unsigned>(m_status), m_event_count, m_time_to_first_byte,
                       m_max_event_gap);
    else
        m_log.abandoned(m_any_attempt_sent, m_event_count);
    record_outcome(succeeded ? outcome::answered : outcome::abandoned);
}

net::awaitable<void> relay_request::impl::refuse_caller(const refuse& cmd)
{
    m_services.exported_metrics.refused(cmd.failure.kind);
    const refusal reply = make_refusal(cmd);
    m_log.refused(cmd, static_cast<unsigned>(reply.status.value_or(status_of(reply.failure.kind))));
    if (m_incoming.info.relayed) {
        m_exchange.set(refused_header, to_name(cmd.failure.kind));
        if (cmd.reached_server)
            m_exchange.set(reached_server_header, "1");
        if (cmd.reaches_no_server)
            m_exchange.set(reaches_no_server_header, "1");
    }
    co_await m_exchange.refuse(reply);
    record_outcome(outcome::refused);
}

net::awaitable<void> relay_request::impl::replay_answer(const replay& cmd)
{
    m_exchange.set("jaynotch-replayed", "1");
    co_await m_exchange.answer(http::int_to_status(cmd.answer.status), cmd.answer.content_type,
                               cmd.answer.body);
    record_outcome(outcome::replayed);
}

net::awaitable<void> relay_request::impl::truncate_answer(const end_truncated& cmd)
{
    m_log.cut(cmd, m_event_count);
    if (m_write_turns.busy()) {
        m_exchange.abort();
    }
    else {
        if (m_streaming_events && !m_incoming.metadata) {
            const refusal reply{.failure = cmd.failure, .ran = ran_state::unknown};
            const std::string last = error_event(refusal_body(reply));
            co_await m_exchange.write(last);
        }
        m_exchange.cut();
    }
    record_outcome(outcome::cut);
}

net::awaitable<void> relay_request::impl::end_abandoned()
{
    m_log.abandoned(m_any_attempt_sent, m_event_count);
    if (!m_incoming.metadata && !m_exchange.header_sent() && m_exchange.half_closed() &&
        !m_write_turns.busy())
    {
        const refusal reply{.failure = {error_kind::cancelled,
                                        "the connection's sending half was closed before the "
                                        "answer came, which counts as giving up",
                                        "keep the connection open until the answer is whole"},
                            .ran = m_any_attempt_sent ? ran_state::unknown : ran_state::no,
                            .status = http::status::bad_request};
        m_exchange.close_after_answer();
        co_await m_exchange.refuse(reply);
    }
    else {
        m_exchange.abort();
    }
    record_outcome(outcome::abandoned);
}

net::awaitable<void> relay_request::impl::stop_attempts()
{
    for (auto& [id, attempt] : m_attempts)
        cancel(*attempt);
    while (m_running_attempts > 0) {
        boost::system::error_code ignored;
        co_await m_attempt_ended.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
}

void relay_request::impl::record_outcome(outcome how)
{
    m_services.exported_metrics.ended(how, runtime_clock::now() - m_incoming.arrived);
    m_incoming.server_span.set("jaynotch.outcome", to_name(how));
    m_incoming.server_span.failed = how != outcome::answered && how != outcome::replayed;
    m_services.spans.end(std::move(m_incoming.server_span));
    if (how == outcome::answered || how == outcome::replayed)
        ++m_services.counts.answered;
    else if (how == outcome::refused)
        ++m_services.counts.refused;
    else if (how == outcome::cut)
        ++m_services.counts.cut;
}

void relay_request::impl::record_first_byte()
{
    m_time_to_first_byte = runtime_clock::now() - m_incoming.arrived;
    m_services.exported_metrics.first_byte(m_time_to_first_byte);
}

void relay_request::impl::report_slow_caller()
{
    if (!m_write_turns.busy())
        return;
    for (const auto& [id, attempt] : m_attempts) {
        if (!attempt->delivering || attempt->cancelled)
            continue;
        m_services.driver.handle(attempt_progress{m_inbox->id(), id, 0});
        start_reading_ahead(attempt);
    }
}

} // namespace jaynotch
