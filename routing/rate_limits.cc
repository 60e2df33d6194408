// Each limit is split among a few nodes, each of which has a token bucket. All nodes compute the
// same split without communication: they rank one another for each server by rendezvous hashing.
// Nodes in the server's failure domain come first, so that a domain that is cut off can still use
// its own servers.
//
// Bound: a limit of L requests a second is split into min(nodes, 2 + floor(L)) shares of equal
// rate, with buckets that hold 2 + L requests together. In a window of w seconds the server thus
// gets at most w * L + L + 2 requests, regardless of the number of nodes. When a share passes to
// another node, its bucket starts empty. A node that is no longer listed as live keeps its share
// for a while, since it may be partitioned and still send.
//
// Nodes without a share learn from the others that a limit was lifted. In case all nodes with a
// share have left, each other node sends a trial request after a silence that increases with its
// rank; the response names the limit or shows that it was lifted.
#include "routing/rate_limits.h"

#include <algorithm>
#include <cmath>

namespace jaynotch {

namespace {

/// A member that is not listed as live may be partitioned and still send requests, so it keeps its
/// share this long.
constexpr std::chrono::seconds silent_member_retention{15};
/// Lower bound on the effective limit, requests a second: without any request, no node would learn
/// that the limit was lifted.
constexpr double min_per_second = 0.2;
constexpr double base_parts = 2.0; ///< shares of a limit of less than one request a second
/// Minimum intervals between two reports to the peers: of an unchanged limit and of a changed one.
constexpr std::chrono::milliseconds refresh_interval{2'000};
constexpr std::chrono::milliseconds change_refresh_interval{250};
constexpr std::chrono::seconds trial_delay{10};
constexpr double trial_spacing = 4.0; ///< between trials of successive ranks, in units of 1 / limit

duration from_seconds(double span)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span));
}

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

double effective_limit(double per_second)
{
    return std::max(per_second, min_per_second);
}

} // namespace

rate_limits::rate_limits(node_id self) : m_fleet{std::move(self), silent_member_retention} {}

void rate_limits::fleet_updated(const std::vector<fleet_member>& members, time_point now)
{
    if (!m_fleet.update(members, now))
        return;
    for (auto& [server, row] : m_servers) {
        refill(row, now);
        update_share(server, row);
    }
}

bool rate_limits::server_report(const vm_id& server, const failure_domain_id& server_domain,
                                std::optional<double> per_second, time_point now)
{
    if (!per_second)
        return m_servers.erase(server) > 0;
    const auto known = m_servers.find(server);
    const bool first = known == m_servers.end();
    const bool changed = !first && known->second.per_second != *per_second;
    server_row* row = install(server, server_domain, *per_second, now);
    if (row == nullptr)
        return false;
    row->last_named_at = now;
    const duration since = now - row->last_announced;
    const bool due =
        first || since >= refresh_interval || (changed && since >= change_refresh_interval);
    if (due)
        row->last_announced = now;
    return due;
}

void rate_limits::peer_report(const vm_id& server, const failure_domain_id& server_domain,
                              std::optional<double> per_second, time_point observed, time_point now)
{
    const auto known = m_servers.find(server);
    if (known != m_servers.end() && known->second.last_named_at >= observed)
        return;
    if (!per_second) {
        m_servers.erase(server);
        return;
    }
    server_row* row = install(server, server_domain, *per_second, now);
    if (row == nullptr)
        return;
    row->last_named_at = observed;
    row->last_announced = observed;
}

rate_limits::server_row* rate_limits::install(const vm_id& server,
                                              const failure_domain_id& server_domain,
                                              double per_second, time_point now)
{
    auto known = m_servers.find(server);
    const bool first = known == m_servers.end();
    if (first && m_servers.size() >= max_servers)
        return nullptr;
    if (first)
        known = m_servers.emplace(server, server_row{.last_trial = now, .refilled_at = now}).first;
    server_row& row = known->second;
    if (!first && row.per_second == per_second && row.server_domain == server_domain)
        return &row;
    refill(row, now);
    row.per_second = per_second;
    row.server_domain = server_domain;
    update_share(server, row);
    return &row;
}

void rate_limits::update_share(const vm_id& server, server_row& row) const
{
    const double limit = effective_limit(row.per_second);
    const auto nodes = static_cast<double>(m_fleet.size());
    const double parts = std::min(nodes, base_parts + std::floor(limit));
    row.rank = m_fleet.rank(server, row.server_domain);
    row.share = static_cast<double>(row.rank) < parts ? limit / parts : 0.0;
    row.bucket_size = std::max(1.0, (base_parts + limit) / parts);
    row.tokens = std::min(row.tokens, row.share > 0.0 ? row.bucket_size : 0.0);
}

double rate_limits::load_tokens_at(const server_row& row, time_point now)
{
    return std::min(row.bucket_size, row.tokens + row.share * seconds(now - row.refilled_at));
}

void rate_limits::refill(server_row& row, time_point now)
{
    row.tokens = load_tokens_at(row, now);
    row.refilled_at = now;
}

void rate_limits::tick(time_point now)
{
    for (auto& [server, row] : m_servers) {
        const double rank_delay_s =
            static_cast<double>(row.rank) * trial_spacing / effective_limit(row.per_second);
        const duration silence = trial_delay + from_seconds(rank_delay_s);
        if (row.share > 0.0 || now - std::max(row.last_named_at, row.last_trial) < silence)
            continue;
        row.last_trial = now;
        row.tokens = 1.0;
        row.refilled_at = now;
    }
}

bool rate_limits::may_send(const vm_id& server, time_point now) const
{
    const auto known = m_servers.find(server);
    return known == m_servers.end() || load_tokens_at(known->second, now) >= 1.0;
}

void rate_limits::consume(const vm_id& server, time_point now)
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end())
        return;
    refill(known->second, now);
    known->second.tokens -= 1.0;
}

duration rate_limits::wait(const vm_id& server, time_point now) const
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end())
        return duration{0};
    const server_row& row = known->second;
    const double missing = 1.0 - load_tokens_at(row, now);
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
