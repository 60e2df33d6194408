#include "groups/formation_testing.h"

using namespace jaynotch;
using namespace jaynotch::groups;

// A member dies while the store is down for eight seconds. No lease can be renewed and no other
// node can become the manager, so the group would stay broken until the store is back. All nodes
// confirm the outage, so the manager must continue and repair the group.
Test(formation, groups_are_repaired_while_the_store_is_down)
{
    fake_registry world = serving_fleet({.managers = 3, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    world.store_down();
    world.run(4s);
    cr_assert_eq(world.leaders(), 1U);
    world.kill(world.members_of(head)[2]);
    world.report_unresponsive_group(head);
    world.run(1s);
    cr_assert_eq(world.open_groups("big"), groups);
    world.run(3s);
    world.store_up();
    cr_assert(world.run_until([&] { return world.leaders() == 1; }, 4s));
    world.run(3s);
    cr_assert_eq(world.open_groups("big"), groups);
    assert_no_violations(world);
}

// Guards against a new manager that uses stale entries. While the store is down, a manager repairs
// a group with a spare. When the store returns, a node that has just started becomes the manager
// before the runners have written their entries again. The spare's entry still shows it as free,
// but it serves; so a new manager must ask each runner before it uses it.
Test(formation, entries_from_before_an_outage_free_no_runner)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    world.store_down();
    world.run(4s);
    world.kill(world.members_of(head)[2]);
    world.report_unresponsive_group(head);
    world.run(2s);
    cr_assert_eq(world.open_groups("big"), groups);
    world.kill_manager(0);
    world.kill_manager(1);
    world.run(6s);
    world.store_up(2s);
    world.start_manager(1);
    world.run(1500ms);
    assert_no_violations(world);
    cr_assert_eq(world.leaders(), 1U);
    world.run(4s);
    assert_no_violations(world);
    cr_assert_eq(world.open_groups("big"), groups, "complete groups must not be ended");
}

// The head of a group dies while the store is down, so its entry is not dropped. A runner that does
// not answer must not be ordered into new compositions, none of which could become complete.
Test(formation, a_dead_runner_whose_entry_stays_is_not_used_again)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    world.store_down();
    world.run(3s);
    world.kill(head);
    world.report_unresponsive_group(head);
    world.run(9s);
    cr_assert_eq(world.open_groups("big"), groups);
    const std::size_t orders = world.orders();
    world.run(10s);
    cr_assert_leq(world.orders(), orders + 2, "no further orders are expected");
    assert_no_violations(world);
}

// The manager's failure domain is cut off from the store, another one is not. A node there can
// claim the key when the lease ends, so the manager must have stopped by then.
Test(formation, a_manager_stops_while_any_node_reaches_the_store)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    world.peers_reach_store = true;
    world.store_down();
    world.run(2s);
    cr_assert_eq(world.leaders(), 0U);
}

