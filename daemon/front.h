// What callers may ask: the OpenAI API, the outcome of a keyed call, health, and any other path by
// the routes to plain services.
//
//   front calls{services, state};
//   http_server::open(io, listen, settings, [&](http_exchange& e) { return calls.serve(e); });
#pragma once

#include "daemon/relay.h"

#include <functional>
#include <memory>

namespace jaynotch {

/// How the daemon stands, asked for at each request.
struct front_state {
    std::shared_ptr<const configuration> tables; ///< null until one is in force
    bool stopping = false;
    bool warming_up = false; ///< just started, no complete group heard of yet
};

class front {
public:
    front(relay_services& services, std::function<front_state()> state);

    net::awaitable<void> serve(http_exchange& exchange);

private:
    net::awaitable<bool> serve_builtin(http_exchange& exchange);
    net::awaitable<void> serve_ready(http_exchange& exchange);
    net::awaitable<void> serve_models(http_exchange& exchange);
    net::awaitable<void> serve_outcome(http_exchange& exchange);
    net::awaitable<void> serve_request(http_exchange& exchange, request_kind kind);
    net::awaitable<result<void>> read_request(http_exchange& exchange, incoming_request& incoming);
    net::awaitable<void>
    reject(http_exchange& exchange, const error& why,
           std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

    relay_services& m_services;
    std::function<front_state()> m_state;
};

} // namespace jaynotch
