// How much of a pool a node may use: while all that the entry VMs want fits into the pool, a node
// may take what the others leave; beyond that its part is in proportion to its demand. The part is
// rounded by chance, drawn anew each tick, so that many nodes before few groups each get their turn
// and none gets nothing for good. A workspace's own limit is split strictly instead (demand.h).
#include "routing/pool_table.h"

#include "routing/modelled_pick.h"

#include <algorithm>
#include <cmath>

namespace jaynotch {

namespace {

constexpr double smoothing = 0.1;
/// Not every place of a pool is given out, so that affinity has some choice when the pool is full.
constexpr double part_without_slack = 0.9;
constexpr std::size_t plain_prefix_entries = 1; ///< plain requests have no prompt

/// How much more a higher priority gets of a contended pool; a finite factor, so that no priority
/// starves another.
double factor_of(priority_class priority)
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

pool_row::pool_row(const pool& written, const core_settings& settings)
    : info{written}, queue{settings.max_queued_per_workspace},
      prefixes{written.kind == pool_kind::model ? settings.prefix_index_entries
                                                : plain_prefix_entries}
{}

double pool_row::capacity() const
{
    const double slack = usable_targets > 1 ? part_without_slack : 1.0;
    return std::max(1.0, std::floor(usable_targets * view.cap * limit.part() * slack));
}

std::uint32_t pool_row::allowed() const
{
    const double own = in_flight - departing + static_cast<double>(queue.size());
    const double all = own + others_want;
    if (all <= capacity())
        return static_cast<std::uint32_t>(capacity() - others_want);
    return static_cast<std::uint32_t>(std::floor(capacity() * own / all + luck));
}

double pool_row::weight_of(const workspace_id& workspace, priority_class priority) const
{
    constexpr double least_weight = 0.001;
    double weight = 1.0;
    for (const share& row : info.shares) {
        if (row.workspace == workspace)
            weight = row.weight;
    }
    return std::max(weight, least_weight) * factor_of(priority);
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
        made.others = peers.of_workspace(info.name, workspace);
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
        if (free > static_cast<double>(queue.size()))
            return 0.0;
        const double places = std::max(1.0, free + in_flight);
        return (queue.ahead_of(flow, weight) + 1.0) * service_s / places;
    }
    const double slots = std::max(1U, allowed());
    const double free_slots = slots - (in_flight - departing) - static_cast<double>(queue.size());
    if (free_slots >= 1.0)
        return 0.0;
    const double by_all = (queue.ahead_of(flow, weight) + 1.0) * service_s / slots;
    return std::max(by_all, queue.backlog_s(flow));
}

double pool_row::waiting_part(const target_table& targets, time_point now) const
{
    constexpr double least_worth = 0.25; ///< older reports say nothing about now
    double waiting = 0.0;
    double running = 1.0;
    for (const target_row_index row : view.targets) {
        const load_estimate& load = targets.at(row).load;
        if (load.worth(now) < least_worth)
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
        list_targets(view, targets, info.name);
    }
    view.cap = std::max(1U, info.kind == pool_kind::model ? info.max_in_flight_per_replica
                                                          : info.max_in_flight_per_server);
    usable_targets = 0;
    std::uint32_t staying = 0;
    for (const target_row_index row : view.targets) {
        const target_row& counted = targets.at(row);
        staying += counted.leaving() ? 0 : counted.own;
        usable_targets += counted.leaving() || counted.health.ejected ? 0 : 1;
    }
    departing = in_flight - staying;
    if (usable_targets == 0 && had_target)
        without_target_since = now;
    refresh(view, targets, now);
    if (modelled()) {
        free = free_places(targets, view, info, nodes, now);
        return; // the groups' own words tell what the other nodes have there
    }

    others_want = 0;
    for (const node_demand& other : peers.of_pool(info.name))
        others_want += other.wanted;
    for (auto& [workspace, use] : uses) {
        use.limit = limit_of(workspace);
        if (use.limit > 0)
            use.others = peers.of_workspace(info.name, workspace);
    }
}

void pool_table::replace(const configuration& tables, const core_settings& settings)
{
    for (pool_row& row : m_rows)
        row.present = false;
    for (const pool& written : tables.pools) {
        const pool_index known = find(written.name);
        if (known == size()) {
            add(written, settings);
            continue;
        }
        m_rows[known].info = written;
        m_rows[known].present = true;
    }
}

void pool_table::add(const pool& written, const core_settings& settings)
{
    const auto unused = std::find_if(m_rows.begin(), m_rows.end(), [](const pool_row& row) {
        return !row.present && row.requests == 0;
    });
    if (unused == m_rows.end())
        m_rows.emplace_back(written, settings);
    else
        *unused = pool_row{written, settings};
}

pool_index pool_table::of_service(std::string_view service, std::string_view model) const
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
