// The simulation of the repair benchmark: one manager for each fabric domain over fake engines,
// with a seeded schedule of faults on a simulated clock. Neither the network nor other daemons are
// modelled.
#pragma once

#include "groups/fake_fleet.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace jaynotch::groups {

/// A fleet. Its VMs fail at the rates of the target fleet.
struct repair_options {
    std::uint64_t seed = 1;
    std::size_t domains = 2;
    std::size_t vms_per_domain = 25;
    std::uint32_t replica_vms = 4;  ///< VMs of each replica
    std::uint32_t replicas = 11;    ///< wanted, in all domains
    std::uint32_t accelerators = 2; ///< of each VM
    double weight_down = 1.0;       ///< cost of a group-second down
    double weight_idle = 1.0;       ///< cost of an idle accelerator-second
    std::chrono::hours span{24 * 14};
};

/// The changes that a schedule makes to a VM.
enum class vm_change { fail, notice_leaving, leave, pause, resume, arrive };

/// One change of one VM.
struct scheduled_fault {
    time_point at;
    vm_change change = vm_change::fail;
    std::size_t vm = 0; ///< index in the fleet; an arrival is a new VM with the same index
};

/// The costs of a repair policy over a schedule.
struct repair_cost {
    double group_seconds_down = 0.0;
    double accelerator_seconds_idle = 0.0;
    std::uint64_t record_writes = 0;
    std::uint64_t max_writes_per_second = 0;

    [[nodiscard]] double weighted(const repair_options& options) const
    {
        return options.weight_down * group_seconds_down +
               options.weight_idle * accelerator_seconds_idle;
    }
};

/// Generates failures, planned replacements, pauses, and losses of racks and of fabric domains,
/// sorted by time.
std::vector<scheduled_fault> make_schedule(const repair_options& options);

/// Costs of the decision core on the schedule.
repair_cost run_manager(const repair_options& options,
                        const std::vector<scheduled_fault>& schedule);
/// Costs of the first-fit policy: the first free VM replaces a member after its loss; no standby is
/// prepared in advance.
repair_cost run_first_fit(const repair_options& options,
                          const std::vector<scheduled_fault>& schedule);
/// A lower bound on the costs of any policy: at every moment as many complete groups as the live
/// VMs of each domain allow, as if every fault were known in advance and loads took no time.
repair_cost run_lower_bound(const repair_options& options,
                            const std::vector<scheduled_fault>& schedule);

} // namespace jaynotch::groups
