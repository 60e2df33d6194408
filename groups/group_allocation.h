// How many groups of each model every fabric domain should have at the start.
//
//   const allotment best = allot(pools, {{domain, {.failure_domain = f, .runners = 9}}});
//   best.at(domain)[0]      // groups of pools[0]
//
// A pure function of what every manager sees in the registry, so managers need not agree on it.
#pragma once

#include "base/base.h"
#include "tables/tables.h"

#include <cstdint>
#include <map>
#include <vector>

namespace jaynotch::groups {

/// A fabric domain that groups can be formed in.
struct domain_capacity {
    failure_domain_id failure_domain;
    std::uint32_t runners = 0;
};

/// Members that a fabric domain is to bear the loss of without losing a group for long, while a
/// newcomer loads the weights.
constexpr std::uint32_t tolerated_losses = 2;

/// Groups by the index of their pool.
using group_counts = std::vector<std::uint32_t>;
using group_allocation = std::map<fabric_domain_id, group_counts>;

group_allocation allocate_groups(const std::vector<pool>& pools,
                                 const std::map<fabric_domain_id, domain_capacity>& capacities);

/// What an allotment is worth; for tests, which compare it with all others.
double utility_of(const group_allocation& given, const std::vector<pool>& pools,
                  const std::map<fabric_domain_id, domain_capacity>& capacities);

} // namespace jaynotch::groups
