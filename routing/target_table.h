// The targets of all pools as entities: who can be sent a request, how loaded it seems, how it has
// behaved. Systems over it: estimate_loads, eject_outliers, find_released.
//
//   target_table targets;
//   targets.replace_groups(groups, now);       // rows keep their place while anything refers to
//   them targets.at(row).own += 1;
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

/// What this node thinks others have in flight at a target.
class load_estimate {
public:
    /// Takes in a report that is `age` old.
    void report(const target_load& load, std::chrono::milliseconds age, time_point now);
    /// Takes in a report made this moment, while `own` requests of this node are at the target.
    void report_now(const target_load& load, std::uint32_t own, time_point now);
    /// Samples this node's own requests; call at each tick.
    void sample_own(std::uint32_t own, time_point now);
    /// Requests of the other nodes: the report less our own part of it, drawn towards `mean` as the
    /// report grows old.
    [[nodiscard]] double others(double mean, time_point now) const;
    /// The same without drawing, and how much it is worth, 0..1.
    [[nodiscard]] double reported_others() const { return m_others; }
    [[nodiscard]] double freshness(time_point now) const;
    /// Since the target made its report; -1 if there is none.
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

/// How a target has behaved towards this node.
struct target_health {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t ejections = 0; ///< in a row; each is longer
    bool ejected = false;        ///< gets nothing
    bool on_trial = false;       ///< back from an ejection: one request at a time
    time_point ejected_until;
    bool refusing = false; ///< said of itself that it is not whole; gets nothing for a moment
    time_point refusing_until;
    double first_token_s = 0.0; ///< moving average
    std::uint32_t first_token_samples = 0;
    double slowness = 1.0; ///< first token time against the pool's median; 1 is normal
    bool silent = false;   ///< gave nothing though requests waited; gets one now and then
    time_point silent_since;
    time_point next_trial; ///< of a silent target
    double gap_ms = 0.0;   ///< between two events of its streams, moving average
};

struct target_row {
    target info;
    pool_kind kind = pool_kind::model;
    std::uint16_t generation = 0; ///< grows when the row or the group's epoch changes; 0 is unused
    bool free = true;             ///< not in use
    bool present = false;         ///< in the groups or tables of now
    bool marked_leaving = false;  ///< by target_leaving
    bool release_due = false;     ///< `released` is still to be said
    bool rate_limit_reached = false;  ///< this node's part of what the server takes a second
    std::uint32_t own = 0;            ///< attempts of this node in flight
    std::uint32_t pending_tokens = 0; ///< prompts of those that have brought nothing yet
    time_point last_activity;         ///< last byte of any of them, or the first one's sending
    load_estimate load;
    target_health health;

    [[nodiscard]] bool leaving() const { return !present || marked_leaving || info.leaving; }
    [[nodiscard]] bool may_be_picked() const
    {
        return !leaving() && !health.ejected && !health.refusing && !health.silent &&
               !rate_limit_reached && !(health.on_trial && own > 0);
    }
    [[nodiscard]] target_slot slot(target_row_index index) const { return {index, generation}; }
};

class target_table {
public:
    /// The complete groups are these and no others.
    void replace_groups(const std::vector<target>& groups, time_point now);
    /// The plain servers are those of `tables` and no others.
    void set_configured_servers(const configuration& tables, time_point now);
    /// The plain servers are these; from now on those of the tables don't count.
    void set_discovered_servers(const std::vector<target>& servers, time_point now);
    void set_leaving(const target_id& id, bool leaving, time_point now);
    /// The target is gone, before the next list says so.
    void mark_lost(target_row_index row);

    [[nodiscard]] target_row_index find(const target_id& id) const; ///< or no_target
    /// The present target of a backend server, or no_target. Looks at all rows.
    [[nodiscard]] target_row_index find_instance(const vm_id& instance) const;
    [[nodiscard]] target_row& at(target_row_index row) { return m_rows[row]; }
    [[nodiscard]] const target_row& at(target_row_index row) const { return m_rows[row]; }
    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    /// Rises whenever targets_of_pool() may tell something else.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Rows of a pool that are present, in a steady order.
    [[nodiscard]] std::vector<target_row_index> targets_of_pool(const pool_id& pool) const;
    /// Leaving targets that have nothing of ours in flight any more; each is told once.
    [[nodiscard]] std::vector<target_id> take_released();

private:
    /// How long a word that an unknown target is leaving is kept for it.
    static constexpr std::size_t max_early_leaving = 1'024;

    void replace(const std::vector<target>& wanted, pool_kind kind, time_point now);
    target_row_index make_row(const target& added, pool_kind kind);
    void free_unused();

    std::vector<target_row> m_rows;
    std::unordered_map<target_id, target_row_index> m_by_id;
    std::vector<target_row_index> m_free;
    std::vector<target_id> m_early_leaving; ///< told to be leaving before they were known
    bool m_servers_discovered = false;      ///< by the platform, not by the tables
    std::uint64_t m_version = 1;
};

} // namespace jaynotch
