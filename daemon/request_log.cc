#include "daemon/request_log.h"

#include <cmath>

// Refusals, truncated answers and failed attempts are logged as warnings: these are what one looks
// for during an incident, and warnings are kept when routine lines have to be dropped.

namespace jaynotch {

namespace {

std::int64_t to_ms(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Whole retries; a fraction allows none.
std::int64_t whole(double retries)
{
    return static_cast<std::int64_t>(std::floor(retries));
}

} // namespace

request_log::request_log(std::string request, time_point arrived)
    : m_request{std::move(request)}, m_arrived{arrived}
{}

std::int64_t request_log::age_ms() const
{
    return to_ms(runtime_clock::now() - m_arrived);
}

void request_log::admitted(const request_info& info, const call_metadata& metadata) const
{
    if (m_request.empty())
        return;
    log_event(log_level::info, "request_admitted",
              {{"request", m_request},
               {"method", info.method},
               {"host", info.host},
               {"path", info.path},
               {"model", info.model},
               {"prompt_tokens", info.prompt_tokens},
               {"patience_ms", metadata.caller_timeout ? metadata.caller_timeout->count() : -1},
               {"after_event", metadata.after_event.value_or(0)}});
}

void request_log::sent(const send_attempt& attempt) const
{
    if (m_request.empty())
        return;
    const pick_basis& basis = attempt.basis;
    log_event(log_level::info, attempt.resume ? "request_resumed" : "request_sent",
              {{"request", m_request},
               {"sending", basis.sending},
               {"servers_used", basis.servers_used},
               {"most_servers", basis.most_servers},
               {"retries_left", whole(basis.retries_left)},
               {"target", attempt.target.value()},
               {"server", attempt.instance.value()},
               {"workspace", attempt.workspace.value()},
               {"route", basis.route},
               {"first_target_ms", basis.first_target.count()},
               {"pause_target_ms", basis.gap_target.count()},
               {"waited_ms", basis.waited_ms},
               {"own", basis.own},
               {"others", std::llround(basis.others)},
               {"load_age_ms", basis.load_age_ms},
               {"predicted_ms", std::llround(basis.predicted_ms)},
               {"candidates", basis.candidates},
               {"through_node", attempt.relayed.has_value()}});
}

void request_log::attempt_failed(const send_attempt& attempt, std::string_view reason,
                                 bool sent) const
{
    if (m_request.empty())
        return;
    log_event(log_level::warning, "attempt_failed",
              {{"request", m_request},
               {"sending", attempt.basis.sending},
               {"target", attempt.target.value()},
               {"server", attempt.instance.value()},
               {"reason", reason},
               {"sent", sent},
               {"age_ms", age_ms()}});
}

void request_log::attempt_cancelled(const send_attempt& attempt, const cancel_attempt& cmd,
                                    bool sent) const
{
    if (m_request.empty())
        return;
    const bool routine = cmd.reason == cancel_reason::caller_gone;
    log_event(routine ? log_level::info : log_level::warning, "attempt_cancelled",
              {{"request", m_request},
               {"sending", attempt.basis.sending},
               {"target", attempt.target.value()},
               {"server", attempt.instance.value()},
               {"reason", to_name(cmd.reason)},
               {"silent_ms", to_ms(cmd.silent_for)},
               {"sent", sent},
               {"age_ms", age_ms()}});
}

void request_log::attempt_refused(const send_attempt& attempt, unsigned status, duration since_sent,
                                  std::optional<std::chrono::milliseconds> pause) const
{
    if (m_request.empty())
        return;
    log_event(log_level::info, "attempt_refused",
              {{"request", m_request},
               {"sending", attempt.basis.sending},
               {"target", attempt.target.value()},
               {"server", attempt.instance.value()},
               {"status", status},
               {"since_sent_ms", to_ms(since_sent)},
               {"pause_ms", pause ? pause->count() : -1},
               {"age_ms", age_ms()}});
}

void request_log::attempt_held(const send_attempt& attempt, const jaynotch::attempt_held& cmd) const
{
    if (m_request.empty())
        return;
    log_event(log_level::info, "attempt_held",
              {{"request", m_request},
               {"sending", attempt.basis.sending},
               {"target", attempt.target.value()},
               {"server", attempt.instance.value()},
               {"reason", to_name(cmd.reason)},
               {"silent_ms", to_ms(cmd.silent_for)},
               {"age_ms", age_ms()}});
}

void request_log::log_resend(std::string_view kind, const send_attempt& attempt,
                             double retries_left) const
{
    if (m_request.empty())
        return;
    log_event(log_level::warning, kind,
              {{"request", m_request},
               {"sending", attempt.basis.sending},
               {"target", attempt.target.value()},
               {"server", attempt.instance.value()},
               {"retries_left", whole(retries_left)},
               {"age_ms", age_ms()}});
}

void request_log::attempt_repeated(const send_attempt& attempt, double retries_left) const
{
    log_resend("attempt_repeated", attempt, retries_left);
}

void request_log::resend_denied(const send_attempt& attempt, double retries_left) const
{
    log_resend("resend_denied", attempt, retries_left);
}

void request_log::refused(const refuse& cmd, unsigned status) const
{
    if (m_request.empty())
        return;
    log_event(log_level::warning, "request_refused",
              {{"request", m_request},
               {"route", cmd.route},
               {"status", status},
               {"kind_of_error", to_name(cmd.failure.kind)},
               {"message", cmd.failure.message},
               {"ran", to_name(cmd.ran)},
               {"retry_after_ms", cmd.retry_after ? cmd.retry_after->count() : -1},
               {"age_ms", age_ms()}});
}

void request_log::finished(unsigned status, std::uint64_t events, duration time_to_first_byte,
                           duration max_event_gap) const
{
    if (m_request.empty())
        return;
    log_event(log_level::info, "request_finished",
              {{"request", m_request},
               {"status", status},
               {"events", events},
               {"first_ms", to_ms(time_to_first_byte)},
               {"pause_ms", to_ms(max_event_gap)},
               {"age_ms", age_ms()}});
}

void request_log::cut(const end_truncated& cmd, std::uint64_t events) const
{
    if (m_request.empty())
        return;
    log_event(log_level::warning, "request_cut",
              {{"request", m_request},
               {"message", cmd.failure.message},
               {"servers_used", cmd.servers_used},
               {"most_servers", cmd.most_servers},
               {"retries_left", whole(cmd.retries_left)},
               {"silent_servers", cmd.silent_servers},
               {"servers", cmd.servers},
               {"events", events},
               {"age_ms", age_ms()}});
}

void request_log::abandoned(bool sent, std::uint64_t events) const
{
    if (m_request.empty())
        return;
    log_event(log_level::info, "request_abandoned",
              {{"request", m_request}, {"sent", sent}, {"events", events}, {"age_ms", age_ms()}});
}

} // namespace jaynotch
