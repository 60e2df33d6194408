// Whether and for how long a request waits that can't meet its route's latency target any more.
//
//   const late_queue::service pool{.places = 4, .answer_s = 1.7, .ahead = 2};
//   if (late_queue::waits_in_vain(terms, pool, now)) ...   // refuse it now
//   const time_point until = late_queue::wait_until(terms, pool, last_freed);
//
// A late answer is worth less than one in time and more than none, and a caller who is refused
// comes back into the same crowd. So the request waits, behind all that can be in time and in order
// of arrival, for as long as its pool serves at all and an answer would still find its caller.
#pragma once

#include "base/base.h"

namespace jaynotch::late_queue {

/// The limits of one request.
struct terms {
    time_point since;        ///< when it became late, or arrived as a late one
    time_point deadline;     ///< the caller leaves if nothing has come by then
    duration first_event{0}; ///< predicted time from dispatch to the first event, groups full
};

/// What the pool does for the requests of this node.
struct service {
    double places = 1.0;   ///< that this node fills or may fill
    double answer_s = 0.0; ///< time of an answer
    double ahead = 0.0;    ///< waiting requests that are served first
};

/// The latest dispatch whose first event still finds the caller. Leaves twice the predicted time,
/// as the prediction is a mean.
time_point latest_start(const terms& given);

/// Expected wait until a place becomes free for the request, seconds.
double expected_wait_s(const service& pool);

/// Whether the request is expected to be still waiting at its latest start.
bool waits_in_vain(const terms& given, const service& pool, time_point now);

/// Until when the request waits, if no further place of this node becomes free. `last_freed` is
/// when one did last.
time_point wait_until(const terms& given, const service& pool, time_point last_freed);

} // namespace jaynotch::late_queue
