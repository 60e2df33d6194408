// What becomes of a sending.
//
// The truth about a request is one bit, `may_have_run`. It is set when a sending of which a byte
// may have left ends in any way other than the backend server's own word that it did not run. It is
// never unset: a later sending that certainly did not run says nothing about the earlier one.
// Hence
//   - "did not run" is said only if the bit is clear when the request ends;
//   - a request that must not be repeated is sent again only while the bit is clear, and only by
//     the one that holds its claim;
//   - an answer is handed on only from the request's present attempt, if the answer names it.
// A stream that was handed on in part goes on only from a target of the same version, so that no
// answer is made of two models.
#include "routing/request_state.h"

namespace jaynotch {

namespace {

/// Statuses by which a server says that it, not the request, is at fault.
bool is_server_trouble(std::uint32_t status)
{
    constexpr std::uint32_t too_many_requests = 429;
    constexpr std::uint32_t bad_gateway = 502;
    constexpr std::uint32_t unavailable = 503;
    constexpr std::uint32_t gateway_timeout = 504;
    return status == too_many_requests || status == bad_gateway || status == unavailable ||
           status == gateway_timeout;
}

/// Sendings that certainly did not run may be repeated at least this often, whatever the route.
constexpr std::uint32_t least_safe_retries = 2;

/// Of a request that may run on several servers; beyond that something else is wrong.
constexpr std::uint32_t most_sendings = 4;

/// Whether the server may have run the request. Only its own word proves that it did not: silence
/// and a closed connection also come from servers that run it to the end. Of a repeated sending its
/// word covers only what it got last.
bool may_have_run_there(const attempt_row& attempt, attempt_failure reason)
{
    const bool said_not = reason == attempt_failure::refused_did_not_run;
    return attempt.sent && (attempt.repeated || !said_not);
}

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

error error_for(attempt_failure reason)
{
    switch (reason) {
    case attempt_failure::not_connected:
        return {error_kind::unavailable, "no backend server could be reached", "send it again"};
    case attempt_failure::refused_did_not_run:
        return {error_kind::unavailable, "the backend servers refused it", "send it again"};
    case attempt_failure::stalled:
        return {error_kind::unavailable, "the backend server stopped answering", "send it again"};
    case attempt_failure::cut:
        return {error_kind::unavailable, "the backend server was lost before its answer was whole",
                "send it again"};
    case attempt_failure::protocol:
    case attempt_failure::wrong_attempt:
    case attempt_failure::version_changed:
        break;
    }
    return {error_kind::protocol, "the backend server's answer could not be trusted",
            "send it again; if it persists look at the server in the status page"};
}

} // namespace

request_row* request_core::state::find_attempt(request_id request, attempt_id attempt)
{
    const auto found = requests.find(request);
    if (found == requests.end() || !found->second.has_attempt ||
        found->second.attempt.id != attempt)
        return nullptr;
    return &found->second;
}

void request_core::state::on_sent(const attempt_sent& sent, time_point now)
{
    request_row* row = find_attempt(sent.request, sent.attempt);
    if (row == nullptr)
        return;
    row->attempt.repeated = row->attempt.sent;
    row->attempt.sent = true;
    if (row->attempt.repeated)
        use_limit(targets.at(row->attempt.target), now);
    // The same server once more: no further server, but further load on its service.
    if (row->attempt.repeated && settings.retry_budget && settings.charge_every_repeat)
        (void)pools.at(row->terms.pool).budget.take();
}

void request_core::state::on_head(const attempt_head& head, time_point now, command_list& out)
{
    request_row* row = find_attempt(head.request, head.attempt);
    if (row == nullptr || row->phase != request_phase::sending) {
        // Late, or a second answer to the same attempt.
        ++counters.answers_dropped;
        return;
    }
    row->attempt.sent = true;
    const auto drop = [&](attempt_failure reason) {
        if (reason != attempt_failure::refused_did_not_run)
            ++counters.answers_dropped;
        cancel(*row, cancel_reason::answer_unusable, out);
        end_attempt(*row, reason, attempt_end::failed, now, out);
    };
    if (head.echoed && *head.echoed != head.attempt)
        return drop(attempt_failure::wrong_attempt);
    if (head.wrong_instance && settings.mechanisms.has(mechanism::refusal_pause))
        note_refusal(targets.at(row->attempt.target).health, now);
    if (head.says_did_not_run || head.wrong_instance)
        return drop(attempt_failure::refused_did_not_run);
    // Part of a stream has gone out under its own head. A second head, a failure's mostly, would
    // reach the caller as garbage among the events and end the stream as if it were complete.
    if (head.whole && row->head_given)
        return drop(attempt_failure::cut);
    if (!head.version.empty() && head.version != row->attempt.version)
        return drop(attempt_failure::version_changed);
    if (is_server_trouble(head.status)) {
        pools.at(row->terms.pool).limit.note_overload();
        // What was handed on in part can't go on with an error's body; the rest is handed on as it
        // is if another sending is not allowed.
        if (row->head_given || may_send_again(*row, attempt_failure::cut))
            return drop(attempt_failure::cut);
    }
    constexpr std::uint32_t server_error = 500;
    if (head.status == server_error && row->terms.retry_server_errors && !row->head_given &&
        may_send_again(*row, attempt_failure::cut) && pools.at(row->terms.pool).budget.has_one())
        return drop(attempt_failure::cut);
    note_success(targets.at(row->attempt.target).health);
    note_heard(*row, now);
    row->phase = request_phase::answering;
    row->attempt.last_part = now;
    row->given_version = row->attempt.version;
    row->head_given = true;
    if (row->terms.pool < pools.size() && pools.at(row->terms.pool).info.kind == pool_kind::plain)
        note_first_part(*row, now);
    out.emplace_back(deliver{row->info.id, row->attempt.id});
    set_wake(*row, next_check(*row));
}

/// A byte of an answer shows that its target is at work.
void request_core::state::note_heard(request_row& row, time_point now)
{
    target_row& target = targets.at(row.attempt.target);
    target.heard = now;
    target.health.silent = false;
    drop_pending(row);
}

void request_core::state::drop_pending(request_row& row)
{
    target_row& target = targets.at(row.attempt.target);
    target.pending_tokens -= std::min(target.pending_tokens, row.attempt.pending_tokens);
    row.attempt.pending_tokens = 0;
}

void request_core::state::note_first_part(request_row& row, time_point now)
{
    if (row.attempt.first_part_in || !head_comes_early(row))
        return;
    row.attempt.first_part_in = true;
    const double took_s = seconds(now - row.attempt.started);
    pools.at(row.terms.pool).limit.note_first_token(took_s, seconds(row.terms.timeout));
    note_first_token(targets.at(row.attempt.target).health, took_s);
}

void request_core::state::on_progress(const attempt_progress& part, time_point now)
{
    request_row* row = find_attempt(part.request, part.attempt);
    if (row == nullptr)
        return;
    row->attempt.sent = true;
    if (part.tokens > 0 && row->attempt.first_part_in && !row->attempt.waits_for_caller) {
        constexpr double smoothing = 0.1;
        constexpr double ms_in_second = 1000.0;
        const double gap_ms = ms_in_second * seconds(now - row->attempt.last_part) / part.tokens;
        double& usual_ms = targets.at(row->attempt.target).health.gap_ms;
        usual_ms += smoothing * (gap_ms - usual_ms);
    }
    note_heard(*row, now);
    row->attempt.last_part = now;
    if (row->attempt.waits_for_caller) {
        row->attempt.waits_for_caller = false;
        if (row->phase == request_phase::answering && row->wake > next_check(*row))
            set_wake(*row, next_check(*row));
    }
    note_first_part(*row, now);
}

void request_core::state::on_waits(const attempt_waits& waiting)
{
    request_row* row = find_attempt(waiting.request, waiting.attempt);
    if (row != nullptr && row->phase == request_phase::answering)
        row->attempt.waits_for_caller = true;
}

void request_core::state::on_finished(const attempt_finished& finished, time_point now,
                                      command_list& out)
{
    request_row* row = find_attempt(finished.request, finished.attempt);
    if (row == nullptr) {
        ++counters.answers_dropped;
        return;
    }
    row->attempt.sent = true;
    if (!finished.whole || row->phase != request_phase::answering) {
        end_attempt(*row, attempt_failure::protocol, attempt_end::failed, now, out);
        return;
    }
    pools.at(row->terms.pool).note_service(seconds(now - row->attempt.started));
    leave_target(*row);
    if (row->keyed)
        claims.record_ran(row->info.id, finished.answer, now);
    finish_complete(*row, out);
}

void request_core::state::on_failed(const attempt_failed& failed, time_point now, command_list& out)
{
    if (request_row* row = find_attempt(failed.request, failed.attempt); row != nullptr)
        end_attempt(*row, failed.reason, attempt_end::failed, now, out);
}

bool request_core::state::may_send_again(const request_row& row, attempt_failure reason) const
{
    const bool ran = may_have_run_there(row.attempt, reason);
    const bool may_have_run_now = row.may_have_run || ran;
    if (row.terms.most_servers > 0) {
        // Sendings that did not run use up none of the servers that it may run on.
        const std::uint32_t used = row.servers_used + (ran ? 1 : 0);
        if (used >= row.terms.most_servers || row.retries_used >= most_sendings)
            return false;
        if (row.head_given)
            return row.terms.resumable;
    }
    if (row.head_given)
        return row.terms.resumable && row.retries_used < std::max(1U, row.terms.retries);
    if (row.attempt.sent && !row.info.body_kept)
        return false;
    switch (row.terms.repeat) {
    case repeat_policy::idempotent:
        if (may_have_run_now)
            return row.retries_used < row.terms.retries;
        return row.retries_used < std::max(row.terms.retries, least_safe_retries);
    case repeat_policy::keyed:
        // Without a key there is no claim, and it is as never.
        if (row.keyed)
            return !may_have_run_now && row.retries_used < least_safe_retries;
        [[fallthrough]];
    case repeat_policy::never:
        return !row.attempt.sent && !may_have_run_now && row.retries_used < least_safe_retries;
    }
    return false;
}

void request_core::state::end_attempt(request_row& row, attempt_failure reason, attempt_end end,
                                      time_point now, command_list& out)
{
    const bool again = may_send_again(row, reason);
    if (may_have_run_there(row.attempt, reason)) {
        ++row.servers_used;
        row.may_have_run = true;
    }
    pool_row& pool = pools.at(row.terms.pool);
    if (end == attempt_end::failed && reason != attempt_failure::refused_did_not_run &&
        reason != attempt_failure::version_changed)
        note_failure(targets.at(row.attempt.target).health);
    const bool not_whole =
        reason == attempt_failure::refused_did_not_run && pool.info.kind == pool_kind::model;
    if (not_whole && settings.mechanisms.has(mechanism::refusal_pause))
        note_refusal(targets.at(row.attempt.target).health, now);
    leave_target(row);

    const bool in_time = row.head_given || now < row.deadline;
    if (!again || !in_time || row.caller_left) {
        finish_failed(row, error_for(reason), now, out);
        return;
    }
    const bool charged = is_charged(row, end == attempt_end::failed && !not_whole);
    if (charged && !pool.budget.take()) {
        ++counters.retries_denied;
        finish_failed(row, error_for(reason), now, out);
        return;
    }
    ++row.retries_used;
    const pool_index index = row.terms.pool;
    requeue(row, now);
    dispatch(index, now, out);
}

/// Whether sending it again is charged to the budget that guards against retry storms. A group's
/// loss is no overload, a resumed stream is bounded by what was in flight, and a group that says it
/// is not whole costs it nothing and gets no more for a moment: none of these is, unless every
/// repeat is.
bool request_core::state::is_charged(const request_row& row, bool servers_fault) const
{
    const bool costs =
        settings.charge_every_repeat ? row.attempt.sent : servers_fault && !row.head_given;
    return settings.retry_budget && costs;
}

void request_core::state::cancel(request_row& row, cancel_reason why, command_list& out)
{
    const target& at = targets.at(row.attempt.target).info;
    out.emplace_back(cancel_attempt{row.info.id, row.attempt.id, at.id, at.address, why});
}

void request_core::state::leave_target(request_row& row)
{
    if (!row.has_attempt)
        return;
    row.has_attempt = false;
    drop_pending(row);
    --targets.at(row.attempt.target).own;
    pool_row& pool = pools.at(row.terms.pool);
    pool.view.own -= pool.view.own > 0 ? 1 : 0;
    --pool.in_flight;
    if (targets.at(row.attempt.target).leaving() && pool.departing > 0)
        --pool.departing;
    --pool.use_of(row.info.workspace, peers).in_flight;
    pool.drop_if_unused(row.info.workspace);
}

void request_core::state::on_caller_gone(request_id request, time_point now, command_list& out)
{
    const auto found = requests.find(request);
    if (found == requests.end())
        return;
    request_row& row = found->second;
    if (row.keyed && row.has_attempt && row.attempt.sent) {
        // It may have taken effect already. Let it end, so that its record says what came of it and
        // the caller, who may only have lost the signal, is told when it asks again.
        row.caller_left = true;
        return;
    }
    if (row.has_attempt) {
        row.may_have_run = row.may_have_run || row.attempt.sent;
        cancel(row, cancel_reason::caller_gone, out);
        leave_target(row);
    }
    finish_forget(row, now, out);
}

} // namespace jaynotch
