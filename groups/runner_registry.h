// What the platform's registry shows of all backend servers: one copy a node, kept by the feed and
// read by the managers of groups and by the router.
//
//   runner_registry known;
//   known.take(row, now);                  // an entry, as it changes
//   known.drop(vm, now);                   // its entry is gone
//   known.heads()                          // who may be sent a model's requests
//
// A change costs no more than a few lookups, whatever the number of runners.
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

/// A composition's name and epoch.
using group_key = std::pair<group_id, std::int64_t>;

/// A runner whose entry has gone is remembered for this long: its group may outlive the entry where
/// it is cut off.
constexpr duration unlisted_retention = std::chrono::seconds{120};

inline group_key key_of(const membership& said)
{
    return {said.group, said.epoch};
}

/// One start of a backend server, with what its earlier entries said.
struct registered_runner {
    runner row;
    bool listed = false;      ///< its entry is in the registry
    time_point unlisted_at;   ///< if not listed
    time_point leaving_since; ///< if leaving
    time_point reported_at;   ///< when its own word last differed from its entry
    std::string warm_model;   ///< model of the last group of this start: joins to it are quick
};

class runner_registry {
public:
    using runner_map = std::map<vm_id, registered_runner>;
    /// Heads of groups by their model.
    using model_counts = std::map<std::string, std::size_t>;

    /// A runner's entry is new or has changed.
    void update(const runner& row, time_point now);
    /// A runner's entry is gone. It is remembered for a while, since its group may outlive it.
    void remove(const vm_id& vm, time_point now);
    /// A runner's own word while the registry can't tell; false if it is of another start.
    bool tell(const runner_word& word, time_point now);

    /// Null if the runner is not known, nor has been lately.
    [[nodiscard]] const registered_runner* find(const vm_id& vm) const;
    /// All that are listed or were lately.
    [[nodiscard]] const runner_map& runners() const { return m_runners; }
    [[nodiscard]] std::size_t listed() const { return m_listed; }
    /// Listed runners of rank 0, whatever their phase.
    [[nodiscard]] const std::set<vm_id>& heads() const { return m_heads; }
    /// Listed servers that join no groups.
    [[nodiscard]] const std::set<vm_id>& plain_servers() const { return m_plain; }
    /// Listed runners whose entries name the composition.
    [[nodiscard]] std::size_t members_of(const group_key& key) const;
    /// When an entry first named the composition; nullopt if none does.
    [[nodiscard]] std::optional<time_point> first_seen(const group_key& key) const;
    /// Heads of each failure domain that has had runners.
    [[nodiscard]] const std::map<failure_domain_id, model_counts>& heads_by_domain() const
    {
        return m_heads_by_domain;
    }
    /// Listed runners of each fabric domain that stay.
    [[nodiscard]] const std::map<fabric_domain_id, domain_capacity>& capacities() const
    {
        return m_capacities;
    }
    /// When the first runner was seen, and when one was last seen that was not known.
    [[nodiscard]] time_point first_joined() const { return m_first_joined; }
    [[nodiscard]] time_point last_joined() const { return m_last_joined; }
    /// Rises with each change of an open head, a plain server or the members of an open group.
    [[nodiscard]] std::uint64_t serving_version() const { return m_serving_version; }

private:
    struct composition {
        time_point first_seen;
        std::size_t named = 0;  ///< entries, also those that have gone
        std::size_t listed = 0; ///< entries that are there
        std::size_t open = 0;   ///< of those, heads that are open
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
    std::map<failure_domain_id, model_counts> m_heads_by_domain;
    std::map<fabric_domain_id, domain_capacity> m_capacities;
    std::deque<std::pair<time_point, vm_id>> m_unlisted; ///< in the order in which they went
    std::size_t m_listed = 0;
    time_point m_first_joined;
    time_point m_last_joined;
    std::uint64_t m_serving_version = 0;
};

} // namespace jaynotch::groups
