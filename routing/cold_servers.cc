// What a cold server bears is split into whole requests a second among as many nodes as there are
// requests, by rank (fleet_ranking.h). Equal parts for all nodes would be less than one request in
// a large fleet; each node would round up, or none would send.
//
// Bound: a node sends no more than its part within any window, counted from the times at which it
// sent. The parts add up to at most half of what the operators allow in a second. So two halves of
// the fleet that don't hear of each other, each of which takes all parts, stay within it together,
// and so does a view of the members that is a second old. A member that is no longer live keeps its
// part for longer than a server stays cold.
//
// What a node sent before it learned that the server is cold uses up its part. A node that has just
// started neither knows all members nor what its last process sent, so it sends nothing to a cold
// server for a while; nor does a node that knows no other. A part that grows, since a member has
// left, can be used only when the requests of the former holder no longer count.
#include "routing/cold_servers.h"

#include <algorithm>
#include <cmath>

namespace jaynotch {

namespace {

/// A second, and what a connection may delay a request that was sent before.
constexpr std::chrono::milliseconds window{1'100};
/// Longer than servers stay cold.
constexpr std::chrono::seconds silent_member_retention{60};
/// From the start of the process until it knows the fleet.
constexpr std::chrono::seconds settling_time{3};
/// Requests to a warm server that are remembered; more than any part.
constexpr std::size_t max_remembered = 64;

} // namespace

std::uint32_t requests_borne(double per_second, double excess, double slack)
{
    const double allowed = per_second * excess + slack;
    const double borne = std::min(std::max(1.0, per_second), allowed / 2.0);
    // One request at a time is the least that can be sent, if it is allowed at all.
    return static_cast<std::uint32_t>(allowed >= 1.0 ? std::max(1.0, std::floor(borne)) : 0.0);
}

cold_servers::cold_servers(node_id self, time_point now)
    : m_fleet{std::move(self), silent_member_retention}, m_fleet_known_at{now + settling_time}
{}

void cold_servers::fleet_updated(const std::vector<fleet_member>& members, time_point now)
{
    if (!m_fleet.update(members, now))
        return;
    for (auto& [server, row] : m_servers) {
        if (row.cold)
            update_part(server, row, now);
    }
}

bool cold_servers::set_cold(const vm_id& server, const failure_domain_id& server_domain,
                            std::uint32_t borne, time_point until, time_point now)
{
    server_row& row = m_servers[server];
    const bool first = !row.cold;
    const bool same = !first && row.borne == borne && row.server_domain == server_domain;
    row.until = until;
    if (same)
        return false;
    row.cold = true;
    row.borne = borne;
    row.server_domain = server_domain;
    m_cold += first ? 1 : 0;
    update_part(server, row, now);
    if (first)
        row.usable_from = m_fleet_known_at;
    return first;
}

bool cold_servers::set_warm(const vm_id& server)
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end() || !known->second.cold)
        return false;
    known->second.cold = false;
    --m_cold;
    return true;
}

void cold_servers::update_part(const vm_id& server, server_row& row, time_point now) const
{
    const std::size_t nodes = m_fleet.size();
    const std::size_t sharers = std::min<std::size_t>(nodes, row.borne);
    const std::size_t rank = m_fleet.rank(server, row.server_domain);
    std::uint32_t part = 0;
    if (nodes > 1 && rank < sharers)
        part =
            static_cast<std::uint32_t>(row.borne / sharers + (rank < row.borne % sharers ? 1 : 0));
    if (part > row.part)
        row.usable_from = std::max(m_fleet_known_at, now + window);
    row.part = part;
}

void cold_servers::note_sent(const vm_id& server, time_point now)
{
    server_row& row = m_servers[server];
    drop_old(row, now);
    if (row.sent.size() >= max_remembered)
        row.sent.pop_front();
    row.sent.push_back(now);
}

void cold_servers::drop_old(server_row& row, time_point now)
{
    while (!row.sent.empty() && now - row.sent.front() >= window)
        row.sent.pop_front();
}

bool cold_servers::forget(time_point now)
{
    bool warmed = false;
    for (auto& [server, row] : m_servers) {
        drop_old(row, now);
        if (!row.cold || row.until > now)
            continue;
        row.cold = false;
        --m_cold;
        warmed = true;
    }
    std::erase_if(m_servers, [](const auto& entry) {
        return !entry.second.cold && entry.second.sent.empty();
    });
    return warmed;
}

duration cold_servers::wait(const vm_id& server, time_point now) const
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end() || !known->second.cold || known->second.until <= now)
        return duration{0};
    const server_row& row = known->second;
    const duration until_warm = row.until - now;
    if (row.part == 0)
        return until_warm;
    duration wanted = std::max(duration{0}, row.usable_from - now);
    if (row.sent.size() >= row.part) {
        const time_point oldest = row.sent[row.sent.size() - row.part];
        wanted = std::max(wanted, oldest + window - now);
    }
    return std::min(wanted, until_warm);
}

duration cold_servers::left(const vm_id& server, time_point now) const
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end() || !known->second.cold)
        return duration{0};
    return std::max(duration{0}, known->second.until - now);
}

std::optional<std::uint32_t> cold_servers::part(const vm_id& server) const
{
    const auto known = m_servers.find(server);
    return known == m_servers.end() || !known->second.cold ? std::nullopt
                                                           : std::optional{known->second.part};
}

} // namespace jaynotch
