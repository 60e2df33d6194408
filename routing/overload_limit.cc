// Increase by answers, multiplicative decrease, as in TCP. If in a window at least as many answers
// begin late as in time, or end too late as in time, the limit becomes the part of the open
// requests that was of use; if none was, a single request is left, so that the backlog drains. Each
// answer that begins in time then raises the limit by one, until three quarters of the open
// requests that were too many; from there on it rises by one and a tenth of itself for as many
// answers as it has requests. A limit that refuses nothing for a while is dropped.
//
// Streams that are slow give a sign before any of them is too late: at twice their usual gap, and
// if a usual stream would then take most of its time, the limit becomes the part at which it takes
// less, and does not rise meanwhile. This is judged again once the streams beyond the limit have
// ended.
//
// Requests that are late since their servers are out of reach say nothing about overload, and those
// that hang there must not take the places of others. Lateness alone can't tell the two apart; the
// caller of path_changed() can.
//
// The sign is a majority, since a part of the servers may be lost without any overload: refusing
// requests would not help those that are sent to them, and the others are answered.
#include "routing/overload_limit.h"

#include <algorithm>
#include <utility>

namespace jaynotch {

namespace {

constexpr std::chrono::milliseconds window{250};
/// A window with few samples is extended up to this length.
constexpr std::chrono::seconds max_window{2};
constexpr std::size_t min_samples = 4;
constexpr std::size_t min_late = 3;
constexpr double least = 1.0;
/// Kept if answers are only slow.
constexpr double part_if_slow = 0.7;
constexpr double fast_fraction = 0.75;
/// By how much the limit rises with as many answers as it has requests, beside one.
constexpr double increase = 0.1;
constexpr std::chrono::seconds release_after{5};

constexpr double slow_stretch = 2.0;
constexpr double slow_time_used = 0.5;
/// Whatever the usual gap seems to be.
constexpr double hopeless_time_used = 0.9;
constexpr double aimed_time_used = 0.3;
constexpr double least_part_if_slow = 0.4;
/// No rise above these.
constexpr double held_stretch = 1.5;
constexpr double held_time_used = 0.35;
/// Windows in which streams were fast until a node that has started knows enough.
constexpr std::size_t sound_windows_to_start = 8;
/// Open requests up to this multiple of the limit are due to it.
constexpr double drained = 1.1;

double ratio(std::size_t part, std::size_t all)
{
    return all == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(all);
}

} // namespace

void overload_limit::note_begun(time_point sent, begin_result result)
{
    if (result == begin_result::in_time) {
        ++m_counts.in_time;
        if (m_starting && m_reached && !m_held && m_limit)
            *m_limit += 1.0;
    }
    else if (sent >= m_lowered_at)
        ++m_counts.late;
}

void overload_limit::note_ended(time_point sent, end_result result)
{
    if (result == end_result::complete)
        ++m_counts.complete;
    else if (sent >= m_lowered_at)
        ++(result == end_result::slow ? m_counts.slow : m_counts.incomplete);
}

void overload_limit::begin_with(double open)
{
    if (m_starting && open > 0.0)
        m_limit = std::max({least, open, m_limit.value_or(0.0)});
}

void overload_limit::path_changed(time_point now)
{
    m_limit.reset();
    m_counts = {};
    m_starting = false;
    m_lowered_at = now;
}

bool overload_limit::admit(std::size_t open)
{
    if (!m_limit || static_cast<double>(open) < *m_limit)
        return true;
    m_reached = true;
    return false;
}

/// The part of the open requests that is of use; nullopt if there is no overload.
std::optional<double> overload_limit::part_of_use() const
{
    const std::size_t too_late = m_counts.slow + m_counts.incomplete;
    const bool begins_late = m_counts.late >= min_late && m_counts.late >= m_counts.in_time;
    const bool ends_late = too_late >= min_late && too_late >= m_counts.complete;
    if (!begins_late && !ends_late)
        return std::nullopt;
    const double begun =
        begins_late ? ratio(m_counts.in_time, m_counts.in_time + m_counts.late) : 1.0;
    const double ended = ratio(m_counts.complete + m_counts.slow, m_counts.complete + too_late);
    return std::min({part_if_slow, begun, ended});
}

/// The part of the open requests with which streams would take less of their time; nullopt if they
/// are fast enough, or if more requests are open than the limit has admitted.
std::optional<double> overload_limit::part_in_pace(const std::optional<pace_window>& pace,
                                                   std::size_t open) const
{
    const bool within = !m_limit || static_cast<double>(open) <= drained * *m_limit;
    if (!pace || !within)
        return std::nullopt;
    const bool slow = pace->stretch >= slow_stretch && pace->time_used >= slow_time_used;
    if (!slow && pace->time_used < hopeless_time_used)
        return std::nullopt;
    return std::clamp(aimed_time_used / pace->time_used, least_part_if_slow, part_if_slow);
}

std::optional<overload_window> overload_limit::tick(std::size_t open, time_point now)
{
    const duration length = now - m_window_start;
    const std::size_t samples =
        m_counts.in_time + m_counts.late + m_counts.slow + m_counts.incomplete;
    if (length < window || (samples < min_samples && length < max_window))
        return std::nullopt;
    const std::optional<pace_window> pace = m_pace.take_window();
    if (pace && pace->time_used < held_time_used && ++m_sound_windows >= sound_windows_to_start)
        m_starting = false;
    m_held = pace && pace->stretch >= held_stretch && pace->time_used >= held_time_used;
    const std::optional<double> part = part_of_use();
    const std::optional<double> slow_part = part ? std::nullopt : part_in_pace(pace, open);
    if (part)
        lower(*part, fast_fraction, open, now);
    else if (slow_part)
        lower(*slow_part, *slow_part, open, now);
    else if (m_limit && m_held)
        m_last_reached = now;
    else if (m_limit)
        raise(now);
    const overload_window judged = std::exchange(m_counts, {});
    m_reached = false;
    m_window_start = now;
    return part || slow_part ? std::optional{judged} : std::nullopt;
}

void overload_limit::lower(double part, double fast_part, std::size_t open, time_point now)
{
    const double used =
        m_limit ? std::min(*m_limit, static_cast<double>(open)) : static_cast<double>(open);
    m_starting = false;
    m_limit = std::max(least, used * part);
    m_fast_until = std::max(least, used * fast_part);
    m_lowered_at = now;
    m_last_reached = now;
}

void overload_limit::raise(time_point now)
{
    if (m_starting) {
        // Each answer has raised the limit already.
        m_last_reached = now;
        return;
    }
    if (m_reached) {
        const double answers = static_cast<double>(m_counts.in_time);
        const double room = std::max(0.0, m_fast_until - *m_limit);
        const double fast = std::min(answers, room);
        *m_limit += fast + (answers - fast) * (increase + 1.0 / *m_limit);
        m_last_reached = now;
    }
    else if (now - m_last_reached >= release_after)
        m_limit.reset();
}

} // namespace jaynotch
