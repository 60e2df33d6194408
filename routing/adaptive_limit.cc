// At the end of each window the limit is multiplied by `decrease` if the targets queue. The signs
// are: more than `max_queued_ratio` queued requests per running one in the load reports; at least
// two refusals and timeouts, and more than `max_overload_ratio` of them per first token; or first
// tokens that take more than `max_timeout_fraction` of the route's timeout on average. If none of
// these holds and the limit kept requests waiting, it rises by `increase` of the configured
// maximum.
//
// The ratio of the first token time to its minimum (TCP Vegas, gradient limits) is not used as a
// sign. A batching engine has a higher throughput with a fuller batch, and its first tokens slow
// down long before it queues: in the simulation of policy_main.cc, a limit derived from four times
// the minimum time halved the goodput at four times capacity (docs/design-routing.md).
#include "routing/adaptive_limit.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::chrono::milliseconds window{500};
constexpr double max_queued_ratio = 0.1;
constexpr double max_timeout_fraction = 0.3;
constexpr double max_overload_ratio = 0.05; ///< overloads per first token
constexpr double decrease = 0.9;
constexpr double increase = 0.05;
constexpr double min_fraction = 0.1;
constexpr double smoothing = 0.3;
constexpr double idle_decay = 0.8; ///< factor on the typical time for each window without samples
constexpr std::uint32_t min_samples = 4;

} // namespace

void adaptive_limit::note_first_token(double took_s, double timeout_s)
{
    m_sum_s += took_s;
    m_sum_of_timeout_fractions += timeout_s > 0.0 ? took_s / timeout_s : 0.0;
    ++m_samples;
}

void adaptive_limit::note_overload()
{
    ++m_overloads;
}

void adaptive_limit::tick(bool limit_reached, double queued_ratio, time_point now)
{
    if (now - m_window_start < window)
        return;
    m_window_start = now;
    const double mean_s = m_samples == 0 ? 0.0 : m_sum_s / m_samples;
    if (m_samples == 0)
        m_typical_s *= idle_decay;
    else if (m_typical_s == 0.0)
        m_typical_s = mean_s;
    else
        m_typical_s += smoothing * (mean_s - m_typical_s);

    const bool slow =
        m_samples >= min_samples && m_sum_of_timeout_fractions > max_timeout_fraction * m_samples;
    const bool refused = m_overloads > 1 && m_overloads > max_overload_ratio * m_samples;
    if (slow || refused || queued_ratio > max_queued_ratio)
        m_fraction = std::max(min_fraction, m_fraction * decrease);
    else if (limit_reached)
        m_fraction = std::min(1.0, m_fraction + increase);
    m_sum_s = 0.0;
    m_sum_of_timeout_fractions = 0.0;
    m_samples = 0;
    m_overloads = 0;
}

} // namespace jaynotch
