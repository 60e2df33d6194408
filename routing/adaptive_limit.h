// Adaptive concurrency of a pool: how much of the configured most in flight is used, so that the
// engines' own queues stay short and waiting happens here, where it is fair and can be refused.
//
//   adaptive_limit limit;
//   limit.note_first_token(seconds, now);
//   double part = limit.part();     // 0.1 .. 1 of what the tables allow
#pragma once

#include "base/base.h"

namespace jaynotch {

/// Additive increase, multiplicative decrease on the time from sending to the first token.
class adaptive_limit {
public:
    /// A first token came after `seconds`.
    void note_first_token(double seconds, time_point now);
    /// A backend server refused for load, or an attempt ran out of time.
    void note_overload(time_point now);
    /// Moves the limit once per window; `busy`: the limit was what held requests back.
    void tick(bool busy, time_point now);
    [[nodiscard]] double part() const { return m_part; }
    /// Typical time to the first token of late, seconds; 0 if none is known.
    [[nodiscard]] double first_token_s() const { return m_typical_s; }

private:
    double m_part = 1.0;
    double m_floor_s = 0.0;   ///< the lowest window mean, drifting up slowly
    double m_typical_s = 0.0; ///< moving average over windows
    double m_sum_s = 0.0;
    std::uint32_t m_samples = 0;
    bool m_overloaded = false;
    time_point m_window_start;
};

} // namespace jaynotch
