// Tells an outage of the platform's store from a failure of this node's own calls, so that the
// entries of servers are kept after the one and not after the other. It does no I/O.
//
//   store_outage outage{{.min_outage = 2 * heartbeat}};
//   outage.store_answered(now);                             // a call of this node succeeded
//   outage.store_failed();                                  // a call of this node failed
//   outage.neighbour_knows(steady_since, last_answer);      // comes with entries of a neighbour
//   outage.neighbour_answered(answered_at);                 // by a push of a neighbour
//   if (now < outage.grace_until()) ...                     // a missing entry may return
//
// Servers can't renew the leases of their entries while the store is down, so entries expire that
// servers write again once it has returned. If only this node could not reach the store, an entry
// that is gone means that its server has left.
#pragma once

#include "base/base.h"

#include <cstddef>
#include <optional>

namespace jaynotch {

struct store_outage_settings {
    /// No entry expires in a shorter outage.
    duration min_outage = std::chrono::milliseconds{2'400};
    /// Time for live servers to write their entries again once the store has returned.
    duration grace = std::chrono::milliseconds{2'200};
};

class store_outage {
public:
    explicit store_outage(store_outage_settings settings) : m_settings{settings} {}

    /// The store answered a call of this node.
    void store_answered(time_point now);
    /// This node, which the store has never answered, has everything from a peer that knew this.
    void informed(time_point steady_since, time_point last_answer);
    /// A call of this node to the store failed.
    void store_failed() { ++m_failures; }
    /// The store answered a neighbour at that time.
    void neighbour_answered(time_point answered_at);
    /// What steady_since() and last_answer() are at a neighbour. Must be told before the entries
    /// that come with it.
    void neighbour_knows(time_point steady_since, time_point last_answer);

    /// Since when the store has had no outage, as far as this node and its neighbours know.
    [[nodiscard]] time_point steady_since() const { return m_steady_since; }
    /// When the store last answered this node or a neighbour.
    [[nodiscard]] time_point last_answer() const { return m_last_answer.value_or(time_point{}); }
    /// Entries that are missing may return until then.
    [[nodiscard]] time_point grace_until() const { return m_grace_until; }

private:
    void end_outage(time_point returned);

    store_outage_settings m_settings;
    std::optional<time_point> m_last_answer; ///< to this node or a neighbour
    time_point m_steady_since;               ///< valid if m_last_answer is set
    time_point m_returned_at; ///< first answer, or first one after the last outage, at this node
    time_point m_grace_until;
    std::size_t m_failures = 0; ///< of calls in a row
};

} // namespace jaynotch
