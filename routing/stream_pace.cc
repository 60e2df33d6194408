// The usual gap follows a lower mean within a second and a higher one only within minutes, so that
// an overload of minutes does not become the usual state. Events that were held up and arrive
// together lower the mean of one window, which moves the usual gap by less than a third of the
// difference.
#include "routing/stream_pace.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::size_t min_gaps = 8;
constexpr double follow_down = 0.3;
constexpr double follow_up = 0.002;
constexpr double smoothing = 0.1; ///< of the events and the time of a stream
/// A usual gap beyond that was learned in an overload.
constexpr double most_engine_gaps = 2.0;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

void follow(double& mean, double sample, double part)
{
    mean = mean == 0.0 ? sample : mean + part * (sample - mean);
}

} // namespace

void stream_pace::note_begun(duration allowed)
{
    follow(m_allowed_s, seconds(allowed), smoothing);
}

void stream_pace::note_gap(duration gap, duration engine_gap, double events)
{
    m_gaps += gap;
    m_engine_gaps += engine_gap;
    ++m_gap_count;
    if (!m_any_complete)
        m_events = std::max(m_events, events);
}

void stream_pace::note_complete(std::size_t events)
{
    follow(m_events, static_cast<double>(events), smoothing);
    m_any_complete = true;
}

std::optional<pace_window> stream_pace::take_window()
{
    if (m_gap_count < min_gaps)
        return std::nullopt;
    const double mean_s = seconds(m_gaps) / static_cast<double>(m_gap_count);
    const double engine_s = seconds(m_engine_gaps) / static_cast<double>(m_gap_count);
    m_gaps = duration{0};
    m_engine_gaps = duration{0};
    m_gap_count = 0;
    follow(m_usual_s, mean_s, mean_s < m_usual_s ? follow_down : follow_up);
    if (m_events == 0.0 || m_allowed_s <= 0.0 || m_usual_s <= 0.0)
        return std::nullopt;
    const double usual_s =
        engine_s > 0.0 ? std::min(m_usual_s, most_engine_gaps * engine_s) : m_usual_s;
    return pace_window{mean_s / usual_s, mean_s * m_events / m_allowed_s};
}

} // namespace jaynotch
