// What tells the overload limit of requests that are late.
//
// Each request that is sent to a server is judged once: when its answer begins, or when it should
// have begun. Where the engines' speed is known, an answer that takes half of the time for its
// first byte is late already, since admission expected it far earlier; elsewhere a slow answer may
// be normal, and only one that doesn't come before the deadline is late. Streams are judged a
// second time when they end.
#include "routing/engine_model.h"
#include "routing/request_state.h"

#include <utility>

namespace jaynotch {

namespace {

/// Part of this node's share of the engines' places that it uses until it has seen what they bear.
constexpr double part_of_places_at_start = 0.25;
/// Base of Retry-After, seconds, where requests take less.
constexpr double min_return_s = 0.5;

} // namespace

/// Whether the limit on open requests lets one more in.
bool request_core::state::admits_one_more()
{
    if (!settings.admission || !settings.mechanisms.has(mechanism::overload_limit))
        return true;
    if (settings.started_again && overload.starting())
        overload.begin_with(part_of_places_at_start * share_of_places());
    // Requests that hang may fill the limit while one more would find out where they are served.
    if (std::exchange(wants_detour_trial, false))
        return true;
    return overload.admit(requests.size());
}

refuse request_core::state::overload_refusal(request_id request, double wait_s)
{
    ++counters.refused;
    ++counters.refused_overload;
    return {request,
            {error_kind::overloaded, "this node has as many requests as are answered in time",
             "come back after the time in Retry-After"},
            ran_state::no,
            retry_after(std::max(min_return_s, wait_s)),
            {},
            false};
}

std::optional<refuse> request_core::state::refuse_early()
{
    if (admits_one_more())
        return std::nullopt;
    ++counters.arrived;
    return overload_refusal({}, 0.0);
}

bool request_core::state::refuse_overload(const request_info& info, const pool_row& pool,
                                          command_list& out)
{
    if (admits_one_more())
        return false;
    out.emplace_back(overload_refusal(info.id, pool.service_s));
    return true;
}

/// Events of the request's stream with `more`, or those of a usual stream if they are more.
double request_core::state::events_expected(const request_row& row, std::uint32_t more) const
{
    const engine_figures& engine = pools.at(row.terms.pool).info.engine;
    const double usual = engine.mean_answer_tokens / std::max(1.0, double(engine.steps_per_pass));
    return std::max(usual, static_cast<double>(row.attempt.events + more));
}

/// Places of all model servers, divided among the nodes; 0 if there are none.
double request_core::state::share_of_places() const
{
    double places = 0.0;
    for (pool_index index = 0; index < pools.size(); ++index) {
        if (!pools.at(index).modelled())
            continue;
        for (const target_row_index at : pools.at(index).view.targets)
            places += static_cast<double>(targets.at(at).info.places);
    }
    return places / static_cast<double>(fleet_size);
}

/// Predicted time between two events of the request's stream, if its engine is full.
duration request_core::state::usual_gap(const request_row& row) const
{
    const double gap_ms =
        pass_ms(pools.at(row.terms.pool).info.engine, targets.at(row.attempt.target).info.places);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{gap_ms});
}

/// Notes when the answer to a request that is sent for the first time has to begin.
void request_core::state::await_begin(request_row& row, time_point now)
{
    if (row.begin_state != answer_begin::unsent)
        return;
    const duration left = row.deadline - now;
    const bool modelled = pools.at(row.terms.pool).modelled();
    row.first_sent = now;
    row.begin_due = now + (modelled ? left / 2 : left);
    row.begin_state = answer_begin::awaited;
    begins_due.insert({row.begin_due, row.info.id});
}

void request_core::state::stop_awaiting_begin(request_row& row)
{
    if (row.begin_state != answer_begin::awaited)
        return;
    begins_due.erase({row.begin_due, row.info.id});
    row.begin_state = answer_begin::judged;
}

void request_core::state::note_begun(request_row& row)
{
    if (row.begin_state == answer_begin::awaited)
        overload.note_begun(row.first_sent, begin_result::in_time);
    stop_awaiting_begin(row);
}

void request_core::state::note_late(request_row& row)
{
    stop_awaiting_begin(row);
    overload.note_begun(row.first_sent, begin_result::late);
}

/// An answer that is far slower than its engine should be and takes most of the time that it has
/// is a sign of overload before the first one is too late.
void request_core::state::note_answer_ended(const request_row& row, end_of_answer how,
                                            time_point now)
{
    constexpr double slow_factor = 2.0;
    const pool_row& pool = pools.at(row.terms.pool);
    const attempt_row& attempt = row.attempt;
    if (row.begin_state == answer_begin::unsent || !pool.modelled() || !attempt.first_part_received)
        return;
    if (how == end_of_answer::complete)
        overload.pace().note_complete(attempt.events);
    const double usual_ms =
        attempt.events * std::chrono::duration<double, std::milli>{usual_gap(row)}.count();
    const std::chrono::duration<double, std::milli> took = now - attempt.first_part;
    const bool slow = took.count() > slow_factor * usual_ms;
    const bool almost_late = now - row.first_sent > (row.answer_deadline - row.first_sent) / 2;
    const bool by_overload = slow && almost_late;
    if (how == end_of_answer::complete)
        overload.note_ended(row.first_sent, by_overload ? end_result::slow : end_result::complete);
    else if (slow)
        overload.note_ended(row.first_sent, end_result::incomplete);
}

/// A caller that leaves after most of the time for the answer to begin has not left early.
void request_core::state::note_caller_left(request_row& row, time_point now)
{
    const bool awaited = row.begin_state == answer_begin::awaited;
    if (awaited && now - row.first_sent > (row.begin_due - row.first_sent) / 2)
        note_late(row);
}

void request_core::state::review_overload(time_point now, command_list& out)
{
    while (!begins_due.empty() && begins_due.begin()->at <= now)
        note_late(requests.at(begins_due.begin()->request));
    const bool limited = overload.limit().has_value();
    const std::optional<overload_window> lowered = overload.tick(requests.size(), now);
    if (lowered || overload.limit().has_value() != limited)
        out.emplace_back(overload_changed{overload.limit(), requests.size(),
                                          counters.refused_overload,
                                          lowered.value_or(overload_window{})});
}

} // namespace jaynotch
