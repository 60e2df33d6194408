#include "services/kv.h"

namespace jaynotch {

std::uint64_t kv_call_counts::total() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : by_kind)
        sum += count;
    return sum;
}

kv_service kv_service::over_etcd(const boost::asio::any_io_executor& executor,
                                 etcd_settings settings)
{
    return kv_service{etcd_gateway_kv{executor, std::move(settings)}};
}

kv_service kv_service::over_store(const boost::asio::any_io_executor& executor,
                                  platform::store_settings settings)
{
    return kv_service{platform::store_kv{executor, std::move(settings)}};
}

kv_service kv_service::in_memory(const boost::asio::any_io_executor& executor,
                                 std::shared_ptr<memory_kv_server> server, duration timeout)
{
    return kv_service{memory_kv{executor, std::move(server), timeout}};
}

template <class Answer>
awaitable<result<Answer>> kv_service::count_call(kv_call kind, awaitable<result<Answer>> call)
{
    m_counts.add(kind);
    result<Answer> answer = co_await std::move(call);
    if (!answer)
        m_counts.add_failure(kind);
    co_return answer;
}

awaitable<result<kv_read>> kv_service::get(std::string key)
{
    return count_call(kv_call::get,
                      std::visit([&](auto& kv) { return kv.get(std::move(key)); }, m_adapter));
}

awaitable<result<kv_range>> kv_service::get_prefix(std::string prefix,
                                                   std::shared_ptr<kv_read_progress> progress)
{
    if (auto* store = std::get_if<platform::store_kv>(&m_adapter))
        return count_call(kv_call::get_prefix,
                          store->get_prefix(std::move(prefix), std::move(progress)));
    return count_call(
        kv_call::get_prefix,
        std::visit([&](auto& kv) { return kv.get_prefix(std::move(prefix)); }, m_adapter));
}

awaitable<result<kv_outcome>> kv_service::transact(kv_transaction transaction)
{
    return count_call(
        kv_call::transact,
        std::visit([&](auto& kv) { return kv.transact(std::move(transaction)); }, m_adapter));
}

awaitable<result<kv_lease>> kv_service::grant(std::chrono::seconds ttl)
{
    return count_call(kv_call::grant,
                      std::visit([&](auto& kv) { return kv.grant(ttl); }, m_adapter));
}

awaitable<result<kv_lease>> kv_service::keep_alive(lease_id lease)
{
    return count_call(kv_call::keep_alive,
                      std::visit([&](auto& kv) { return kv.keep_alive(lease); }, m_adapter));
}

awaitable<result<void>> kv_service::revoke(lease_id lease)
{
    return count_call(kv_call::revoke,
                      std::visit([&](auto& kv) { return kv.revoke(lease); }, m_adapter));
}

void kv_service::set_watch_pace(const watch_pace& pace)
{
    if (auto* store = std::get_if<platform::store_kv>(&m_adapter))
        store->set_watch_pace(pace);
}

std::optional<std::int64_t> kv_service::era() const
{
    const auto* store = std::get_if<platform::store_kv>(&m_adapter);
    return store == nullptr ? std::nullopt : store->era();
}

kv_call_counts kv_service::counts() const
{
    kv_call_counts counts = m_counts;
    if (const auto* store = std::get_if<platform::store_kv>(&m_adapter)) {
        counts.set(kv_call::watch, store->wire_calls().watches);
        counts.set(kv_call::get_prefix, store->wire_calls().pages);
    }
    return counts;
}

awaitable<result<kv_watch>> kv_service::watch(std::string prefix, std::int64_t from_revision)
{
    return count_call(
        kv_call::watch,
        std::visit([&](auto& kv) { return kv.watch(std::move(prefix), from_revision); },
                   m_adapter));
}

} // namespace jaynotch
