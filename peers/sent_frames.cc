// The time until an acknowledgement is counted from the last one, not from the sending: frames may
// wait in the kernel behind others on the same link, but a connection that works passes one unit
// after the other.
//
// A peer that gets little processor acknowledges late, and a new connection would make it later
// still. So the timeout is a multiple of the delays seen, and each connection that was given up
// doubles it, until acknowledgements come sooner again.
#include "peers/sent_frames.h"

#include <algorithm>

namespace jaynotch {

namespace {

/// Much longer than a round trip, and short enough that a push that is sent again is still in time
/// for a change of the configuration.
constexpr duration min_ack_timeout = std::chrono::milliseconds{700};
constexpr duration max_ack_timeout = std::chrono::seconds{6};
constexpr int timeout_in_delays = 4; ///< of the longest recent acknowledgement
constexpr int delay_decay = 16;      ///< each acknowledgement takes this part off the longest delay
/// For a peer that has not acknowledged anything yet: a build without acknowledgements never does.
constexpr duration first_ack_timeout = std::chrono::seconds{4};

std::size_t units_of(const std::string& frame)
{
    return (frame.size() + ack_unit_bytes - 1) / ack_unit_bytes;
}

} // namespace

void sent_frames::add(frame_ptr frame, time_point now)
{
    if (m_frames.empty())
        m_progress_at = now;
    const bool again = m_resend_left > 0;
    m_resend_left -= again ? 1 : 0;
    m_bytes += frame->size();
    const std::size_t units = units_of(*frame);
    m_frames.push_back({std::move(frame), units, again});
}

void sent_frames::acknowledge(std::size_t units, time_point now)
{
    m_acknowledges = true;
    m_longest_delay =
        std::max(now - m_progress_at, m_longest_delay - m_longest_delay / delay_decay);
    m_progress_at = now;
    while (units > 0 && !m_frames.empty()) {
        row& oldest = m_frames.front();
        const std::size_t taken = std::min(units, oldest.units);
        oldest.units -= taken;
        units -= taken;
        if (oldest.units > 0)
            return;
        m_bytes -= oldest.frame->size();
        m_frames.pop_front();
    }
}

duration sent_frames::timeout() const
{
    if (!m_acknowledges)
        return first_ack_timeout;
    return std::clamp<duration>(timeout_in_delays * m_longest_delay, min_ack_timeout,
                                max_ack_timeout);
}

time_point sent_frames::overdue_at() const
{
    return m_frames.empty() ? time_point::max() : m_progress_at + timeout();
}

std::deque<sent_frames::frame_ptr> sent_frames::take_for_resend()
{
    if (!m_frames.empty() && m_acknowledges)
        m_longest_delay = std::min(2 * timeout(), max_ack_timeout) / timeout_in_delays;
    std::deque<frame_ptr> again;
    for (row& each : m_frames) {
        if (!each.resent && m_acknowledges)
            again.push_back(std::move(each.frame));
    }
    m_frames.clear();
    m_bytes = 0;
    m_resend_left = again.size();
    return again;
}

} // namespace jaynotch
