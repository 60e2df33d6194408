// Adaptive concurrency of a pool: how much of the configured most in flight is used, so that the
// engines' own queues stay short and waiting happens here, where it is fair and can be refused.
//
//   adaptive_limit limit;
//   limit.note_first_token(seconds, patience);
//   limit.tick(limit_reached, queued_ratio, now);
//   double part = limit.part();     // 0.1 .. 1 of what the tables allow
#pragma once

#include "base/base.h"

namespace jaynotch {

/// Additive increase, multiplicative decrease on signs that the backend servers queue.
class adaptive_limit {
public:
    /// A first token came `took_s` after its sending; `timeout_s` is the route's timeout.
    void note_first_token(double took_s, double timeout_s);
    /// A backend server refused for load, or an attempt ran out of time.
    void note_overload();
    /// Moves the limit once per window. `limit_reached`: the limit kept requests waiting.
    /// `queued_ratio`: what the targets report as waiting, against what they run.
    void tick(bool limit_reached, double queued_ratio, time_point now);
    [[nodiscard]] double fraction() const { return m_fraction; }
    /// Typical time to the first token of late, seconds; 0 if none is known.
    [[nodiscard]] double first_token_s() const { return m_typical_s; }

private:
    double m_fraction = 1.0;
    double m_typical_s = 0.0; ///< moving average over windows
    double m_sum_s = 0.0;
    double m_sum_of_timeout_fractions = 0.0; ///< parts of their timeouts that first tokens took
    std::uint32_t m_samples = 0;
    std::uint32_t m_overloads = 0;
    time_point m_window_start;
};

} // namespace jaynotch
