// jaynotch-soak: runs random histories on the decision cores of `groups` for a number of steps.
//
//   jaynotch-soak --steps=2000000 --seed=1
//
// Exits with 0 if every invariant held and every history recovered, else with 1 after printing the
// failed seeds.
#include "groups/history.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>

ABSL_FLAG(std::uint64_t, steps, 2'000'000, "total number of steps");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first history; each further one uses the next seed");
ABSL_FLAG(std::uint64_t, history, 2'000, "steps with faults in each history");
ABSL_FLAG(bool, late_orders, false, "let resumed managers send orders past their deadline");

int main(int argc, char** argv)
{
    using namespace jaynotch::groups;
    absl::ParseCommandLine(argc, argv);
    history_options options;
    options.seed = absl::GetFlag(FLAGS_seed);
    options.steps = absl::GetFlag(FLAGS_history);
    options.late_orders = absl::GetFlag(FLAGS_late_orders);
    std::uint64_t done = 0;
    std::size_t failed = 0;
    std::size_t histories = 0;
    std::size_t attainable = 0;
    for (; done < absl::GetFlag(FLAGS_steps); done += options.steps, ++options.seed, ++histories) {
        const history_outcome outcome = run_history(options);
        attainable += outcome.attainable ? 1 : 0;
        if (outcome.violations.empty() && outcome.healed)
            continue;
        ++failed;
        std::printf("seed %llu (%s): %s\n", static_cast<unsigned long long>(options.seed),
                    outcome.shape.c_str(), outcome.healed ? "healed" : "NOT HEALED");
        for (const std::string& what : outcome.violations)
            std::printf("  %s\n", what.c_str());
        std::printf("%s", outcome.end.c_str());
    }
    std::printf("%zu histories (%zu had to heal), %llu steps with faults, %zu failed\n", histories,
                attainable, static_cast<unsigned long long>(done), failed);
    return failed == 0 ? 0 : 1;
}
