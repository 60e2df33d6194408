// Decides which nodes of a failure domain follow (watch) the platform's store on behalf of all of
// its nodes. It does no I/O.
//
//   store_followers followers{{.self = node}};
//   followers.members_changed(own_domain);
//   followers.push_received(from, store_age, now);  // a push from a neighbour
//   followers.store_answered(now);                  // a call of this node succeeded
//   followers.store_failed(now);                    // a call of this node failed
//   if (followers.should_follow(now)) ...
//
// Two nodes always follow and push what they learn to the others. The others rely on a push only if
// the store answered its sender recently. If no node is fresh in this sense, the others stand in,
// one first, then in rounds of twice as many.
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
    std::string name = "documents"; ///< hash key; each store has other followers
    std::size_t followers = 2;      ///< nodes that always follow
    /// A node is fresh for this long after the store answered it. Must be longer than a follower
    /// waits for the store's answer, and much shorter than the time within which a change must be
    /// in force.
    duration freshness_period = std::chrono::milliseconds{1'500};
    /// Delay between the starts of two rounds of stand-ins. Must be longer than a stand-in takes to
    /// read everything and to push until its neighbours rely on it.
    duration stand_in_stagger = std::chrono::milliseconds{250};
    /// A node whose calls to the store failed twice in a row does not stand in again before this
    /// time. After the first failure, which may be due to the connection, it tries again at once.
    duration stand_in_retry_delay = std::chrono::seconds{2};
};

class store_followers {
public:
    explicit store_followers(store_followers_settings settings);

    /// Sets the live members of the failure domain, including this node.
    void members_changed(const std::vector<node_id>& own_domain);
    /// A neighbour has pushed all that it knows; the store answered it `store_age` ago.
    void push_received(const node_id& from, duration store_age, time_point now);
    /// The store answered this node, which has processed the answer.
    void store_answered(time_point now);
    /// A call of this node to the store failed.
    void store_failed(time_point now);

    /// This node has everything from peers. The followers have read everything themselves by
    /// `ready_at`, and push from then on.
    void informed(time_point ready_at) { m_last_fresh = std::max(m_last_fresh, ready_at); }

    /// Whether this node must follow the store now.
    [[nodiscard]] bool should_follow(time_point now);
    /// Time since the store answered this node; nullopt if it doesn't follow or has no answer yet.
    [[nodiscard]] std::optional<duration> store_age(time_point now) const;
    /// Position among the nodes of the domain; the permanent followers come first.
    [[nodiscard]] std::size_t rank() const { return m_rank; }
    /// Latest answer of the store to this node or to a sender of pushes.
    [[nodiscard]] time_point last_fresh() const { return m_last_fresh; }
    /// Whether no node of lower rank is fresh, so that the others depend on this one.
    [[nodiscard]] bool is_first_fresh(time_point now) const
    {
        return now - m_lower_rank_fresh > m_settings.freshness_period;
    }
    /// Nodes of a failure domain that always follow.
    [[nodiscard]] std::size_t followers() const { return m_settings.followers; }
    /// Whether the domain has nodes that don't follow and thus depend on pushes.
    [[nodiscard]] bool has_dependents() const { return m_ranks.size() > m_settings.followers; }

private:
    [[nodiscard]] duration stand_in_delay() const;

    store_followers_settings m_settings;
    std::map<node_id, std::size_t> m_ranks;
    std::size_t m_rank = 0;
    bool m_standing_in = false;
    std::size_t m_failures = 0;    ///< of calls to the store in a row
    time_point m_last_fresh;       ///< last answer of the store to this node or a sender of pushes
    time_point m_lower_rank_fresh; ///< last answer of the store to a node of lower rank
    time_point m_stand_in_after;   ///< earliest start as a stand-in
    std::optional<time_point> m_last_answer;
};

} // namespace jaynotch
