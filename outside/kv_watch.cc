#include "outside/kv_watch.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// The timer serves as a condition variable: push and close cancel it, which wakes the reader. If
// the reader is too slow for the queue's bound, the watch is closed with an error and the reader
// has to read the prefix again. So memory stays bounded and no change is lost unnoticed.

namespace jaynotch {

namespace {

constexpr std::size_t max_queued_events = 10'000;

} // namespace

kv_watch_queue::kv_watch_queue(const boost::asio::any_io_executor& executor) : m_wake{executor} {}

void kv_watch_queue::push(kv_watch_batch batch)
{
    if (m_close_reason)
        return;
    m_events += batch.events.size();
    if (m_events > max_queued_events) {
        close({error_kind::too_large, "watch closed because its reader has too many unread changes",
               "read the prefix and watch from its revision + 1"});
        return;
    }
    m_batches.push_back(std::move(batch));
    m_wake.cancel();
}

void kv_watch_queue::close(error reason)
{
    if (!m_close_reason)
        m_close_reason = std::move(reason);
    m_wake.cancel();
}

awaitable<result<kv_watch_batch>> kv_watch_queue::next(duration timeout)
{
    const time_point deadline = runtime_clock::now() + timeout;
    while (m_batches.empty()) {
        if (m_close_reason)
            co_return *m_close_reason;
        if (runtime_clock::now() >= deadline)
            co_return kv_watch_batch{};
        m_wake.expires_at(deadline);
        boost::system::error_code ignored;
        co_await m_wake.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    kv_watch_batch batch = std::move(m_batches.front());
    m_batches.pop_front();
    m_events -= batch.events.size();
    co_return batch;
}

kv_watch::kv_watch(std::shared_ptr<kv_watch_queue> queue, std::shared_ptr<void> source)
    : m_queue{std::move(queue)}, m_source{std::move(source)}
{}

awaitable<result<kv_watch_batch>> kv_watch::next(duration timeout)
{
    const auto queue = m_queue;
    co_return co_await queue->next(timeout);
}

} // namespace jaynotch
