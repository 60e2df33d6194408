// Stand-in for a plain service, such as the subscriber app or the duct registry. It executes every
// request that arrives, without removing duplicates, records it and echoes its data.
//
//   auto orders = plain_standin::start(executor, {.name = "orders-1"});
//   orders.value()->executions();       // for the invariant checks
//
// The response is {"service","method","target","digest","key","sequence"}. `digest` is that of the
// request body, so the caller can check that the response belongs to its request; `sequence` is the
// number of requests executed so far. GET /executions lists them.
#pragma once

#include "services/services.h"
#include "standins/faults.h"
#include "standins/standin_server.h"

#include <memory>
#include <string>
#include <vector>

namespace jaynotch {

struct plain_standin_settings {
    std::string name = "plain";
    std::string listen = "127.0.0.1:0";
    duration work{0}; ///< time taken by each request
};

/// A request that a plain service executed.
struct plain_execution {
    std::string method;
    std::string target;
    std::string attempt;
    std::string key;       ///< idempotency key
    std::string digest;    ///< of the request body
    bool answered = false; ///< the response was sent completely
    time_point start_time;
};

class plain_standin : public std::enable_shared_from_this<plain_standin> {
public:
    static result<std::shared_ptr<plain_standin>>
    start(const boost::asio::any_io_executor& executor, const plain_standin_settings& settings);

    [[nodiscard]] const std::string& address() const { return m_server->address(); }
    [[nodiscard]] const std::string& name() const { return m_settings.name; }
    void apply(const fault_change& change);
    [[nodiscard]] const std::vector<plain_execution>& executions() const { return m_executions; }
    /// Number of requests in progress.
    [[nodiscard]] std::size_t running() const { return m_running; }

private:
    plain_standin(const boost::asio::any_io_executor& executor,
                  const plain_standin_settings& settings);
    awaitable<void> handle(standin_exchange& exchange);
    awaitable<void> run(standin_exchange& exchange);
    [[nodiscard]] std::string render_executions() const;

    boost::asio::any_io_executor m_executor;
    plain_standin_settings m_settings;
    std::shared_ptr<standin_server> m_server;
    fault_state m_faults;
    std::vector<plain_execution> m_executions;
    std::size_t m_running = 0;
};

} // namespace jaynotch
