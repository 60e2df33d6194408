// The lease is measured from the sending of its grant or renewal, on this node's own clock, which
// includes suspended time. So the holder always considers it expired before the platform does.
//
// Outage of the platform. No renewal is answered, the lease expires, and no other node can claim
// the key either, so groups that lose members would stay broken until the platform is back.
// Therefore a manager whose renewals fail asks all other nodes. A node that can't reach the
// platform confirms that and neither claims nor manages for 2 s; if all nodes confirm, the manager
// continues for 1 s from its question, and asks again. A single node that reaches the platform, or
// does not answer, makes the manager stop. Two nodes never manage at once: the manager's 1 s ends
// before the 2 s of each confirming node, even if that node's claim was in flight when it answered.
// This is no consensus and stores nothing; runners still compare terms.
//
// The store may come back from a copy of itself, without the key or the lease. A holder that has
// not heard of it goes on until its lease runs out, and a node that has finds the key missing. The
// latter therefore waits for the length of a lease. The holder reads the key before it goes on, and
// may claim it again at once. Terms rise nevertheless, since revisions of the new era are higher.
//
// If the answer to a claim is lost, the watch shows whether it succeeded: the key then contains
// this node's name and lease. A pause between the check of the lease and the sending of an order is
// covered by the term, which runners compare.
#include "groups/election.h"

#include <algorithm>

namespace jaynotch::groups {

std::string election::value() const
{
    return boost::json::serialize(
        boost::json::object{{"node", m_settings.self.value()}, {"lease", m_lease.value()}});
}

std::optional<node_id> election::holder() const
{
    boost::system::error_code malformed;
    const boost::json::value parsed = boost::json::parse(m_holder, malformed);
    const boost::json::object* const fields = malformed ? nullptr : parsed.if_object();
    const boost::json::value* const node =
        fields == nullptr ? nullptr : fields->if_contains("node");
    if (node == nullptr || !node->is_string())
        return std::nullopt;
    return node_id{std::string{node->as_string()}};
}

void election::key_updated(const std::optional<kv_entry>& entry, time_point now)
{
    const bool exists = entry.has_value();
    if (!exists && (m_key_exists || !m_key_known))
        m_missing_since = now;
    m_key_known = true;
    m_key_exists = exists;
    m_holder = exists ? entry->value : std::string{};
    const bool own = exists && m_lease.value() != 0 && entry->value == value();
    if (own && m_term == 0) {
        m_term = entry->mod_revision;
        m_until = m_lease_sent + m_settings.lease - m_settings.margin;
    }
    if (!own && m_term != 0 && (!exists || entry->mod_revision > m_term))
        m_term = 0;
}

void election::tick(std::optional<duration> claim_delay, time_point now,
                    std::vector<election_command>& out)
{
    if (m_call != election_call::none && now - m_call_sent < m_settings.call_timeout)
        return;
    m_call = election_call::none;
    if (m_term != 0) {
        if (now - m_renewed < (m_unconfirmed ? m_settings.retry : m_settings.renewal))
            return;
        m_renewed = now;
        if (m_unconfirmed) {
            check_key(now, out);
            return;
        }
        m_call = election_call::renew;
        m_token = next_token();
        m_call_sent = now;
        out.emplace_back(lease_renew{m_token, m_lease});
        return;
    }
    const bool may_claim = claim_delay && now >= m_suspended_until && m_key_known &&
                           !m_key_exists && now >= m_not_before &&
                           now - m_missing_since >= *claim_delay;
    if (!may_claim)
        return;
    m_not_before = now + m_settings.retry;
    m_call = election_call::grant;
    m_token = next_token();
    m_call_sent = now;
    out.emplace_back(lease_grant{m_token, m_settings.lease});
}

void election::check_key(time_point now, std::vector<election_command>& out)
{
    m_call = election_call::check;
    m_token = next_token();
    m_call_sent = now;
    out.emplace_back(kv_call{
        m_token, kv_transaction{{kv_compare{m_settings.key, 0}}, {}, {kv_get{m_settings.key}}}});
}

void election::claim(std::vector<election_command>& out)
{
    m_call = election_call::claim;
    m_token = next_token();
    out.emplace_back(kv_call{m_token, kv_transaction{{kv_compare{m_settings.key, 0}},
                                                     {kv_put{m_settings.key, value(), m_lease}},
                                                     {}}});
}

bool election::apply(const kv_result& answer, time_point now)
{
    const bool own_call = m_call == election_call::claim || m_call == election_call::check;
    if (!own_call || answer.token != m_token)
        return false;
    if (std::exchange(m_call, election_call::none) == election_call::check) {
        if (answer.outcome)
            key_checked(answer.outcome.value(), now);
        return true;
    }
    m_not_before = now + m_settings.retry;
    if (!answer.outcome || !answer.outcome.value().succeeded)
        return true; // answer lost, or another node was first; the watch shows which
    m_term = answer.outcome.value().revision;
    m_unconfirmed = false;
    m_until = m_lease_sent + m_settings.lease - m_settings.margin;
    return true;
}

void election::key_checked(const kv_outcome& read, time_point now)
{
    m_unconfirmed = false;
    const auto found =
        std::find_if(read.entries.begin(), read.entries.end(),
                     [&](const kv_entry& entry) { return entry.key == m_settings.key; });
    key_updated(found == read.entries.end() ? std::nullopt : std::optional{*found}, now);
}

bool election::apply(const lease_result& answer, time_point now, std::vector<election_command>& out)
{
    if ((m_call != election_call::grant && m_call != election_call::renew) ||
        answer.token != m_token)
        return false;
    const election_call was = m_call;
    m_call = election_call::none;
    if (!answer.lease) {
        if (was == election_call::renew && answer.lease.error().kind == error_kind::not_found) {
            m_term = 0; // the lease has expired
            m_lease = lease_id{0};
        }
        m_not_before = now + m_settings.retry;
        return true;
    }
    m_lease_sent = m_call_sent;
    if (was == election_call::grant) {
        m_lease = answer.lease.value();
        m_renewed = m_call_sent;
        m_call_sent = now;
        claim(out);
        return true;
    }
    m_until = m_lease_sent + m_settings.lease - m_settings.margin;
    return true;
}

void election::outage_confirmed(time_point asked)
{
    if (m_term != 0)
        m_confirmed_until = asked + m_settings.confirmation_validity;
}

void election::suspend_candidacy(time_point now)
{
    m_suspended_until = now + m_settings.pledge_duration;
}

void election::store_restored(time_point now)
{
    m_call = election_call::none;
    if (m_term != 0) {
        m_unconfirmed = true;
        m_renewed = now - m_settings.retry;
    }
    else {
        m_not_before = std::max(m_not_before, now + m_settings.lease);
    }
}

void election::outdated(time_point now)
{
    m_term = 0;
    m_not_before = now + m_settings.lease;
}

void election::resign(std::vector<election_command>& out)
{
    if (m_term == 0)
        return;
    m_term = 0;
    out.emplace_back(lease_end{m_lease});
    m_lease = lease_id{0};
}

} // namespace jaynotch::groups
