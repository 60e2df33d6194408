#include "daemon/request_log.h"

#include <cmath>

// Refusals, cuts and failed sendings are warnings: they are what an engineer looks for, and they
// are kept when routine lines have to be dropped.

namespace jaynotch {

namespace {

std::int64_t to_ms(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
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

void request_log::sent(const send_attempt& order) const
{
    if (m_request.empty())
        return;
    const pick_basis& basis = order.basis;
    log_event(log_level::info, order.resume ? "request_resumed" : "request_sent",
              {{"request", m_request},
               {"sending", basis.sending},
               {"servers_used", basis.servers_used},
               {"most_servers", basis.most_servers},
               {"target", order.target.value()},
               {"server", order.instance.value()},
               {"workspace", order.workspace.value()},
               {"route", basis.route},
               {"first_target_ms", basis.first_target.count()},
               {"pause_target_ms", basis.gap_target.count()},
               {"waited_ms", basis.waited_ms},
               {"own", basis.own},
               {"others", std::llround(basis.others)},
               {"load_age_ms", basis.load_age_ms},
               {"predicted_ms", std::llround(basis.predicted_ms)},
               {"candidates", basis.candidates}});
}

void request_log::attempt_over(log_level level, std::string_view kind, const send_attempt& order,
                               std::string_view reason, bool sent) const
{
    if (m_request.empty())
        return;
    log_event(level, kind,
              {{"request", m_request},
               {"sending", order.basis.sending},
               {"target", order.target.value()},
               {"server", order.instance.value()},
               {"reason", reason},
               {"sent", sent},
               {"age_ms", age_ms()}});
}

void request_log::attempt_ended(const send_attempt& order, std::string_view reason, bool sent) const
{
    attempt_over(log_level::warning, "attempt_failed", order, reason, sent);
}

void request_log::attempt_cancelled(const send_attempt& order, cancel_reason why, bool sent) const
{
    const bool routine = why == cancel_reason::caller_gone;
    attempt_over(routine ? log_level::info : log_level::warning, "attempt_cancelled", order,
                 to_name(why), sent);
}

void request_log::attempt_repeated(const send_attempt& order) const
{
    if (m_request.empty())
        return;
    log_event(log_level::warning, "attempt_repeated",
              {{"request", m_request},
               {"sending", order.basis.sending},
               {"target", order.target.value()},
               {"server", order.instance.value()},
               {"age_ms", age_ms()}});
}

void request_log::refused(const refuse& wanted, unsigned status) const
{
    if (m_request.empty())
        return;
    log_event(log_level::warning, "request_refused",
              {{"request", m_request},
               {"route", wanted.route},
               {"status", status},
               {"kind_of_error", to_name(wanted.failure.kind)},
               {"message", wanted.failure.message},
               {"ran", to_name(wanted.ran)},
               {"retry_after_ms", wanted.retry_after ? wanted.retry_after->count() : -1},
               {"age_ms", age_ms()}});
}

void request_log::finished(unsigned status, std::uint64_t events, duration first_after,
                           duration longest_pause) const
{
    if (m_request.empty())
        return;
    log_event(log_level::info, "request_finished",
              {{"request", m_request},
               {"status", status},
               {"events", events},
               {"first_ms", to_ms(first_after)},
               {"pause_ms", to_ms(longest_pause)},
               {"age_ms", age_ms()}});
}

void request_log::cut(const error& why, std::uint64_t events) const
{
    if (m_request.empty())
        return;
    log_event(log_level::warning, "request_cut",
              {{"request", m_request},
               {"message", why.message},
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
