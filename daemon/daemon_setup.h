// What every form of the daemon does alike: its parts' settings, the end of its callers, the gauges
// that don't depend on where tables and runners come from.
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

/// The setting, or drawn anew if it is 0.
std::uint64_t seed_or_random(const daemon_settings& settings);
peer_settings peer_settings_of(const daemon_settings& settings, std::uint64_t seed);
core_settings core_settings_of(const daemon_settings& settings, std::uint64_t incarnation);

net::awaitable<void> sleep_for(net::io_context& io, duration time);
/// Takes no new connections and waits until those that are open have ended, `until` at the latest.
net::awaitable<void> drain_callers(net::io_context& io, http_server& server,
                                   const daemon_counts& counts, time_point until);
/// Every request whose caller takes no bytes says so to the core; to be called each second.
void ask_slow_callers(const relay_services& services);
/// Calls under way use the parts until they end: keeps them for longer than any of them takes once
/// every connection is closed, or until the io_context goes.
void keep_alive_for_pending_calls(net::io_context& io, std::shared_ptr<const void> parts);

/// What a daemon of any form can tell; the rest of the fields is the caller's.
gauges common_gauges(const daemon_counts& counts, const http_server& callers,
                     const peer_service& peers, const kv_service& kv, const tracer& spans);

} // namespace jaynotch
