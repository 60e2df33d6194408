// A place of this node becomes free each answer time / places, and a late request gets the one
// after those of the requests ahead of it. Requests that can be in time go first, so the true wait
// may be longer.
//
// A node with few places sees one become free seldom: with 75 nodes and 290 places every 0.4 s.
// Only if none has for four expected intervals, the pool probably serves nobody, and the caller
// keeps most of its time for another try.
#include "routing/late_queue.h"

#include <algorithm>

namespace jaynotch::late_queue {

namespace {

duration from_seconds(double span)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span));
}

} // namespace

time_point latest_start(const terms& given)
{
    constexpr int reserved_first_events = 2;
    return given.deadline - reserved_first_events * given.first_event;
}

double expected_wait_s(const service& pool)
{
    return (pool.ahead + 1.0) * pool.answer_s / std::max(1.0, pool.places);
}

bool waits_in_vain(const terms& given, const service& pool, time_point now)
{
    return now + from_seconds(expected_wait_s(pool)) > latest_start(given);
}

time_point wait_until(const terms& given, const service& pool, time_point last_freed)
{
    constexpr std::chrono::milliseconds least{250};
    constexpr double intervals = 4.0;
    const double interval_s = expected_wait_s({pool.places, pool.answer_s, 0.0});
    const duration patience = std::max<duration>(least, from_seconds(intervals * interval_s));
    return std::min(latest_start(given), std::max(given.since, last_freed) + patience);
}

} // namespace jaynotch::late_queue