// Guards against a runner in two groups because the manager relies on outdated entries. Entries
// reach a manager in batches, so an entry can arrive after the reply to a later order, and some
// arrive only after an outage of the store that began in between.
Test(formation, late_entries_and_outages_put_no_runner_into_two_groups)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        random_source random{seed};
        fake_registry world =
            serving_fleet({.managers = 2, .domains = 2, .runners = 24, .seed = seed});
        world.delay_entries(std::chrono::milliseconds{random.between(50, 600)});
        for (int round = 0; round < 3; ++round) {
            const std::string head =
                world.head_of(random.chance(0.5) ? "big" : "small", random.index(3));
            if (head.empty())
                break;
            const std::vector<std::string> members = world.members_of(head);
            world.kill(members[random.index(members.size())]);
            world.run(std::chrono::milliseconds{random.between(0, 400)});
            world.report_unresponsive_group(head);
            world.run(std::chrono::milliseconds{random.between(0, 700)});
        }
        world.lose_orders(random.chance(0.5) ? 0.25 : 0.0);
        world.store_down();
        world.run(std::chrono::milliseconds{random.between(0, 2'500)});
        world.peers_reach_store = random.chance(0.7);
        const std::string next = world.head_of(random.chance(0.5) ? "big" : "small", 0);
        if (!next.empty()) {
            world.kill(world.members_of(next).back());
            world.run(std::chrono::milliseconds{random.between(0, 400)});
            world.report_unresponsive_group(next);
        }
        world.run(std::chrono::milliseconds{random.between(1'000, 9'000)});
        world.store_up(std::chrono::milliseconds{random.between(0, 2'000)});
        world.run(4s);
        cr_assert(world.violation().empty(), "seed %lu: %s", seed, world.violation().c_str());
    }
}

// Guards against ordering a VM into another group while it is the head of a serving one. While the
// store is down, a manager replaces a group that lost a member, based on the runners' reports. When
// the store returns, it first stores writes that were in flight: entries from before the runners
// joined the new group, which show them as free.
Test(formation, an_entry_older_than_an_accepted_join_frees_no_runner)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        random_source random{seed};
        fake_registry world =
            serving_fleet({.managers = 2, .domains = 2, .runners = 24, .seed = seed});
        world.leases_outlast_outages = true;
        world.store_down();
        world.run(3s);
        for (int lost = 0; lost < 3; ++lost) {
            const std::string head = world.head_of("big", random.index(3));
            if (head.empty())
                break;
            world.kill(world.members_of(head)[1 + random.index(3)]);
            world.report_unresponsive_group(head);
            world.run(std::chrono::milliseconds{random.between(100, 900)});
        }
        std::vector<std::string> heads;
        for (std::size_t index = 0; !world.head_of("big", index).empty(); ++index)
            heads.push_back(world.head_of("big", index));
        for (const std::string& head : heads) {
            if (random.chance(0.6))
                world.kill(world.members_of(head)[1 + random.index(3)]);
        }
        world.store_up(std::chrono::milliseconds{random.between(100, 1'000)});
        world.run(std::chrono::milliseconds{random.between(0, 60)});
        for (const std::string& head : heads)
            world.report_unresponsive_group(head);
        world.run(3s);
        cr_assert(world.violation().empty(), "seed %lu: %s", seed, world.violation().c_str());
    }
}

// Guards against a manager that resumes its term after an outage and dissolves a group of its own:
// the group opened during the outage, by an order that was executed late, and its deadline for
// becoming complete has passed since.
Test(formation, a_manager_resuming_its_term_keeps_its_group)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 10});
    world.leases_outlast_outages = true;
    world.delay_entries(600ms);
    const std::size_t groups = world.open_groups("big");
    const std::string lost = world.head_of("big", 0);
    world.kill(lost);
    world.report_unresponsive_group(lost);
    world.run(500ms);
    cr_assert_eq(world.open_groups("big"), groups - 1, "its replacement has not opened yet");
    world.lose_orders(1.0);
    world.run(600ms);
    world.peers_reach_store = true; // makes the manager stop until the store answers it again
    world.store_down();
    world.run(15s);
    cr_assert_eq(world.leaders(), 0U);
    cr_assert_eq(world.open_groups("big"), groups);
    world.lose_orders(0.0);
    world.store_up();
    world.run(4s);
    assert_no_violations(world);
    cr_assert_eq(world.leaders(), 1U);
    cr_assert_eq(world.open_groups("big"), groups);
}

// Guards against a runner in two groups. A manager forms a group during an outage, is elected again
// when the store returns, and opens the group. After that an entry from before the outage arrives,
// which shows a member as free.
Test(formation, an_open_order_confirms_no_entry)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    world.delay_entries(500ms);
    const std::string first = world.head_of("big", 0);
    const std::string second = world.head_of("big", 1);
    world.store_down();
    world.run(1400ms);
    world.kill(world.members_of(first)[1]);
    world.report_unresponsive_group(first);
    world.run(300ms);
    world.lose_orders(1.0); // the replacement group is complete, and the order to open it is lost
    world.run(200ms);
    world.store_up(2s);
    world.run(250ms);
    world.lose_orders(0.0);
    world.run(300ms);
    world.kill(world.members_of(second)[1]);
    world.run(150ms);
    world.report_unresponsive_group(second);
    world.run(3s);
    assert_no_violations(world);
}
