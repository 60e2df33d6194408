// A node's copy of the platform's registry of backend servers. Updated by the registry feed, read
// by the group managers and the router.
//
//   runner_registry known;
//   known.update(row, now);                // an entry was added or changed
//   known.remove(vm, now);                 // an entry was removed
//   known.heads()                          // runners of rank 0, which take a group's requests
//
// A change costs a few lookups, independent of the number of runners.
#pragma once

#include "base/base.h"
#include "groups/group_allocation.h"
#include "outside/runner.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace jaynotch::groups {

/// Identifies a composition: name and epoch of its group.
using group_key = std::pair<group_id, std::int64_t>;

/// A runner is kept for this long after its entry was removed, because its group may still be
/// serving behind a partition.
constexpr duration unlisted_retention = std::chrono::seconds{120};

/// A live runner whose entry expired while it could not reach the store writes it again within this
/// time (figure from the store's operators). An entry missing for longer counts as lost.
constexpr duration entry_grace_period = std::chrono::seconds{2};

inline group_key key_of(const membership& group)
{
    return {group.group, group.epoch};
}

/// A backend server since its last start, with the history of its entries.
struct registered_runner {
    runner row;
    bool listed = false;       ///< its entry is in the registry
    time_point unlisted_at;    ///< if not listed
    time_point leaving_since;  ///< if leaving
    bool said_leaving = false; ///< in an answer
    time_point reported_at;    ///< when its report last differed from its entry
    time_point cold_until;     ///< by its entry, which may be about a second old
    std::string warm_model;    ///< model of its last group since it started; joins for it are fast
};

class runner_registry {
public:
    using runner_map = std::map<vm_id, registered_runner>;
    /// Number of group heads by model.
    using model_counts = std::map<std::string, std::size_t>;

    /// Adds or replaces a runner's entry.
    void update(const runner& read, time_point now);
    /// Marks a runner's entry as removed. The runner is kept for `unlisted_retention`.
    void remove(const vm_id& vm, time_point now);
    /// Applies a state reported by a listed runner while the registry can't be written. False if
    /// the runner is not listed or the report is from another start of it.
    bool tell(const runner_word& word, time_point now);

    /// The runner has said in an answer that it leaves. That holds until it starts again, whatever
    /// its entry says. False if this start of the runner is unknown or known to leave.
    bool note_leaving(const vm_id& vm, std::int64_t born_ms, time_point now);

    /// Sets whether the failure domain is evacuated; false if that does not change it.
    bool set_evacuated(const failure_domain_id& domain, bool evacuated);
    /// Failure domains to whose runners operators have asked to send nothing.
    [[nodiscard]] const std::set<failure_domain_id>& evacuated_domains() const
    {
        return m_evacuated;
    }
    [[nodiscard]] bool is_evacuated(const failure_domain_id& domain) const
    {
        return m_evacuated.contains(domain);
    }

    /// Null if the runner is not listed and was not within `unlisted_retention`.
    [[nodiscard]] const registered_runner* find(const vm_id& vm) const;
    /// All runners that are listed or were within `unlisted_retention`.
    [[nodiscard]] const runner_map& runners() const { return m_runners; }
    [[nodiscard]] std::size_t listed() const { return m_listed; }
    /// Listed runners of rank 0, whatever their phase.
    [[nodiscard]] const std::set<vm_id>& heads() const { return m_heads; }
    /// Listed backend servers that never join groups.
    [[nodiscard]] const std::set<vm_id>& plain_servers() const { return m_plain; }
    /// Listed runners whose entries name the composition.
    [[nodiscard]] std::size_t members_of(const group_key& key) const;
    /// Entries that named the composition when they were removed, less than entry_grace_period ago;
    /// the first of these periods ends at `until`.
    struct missing_members {
        std::size_t count = 0;
        time_point until = time_point::max();
    };
    [[nodiscard]] missing_members missing_from(const group_key& key, time_point now) const;
    /// When an entry first named the composition; nullopt if no known entry does.
    [[nodiscard]] std::optional<time_point> first_seen(const group_key& key) const;
    /// Head counts of every failure domain that has had runners.
    [[nodiscard]] const std::map<failure_domain_id, model_counts>& heads_by_domain() const
    {
        return m_heads_by_domain;
    }
    /// Number of listed runners that are not leaving, by fabric domain.
    [[nodiscard]] const std::map<fabric_domain_id, domain_capacity>& capacities() const
    {
        return m_capacities;
    }
    /// When the first runner was listed, and when one was last listed that was not listed before.
    [[nodiscard]] time_point first_joined() const { return m_first_joined; }
    [[nodiscard]] time_point last_joined() const { return m_last_joined; }
    /// Incremented by each change of an open head, a plain server, the members of an open group or
    /// the evacuated failure domains.
    [[nodiscard]] std::uint64_t serving_version() const { return m_serving_version; }

private:
    struct composition {
        time_point first_seen;
        std::size_t named = 0;  ///< known entries, removed ones included
        std::size_t listed = 0; ///< listed entries
        std::size_t open = 0;   ///< listed entries of open heads
    };

    void change(registered_runner& entry, time_point now,
                const std::function<void(registered_runner&)>& edit);
    void count(const registered_runner& entry, time_point now);
    void uncount(const registered_runner& entry);
    void erase_if_unnamed(const group_key& key);
    void expire_unlisted(time_point now);

    runner_map m_runners;
    std::map<group_key, composition> m_compositions;
    std::set<vm_id> m_heads;
    std::set<vm_id> m_plain;
    std::set<failure_domain_id> m_evacuated;
    std::map<failure_domain_id, model_counts> m_heads_by_domain;
    std::map<fabric_domain_id, domain_capacity> m_capacities;
    std::deque<std::pair<time_point, vm_id>> m_unlisted; ///< in order of removal
    std::size_t m_listed = 0;
    time_point m_first_joined;
    time_point m_last_joined;
    std::uint64_t m_serving_version = 0;
};

} // namespace jaynotch::groups
