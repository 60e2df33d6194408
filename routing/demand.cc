// The split is proportional to demand with largest remainders, ties by node name. Everything is
// integers and the order is total, so nodes with the same view compute the same split and the
// parts never add up to more than the limit. If the demands of all fit, a node may use what the
// others leave, which keeps the pool busy while only one node has traffic.
//
// Where views differ (a demand on its way, a partition) the sum may pass the limit by what the
// unseen demand is worth; a silent node's demand is kept for a while first, so that a lost message
// doesn't open the limit.
#include "routing/demand.h"

#include <algorithm>
#include <numeric>

namespace jaynotch {

namespace {

struct remainder {
    std::uint64_t part = 0;
    const node_demand* node = nullptr;
};

} // namespace

std::uint32_t split_limit(std::uint32_t limit, std::span<const node_demand> others,
                          const node_demand& own)
{
    std::uint64_t peer_demand = 0;
    for (const node_demand& other : others)
        peer_demand += other.wanted;
    const std::uint64_t total = peer_demand + own.wanted;
    if (total <= limit)
        return static_cast<std::uint32_t>(limit - peer_demand);

    const auto integer_share = [&](const node_demand& node) {
        return std::uint64_t{limit} * node.wanted / total;
    };
    const auto remainder_of = [&](const node_demand& node) {
        return std::uint64_t{limit} * node.wanted % total;
    };
    std::uint64_t distributed = integer_share(own);
    for (const node_demand& other : others)
        distributed += integer_share(other);
    std::uint64_t nodes_before_own = 0; // nodes whose remainder is served before ours
    for (const node_demand& other : others) {
        const bool larger = remainder_of(other) > remainder_of(own);
        const bool tied = remainder_of(other) == remainder_of(own) && other.node < own.node;
        nodes_before_own += larger || tied ? 1 : 0;
    }
    const bool gets_extra_unit = nodes_before_own < limit - distributed;
    return static_cast<std::uint32_t>(integer_share(own) + (gets_extra_unit ? 1 : 0));
}

void demand_table::install(const node_id& node, const std::vector<demand_row>& rows, time_point now)
{
    if (!m_nodes.contains(node) && m_nodes.size() >= m_max_nodes)
        return;
    node_row& row = m_nodes[node];
    row.rows = rows;
    if (row.rows.size() > max_rows_per_node)
        row.rows.resize(max_rows_per_node);
    row.received_at = now;
}

void demand_table::forget(const node_id& node)
{
    m_nodes.erase(node);
}

void demand_table::expire(time_point now)
{
    std::erase_if(m_nodes,
                  [&](const auto& row) { return now - row.second.received_at > m_retention; });
}

std::vector<node_demand> demand_table::pool_demand(const pool_id& pool) const
{
    std::vector<node_demand> wanted;
    for (const auto& [node, row] : m_nodes) {
        std::uint32_t sum = 0;
        for (const demand_row& demand : row.rows) {
            if (demand.pool == pool)
                sum += demand.in_flight + demand.queued;
        }
        if (sum > 0)
            wanted.push_back({node, sum});
    }
    return wanted;
}

std::vector<node_demand> demand_table::workspace_demand(const pool_id& pool,
                                                        const workspace_id& workspace) const
{
    std::vector<node_demand> wanted;
    for (const auto& [node, row] : m_nodes) {
        for (const demand_row& demand : row.rows) {
            if (demand.pool == pool && demand.workspace == workspace)
                wanted.push_back({node, demand.in_flight + demand.queued});
        }
    }
    return wanted;
}

} // namespace jaynotch
