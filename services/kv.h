// Client of the key-value service: compare-and-swap transactions, leases and watches.
//
//   kv_service kv = kv_service::over_etcd(executor, {.address = "10.0.0.9:2379"});
//   result<kv_read> head = co_await kv.get("/jaynotch/prod/config/head");
//   kv_transaction swap{.compares = {{head_key, head.value().mod_revision()}},
//                       .then = {kv_put{head_key, next}}};
//   result<kv_outcome> outcome = co_await kv.transact(std::move(swap));
//   if (!outcome && outcome.error().kind == error_kind::unknown_outcome) ...   // read back
//
// A write that failed with unknown_outcome may have taken effect or may still do so after the
// failure was reported. Only a transaction that compares a revision, or a key that no other client
// writes, can determine or fix the outcome.
//
// Tests use kv_service::in_memory, which can inject faults (kv_faults).
#pragma once

#include "base/base.h"
#include "http/http_client.h"
#include "outside/kv_store.h"
#include "outside/kv_types.h"
#include "outside/kv_watch.h"
#include "platform/platform.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

/// Kinds of calls; the service counts and limits each kind.
enum class kv_call { get, get_prefix, transact, grant, keep_alive, revoke, watch };

template <>
struct enum_names<kv_call> {
    static constexpr std::array entries{
        named{kv_call::get, "get"},
        named{kv_call::get_prefix, "get_prefix"},
        named{kv_call::transact, "transact"},
        named{kv_call::grant, "grant"},
        named{kv_call::keep_alive, "keep_alive"},
        named{kv_call::revoke, "revoke"},
        named{kv_call::watch, "watch"},
    };
};

/// Calls by kind, including failed ones.
struct kv_call_counts {
    std::array<std::uint64_t, enum_names<kv_call>::entries.size()> by_kind{};
    std::array<std::uint64_t, enum_names<kv_call>::entries.size()> failed{}; ///< part of by_kind

    [[nodiscard]] std::uint64_t of(kv_call kind) const { return by_kind.at(index(kind)); }
    void add(kv_call kind) { ++by_kind.at(index(kind)); }
    void set(kv_call kind, std::uint64_t calls) { by_kind.at(index(kind)) = calls; }
    void add_failure(kv_call kind) { ++failed.at(index(kind)); }
    [[nodiscard]] std::uint64_t total() const;
    static std::size_t index(kv_call kind) { return static_cast<std::size_t>(kind); }
};

struct etcd_settings {
    std::string address;                        ///< "IP:port" of the JSON gateway
    duration timeout = std::chrono::seconds{2}; ///< until an answer begins, and without a byte
    duration answer_timeout = std::chrono::seconds{15}; ///< for a whole answer
    std::size_t answer_bytes = 16 * 1024 * 1024;        ///< maximum size of a response
};

/// Adapter for the JSON gateway of etcd v3.
class etcd_gateway_kv {
public:
    etcd_gateway_kv(const boost::asio::any_io_executor& executor, etcd_settings settings);

    awaitable<result<kv_read>> get(std::string key);
    awaitable<result<kv_range>> get_prefix(std::string prefix);
    awaitable<result<kv_outcome>> transact(kv_transaction transaction);
    awaitable<result<kv_lease>> grant(std::chrono::seconds ttl);
    awaitable<result<kv_lease>> keep_alive(lease_id lease);
    awaitable<result<void>> revoke(lease_id lease);
    awaitable<result<kv_watch>> watch(std::string prefix, std::int64_t from_revision);

private:
    awaitable<result<std::string>> post(std::string target, std::string body, bool repeatable);

    boost::asio::any_io_executor m_executor;
    etcd_settings m_settings;
    std::unique_ptr<http_client> m_client; ///< keeps its address while calls are in progress
};

/// Faults injected by an in-memory service; may be changed at any time.
struct kv_faults {
    bool outage = false;              ///< every call fails without effect
    bool unresponsive = false;        ///< calls time out without effect
    duration delay{0};                ///< before a call takes effect
    std::uint32_t lost_replies = 0;   ///< number of next writes that take effect but get no reply
    std::uint32_t late_effects = 0;   ///< number of next writes that take effect after timing out
    std::uint32_t failed_watches = 0; ///< number of next watches that end at once
};

/// An in-process key-value service that several memory_kv clients share.
class memory_kv_server : public std::enable_shared_from_this<memory_kv_server> {
public:
    static std::shared_ptr<memory_kv_server> make(const boost::asio::any_io_executor& executor);

