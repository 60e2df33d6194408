// Leader election for the manager of a fabric domain: a key under a lease in the platform's
// key-value service, held by one daemon. Part of domain_manager, which calls tick() and passes the
// answers to take(); it decides about leadership only.
#pragma once

#include "groups/manager.h"

#include <optional>

namespace jaynotch::groups {

/// Purpose of a call in flight.
enum class call_kind { none, check_key, grant, claim, renew, write, read };

struct pending_call {
    call_kind kind = call_kind::none;
    call_token token;
    time_point sent_at;
};

/// Campaigns for the manager's key, renews its lease, and gives up leadership before it expires.
class leadership {
public:
    explicit leadership(const manager_settings& settings);

    /// True while, by this node's own clock, its lease can't have expired.
    [[nodiscard]] bool leading(time_point now) const;
    /// End of leadership under the current lease; no order may be sent later.
    [[nodiscard]] time_point until() const { return m_until; }
    /// mod_revision of the manager's key as written by this node; writes are conditional on it.
    [[nodiscard]] std::int64_t key_revision() const { return m_key_revision; }
    /// When the platform last answered anything.
    [[nodiscard]] time_point last_platform_answer() const { return m_last_platform_answer; }
    void note_platform_answer(time_point now) { m_last_platform_answer = now; }

    /// Appends the calls that are due. `candidate`: whether this node should try to become manager.
    void tick(bool candidate, time_point now, std::vector<manager_command>& out);
    /// Handles the answer to one of its calls; false if the answer belongs to another call.
    /// Appends the records that the call read to `records`.
    bool take(const kv_result& answer, time_point now, std::vector<manager_command>& out,
              std::vector<kv_entry>& records);
    bool take(const lease_result& answer, time_point now, std::vector<manager_command>& out);
    /// Gives up leadership after a write has shown that this node no longer holds the key.
    void step_down();
    call_token next_token();

private:
    void check_key(time_point now, std::vector<manager_command>& out);
    void claim(time_point now, std::vector<manager_command>& out);
    void renew(time_point now, std::vector<manager_command>& out);
    [[nodiscard]] std::string key_value() const;

    manager_settings m_settings;
    std::uint64_t m_last_token = 0;
    pending_call m_pending;
    lease_id m_lease;         ///< 0 if none
    time_point m_lease_sent;  ///< when the last answered grant or renewal was sent
    bool m_holds_key = false; ///< the key was written, or read, with this node's lease
    time_point m_until;       ///< m_lease_sent + lease - margin
    std::int64_t m_key_revision = 0;
    time_point m_next_key_check;
    time_point m_last_platform_answer;
};

} // namespace jaynotch::groups
