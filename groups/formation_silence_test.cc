#include "groups/formation_testing.h"

using namespace jaynotch;
using namespace jaynotch::groups;

namespace {

/// Pauses a runner for `time`; its group's streams stop, which all nodes report.
void pause_for(fake_registry& world, const std::string& id, const std::string& head, duration time)
{
    constexpr duration detection = 300ms;
    world.pause(id);
    world.run(detection);
    world.report_unresponsive_group(head);
    world.run(time - detection);
    world.resume(id);
}

/// Pauses the runner that `choose(world, head)` returns and checks that its group is kept.
template <class Choose>
void expect_kept_while_pausing(Choose choose)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    const std::size_t orders = world.orders();
    pause_for(world, choose(world, head), head, 2s);
    world.run(6s);
    cr_assert_eq(world.orders(), orders, "no order is due");
    cr_assert_eq(world.open_groups("big"), groups);
    assert_no_violations(world);
}

} // namespace

// Guards against ending a group, and the streams in it, because its head was silent for a while.
Test(formation, a_group_whose_head_pauses_is_kept)
{
    expect_kept_while_pausing([](fake_registry&, const std::string& head) { return head; });
}

// Guards against ending a group, and the streams in it, because a member was silent for a while.
Test(formation, a_group_whose_member_pauses_is_kept)
{
    expect_kept_while_pausing([](fake_registry& world, const std::string& head) {
        return world.members_of(head).back();
    });
}

// Guards against ending all groups of a domain whose runners pause together.
Test(formation, groups_that_pause_together_are_kept)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    std::vector<std::string> heads;
    for (std::size_t index = 0; index < groups; ++index)
        heads.push_back(world.head_of("big", index));
    const std::size_t orders = world.orders();
    for (const std::string& head : heads) {
        for (const std::string& member : world.members_of(head))
            world.pause(member);
    }
    world.run(300ms);
    for (const std::string& head : heads)
        world.report_unresponsive_group(head);
    world.run(1700ms);
    for (const std::string& head : heads) {
        for (const std::string& member : world.members_of(head))
            world.resume(member);
    }
    world.run(6s);
    cr_assert_eq(world.orders(), orders, "no order is due");
    cr_assert_eq(world.open_groups("big"), groups);
    assert_no_violations(world);
}

// Guards against a lost member that is replaced late because the head of its group is silent too.
Test(formation, a_lost_member_is_replaced_though_the_head_pauses)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 11});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    world.kill(world.members_of(head).back());
    world.pause(head);
    world.run(300ms);
    world.report_unresponsive_group(head);
    world.run(2s);
    cr_assert_eq(world.open_groups("big"), groups + 1, "the broken group and its replacement");
    assert_no_violations(world);
}

// Guards against a group that is never repaired because the host of its hung member still accepts
// connections.
Test(formation, a_hung_member_is_replaced_once_its_entry_has_expired)
{
    fake_registry world = serving_fleet({.managers = 2, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    const std::string hung = world.members_of(head).back();
    world.pause(hung);
    world.run(300ms);
    world.report_unresponsive_group(head);
    world.run(6s);
    cr_assert_eq(world.open_groups("big"), groups);
    for (std::size_t index = 0; index < groups; ++index) {
        for (const std::string& member : world.members_of(world.head_of("big", index)))
            cr_assert_neq(member, hung);
    }
    assert_no_violations(world);
}

// Guards against a group that stays broken through an outage of the store, during which the entry
// of its hung member does not expire.
Test(formation, a_hung_member_is_replaced_while_the_store_is_down)
{
    fake_registry world = serving_fleet({.managers = 3, .domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::string head = world.head_of("big", 0);
    const std::string hung = world.members_of(head).back();
    world.store_down();
    world.run(4s);
    world.pause(hung);
    world.run(300ms);
    world.report_unresponsive_group(head);
    world.run(8s);
    cr_assert_eq(world.open_groups("big"), groups);
    for (std::size_t index = 0; index < groups; ++index) {
        for (const std::string& member : world.members_of(world.head_of("big", index)))
            cr_assert_neq(member, hung);
    }
    assert_no_violations(world);
}
