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
    registry_fixture fleet{{.nodes = 2, .model_servers = 16, .retry_window = 100ms}};
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

// Guards against requests with one part in their prompts that end one server after the other, at
// all nodes, though no two are alike and sound ones share their other parts.
Test(crashing_requests, requests_with_a_part_that_ends_servers_are_not_sent_on)
{
    constexpr std::size_t ends_before_a_block = 5;
    registry_fixture fleet{{.nodes = 3, .model_servers = 24, .retry_window = 100ms}};
    crash_on(fleet, "bad0bad0");
    std::size_t served = 0;
    std::size_t sound = 0;
    for (std::size_t number = 0; number < 24; ++number) {
        const std::string own = std::to_string(1000 + number) + ":250";
        fleet.body = "request " + own;
        const bool bad = number % 3 == 2;
        const std::string parts = bad ? "aa:800,bad0bad0:400," : "aa:800,cc:400,";
        const result<http_response> answer =
            fleet.ask(number % 3, "/chat/1", "key-1", {{"Jaynotch-Prompt-Prefix", parts + own}});
        const bool ok = answer && answer.value().status == boost::beast::http::status::ok;
        sound += bad ? 0 : 1;
        served += ok && !bad ? 1 : 0;
        fleet.run(300ms);
    }
    cr_assert_leq(ended_servers(fleet), ends_before_a_block, "%zu ended", ended_servers(fleet));
    cr_assert_eq(served, sound, "%zu of %zu sound requests were served", served, sound);
}
