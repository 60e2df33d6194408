#include "groups/formation_testing.h"
#include "groups/model_room.h"

using namespace jaynotch;
using namespace jaynotch::groups;

namespace {

constexpr std::size_t large = 0;
constexpr std::size_t small = 1;

room_runner bare()
{
    return {};
}

room_runner survivor_of(std::size_t model)
{
    return {.warm = model, .staged = {model}};
}

/// Holds one model in its accelerators and the other on its host.
room_runner holder_of_both()
{
    return {.warm = large, .staged = {small}};
}

domain_room room_with(std::vector<room_runner> free)
{
    domain_room room;
    room.models = {{.size = 12, .open_groups = 1, .need = 5.0},
                   {.size = 6, .open_groups = 2, .need = 6.0}};
    room.free = std::move(free);
    return room;
}

std::size_t count(const std::vector<stage_choice>& chosen, std::size_t model, stage_reason why)
{
    return static_cast<std::size_t>(
        std::count_if(chosen.begin(), chosen.end(), [&](const stage_choice& one) {
            return one.model == model && one.why == why;
        }));
}

} // namespace

// Load: 2 of 12 members lost, 10 survivors idle for the 16 s of a load, while 6 of them are a group
// of the smaller model after 12 s.
Test(model_room, survivors_of_a_large_group_load_a_smaller_model_and_keep_their_own)
{
    const std::vector<stage_choice> chosen =
        choose_stages(room_with(std::vector<room_runner>(10, survivor_of(large))));
    cr_assert_geq(count(chosen, small, stage_reason::completes_group), 6U);
    cr_assert_eq(count(chosen, large, stage_reason::completes_group), 0U);
    for (const stage_choice& choice : chosen)
        cr_assert(choice.kept == large);
}

// Load: a member of the small group is lost, its 5 survivors idle until a new runner has loaded
// their model.
Test(model_room, a_new_runner_completes_a_group_that_has_most_of_its_members)
{
    std::vector<room_runner> free(5, survivor_of(small));
    free.push_back(bare());
    const std::vector<stage_choice> chosen = choose_stages(room_with(std::move(free)));
    cr_assert_eq(chosen.front(),
                 (stage_choice{5, small, stage_reason::completes_group, std::nullopt}));
}

// Load: members of both models are lost, two each few seconds; no group lacks a member now.
Test(model_room, new_runners_become_spares_of_the_largest_groups_first)
{
    const std::vector<stage_choice> chosen = choose_stages(room_with({bare(), bare()}));
    cr_assert_eq(chosen.size(), 2U);
    cr_assert_eq(count(chosen, large, stage_reason::guards_groups), 2U);
}

// Load: spares of the large model only, while the groups of the small one lose members as often.
Test(model_room, spares_load_the_other_model_of_their_domain)
{
    const std::vector<stage_choice> chosen =
        choose_stages(room_with(std::vector<room_runner>(3, survivor_of(large))));
    cr_assert_eq(chosen.size(), 3U);
    cr_assert_eq(count(chosen, small, stage_reason::guards_groups), 3U);
}

// Load: demand moves from one model to the other and back every 15 s, i.e. during one load.
Test(model_room, demand_that_swings_moves_no_runner)
{
    domain_room room = room_with(std::vector<room_runner>(5, holder_of_both()));
    for (const double need : {1.0, 20.0}) {
        room.models[large].need = need;
        cr_assert(choose_stages(room).empty());
    }
}

// Load: runners that were just freed are needed by the group that is formed next.
Test(model_room, runners_in_repair_load_nothing)
{
    room_runner busy = survivor_of(large);
    busy.idle = false;
    cr_assert(choose_stages(room_with({busy, busy, busy})).empty());
}

// Load: a member of each model is lost, one after the other, with two spares in the domain. Guards
// against spares that only replace members of one model.
Test(model_room, spares_replace_members_of_either_model)
{
    fake_registry world = serving_fleet({.domains = 1, .runners = 9});
    cr_assert_eq(world.open_groups("big"), 1U);
    cr_assert_eq(world.open_groups("small"), 1U);
    world.run(20s);
    for (const char* model : {"small", "big"}) {
        const std::string head = world.head_of(model, 0);
        world.kill(world.members_of(head)[1]);
        world.run(200ms);
        world.report_unresponsive_group(head);
        world.run(2500ms);
        cr_assert_eq(world.open_groups(model), 1U, "%s", model);
    }
    assert_no_violations(world);
}

// Load: a large group loses two members and nothing replaces them.
Test(model_room, survivors_become_a_group_of_the_smaller_model)
{
    fake_registry world = serving_fleet({.domains = 2, .runners = 9});
    const std::size_t groups = world.open_groups("big");
    const std::size_t smaller = world.open_groups("small");
    const std::string head = world.head_of("big", 0);
    const std::vector<std::string> members = world.members_of(head);
    world.kill(members[1]);
    world.kill(members[2]);
    world.run(200ms);
    world.report_unresponsive_group(head);
    world.run(18s);
    cr_assert_eq(world.open_groups("big"), groups - 1);
    cr_assert_eq(world.open_groups("small"), smaller + 1);
    assert_no_violations(world);
}
