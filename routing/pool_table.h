// Runtime state of the pools: their configuration, their queues, and the share of each that this
// node may use.
#pragma once

#include "routing/adaptive_limit.h"
#include "routing/demand.h"
#include "routing/fair_queue.h"
#include "routing/picker.h"
#include "routing/prefix_index.h"
#include "routing/retry_budget.h"
#include "routing/server_reach.h"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace jaynotch {

using pool_index = std::uint32_t;

/// Use of a pool by a workspace, through this node.
struct workspace_use {
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0;         ///< in flight, over all entry VMs; 0 for none
    std::vector<node_demand> others; ///< demand of the other nodes; only if there is a limit
};

struct pool_row {
    pool_row(const pool& configured, const core_settings& settings);

    pool info;
    bool present = true; ///< in the current tables
    pool_view view;
    std::uint64_t view_version = 0; ///< of the target table when `view` was built; 0: rebuild
    fair_queue queue;
    adaptive_limit limit;
    std::shared_ptr<retry_budget> budget; ///< see retry_budgets.h; null before it is assigned
    server_reach reach;                   ///< of the pool's servers from this node
    reach_state last_reach = reach_state::reached; ///< when it was last reviewed
    std::uint32_t probes_pending = 0;              ///< servers that are being probed
    target_row_index control = no_target;          ///< node that is probed with them
    time_point next_detour_trial;                  ///< a request may ask other nodes again
    time_point next_probe;                         ///< earliest time of the next probe
    prefix_index prefixes;
    std::map<workspace_id, workspace_use> uses; ///< workspaces with requests in flight or queued
    std::uint32_t requests = 0;                 ///< requests in any phase that refer to this row
    std::uint32_t in_flight = 0;
    std::uint32_t in_flight_leaving = 0; ///< part of in_flight at targets that get no new requests
    double service_s = 0.0;              ///< service time, moving average
    std::uint32_t peer_demand = 0;       ///< demand of the other entry VMs, requests
    double rounding_draw = 0.0; ///< 0..1, drawn at each tick, for randomised rounding of the share
    std::uint32_t usable_targets = 0;
    time_point no_target_since;    ///< valid if usable_targets is 0
    double available_places = 0.0; ///< modelled pools only: see free_places()
    bool limit_reached = false;    ///< the limit has delayed a request since the last tick

    /// Whether the performance figures of its engines are known, so that latencies are predicted
    /// instead of measured.
    [[nodiscard]] bool modelled() const { return info.engine.known(); }
    /// Limit on requests in flight over all entry VMs.
    [[nodiscard]] double capacity() const;
    /// Limit on this node's requests in flight, without those at targets that get no new requests.
    [[nodiscard]] std::uint32_t allowed_in_flight() const;
    [[nodiscard]] double weight_of(const workspace_id& workspace, priority_class priority) const;
    [[nodiscard]] std::uint32_t limit_of(const workspace_id& workspace) const;
    workspace_use& use_of(const workspace_id& workspace, const demand_table& peers);
    void drop_if_unused(const workspace_id& workspace);
    /// Whether this node's requests of the workspace are below its share of the workspace's limit.
    [[nodiscard]] bool below_limit(const workspace_id& workspace, const node_id& self) const;
    void note_service(double seconds);
    /// Estimated queueing time of a request pushed now, seconds; 0 if there are no measurements.
    [[nodiscard]] double estimated_wait_s(const flow_key& flow, double weight) const;
    /// Requests that the targets report as queued, per running request. Old reports do not count.
    [[nodiscard]] double queued_ratio(const target_table& targets, time_point now) const;
    /// Refreshes the cached data of targets and peers; called at each tick and when either changed.
    void refresh_all(const target_table& targets, const demand_table& peers, std::size_t nodes,
                     time_point now);
};

/// The pools of the tables, and removed pools that still have requests. The row of a removed pool
/// without requests is reused for the next new pool, so that pools can be renamed for years without
/// growth.
class pool_table {
public:
    void replace(const configuration& tables, const core_settings& settings);
    [[nodiscard]] pool_index find(const pool_id& name) const; ///< size() if unknown
    /// The first pool of a service that is plain or serves `model`; size() if there is none.
    [[nodiscard]] pool_index find_for_service(std::string_view service,
                                              std::string_view model) const;
    [[nodiscard]] pool_row& at(pool_index index) { return m_rows[index]; }
    [[nodiscard]] const pool_row& at(pool_index index) const { return m_rows[index]; }
    [[nodiscard]] pool_index size() const { return static_cast<pool_index>(m_rows.size()); }

private:
    void add(const pool& configured, const core_settings& settings);

    std::vector<pool_row> m_rows;
};

} // namespace jaynotch
