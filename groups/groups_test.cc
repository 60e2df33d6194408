#include "groups/fake_world.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jaynotch;
using namespace jaynotch::groups;

namespace {

configuration one_pool(std::uint32_t replicas, std::uint32_t vms)
{
    configuration tables;
    tables.deployment = "fake";
    tables.revision = config_revision{1};
    pool row;
    row.name = pool_id{"prices"};
    row.model = "llm";
    row.version = "v1";
    row.replica_vms = vms;
    row.replicas = replicas;
    tables.pools.push_back(row);
    return tables;
}

std::shared_ptr<const configuration> shared(configuration tables)
{
    return std::make_shared<const configuration>(std::move(tables));
}

void expect_no_violations(const fake_world& world)
{
    for (const std::string& what : world.violations())
        cr_log_error("%s", what.c_str());
    cr_assert(world.violations().empty());
}

} // namespace

Test(group_formation, groups_form_load_and_get_tickets)
{
    fake_world world{{.nodes = 2, .domains = 1, .vms_per_domain = 5}, 1};
    world.install(shared(one_pool(2, 2)));
    world.run(120s);
    expect_no_violations(world);
    const auto complete = world.complete_everywhere();
    cr_assert_eq(complete.size(), 2);
    const domain_record record = world.record(0);
    cr_assert_eq(record.groups.size(), 2);
    const auto standbys = record.groups[0].standbys.size() + record.groups[1].standbys.size();
    cr_assert_eq(standbys, 1, "the fifth VM is bound as a standby");
}

namespace {

std::size_t complete_in(const fake_world& world)
{
    const auto complete = world.complete_on(0);
    return static_cast<std::size_t>(
        std::count_if(complete.begin(), complete.end(),
                      [](const complete_group& group) { return !group.draining; }));
}

} // namespace

// Guards against a replica that stays down although a VM is idle: a member dies while the platform
// is unreachable, so no record can be written to replace it. The group must switch to the standby
// that was bound before.
Test(group_repair, a_bound_standby_replaces_a_member_while_the_platform_is_unreachable)
{
    fake_world world{{.nodes = 2, .domains = 1, .vms_per_domain = 3}, 3};
    world.install(shared(one_pool(1, 2)));
    world.run(120s);
    cr_assert_eq(complete_in(world), 1);
    const domain_record before = world.record(0);
    world.platform_down(true);
    world.run(30s);
    cr_assert_eq(complete_in(world), 1, "tickets are renewed without the platform");
    const vm_id lost = before.groups[0].members[1].vm;
    world.kill(lost);
    world.run(180s);
    const auto complete = world.complete_on(0);
    cr_assert_eq(complete.size(), 1);
    cr_assert(complete[0].members[1] == before.groups[0].standbys[0].vm);
    cr_assert(world.record(0) == before, "nothing was written");
    world.platform_down(false);
    world.run(60s);
    cr_assert(world.record(0).groups[0].members[1].vm == complete[0].members[1],
              "the record follows once it can be written");
    cr_assert_eq(complete_in(world), 1);
    expect_no_violations(world);
}

// A member does not respond for ten seconds and then continues. The group must be complete again at
// once and the loading standby be released, without a second interruption by a switch.
Test(group_repair, a_member_back_from_a_pause_keeps_its_place)
{
    fake_world world{{.nodes = 2, .domains = 1, .vms_per_domain = 3}, 4};
    world.install(shared(one_pool(1, 2)));
    world.run(120s);
    const domain_record before = world.record(0);
    const vm_id paused = before.groups[0].members[1].vm;
    const vm_id standby = before.groups[0].standbys[0].vm;
    world.engine(paused).paused_until = world.now() + 10s;
    world.run(9s);
    cr_assert_eq(complete_in(world), 0);
    cr_assert(world.engine(standby).current_report.state == member_state::loading);
    world.run(30s);
    cr_assert_eq(complete_in(world), 1);
    cr_assert(world.record(0).groups == before.groups);
    cr_assert(world.engine(standby).current_report.group.value().empty());
    expect_no_violations(world);
}

// A new version is rolled out. There must be a complete group at every step: the old one serves
// until the new one has loaded.
Test(group_repair, the_old_version_serves_until_the_new_one_is_complete)
{
    fake_world world{{.nodes = 1, .domains = 1, .vms_per_domain = 4}, 5};
    world.install(shared(one_pool(1, 2)));
    world.run(120s);
    cr_assert_eq(complete_in(world), 1);
    configuration tables = one_pool(1, 2);
    tables.pools[0].version = "v2";
    world.install(shared(tables));
    for (int step = 0; step < 800; ++step) {
        world.step();
        cr_assert(complete_in(world) >= 1, "no group at step %d", step);
    }
    const auto complete = world.complete_on(0);
    cr_assert_eq(complete.size(), 1);
    cr_assert(complete[0].version == "v2");
    expect_no_violations(world);
}

// A VM is announced to leave. There must be a complete group at every step: a new one is built
// before the VM leaves.
Test(group_repair, a_leaving_vm_is_replaced_before_it_leaves)
{
    fake_world world{{.nodes = 1, .domains = 1, .vms_per_domain = 5}, 6};
    world.install(shared(one_pool(1, 2)));
    world.run(120s);
    const vm_id leaves = world.record(0).groups[0].members[0].vm;
    world.engine(leaves).row.leaving = true;
    world.engine(leaves).row.leaves_in = 100s;
    for (int step = 0; step < 600; ++step) {
        world.step();
        cr_assert(complete_in(world) >= 1, "no group at step %d", step);
        if (step == 400)
            world.kill(leaves);
    }
    expect_no_violations(world);
}

// An engine accepts every order and executes none. Its group must not wait forever: the VM is
// quarantined after several orders without effect, and another VM replaces it.
Test(group_repair, an_engine_that_ignores_accepted_orders_is_replaced)
{
    fake_world world{{.nodes = 1, .domains = 1, .vms_per_domain = 3}, 7};
    const vm_id idle{"vm-0-2"};
    world.engine(idle).fault = engine_fault::ignores_orders;
    world.install(shared(one_pool(1, 2)));
    world.run(240s);
    const auto complete = world.complete_on(0);
    cr_assert_eq(complete.size(), 1);
    cr_assert(std::find(complete[0].members.begin(), complete[0].members.end(), idle) ==
              complete[0].members.end());
    expect_no_violations(world);
}
