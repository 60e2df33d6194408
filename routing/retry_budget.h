// How many retries a pool may have: a share of its first sendings, so that retries can't multiply
// the load of a pool that fails (a retry storm). Retries of all nodes are bounded alike, since each
// node's budget follows its own traffic; what may be saved up is set by whoever knows how many
// nodes there are.
#pragma once

#include <algorithm>

namespace jaynotch {

/// A bucket of retries; each first sending adds a part of one.
class retry_budget {
public:
    /// Retries per first sending, in the long run, and how many are saved up at most; the latter is
    /// also what a quiet pool has for its first failure.
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
    /// True, and one retry less, if there is one.
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
