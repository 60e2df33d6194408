// Relays one request: executes the request core's commands for it, sends it to backend servers and
// passes the answer back to the caller.
//
//   relay_request relay{services, exchange, std::move(incoming)};
//   co_await relay.run();     // afterwards the exchange has been answered, refused, cut or aborted
#pragma once

#include "base/base.h"
#include "daemon/daemon.h"
#include "daemon/metrics.h"
#include "daemon/model_request.h"
#include "daemon/request_driver.h"
#include "daemon/settings.h"
#include "daemon/trace.h"
#include "daemon/upstreams.h"
#include "http/held_memory.h"
#include "http/http_exchange.h"
#include "outside/outside.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace jaynotch {

/// Objects shared by all requests of a daemon.
struct relay_services {
    net::io_context& io;
    const daemon_settings& settings;
    request_driver& driver;
    upstreams& servers;
    tracer& spans;
    metrics& exported_metrics;
    daemon_counts& counts;
    /// Called when the header of a backend server's answer announces that the server is leaving.
    /// The server is empty if it has no instance id.
    std::function<void(const target_id&, const vm_id& server)> on_leaving;
    /// Whether the group's completeness ticket is valid now.
    std::function<bool(const group_id&)> has_valid_ticket;
    /// Revision of the configuration that is installed on this node.
    std::function<config_revision()> revision;
    /// One function per running request, by the request's address; all are called every second.
    /// Each tells the core if the request is waiting for its caller to read.
    std::unordered_map<const void*, std::function<void()>> slow_caller_checks;
    /// What all requests hold for callers and servers that read slowly.
    std::shared_ptr<held_memory> memory = std::make_shared<held_memory>();
};

/// A caller's request as the front has read it.
struct incoming_request {
    request_info info;                  ///< the relay fills in the id
    std::optional<model_request> model; ///< set for chat and completion requests
    /// Set if the request is passed on unchanged: what its headers state.
    std::optional<call_metadata> metadata;
    std::string body;         ///< plain services: as received, if it was buffered
    bool stream_body = false; ///< plain services: the relay reads the body while sending
    span server_span;         ///< of this node serving the request
    time_point arrived;
};

/// Reads the body of a request as long as the memory for it is granted. `overloaded` if it isn't.
net::awaitable<result<std::string>> read_held_body(relay_services& services,
                                                   http_exchange& exchange, std::size_t limit);

class relay_request {
public:
    relay_request(relay_services& services, http_exchange& exchange, incoming_request incoming);
    ~relay_request();
    relay_request(const relay_request&) = delete;
    relay_request& operator=(const relay_request&) = delete;

    net::awaitable<void> run();

    class impl;

private:
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch
