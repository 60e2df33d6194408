// What rides on the frames between daemons besides membership, in the core's own terms.
//
// Names go as 32-bit hashes where the reader knows them (wire_key). Ages count from the moment the
// observer saw the thing and grow on each hop, so that no two clocks need to agree; the newest
// observation of a thing wins.
#pragma once

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jaynotch {

/// The 32-bit hash that stands for a name on the wire.
std::uint32_t wire_key(std::string_view name) noexcept;

/// A group's completeness ticket.
struct ticket_digest {
    std::uint32_t group = 0; ///< wire_key of the group's id
    fencing_number fencing;
    std::uint16_t load = 0; ///< per mille of the group's capacity, 1000 is full
    bool complete = false;
    duration age{0}; ///< since its watcher saw it

    friend bool operator==(const ticket_digest&, const ticket_digest&) = default;
};

/// What one node carries for a workspace of a pool.
struct demand {
    std::uint32_t node = 0;      ///< wire_key of the node; filled in when published
    std::uint32_t pool = 0;      ///< wire_key of the pool
    std::uint32_t workspace = 0; ///< wire_key of the workspace
    std::uint32_t in_flight = 0;
    double arrivals = 0.0; ///< requests a second, in steps of a tenth
    duration age{0};

    friend bool operator==(const demand&, const demand&) = default;
};

/// A backend server ("address:port") or VM that is to get no new work. Told to every node at once.
struct leaving {
    std::string server;
    duration age{0};

    friend bool operator==(const leaving&, const leaving&) = default;
};

/// Which revision a node has installed.
struct confirmation {
    std::uint32_t node = 0; ///< wire_key of the node
    config_revision revision;
    bool platform_lost = false; ///< the node can't reach the key-value service
    duration age{0};

    friend bool operator==(const confirmation&, const confirmation&) = default;
};

/// A key of the platform has a newer value; whoever lacks it asks a peer (key_relay.h).
struct key_notice {
    std::uint32_t key = 0; ///< wire_key of the key
    std::int64_t revision = 0;
    duration age{0};

    friend bool operator==(const key_notice&, const key_notice&) = default;
};

/// What a backend server said of the requests a second that it takes of all nodes together.
struct server_limit {
    std::string server;               ///< VM
    std::optional<double> per_second; ///< in steps of a thousandth; empty: it names none any more
    duration age{0};

    friend bool operator==(const server_limit&, const server_limit&) = default;
};

/// One thing that spreads from node to node.
using rumor = std::variant<ticket_digest, demand, leaving, confirmation, key_notice, server_limit>;

} // namespace jaynotch
