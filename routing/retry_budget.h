// A token bucket that limits a pool's retries to a fraction of its requests, so that retries can't
// multiply the load on a failing pool (a retry storm). Each node's budget follows its own traffic,
// so the retries of all nodes together have the same bound. The caller chooses the capacity, which
// has to take the number of nodes into account.
//
//   retry_budget budget;
//   budget.set(0.1, 10.0);
//   budget.note_first_attempt();
//   if (budget.take()) ...                          // may retry
#pragma once

#include <algorithm>

namespace jaynotch {

/// Token bucket of retries, refilled by first attempts.
class retry_budget {
public:
    /// Sets the retries added per first attempt and the capacity. The bucket starts full, so a pool
    /// with little traffic can retry its first failures.
    void set(double share, double max_saved)
    {
        m_share = share;
        m_saved = m_set ? std::min(m_saved, max_saved) : max_saved;
        m_max_saved = max_saved;
        m_set = true;
    }
    void note_first_attempt() { m_saved = std::min(m_max_saved, m_saved + m_share); }
    [[nodiscard]] bool has_retry() const { return m_saved >= 1.0; }
    [[nodiscard]] double left() const { return m_saved; }
    /// Takes a retry from the budget; false if there is none.
    bool take()
    {
        if (!has_retry())
            return false;
        m_saved -= 1.0;
        return true;
    }

private:
    double m_share = 0.1;
    double m_max_saved = 10.0;
    double m_saved = 10.0;
    bool m_set = false;
};

} // namespace jaynotch
