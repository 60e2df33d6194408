// What a VM is told about its place and its platform at its start, however it is written down.
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaynotch {

/// Bounds that the operators of a platform set.
struct site_bounds {
    std::chrono::milliseconds drain{2'000};        ///< a leaving server gets nothing new after it
    std::chrono::milliseconds stop{8'000};         ///< from the signal to stop until the kill
    std::chrono::milliseconds config_apply{2'000}; ///< an accepted change is in force within it
    std::chrono::milliseconds group_stall{5'000};  ///< a group without a member breaks after it
    double retry_share = 0.2; ///< further sendings of all nodes together, of a service's requests
    double retry_extra = 0.0; ///< and this many more in one window
    std::chrono::milliseconds retry_window{10'000};
    std::chrono::milliseconds heartbeat{1'200}; ///< between a runner's words in the registry
    double loads_excess = 1.0; ///< the weight store's rate may be passed by this factor
    std::chrono::milliseconds loads_window{5'000};
    bool fencing_checked = false; ///< runners refuse an order with an old fencing number
};

/// One VM's place.
struct site_settings {
    node_id node;
    failure_domain_id failure_domain;
    std::string bind_ip;      ///< address of this VM
    std::string listen;       ///< "IP:port" for callers
    std::string ready_listen; ///< "IP:port" where the balancer asks whether this node is ready
    std::string peer_listen;  ///< "IP:port" for other daemons
    std::string store;        ///< "IP:port" of the platform's key-value service
    std::vector<std::string> seed_peers;
    std::size_t memory_bytes = 0;
    bool first_start = false; ///< the whole system starts for the first time
    site_bounds bounds;
};

} // namespace jaynotch
