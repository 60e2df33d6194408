// Remembers whether the platform's store answered this node's last check, so that one call answers
// the questions of several managers.
//
//   store_checks checks;
//   if (const std::optional<bool> reached = checks.known(now)) ...  // answer without a call
//   checks.note(reached, now);                                      // result of a check
//
// A manager that can't renew its key asks all nodes again and again while the store turns it away,
// so the calls grow with the nodes and with the managers in need. An answer "reached" allows nobody
// anything, it only keeps the manager from acting without the store, so it may be some time old: it
// delays the proof of an outage that has just begun by that time at most.
#pragma once

#include "base/base.h"

#include <optional>

namespace jaynotch {

class store_checks {
public:
    /// The result of the last check, while it may be used.
    [[nodiscard]] std::optional<bool> known(time_point now) const
    {
        if (!m_checked)
            return std::nullopt;
        const duration validity = m_reached ? success_validity : failure_validity;
        return now - *m_checked < validity ? std::optional{m_reached} : std::nullopt;
    }
    void note(bool reached, time_point now)
    {
        m_reached = reached;
        m_checked = now;
    }

private:
    /// Two rounds of a manager's questions, and a third of the time for which its lease outlasts
    /// its last renewal.
    static constexpr duration success_validity = std::chrono::milliseconds{600};
    /// A node that has answered "not reached" does not manage for longer than this.
    static constexpr duration failure_validity = std::chrono::milliseconds{1'500};

    std::optional<time_point> m_checked;
    bool m_reached = false;
};

} // namespace jaynotch
