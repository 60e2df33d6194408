// Limit on a node's open requests, from how many of its requests are answered in time. It protects
// against congestion collapse: if servers, links or this node itself lack processor time, requests
// that are admitted beyond what can be finished only make all of them late.
//
//   overload_limit limit;
//   limit.note_begun(sent, begin_result::in_time);  // the answer to a request sent then
//   limit.note_ended(sent, end_result::slow);
//   limit.tick(open_requests, now);
//   if (!limit.admit(open_requests)) ...            // refuse the request
#pragma once

#include "base/base.h"
#include "routing/stream_pace.h"

#include <cstddef>
#include <optional>

namespace jaynotch {

enum class begin_result {
    in_time,
    late, ///< it has not begun in time
};
enum class end_result {
    complete,
    slow,       ///< complete, but far slower than its engine should be, and almost too late
    incomplete, ///< its time was over
};

/// How the requests judged in a window fared.
struct overload_window {
    std::size_t in_time = 0;    ///< answers that began in time
    std::size_t late = 0;       ///< that did not
    std::size_t complete = 0;   ///< streams that ended well
    std::size_t slow = 0;       ///< end_result::slow
    std::size_t incomplete = 0; ///< end_result::incomplete
};

class overload_limit {
public:
    // Results of requests sent before the limit was last lowered don't count against it: they are
    // due to the load at that time.
    void note_begun(time_point sent, begin_result result);
    void note_ended(time_point sent, end_result result);
    /// How fast streams are, in the current window.
    stream_pace& pace() { return m_pace; }
    /// A node that has just started has not seen yet what the fleet bears. Until it has, at least
    /// this many requests may be open, and one more for each answer that begins in time.
    void begin_with(double open);
    [[nodiscard]] bool starting() const { return m_starting; }
    /// Requests go to other servers or nodes from now on, which may bear more or less. The limit is
    /// dropped, and results of requests sent before don't count against the next one.
    void path_changed(time_point now);
    /// Adjusts the limit at the end of each window. `open`: open requests of this node. Returns the
    /// window that has lowered the limit, or nullopt.
    std::optional<overload_window> tick(std::size_t open, time_point now);
    /// Whether one more request may be admitted. A refusal is noted.
    [[nodiscard]] bool admit(std::size_t open);
    /// Open requests; nullopt: unlimited.
    [[nodiscard]] std::optional<double> limit() const { return m_limit; }

private:
    [[nodiscard]] std::optional<double> part_of_use() const;
    [[nodiscard]] std::optional<double> part_in_pace(const std::optional<pace_window>& pace,
                                                     std::size_t open) const;
    /// Up to `fast_part` of the open requests, the limit rises fast.
    void lower(double part, double fast_part, std::size_t open, time_point now);
    void raise(time_point now);

    std::optional<double> m_limit;
    double m_fast_until = 0.0; ///< below this limit, each answer in time raises it by one
    overload_window m_counts;  ///< the current one
    stream_pace m_pace;
    bool m_reached = false; ///< a request was refused in this window
    bool m_starting = true; ///< the limit was not lowered yet, nor streams fast for a while
    bool m_held = false;    ///< streams were too slow in the last window for a rise
    std::size_t m_sound_windows = 0;
    time_point m_window_start;
    time_point m_lowered_at;
    time_point m_last_reached;
};

} // namespace jaynotch
