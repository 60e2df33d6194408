// A neighbour that is alive and pushes may still be out of date: it may be partitioned from the
// store, its call to the store may hang, or it may only repeat what it already has. So each push
// contains the time since the store answered its sender, and only that time decides whether the
// sender is fresh.
//
// All nodes calculate the same ranks, by rendezvous hashing over the live members. A stand-in
// starts when no push has been fresh for the freshness period plus a delay that grows with its
// rank, and stops when a node of lower rank is fresh again. So of several stand-ins the one of
// lowest rank remains.
//
// Stand-ins start in rounds of 1, 2, 4, 8 and so on. A round is longer than one stand-in takes
// until its neighbours rely on it: if the store answers again, as it does after a short failure,
// the first one keeps all others from reading everything as well. If the store turns machines away,
// the rounds reach one that it answers in a time that grows with the logarithm of the domain's
// size, short compared to the time within which a change must be in force.
#include "peers/store_followers.h"

#include <algorithm>
#include <bit>

namespace jaynotch {

store_followers::store_followers(store_followers_settings settings)
    : m_settings{std::move(settings)}
{
    members_changed({m_settings.self});
}

void store_followers::members_changed(const std::vector<node_id>& own_domain)
{
    std::vector<std::string> names;
    for (const node_id& node : own_domain)
        names.push_back(node.value());
    std::sort(names.begin(), names.end());
    m_ranks.clear();
    for (const std::size_t index : rendezvous(m_settings.name, names, names.size()))
        m_ranks.emplace(node_id{names[index]}, m_ranks.size());
    m_rank = m_ranks.try_emplace(m_settings.self, m_ranks.size()).first->second;
}

void store_followers::push_received(const node_id& from, duration store_age, time_point now)
{
    const auto found = m_ranks.find(from);
    if (found == m_ranks.end())
        return;
    m_last_fresh = std::max(m_last_fresh, now - store_age);
    if (found->second < m_rank)
        m_lower_rank_fresh = std::max(m_lower_rank_fresh, now - store_age);
}

void store_followers::store_answered(time_point now)
{
    m_failures = 0;
    m_last_answer = now;
    m_last_fresh = std::max(m_last_fresh, now);
}

void store_followers::store_failed(time_point now)
{
    m_last_answer.reset();
    m_standing_in = false;
    ++m_failures;
    if (m_failures > 1)
        m_stand_in_after = now + m_settings.stand_in_retry_delay;
}

duration store_followers::stand_in_delay() const
{
    const std::size_t position = m_rank - m_settings.followers;
    const auto round = static_cast<duration::rep>(std::bit_width(position + 1) - 1);
    return round * m_settings.stand_in_stagger;
}

bool store_followers::should_follow(time_point now)
{
    if (m_rank < m_settings.followers) {
        m_standing_in = false;
        return true;
    }
    if (m_standing_in)
        m_standing_in = now - m_lower_rank_fresh > m_settings.freshness_period;
    else
        m_standing_in = now >= m_stand_in_after &&
                        now - m_last_fresh > m_settings.freshness_period + stand_in_delay();
    if (!m_standing_in)
        m_last_answer.reset();
    return m_standing_in;
}

std::optional<duration> store_followers::store_age(time_point now) const
{
    if (!m_last_answer)
        return std::nullopt;
    return now - *m_last_answer;
}

} // namespace jaynotch
