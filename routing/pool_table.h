// The pools as entities: what the tables say, who waits, how much of it this node may use.
#pragma once

#include "routing/adaptive_limit.h"
#include "routing/demand.h"
#include "routing/fair_queue.h"
#include "routing/picker.h"
#include "routing/prefix_index.h"
#include "routing/retry_budget.h"

#include <map>
#include <string_view>
#include <vector>

namespace jaynotch {

using pool_index = std::uint32_t;

/// A workspace's use of a pool by this node.
struct workspace_use {
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0;         ///< over all entry VMs; 0 for none
    std::vector<node_demand> others; ///< of those with a limit
};

struct pool_row {
    pool_row(const pool& written, const core_settings& settings);

    pool info;
    bool present = true; ///< in the tables of now
    pool_view view;
    std::uint64_t view_version = 0; ///< of the targets in `view`; 0: list them anew
    fair_queue queue;
    adaptive_limit limit;
    retry_budget budget;
    prefix_index prefixes;
    std::map<workspace_id, workspace_use> uses; ///< those in flight or queued
    std::uint32_t requests = 0;                 ///< that refer to this row, in any phase
    std::uint32_t in_flight = 0;
    std::uint32_t in_flight_leaving = 0; ///< of in_flight: at targets that take nothing new
    double service_s = 0.0;              ///< moving average from sending to the end
    std::uint32_t peer_demand = 0;       ///< demand of the other entry VMs
    double rounding_draw = 0.0;          ///< 0..1, drawn anew each tick, rounds the part up or down
    std::uint32_t usable_targets = 0;
    time_point no_target_since;    ///< valid if usable_targets is 0
    double available_places = 0.0; ///< modelled pools: places that this node may still fill
    bool limit_reached = false;    ///< the limit kept a request waiting since the last tick

    /// Whether its engines' speed is known, so that times are predicted instead of learnt.
    [[nodiscard]] bool modelled() const { return info.engine.known(); }
    /// Requests that all entry VMs together may have in flight.
    [[nodiscard]] double capacity() const;
    /// Requests that this node may have in flight now, at targets that take new ones.
    [[nodiscard]] std::uint32_t allowed_in_flight() const;
    [[nodiscard]] double weight_of(const workspace_id& workspace, priority_class priority) const;
    [[nodiscard]] std::uint32_t limit_of(const workspace_id& workspace) const;
    workspace_use& use_of(const workspace_id& workspace, const demand_table& peers);
    void drop_if_unused(const workspace_id& workspace);
    /// Whether the workspace is below its limit over all entry VMs.
    [[nodiscard]] bool below_limit(const workspace_id& workspace, const node_id& self) const;
    void note_service(double seconds);
    /// How long a request pushed to the queue now would wait, seconds; 0 if nothing is known.
    [[nodiscard]] double estimated_wait_s(const flow_key& flow, double weight) const;
    /// What the targets report as waiting in their own queues, against what they run.
    [[nodiscard]] double queued_ratio(const target_table& targets, time_point now) const;
    /// Refreshes what is cached of targets and peers; each tick and when either changed.
    void refresh_all(const target_table& targets, const demand_table& peers, std::size_t nodes,
                     time_point now);
};

/// The pools of the tables, and those that left them and still have requests. A row that is of
/// neither kind is taken by the next new pool, so that renaming pools for years needs no memory.
class pool_table {
public:
    void replace(const configuration& tables, const core_settings& settings);
    [[nodiscard]] pool_index find(const pool_id& name) const; ///< or size()
    /// The pool of a service that serves `model`, or its only one; or size().
    [[nodiscard]] pool_index find_for_service(std::string_view service,
                                              std::string_view model) const;
    [[nodiscard]] pool_row& at(pool_index index) { return m_rows[index]; }
    [[nodiscard]] const pool_row& at(pool_index index) const { return m_rows[index]; }
    [[nodiscard]] pool_index size() const { return static_cast<pool_index>(m_rows.size()); }

private:
    void add(const pool& written, const core_settings& settings);

    std::vector<pool_row> m_rows;
};

} // namespace jaynotch
