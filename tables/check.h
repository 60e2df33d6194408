// Checks of the tables as a whole: names that join, limits that agree, pools that fit the fleet.
#pragma once

#include "tables/parse.h"

#include <span>

namespace jaynotch {

/// Adds to `report.problems` whatever of the rows does not agree with itself or with other rows.
void check_tables(table_report& report);

/// How many VMs a fabric domain has.
struct fabric_domain_size {
    fabric_domain_id name;
    std::uint32_t vms = 0;
};

/// Problems of pools that can never be met by this fleet: replicas larger than each fabric domain
/// they may live in, or domains that do not exist. A smaller fleet than wanted is no problem: VMs
/// come and go. Line numbers are those of `report`.
std::vector<table_problem> check_fleet(const table_report& report,
                                       std::span<const fabric_domain_size> fleet);

} // namespace jaynotch
