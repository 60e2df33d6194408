// Stand-in of the key-value service: etcd v3's JSON gateway over one kv_store.
//
//   auto kv = kv_standin::start(executor, {});
//   kv.value()->apply({.outage = true});
//
// GET /stats answers the calls so far by kind, with the watches that wait now.
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
    std::uint32_t reads_per_second = 0;  ///< 0 for no limit
    std::uint32_t writes_per_second = 0; ///< 0 for no limit
};

/// Counts calls of one second and refuses those beyond the limit.
class call_rate_limiter {
public:
    explicit call_rate_limiter(std::uint32_t per_second) : m_per_second{per_second} {}
    void set(std::uint32_t per_second) { m_per_second = per_second; }
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
    [[nodiscard]] std::size_t waiting_watches() const { return m_open_watches; }
    [[nodiscard]] kv_store& store() { return m_store; }
    /// Ends a lease now; called after any change from outside as well, to wake the watches.
    void expire_lease(lease_id lease);

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
    [[nodiscard]] std::string created_line() const;
    /// Empty if nothing under `prefix` changed.
    [[nodiscard]] std::string changes_line(const std::string& prefix,
                                           std::int64_t start_revision) const;
    [[nodiscard]] call_answer stats() const;
    [[nodiscard]] boost::json::object header() const;
    void wake_watches();

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<standin_server> m_server;
    kv_store m_store;
    fault_state m_faults;
    kv_call_counts m_counts;
    call_rate_limiter m_reads;
    call_rate_limiter m_writes;
    std::set<timer*> m_watch_timers; ///< cancelled on each change, which wakes the watches
    std::size_t m_open_watches = 0;
    std::uint64_t m_refused = 0;
};

} // namespace jaynotch
