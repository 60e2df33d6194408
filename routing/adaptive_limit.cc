// Once a window: if the window's mean time to the first token is more than `tolerance` times the
// best windows', the limit falls by a tenth; if requests were held back by the limit and the time
// is well below that, it rises by a twentieth of the whole. As in TCP Vegas the signal is the
// queueing that adds to the uncontended time, so it acts before anything times out. The best time
// drifts up, so that a pool whose work has grown heavier for good isn't throttled for ever.
#include "routing/adaptive_limit.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::chrono::milliseconds window{500};
constexpr double tolerance = 4.0;
constexpr double shortest_floor_s = 0.02; ///< below this, noise of the network is all there is
constexpr double drift = 1.01;            ///< of the best time, each window
constexpr double decrease = 0.9;
constexpr double increase = 0.05;
constexpr double least_part = 0.1;
constexpr double smoothing = 0.3;
constexpr double forgetting = 0.8; ///< of the typical time, each window without a sample
constexpr std::uint32_t samples_to_act = 4;

} // namespace

void adaptive_limit::note_first_token(double seconds, time_point /*now*/)
{
    m_sum_s += seconds;
    ++m_samples;
}

void adaptive_limit::note_overload(time_point /*now*/)
{
    m_overloaded = true;
}

void adaptive_limit::tick(bool busy, time_point now)
{
    if (now - m_window_start < window)
        return;
    m_window_start = now;
    const bool judged = m_samples >= samples_to_act;
    const double mean = m_samples == 0 ? 0.0 : m_sum_s / m_samples;
    if (m_samples > 0)
        m_typical_s = m_typical_s == 0.0 ? mean : m_typical_s + smoothing * (mean - m_typical_s);
    else
        m_typical_s *= forgetting;
    if (judged) {
        const double best = std::max(mean, shortest_floor_s);
        m_floor_s = m_floor_s == 0.0 ? best : std::min(m_floor_s * drift, best);
    }
    if (m_overloaded || (judged && mean > tolerance * m_floor_s))
        m_part = std::max(least_part, m_part * decrease);
    else if (busy && (judged || m_samples == 0))
        m_part = std::min(1.0, m_part + increase);
    m_overloaded = false;
    m_sum_s = 0.0;
    m_samples = 0;
}

} // namespace jaynotch
