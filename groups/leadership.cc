// The lease is measured from the sending of its grant or renewal, on this node's own clock, so the
// holder always considers it expired before the platform does (Gray and Cheriton 1989). The margin
// covers the drift between the two clocks.
//
// This does not cover a pause between the check of the lease and the action. Writes are safe: they
// compare the mod_revision of the key and of the record, so a manager that resumes late writes
// nothing. Orders are protected by the fencing number or, if engines ignore it, by the order
// horizon.
#include "groups/leadership.h"

#include "groups/record.h"

namespace jaynotch::groups {

leadership::leadership(const manager_settings& settings) : m_settings{settings} {}

bool leadership::leading(time_point now) const
{
    return m_holds_key && now < m_until;
}

call_token leadership::next_token()
{
    return call_token{++m_last_token};
}

std::string leadership::key_value() const
{
    return boost::json::serialize(
        boost::json::object{{"node", m_settings.self.value()}, {"lease", m_lease.value()}});
}

void leadership::step_down()
{
    m_holds_key = false;
    m_lease = lease_id{0};
}

void leadership::tick(bool candidate, time_point now, std::vector<manager_command>& out)
{
    const bool waiting = m_pending.kind != call_kind::none;
    if (waiting && now - m_pending.sent_at < m_settings.call_timeout)
        return;
    m_pending = {};
    if (m_holds_key && now >= m_until)
        m_holds_key = false; // the lease may still be valid; the next check of the key shows it
    if (m_holds_key) {
        if (now - m_lease_sent >= m_settings.lease / 3)
            renew(now, out);
        return;
    }
    if (candidate && now >= m_next_key_check)
        check_key(now, out);
}

void leadership::check_key(time_point now, std::vector<manager_command>& out)
{
    const std::string manager = manager_key(m_settings.deployment, m_settings.domain);
    const std::string record = record_key(m_settings.deployment, m_settings.domain);
    m_next_key_check = now + m_settings.campaign_period;
    m_pending = {call_kind::check_key, next_token(), now};
    out.emplace_back(kv_call{m_pending.token, kv_transaction{{kv_compare{manager, 0}},
                                                             {kv_get{record}},
                                                             {kv_get{manager}, kv_get{record}}}});
}

void leadership::claim(time_point now, std::vector<manager_command>& out)
{
    const std::string manager = manager_key(m_settings.deployment, m_settings.domain);
    const std::string record = record_key(m_settings.deployment, m_settings.domain);
    m_pending = {call_kind::claim, next_token(), now};
    out.emplace_back(kv_call{m_pending.token,
                             kv_transaction{{kv_compare{manager, 0}},
                                            {kv_put{manager, key_value(), m_lease}, kv_get{record}},
                                            {kv_get{manager}, kv_get{record}}}});
}

void leadership::renew(time_point now, std::vector<manager_command>& out)
{
    m_pending = {call_kind::renew, next_token(), now};
    out.emplace_back(lease_renew{m_pending.token, m_lease});
}

bool leadership::take(const kv_result& answer, time_point now, std::vector<manager_command>& out,
                      std::vector<kv_entry>& records)
{
    if (answer.token != m_pending.token ||
        (m_pending.kind != call_kind::check_key && m_pending.kind != call_kind::claim))
        return false;
    const pending_call call = std::exchange(m_pending, {});
    if (!answer.outcome)
        return true; // if a claim succeeded, the next check of the key shows it
    m_last_platform_answer = now;
    const kv_outcome& outcome = answer.outcome.value();
    const std::string manager = manager_key(m_settings.deployment, m_settings.domain);
    const kv_entry* key = nullptr;
    for (const kv_entry& entry : outcome.entries) {
        if (entry.key == manager && entry.mod_revision != 0)
            key = &entry;
        else
            records.push_back(entry);
    }
    if (outcome.succeeded && call.kind == call_kind::claim) {
        m_holds_key = true;
        m_key_revision = outcome.revision;
        m_until = m_lease_sent + m_settings.lease - m_settings.lease_margin;
        return true;
    }
    if (outcome.succeeded) {
        m_pending = {call_kind::grant, next_token(), now};
        out.emplace_back(lease_grant{m_pending.token, m_settings.lease});
        return true;
    }
    // The key exists. If it contains this node's lease, the reply to a claim or renewal was lost.
    if (key != nullptr && m_lease.value() != 0 && key->value == key_value()) {
        m_key_revision = key->mod_revision;
        renew(now, out);
    }
    return true;
}

bool leadership::take(const lease_result& answer, time_point now, std::vector<manager_command>& out)
{
    if (answer.token != m_pending.token)
        return false;
    const pending_call call = std::exchange(m_pending, {});
    if (!answer.lease) {
        // The platform does not know the lease: it has expired. After any other error it may still
        // be valid.
        if (call.kind == call_kind::renew && answer.lease.error().kind == error_kind::not_found)
            step_down();
        return true;
    }
    m_last_platform_answer = now;
    m_lease_sent = call.sent_at;
    if (call.kind == call_kind::grant) {
        m_lease = answer.lease.value();
        claim(now, out);
        return true;
    }
    if (answer.lease.value() != m_lease)
        return true;
    m_holds_key = m_key_revision != 0;
    m_until = m_lease_sent + m_settings.lease - m_settings.lease_margin;
    return true;
}

} // namespace jaynotch::groups
