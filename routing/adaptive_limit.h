// Adaptive concurrency limit of a pool: the fraction of the configured maximum in flight that is
// used. Lowering it keeps the engines' internal queues short, so that requests queue in the entry
// VM, where they are scheduled fairly and can still be refused.
//
//   adaptive_limit limit;
//   limit.note_first_token(seconds, timeout_s);
//   limit.tick(limit_reached, queued_ratio, now);
//   double fraction = limit.fraction();     // 0.1 .. 1 of the configured maximum
#pragma once

#include "base/base.h"

namespace jaynotch {

/// Additive-increase, multiplicative-decrease control, driven by signs that the backend servers
/// queue.
class adaptive_limit {
public:
    /// The first token of an attempt arrived `took_s` after the attempt was sent; `timeout_s` is
    /// the timeout of its route.
    void note_first_token(double took_s, double timeout_s);
    /// A backend server refused an attempt because of its load, or an attempt timed out.
    void note_overload();
    /// Adjusts the limit once per window; calls within the window have no effect. `limit_reached`:
    /// the limit kept requests waiting. `queued_ratio`: requests that the targets report as queued,
    /// per running request.
    void tick(bool limit_reached, double queued_ratio, time_point now);
    [[nodiscard]] double fraction() const { return m_fraction; }
    /// Moving average of the time to the first token, seconds; 0 if there are no samples.
    [[nodiscard]] double first_token_s() const { return m_typical_s; }

private:
    double m_fraction = 1.0;
    double m_typical_s = 0.0; ///< moving average of the windows' means
    double m_sum_s = 0.0;
    double m_sum_of_timeout_fractions = 0.0; ///< of time to first token / timeout
    std::uint32_t m_samples = 0;
    std::uint32_t m_overloads = 0;
    time_point m_window_start;
};

} // namespace jaynotch
