// Computes how many groups of each model every fabric domain gets before the first request.
//
//   const group_allocation best =
//       allocate_groups(pools, {{domain, {.failure_domain = f, .runners = 9}}});
//   best.at(domain)[0]      // groups of pools[0]
//
// A pure function of the registry, which all managers see, so they need not coordinate.
#pragma once

#include "base/base.h"
#include "tables/tables.h"

#include <cstdint>
#include <map>
#include <vector>

namespace jaynotch::groups {

/// A fabric domain in which groups can be formed.
struct domain_capacity {
    failure_domain_id failure_domain;
    std::uint32_t runners = 0;
};

/// Number of members that a fabric domain should be able to lose, without losing a group, until a
/// new runner has loaded the weights.
constexpr std::uint32_t tolerated_losses = 2;

/// Number of groups by index of their pool.
using group_counts = std::vector<std::uint32_t>;
using group_allocation = std::map<fabric_domain_id, group_counts>;

group_allocation allocate_groups(const std::vector<pool>& pools,
                                 const std::map<fabric_domain_id, domain_capacity>& capacities);

/// Utility of an allocation; exposed for tests, which compare it with other allocations.
double utility_of(const group_allocation& given, const std::vector<pool>& pools,
                  const std::map<fabric_domain_id, domain_capacity>& capacities);

} // namespace jaynotch::groups
