// Who manages the domain: a key under a lease in the platform's service, held by one daemon.
// A part of domain_manager; it decides about leadership only.
#pragma once

#include "groups/manager.h"

#include <optional>

namespace jaynotch::groups {

/// What the calls under way are for.
enum class call_kind { none, check_key, grant, claim, renew, write, read };

struct pending_call {
    call_kind kind = call_kind::none;
    call_token token;
    time_point sent_at;
};

/// Campaigns for the manager's key, renews its lease, and stops itself in time.
class leadership {
public:
    explicit leadership(const manager_settings& settings);

    /// True while this node's own clock says that its lease can't have lapsed.
    [[nodiscard]] bool leading(time_point now) const;
    /// The end of that, for orders that must not go out later.
    [[nodiscard]] time_point until() const { return m_until; }
    /// mod_revision of the manager's key as this node wrote it; a write compares it.
    [[nodiscard]] std::int64_t key_revision() const { return m_key_revision; }
    /// When the platform last answered anything.
    [[nodiscard]] time_point last_platform_answer() const { return m_last_platform_answer; }
    void note_platform_answer(time_point now) { m_last_platform_answer = now; }

    /// The calls that are due. `candidate`: whether this node should try to become manager.
    void tick(bool candidate, time_point now, std::vector<manager_command>& out);
    /// Takes the answer if it is to one of its calls; then `records` holds what was read along.
    bool take(const kv_result& answer, time_point now, std::vector<manager_command>& out,
              std::vector<kv_entry>& records);
    bool take(const lease_result& answer, time_point now, std::vector<manager_command>& out);
    /// A write showed that the manager's key is not this node's any more.
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
    time_point m_lease_sent;  ///< sending of the last grant or renewal that was answered
    bool m_holds_key = false; ///< the key was written, or read, with this node's lease
    time_point m_until;       ///< lease_sent + lease - margin
    std::int64_t m_key_revision = 0;
    time_point m_next_key_check;
    time_point m_last_platform_answer;
};

} // namespace jaynotch::groups
