// Each limit is split among a few nodes, and each of these keeps a token bucket. All nodes work the
// same split out alone: they rank one another for each server by rendezvous, those of the server's
// failure domain first, so that a domain that is cut off can still use its own servers.
//
// Why the sum holds. With a limit of L a second there are min(nodes, 2 + floor(L)) parts of equal
// rate, and buckets that hold 2 + L requests together, so in a window of w seconds the server gets
// w * L + L + 2 at most, however many nodes there are. A part that passes to another node begins
// with an empty bucket. A node that falls silent keeps its part for a while: it may be cut off and
// go on sending.
//
// Nodes without a part hear of a lifted limit from the others. In case all who could tell have
// gone, each tries one request after a silence that is longer the higher its rank; the answer names
// the limit, or it doesn't.
#include "routing/rate_limits.h"

#include <algorithm>
#include <cmath>

namespace jaynotch {

namespace {

/// A member that is not heard of may still send.
constexpr std::chrono::seconds keep_silent_member{15};
/// Least that a limit counts as, requests a second: without any request nobody would hear that it
/// is lifted.
constexpr double least_per_second = 0.2;
constexpr double part_base = 2.0; ///< parts of a limit of less than one request a second
constexpr std::chrono::milliseconds refresh_interval{2'000};
constexpr std::chrono::milliseconds change_interval{250}; ///< between two words on a changing limit
constexpr std::chrono::seconds trial_silence{10};
constexpr double trial_spacing = 4.0; ///< between the trials of two ranks, in requests of the limit

duration from_seconds(double span)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span));
}

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

double counted(double per_second)
{
    return std::max(per_second, least_per_second);
}

/// Place of `self` among `names`.
std::size_t place_of(const std::string& self, std::string_view key, std::vector<std::string> names)
{
    const std::vector<std::size_t> order = rendezvous(key, names, names.size());
    const auto found = std::find_if(order.begin(), order.end(),
                                    [&](std::size_t index) { return names[index] == self; });
    return static_cast<std::size_t>(found - order.begin());
}

} // namespace

rate_limits::rate_limits(node_id self) : m_self{std::move(self)}
{
    m_sharers.try_emplace(m_self);
}

void rate_limits::fleet_updated(const std::vector<fleet_member>& members, time_point now)
{
    std::map<node_id, failure_domain_id> sharers;
    sharers.try_emplace(m_self); // its failure domain is known once the members tell it
    for (const fleet_member& one : members) {
        if (one.live)
            m_last_live[one.node] = now;
        const auto last = m_last_live.find(one.node);
        if (last != m_last_live.end() && now - last->second <= keep_silent_member)
            sharers[one.node] = one.failure_domain;
    }
    std::erase_if(m_last_live, [&](const auto& entry) { return !sharers.contains(entry.first); });
    if (sharers == m_sharers)
        return;
    m_sharers = std::move(sharers);
    for (auto& [server, row] : m_servers) {
        fill(row, now);
        split(server, row);
    }
}

bool rate_limits::answered(const vm_id& server, const failure_domain_id& where,
                           std::optional<double> per_second, time_point now)
{
    if (!per_second)
        return m_servers.erase(server) > 0;
    const auto known = m_servers.find(server);
    const bool first = known == m_servers.end();
    const bool changed = !first && known->second.per_second != *per_second;
    server_row* row = install(server, where, *per_second, now);
    if (row == nullptr)
        return false;
    row->heard = now;
    const duration since = now - row->told;
    const bool due = first || since >= refresh_interval || (changed && since >= change_interval);
    if (due)
        row->told = now;
    return due;
}

void rate_limits::told(const vm_id& server, const failure_domain_id& where,
                       std::optional<double> per_second, time_point observed, time_point now)
{
    const auto known = m_servers.find(server);
    if (known != m_servers.end() && known->second.heard >= observed)
        return;
    if (!per_second) {
        m_servers.erase(server);
        return;
    }
    server_row* row = install(server, where, *per_second, now);
    if (row == nullptr)
        return;
    row->heard = observed;
    row->told = observed;
}

rate_limits::server_row* rate_limits::install(const vm_id& server, const failure_domain_id& where,
                                              double per_second, time_point now)
{
    auto known = m_servers.find(server);
    const bool first = known == m_servers.end();
    if (first && m_servers.size() >= most_servers)
        return nullptr;
    if (first)
        known = m_servers.emplace(server, server_row{.tried = now, .filled = now}).first;
    server_row& row = known->second;
    if (!first && row.per_second == per_second && row.where == where)
        return &row;
    fill(row, now);
    row.per_second = per_second;
    row.where = where;
    split(server, row);
    return &row;
}

void rate_limits::split(const vm_id& server, server_row& row) const
{
    const double limit = counted(row.per_second);
    const auto nodes = static_cast<double>(m_sharers.size());
    const double parts = std::min(nodes, part_base + std::floor(limit));
    row.rank = rank_at(server, row.where);
    row.share = static_cast<double>(row.rank) < parts ? limit / parts : 0.0;
    row.most_saved = std::max(1.0, (part_base + limit) / parts);
    row.saved = std::min(row.saved, row.share > 0.0 ? row.most_saved : 0.0);
}

std::size_t rate_limits::rank_at(const vm_id& server, const failure_domain_id& where) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& [node, domain] : m_sharers)
        (domain == where ? near : far).push_back(node.value());
    const std::size_t place = place_of(m_self.value(), server.value(), near);
    if (place < near.size())
        return place;
    return near.size() + place_of(m_self.value(), server.value(), far);
}

double rate_limits::saved_at(const server_row& row, time_point now)
{
    return std::min(row.most_saved, row.saved + row.share * seconds(now - row.filled));
}

void rate_limits::fill(server_row& row, time_point now)
{
    row.saved = saved_at(row, now);
    row.filled = now;
}

void rate_limits::tick(time_point now)
{
    for (auto& [server, row] : m_servers) {
        const double turn_s =
            static_cast<double>(row.rank) * trial_spacing / counted(row.per_second);
        const duration silence = trial_silence + from_seconds(turn_s);
        if (row.share > 0.0 || now - std::max(row.heard, row.tried) < silence)
            continue;
        row.tried = now;
        row.saved = 1.0;
        row.filled = now;
    }
}

bool rate_limits::may_send(const vm_id& server, time_point now) const
{
    const auto known = m_servers.find(server);
    return known == m_servers.end() || saved_at(known->second, now) >= 1.0;
}

void rate_limits::take(const vm_id& server, time_point now)
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end())
        return;
    fill(known->second, now);
    known->second.saved -= 1.0;
}

duration rate_limits::wait(const vm_id& server, time_point now) const
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end())
        return duration{0};
    const server_row& row = known->second;
    const double missing = 1.0 - saved_at(row, now);
    if (missing <= 0.0)
        return duration{0};
    return row.share > 0.0 ? from_seconds(missing / row.share) : duration::max();
}

std::optional<double> rate_limits::share(const vm_id& server) const
{
    const auto known = m_servers.find(server);
    return known == m_servers.end() ? std::nullopt : std::optional{known->second.share};
}

} // namespace jaynotch
