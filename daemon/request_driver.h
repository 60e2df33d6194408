// Runs the request core: passes events to it one at a time, and a tick event regularly. Commands
// for a request go to that request's inbox; the others are executed here or passed to the hooks.
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
#include <optional>
#include <unordered_map>

namespace jaynotch {

namespace net = boost::asio;

/// Queue of the core's commands for one request, in order.
class command_inbox {
public:
    command_inbox(const net::any_io_executor& executor, request_id id);

    [[nodiscard]] request_id id() const { return m_id; }
    void push(const command& cmd);
    net::awaitable<command> next();
    /// Called with each command when the core issues it, before the core handles its next event.
    std::function<void(const command&)> on_push;

private:
    request_id m_id;
    timer m_wake;
    std::deque<command> m_queue;
};

/// Handlers of commands that don't belong to one request.
struct driver_hooks {
    std::function<void(const target_released&)> on_released;
    std::function<void(const share_demand&)> on_share_demand;
    std::function<void(const target_silent&)> on_silent;
    std::function<void(const share_limit&)> on_share_limit;
    std::function<void(const cold_servers_changed&)> on_cold_servers;
    std::function<void(const check_server_ended&)> on_check_server_ended;
    std::function<void(const share_evidence&)> on_share_evidence;
    std::function<void(const content_blocked&)> on_content_blocked;
    std::function<void(const probe_server&)> on_probe_server;
    std::function<void(const reach_changed&)> on_reach_changed;
    std::function<void(const group_reach_changed&)> on_group_reach_changed;
    std::function<void(const overload_changed&)> on_overload_changed;
};

class request_driver {
public:
    request_driver(net::io_context& io, request_core core, kv_service& kv, driver_hooks hooks);
    ~request_driver();
    request_driver(const request_driver&) = delete;
    request_driver& operator=(const request_driver&) = delete;

    void start();
    /// Stops the ticks; running calls to the key-value service end by themselves, without an event.
    void stop();
    /// Makes an inbox with a new request id.
    std::shared_ptr<command_inbox> open();
    void close(request_id id);
    /// Events that arise while commands are being executed are queued.
    void handle(event new_event);

    /// See request_core::take_resend().
    bool take_resend(request_id request, attempt_id attempt);
    /// See request_core::may_send().
    bool may_send(request_id request, attempt_id attempt);

    /// See request_core::refuse_early().
    std::optional<refuse> refuse_early();

    [[nodiscard]] const request_core& core() const;
    [[nodiscard]] std::size_t open_inboxes() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch
