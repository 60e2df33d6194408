// The rumors that daemons spread besides membership, as typed values.
//
// Names are sent as 32-bit hashes (wire_key) where the receiver knows the names. `age` is the time
// since the observation. It increases on each hop, so clocks need not be synchronized; of two
// observations of the same subject the newer one replaces the older one.
#pragma once

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jaynotch {

/// The 32-bit hash that identifies a name in frames.
std::uint32_t wire_key(std::string_view name) noexcept;

/// The completeness ticket of a group, which says whether all its members are present.
struct ticket_digest {
    std::uint32_t group = 0; ///< wire_key of the group's id
    fencing_number fencing;
    std::uint16_t load = 0; ///< per mille of the group's capacity
    bool complete = false;
    duration age{0}; ///< since a watcher of the group observed it

    friend bool operator==(const ticket_digest&, const ticket_digest&) = default;
};

/// Demand of one workspace for one pool at a node: requests in flight or queued, and arrivals.
struct demand {
    std::uint32_t node = 0;      ///< wire_key of the node; set by membership_core::publish
    std::uint32_t pool = 0;      ///< wire_key of the pool
    std::uint32_t workspace = 0; ///< wire_key of the workspace
    std::uint32_t in_flight = 0;
    double arrivals = 0.0; ///< requests per second, with a resolution of 0.1
    duration age{0};

    friend bool operator==(const demand&, const demand&) = default;
};

/// A backend server ("address:port") or VM that must get no new requests. Published without delay.
struct leaving {
    std::string server;
    duration age{0};

    friend bool operator==(const leaving&, const leaving&) = default;
};

/// The configuration revision that a node has installed.
struct confirmation {
    std::uint32_t node = 0; ///< wire_key of the node
    config_revision revision;
    bool platform_lost = false; ///< the node can't reach the key-value service
    duration age{0};

    friend bool operator==(const confirmation&, const confirmation&) = default;
};

/// Announces a newer value of a key of the platform. Nodes without it request it from a peer
/// (key_relay.h).
struct key_notice {
    std::uint32_t key = 0; ///< wire_key of the key
    std::int64_t revision = 0;
    duration age{0};

    friend bool operator==(const key_notice&, const key_notice&) = default;
};

/// The rate limit that a backend server has reported for the requests of all nodes together.
struct server_limit {
    std::string server;               ///< VM
    std::optional<double> per_second; ///< resolution 0.001; empty: no limit any more
    duration age{0};

    friend bool operator==(const server_limit&, const server_limit&) = default;
};

/// What a node has learned about one content of requests, identified by a hash.
struct content_notice {
    enum class fact {
        server_ended, ///< as it began to answer a request with the content
        served,       ///< a server answered a request with the content and lived on
        blocked,      ///< requests with the content are refused
    };
    std::uint64_t content = 0;
    fact what = fact::server_ended;
    std::uint32_t server = 0; ///< server_ended: hash of the server's id
    duration since_end{0};    ///< blocked: time from the last end of a server to the notice
    duration age{0};

    friend bool operator==(const content_notice&, const content_notice&) = default;
};

/// An item that is forwarded from node to node.
using rumor = std::variant<ticket_digest, demand, leaving, confirmation, key_notice, server_limit,
                           content_notice>;

} // namespace jaynotch
