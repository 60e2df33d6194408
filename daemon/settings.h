// Settings of a daemon, fixed while it runs (except for seed peers added by a reload).
//
//   daemon_settings chosen;
//   chosen.node = node_id{"entry-1"};
//   chosen.key_value = {"10.0.0.5:2379"};
//   result<void> fine = check(chosen);      // the error names the wrong setting and its remedy
//
// `jaynotchd` fills it from flags and environment variables (daemon/flags.cc).
#pragma once

#include "base/base.h"
#include "http/http_client.h"
#include "http/server_settings.h"
#include "outside/site.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace jaynotch {

/// Time limits of the daemon's waits.
struct daemon_timeouts {
    http_timeouts http;                              ///< for callers' connections
    std::chrono::milliseconds connect{1'000};        ///< opening a connection to a backend server
    std::chrono::milliseconds stream_stall{10'000};  ///< between two events of an engine's stream
    std::chrono::milliseconds upstream_idle{30'000}; ///< an unused pooled connection
    /// An order takes effect within this time after it was sent, or never.
    std::chrono::milliseconds order_horizon{8'000};
    /// On a stop: time between reporting not ready and accepting no more connections.
    std::chrono::milliseconds balancer_wait{2'000};
    std::chrono::milliseconds max_stop_time{660'000}; ///< upper limit of a graceful stop
};

/// Limits of the memory and connections that the daemon uses, whatever callers send.
struct daemon_limits {
    http_server_limits http; ///< of callers' connections; plain bodies are streamed, not buffered
    std::size_t model_body_bytes = 4 * 1024 * 1024; ///< of a buffered chat or completion body
    std::size_t answer_bytes = 8 * 1024 * 1024;     ///< of a buffered, non-streamed engine answer
    std::size_t keyed_body_bytes = 512 * 1024;      ///< of a keyed call and of its stored answer
    std::size_t requests = 4'096;                   ///< in flight and queued
    std::size_t idle_upstream = 64;                 ///< pooled connections to each target
    double link_bytes_s = 0.0;                      ///< that the VM's link carries; 0: not known
    std::size_t held_bytes = 0; ///< of heads, bodies and answers that are held; 0: unlimited
    std::size_t relay_connections = 2'000; ///< of other nodes that pass on requests
    std::size_t peer_connections = 2'048;  ///< accepted from other daemons
    std::size_t operator_connections = 64; ///< at the ready port, and at the admin port
    std::size_t memory_bytes = 0;          ///< that the process may use; 0: the machine's
    std::size_t descriptors = 0;           ///< that it may open; 0: the system's limit
};

/// Where the daemon's tables, backend servers and groups come from.
enum class source_kind {
    own,      ///< tables and records in a key-value service, a VM list, engines
    registry, ///< documents in the platform's store, runners that register themselves in it
};

/// All settings. Addresses are "IP:port"; port 0 selects a free port.
struct daemon_settings {
    node_id node;
    failure_domain_id failure_domain;
    std::string deployment;

    std::string listen = "127.0.0.1:8080";
    std::string peer_listen = "127.0.0.1:8081";
    std::string admin_listen = "127.0.0.1:8082";
    std::string ready_listen; ///< registry only: IP:port of the load balancer's readiness check
    /// registry only: IP:port for requests that other nodes pass on; empty: accepts none.
    std::string relay_listen;
    std::string peer_advertise; ///< address announced to peers; empty: peer_listen
    /// IP address of connections to backend servers at this end; empty: the system chooses it.
    std::string source_address;

    std::vector<std::string> key_value;  ///< addresses of the platform's key-value service
    std::string vm_list;                 ///< address of the platform's VM list
    std::string weight_store;            ///< address of the platform's weight store
    std::vector<std::string> seed_peers; ///< some daemons, to discover the others

    tls_files caller_tls;
    tls_files peer_tls;
    tls_files admin_tls;

    std::string trace_file;   ///< "-" for standard error, empty for none
    mechanism_set mechanisms; ///< mechanisms of the decision cores that are enabled
    bool admission = true;    ///< false only to measure the relay without admission limits
    std::uint64_t seed = 0;   ///< random seed of the decision cores; 0: a random one

    source_kind source = source_kind::own;
    bool first_start = false; ///< registry only: the whole system starts for the first time
    site_bounds site;         ///< registry only: limits set by the platform's operators

    daemon_timeouts timeouts;
    daemon_limits limits;
    /// Of connections to backend servers (http_limits::before_connect), for tests.
    std::function<boost::system::error_code(const std::string& address)> before_connect;
};

/// Limits of a client of backend servers: how it connects; the others have their defaults.
http_limits connection_limits(const daemon_settings& settings);

/// Returns an error for invalid settings; it names the flag and how to correct it.
result<void> check(const daemon_settings& settings);

} // namespace jaynotch
