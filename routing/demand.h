// Splits a limit that holds over all entry VMs without coordination: each node learns the demand of
// the others by gossip and computes its own share.
//
//   demand_table peers{1'024, retention};
//   peers.install(node, rows, now);
//   std::uint32_t mine = split_limit(limit, peers.workspace_demand(pool, workspace), own_demand);
#pragma once

#include "routing/request_events.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace jaynotch {

/// Demand of one node for a pool, in flight and queued.
struct node_demand {
    node_id node;
    std::uint32_t wanted = 0;
};

/// This node's share of `limit`. All nodes that see the same demands compute shares that sum to at
/// most `limit`, with one exception: if all demands together fit within `limit`, each node gets its
/// own demand plus all that is unused.
std::uint32_t split_limit(std::uint32_t limit, std::span<const node_demand> others,
                          const node_demand& own);

/// Latest known demand of the other entry VMs. Nodes beyond `max_nodes` are ignored.
class demand_table {
public:
    demand_table(std::size_t max_nodes, duration retention)
        : m_max_nodes{max_nodes}, m_retention{retention}
    {}

    void install(const node_id& node, const std::vector<demand_row>& rows, time_point now);
    void forget(const node_id& node);
    /// Drops the demand of nodes that have sent no update for `retention`.
    void expire(time_point now);
    /// Demand of each other node for the pool, summed over its workspaces.
    [[nodiscard]] std::vector<node_demand> pool_demand(const pool_id& pool) const;
    /// Demand of each other node for the pool by one workspace.
    [[nodiscard]] std::vector<node_demand> workspace_demand(const pool_id& pool,
                                                            const workspace_id& workspace) const;

private:
    static constexpr std::size_t max_rows_per_node = 1'024;
    struct node_row {
        std::vector<demand_row> rows;
        time_point received_at;
    };
    std::size_t m_max_nodes;
    duration m_retention;
    std::map<node_id, node_row> m_nodes;
};

} // namespace jaynotch
