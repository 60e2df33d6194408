// A server renews its lease every heartbeat and loses its entry after three of them, so an entry
// can expire only if the store answers nobody for two heartbeats. A node sees at least that gap
// between two answers, its own or a neighbour's. But it sees such a gap also when it was cut off
// alone, and when its connections fell silent. Two observations tell these apart:
//
// - A single failure may be due to the connection; the next call uses a new one. Only a node whose
//   new connection failed as well takes the gap for an outage.
// - Each node tells its neighbours from when until when it knows the store to have been steady. If
//   that leaves no gap of two heartbeats before the store answered this node again, there was no
//   outage, and a grace period that this node has begun wrongly ends. A neighbour that has not
//   heard of the store since proves nothing. If the neighbour knows of an outage since the last
//   answer that this node heard of, a grace period begins: this node may have made no call
//   meanwhile.
#include "peers/store_outage.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::size_t min_failures = 2; ///< the second one in a row is that of a new connection

} // namespace

void store_outage::end_outage(time_point returned)
{
    m_returned_at = returned;
    m_steady_since = returned;
    m_grace_until = returned + m_settings.grace;
}

void store_outage::store_answered(time_point now)
{
    if (!m_last_answer) {
        m_returned_at = now;
        m_steady_since = now;
    }
    else if (m_failures >= min_failures && now - *m_last_answer >= m_settings.min_outage)
        end_outage(now);
    m_failures = 0;
    m_last_answer = now;
}

void store_outage::informed(time_point steady_since, time_point last_answer)
{
    if (m_last_answer)
        return;
    m_last_answer = last_answer;
    m_returned_at = last_answer;
    m_steady_since = steady_since;
    m_grace_until = steady_since + m_settings.grace;
}

void store_outage::neighbour_answered(time_point answered_at)
{
    if (!m_last_answer || answered_at <= *m_last_answer)
        return;
    m_failures = 0;
    m_last_answer = answered_at;
}

void store_outage::neighbour_knows(time_point steady_since, time_point last_answer)
{
    if (!m_last_answer)
        return;
    if (steady_since - *m_last_answer >= m_settings.min_outage) {
        end_outage(steady_since);
    }
    else if (steady_since < m_steady_since && m_returned_at - last_answer < m_settings.min_outage) {
        m_steady_since = steady_since;
        m_grace_until = std::min(m_grace_until, steady_since + m_settings.grace);
    }
}

} // namespace jaynotch
