// Functions that `daemon` and `registry_daemon` share: settings of their components, draining of
// callers on a stop, and the gauges that don't depend on where tables and runners come from.
#pragma once

#include "daemon/metrics.h"
#include "daemon/relay.h"
#include "daemon/settings.h"
#include "http/http_server.h"
#include "peers/peers.h"
#include "routing/routing.h"
#include "services/services.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>

namespace jaynotch {

/// The seed in the settings, or a random one if that is 0.
std::uint64_t seed_or_random(const daemon_settings& settings);
peer_settings peer_settings_of(const daemon_settings& settings, std::uint64_t seed);
/// Of the ready port and of the admin port, each.
http_server_limits operator_limits_of(const daemon_limits& limits);
core_settings core_settings_of(const daemon_settings& settings, std::uint64_t incarnation);

/// Logs that this node limits its open requests, or does so no more.
void log_overload(const overload_changed& seen);

/// When all requests must have their final answer, so that a stop which ends at `until` cuts none.
[[nodiscard]] time_point last_answers_at(time_point until);

net::awaitable<void> sleep_for(net::io_context& io, duration time);
/// Accepts no new connections and waits until the open ones have closed and no request is in
/// flight, `until` at the latest.
net::awaitable<void> drain_callers(net::io_context& io, http_server& server,
                                   const daemon_counts& counts, time_point until);
/// Lets each request whose caller does not read its answer report this to the request core; call it
/// every second.
void check_slow_callers(const relay_services& services);
/// Keeps the components of a destroyed daemon alive for its pending calls, which still use them:
/// for longer than any call takes once all connections are closed, or until the io_context is
/// destroyed.
void keep_alive_for_pending_calls(net::io_context& io, std::shared_ptr<const void> parts);

/// Sets the gauges that both kinds of daemon have; the caller sets the other fields.
gauges common_gauges(const daemon_counts& counts, const http_server& callers,
                     const peer_service& peers, const kv_service& kv, const tracer& spans);

} // namespace jaynotch
