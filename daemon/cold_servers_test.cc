// Cold backend servers with whole daemons: their entries in the registry say so.
#include "daemon/registry_fixture.h"

using namespace jaynotch;

// Guards against heads that are overrun after their entries have said that they are cold, and
// against requests that fail once they are warm again.
Test(cold_servers_daemon, cold_heads_get_few_requests_until_they_are_warm)
{
    registry_fixture fleet{{.nodes = 2}};
    fleet.run(3s); // a node that has just started sends nothing to cold servers
    const auto heads = fleet.heads();
    cr_assert_eq(heads.size(), 2U);
    for (const auto& head : heads)
        head->set_cold(2s);
    fleet.run(300ms);
    std::vector<std::size_t> before;
    for (const auto& head : heads)
        before.push_back(head->arrived.size());
    std::vector<begun_request> begun;
    for (std::size_t number = 0; number < 60; ++number)
        begun.push_back(fleet.begin(number % 2, "/chat/" + std::to_string(number)));
    fleet.run(900ms);
    for (std::size_t index = 0; index < heads.size(); ++index) {
        const std::size_t got = heads[index]->arrived.size() - before[index];
        cr_assert_leq(static_cast<double>(got), allowed_cold_requests);
        cr_assert_geq(got, 1U);
    }
    fleet.run(1500ms);
    cr_assert_eq(fleet.served(0, "/chat/warm", 5), 5U);
    cr_assert_eq(fleet.served(1, "/chat/warm", 5), 5U);
}
