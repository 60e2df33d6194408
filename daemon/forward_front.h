// HTTP handler of callers' requests for daemons that pass requests on unchanged. It serves any path
// for which there is a route.
//
//   forward_front handler{services, state};
//   http_server::open(io, listen, settings, [&](http_exchange& e) { return handler.serve(e); });
#pragma once

#include "daemon/front.h"
#include "daemon/refusal_log.h"
#include "daemon/relay.h"
#include "daemon/relay_headers.h"

#include <functional>
#include <optional>

namespace jaynotch {

class forward_front {
public:
    forward_front(relay_services& services, std::function<front_state()> state);

    net::awaitable<void> serve(http_exchange& exchange);
    /// Serves a request that another node passes on (daemon/relay_headers.h).
    net::awaitable<void> serve_relayed(http_exchange& exchange);

private:
    net::awaitable<void> serve(http_exchange& exchange, std::optional<relayed_marker> marker);
    /// Fills `incoming` from the exchange. `tables`: null until a configuration is in force.
    net::awaitable<result<void>> read_request(http_exchange& exchange, incoming_request& incoming,
                                              const configuration* tables);
    /// Refuses a request that the request core has not seen.
    net::awaitable<void> reject(http_exchange& exchange, const error& why, bool relayed);

    /// Refuses a request of which only the head has been read.
    net::awaitable<void> refuse_unread(http_exchange& exchange, const refuse& cmd,
                                       time_point arrived);

    relay_services& m_services;
    std::function<front_state()> m_state;
    refusal_log m_refusals;
};

} // namespace jaynotch
