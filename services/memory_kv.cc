#include "services/kv.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// The injected faults are those that a client of the real service can see: a refused call, a call
// that times out without effect, an effect whose response is lost, and an effect after the client's
// timeout. Timers use the runtime clock, so a test that pauses the clock controls their order.

namespace jaynotch {

namespace asio = boost::asio;

namespace {

/// Time between a client's timeout and the delayed effect of its write.
constexpr duration late_effect_delay = std::chrono::milliseconds{200};

awaitable<void> wait_for(asio::any_io_executor executor, duration step)
{
    timer wait{executor, step};
    boost::system::error_code ignored;
    co_await wait.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

error no_reply()
{
    return {error_kind::unknown_outcome, "no answer from the key-value service: timed out",
            "read back before writing again"};
}

} // namespace

std::shared_ptr<memory_kv_server> memory_kv_server::make(const asio::any_io_executor& executor)
{
    return std::shared_ptr<memory_kv_server>{new memory_kv_server{executor}};
}

memory_kv_server::memory_kv_server(const asio::any_io_executor& executor)
    : m_executor{executor}, m_expiry{executor}
{}

void memory_kv_server::expire_lease(lease_id lease)
{
    store.revoke(lease);
    publish();
}

void memory_kv_server::close_watches()
{
    for (const auto& row : m_watchers) {
        if (const auto queue = row.queue.lock())
            queue->close({error_kind::unavailable, "the watch's connection ended",
                          "read the prefix and watch from its revision + 1"});
    }
    m_watchers.clear();
}

void memory_kv_server::publish()
{
    store.expire(runtime_clock::now());
    std::erase_if(m_watchers, [](const watcher& row) { return row.queue.expired(); });
    for (auto& row : m_watchers) {
        const auto queue = row.queue.lock();
        result<std::vector<kv_event>> changed = store.changes(row.prefix, row.next_revision);
        row.next_revision = store.revision() + 1;
        if (!changed)
            queue->close(changed.error());
        else if (!changed.value().empty())
            queue->push({store.revision(), std::move(changed.value())});
    }
    const std::optional<time_point> next = store.next_expiry();
    if (!next)
        return;
    m_expiry.expires_at(*next);
    m_expiry.async_wait([self = weak_from_this()](const boost::system::error_code& ec) {
        if (const auto server = self.lock(); server && !ec)
            server->publish();
    });
}

memory_kv::memory_kv(const asio::any_io_executor& executor,
                     std::shared_ptr<memory_kv_server> server, duration timeout)
    : m_executor{executor}, m_server{std::move(server)}, m_timeout{timeout}
{}

awaitable<result<void>> memory_kv::apply_faults()
{
    // Every call suspends at least once, as a call over a socket does.
    co_await asio::post(m_executor, asio::use_awaitable);
    if (*m_partitioned) {
        co_await wait_for(m_executor, m_timeout);
        co_return error{error_kind::unavailable, "the key-value service can't be reached",
                        "check the network"};
    }
    if (m_server->faults.outage)
        co_return error{error_kind::unavailable, "the key-value service can't be reached",
                        "check the key-value service"};
    if (m_server->faults.unresponsive || m_server->faults.delay > m_timeout) {
        co_await wait_for(m_executor, m_timeout);
        co_return error{error_kind::deadline_exceeded, "no answer from the key-value service",
                        "check the key-value service"};
    }
    if (m_server->faults.delay > duration{0})
        co_await wait_for(m_executor, m_server->faults.delay);
    m_server->publish();
    co_return success();
}

template <class Answer, class Effect>
awaitable<result<Answer>> memory_kv::write(Effect effect)
{
    const auto server = m_server;
    result<void> applied = co_await apply_faults();
    if (!applied && applied.error().kind == error_kind::deadline_exceeded)
        co_return no_reply();
    if (!applied)
        co_return applied.error();
    if (server->faults.late_effects > 0) {
        --server->faults.late_effects;
        auto later = [](asio::any_io_executor executor, duration wait,
                        std::shared_ptr<memory_kv_server> target, Effect done) -> awaitable<void> {
            co_await wait_for(executor, wait);
            (void)done(*target);
            target->publish();
        };
        asio::co_spawn(m_executor, later(m_executor, m_timeout + late_effect_delay, server, effect),
                       asio::detached);
        co_await wait_for(m_executor, m_timeout);
        co_return no_reply();
    }
    result<Answer> answer = effect(*server);
    server->publish();
    if (server->faults.lost_replies > 0) {
        --server->faults.lost_replies;
        co_await wait_for(m_executor, m_timeout);
        co_return no_reply();
    }
    co_return answer;
}

awaitable<result<kv_read>> memory_kv::get(std::string key)
{
    m_server->counts.add(kv_call::get);
    const result<void> applied = co_await apply_faults();
    if (!applied)
        co_return applied.error();
    kv_read read;
    read.revision = m_server->store.revision();
    if (const kv_entry* entry = m_server->store.find(key))
        read.entry = *entry;
    co_return read;
}

awaitable<result<kv_range>> memory_kv::get_prefix(std::string prefix)
{
    m_server->counts.add(kv_call::get_prefix);
    const result<void> applied = co_await apply_faults();
    if (!applied)
        co_return applied.error();
    co_return kv_range{m_server->store.revision(), m_server->store.with_prefix(prefix)};
}

awaitable<result<kv_outcome>> memory_kv::transact(kv_transaction transaction)
{
    m_server->counts.add(kv_call::transact);
    auto effect = [transaction = std::move(transaction)](memory_kv_server& server) {
        return server.store.transact(transaction);
    };
    co_return co_await write<kv_outcome>(std::move(effect));
}

awaitable<result<kv_lease>> memory_kv::grant(std::chrono::seconds ttl)
{
    m_server->counts.add(kv_call::grant);
    auto effect = [ttl](memory_kv_server& server) -> result<kv_lease> {
        return kv_lease{server.store.grant(ttl, runtime_clock::now()), ttl};
    };
    co_return co_await write<kv_lease>(std::move(effect));
}

awaitable<result<kv_lease>> memory_kv::keep_alive(lease_id lease)
{
    m_server->counts.add(kv_call::keep_alive);
    auto effect = [lease](memory_kv_server& server) -> result<kv_lease> {
        const auto ttl = server.store.keep_alive(lease, runtime_clock::now());
        if (!ttl)
            return error{error_kind::not_found, "the lease has lapsed", "grant a new lease"};
        return kv_lease{lease, std::chrono::duration_cast<std::chrono::seconds>(*ttl)};
    };
    co_return co_await write<kv_lease>(std::move(effect));
}

awaitable<result<void>> memory_kv::revoke(lease_id lease)
{
    m_server->counts.add(kv_call::revoke);
    auto effect = [lease](memory_kv_server& server) -> result<void> {
        if (!server.store.revoke(lease))
            return error{error_kind::not_found, "the lease has lapsed", ""};
        return success();
    };
    co_return co_await write<void>(std::move(effect));
}

awaitable<result<kv_watch>> memory_kv::watch(std::string prefix, std::int64_t from_revision)
{
    m_server->counts.add(kv_call::watch);
    const result<void> applied = co_await apply_faults();
    if (!applied)
        co_return applied.error();
    auto queue = std::make_shared<kv_watch_queue>(m_executor);
    if (m_server->faults.failed_watches > 0) {
        --m_server->faults.failed_watches;
        queue->close({error_kind::unavailable, "the watch's connection ended", "watch anew"});
        co_return kv_watch{queue, nullptr};
    }
    const std::int64_t from = from_revision > 0 ? from_revision : m_server->store.revision() + 1;
    m_server->m_watchers.push_back({std::move(prefix), from, queue});
    m_server->publish();
    co_return kv_watch{queue, nullptr};
}

} // namespace jaynotch
