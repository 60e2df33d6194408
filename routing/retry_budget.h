// How many retries a pool may have: a share of its first sendings, so that retries can't multiply
// the load of a pool that fails (a retry storm). Retries of all nodes are bounded alike, since each
// node's budget follows its own traffic.
#pragma once

#include <algorithm>

namespace jaynotch {

/// A bucket of retries; each first sending adds a part of one.
class retry_budget {
public:
    /// Retries per first sending, in the long run.
    static constexpr double share = 0.1;
    /// Retries saved up at most; also what a quiet pool has for its first failure.
    static constexpr double most_saved = 10.0;

    void note_first_sending() { m_saved = std::min(most_saved, m_saved + share); }
    [[nodiscard]] bool has_one() const { return m_saved >= 1.0; }
    /// True, and one retry less, if there is one.
    bool take()
    {
        if (!has_one())
            return false;
        m_saved -= 1.0;
        return true;
    }

private:
    double m_saved = most_saved;
};

} // namespace jaynotch
