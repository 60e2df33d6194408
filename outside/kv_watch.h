// Results of reads and watches of the key-value service, common to all adapters.
//
//   result<kv_watch> watch = co_await kv.watch("/records/", revision + 1);
//   result<kv_watch_batch> batch = co_await watch.value().next(10s);   // empty: no change
#pragma once

#include "base/base.h"
#include "outside/kv_types.h"

#include <boost/asio/any_io_executor.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace jaynotch {

/// Result of reading one key.
struct kv_read {
    std::int64_t revision = 0; ///< of the whole store
    std::optional<kv_entry> entry;

    /// The mod_revision for a kv_compare on the key; 0 if the key does not exist.
    [[nodiscard]] std::int64_t mod_revision() const { return entry ? entry->mod_revision : 0; }
};

/// Shows how far a reading is, while it is under way.
struct kv_read_progress {
    bool waiting = false; ///< a call was made whose answer has not begun
};

/// Result of reading a prefix, sorted by key.
struct kv_range {
    std::int64_t revision = 0; ///< of the whole store; watch from revision + 1
    std::vector<kv_entry> entries;
};

struct kv_lease {
    lease_id id;
    std::chrono::seconds ttl{0};
};

/// Changes that a watch received, in order of revision.
struct kv_watch_batch {
    std::int64_t revision = 0; ///< of the store when the batch was sent; 0 if none was
    std::vector<kv_event> events;
};

/// Queue of a watch: the adapter pushes the changes that it receives, the owner reads them.
class kv_watch_queue {
public:
    explicit kv_watch_queue(const boost::asio::any_io_executor& executor);
    void push(kv_watch_batch batch);
    void close(error reason);
    [[nodiscard]] bool closed() const { return m_close_reason.has_value(); }
    /// Waits up to `timeout` for a batch; an empty batch if none came. Once the queue is closed and
    /// its batches are read, returns the reason that was passed to close().
    awaitable<result<kv_watch_batch>> next(duration timeout);

private:
    timer m_wake;
    std::deque<kv_watch_batch> m_batches;
    std::size_t m_events = 0;
    std::optional<error> m_close_reason;
};

/// Timing of a watch that consists of long polls. A change takes effect with the next poll.
struct watch_pace {
    /// Longest wait of one poll for a change. A connection that no longer responds is detected only
    /// after `wait` + `response_margin`, so their sum must be below the allowed delay of a change.
    std::chrono::milliseconds wait{1'000};
    std::chrono::milliseconds response_margin{800}; ///< after `wait`, for the answer to arrive
    /// Pause after a poll that returned changes, so that later changes arrive in batches.
    duration batch_delay = std::chrono::milliseconds{40};
    /// Added to `batch_delay` for each change that the poll returned.
    duration batch_delay_per_change{0};
    /// Upper bound of the delay with these additions; no effect if below `batch_delay`.
    duration max_batch_delay{0};

    [[nodiscard]] duration pause_after(std::size_t changes) const
    {
        const duration lengthened = static_cast<duration::rep>(changes) * batch_delay_per_change;
        return std::max(batch_delay, std::min(batch_delay + lengthened, max_batch_delay));
    }
};

/// Calls in a store's own protocol, where one call of the adapter takes several of them.
struct kv_wire_calls {
    std::uint64_t watches = 0; ///< polls of all watches
    std::uint64_t pages = 0;   ///< page requests of prefix reads
};

/// One watch. Destroying it ends it.
class kv_watch {
public:
    kv_watch(std::shared_ptr<kv_watch_queue> queue, std::shared_ptr<void> source);
    /// Waits for changes. An empty batch means that none came within `timeout`. After an error the
    /// watch has ended: read the prefix and start a new watch from its revision + 1.
    awaitable<result<kv_watch_batch>> next(duration timeout);

private:
    std::shared_ptr<kv_watch_queue> m_queue;
    std::shared_ptr<void> m_source; ///< ends the watch when it is destroyed
};

} // namespace jaynotch
