// Drives the request core: hands it events one at a time, carries its commands out or passes them
// to the request that they concern, and gives it time.
//
//   request_driver driver{io, std::move(core), kv, hooks};
//   driver.start();
//   auto inbox = driver.open();
//   driver.handle(request_arrived{...});              // with inbox->id()
//   command first = co_await inbox->next();
//   driver.close(inbox->id());
#pragma once

#include "base/base.h"
#include "routing/routing.h"
#include "services/services.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace jaynotch {

namespace net = boost::asio;

/// The commands that concern one request, in their order.
class command_inbox {
public:
    command_inbox(const net::any_io_executor& executor, request_id id);

    [[nodiscard]] request_id id() const { return m_id; }
    void push(const command& cmd);
    net::awaitable<command> next();
    /// Sees each command the moment it is given, before the core's next event.
    std::function<void(const command&)> on_push;

private:
    request_id m_id;
    timer m_wake;
    std::deque<command> m_queue;
};

/// Commands that concern no single request.
struct driver_hooks {
    std::function<void(const released&)> on_released;
    std::function<void(const share_demand&)> on_share_demand;
    std::function<void(const target_silent&)> on_silent;
    std::function<void(const share_limit&)> on_share_limit;
};

class request_driver {
public:
    request_driver(net::io_context& io, request_core core, kv_service& kv, driver_hooks hooks);
    ~request_driver();
    request_driver(const request_driver&) = delete;
    request_driver& operator=(const request_driver&) = delete;

    void start();
    /// Ends the loops; calls under way end by themselves.
    void stop();
    std::shared_ptr<command_inbox> open();
    void close(request_id id);
    /// Events that arise while commands are carried out wait their turn.
    void handle(event new_event);

    [[nodiscard]] const request_core& core() const;
    [[nodiscard]] std::size_t open_inboxes() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch
