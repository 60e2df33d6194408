#include "groups/formation_testing.h"

using namespace jaynotch;
using namespace jaynotch::groups;

Test(formation, fills_the_domains_before_the_first_request)
{
    fake_registry world{{.managers = 2, .domains = 2, .runners = 9}};
    world.run(6s);
    cr_assert_eq(world.leaders(), 1U);
    cr_assert_geq(world.open_groups("big"), 2U);
    cr_assert_geq(world.open_groups("small"), 1U);
    world.run(6s);
    cr_assert_geq(world.staged("big") + world.staged("small"), 18U, "spares are staged too");
    assert_no_violations(world);
}

// Guards against a split between the models that hangs on which part of a large fleet was known
// first. Pattern: runners that register for seconds, seen in batches.
Test(formation, runners_that_are_seen_in_batches_are_planned_together)
{
    constexpr std::size_t domains = 4;
    constexpr std::size_t runners = 9;
    constexpr duration batch = 900ms;
    fake_registry at_once{{.domains = domains, .runners = runners}};
    at_once.run(12s);
    fake_registry in_batches{{.domains = 1, .runners = runners}};
    for (std::size_t domain = 1; domain < domains; ++domain) {
        in_batches.run(batch);
        for (std::size_t index = 0; index < runners; ++index)
            in_batches.add("r-" + std::to_string(domain) + "-" + std::to_string(index), domain);
    }
    in_batches.run(12s);
    for (const char* model : {"big", "small"})
        cr_assert_eq(in_batches.open_groups(model), at_once.open_groups(model), "%s", model);
    assert_no_violations(in_batches);
}

