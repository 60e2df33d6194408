// Servers that end as soon as they begin to answer certain requests.
#include "daemon/registry_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

constexpr std::size_t allowed_ends = 3; ///< of servers under one request

std::size_t ended_servers(const registry_fixture& fleet)
{
    return static_cast<std::size_t>(
        std::count_if(fleet.servers.begin(), fleet.servers.end(),
                      [](const auto& server) { return !server->alive(); }));
}

void crash_on(const registry_fixture& fleet, const std::string& text)
{
    for (const auto& server : fleet.servers)
        server->faults.crash_on = text;
}

} // namespace

// Guards against a request that ends one server after the other as its caller repeats it.
Test(crashing_requests, a_request_that_ends_servers_is_not_sent_on)
{
    registry_fixture fleet{{.nodes = 2, .model_servers = 16}};
    crash_on(fleet, "poison");
    fleet.body = "poison";
    for (std::size_t repeat = 0; repeat < 6; ++repeat) {
        (void)fleet.ask(repeat % 2, "/chat/1");
        fleet.run(300ms);
    }
    cr_assert_leq(ended_servers(fleet), allowed_ends, "%zu ended", ended_servers(fleet));
    fleet.body = "sound";
    cr_assert_eq(fleet.served(0, "/chat/1", 10), 10U);
    cr_assert_eq(fleet.served(1, "/chat/1", 10), 10U);
}
