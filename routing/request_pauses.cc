// Targets whose servers asked this node for a pause (server_pauses.h). They get no request until it
// ends: no first attempt, retry, resumption or resend. The requests go to other servers. If all of
// a pool's servers pause, a request that can't wait for the first of them is refused at once.
#include "routing/request_state.h"

namespace jaynotch {

namespace {

/// A server without an instance id is identified by its address.
vm_id server_of(const target& at)
{
    return at.instance.value().empty() ? vm_id{at.address} : at.instance;
}

} // namespace

void request_core::state::on_pause_requested(const server_pause_requested& requested,
                                             time_point now, command_list& out)
{
    const target_row_index at = targets.find(requested.target);
    if (at == no_target || targets.at(at).other_node)
        return;
    pauses.begin(server_of(targets.at(at).info), requested.pause, now);
    update_paused_targets(now);
    end_requests_that_cannot_wait(pools.find(targets.at(at).info.pool), now, out);
}

void request_core::state::update_paused_targets(time_point now)
{
    for (std::size_t index = 0; index < targets.size(); ++index) {
        target_row& row = targets.at(static_cast<target_row_index>(index));
        row.paused = !row.other_node && pause_wait(row, now) > duration{0};
    }
}

duration request_core::state::pause_wait(const target_row& target, time_point now) const
{
    return pauses.empty() ? duration{0} : pauses.wait(server_of(target.info), now);
}

void request_core::state::refresh_pauses(time_point now)
{
    if (pauses.expire(now))
        update_paused_targets(now);
}

/// Ends the queued requests of a pool whose last server without a limit has paused. A stream that
/// has begun can't be refused and waits.
void request_core::state::end_requests_that_cannot_wait(pool_index pool, time_point now,
                                                        command_list& out)
{
    if (pool >= pools.size() || limit_wait(pools.at(pool), now) == duration{0})
        return;
    std::vector<request_id> waiting;
    for (const auto& [request, row] : requests) {
        if (row.phase == request_phase::queued && row.terms.pool == pool && !row.head_delivered)
            waiting.push_back(request);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const request_id request : waiting)
        refuse_limited(requests.at(request), now, out);
}

bool request_core::state::may_send(request_id request, attempt_id attempt)
{
    const request_row* row = find_attempt(request, attempt);
    return row != nullptr && !targets.at(row->attempt.target).paused;
}

} // namespace jaynotch
