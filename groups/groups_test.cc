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

void expect_sound(const fake_world& world)
{
    for (const std::string& what : world.violations())
        cr_log_error("%s", what.c_str());
    cr_assert(world.violations().empty());
}

} // namespace

Test(thin_path, groups_form_load_and_get_tickets)
{
    fake_world world{{.nodes = 2, .domains = 1, .vms_per_domain = 5}, 1};
    world.install(shared(one_pool(2, 2)));
    world.run(120s);
    expect_sound(world);
    const auto complete = world.complete_everywhere();
    cr_assert_eq(complete.size(), 2);
    const domain_record record = world.record(0);
    cr_assert_eq(record.groups.size(), 2);
    const auto standbys = record.groups[0].standbys.size() + record.groups[1].standbys.size();
    cr_assert_eq(standbys, 1, "the fifth VM is bound ahead of need");
}
