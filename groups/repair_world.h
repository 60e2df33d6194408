// The driver of the repair benchmark: one manager for each fabric domain over fake engines, fed a
// seeded schedule of faults on a clock of its own. No network, no other daemons.
#pragma once

#include "groups/fake_fleet.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace jaynotch::groups {

/// A fleet and how it fails, at the rates of the target fleet for each VM.
struct repair_options {
    std::uint64_t seed = 1;
    std::size_t domains = 2;
    std::size_t vms_per_domain = 25;
    std::uint32_t replica_vms = 4;
    std::uint32_t replicas = 11;
    std::uint32_t accelerators = 2; ///< of a VM
    double weight_down = 1.0;
    double weight_idle = 1.0;
    std::chrono::hours span{24 * 14};
};

enum class vm_change { fail, notice_leaving, leave, pause, resume, arrive };

/// One change of one VM.
struct scheduled_fault {
    time_point at;
    vm_change change = vm_change::fail;
    std::size_t vm = 0; ///< index in the fleet; an arrival is a new VM in its place
};

/// What a policy paid.
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

/// Random failures, planned replacements, pauses, lost racks and lost domains, in order of time.
std::vector<scheduled_fault> make_schedule(const repair_options& options);

/// The decision core on the schedule.
repair_cost run_manager(const repair_options& options,
                        const std::vector<scheduled_fault>& schedule);
/// First fit: a lost member's place goes to the first free VM once it is gone; nothing is prepared.
repair_cost run_first_fit(const repair_options& options,
                          const std::vector<scheduled_fault>& schedule);
/// A repair that knows every fault beforehand and loads in no time: as many whole groups as the
/// live VMs of each domain allow, at every moment. No policy can cost less.
repair_cost run_lower_bound(const repair_options& options,
                            const std::vector<scheduled_fault>& schedule);

} // namespace jaynotch::groups
