// jaynotch-scenario: runs scenarios and prints the result of each.
//
//   jaynotch-scenario --programs=build scenarios/lost_claim.lua ...
//
// Exit codes: 0 all scenarios passed, 1 a scenario failed, 2 wrong usage.
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "base/environment.h"
#include "scenarios/scenarios.h"

#include <cstdio>

ABSL_FLAG(std::string, programs, "build", "folder of jaynotchd");
ABSL_FLAG(std::string, logs, "build/scenarios", "folder for the daemons' logs");
ABSL_FLAG(bool, notes, false, "print the notes that scenarios make while they run");

namespace jaynotch {
namespace {

bool run_file(const std::string& path, const scenario_options& options)
{
    const scenario_outcome outcome = run_scenario(path, options);
    std::printf("%s %-32s %5.1f s %3llu checks\n", outcome.problems.empty() ? "ok  " : "FAIL",
                outcome.name.c_str(), outcome.seconds,
                static_cast<unsigned long long>(outcome.checks));
    if (!outcome.problems.empty())
        std::printf("%s", outcome.description.c_str());
    for (const auto& problem : outcome.problems)
        std::printf("     %s\n", problem.c_str());
    std::fflush(stdout);
    return outcome.problems.empty();
}

int run_files(const std::vector<char*>& arguments)
{
    if (arguments.size() < 2) {
        std::fprintf(stderr, "jaynotch-scenario: give the scenario files\n");
        return 2;
    }
    const scenario_options options{absl::GetFlag(FLAGS_programs), absl::GetFlag(FLAGS_logs),
                                   absl::GetFlag(FLAGS_notes)};
    std::size_t failed = 0;
    for (std::size_t index = 1; index < arguments.size(); ++index)
        failed += run_file(arguments[index], options) ? 0 : 1;
    if (arguments.size() > 2)
        std::printf("%zu scenarios, %zu failed\n", arguments.size() - 1, failed);
    return failed == 0 ? 0 : 1;
}

} // namespace
} // namespace jaynotch

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("runs scenarios: jaynotch-scenario [flags] FILE.lua ...");
    const auto set = jaynotch::read_environment("scenarios/scenario_main.cc");
    if (!set) {
        std::fprintf(stderr, "jaynotch-scenario: %s\n", to_string(set.error()).c_str());
        return 2;
    }
    return jaynotch::run_files(absl::ParseCommandLine(argc, argv));
}
