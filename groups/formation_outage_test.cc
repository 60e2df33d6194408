#include "groups/formation_testing.h"

using namespace jaynotch;
using namespace jaynotch::groups;

// The platform's store is down for eight seconds, and in that time a member dies. No lease can be
// renewed and no other node could become the manager: streams of the group would have nobody to go
// to until the store is back. All nodes say that they don't reach it, so the manager goes on.
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

// While the store is down a manager makes a broken group whole with a spare. The store comes back,
// and a node that has just started becomes the manager a moment later, before the runners have
// written their entries anew: it still reads that the spare is free, and orders it elsewhere while
// it serves. So a new manager asks each runner before it takes it for free.
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
    cr_assert_eq(world.open_groups("big"), groups, "nor does it end groups that are whole");
}

// The head of a group dies while the store is down, and its entry can't be dropped. Once it doesn't
// answer it must not be joined to one composition after the other, none of which becomes whole.
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
    cr_assert_leq(world.orders(), orders + 2, "nobody is ordered to and fro");
    assert_no_violations(world);
}

// One failure domain is cut off from the store, another is not: a node there takes the key when the
// lease ends. The manager behind the cut must have stopped by then.
Test(formation, a_manager_stops_while_any_node_reaches_the_store)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    world.peers_reach_store = true;
    world.store_down();
    world.run(2s);
    cr_assert_eq(world.leaders(), 0U);
}

// Changes gather before a manager hears of them, so it hears of entries after the answers to orders
// that came later, and of some only after an outage of the store that began in between.
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

// The store is down, and a manager ends a group that has lost a member and makes it anew by the
// runners' own word. As the store comes back it first takes the calls that runners had under way:
// entries from when they were in no group. One VM was ordered into another group while the one it
// headed served.
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

// Guards against a manager that is back in its old term after an outage and takes the members of a
// group that it had made: the group opened in the outage, on an order that was carried out late,
// and the time in which it had to come together has passed.
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
    cr_assert_eq(world.open_groups("big"), groups - 1, "its successor is about to open");
    world.lose_orders(1.0);
    world.run(600ms);
    world.peers_reach_store = true; // so the manager stops until the store answers it again
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

// Guards against a runner in two groups when an entry from before an outage is heard after the
// manager, elected anew as the store came back, has opened the group that it made in the outage.
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
    world.lose_orders(1.0); // its successor is whole, and the order to open is lost
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
