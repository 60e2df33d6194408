// Outages of the store, and nodes that take their own failures for one.
#include "daemon/registry_fixture.h"
#include "peers/peers.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

constexpr std::size_t nodes = 4; ///< two follow the store, the others depend on them

/// Number of requests that reach a server while a node sends some.
std::size_t requests_at(registry_fixture& fleet, std::size_t server, std::size_t node)
{
    const std::size_t before = fleet.servers[server]->arrived.size();
    fleet.served(node, "/read/1", 12);
    return fleet.servers[server]->arrived.size() - before;
}

/// A node that depends on pushes of its neighbours: the last one in the order that all calculate.
std::size_t dependent_node()
{
    std::vector<std::string> names;
    for (std::size_t node = 0; node < nodes; ++node)
        names.push_back(registry_settings(node, {}).node.value());
    return rendezvous(store_followers_settings{}.name, names, nodes).back();
}

} // namespace

// Guards against keeping the entry of a server that left while a single node was cut off: its
// neighbours know that the store was there all the time.
Test(store_outage, a_node_that_was_cut_off_alone_does_not_use_a_server_that_left)
{
    registry_fixture fleet{{.nodes = nodes, .proxied = true}};
    const std::size_t cut = dependent_node();
    const std::size_t leaving = fleet.servers.size() - 1;
    cr_assert_gt(requests_at(fleet, leaving, cut), 0U);
    fleet.links[cut].store->set(link_fault::reset);
    fleet.links[cut].peers->set(link_fault::silence);
    fleet.run(1s);
    fleet.store().remove("servers/" + fleet.servers[leaving]->id());
    fleet.run(2s);
    fleet.links[cut].store->set(link_fault::none);
    fleet.run(1'200ms); // it reads the store by itself
    fleet.links[cut].peers->set(link_fault::none);
    fleet.run(800ms);
    cr_assert_eq(requests_at(fleet, leaving, cut), 0U);
}

// Guards against removing servers whose entries expired while nobody reached the store.
Test(store_outage, servers_whose_entries_return_are_used_all_the_time)
{
    for (const link_fault fault : {link_fault::silence, link_fault::reset}) {
        registry_fixture fleet{{.nodes = nodes, .proxied = true}};
        for (const node_links& one : fleet.links)
            one.store->set(fault);
        fleet.run(4s);
        for (const auto& each : fleet.servers)
            fleet.store().remove("servers/" + each->id());
        for (const node_links& one : fleet.links)
            one.store->set(link_fault::none);
        const auto assert_all_serve_for = [&](duration time) {
            const time_point until = runtime_clock::now() + time;
            for (; runtime_clock::now() < until; fleet.run(50ms)) {
                for (std::size_t node = 0; node < nodes; ++node)
                    cr_assert_eq(fleet.served(node, "/read/1", 1), 1U, "after an outage by %s",
                                 std::string{to_name(fault)}.c_str());
            }
        };
        assert_all_serve_for(1'500ms);
        for (const auto& each : fleet.servers)
            each->publish();
        assert_all_serve_for(1'500ms);
    }
}
