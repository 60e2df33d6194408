// How fast the events of this node's streams follow each other, compared with their usual pace and
// with the time that the streams have: an early sign of overload. Streams on a shared processor all
// slow down together, and each of them is cut at its deadline after nearly all of its work.
//
//   stream_pace pace;
//   pace.note_begun(allowed);                    // from the first event to the deadline
//   pace.note_gap(gap, engine_gap, events);      // between two events of a stream
//   pace.note_complete(events);
//   if (const auto seen = pace.take_window()) ... seen->stretch, seen->time_used
#pragma once

#include "base/base.h"

#include <cstddef>
#include <optional>

namespace jaynotch {

struct pace_window {
    double stretch = 1.0;   ///< mean gap, as a multiple of the usual one
    double time_used = 0.0; ///< part of its time that a usual stream takes at this pace
};

class stream_pace {
public:
    void note_begun(duration allowed);
    /// `engine_gap`: predicted for a full engine. `events`: of the stream so far, or of a usual
    /// stream if that is more.
    void note_gap(duration gap, duration engine_gap, double events);
    void note_complete(std::size_t events);
    /// The gaps noted since the last call; nullopt if they are too few.
    std::optional<pace_window> take_window();

private:
    duration m_gaps{0}; ///< of the current window
    duration m_engine_gaps{0};
    std::size_t m_gap_count = 0;
    bool m_any_complete = false;
    double m_usual_s = 0.0; ///< between two events; 0: unknown
    double m_events = 0.0;  ///< of a complete stream, or the most of any until one is complete
    double m_allowed_s = 0.0;
};

} // namespace jaynotch
