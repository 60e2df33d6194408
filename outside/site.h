// Settings of a VM's site and platform that it gets at its start, independent of their file format.
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaynotch {

/// Time limits and budgets set by the platform's operators.
struct site_bounds {
    std::chrono::milliseconds drain{2'000}; ///< until a leaving server gets no new requests
    std::chrono::milliseconds stop{8'000};  ///< from the stop signal until the process is killed
    std::chrono::milliseconds config_apply{2'000}; ///< until an accepted change is in force
    std::chrono::milliseconds group_stall{5'000};  ///< until a group with a missing member breaks
    double retry_share = 0.2; ///< retries of all nodes, as a fraction of a service's requests
    double retry_extra = 0.0; ///< additional retries per window
    /// Window over which retries are counted.
    std::chrono::milliseconds retry_window{10'000};
    /// Interval between a runner's updates of its registry entry.
    std::chrono::milliseconds heartbeat{1'200};
    double loads_excess = 1.0; ///< factor up to which the weight store's rate may be exceeded
    /// Window over which loads from the weight store are counted.
    std::chrono::milliseconds loads_window{5'000};
    /// From the request to evacuate a failure domain until its servers get no new requests.
    std::chrono::milliseconds evacuate{5'000};
    double cold_excess = 1.0; ///< factor up to which pool::cold_per_s may be exceeded in a second
    double cold_slack = 0.0;  ///< requests in a second that a cold server gets besides
    bool fencing_checked = false; ///< runners refuse orders with an old fencing number
};

/// Settings of one entry VM.
struct site_settings {
    node_id node;
    failure_domain_id failure_domain;
    std::string bind_ip;      ///< address of this VM
    std::string listen;       ///< "IP:port" for callers
    std::string ready_listen; ///< "IP:port" for the load balancer's readiness checks
    std::string peer_listen;  ///< "IP:port" for other daemons
    std::string relay_listen; ///< "IP:port" for requests that other daemons pass on; may be empty
    std::string store;        ///< "IP:port" of the platform's key-value service
    std::vector<std::string> seed_peers;
    std::size_t memory_bytes = 0;
    std::size_t descriptors = 0; ///< that the process may open; 0: not stated
    double link_bytes_s = 0.0;   ///< that the VM's link carries; 0: not stated
    bool first_start = false;    ///< the whole system is started for the first time
    site_bounds bounds;
};

} // namespace jaynotch