// A caller's streams at one group stop in their middle, all at once: a member of the group has
// died. The head goes on taking requests and would notice only after seconds. The manager finds the
// dead member, ends the group and makes one of the survivors and a spare.
Test(formation, a_lost_member_is_replaced_by_a_spare_within_two_seconds)
{
    fake_registry world = serving_fleet({.domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    world.kill(world.members_of(head)[2]);
    world.run(300ms);
    world.report_unresponsive_group(head);
    world.run(2s);
    cr_assert_eq(world.open_groups("big"), groups);
    assert_no_violations(world);
}

// A member dies while a spare of its domain has the weights on its host. Loading them from there
// into the accelerators takes more than a second of the group's absence, unless the spare had it
// done before.
Test(formation, a_warm_spare_completes_a_group_within_700_ms)
{
    fake_registry world = serving_fleet({.domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    world.kill(world.members_of(head)[2]);
    world.report_unresponsive_group(head);
    world.run(700ms);
    cr_assert_eq(world.open_groups("big"), groups);
    assert_no_violations(world);
}

// A failure domain loses its manager, and in that time a group loses a member. The next manager has
// followed the registry all along: the group was whole, so its survivors are not a composition that
// is still coming together, and nothing is gained by waiting for more of it.
Test(formation, a_new_manager_repairs_groups_broken_before_its_election)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    world.kill_manager(world.leader());
    world.kill(world.members_of(head)[2]);
    cr_assert(world.run_until([&] { return world.leaders() == 1; }, 5s));
    world.report_unresponsive_group(head);
    world.run(1s);
    cr_assert_eq(world.open_groups("big"), groups);
    assert_no_violations(world);
}

// Guards against survivors that wait for two seconds since their reports, 200 ms old, still name
// the group that they have just left. Pattern: the first loss after a change of the manager.
Test(formation, a_new_manager_uses_survivors_though_their_reports_are_old)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    world.delay_reports(200ms);
    const std::size_t groups = world.open_groups("big");
    world.kill_manager(world.leader());
    cr_assert(world.run_until([&] { return world.leaders() == 1; }, 5s));
    world.run(2s);
    const std::string head = world.head_of("big", 0);
    world.kill(world.members_of(head)[2]);
    world.run(200ms);
    world.report_unresponsive_group(head);
    world.run(1s);
    cr_assert_eq(world.open_groups("big"), groups);
    assert_no_violations(world);
}

// The head itself dies. Its members still believe themselves in its group; joined to another
// without leaving, they would be in two groups if the head only stood behind a cut.
Test(formation, members_of_a_lost_head_leave_before_they_join)
{
    fake_registry world = serving_fleet({.domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    world.disconnect(head); // it works on, and its group is open
    world.run(300ms);
    world.report_unresponsive_group(head);
    world.run(2s);
    cr_assert_eq(world.open_groups("big"), groups + 1, "the one behind the cut and its successor");
    assert_no_violations(world);
}

// One node of the system is cut off from a head; its own requests there stop, everybody else's go
// on. It must not take a group apart that serves the others.
Test(formation, a_group_reachable_from_other_nodes_is_kept)
{
    fake_registry world = serving_fleet({.domains = 2, .runners = 9});
    world.peers_reach_runner = true;
    const std::string head = world.head_of("big", 0);
    const std::size_t orders = world.orders();
    world.disconnect(head);
    world.run(300ms);
    world.report_unresponsive_group(head);
    world.run(500ms);
    cr_assert_eq(world.orders(), orders);
    assert_no_violations(world);
}

// A failure domain is cut off for so long that the entries of its runners begin to run out, one
// after the other. The cut heals in between: heads whose entries still stand can be ordered again,
// members whose entries have gone live and write them anew within two seconds. The groups serve all
// the time; ending them would leave the domain with nothing for as long as they form again.
Test(formation, entries_expired_by_a_partition_end_no_group)
{
    fake_registry world = serving_fleet({.domains = 2, .runners = 9});
    const std::size_t big = world.open_groups("big");
    const std::size_t small = world.open_groups("small");
    const std::vector<std::string> members = world.members_of(world.head_of("big", 0));
    const std::size_t orders = world.orders();
    world.expire_entry(members[1], 900ms);
    world.expire_entry(members[2], 700ms);
    world.run(300ms);
    world.expire_entry(members[0], 900ms);
    world.run(3s);
    cr_assert_eq(world.open_groups("big"), big);
    cr_assert_eq(world.open_groups("small"), small);
    cr_assert_eq(world.orders(), orders, "nobody was told to leave");
    assert_no_violations(world);
}

// A member lives and answers the manager but can't write its entry. Nobody knows for how long: its
// group is ended after the time in which entries return, and another is made of a spare.
Test(formation, a_member_without_an_entry_is_replaced)
{
    fake_registry world = serving_fleet({.domains = 2, .runners = 9});
    const std::size_t big = world.open_groups("big");
    const std::string lost = world.members_of(world.head_of("big", 0))[1];
    world.expire_entry(lost, 60s);
    world.run(5s);
    cr_assert_eq(world.open_groups("big"), big);
    assert_no_violations(world);
}

// Two groups of one model in one domain each lose a member and no spare is left: their survivors
// make one group at once, rather than two that wait for weights to load.
Test(formation, survivors_of_two_groups_form_one)
{
    fake_registry world = serving_fleet({.domains = 1, .runners = 16});
    for (const std::string& spare : world.spare())
        world.kill(spare);
    world.run(5s);
    const std::string model = "small";
    cr_assert_geq(world.open_groups(model), 2U);
    const std::string first = world.head_of(model, 0);
    const std::string second = world.head_of(model, 1);
    world.kill(world.members_of(first)[1]);
    world.kill(world.members_of(second)[1]);
    world.run(300ms);
    world.report_unresponsive_group(first);
    world.report_unresponsive_group(second);
    const std::size_t others = world.open_groups(model) - 2;
    world.run(2s);
    cr_assert_eq(world.open_groups(model), others + 1);
    assert_no_violations(world);
}

// A whole fabric domain loses power and comes back with its weights still on the hosts.
Test(formation, a_restarted_domain_recovers_within_four_seconds)
{
    fake_registry world = serving_fleet({.domains = 1, .runners = 9});
    const std::size_t groups = world.open_groups("big") + world.open_groups("small");
    for (int index = 0; index < 9; ++index)
        world.kill("r-a-" + std::to_string(index));
    world.run(7s);
    for (int index = 0; index < 9; ++index)
        world.restart_runner("r-a-" + std::to_string(index));
    world.run(4s);
    cr_assert_eq(world.open_groups("big") + world.open_groups("small"), groups);
    assert_no_violations(world);
}

// The manager's process is killed while joins are on their way. The next one finds the composition
// in the registry and opens it; the members don't load a second time.
Test(formation, the_next_manager_adopts_ordered_groups)
{
    fake_registry world{{.managers = 3, .domains = 1, .runners = 9}};
    world.run(2500ms);
    const std::size_t orders = world.orders();
    cr_assert_gt(orders, 0U);
    for (std::size_t index = 0; index < 2; ++index)
        world.kill_manager(index);
    world.run(8s);
    cr_assert_eq(world.leaders(), 1U);
    cr_assert_geq(world.open_groups("big") + world.open_groups("small"), 2U);
    assert_no_violations(world);
}

// A member says that it will leave. Its group goes on while it can, is closed before the member
// goes, and the others are used again.
Test(formation, a_group_is_closed_before_its_member_leaves)
{
    fake_registry world = serving_fleet({.domains = 2, .runners = 9});
    const std::string head = world.head_of("big", 0);
    const std::size_t groups = world.open_groups("big");
    world.drain(world.members_of(head)[1]);
    world.run(2s);
    cr_assert_eq(world.open_groups("big"), groups, "it goes on for a while");
    world.run(8s);
    cr_assert_eq(world.open_groups("big"), groups, "a spare has taken the place");
    cr_assert(world.head_of("big", 0) != head || world.members_of(head)[1] != "r-a-1");
    assert_no_violations(world);
}

// Newcomers are staged with the model that lacks groups most. By the count of runners that the next
// group lacks alone, the smaller model would take them all while the larger one dies out.
Test(formation, new_runners_are_staged_with_the_neediest_model)
{
    fake_registry world = serving_fleet({.domains = 2, .runners = 9});
    while (world.open_groups("big") > 0) {
        const std::string head = world.head_of("big", 0);
        const std::vector<std::string> members = world.members_of(head);
        for (const std::string& member : members)
            world.kill(member);
        world.run(200ms);
        world.report_unresponsive_group(head);
        world.run(1s);
    }
    const std::size_t staged = world.staged("big");
    for (int index = 0; index < 4; ++index)
        world.add("new-" + std::to_string(index), 0);
    world.run(20s);
    cr_assert_geq(world.staged("big"), staged + 3);
    cr_assert_geq(world.open_groups("big"), 1U);
    assert_no_violations(world);
}

// A third of the orders get no answer and are carried out up to 12 s later, behind newer ones,
// while runners and managers die. Whatever comes of it, no runner serves two groups, none opens
// unready, and once the orders arrive again the domain heals.
Test(formation, late_orders_and_deaths_violate_no_invariant)
{
    // 841: an open order was lost, its group given up and its members joined to another; then the
    // order was carried out, and the head served with members that were in two groups.
    std::vector<std::uint64_t> seeds{841};
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
        seeds.push_back(seed);
    for (const std::uint64_t seed : seeds) {
        fake_registry world{{.managers = 3, .domains = 2, .runners = 9, .seed = seed}};
        random_source random{seed * 77};
        world.run(8s);
        world.begin_traffic();
        world.lose_orders(0.35);
        for (int round = 0; round < 8; ++round) {
            const std::string model = random.chance(0.5) ? "big" : "small";
            const std::string head = world.head_of(model, random.index(2));
            if (!head.empty()) {
                const std::vector<std::string> members = world.members_of(head);
                const std::string& victim = members[random.index(members.size())];
                const double what = random.unit();
                if (what < 0.35)
                    world.expire_entry(victim,
                                       std::chrono::milliseconds{random.between(100, 4'000)});
                else if (what < 0.5)
                    world.disconnect(victim);
                else
                    world.kill(victim);
                world.run(300ms);
                world.report_unresponsive_group(head);
            }
            if (round == 3)
                world.kill_manager(random.index(2));
            world.run(std::chrono::milliseconds{random.between(500, 3'000)});
            world.add("late-" + std::to_string(round), random.index(2));
        }
        cr_assert(world.violation().empty(), "seed %d: %s", static_cast<int>(seed),
                  world.violation().c_str());
        world.lose_orders(0.0);
        world.run(60s);
        cr_assert(world.violation().empty(), "seed %d: %s", static_cast<int>(seed),
                  world.violation().c_str());
        cr_assert_geq(world.open_groups("big") + world.open_groups("small"), 1U, "seed %d",
                      static_cast<int>(seed));
    }
}

// Two runners are left over beside a large and a small group. One with each model would make
// neither group whole after a second loss; both stand by for the larger one, which strands more
// runners.
Test(formation, spares_are_staged_for_the_largest_group)
{
    fake_registry world{{.managers = 1, .domains = 1, .runners = 9}};
    world.run(12s);
    const std::size_t big = world.open_groups("big");
    const std::size_t small = world.open_groups("small");
    const std::size_t spares = 9 - 4 * big - 3 * small;
    cr_assert_geq(big, 1U);
    cr_assert_geq(spares, 1U);
    cr_assert_eq(world.staged("big"), 4 * big + spares);
    assert_no_violations(world);
}
