// Who manages a failure domain where the manager's key is watched anyway: a key under a lease, held
// by one daemon. Its revision is the term, which is the fencing number of the manager's orders.
//
//   election vote{{.key = manager_key, .self = node}};
//   vote.key_updated(entry, now);           // from the watch; nullopt: the key is not there
//   vote.tick(patience, now, out);       // claims a key that was missing for `patience`
//   if (vote.leading(now)) order(vote.term());
//
// Unlike `leadership` it never asks the platform who leads: where every node watches, asking is a
// call a period and node for nothing.
#pragma once

#include "groups/types.h"

#include <optional>
#include <string>
#include <vector>

namespace jaynotch::groups {

/// Ends a lease, so that the next manager need not wait for it.
struct lease_end {
    lease_id lease;
};
using election_command = std::variant<kv_call, lease_grant, lease_renew, lease_end>;

struct election_settings {
    std::string key;
    node_id self;
    std::chrono::seconds lease{2}; ///< how long a domain goes unmanaged when its manager dies
    duration margin = 300ms;       ///< the manager stops itself this much before its lease
    duration renewal = 600ms;      ///< between two renewals: two may fail within the lease
    duration call_timeout = 1s;    ///< a call unanswered for this long counts as lost
    duration retry = 300ms;        ///< after a claim that failed
    /// Less of the lease left than this, and renewals fail: they leave 1.1 s in good times, and
    /// 0.3 s less on a slow platform.
    duration renewal_warning = 700ms;
    /// A manager whose lease ends acts on its peers' word for this long, from when it asked them...
    duration confirmation_validity = 1s;
    /// ... and who gave it stands back for longer, from when it answered.
    duration pledge_duration = 2s;
};

class election {
public:
    explicit election(election_settings settings) : m_settings{std::move(settings)} {}

    /// The key as the watch shows it.
    void key_updated(const std::optional<kv_entry>& entry, time_point now);
    /// Due calls. `patience`: how long the key must be missing before this node claims it; nullopt
    /// if this node must not.
    void tick(std::optional<duration> claim_delay, time_point now,
              std::vector<election_command>& out);
    /// Takes the answer if it is to one of its calls.
    bool apply(const kv_result& answer, time_point now);
    bool apply(const lease_result& answer, time_point now, std::vector<election_command>& out);
    /// A runner knows a newer term than ours: another manager was elected meanwhile.
    void outdated(time_point now);
    /// Gives the key up on a planned stop.
    void resign(std::vector<election_command>& out);

    /// Every other node, asked at `asked`, has said that the platform does not answer it either,
    /// and stands back. So nobody can have taken the key, and the holder goes on.
    void outage_confirmed(time_point asked);
    /// This node has said so to another: it neither claims the key nor manages for a while.
    void suspend_candidacy(time_point now);

    /// True while this node's own clock says that its lease can't have lapsed, or its peers' word
    /// holds.
    [[nodiscard]] bool leading(time_point now) const
    {
        return m_term != 0 && now >= m_suspended_until &&
               (now < m_until || now < m_confirmed_until);
    }
    /// Whether its lease is about to end though it asked for renewal: time to ask the peers.
    [[nodiscard]] bool renewal_overdue(time_point now) const
    {
        return m_term != 0 && m_until - now < m_settings.renewal_warning;
    }
    [[nodiscard]] std::int64_t term() const { return m_term; }
    [[nodiscard]] const std::string& holder() const { return m_holder; }

private:
    enum class election_call { none, grant, claim, renew };

    void claim(std::vector<election_command>& out);
    [[nodiscard]] std::string value() const;
    [[nodiscard]] call_token next_token() { return call_token{++m_last_token}; }

    election_settings m_settings;
    std::uint64_t m_last_token = 0;
    election_call m_call = election_call::none;
    call_token m_token;
    time_point m_call_sent;
    lease_id m_lease;
    time_point m_lease_sent; ///< sending of the grant or renewal that was answered last
    time_point m_until;      ///< this node leads no longer than this
    std::int64_t m_term = 0; ///< 0 while it does not hold the key
    bool m_key_known = false;
    bool m_key_exists = false;
    std::string m_holder; ///< value of the key
    time_point m_missing_since;
    time_point m_not_before;      ///< of the next claim
    time_point m_renewed;         ///< when a renewal was last sent
    time_point m_confirmed_until; ///< the peers' word holds
    time_point m_suspended_until; ///< stands back
};

} // namespace jaynotch::groups
