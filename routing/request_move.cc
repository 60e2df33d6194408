// Moves of a request away from a server that has gone silent.
//
// Silence does not show that a server is lost: it may be paused or busy, and go on. An attempt that
// may still bring the answer is therefore cancelled only once its replacement is certain: the route
// allows another attempt, the retry budget has a retry left, and a server or node can take the
// request now. Otherwise the attempt is held until its connection ends or the answer's deadline
// passes, and the move is tried again.
//
// Servers may fall silent together, for example if their VMs pause or the network does. Another
// server is then no better, and the move would use up a server of the route's limit. So a request
// is moved to a server that has responded during the silence. To one that had nothing to respond to
// it is moved if no other server is silent, or if the silence lasts for long.
#include "routing/request_state.h"

namespace jaynotch {

namespace {

/// Interval between two tries to move a request whose attempt is held.
constexpr std::chrono::milliseconds move_interval{100};
/// For how long a silence makes targets without requests doubtful. Callers of streams leave after
/// about two seconds without an event.
constexpr std::chrono::seconds longest_doubt{2};

} // namespace

/// The server or node that can take the request over now, or why its attempt is held.
request_core::state::replacement request_core::state::find_replacement(request_row& row,
                                                                       attempt_failure reason,
                                                                       attempt_end end,
                                                                       time_point now)
{
    if (!may_retry(row, reason))
        return hold_reason::retries_used;
    pool_row& pool = pools.at(row.terms.pool);
    const target_row_index node = may_detour(row) ? choose_node(now) : no_target;
    const bool servers_fault = end == attempt_end::failed || node != no_target;
    if (is_charged_to_budget(row, servers_fault) && !has_retry(row))
        return hold_reason::no_retry_left;
    if (node != no_target)
        return node;
    if (pool.reach.reaches_none())
        return hold_reason::no_server_free;
    const doubtful_targets doubtful = find_doubtful_targets(row, now);
    std::vector<target_row_index> avoided = row.tried;
    avoided.push_back(row.attempt.target);
    avoided.insert(avoided.end(), doubtful.rows.begin(), doubtful.rows.end());
    const target_row_index chosen = choose_target(row, avoided, now);
    // Some policies fall back on a target to be avoided.
    const bool usable =
        chosen != no_target && std::find(avoided.begin(), avoided.end(), chosen) == avoided.end();
    if (usable)
        return chosen;
    return doubtful.any_silent ? hold_reason::servers_silent : hold_reason::no_server_free;
}

/// The pool's targets that may have fallen silent together with the request's. A target is silent
/// if it has requests and sent nothing in the second half of this request's silence. If there is
/// one, targets without requests are doubtful too, since they may have stopped for the same reason.
request_core::state::doubtful_targets
request_core::state::find_doubtful_targets(const request_row& row, time_point now) const
{
    const time_point recent = now - (now - row.attempt.last_part) / 2;
    doubtful_targets found;
    std::vector<target_row_index> unknown;
    for (const target_row_index at : pools.at(row.terms.pool).view.targets) {
        const target_row& other = targets.at(at);
        if (at == row.attempt.target || other.last_response >= recent)
            continue;
        // A silent target that is on trial is silent until it responds.
        const bool was_silent = other.health.silent_since > other.last_response;
        if (other.own > 0 && (was_silent || other.last_activity < recent))
            found.rows.push_back(at);
        else
            unknown.push_back(at);
    }
    found.any_silent = !found.rows.empty();
    if (found.any_silent && now - row.attempt.last_part < longest_doubt)
        found.rows.insert(found.rows.end(), unknown.begin(), unknown.end());
    return found;
}

/// Moves the request if that is certain to succeed; otherwise its attempt is held.
bool request_core::state::move_request(request_row& row, cancel_reason why, attempt_failure reason,
                                       attempt_end end, time_point now, command_list& out)
{
    const replacement found = find_replacement(row, reason, end, now);
    if (const auto* held = std::get_if<hold_reason>(&found)) {
        note_held(row, *held, now, out);
        return false;
    }
    const target_row_index chosen = std::get<target_row_index>(found);
    const bool through_node = targets.at(chosen).other_node;
    const bool charged = is_charged_to_budget(row, end == attempt_end::failed || through_node);
    cancel(row, why, now, out);
    record_failed_attempt(row, reason, end, now, out);
    if (charged)
        take_retry(row);
    if (through_node) {
        send_through_node(row, chosen, now, out);
        return true;
    }
    ++row.retries_used;
    note_tried(row);
    row.phase = request_phase::sending;
    send_to(row, chosen, now, out);
    return true;
}

/// Moves the request, or tries again later, at the latest when the attempt's time is up.
void request_core::state::move_or_hold(request_row& row, time_point deadline, time_point now,
                                       command_list& out)
{
    if (move_request(row, cancel_reason::stalled, attempt_failure::stalled, attempt_end::failed,
                     now, out))
        return;
    // Silent servers make this node doubt its links.
    note_failed_attempt(row, attempt_failure::stalled, now);
    set_wake(row, std::min(deadline, now + move_interval));
}

/// Tells the shell once per attempt that it is held, for the log and the metrics.
void request_core::state::note_held(request_row& row, hold_reason why, time_point now,
                                    command_list& out)
{
    if (row.attempt.held)
        return;
    row.attempt.held = true;
    ++counters.attempts_held;
    out.emplace_back(attempt_held{row.info.id, row.attempt.id, why, now - row.attempt.last_part});
}

/// Moves the requests of a silent target that may be repeated, as far as others can take them.
void request_core::state::move_from_silent(target_row_index from, time_point now, command_list& out)
{
    targets.at(from).health.next_move = now + move_interval;
    for (const request_id request : repeatable_requests_at(from))
        move_request(requests.at(request), cancel_reason::target_silent, attempt_failure::cut,
                     attempt_end::group_lost, now, out);
}

} // namespace jaynotch
