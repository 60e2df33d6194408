// Divides a machine's memory and descriptors among what clients and other nodes can take of them.
//
//   const resource_plan plan = plan_resources({.memory_bytes = 160 << 20, .descriptors = 4'100});
//   apply(plan, settings.limits);
//
// The parts add up to less than the whole; what is left is for tables, the state of the fleet and
// the process itself. docs/SECURITY.md has the sums for the users' sites.
#pragma once

#include "daemon/settings.h"

#include <cstddef>

namespace jaynotch {

/// What the process may use.
struct machine_resources {
    std::size_t memory_bytes = 0; ///< 0: not known, so nothing is bounded by it
    std::size_t descriptors = 0;  ///< 0: no limit
};

struct resource_plan {
    std::size_t caller_connections = 0;
    std::size_t closing_connections = 0;  ///< of callers, refused or being closed
    std::size_t relay_connections = 0;    ///< of other nodes that pass on requests
    std::size_t peer_connections = 0;     ///< accepted from other nodes
    std::size_t operator_connections = 0; ///< at the ready port, and at the admin port
    std::size_t requests = 0;             ///< in flight and queued
    std::size_t held_bytes = 0;           ///< of heads, bodies and answers; 0: unlimited
    std::size_t socket_buffer_bytes = 0;  ///< of an accepted connection; 0: the system's
};

resource_plan plan_resources(const machine_resources& machine);

/// Lowers the limits to those of the plan.
void apply(const resource_plan& plan, daemon_limits& limits);

/// The memory and descriptors of this machine: the system's, or less if the settings say so. Raises
/// the process's limit of open descriptors as far as it is allowed to.
machine_resources resources_of(const daemon_settings& settings);

} // namespace jaynotch
