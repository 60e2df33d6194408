// Limits that hold over all entry VMs without asking anyone: each node learns by gossip how much
// the others want of a pool and takes its part.
//
//   demand_table peers{1'024};
//   peers.install(node, rows, now);
//   std::uint32_t mine = peers.part_of(limit, "entry-1", own_demand, pool, workspace, now);
#pragma once

#include "routing/request_events.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace jaynotch {

/// What one node wants, for splitting.
struct node_demand {
    node_id node;
    std::uint32_t wanted = 0;
};

/// This node's part of `limit`. Every node that sees the same demands gets a part such that all
/// parts add up to `limit` at most, unless all demands fit together: then each gets its own demand
/// and may go on to what the others leave.
std::uint32_t split_limit(std::uint32_t limit, std::span<const node_demand> others,
                          const node_demand& own);

/// The demand of the other entry VMs as they last told it.
class demand_table {
public:
    demand_table(std::size_t max_nodes, duration retention)
        : m_max_nodes{max_nodes}, m_retention{retention}
    {}

    void install(const node_id& node, const std::vector<demand_row>& rows, time_point now);
    void forget(const node_id& node);
    /// Drops the demand of nodes that have been silent for too long.
    void expire(time_point now);
    /// What the others want of a pool, each node's workspaces added up.
    [[nodiscard]] std::vector<node_demand> pool_demand(const pool_id& pool) const;
    /// What the others want of a pool for one workspace.
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
