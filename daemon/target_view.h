// The targets of the request core, as derived from the registry of backend servers.
//
//   const target_lists now = targets_of(registry, tables);
#pragma once

#include "base/base.h"
#include "groups/groups.h"
#include "routing/routing.h"
#include "tables/tables.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jaynotch {

/// Names one start of a server, since its id may be used again.
std::string start_name(const vm_id& server, std::int64_t born_ms);

struct target_lists {
    std::vector<target> groups;
    std::vector<target> servers;
    /// The lists change at this time even if the registry doesn't.
    time_point valid_until = time_point::max();

    [[nodiscard]] bool same(const target_lists& other) const;
};

/// The heads of open groups, and the plain servers. A group with fewer members in the registry than
/// its pool requires has stopped or soon will; it is marked as leaving, so it gets no new requests.
/// Members whose entries may still return count as present. Servers of an evacuated failure domain
/// are marked as leaving too. A group lies in one failure domain, that of its head.
target_lists targets_of(const groups::runner_registry& registry, const configuration& tables,
                        time_point now);

} // namespace jaynotch
