// Consistency checks of the tables: references between rows, limits, and pools against the fleet.
#pragma once

#include "tables/parse.h"

#include <span>

namespace jaynotch {

/// Appends to `report.problems` all inconsistencies within rows and between rows.
void check_tables(table_report& report);

/// Number of VMs of a fabric domain.
struct fabric_domain_size {
    fabric_domain_id name;
    std::uint32_t vms = 0;
};

/// Problems of pools that this fleet can never serve: a replica is larger than each fabric domain
/// that the pool may use, or those domains do not exist. A fleet too small for all replicas is not
/// a problem, since VMs come and go. Line numbers refer to the tables of `report`.
std::vector<table_problem> check_fleet(const table_report& report,
                                       std::span<const fabric_domain_size> fleet);

} // namespace jaynotch
