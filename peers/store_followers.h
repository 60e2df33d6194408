// Which nodes of a failure domain follow the platform's store for all of it: the decision core.
//
//   store_followers turns{{.self = node}};
//   turns.members_changed(own_domain);
//   turns.told(from, age_of_the_stores_answer, now);   // a neighbour's push
//   turns.answered(now);  turns.lost(now);             // what the store gave this node
//   if (turns.due(now)) ...                            // follow it
//
// Two nodes are chosen. The others trust what these tell only for as long as the store has answered
// the teller lately; then they stand in, one after the other.
#pragma once

#include "base/base.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

struct store_followers_settings {
    node_id self;
    std::string name = "documents"; ///< chooses the followers, differently for each store
    std::size_t followers = 2;      ///< nodes of a failure domain that always follow
    /// What the store said this long ago still counts as up to date. Must be longer than a follower
    /// waits for the store's answer, and well within the time in which a change must be in force.
    duration freshness_period = std::chrono::milliseconds{1'500};
    duration stand_in_stagger =
        std::chrono::milliseconds{50}; ///< between two that begin to stand in
    /// A node that the store turned away stands in no sooner than this.
    duration stand_in_retry_delay = std::chrono::seconds{2};
};

class store_followers {
public:
    explicit store_followers(store_followers_settings settings);

    /// Live members of the failure domain, this node among them.
    void members_changed(const std::vector<node_id>& own_domain);
    /// A neighbour has told all that it knows; the store answered it `store_age` ago.
    void push_received(const node_id& from, duration store_age, time_point now);
    /// The store answered this node, and all that it said has been learned.
    void store_answered(time_point now);
    void store_failed(time_point now);

    /// Whether this node is to follow the store now.
    [[nodiscard]] bool should_follow(time_point now);
    /// How long ago the store answered this node; nullopt unless it follows and was answered.
    [[nodiscard]] std::optional<duration> store_age(time_point now) const;
    /// Place among the nodes of the domain; the chosen ones come first.
    [[nodiscard]] std::size_t rank() const { return m_rank; }
    /// Whether no node that ranks before this one is fresh, so that the others go by this one.
    [[nodiscard]] bool is_first_fresh(time_point now) const
    {
        return now - m_lower_rank_fresh > m_settings.freshness_period;
    }
    /// Whether other nodes go by what this one tells.
    [[nodiscard]] bool has_dependents() const { return m_ranks.size() > m_settings.followers; }

private:
    store_followers_settings m_settings;
    std::map<node_id, std::size_t> m_ranks;
    std::size_t m_rank = 0;
    bool m_standing_in = false;
    time_point m_last_fresh;       ///< when the store last answered us, or somebody who told us
    time_point m_lower_rank_fresh; ///< the same of nodes that rank before us
    time_point m_stand_in_after;   ///< of standing in
    std::optional<time_point> m_last_answer;
};

} // namespace jaynotch
