// The list of fields of each row type. Reading and writing TOML, JSON pages and field-wise diffs
// are visitors over it, so a new field is added in one place only.
//
//   visit_fields(row, [](std::string_view name, auto& value) { ... });
//
// Internal to the tables library.
#pragma once

#include "tables/tables.h"

#include <concepts>
#include <string_view>
#include <type_traits>

namespace jaynotch {

template <class Row, class Wanted>
concept row_of = std::same_as<std::remove_const_t<Row>, Wanted>;

template <row_of<share> Row, class Visitor>
void visit_fields(Row& row, Visitor&& visit)
{
    visit("workspace", row.workspace);
    visit("weight", row.weight);
    visit("max_in_flight", row.max_in_flight);
}

template <row_of<route> Row, class Visitor>
void visit_fields(Row& row, Visitor&& visit)
{
    visit("name", row.name);
    visit("kind", row.kind);
    visit("model", row.model);
    visit("workspaces", row.workspaces);
    visit("methods", row.methods);
    visit("path_prefix", row.path_prefix);
    visit("pool", row.pool);
    visit("adapter", row.adapter);
    visit("priority", row.priority);
    visit("repeat", row.repeat);
    visit("timeout_ms", row.timeout);
    visit("longest_stream_ms", row.longest_stream);
    visit("retries", row.retries);
    visit("key_keeping_s", row.key_keeping);
}

template <row_of<pool> Row, class Visitor>
void visit_fields(Row& row, Visitor&& visit)
{
    visit("name", row.name);
    visit("kind", row.kind);
    visit("model", row.model);
    visit("version", row.version);
    visit("adapters", row.adapters);
    visit("replica_vms", row.replica_vms);
    visit("replicas", row.replicas);
    visit("standbys", row.standbys);
    visit("fabric_domains", row.fabric_domains);
    visit("rank", row.rank);
    visit("weight_down", row.weight_down);
    visit("weight_idle", row.weight_idle);
    visit("engine_checks_fencing", row.engine_checks_fencing);
    visit("max_in_flight_per_replica", row.max_in_flight_per_replica);
    visit("servers", row.servers);
    visit("max_in_flight_per_server", row.max_in_flight_per_server);
    visit("shares", row.shares);
}

} // namespace jaynotch
