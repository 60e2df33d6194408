// Who of the registry may be sent requests, as targets of the request core.
//
//   const target_lists now = targets_of(registry, tables);
#pragma once

#include "base/base.h"
#include "groups/groups.h"
#include "routing/routing.h"
#include "tables/tables.h"

#include <vector>

namespace jaynotch {

struct target_lists {
    std::vector<target> groups;
    std::vector<target> servers;

    [[nodiscard]] bool same(const target_lists& other) const;
};

/// Heads of serving groups, and plain servers. A group that lacks a member by the registry's word
/// stands still or soon will: it finishes what it has and gets nothing new.
target_lists targets_of(const groups::runner_registry& registry, const configuration& tables);

} // namespace jaynotch
