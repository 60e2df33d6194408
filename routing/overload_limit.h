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

class overload_limit {
public:
    // Results of requests sent before the limit was last lowered don't count against it: they are
    // due to the load at that time.
    void note_begun(time_point sent, begin_result result);
    void note_ended(time_point sent, end_result result);
    /// Adjusts the limit at the end of each window. `open`: open requests of this node.
    void tick(std::size_t open, time_point now);
    /// Whether one more request may be admitted. A refusal is noted.
    [[nodiscard]] bool admit(std::size_t open);
    /// Open requests; nullopt: unlimited.
    [[nodiscard]] std::optional<double> limit() const { return m_limit; }

private:
    struct counts {
        std::size_t in_time = 0;
        std::size_t late = 0;
        std::size_t complete = 0;
        std::size_t slow = 0;
        std::size_t incomplete = 0;
    };

    [[nodiscard]] std::optional<double> part_to_keep() const;
    void lower(double part, std::size_t open, time_point now);
    void raise(time_point now);

    std::optional<double> m_limit;
    double m_fast_until = 0.0; ///< below this limit, each answer in time raises it by one
    counts m_counts;           ///< of the current window
    bool m_reached = false;    ///< a request was refused in this window
    time_point m_window_start;
    time_point m_lowered_at;
    time_point m_last_reached;
};

} // namespace jaynotch