    kv_faults faults;
    kv_store store;
    kv_call_counts counts;

    /// Ends a lease now, as if it had expired.
    void expire_lease(lease_id lease);
    /// Ends every watch with an error.
    void close_watches();
    /// Expires due leases, delivers new changes to the watches and schedules the next expiry.
    void publish();

private:
    friend class memory_kv;
    struct watcher {
        std::string prefix;
        std::int64_t next_revision = 0;
        std::weak_ptr<kv_watch_queue> queue;
    };
    explicit memory_kv_server(const boost::asio::any_io_executor& executor);

    boost::asio::any_io_executor m_executor;
    timer m_expiry;
    std::vector<watcher> m_watchers;
};

/// A client of a memory_kv_server. A test can partition it from the server, besides the server's
/// own faults.
class memory_kv {
public:
    memory_kv(const boost::asio::any_io_executor& executor,
              std::shared_ptr<memory_kv_server> server, duration timeout);

    awaitable<result<kv_read>> get(std::string key);
    awaitable<result<kv_range>> get_prefix(std::string prefix);
    awaitable<result<kv_outcome>> transact(kv_transaction transaction);
    awaitable<result<kv_lease>> grant(std::chrono::seconds ttl);
    awaitable<result<kv_lease>> keep_alive(lease_id lease);
    awaitable<result<void>> revoke(lease_id lease);
    awaitable<result<kv_watch>> watch(std::string prefix, std::int64_t from_revision);

    /// Separates only this client from the service, or reconnects it.
    void set_partitioned(bool partitioned) { *m_partitioned = partitioned; }

private:
    awaitable<result<void>> apply_faults();
    template <class Answer, class Effect>
    awaitable<result<Answer>> write(Effect effect);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<memory_kv_server> m_server;
    duration m_timeout;
    std::shared_ptr<bool> m_partitioned = std::make_shared<bool>(false);
};

/// The key-value service through one of its adapters. It must outlive its calls, but not its
/// watches.
class kv_service {
public:
    static kv_service over_etcd(const boost::asio::any_io_executor& executor,
                                etcd_settings settings);
    /// The store of the users' platform.
    static kv_service over_store(const boost::asio::any_io_executor& executor,
                                 platform::store_settings settings);
    static kv_service in_memory(const boost::asio::any_io_executor& executor,
                                std::shared_ptr<memory_kv_server> server,
                                duration timeout = std::chrono::seconds{2});

    awaitable<result<kv_read>> get(std::string key);
    /// All entries whose key starts with `prefix`, sorted by key. With `progress`, the platform's
    /// store is waited for as long as it needs; the caller watches whether an answer has begun.
    awaitable<result<kv_range>> get_prefix(std::string prefix,
                                           std::shared_ptr<kv_read_progress> progress = nullptr);
    awaitable<result<kv_outcome>> transact(kv_transaction transaction);
    awaitable<result<kv_lease>> grant(std::chrono::seconds ttl);
    /// Renews a lease; not_found if it has expired.
    awaitable<result<kv_lease>> keep_alive(lease_id lease);
    /// Ends a lease and deletes its keys.
    awaitable<result<void>> revoke(lease_id lease);
    /// Watches the keys that start with `prefix` for changes from revision `from_revision` on; 0
    /// starts with the next change.
    awaitable<result<kv_watch>> watch(std::string prefix, std::int64_t from_revision);
    /// Sets how often watches poll. Affects only the platform's store, whose watches are long
    /// polls; other adapters receive changes as they happen.
    void set_watch_pace(const watch_pace& pace);
    /// Rises each time that the platform's store comes back from a copy of itself, without what was
    /// written since the copy was made. nullopt if the service states no era.
    [[nodiscard]] std::optional<std::int64_t> era() const;

    /// Calls made through this object as the service counts them: one watch or one get_prefix may
    /// take several calls.
    [[nodiscard]] kv_call_counts counts() const;
    /// The in-memory adapter, for tests that partition one client; null for other adapters.
    memory_kv* memory() { return std::get_if<memory_kv>(&m_adapter); }

private:
    using adapter = std::variant<etcd_gateway_kv, memory_kv, platform::store_kv>;
    explicit kv_service(adapter chosen) : m_adapter{std::move(chosen)} {}

    template <class Answer>
    awaitable<result<Answer>> count_call(kv_call kind, awaitable<result<Answer>> call);

    adapter m_adapter;
    kv_call_counts m_counts;
};

} // namespace jaynotch
