// A limit is split in proportion to demand by the largest-remainder method, ties broken by node
// name. The arithmetic is integral and the order is total, so nodes with the same view compute the
// same split and the shares never exceed the limit. If all demands fit, each node may also use the
// unused rest, which keeps the pool busy while only one node has traffic.
//
// If the views differ (a demand update in transit, a partition), the sum may exceed the limit by
// the share of the demand that is not seen. The demand of a node without updates is therefore kept
// for the retention time, so that a lost message does not raise the others' shares.
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
    std::uint64_t nodes_before_own = 0; // nodes that get a left-over unit before this one
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
