// Safety is checked after each step, liveness at the end: once no more faults are injected, all
// groups for which there are enough VMs must be complete within `recovery_time`. Otherwise a fault
// has caused damage that no manager repairs.
#include "groups/history.h"

#include "groups/fake_world.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

constexpr duration recovery_time = 900s;

configuration random_tables(random_source& random, const world_options& world)
{
    configuration tables;
    tables.deployment = "fake";
    tables.revision = config_revision{1};
    const std::size_t vms = world.vms_per_domain * world.domains;
    std::size_t left = vms - vms / 4;
    for (const char* name : {"prices", "ducts"}) {
        pool row;
        row.name = pool_id{name};
        row.model = name;
        row.version = "v1";
        row.replica_vms = static_cast<std::uint32_t>(random.between(1, 3));
        const std::size_t most = std::max<std::size_t>(1, left / row.replica_vms / 2);
        row.replicas = static_cast<std::uint32_t>(1 + random.index(most));
        row.rank = static_cast<std::uint32_t>(random.index(2));
        row.weight_down = 1.0 + 9.0 * random.unit();
        row.weight_idle = random.unit();
        left -= std::min<std::size_t>(left, row.replicas * row.replica_vms);
        tables.pools.push_back(row);
    }
    return tables;
}

void change_tables(configuration& tables, random_source& random)
{
    tables.revision = config_revision{tables.revision.value() + 1};
    pool& row = tables.pools[random.index(tables.pools.size())];
    switch (random.index(3)) {
    case 0:
        row.version = "v" + std::to_string(tables.revision.value());
        break;
    case 1:
        row.adapters = {"a" + std::to_string(tables.revision.value())};
        break;
    default:
        row.replicas = std::max<std::uint32_t>(1, row.replicas + (random.chance(0.5) ? 1 : 0) -
                                                      (random.chance(0.5) ? 1 : 0));
        break;
    }
}

bool all_complete(const fake_world& world, const configuration& tables)
{
    const auto complete = world.complete_everywhere();
    return std::all_of(tables.pools.begin(), tables.pools.end(), [&](const pool& row) {
        const auto count =
            std::count_if(complete.begin(), complete.end(), [&](const complete_group& group) {
                return group.pool == row.name && group.version == row.version &&
                       group.adapters == row.adapters && !group.draining;
            });
        return static_cast<std::size_t>(count) >= row.replicas;
    });
}

/// Whether the VMs suffice for all groups even in the worst packing into fabric domains.
bool enough_vms(const configuration& tables, const world_options& world)
{
    std::size_t needed = 0;
    std::size_t largest = 1;
    for (const pool& row : tables.pools) {
        needed += row.replicas * row.replica_vms;
        largest = std::max<std::size_t>(largest, row.replica_vms);
    }
    return needed + world.domains * (largest - 1) <= world.domains * world.vms_per_domain;
}

} // namespace

history_outcome run_history(const history_options& options)
{
    random_source random{options.seed};
    world_options shape;
    shape.nodes = 1 + random.index(4);
    shape.domains = 1 + random.index(3);
    shape.vms_per_domain = 3 + random.index(6);
    shape.engines_check_fencing = random.chance(0.5);
    shape.faults_per_step = options.faults_per_step * random.unit();
    configuration tables = random_tables(random, shape);

    history_outcome outcome;
    outcome.shape = std::to_string(shape.nodes) + " nodes, " + std::to_string(shape.domains) +
                    " domains of " + std::to_string(shape.vms_per_domain) +
                    (shape.engines_check_fencing ? "" : ", engines ignore fencing");
    for (const pool& row : tables.pools)
        outcome.shape +=
            ", " + std::to_string(row.replicas) + " of " + std::to_string(row.replica_vms) + " VMs";

    fake_world world{shape, options.seed ^ 0x9e3779b97f4a7c15ULL};
    world.send_late_orders(options.late_orders);
    world.install(std::make_shared<const configuration>(tables));
    for (std::size_t step = 0; step < options.steps; ++step) {
        if (random.chance(0.002)) {
            change_tables(tables, random);
            world.install(std::make_shared<const configuration>(tables));
        }
        world.step();
        if (!world.violations().empty())
            break;
    }
    world.heal();
    outcome.attainable = enough_vms(tables, shape);
    for (const time_point end = world.now() + recovery_time; world.now() < end && !outcome.healed;)
    {
        world.run(10s);
        outcome.healed = !outcome.attainable || all_complete(world, tables);
    }
    outcome.violations = world.violations();
    if (!outcome.violations.empty() || !outcome.healed)
        outcome.end = world.describe();
    return outcome;
}

} // namespace jaynotch::groups
