// What a daemon is told at its start; it never changes while the daemon runs.
//
//   daemon_settings chosen;
//   chosen.node = node_id{"entry-1"};
//   chosen.key_value = {"10.0.0.5:2379"};
//   result<void> fine = check(chosen);      // says which setting is wrong and what to write
//
// `jaynotchd` fills it from flags and environment variables (daemon/flags.cc).
#pragma once

#include "base/base.h"
#include "http/server_settings.h"
#include "outside/site.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace jaynotch {

/// How long the daemon waits for others.
struct daemon_timeouts {
    http_timeouts http;                              ///< of callers' connections
    std::chrono::milliseconds connect{1'000};        ///< a connection to a backend server
    std::chrono::milliseconds stream_stall{10'000};  ///< between two events of an engine's stream
    std::chrono::milliseconds upstream_idle{30'000}; ///< a pooled connection nobody uses
    /// No engine takes an order later than this after its sending.
    std::chrono::milliseconds order_horizon{8'000};
    std::chrono::milliseconds balancer_wait{2'000};   ///< not ready, still listening, when stopping
    std::chrono::milliseconds max_stop_time{660'000}; ///< bounds a graceful stop
};

/// What the daemon spends at most, whatever callers send.
struct daemon_limits {
    http_server_limits http; ///< of callers' connections; plain bodies are streamed, never held
    std::size_t model_body_bytes = 4 * 1024 * 1024; ///< chat and completion bodies are held whole
    std::size_t answer_bytes = 8 * 1024 * 1024;     ///< a non-streamed engine answer is held whole
    std::size_t keyed_body_bytes = 512 * 1024;      ///< of a keyed call and of its stored answer
    std::size_t requests = 4'096;                   ///< in flight and queued
    std::size_t idle_upstream = 64;                 ///< pooled connections for each target
};

/// Where the daemon's tables, backend servers and groups come from.
enum class source_kind {
    own,      ///< our own tables and records in a key-value service, a VM list, engines
    registry, ///< the users' platform: documents in its store, runners that register themselves
};

/// Every setting. Addresses are "IP:port"; port 0 takes a free one.
struct daemon_settings {
    node_id node;
    failure_domain_id failure_domain;
    std::string deployment;

    std::string listen = "127.0.0.1:8080";
    std::string peer_listen = "127.0.0.1:8081";
    std::string admin_listen = "127.0.0.1:8082";
    std::string ready_listen;   ///< registry form: where the balancer asks
    std::string peer_advertise; ///< what peers are told; empty: peer_listen

    std::vector<std::string> key_value;  ///< of the platform's key-value service
    std::string vm_list;                 ///< of the platform's VM list
    std::string weight_store;            ///< of the platform's weight store
    std::vector<std::string> seed_peers; ///< some daemons, to find the others by

    tls_files caller_tls;
    tls_files peer_tls;
    tls_files admin_tls;

    std::string trace_file;   ///< "-" for standard error, empty for none
    mechanism_set mechanisms; ///< of the decisions, that are switched on
    bool admission = true;    ///< false only to measure the relay without the core's limits
    std::uint64_t seed = 0;   ///< of the decision cores' random numbers; 0 draws one

    source_kind source = source_kind::own;
    bool first_start = false; ///< registry form: the whole system starts for the first time
    site_bounds site;         ///< registry form: what the platform's operators bound

    daemon_timeouts timeouts;
    daemon_limits limits;
};

/// Refuses settings that can't work; the error names the flag and what to write.
result<void> check(const daemon_settings& settings);

} // namespace jaynotch
