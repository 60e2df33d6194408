// A node's share of a pool: while the demand of all entry VMs fits into the pool, a node may use
// all that the others leave. Beyond that, its share is proportional to its demand. The share is
// rounded at random, with a new draw at each tick, so that if many nodes share few groups each node
// gets some capacity over time. The limit of a workspace is split strictly instead (demand.h).
#include "routing/pool_table.h"

#include "routing/modelled_pick.h"

#include <algorithm>
#include <cmath>

namespace jaynotch {

namespace {

constexpr double smoothing = 0.1;
/// Fraction of a pool's places that is used, so that prefix affinity has a choice of targets also
/// when the pool is full.
constexpr double max_utilisation = 0.9;
constexpr std::size_t plain_prefix_entries = 1; ///< plain requests have no prompts

/// Weight of a priority in a contended pool. The ratios are finite, so that no priority starves
/// another.
double priority_factor(priority_class priority)
{
    switch (priority) {
    case priority_class::batch:
        return 1.0;
    case priority_class::standard:
        return 2.0;
    case priority_class::interactive:
        return 4.0;
    case priority_class::critical:
        return 8.0;
    }
    return 1.0;
}

} // namespace

pool_row::pool_row(const pool& configured, const core_settings& settings)
    : info{configured}, queue{settings.max_queued_per_workspace},
      prefixes{configured.kind == pool_kind::model ? settings.prefix_index_entries
                                                   : plain_prefix_entries}
{}

double pool_row::capacity() const
{
    const double utilisation = usable_targets > 1 ? max_utilisation : 1.0;
    return std::max(
        1.0, std::floor(usable_targets * view.max_per_target * limit.fraction() * utilisation));
}

std::uint32_t pool_row::allowed_in_flight() const
{
    const double own = in_flight - in_flight_leaving + static_cast<double>(queue.size());
    const double all = own + peer_demand;
    if (all <= capacity())
        return static_cast<std::uint32_t>(capacity() - peer_demand);
    return static_cast<std::uint32_t>(std::floor(capacity() * own / all + rounding_draw));
}

double pool_row::weight_of(const workspace_id& workspace, priority_class priority) const
{
    constexpr double min_weight = 0.001;
    double weight = 1.0;
    for (const share& row : info.shares) {
        if (row.workspace == workspace)
            weight = row.weight;
    }
    return std::max(weight, min_weight) * priority_factor(priority);
}

std::uint32_t pool_row::limit_of(const workspace_id& workspace) const
{
    for (const share& row : info.shares) {
        if (row.workspace == workspace)
            return row.max_in_flight;
    }
    return 0;
}

workspace_use& pool_row::use_of(const workspace_id& workspace, const demand_table& peers)
{
    const auto known = uses.find(workspace);
    if (known != uses.end())
        return known->second;
    workspace_use& made = uses[workspace];
    made.limit = limit_of(workspace);
    if (made.limit > 0)
        made.others = peers.workspace_demand(info.name, workspace);
    return made;
}

void pool_row::drop_if_unused(const workspace_id& workspace)
{
    const auto known = uses.find(workspace);
    if (known != uses.end() && known->second.in_flight == 0 && known->second.queued == 0)
        uses.erase(known);
}

bool pool_row::below_limit(const workspace_id& workspace, const node_id& self) const
{
    const auto known = uses.find(workspace);
    if (known == uses.end() || known->second.limit == 0)
        return true;
    const workspace_use& use = known->second;
    return use.in_flight < split_limit(use.limit, use.others, {self, use.in_flight + use.queued});
}

void pool_row::note_service(double seconds)
{
    service_s = service_s == 0.0 ? seconds : service_s + smoothing * (seconds - service_s);
}

double pool_row::estimated_wait_s(const flow_key& flow, double weight) const
{
    if (modelled()) {
        if (available_places > static_cast<double>(queue.size()))
            return 0.0;
        const double places = std::max(1.0, available_places + in_flight);
        return (queue.requests_ahead(flow, weight) + 1.0) * service_s / places;
    }
    const double slots = std::max(1U, allowed_in_flight());
    const double free_slots =
        slots - (in_flight - in_flight_leaving) - static_cast<double>(queue.size());
    if (free_slots >= 1.0)
        return 0.0;
    const double fair_share_wait_s = (queue.requests_ahead(flow, weight) + 1.0) * service_s / slots;
    return std::max(fair_share_wait_s, queue.backlog_wait_s(flow));
}

double pool_row::queued_ratio(const target_table& targets, time_point now) const
{
    constexpr double min_freshness = 0.25; ///< older reports are ignored
    double waiting = 0.0;
    double running = 1.0;
    for (const target_row_index row : view.targets) {
        const load_estimate& load = targets.at(row).load;
        if (load.freshness(now) < min_freshness)
            continue;
        waiting += load.waiting();
        running += load.running();
    }
    return waiting / running;
}

void pool_row::refresh_all(const target_table& targets, const demand_table& peers,
                           std::size_t nodes, time_point now)
{
    const bool had_target = usable_targets > 0;
    if (view_version != targets.version()) {
        view_version = targets.version();
        rebuild_targets(view, targets, info.name);
        reach.note_servers(view.id_hashes);
    }
    view.max_per_target =
        std::max(1U, info.kind == pool_kind::model ? info.max_in_flight_per_replica
                                                   : info.max_in_flight_per_server);
    usable_targets = 0;
    std::uint32_t in_flight_staying = 0;
    for (const target_row_index row : view.targets) {
        const target_row& counted = targets.at(row);
        in_flight_staying += counted.leaving() ? 0 : counted.own;
        usable_targets += counted.leaving() || counted.health.ejected ? 0 : 1;
    }
    in_flight_leaving = in_flight - in_flight_staying;
    if (usable_targets == 0 && had_target)
        no_target_since = now;
    refresh_view(view, targets, now);
    if (modelled()) {
        available_places = free_places(targets, view, info, nodes, now);
        return; // the groups' load reports include the other nodes' requests
    }

    peer_demand = 0;
    for (const node_demand& other : peers.pool_demand(info.name))
        peer_demand += other.wanted;
    for (auto& [workspace, use] : uses) {
        use.limit = limit_of(workspace);
        if (use.limit > 0)
            use.others = peers.workspace_demand(info.name, workspace);
    }
}

void pool_table::replace(const configuration& tables, const core_settings& settings)
{
    for (pool_row& row : m_rows)
        row.present = false;
    for (const pool& configured : tables.pools) {
        const pool_index known = find(configured.name);
        if (known == size()) {
            add(configured, settings);
            continue;
        }
        m_rows[known].info = configured;
        m_rows[known].present = true;
    }
}

void pool_table::add(const pool& configured, const core_settings& settings)
{
    const auto unused = std::find_if(m_rows.begin(), m_rows.end(), [](const pool_row& row) {
        return !row.present && row.requests == 0;
    });
    if (unused == m_rows.end())
        m_rows.emplace_back(configured, settings);
    else
        *unused = pool_row{configured, settings};
}

pool_index pool_table::find_for_service(std::string_view service, std::string_view model) const
{
    for (pool_index index = 0; index < size(); ++index) {
        const pool_row& row = m_rows[index];
        const bool fits = row.info.kind == pool_kind::plain || row.info.model == model;
        if (row.present && row.info.service == service && fits)
            return index;
    }
    return size();
}

pool_index pool_table::find(const pool_id& name) const
{
    const auto found = std::find_if(m_rows.begin(), m_rows.end(),
                                    [&](const pool_row& row) { return row.info.name == name; });
    return static_cast<pool_index>(found - m_rows.begin());
}

} // namespace jaynotch
