// What reads and watches of the key-value service bring, whichever adapter they come through.
//
//   result<kv_watch> watch = co_await kv.watch("/records/", revision + 1);
//   result<kv_watch_batch> seen = co_await watch.value().next(10s);   // empty: nothing changed
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

/// Answer of a get.
struct kv_read {
    std::int64_t revision = 0; ///< of the whole store
    std::optional<kv_entry> entry;

    /// What a compare on the key must name; 0 if it does not exist.
    [[nodiscard]] std::int64_t mod_revision() const { return entry ? entry->mod_revision : 0; }
};

/// Answer of get_prefix, by key.
struct kv_range {
    std::int64_t revision = 0; ///< of the whole store; watch from revision + 1
    std::vector<kv_entry> entries;
};

struct kv_lease {
    lease_id id;
    std::chrono::seconds ttl{0};
};

/// Changes that a watch saw, in order of revision.
struct kv_watch_batch {
    std::int64_t revision = 0; ///< the store's when the batch was sent; 0 if nothing came
    std::vector<kv_event> events;
};

/// Where adapters put what a watch sees and where its owner takes it.
class kv_watch_queue {
public:
    explicit kv_watch_queue(const boost::asio::any_io_executor& executor);
    void push(kv_watch_batch batch);
    void close(error reason);
    [[nodiscard]] bool closed() const { return m_close_reason.has_value(); }
    awaitable<result<kv_watch_batch>> next(duration timeout);

private:
    timer m_wake;
    std::deque<kv_watch_batch> m_batches;
    std::size_t m_events = 0;
    std::optional<error> m_close_reason;
};

/// How often a watch that is made of waiting calls calls. Takes effect with the next call.
struct watch_pace {
    /// One call waits for a change for this long. A connection that went silent is noticed only
    /// after it and `slack`, so both together must be shorter than a change may take.
    std::chrono::milliseconds wait{1'000};
    std::chrono::milliseconds response_margin{800}; ///< after `wait`, for the answer to arrive
    /// Between a call that brought changes and the next, so that changes come in batches.
    duration batch_delay = std::chrono::milliseconds{40};
    duration batch_delay_per_change{
        0};                      ///< longer by this for each change that the call brought, ...
    duration max_batch_delay{0}; ///< ... up to this

    [[nodiscard]] duration pause_after(std::size_t changes) const
    {
        const duration longer = static_cast<duration::rep>(changes) * batch_delay_per_change;
        return std::max(batch_delay, std::min(batch_delay + longer, max_batch_delay));
    }
};

/// Calls of a store's own protocol, where one of ours takes several.
struct kv_wire_calls {
    std::uint64_t watches = 0; ///< waiting calls of all watches
    std::uint64_t pages = 0;   ///< of readings of a prefix
};

/// One watch. It ends when it is destroyed.
class kv_watch {
public:
    kv_watch(std::shared_ptr<kv_watch_queue> queue, std::shared_ptr<void> source);
    /// Waits for changes. An empty batch means that none came within `timeout`. After an
    /// error the watch is over: read the prefix and watch anew from its revision + 1.
    awaitable<result<kv_watch_batch>> next(duration timeout);

private:
    std::shared_ptr<kv_watch_queue> m_queue;
    std::shared_ptr<void> m_source; ///< what ends the watch when it goes
};

} // namespace jaynotch
