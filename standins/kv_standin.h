// Stand-in for the key-value service: the JSON gateway of etcd v3 on top of a kv_store.
//
//   auto kv = kv_standin::start(executor, {});
//   kv.value()->apply({.outage = true});
//
// GET /stats returns the number of calls by kind, of calls rejected by the rate limits and of open
// watches.
#pragma once

#include "services/services.h"
#include "standins/faults.h"
#include "standins/standin_server.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jaynotch {

struct kv_standin_settings {
    std::string listen = "127.0.0.1:0";
    std::uint32_t reads_per_second = 0;  ///< 0: no limit
    std::uint32_t writes_per_second = 0; ///< 0: no limit
};

/// Rate limit over fixed windows of one second.
class call_rate_limiter {
public:
    explicit call_rate_limiter(std::uint32_t per_second) : m_per_second{per_second} {}
    void set(std::uint32_t per_second) { m_per_second = per_second; }
    /// Counts a call; false if it exceeds the limit.
    bool admit(time_point now);

private:
    std::uint32_t m_per_second;
    std::uint32_t m_admitted = 0;
    time_point m_window_start;
};

class kv_standin : public std::enable_shared_from_this<kv_standin> {
public:
    static result<std::shared_ptr<kv_standin>> start(const boost::asio::any_io_executor& executor,
                                                     const kv_standin_settings& settings);

    [[nodiscard]] const std::string& address() const { return m_server->address(); }
    void apply(const fault_change& change);
    [[nodiscard]] const kv_call_counts& counts() const { return m_counts; }
    /// Number of open watches.
    [[nodiscard]] std::size_t waiting_watches() const { return m_open_watches; }
    /// Direct access to the data, without faults and rate limits.
    [[nodiscard]] kv_store& store() { return m_store; }
    /// Expires a lease now and wakes the watches. To be called after direct changes of store() as
    /// well, so that the watches report them at once.
    void expire_lease(lease_id lease);

    shared_link link; ///< all answers but those of watches share it

private:
    struct call_answer {
        boost::beast::http::status status = boost::beast::http::status::ok;
        std::string body;
    };

    kv_standin(const boost::asio::any_io_executor& executor, const kv_standin_settings& settings);
    awaitable<void> handle(standin_exchange& exchange);
    call_answer call(standin_exchange& exchange);
    call_answer range(const std::string& body);
    call_answer transact(const std::string& body);
    call_answer grant(const std::string& body);
    call_answer keep_alive(const std::string& body);
    call_answer revoke(const std::string& body);
    awaitable<void> watch(standin_exchange& exchange);
    /// First message of a watch.
    [[nodiscard]] std::string created_line() const;
    /// Watch message with the changes under `prefix` since `start_revision`; empty if there are
    /// none.
    [[nodiscard]] std::string changes_line(const std::string& prefix,
                                           std::int64_t start_revision) const;
    [[nodiscard]] call_answer stats() const;
    /// The `header` member of each response, with the current revision.
    [[nodiscard]] boost::json::object header() const;
    void wake_watches();

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<standin_server> m_server;
    kv_store m_store;
    fault_state m_faults;
    kv_call_counts m_counts;
    call_rate_limiter m_reads;
    call_rate_limiter m_writes;
    std::set<timer*> m_watch_timers; ///< one per open watch; cancelled on each change to wake it
    std::size_t m_open_watches = 0;
    std::uint64_t m_refused = 0; ///< calls rejected by the rate limits
};

} // namespace jaynotch
