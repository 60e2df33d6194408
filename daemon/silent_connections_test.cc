// Connections between nodes and to the store that were open fall silent: they stay open and pass
// nothing more, while new ones work.
#include "daemon/registry_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

constexpr duration stable_time = 3s; ///< after it, the time bounds hold again
constexpr duration apply_bound = 2s; ///< for a change of the configuration
constexpr duration drain_bound = 2s; ///< until a server that left gets no more requests
constexpr duration kept_for = 3s;    ///< age of the connections that fall silent
constexpr std::size_t nodes = 4;     ///< two follow the store, the others depend on them

std::shared_ptr<runner_standin> server(const registry_fixture& fleet, const std::string& id)
{
    const auto found = std::find_if(fleet.servers.begin(), fleet.servers.end(),
                                    [&](const auto& one) { return one->id() == id; });
    cr_assert(found != fleet.servers.end());
    return *found;
}

void run_until_time(registry_fixture& fleet, time_point until)
{
    fleet.run(until - runtime_clock::now());
}

/// Number of requests that reach a server while each node sends some.
std::size_t requests_at(registry_fixture& fleet, const std::string& id)
{
    const std::size_t before = server(fleet, id)->arrived.size();
    for (std::size_t node = 0; node < fleet.daemons.size(); ++node)
        fleet.served(node, "/read/1", 9);
    return server(fleet, id)->arrived.size() - before;
}

} // namespace

// Guards against a node that goes on to use a server that left, because it believes in connections
// that pass nothing, or takes its own failed calls for an outage of the store.
Test(silent_connections, a_server_that_left_without_a_word_gets_no_late_requests)
{
    registry_fixture fleet{{.nodes = nodes, .proxied = true}};
    fleet.run(kept_for);
    fleet.silence_open_connections();
    const time_point silent_at = runtime_clock::now();
    fleet.run(2'500ms);
    cr_assert_gt(requests_at(fleet, "a-0"), 0U);
    const time_point removed_at = runtime_clock::now();
    fleet.store().remove("servers/a-0");
    run_until_time(fleet, std::max(silent_at + stable_time, removed_at + drain_bound));
    cr_assert_eq(requests_at(fleet, "a-0"), 0U);
}

// Guards against a node that depends on pushes and keeps the old configuration, because it believes
// in connections that pass nothing.
Test(silent_connections, a_changed_configuration_is_in_force_in_time)
{
    registry_fixture fleet{{.nodes = nodes, .proxied = true}};
    fleet.run(kept_for);
    fleet.silence_open_connections();
    const time_point silent_at = runtime_clock::now();
    fleet.run(300ms);
    fleet.change_configuration();
    run_until_time(fleet, std::max(silent_at + stable_time, runtime_clock::now() + apply_bound));
    for (const auto& daemon : fleet.daemons)
        cr_assert(daemon->tables_revision() == config_revision{fleet.version()});
}
