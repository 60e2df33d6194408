// A planned stop. The process ends at a fixed time, and a request that is still open then would
// lose its connection without an answer. So a request that arrives after the stop has begun is
// admitted only if it probably ends before the stop's deadline, and the deadline of each request is
// that of the stop at the latest: what still runs then gets a final answer that tells whether it
// may have run.
#include "routing/request_state.h"

namespace jaynotch {

namespace {

/// A request may take longer than the usual one.
constexpr double longest_to_usual = 1.5;

} // namespace

void request_core::state::on_stop_begun(time_point deadline)
{
    stop_deadline = deadline;
    for (auto& [request, row] : requests) {
        limit_to_stop(row);
        if (row.wake > deadline)
            set_wake(row, deadline);
    }
}

void request_core::state::limit_to_stop(request_row& row) const
{
    if (!stop_deadline)
        return;
    row.deadline = std::min(row.deadline, *stop_deadline);
    row.answer_deadline = std::min(row.answer_deadline, *stop_deadline);
    row.queue_until = std::min(row.queue_until, *stop_deadline);
}

/// Refuses a request that would probably not end before the node does. If it isn't known how long
/// requests of its pool take, it may take as long as its route allows.
bool request_core::state::refuse_before_stop(request_row& row, time_point now, command_list& out)
{
    if (!stop_deadline)
        return false;
    const double usual_s = pools.at(row.terms.pool).service_s;
    const std::chrono::duration<double> needed =
        usual_s > 0.0 ? std::chrono::duration<double>{longest_to_usual * usual_s}
                      : std::chrono::duration<double>{row.answer_deadline - now};
    if (now + needed <= *stop_deadline)
        return false;
    finish_refuse(row,
                  {error_kind::unavailable, "this node stops before the request would end",
                   "send it to another entry VM"},
                  ran_state::no, settings.min_retry_after, now, out);
    return true;
}

} // namespace jaynotch
