// The targets of all pools: which may be sent a request, their estimated load, and their health.
//
//   target_table targets;
//   targets.replace_groups(groups, now);
//   targets.at(row).own += 1;
//
// Row indexes are stable while a target is present or has requests in flight.
#pragma once

#include "routing/prefix_index.h"
#include "routing/request_events.h"

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jaynotch {

using target_row_index = std::uint16_t;
constexpr target_row_index no_target = std::numeric_limits<target_row_index>::max();
constexpr std::size_t max_targets = no_target;

/// Estimate of the requests that other nodes have in flight at a target, from its load reports.
class load_estimate {
public:
    /// Processes a report that is `age` old.
    void report(const target_load& load, std::chrono::milliseconds age, time_point now);
    /// Processes a report made just now, while `own` requests of this node are at the target.
    void report_now(const target_load& load, std::uint32_t own, time_point now);
    /// Records this node's requests at the target; called at each tick.
    void sample_own(std::uint32_t own, time_point now);
    /// Requests of the other nodes: the reported load without this node's share. As the report
    /// ages, the estimate converges to `mean`.
    [[nodiscard]] double others(double mean, time_point now) const;
    /// The same as of the last report, regardless of its age.
    [[nodiscard]] double reported_others() const { return m_others; }
    /// Weight of the last report: 1 if fresh, decaying with its age; 0 if there is none.
    [[nodiscard]] double freshness(time_point now) const;
    /// Age of the last report; -1 if there is none.
    [[nodiscard]] std::int64_t age_ms(time_point now) const
    {
        return m_known ? std::chrono::duration_cast<std::chrono::milliseconds>(now - m_reported_at)
                             .count()
                       : -1;
    }
    [[nodiscard]] std::uint32_t waiting() const { return m_waiting; }
    [[nodiscard]] std::uint32_t running() const { return m_running; }

private:
    static constexpr std::chrono::milliseconds sample_interval{250};
    static constexpr std::size_t samples = 8;
    [[nodiscard]] std::uint32_t own_at(time_point then) const;

    bool m_known = false;
    double m_others = 0.0;
    std::uint32_t m_waiting = 0;
    std::uint32_t m_running = 0;
    time_point m_reported_at;
    time_point m_sampled_at;
    std::size_t m_next_sample = 0;
    std::array<std::uint16_t, samples> m_own{};
};

/// Health of a target as observed by this node.
struct target_health {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t ejections = 0; ///< consecutive ejections; each lasts longer
    bool ejected = false;        ///< gets no requests
    bool on_trial = false;       ///< after an ejection: one request at a time
    time_point ejected_until;
    bool refusing = false; ///< reported its group as incomplete; gets no requests for a while
    time_point refusing_until;
    double first_token_s = 0.0; ///< moving average
    std::uint32_t first_token_samples = 0;
    double slowness = 1.0; ///< first token time / median of the pool; 1 is normal
    bool silent = false;   ///< produced nothing for its requests; gets trials only
    time_point silent_since;
    time_point next_trial; ///< when a silent target may get its next trial request
    time_point next_move;  ///< when its requests are next tried to be moved to other targets
    double gap_ms = 0.0;   ///< gap between two events of its streams, moving average
};

struct target_row {
    target info;
    pool_kind kind = pool_kind::model;
    std::uint16_t generation = 0; ///< incremented with each new target, epoch or version; never 0
    bool free = true;             ///< the row is not in use
    bool other_node = false;      ///< not a server but a node that passes requests on
    time_point avoided_until;     ///< of another node: it could not take a request before
    time_point doubted_until;     ///< the same, but asked if no other node is left
    bool present = false;         ///< in the current list of groups or servers
    bool marked_leaving = false;  ///< by a target_leaving event
    bool release_due = false;     ///< a `target_released` command is due once nothing is in flight
    bool cold_part_used = false;  ///< this node's part of what the cold server bears is used up
    bool rate_limit_reached = false; ///< this node's share of the server's rate limit is used up
    bool paused = false;             ///< its server asked this node for a pause
    /// Contents of the requests that were interrupted as they began, until it is known whether the
    /// server has ended.
    std::vector<content_id> interrupted;
    bool end_check_pending = false;
    std::uint32_t own = 0;            ///< this node's attempts in flight
    std::uint32_t streaming = 0;      ///< of those: attempts whose first event has come
    std::uint32_t pending_tokens = 0; ///< of the prompts of attempts without a first event
    double held_tokens = 0.0;         ///< of this node's attempts, see server_memory.h
    time_point last_response;         ///< last byte of any attempt
    time_point last_activity;         ///< last byte of any attempt, or when the first was sent
    load_estimate load;
    target_health health;

    [[nodiscard]] bool leaving() const { return !present || marked_leaving || info.leaving; }
    [[nodiscard]] bool may_be_picked() const
    {
        return !leaving() && !health.ejected && !health.refusing && !health.silent &&
               !rate_limit_reached && !cold_part_used && !paused && !(health.on_trial && own > 0);
    }
    [[nodiscard]] target_slot slot(target_row_index index) const { return {index, generation}; }
};

class target_table {
public:
    /// Replaces the list of complete groups.
    void replace_groups(const std::vector<target>& groups, time_point now);
    /// Replaces the list of plain servers by that of the tables. Ignored once the platform has
    /// provided a list.
    void set_configured_servers(const configuration& tables, time_point now);
    /// Replaces the list of plain servers by that of the platform, which from now on takes
    /// precedence over the tables.
    void set_discovered_servers(const std::vector<target>& servers, time_point now);
    /// Replaces the list of nodes that pass requests on. They belong to no pool.
    void replace_nodes(const std::vector<target>& nodes);
    [[nodiscard]] const std::vector<target_row_index>& nodes() const { return m_nodes; }
    void set_leaving(const target_id& id, bool leaving, time_point now);
    /// Marks a target as lost before the next list omits it.
    void mark_lost(target_row_index row);

    [[nodiscard]] target_row_index find(const target_id& id) const; ///< no_target if unknown
    /// The present target of a backend server, or no_target. Linear in the number of rows.
    [[nodiscard]] target_row_index find_instance(const vm_id& instance) const;
    [[nodiscard]] target_row& at(target_row_index row) { return m_rows[row]; }
    [[nodiscard]] const target_row& at(target_row_index row) const { return m_rows[row]; }
    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    /// Incremented whenever the result of targets_of_pool() may change.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Rows of the present targets of a pool, in a stable order.
    [[nodiscard]] std::vector<target_row_index> targets_of_pool(const pool_id& pool) const;
    /// Leaving targets without attempts of this node in flight. Each is returned once.
    [[nodiscard]] std::vector<target_id> take_released();

private:
    /// Limit on the unknown targets of which it is remembered that they are leaving.
    static constexpr std::size_t max_early_leaving = 1'024;

    void replace(const std::vector<target>& wanted, pool_kind kind, time_point now);
    target_row_index make_row(const target& added, pool_kind kind);
    void free_unused();

    std::vector<target_row> m_rows;
    std::unordered_map<target_id, target_row_index> m_by_id;
    std::vector<target_row_index> m_free;
    std::vector<target_row_index> m_nodes;  ///< present rows of other nodes
    std::vector<target_id> m_early_leaving; ///< leaving targets that are not listed yet
    bool m_servers_discovered = false; ///< the servers come from the platform, not from the tables
    std::uint64_t m_version = 1;
};

} // namespace jaynotch
