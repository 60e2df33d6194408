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

awaitable<result<kv_read>> kv_service::get(std::string key)
{
    m_counts.add(kv_call::get);
    return std::visit([&](auto& via) { return via.get(std::move(key)); }, m_adapter);
}

awaitable<result<kv_range>> kv_service::get_prefix(std::string prefix)
{
    m_counts.add(kv_call::get_prefix);
    return std::visit([&](auto& via) { return via.get_prefix(std::move(prefix)); }, m_adapter);
}

awaitable<result<kv_outcome>> kv_service::transact(kv_transaction transaction)
{
    m_counts.add(kv_call::transact);
    return std::visit([&](auto& via) { return via.transact(std::move(transaction)); }, m_adapter);
}

awaitable<result<kv_lease>> kv_service::grant(std::chrono::seconds ttl)
{
    m_counts.add(kv_call::grant);
    return std::visit([&](auto& via) { return via.grant(ttl); }, m_adapter);
}

awaitable<result<kv_lease>> kv_service::keep_alive(lease_id lease)
{
    m_counts.add(kv_call::keep_alive);
    return std::visit([&](auto& via) { return via.keep_alive(lease); }, m_adapter);
}

awaitable<result<void>> kv_service::revoke(lease_id lease)
{
    m_counts.add(kv_call::revoke);
    return std::visit([&](auto& via) { return via.revoke(lease); }, m_adapter);
}

awaitable<result<kv_watch>> kv_service::watch(std::string prefix, std::int64_t from_revision)
{
    m_counts.add(kv_call::watch);
    return std::visit([&](auto& via) { return via.watch(std::move(prefix), from_revision); },
                      m_adapter);
}

} // namespace jaynotch
