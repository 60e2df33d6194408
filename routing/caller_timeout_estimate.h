// Estimates the timeout that callers of a route usually set (their deadline on arrival). A request
// with clearly less time left comes from a caller that was refused before and tries again with the
// rest of its time.
//
//   caller_timeout_estimate estimate;
//   const bool returning = estimate.is_returning(left_ms);
//   estimate.note(left_ms);
#pragma once

namespace jaynotch {

class caller_timeout_estimate {
public:
    /// Adds the time left, on arrival, to a caller's deadline.
    void note(double left_ms)
    {
        if (m_median_ms == 0.0)
            m_median_ms = left_ms;
        m_median_ms *= left_ms > m_median_ms ? 1.0 + step : 1.0 - step;
    }

    /// Whether `left_ms` is too short for a caller's first try.
    [[nodiscard]] bool is_returning(double left_ms) const
    {
        return left_ms < returning_fraction * m_median_ms;
    }

private:
    /// Relative change of the median per request: it takes some hundred requests to adapt to
    /// callers with another timeout.
    static constexpr double step = 0.005;
    /// Below this fraction of the median, a request counts as returning. Timeouts of one route's
    /// callers vary slightly, while a returning caller has already spent its first wait and the
    /// pause before its retry.
    static constexpr double returning_fraction = 0.85;

    double m_median_ms = 0.0; ///< running estimate; its steps don't depend on outliers' size
};

} // namespace jaynotch
