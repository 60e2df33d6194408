// One request on its way: carries out what the request core decides for it, from the caller's side
// to the backend servers' and back.
//
//   relay_request way{services, exchange, std::move(asked)};
//   co_await way.run();       // the exchange has been answered, refused or cut
#pragma once

#include "base/base.h"
#include "daemon/daemon.h"
#include "daemon/metrics.h"
#include "daemon/model_request.h"
#include "daemon/request_driver.h"
#include "daemon/settings.h"
#include "daemon/trace.h"
#include "daemon/upstreams.h"
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

/// What requests share.
struct relay_services {
    net::io_context& io;
    const daemon_settings& settings;
    request_driver& driver;
    upstreams& servers;
    tracer& spans;
    metrics& counted;
    daemon_counts& counts;
    /// A backend server said of itself that it is leaving.
    std::function<void(const target_id&)> on_leaving;
    /// Whether a group's completeness ticket holds at this moment.
    std::function<bool(const group_id&)> may_get;
    /// Called each second for every request; one whose caller takes no bytes says so to the core.
    std::unordered_map<const void*, std::function<void()>> slow;
};

/// What a caller asked for, read from its request.
struct asked_request {
    request_info info;                  ///< its id is filled in by the relay
    std::optional<model_request> model; ///< chat and completion
    /// Set if the request is passed on as it came, with what its headers say.
    std::optional<call_metadata> metadata;
    std::string body;         ///< as received; plain, if it was kept
    bool stream_body = false; ///< plain: the body is still to be read
    span caller;              ///< the caller's hop
    time_point arrived;
};

class relay_request {
public:
    relay_request(relay_services& services, http_exchange& exchange, asked_request asked);
    ~relay_request();
    relay_request(const relay_request&) = delete;
    relay_request& operator=(const relay_request&) = delete;

    net::awaitable<void> run();

    class way;

private:
    std::shared_ptr<way> m_way;
};

} // namespace jaynotch
