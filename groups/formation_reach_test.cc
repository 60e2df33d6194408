#include "groups/formation_testing.h"

using namespace jaynotch;
using namespace jaynotch::groups;

namespace {

/// The manager's node is cut off from all runners, and all its streams stop.
std::size_t cut_leader(fake_registry& world)
{
    const std::size_t leader = world.leader();
    world.peers_reach_runner = true;
    world.cut_manager(leader);
    for (std::size_t index = 0; index < world.open_groups("big"); ++index)
        world.report_unresponsive_group(world.head_of("big", index), leader);
    return leader;
}

/// The manager's node is cut off from all runners for `time`; no group ends and no order is sent.
void expect_kept_while_cut(fake_registry& world, duration time)
{
    const std::size_t groups = world.open_groups("big");
    const std::size_t orders = world.orders();
    const std::size_t leader = cut_leader(world);
    world.run(time);
    cr_assert_eq(world.orders(), orders, "no order is due");
    world.reconnect_manager(leader);
    world.run(4s);
    cr_assert_eq(world.open_groups("big"), groups);
    cr_assert_eq(world.orders(), orders, "no order is due");
    assert_no_violations(world);
}

} // namespace

// Guards against a manager that ends complete groups because its own node reaches no runner.
Test(formation, a_manager_that_reaches_no_runner_ends_no_group)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    expect_kept_while_cut(world, 6s);
}

// Guards against a manager that ends groups whose members all serve, because its own link is full
// for a while and its peers are too busy to answer.
Test(formation, a_manager_that_hears_nobody_for_a_while_ends_no_group)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    world.peers_answer = false;
    expect_kept_while_cut(world, 2s);
}

// Guards against a lost member that is not replaced because the manager's link was full when it was
// probed first.
Test(formation, a_member_lost_while_the_manager_hears_nobody_is_replaced_afterwards)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    world.peers_answer = false;
    world.kill(world.members_of(world.head_of("big", 0)).back());
    const std::size_t leader = cut_leader(world);
    world.run(1s);
    world.reconnect_manager(leader);
    cr_assert(world.run_until([&] { return world.open_groups("big") + 1 == groups; }, 1s));
    cr_assert(world.run_until([&] { return world.open_groups("big") == groups; }, 2s));
    assert_no_violations(world);
}

// Guards against a failure domain that stays without a working manager while its manager's node is
// cut off, and against two managers when that node returns.
Test(formation, a_node_that_reaches_no_runner_hands_its_domain_over)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::size_t leader = cut_leader(world);
    world.report_reach(leader, true);
    cr_assert(
        world.run_until([&] { return world.leaders() == 1 && world.leader() != leader; }, 2s));
    const std::size_t orders = world.orders();
    world.run(3s);
    cr_assert_eq(world.orders(), orders, "no order is due");
    cr_assert_eq(world.open_groups("big"), groups);
    world.reconnect_manager(leader);
    world.report_reach(leader, false);
    world.run(4s);
    cr_assert_eq(world.leaders(), 1U);
    cr_assert_eq(world.open_groups("big"), groups);
    assert_no_violations(world);
}

// Guards against a lost member that is replaced late because the peers are asked about it first.
Test(formation, a_lost_member_is_replaced_without_asking_if_others_answer)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    world.peers_reach_runner = true; // were they asked, they would contradict
    world.kill(world.members_of(head).back());
    world.report_unresponsive_group(head);
    world.run(1s);
    cr_assert_eq(world.open_groups("big"), groups);
    assert_no_violations(world);
}
