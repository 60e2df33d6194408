#include "groups/formation_testing.h"

using namespace jaynotch;
using namespace jaynotch::groups;

// Guards against orders and probes to runners of an evacuated failure domain, and against a domain
// that is not repaired after its return.
Test(formation, an_evacuated_domain_gets_no_orders_until_it_returns)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    world.set_evacuated(true);
    const std::size_t orders = world.orders();
    const std::size_t probes = world.probes();
    const std::string head = world.head_of("big", 0);
    world.kill(world.members_of(head).back());
    world.report_unresponsive_group(head);
    world.run(8s);
    cr_assert_eq(world.orders(), orders);
    cr_assert_eq(world.probes(), probes);
    cr_assert_eq(world.leaders(), 1U, "its manager keeps the key");
    world.set_evacuated(false);
    cr_assert(world.run_until([&] { return world.open_groups("big") == groups; }, 8s));
    assert_no_violations(world);
}

// Guards against a manager that takes over during an evacuation and orders what its predecessor,
// which knew of it, would not have.
Test(formation, a_manager_that_takes_over_an_evacuated_domain_orders_nothing)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big") + world.open_groups("small");
    world.set_evacuated(true);
    const std::size_t orders = world.orders();
    world.kill_manager(world.leader());
    cr_assert(world.run_until([&] { return world.leaders() == 1; }, 8s));
    world.run(6s);
    cr_assert_eq(world.orders(), orders);
    world.set_evacuated(false);
    world.run(4s);
    cr_assert_eq(world.open_groups("big") + world.open_groups("small"), groups);
    assert_no_violations(world);
}
