// How long callers of a route usually give, as observed, so that one who gives clearly less is
// known for a caller who was refused before and has come back with what was left of its time.
//
//   caller_timeout_estimate usual;
//   const bool again = usual.is_returning(left_ms);
//   usual.note(left_ms);
#pragma once

namespace jaynotch {

class caller_timeout_estimate {
public:
    void note(double left_ms)
    {
        if (m_median_ms == 0.0)
            m_median_ms = left_ms;
        m_median_ms *= left_ms > m_median_ms ? 1.0 + step : 1.0 - step;
    }

    [[nodiscard]] bool is_returning(double left_ms) const
    {
        return left_ms < returning_fraction * m_median_ms;
    }

private:
    /// Of the median, a request: some hundred requests move it from one kind of callers to another.
    static constexpr double step = 0.005;
    /// Callers of one route differ by a little; who comes back has lost the wait and the pause.
    static constexpr double returning_fraction = 0.85;

    double m_median_ms = 0.0; ///< running, by steps that don't depend on how far off a value is
};

} // namespace jaynotch
