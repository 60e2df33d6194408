// jaynotch-repair: compares the costs of repair on a seeded schedule of faults with a first-fit
// policy and a lower bound. Prints a Markdown table.
//
//   jaynotch-repair --days=14 --seed=1
#include "groups/repair_world.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <cstdio>
#include <string>

ABSL_FLAG(int, days, 14, "length of the schedule in days for 50 VMs");
ABSL_FLAG(int, large_days, 2, "length of the schedule in days for 1,600 VMs; 0 skips it");
ABSL_FLAG(bool, domain_loss, false,
          "only report the record writes after the loss of a failure domain");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the schedule");

namespace {

using namespace jaynotch::groups;

void report(const char* name, const repair_options& options)
{
    const auto schedule = make_schedule(options);
    const auto started = std::chrono::steady_clock::now();
    const repair_cost manager_cost = run_manager(options, schedule);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started;
    const repair_cost first_fit_cost = run_first_fit(options, schedule);
    const repair_cost lower_bound = run_lower_bound(options, schedule);
    const auto line = [&](const char* policy, const repair_cost& cost) {
        std::printf("| %s | %s | %.0f | %.0f | %.0f | %.2f |\n", name, policy,
                    cost.group_seconds_down, cost.accelerator_seconds_idle, cost.weighted(options),
                    cost.weighted(options) / lower_bound.weighted(options));
    };
    line("jaynotch", manager_cost);
    line("first fit", first_fit_cost);
    line("bound", lower_bound);
    std::fprintf(stderr,
                 "%s: %zu changes, %llu writes, most a second %llu, ran %.1f s; first fit / ours: "
                 "down %.2f, idle %.2f\n",
                 name, schedule.size(), static_cast<unsigned long long>(manager_cost.record_writes),
                 static_cast<unsigned long long>(manager_cost.max_writes_per_second),
                 elapsed.count(),
                 first_fit_cost.group_seconds_down / manager_cost.group_seconds_down,
                 first_fit_cost.accelerator_seconds_idle / manager_cost.accelerator_seconds_idle);
}

/// All VMs of a failure domain of five fabric domains fail at once and are replaced an hour later.
void report_domain_loss()
{
    repair_options options;
    options.domains = 25;
    options.vms_per_domain = 64;
    options.replica_vms = 8;
    options.replicas = 185;
    options.span = std::chrono::hours{2};
    std::vector<scheduled_fault> schedule;
    const jaynotch::time_point lost{std::chrono::hours{1} + std::chrono::minutes{30}};
    for (const auto change : {vm_change::fail, vm_change::arrive}) {
        for (std::size_t vm = 0; vm < 5 * options.vms_per_domain; ++vm)
            schedule.push_back({lost + (change == vm_change::fail ? std::chrono::minutes{0}
                                                                  : std::chrono::minutes{60}),
                                change, vm});
    }
    const repair_cost cost = run_manager(options, schedule);
    std::fprintf(stderr, "failure domain lost: %llu writes, most a second %llu\n",
                 static_cast<unsigned long long>(cost.record_writes),
                 static_cast<unsigned long long>(cost.max_writes_per_second));
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_domain_loss)) {
        report_domain_loss();
        return 0;
    }
    std::printf(
        "| fleet | policy | group-s down | accelerator-s idle | weighted cost | of bound |\n"
        "| --- | --- | --- | --- | --- | --- |\n");
    for (const bool apred : {false, true}) {
        repair_options small;
        small.seed = absl::GetFlag(FLAGS_seed);
        small.span = std::chrono::hours{24 * absl::GetFlag(FLAGS_days)};
        small.weight_down = apred ? 20.0 : 2.0;
        small.weight_idle = apred ? 1.0 : 5.0;
        report(apred ? "APRED, 50" : "Fjordgrøde, 50", small);
        repair_options large = small;
        large.domains = 25;
        large.vms_per_domain = 64;
        large.replica_vms = 8;
        large.replicas = 185;
        large.span = std::chrono::hours{24 * absl::GetFlag(FLAGS_large_days)};
        if (absl::GetFlag(FLAGS_large_days) > 0)
            report(apred ? "APRED, 1,600" : "Fjordgrøde, 1,600", large);
    }
    return 0;
}
