// Servers that limit the requests per second of all nodes together.
#include "routing/modelled_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;
using namespace std::chrono_literals;

namespace {

using world = modelled_world;

/// Servers that answer at once and state their limits, if they have one.
struct servers {
    std::map<std::string, double> limits;
    std::map<std::string, int> got;

    void answer(world& here, const command_list& wanted)
    {
        for (const command& each : wanted) {
            if (const auto* sent = std::get_if<send_attempt>(&each))
                answer(here, *sent);
        }
    }
    void answer(world& here, const send_attempt& sent)
    {
        ++got[sent.target.value()];
        const auto limit = limits.find(sent.target.value());
        std::optional<double> named;
        if (limit != limits.end())
            named = limit->second;
        here.send(response_limit_received{sent.target, named});
        here.begin(sent);
        answer(here, here.send(attempt_finished{sent.request, sent.attempt, {}}));
    }
};

/// Sends `per_second` requests for `span`; returns the number of requests by target.
std::map<std::string, int> serve(world& here, duration span, int per_second,
                                 const std::map<std::string, double>& limits)
{
    servers all{limits, {}};
    for (const time_point until = here.now + span; here.now < until;) {
        all.answer(here, here.submit());
        all.answer(here, here.pass(duration{1s} / per_second));
    }
    return all.got;
}

void set_fleet(world& here, std::size_t nodes)
{
    fleet_updated seen;
    seen.members.push_back({node_id{"entry-1"}, {}, true});
    for (std::size_t index = 1; index < nodes; ++index)
        seen.members.push_back({node_id{"other-" + std::to_string(index)}, {}, true});
    here.send(seen);
}

} // namespace

// Guards against a server that is overrun because target selection ignores its limit, and against
// one that gets no requests at all. It must get about this node's share of its limit, and the other
// servers the rest.
Test(request_limits, excess_over_a_server_limit_goes_to_other_servers)
{
    world here{3};
    set_fleet(here, 2);
    const auto sent = serve(here, 20s, 30, {{"g1", 2.0}});
    cr_assert_leq(sent.at("g1"), 25, "half of 2 a second, and what was sent before it said so");
    cr_assert_geq(sent.at("g1"), 12);
    cr_assert_geq(sent.at("g2") + sent.at("g3"), 560);
}

// Guards against requests that wait for a server whose limit leaves this node no share, as happens
// with 60 nodes and a low limit. They must be refused at once as not run, with a short Retry-After,
// since another node may have a share.
Test(request_limits, a_node_without_a_share_refuses_at_once)
{
    world here{1};
    set_fleet(here, 60);
    servers all{{{"g1", 0.3}}, {}};
    int refused = 0;
    for (int round = 0; round < 40; ++round) {
        const command_list out = here.submit();
        all.answer(here, out);
        all.answer(here, here.pass(100ms));
        if (const auto no = last_command<refuse>(out)) {
            ++refused;
            cr_assert(no->ran == ran_state::no);
            cr_assert(no->retry_after);
            cr_assert_leq(*no->retry_after, 2s);
        }
    }
    cr_assert_geq(refused, 38, "either refused at once or, rarely, sent");
}

// Guards against a server that stays limited after its limit was lifted: once its answers no longer
// state a limit, it must get its usual share of the requests again.
Test(request_limits, a_lifted_limit_restores_normal_use)
{
    world here{1};
    set_fleet(here, 2);
    (void)serve(here, 5s, 10, {{"g1", 1.0}});
    const auto sent = serve(here, 20s, 10, {});
    cr_assert_geq(sent.at("g1"), 150);
}

// Guards against exceeding a limit that only a peer has seen: the limit must apply, and be lifted,
// by the peer's report alone.
Test(request_limits, a_limit_reported_by_a_peer_holds)
{
    world here{1};
    set_fleet(here, 2);
    here.send(peer_limit_received{vm_id{"i-1"}, 2.0, 100ms});
    const auto sent = serve(here, 10s, 20, {{"g1", 2.0}});
    cr_assert_leq(sent.at("g1"), 12);
    here.send(peer_limit_received{vm_id{"i-1"}, std::nullopt, 0ms});
    cr_assert_eq(here.core.limited_servers(), 0U);
}
