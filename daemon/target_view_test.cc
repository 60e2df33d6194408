#include "daemon/target_view.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t members = 4;

/// One open group of four runners, as a node's registry shows it.
struct open_group_world {
    open_group_world()
    {
        pool model;
        model.name = pool_id{"llm/m"};
        model.service = "llm";
        model.model = "m";
        model.kind = pool_kind::model;
        model.replica_vms = members;
        tables.pools = {model};
        for (std::uint32_t rank = 0; rank < members; ++rank)
            write_entry(rank);
    }

    static vm_id member(std::uint32_t rank) { return vm_id{"i-" + std::to_string(rank)}; }

    void write_entry(std::uint32_t rank, bool in_group = true)
    {
        runner row;
        row.id = member(rank);
        row.service = "llm";
        row.model = in_group ? "m" : "";
        row.failure_domain = failure_domain_id{"f"};
        row.fabric_domain = fabric_domain_id{"d"};
        if (in_group)
            row.group = membership{group_id{"g1"}, 1, rank,
                                   rank == 0 ? member_phase::open : member_phase::ready};
        registry.update(row, now);
    }

    [[nodiscard]] bool gets_requests() const
    {
        const target_lists lists = targets_of(registry, tables, now);
        return lists.groups.size() == 1 && !lists.groups.front().leaving;
    }

    groups::runner_registry registry;
    configuration tables;
    time_point now{1h};
};

} // namespace

// Guards against overload of a few groups while many runners have lost the store: their entries
// expire, but their groups serve on and must keep getting requests until the entries are overdue.
Test(target_view, a_group_is_used_while_the_entries_of_its_members_may_return)
{
    open_group_world world;
    world.registry.remove(world.member(2), world.now);
    cr_assert(world.gets_requests());
    world.now += 1s;
    world.registry.remove(world.member(3), world.now);
    cr_assert(world.gets_requests());
    const target_lists lists = targets_of(world.registry, world.tables, world.now);
    cr_assert(lists.valid_until == world.now + 1s, "the first entry is overdue then");
    world.write_entry(2);
    world.now += 1s;
    cr_assert(world.gets_requests());
    world.now += 1s;
    cr_assert(!world.gets_requests(), "the second entry is overdue");
}

// Guards against requests to the servers of an evacuated failure domain, and against a domain that
// stays unused after the evacuation was withdrawn.
Test(target_view, an_evacuated_domain_gets_no_requests_until_it_returns)
{
    open_group_world world;
    runner app;
    app.id = vm_id{"a-1"};
    app.service = "app";
    app.failure_domain = failure_domain_id{"f"};
    world.registry.update(app, world.now);
    pool plain;
    plain.name = pool_id{"app"};
    plain.service = "app";
    plain.kind = pool_kind::plain;
    world.tables.pools.push_back(plain);
    const auto app_leaves = [&] {
        return targets_of(world.registry, world.tables, world.now).servers.at(0).leaving;
    };
    const std::uint64_t version = world.registry.serving_version();
    cr_assert(world.registry.set_evacuated(failure_domain_id{"f"}, true));
    cr_assert_neq(world.registry.serving_version(), version, "the lists have to be made anew");
    cr_assert(!world.gets_requests() && app_leaves());
    cr_assert(!world.registry.set_evacuated(failure_domain_id{"f"}, true));
    cr_assert(world.registry.set_evacuated(failure_domain_id{"f"}, false));
    cr_assert(world.gets_requests() && !app_leaves());
}

// Guards against requests to a group that has lost a member: one whose entry returned without the
// group has started again, and a head without an entry may be gone.
Test(target_view, a_group_is_not_used_after_a_member_left_it)
{
    open_group_world world;
    world.registry.remove(world.member(2), world.now);
    world.write_entry(2, false);
    cr_assert(!world.gets_requests());
    open_group_world other;
    other.registry.remove(other.member(0), other.now);
    cr_assert(!other.gets_requests());
}

// Guards against requests that overrun a cold server because its state is taken for an old one: a
// change from warm to cold or back must reach the router, counted from when the entry was read.
Test(target_view, a_head_that_becomes_cold_changes_the_lists)
{
    open_group_world world;
    const auto lists = [&] { return targets_of(world.registry, world.tables, world.now); };
    const target_lists warm = lists();
    runner head = world.registry.find(world.member(0))->row;
    head.cold_left = 2s;
    world.registry.update(head, world.now);
    const target_lists cold = lists();
    cr_assert(!cold.same(warm));
    cr_assert(cold.groups.front().cold_until == world.now + 2s);
    world.now += 1s;
    head.places = 4; // another field of the entry changes
    world.registry.update(head, world.now);
    cr_assert(lists().groups.front().cold_until == world.now + 1s);
    head.cold_left = 0s;
    world.registry.update(head, world.now);
    cr_assert(!lists().same(cold));
    cr_assert(lists().groups.front().cold_until <= world.now);
}
