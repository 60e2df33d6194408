// HTTP handler of callers' requests: the OpenAI API, the outcome of requests with an idempotency
// key, health and readiness, and the plain services on any other path that has a route.
//
//   front handler{services, state};
//   http_server::open(io, listen, settings, [&](http_exchange& e) { return handler.serve(e); });
#pragma once

#include "daemon/relay.h"

#include <functional>
#include <memory>

namespace jaynotch {

/// The daemon's state, queried for each request.
struct front_state {
    std::shared_ptr<const configuration> tables; ///< null until a configuration is in force
    bool stopping = false;
    bool warming_up = false; ///< just started, and no complete group is known yet
};

class front {
public:
    front(relay_services& services, std::function<front_state()> state);

    net::awaitable<void> serve(http_exchange& exchange);

private:
    /// Serves the paths that the daemon answers itself; false for any other path.
    net::awaitable<bool> serve_builtin(http_exchange& exchange);
    net::awaitable<void> serve_ready(http_exchange& exchange);
    net::awaitable<void> serve_models(http_exchange& exchange);
    net::awaitable<void> serve_outcome(http_exchange& exchange);
    net::awaitable<void> serve_request(http_exchange& exchange, request_kind kind);
    net::awaitable<result<void>> read_request(http_exchange& exchange, incoming_request& incoming);
    /// Refuses a request that the request core has not seen.
    net::awaitable<void>
    reject(http_exchange& exchange, const error& why,
           std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

    relay_services& m_services;
    std::function<front_state()> m_state;
};

} // namespace jaynotch
