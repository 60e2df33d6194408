// What callers may ask where requests are passed on as they come: any path that a route takes.
//
//   forward_front calls{services, state};
//   http_server::open(io, listen, settings, [&](http_exchange& e) { return calls.serve(e); });
#pragma once

#include "daemon/front.h"
#include "daemon/relay.h"

#include <functional>

namespace jaynotch {

class forward_front {
public:
    forward_front(relay_services& services, std::function<front_state()> state);

    net::awaitable<void> serve(http_exchange& exchange);

private:
    net::awaitable<result<void>> read_request(http_exchange& exchange, incoming_request& incoming,
                                              const configuration* tables);
    net::awaitable<void> reject(http_exchange& exchange, const error& why);

    relay_services& m_services;
    std::function<front_state()> m_state;
};

} // namespace jaynotch
