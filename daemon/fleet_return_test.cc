// The return of all entry VMs at once, before a store whose answers share one link.
#include "daemon/registry_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

constexpr std::size_t nodes = 6;
constexpr std::size_t many_routes = 1'900;

/// Bytes that the store sends to a node that reads everything.
std::size_t bytes_of_everything(registry_fixture& fleet)
{
    std::size_t bytes = 0;
    for (const kv_entry& entry : fleet.store().store.with_prefix(""))
        bytes += base64_encode(entry.value).size();
    return bytes;
}

} // namespace

// Guards against nodes that read everything at once, give up together and begin again, for ever.
Test(fleet_return, nodes_that_start_at_once_share_the_link_of_the_store)
{
    registry_fixture fleet{{.nodes = nodes, .other_routes = many_routes}};
    constexpr double seconds_for_all = 3.0;
    fleet.store().link.set_rate(static_cast<double>(nodes * bytes_of_everything(fleet)) /
                                seconds_for_all);
    fleet.restart_all();
    for (std::size_t node = 0; node < nodes; ++node)
        cr_assert_eq(fleet.served(node, "/read/1", 3), 3U);
}

// Guards against a reading that is given up although its answer keeps arriving.
Test(fleet_return, a_node_reads_everything_through_a_slow_link)
{
    registry_fixture fleet{{.nodes = 1, .other_routes = many_routes}};
    constexpr double seconds_for_one = 2.5;
    fleet.store().link.set_rate(static_cast<double>(bytes_of_everything(fleet)) / seconds_for_one);
    fleet.restart_all();
    cr_assert_eq(fleet.served(0, "/read/1", 3), 3U);
}

// Guards against a store that begins each answer late and is never waited for long enough.
Test(fleet_return, a_node_without_any_tables_waits_longer_each_time_for_the_store)
{
    registry_fixture fleet{{.nodes = 1, .other_routes = many_routes}};
    constexpr double seconds_for_one = 1.5;
    fleet.store().link.set_rate(static_cast<double>(bytes_of_everything(fleet)) / seconds_for_one,
                                link_sharing::turns);
    fleet.restart_all();
    cr_assert_eq(fleet.served(0, "/read/1", 3), 3U);
}

// Guards against nodes that all read a store which answers one call after the other: each gives up
// before its turn comes, asks again, and waits behind the calls that were given up.
Test(fleet_return, a_store_that_answers_in_turns_is_read_by_few_for_all)
{
    registry_fixture fleet{{.nodes = nodes, .failure_domains = 2, .other_routes = many_routes}};
    constexpr double seconds_for_one = 2.0;
    constexpr duration seconds_for_two = 4s;
    constexpr duration spreading = 2s;
    fleet.store().link.set_rate(static_cast<double>(bytes_of_everything(fleet)) / seconds_for_one,
                                link_sharing::turns);
    fleet.restart_all(seconds_for_two + spreading);
    for (std::size_t node = 0; node < nodes; ++node)
        cr_assert_eq(fleet.served(node, "/read/1", 3), 3U);
}
