// Leader election for the manager of a failure domain: a key under a lease in the platform's store,
// held by one daemon and watched by all. The key's revision is the term, which the manager's orders
// carry as their fencing number.
//
//   election lease_election{{.key = manager_key, .self = node}};
//   lease_election.key_updated(entry, now);     // from the watch; nullopt: the key does not exist
//   lease_election.tick(claim_delay, now, out); // claims a key missing for `claim_delay`
//   if (lease_election.leading(now)) order(lease_election.term());
//
// Unlike `leadership` it never polls the platform for the current leader: every node watches the
// key anyway, so polling would cost one call per node and period without benefit.
#pragma once

#include "groups/types.h"

#include <optional>
#include <string>
#include <vector>

namespace jaynotch::groups {

/// Ends a lease, so that the next manager need not wait for its expiry.
struct lease_end {
    lease_id lease;
};
using election_command = std::variant<kv_call, lease_grant, lease_renew, lease_end>;

struct election_settings {
    std::string key;
    node_id self;
    std::chrono::seconds lease{2}; ///< a domain is unmanaged this long after its manager dies
    duration margin = 300ms;       ///< the manager stops this long before its lease expires
    duration renewal = 600ms;      ///< renewal interval; two renewals may fail within the lease
    duration call_timeout = 1s;    ///< a call unanswered for this long counts as lost
    duration retry = 300ms;        ///< delay after a failed claim
    /// Renewals count as failing if less than this is left of the lease. Successful renewals leave
    /// at least 1.1 s, and 0.3 s less on a slow platform.
    duration renewal_warning = 700ms;
    /// When all peers confirm an outage, the manager continues for this long after it asked them.
    duration confirmation_validity = 1s;
    /// A peer that confirms an outage neither claims nor manages for this long after its answer.
    /// Longer than confirmation_validity, so that two nodes never manage at once.
    duration pledge_duration = 2s;
};

class election {
public:
    explicit election(election_settings settings) : m_settings{std::move(settings)} {}

    /// Handles the state of the key as reported by the watch.
    void key_updated(const std::optional<kv_entry>& entry, time_point now);
    /// Appends the calls that are due. `claim_delay`: how long the key must be missing before this
    /// node claims it; nullopt if this node must not claim it.
    void tick(std::optional<duration> claim_delay, time_point now,
              std::vector<election_command>& out);
    /// Handles the answer to one of its calls; false if the answer belongs to another call.
    bool apply(const kv_result& answer, time_point now);
    bool apply(const lease_result& answer, time_point now, std::vector<election_command>& out);
    /// The store has come back from an earlier copy of itself, so the key and the lease may be
    /// gone. Until the key has been read again, this node does not lead. If it was not the holder,
    /// it leaves the holder the time to notice.
    void store_restored(time_point now);
    /// Gives up leadership because a runner knows a newer term, so another manager was elected.
    void outdated(time_point now);
    /// Gives up the key on a planned stop.
    void resign(std::vector<election_command>& out);

    /// Every other node, asked at `asked`, has answered that it can't reach the platform either and
    /// has suspended its candidacy. So no other node can hold the key, and its holder continues.
    void outage_confirmed(time_point asked);
    /// This node has confirmed an outage to another node: it neither claims the key nor manages for
    /// `pledge_duration`.
    void suspend_candidacy(time_point now);

    /// True while, by this node's own clock, its lease can't have expired or its peers'
    /// confirmation of an outage is valid.
    [[nodiscard]] bool leading(time_point now) const
    {
        return m_term != 0 && !m_unconfirmed && now >= m_suspended_until &&
               (now < m_until || now < m_confirmed_until);
    }
    /// The node named in the key; nullopt if the key does not exist or can't be read.
    [[nodiscard]] std::optional<node_id> holder() const;
    /// Whether the lease is about to end because renewals fail; the peers should be asked about an
    /// outage.
    [[nodiscard]] bool renewal_overdue(time_point now) const
    {
        return m_term != 0 && m_until - now < m_settings.renewal_warning;
    }
    [[nodiscard]] std::int64_t term() const { return m_term; }

private:
    enum class election_call { none, check, grant, claim, renew };

    void check_key(time_point now, std::vector<election_command>& out);
    void key_checked(const kv_outcome& read, time_point now);
    void claim(std::vector<election_command>& out);
    [[nodiscard]] std::string value() const;
    [[nodiscard]] call_token next_token() { return call_token{++m_last_token}; }

    election_settings m_settings;
    std::uint64_t m_last_token = 0;
    election_call m_call = election_call::none;
    call_token m_token;
    time_point m_call_sent;
    lease_id m_lease;
    time_point m_lease_sent;    ///< when the last answered grant or renewal was sent
    time_point m_until;         ///< end of leadership under the lease
    std::int64_t m_term = 0;    ///< 0 while it does not hold the key
    bool m_unconfirmed = false; ///< holds the key unless it was lost with the store's return
    bool m_key_known = false;
    bool m_key_exists = false;
    std::string m_holder; ///< value of the key
    time_point m_missing_since;
    time_point m_not_before;      ///< earliest time of the next claim
    time_point m_renewed;         ///< when a renewal was last sent
    time_point m_confirmed_until; ///< end of the peers' confirmation of an outage
    time_point m_suspended_until; ///< end of the suspended candidacy
};

} // namespace jaynotch::groups
