// How long a batching engine takes, worked out from the figures that its operators publish.
//
//   const double ms = first_event_ms(figures, places, {.running = 12, .pending_tokens = 900},
//   1420);
//
// The engine works in passes: each reads up to a chunk of the prompts that wait and then writes a
// few tokens of every answer. The more it runs, the longer a pass; the more prompts wait, the later
// the first event of the last of them.
#pragma once

#include "base/base.h"
#include "tables/tables.h"

namespace jaynotch {

/// What a group has to do, as far as a node knows.
struct engine_work {
    double running = 0.0;        ///< requests of all nodes that are in the batch or on their way
    double waiting = 0.0;        ///< requests queued in the engine
    double pending_tokens = 0.0; ///< prompts of ours that have brought nothing yet
    double deviation = 0.0;      ///< standard deviation of `running`, which is an estimate
};

/// One pass that writes for `writers` answers and reads nothing.
double pass_ms(const engine_figures& figures, double sequences);
/// Reading a prompt.
double prompt_ms(const engine_figures& figures, double tokens);
/// A usual answer, in a batch of `writers`.
double answer_ms(const engine_figures& figures, double sequences);
/// Mean from sending a request to its first event.
double first_event_ms(const engine_figures& figures, double places, const engine_work& work,
                      double prompt_tokens);
/// The longest pause between two events of a sound engine with a full batch: a pass that also reads
/// the prompts that wait, as far as one pass reads. A longer one means that it stands still, or is
/// slower than it should be. `pending_tokens`: of the prompts known to wait; some more are allowed
/// for.
duration max_event_gap(const engine_figures& figures, double places, double pending_tokens);

} // namespace jaynotch
