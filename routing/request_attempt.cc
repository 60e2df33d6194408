// Progress and end of an attempt, and the decision to retry.
//
// Whether a request may have run is tracked by one flag, `may_have_run`. It is set when an attempt
// of which a byte may have been sent ends in any way other than the backend server's own report
// that it did not run. It is never reset: a later attempt that certainly did not run proves nothing
// about an earlier one. Hence
//   - "did not run" is reported only if the flag is clear when the request ends;
//   - a request that must not be repeated is retried only while the flag is clear and, if keyed,
//     only by the owner of its claim;
//   - an answer is delivered only from the request's current attempt, and not if it carries another
//     attempt's id.
// A partly delivered stream resumes only on a target of the same model version, so that no answer
// combines two models.
#include "routing/request_state.h"

namespace jaynotch {

namespace {

/// Whether the status means that the server or its load, not the request, is at fault.
bool is_server_failure_status(std::uint32_t status)
{
    constexpr std::uint32_t too_many_requests = 429;
    constexpr std::uint32_t bad_gateway = 502;
    constexpr std::uint32_t unavailable = 503;
    constexpr std::uint32_t gateway_timeout = 504;
    return status == too_many_requests || status == bad_gateway || status == unavailable ||
           status == gateway_timeout;
}

/// Attempts that certainly did not run may be retried at least this often on any route.
constexpr std::uint32_t min_safe_retries = 2;

/// Interval between two looks at an empty retry budget.
constexpr std::chrono::milliseconds retry_poll_interval{50};

/// Retries of a request whose route limits the servers that it may run on. Attempts that did not
/// run don't use up servers, so this limit ends the retries if all servers fail that way.
constexpr std::uint32_t max_retries_across_servers = 4;

/// Whether the server may have run the request. Only its own report proves that it did not: a
/// server that does not answer or closes the connection may still run the request to the end. If
/// the attempt was resent to the same server, the report covers only the last sending.
bool may_have_run_at_target(const attempt_row& attempt, attempt_failure reason)
{
    const bool reported_not_run = reason == attempt_failure::refused_did_not_run;
    return attempt.sent && (attempt.repeated || !reported_not_run);
}

/// Whether the failure shows that the target, a group, is incomplete.
bool is_group_incomplete(attempt_failure reason, pool_kind kind)
{
    return reason == attempt_failure::refused_did_not_run && kind == pool_kind::model;
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
    row->reached_server = row->reached_server || !targets.at(row->attempt.target).other_node;
    if (row->attempt.repeated)
        note_sent_to_server(targets.at(row->attempt.target), pools.at(row->terms.pool), now);
}

void request_core::state::on_head(const attempt_head& head, time_point now, command_list& out)
{
    request_row* row = find_attempt(head.request, head.attempt);
    if (row == nullptr || row->phase != request_phase::sending) {
        // A late answer, or a second one to the same attempt.
        ++counters.answers_dropped;
        return;
    }
    row->attempt.sent = true;
    if (head.refusal) {
        on_relay_refusal(*row, *head.refusal, now, out);
        return;
    }
    if (targets.at(row->attempt.target).other_node)
        note_served_elsewhere(*row);
    const auto drop = [&](attempt_failure reason) {
        if (reason != attempt_failure::refused_did_not_run)
            ++counters.answers_dropped;
        cancel(*row, cancel_reason::answer_unusable, now, out);
        end_attempt(*row, reason, attempt_end::failed, now, out);
    };
    if (head.echoed && *head.echoed != head.attempt)
        return drop(attempt_failure::wrong_attempt);
    if (head.wrong_instance && settings.mechanisms.has(mechanism::refusal_pause))
        note_refusal(targets.at(row->attempt.target).health, now);
    if (head.reported_not_run || head.wrong_instance)
        return drop(attempt_failure::refused_did_not_run);
    // The caller has already received a head and part of a stream. A second response, usually an
    // error, would reach it as garbage among the events and end the stream as if it were complete.
    if (head.buffered && row->head_delivered)
        return drop(attempt_failure::cut);
    if (!head.version.empty() && head.version != row->attempt.version)
        return drop(attempt_failure::version_changed);
    // Another node has already made the retries that the route allows.
    const bool at_server = !targets.at(row->attempt.target).other_node;
    if (at_server && is_server_failure_status(head.status)) {
        pools.at(row->terms.pool).limit.note_overload();
        // A partly delivered answer can't continue with the body of an error. Otherwise the error
        // is delivered as it is if no retry is allowed.
        if (row->head_delivered || may_retry(*row, attempt_failure::cut))
            return drop(attempt_failure::cut);
    }
    constexpr std::uint32_t server_error = 500;
    if (at_server && head.status == server_error && row->terms.retry_server_errors &&
        !row->head_delivered && may_retry(*row, attempt_failure::cut) && has_retry(*row))
        return drop(attempt_failure::cut);
    note_success(targets.at(row->attempt.target).health);
    note_activity(*row, now);
    if (at_server)
        note_begun(*row);
    row->phase = request_phase::answering;
    row->attempt.last_part = now;
    row->delivered_version = row->attempt.version;
    row->head_delivered = true;
    if (row->terms.pool < pools.size() && pools.at(row->terms.pool).info.kind == pool_kind::plain)
        note_first_part(*row, now);
    out.emplace_back(deliver{row->info.id, row->attempt.id});
    set_wake(*row, next_wake_time(*row));
}

/// A received byte shows that the target is not silent.
void request_core::state::note_activity(request_row& row, time_point now)
{
    target_row& target = targets.at(row.attempt.target);
    if (!target.other_node)
        pools.at(row.terms.pool).reach.note_response(now);
    target.last_response = now;
    target.last_activity = now;
    target.health.silent = false;
    clear_pending_tokens(row);
}

void request_core::state::clear_pending_tokens(request_row& row)
{
    target_row& target = targets.at(row.attempt.target);
    target.pending_tokens -= std::min(target.pending_tokens, row.attempt.pending_tokens);
    row.attempt.pending_tokens = 0;
}

void request_core::state::note_first_part(request_row& row, time_point now)
{
    if (row.attempt.first_part_received || !head_comes_early(row))
        return;
    row.attempt.first_part_received = true;
    row.attempt.first_part = now;
    if (pools.at(row.terms.pool).modelled())
        overload.pace().note_begun(row.answer_deadline - now);
    ++targets.at(row.attempt.target).streaming;
    const double took_s = seconds(now - row.attempt.started);
    if (targets.at(row.attempt.target).other_node)
        return; // the time depends on the other node as well
    if (pools.at(row.terms.pool).modelled())
        delays.note_response(now - row.attempt.started - row.attempt.predicted);
    pools.at(row.terms.pool).limit.note_first_token(took_s, seconds(row.terms.timeout));
    note_first_token(targets.at(row.attempt.target).health, took_s);
}

void request_core::state::on_progress(const attempt_progress& part, time_point now)
{
    request_row* row = find_attempt(part.request, part.attempt);
    if (row == nullptr)
        return;
    row->attempt.sent = true;
    if (part.tokens > 0 && row->attempt.first_part_received && !row->attempt.waits_for_caller) {
        constexpr double smoothing = 0.1;
        constexpr double ms_in_second = 1000.0;
        const double gap_ms = ms_in_second * seconds(now - row->attempt.last_part) / part.tokens;
        double& usual_ms = targets.at(row->attempt.target).health.gap_ms;
        usual_ms += smoothing * (gap_ms - usual_ms);
        if (pools.at(row->terms.pool).modelled())
            overload.pace().note_gap((now - row->attempt.last_part) / part.tokens, usual_gap(*row),
                                     row->attempt.events + part.tokens);
    }
    note_activity(*row, now);
    row->attempt.last_part = now;
    row->attempt.events += part.tokens;
    if (row->attempt.waits_for_caller) {
        row->attempt.waits_for_caller = false;
        if (row->phase == request_phase::answering && row->wake > next_wake_time(*row))
            set_wake(*row, next_wake_time(*row));
    }
    note_first_part(*row, now);
    note_served_if_due(*row, now);
}

void request_core::state::on_writing_to_caller(const attempt_writing_to_caller& writing)
{
    request_row* row = find_attempt(writing.request, writing.attempt);
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
    if (!finished.complete || row->phase != request_phase::answering) {
        end_attempt(*row, attempt_failure::protocol, attempt_end::failed, now, out);
        return;
    }
    pools.at(row->terms.pool).note_service(seconds(now - row->attempt.started));
    const attempt_row& answered = row->attempt;
    note_answer_ended(*row, end_of_answer::complete, now);
    note_served(*row, answered.first_part_received ? answered.first_part : answered.started, now);
    release_target(*row);
    if (row->keyed)
        claims.record_ran(row->info.id, finished.answer, now);
    finish_complete(*row, out);
}

void request_core::state::on_failed(const attempt_failed& failed, time_point now, command_list& out)
{
    if (request_row* row = find_attempt(failed.request, failed.attempt); row != nullptr)
        end_attempt(*row, failed.reason, attempt_end::failed, now, out);
}

bool request_core::state::may_retry(const request_row& row, attempt_failure reason) const
{
    const bool ran = may_have_run_at_target(row.attempt, reason);
    const bool may_have_run_now = row.may_have_run || ran;
    if (!row.head_delivered && suspects.is_suspected(row.info.contents))
        return false;
    if (row.terms.most_servers > 0) {
        // Attempts that did not run don't count against the servers that it may run on.
        const std::uint32_t used = row.servers_used + (ran ? 1 : 0);
        if (used >= row.terms.most_servers || row.retries_used >= max_retries_across_servers)
            return false;
        if (row.head_delivered)
            return row.terms.resumable;
    }
    if (row.head_delivered)
        return row.terms.resumable && row.retries_used < std::max(1U, row.terms.retries);
    if (row.attempt.sent && !row.info.body_buffered)
        return false;
    switch (row.terms.repeat) {
    case repeat_policy::idempotent:
        if (may_have_run_now)
            return row.retries_used < row.terms.retries;
        return row.retries_used < std::max(row.terms.retries, min_safe_retries);
    case repeat_policy::keyed:
        // A call without a key has no claim and is treated like repeat_policy::never.
        if (row.keyed)
            return !may_have_run_now && row.retries_used < min_safe_retries;
        [[fallthrough]];
    case repeat_policy::never:
        return !row.attempt.sent && !may_have_run_now && row.retries_used < min_safe_retries;
    }
    return false;
}

/// Records what the failure shows about the request, the target and this node's links, and frees
/// the target's capacity.
void request_core::state::record_failed_attempt(request_row& row, attempt_failure reason,
                                                attempt_end end, time_point now, command_list& out)
{
    note_failed_attempt(row, reason, now);
    if (end == attempt_end::failed && reason != attempt_failure::stalled)
        stop_awaiting_begin(row); // it has failed, so it is not late
    const bool interrupted = reason == attempt_failure::cut || reason == attempt_failure::protocol;
    if (interrupted && end == attempt_end::failed)
        note_interrupted(row, now, out);
    if (may_have_run_at_target(row.attempt, reason)) {
        ++row.servers_used;
        row.may_have_run = true;
    }
    target_health& health = targets.at(row.attempt.target).health;
    if (end == attempt_end::failed && reason != attempt_failure::refused_did_not_run &&
        reason != attempt_failure::version_changed)
        note_failure(health);
    if (is_group_incomplete(reason, pools.at(row.terms.pool).info.kind) &&
        settings.mechanisms.has(mechanism::refusal_pause))
        note_refusal(health, now);
    release_target(row);
}

void request_core::state::end_attempt(request_row& row, attempt_failure reason, attempt_end end,
                                      time_point now, command_list& out)
{
    if (targets.at(row.attempt.target).other_node) {
        end_detour(row, reason, now, out);
        return;
    }
    const bool again = may_retry(row, reason);
    record_failed_attempt(row, reason, end, now, out);
    pool_row& pool = pools.at(row.terms.pool);
    const bool group_incomplete = is_group_incomplete(reason, pool.info.kind);
    const bool in_time = row.head_delivered || now < row.deadline;
    const bool detour = may_detour(row) && (again || !row.may_have_run);
    const target_row_index node =
        detour && in_time && !row.caller_left ? choose_node(now) : no_target;
    if (node != no_target && (!is_charged_to_budget(row, true) || take_retry(row))) {
        send_through_node(row, node, now, out);
        return;
    }
    if (!again || !in_time || row.caller_left) {
        finish_failed(row, error_for(reason), now, out);
        return;
    }
    const bool charged = is_charged_to_budget(row, end == attempt_end::failed && !group_incomplete);
    retry(row, charged, error_for(reason), now, out);
}

/// Queues the request for another server. A stream that has begun can't be refused truthfully, so
/// it waits if the budget is empty.
void request_core::state::retry(request_row& row, bool charged, const error& failure,
                                time_point now, command_list& out)
{
    if (!row.head_delivered && !pauses.empty() && refuse_limited(row, now, out))
        return;
    if (charged && row.head_delivered && !has_retry(row)) {
        await_retry(row, now);
        return;
    }
    if (charged && !take_retry(row)) {
        finish_failed(row, failure, now, out);
        return;
    }
    ++row.retries_used;
    const pool_index index = row.terms.pool;
    requeue(row, now);
    dispatch(index, now, out);
}

void request_core::state::await_retry(request_row& row, time_point now)
{
    row.phase = request_phase::awaiting_retry;
    row.awaited = pools.at(row.terms.pool).budget;
    row.awaited->begin_wait();
    row.deadline = std::min(row.answer_deadline, now + settings.stall_timeout);
    set_wake(row, std::min(row.deadline, now + retry_poll_interval));
}

void request_core::state::on_retry_due(request_row& row, time_point now, command_list& out)
{
    const error failure{error_kind::unavailable,
                        "its backend server was lost and no retry was left in time",
                        "send it again"};
    if (now >= row.deadline) {
        finish_failed(row, failure, now, out);
        return;
    }
    if (!has_retry(row)) {
        set_wake(row, std::min(row.deadline, now + retry_poll_interval));
        return;
    }
    stop_awaiting(row);
    retry(row, true, failure, now, out);
}

void request_core::state::stop_awaiting(request_row& row)
{
    if (row.awaited)
        row.awaited->end_wait();
    row.awaited.reset();
}

bool request_core::state::has_retry(const request_row& row) const
{
    const retry_budget& budget = *pools.at(row.terms.pool).budget;
    return row.head_delivered ? budget.has_retry() : budget.has_spare_retry();
}

/// Charges a retry to the pool's budget; false if there is none left.
bool request_core::state::take_retry(const request_row& row)
{
    const bool taken = has_retry(row) && pools.at(row.terms.pool).budget->take();
    ++(taken ? counters.retries_charged : counters.retries_denied);
    return taken;
}

/// A resend goes to a server that may fail everything it receives, so it is denied if the request
/// may be retried on another one instead. It is charged like a retry, also if the target is another
/// node, which may have passed the first copy on to a server.
bool request_core::state::take_resend(request_id request, attempt_id attempt)
{
    const request_row* row = find_attempt(request, attempt);
    if (row == nullptr)
        return false;
    const target_row& target = targets.at(row->attempt.target);
    const bool at_server = !target.other_node;
    if (at_server && (target.cold_part_used || target.paused || target.leaving()))
        return false;
    if (suspects.is_suspected(row->info.contents) ||
        (at_server && may_retry(*row, attempt_failure::cut)))
        return false;
    return !is_charged_to_budget(*row, false) || take_retry(*row);
}

/// Whether a retry is charged to the budget that prevents retry storms. Three kinds are free unless
/// every retry is charged: the loss of a group, which is no overload; the resumption of a stream,
/// since resumptions are bounded by the streams in flight; and the refusal by an incomplete group,
/// which costs the group nothing and excludes it for a while.
bool request_core::state::is_charged_to_budget(const request_row& row, bool servers_fault) const
{
    const bool costs =
        settings.charge_every_retry ? row.attempt.sent : servers_fault && !row.head_delivered;
    return settings.retry_budget && costs;
}

void request_core::state::cancel(request_row& row, cancel_reason why, time_point now,
                                 command_list& out)
{
    const target& at = targets.at(row.attempt.target).info;
    out.emplace_back(cancel_attempt{row.info.id, row.attempt.id, at.id, at.address, why,
                                    now - row.attempt.last_part});
}

void request_core::state::release_target(request_row& row)
{
    if (!row.has_attempt)
        return;
    row.has_attempt = false;
    clear_pending_tokens(row);
    target_row& target = targets.at(row.attempt.target);
    --target.own;
    target.held_tokens = target.own == 0 ? 0.0 : target.held_tokens - row.attempt.held_tokens;
    target.streaming -= row.attempt.first_part_received ? 1 : 0;
    if (target.other_node)
        return;
    pool_row& pool = pools.at(row.terms.pool);
    pool.view.own -= pool.view.own > 0 ? 1 : 0;
    --pool.in_flight;
    if (target.leaving() && pool.in_flight_leaving > 0)
        --pool.in_flight_leaving;
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
        // The call may have taken effect already. It continues, so that its outcome is recorded and
        // the caller, who may only have lost the connection, gets it when it repeats the call.
        row.caller_left = true;
        return;
    }
    if (row.has_attempt) {
        note_caller_left(row, now);
        row.may_have_run = row.may_have_run || row.attempt.sent;
        cancel(row, cancel_reason::caller_gone, now, out);
        release_target(row);
    }
    finish_forget(row, now, out);
}

} // namespace jaynotch
