// Requests under which servers end (crash_suspects.h).
//
// A connection that is cut doesn't show that its server has ended: it may have reset just this one.
// So the shell is asked to try a new connection a moment later, and meanwhile the contents of all
// requests that the same server interrupts are collected. Requests whose answers had been coming
// for a while are not the cause and are left out.
//
// A request is refused while a content of it is blocked, unless its answer has begun. It is also
// not retried while a content is suspected: the retry would end the next server.
#include "routing/request_state.h"

namespace jaynotch {

namespace {

/// A server that ends because of a request does so within this time after its answer has begun.
constexpr std::chrono::milliseconds begin_time{250};
/// Contents that are collected for one server; a group runs far fewer requests at once.
constexpr std::size_t max_interrupted = 512;
constexpr std::chrono::milliseconds longest_retry_after{60'000};

} // namespace

void request_core::state::note_interrupted(const request_row& row, time_point now,
                                           command_list& out)
{
    const attempt_row& attempt = row.attempt;
    target_row& target = targets.at(attempt.target);
    const bool began_before = attempt.first_part_received && now - attempt.first_part >= begin_time;
    if (target.other_node || target.leaving() || !attempt.sent || began_before ||
        row.info.contents.empty() || target.info.instance.value().empty())
        return;
    if (target.interrupted.size() < max_interrupted)
        target.interrupted.insert(target.interrupted.end(), row.info.contents.begin(),
                                  row.info.contents.end());
    if (std::exchange(target.end_check_pending, true))
        return;
    out.emplace_back(check_server_ended{target.info.id, target.info.instance, target.info.address});
}

void request_core::state::on_server_checked(const server_checked& checked, time_point now)
{
    const target_row_index at = targets.find(checked.target);
    if (at == no_target)
        return;
    target_row& target = targets.at(at);
    target.end_check_pending = false;
    const std::vector<content_id> contents = std::exchange(target.interrupted, {});
    if (!checked.ended)
        return;
    ++counters.servers_ended;
    suspects.note_ended(checked.server, contents, now);
}

void request_core::state::note_served(request_row& row, time_point begun, time_point now)
{
    if (row.attempt.noted_served || targets.at(row.attempt.target).other_node)
        return;
    row.attempt.noted_served = true;
    suspects.note_served(row.info.contents, begun, now);
}

/// Notes the contents as harmless once the server has lived on for long enough.
void request_core::state::note_served_if_due(request_row& row, time_point now)
{
    const attempt_row& attempt = row.attempt;
    if (attempt.first_part_received && now - attempt.first_part >= begin_time)
        note_served(row, attempt.first_part, now);
}

/// Refuses a request that has not run and has a blocked content.
bool request_core::state::refuse_blocked(request_row& row, time_point now, command_list& out)
{
    if (row.head_delivered || !suspects.is_blocked(row.info.contents))
        return false;
    ++counters.refused_blocked;
    const error failure{error_kind::unavailable,
                        "servers ended as they began to answer requests with the same content",
                        "change the request; the log line content_blocked names the content"};
    if (row.may_have_run) {
        finish_failed(row, failure, now, out);
        return true;
    }
    row.keyed = row.keyed && row.phase != request_phase::claiming; // no claim has been made yet
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(
        suspects.blocked_for(row.info.contents, now));
    finish_refuse(row, failure, ran_state::no, std::min(after, longest_retry_after), now, out);
    return true;
}

void request_core::state::emit_evidence(command_list& out)
{
    for (const crash_evidence& each : suspects.take_evidence())
        out.emplace_back(share_evidence{each});
    for (const content_id content : suspects.take_blocked()) {
        ++counters.contents_blocked;
        out.emplace_back(content_blocked{content});
    }
}

} // namespace jaynotch
