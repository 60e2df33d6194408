// Predicts the latency of a batching inference engine from the performance figures that its
// operators publish.
//
//   const double ms = first_event_ms(figures, places, {.running = 12, .pending_tokens = 900},
//                                    1420);
//
// The engine works in passes. Each pass processes up to one chunk per step of the waiting prompts
// and then generates a few tokens of every running response. The more sequences run, the longer a
// pass takes; the more prompts wait, the later the first event of the last of them.
//
// `places` is the number of requests that the engine runs at once (its batch slots).
#pragma once

#include "base/base.h"
#include "tables/tables.h"

namespace jaynotch {

/// Work of a group, as far as this node knows it.
struct engine_work {
    double running = 0.0;        ///< requests of all nodes in the batch or in transit
    double waiting = 0.0;        ///< requests in the engine's queue
    double pending_tokens = 0.0; ///< of this node's prompts without a first event
    double deviation = 0.0;      ///< standard deviation of `running`, which is an estimate
};

/// Duration of one pass that generates tokens for `sequences` responses and processes no prompt.
double pass_ms(const engine_figures& figures, double sequences);
/// Time to process a prompt of `tokens` tokens.
double prompt_ms(const engine_figures& figures, double tokens);
/// Time to generate a response of the usual length in a batch of `sequences`.
double answer_ms(const engine_figures& figures, double sequences);
/// Mean time from sending a request to its first event.
double first_event_ms(const engine_figures& figures, double places, const engine_work& work,
                      double prompt_tokens);
/// The longest gap between two events of a stream that a healthy engine with a full batch produces:
/// one pass that also processes as much of the waiting prompts as fits into a pass. A longer gap
/// means that the engine is stalled or slower than its figures. `pending_tokens` counts the prompts
/// that are known to wait; an allowance for unknown ones is added.
duration max_event_gap(const engine_figures& figures, double places, double pending_tokens);

} // namespace jaynotch
