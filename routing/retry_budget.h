// A token bucket that limits a pool's retries to a fraction of its requests, so that retries can't
// multiply the load on a failing pool (a retry storm). Each node's budget follows its own traffic,
// so the retries of all nodes together have the same bound. The caller chooses the capacity, which
// has to take the number of nodes into account.
//
//   retry_budget budget;
//   budget.set(0.1, 10.0, retry_history::known);
//   budget.note_first_attempt();
//   if (budget.take()) ...                          // may retry
//
// In any span of time, a bucket allows at most its capacity plus its share of the requests in that
// span. This must also hold for spans in which the process was restarted. A new process doesn't
// know what its predecessor has sent, so its bucket starts empty. It saves up to a part of its
// capacity, and gets the other part once the predecessor's retries are too old to count.
#pragma once

#include <algorithm>
#include <cstddef>

namespace jaynotch {

/// Whether a node knows all retries that its VM has sent within the window in which they count.
enum class retry_history { unknown, known };

/// Token bucket of retries, refilled by first attempts.
class retry_budget {
public:
    /// Sets the retries added per first attempt, and the capacity. With a known history the bucket
    /// starts full, so a pool with little traffic can retry its first failures. With an unknown
    /// one it starts empty.
    void set(double share, double capacity, retry_history history)
    {
        if (history == retry_history::known && m_history == retry_history::unknown)
            m_saved += capacity - m_capacity; // what was held back
        m_share = share;
        m_capacity = history == retry_history::known ? capacity : start_capacity(capacity);
        m_saved = std::min(m_saved, m_capacity);
        m_history = history;
    }
    void note_first_attempt() { m_saved = std::min(m_capacity, m_saved + m_share); }
    [[nodiscard]] bool has_retry() const { return m_saved >= 1.0; }
    /// Whether a retry is left that no stream waits for.
    [[nodiscard]] bool has_spare_retry() const { return m_waiting == 0 && has_retry(); }
    /// A stream that has begun waits for a retry. Until its wait ends, has_spare_retry() is false.
    void begin_wait() { ++m_waiting; }
    void end_wait() { --m_waiting; }
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
    /// Capacity while the history is unknown: half of it, but enough for one retry if possible.
    static double start_capacity(double capacity)
    {
        return std::max(capacity / 2.0, std::min(capacity, 1.0));
    }

    double m_share = 0.0;
    double m_capacity = 0.0; ///< 0 before set()
    double m_saved = 0.0;
    retry_history m_history = retry_history::unknown;
    std::size_t m_waiting = 0; ///< streams between begin_wait() and end_wait()
};

} // namespace jaynotch
