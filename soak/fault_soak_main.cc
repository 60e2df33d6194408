// jaynotch-fault-soak: runs daemon processes under random injected faults and checks the guarantees
// that callers rely on.
//
//   jaynotch-fault-soak --programs=build --seeds=1,2,3 --seconds=10
//   jaynotch-fault-soak --from=100 --count=50                    # seeds 100 to 149
//
// Exit codes: 0 no violation, 1 a violation, 2 wrong usage.
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "base/environment.h"
#include "soak/fleet_shape.h"
#include "soak/soak_run.h"

#include <charconv>
#include <cstdio>

ABSL_FLAG(std::string, programs, "build", "folder of jaynotchd");
ABSL_FLAG(std::string, logs, "build/soak", "folder for settings files and the daemons' logs");
ABSL_FLAG(std::vector<std::string>, seeds, {}, "seeds to run, separated by commas");
ABSL_FLAG(std::uint64_t, from, 1, "first seed, if --seeds is empty");
ABSL_FLAG(std::uint64_t, count, 1, "number of seeds, if --seeds is empty");
ABSL_FLAG(std::uint32_t, seconds, 10, "how long faults are injected, for each seed");
ABSL_FLAG(double, faults, 1.2, "mean number of faults started each second");
ABSL_FLAG(std::uint32_t, daemons, 4, "number of entry VMs");
ABSL_FLAG(std::uint32_t, runners, 10, "number of model runners");
ABSL_FLAG(std::uint32_t, callers, 12, "callers");
ABSL_FLAG(double, retry_extra, 134.0, "retries of all entry VMs beyond a fraction of the requests");
ABSL_FLAG(bool, evacuations, true, "failure domains are evacuated too, in some seeds");
ABSL_FLAG(bool, store_returns, true, "the store comes back from copies too, in some seeds");
ABSL_FLAG(bool, key_removals, false,
          "all keys are taken away for some seconds too, and some callers send keys never held");
ABSL_FLAG(bool, pauses, true, "sound servers are paused too");
ABSL_FLAG(bool, silences, false,
          "only connections that fall silent, each time with a change of the configuration and a "
          "server that leaves without a word");
ABSL_FLAG(bool, pause_after_maintenance, false,
          "only planned work, each time followed by a pause of most servers");
ABSL_FLAG(
    std::string, final_outage, "none",
    "all daemons are lost at once at the end: none, kill or power for 1.3 s, or drawn by seed");
ABSL_FLAG(std::uint32_t, cut_off, 0,
          "daemons that reach no runner, from some seconds before the loss of all to the end");
ABSL_FLAG(std::string, cut_how, "drop", "how they are cut off: drop, reset or mute");
ABSL_FLAG(std::uint32_t, cut_before_ms, 4'000, "how long before the loss of all that begins");
ABSL_FLAG(bool, runners_lost_too, false,
          "all runners are lost with the daemons at the end, and others with empty hosts come");
ABSL_FLAG(std::uint32_t, balancer_wait_ms, 300, "flag of the same name of the daemons");
ABSL_FLAG(std::uint32_t, plain_work_ms, 0, "how long a plain server works on a request");
ABSL_FLAG(std::uint32_t, other_routes, 0,
          "routes in the configuration beside those of the callers");
ABSL_FLAG(double, store_link_mbps, 0.0,
          "megabits a second that all answers of the store share; 0: unlimited");
ABSL_FLAG(bool, store_in_turns, false,
          "the store sends one answer after the other, also those that nobody waits for any more");
ABSL_FLAG(
    bool, deployment, false,
    "size of a deployment: 28 daemons in three failure domains, 162 runners in fabric domains "
    "of 18, models of 8 and 2, 1,900 routes; the flags for sizes are ignored");
ABSL_FLAG(std::string, shape, "",
          "size of a fleet: four_nodes, four_nodes_in_twos, medium, four_domains, large_groups, "
          "large; the flags for sizes are ignored, --retry_extra too, and --rate if it is 0");
ABSL_FLAG(double, rate, 0.0,
          "requests a second beside those of --callers, sent whether earlier ones are answered");
ABSL_FLAG(std::uint32_t, daemon_cores, 0, "cores that all daemons share; 0: all");
ABSL_FLAG(double, daemon_quota, 1.0,
          "share of each tenth of a second in which the daemons run, from the first request on");
ABSL_FLAG(bool, story, false, "print each seed's faults, also without a violation");

namespace jaynotch {
namespace {

result<std::optional<planned_fleet_outage>> final_outage(std::uint64_t seed)
{
    const std::string given = absl::GetFlag(FLAGS_final_outage);
    if (given == "none")
        return std::optional<planned_fleet_outage>{};
    planned_fleet_outage planned;
    if (given == "drawn") {
        planned = draw_fleet_outage(seed);
    }
    else {
        const std::optional<fleet_loss> how = from_name<fleet_loss>(given);
        if (!how)
            return error{error_kind::invalid_argument,
                         "--final_outage: \"" + given + "\" is unknown",
                         "give none, drawn, " + list_names<fleet_loss>()};
        planned.how = *how;
    }
    const std::optional<client_cut> cut = from_name<client_cut>(absl::GetFlag(FLAGS_cut_how));
    if (!cut)
        return error{error_kind::invalid_argument, "--cut_how is unknown",
                     "give " + list_names<client_cut>()};
    planned.cut_how = *cut;
    planned.cut_off = absl::GetFlag(FLAGS_cut_off);
    planned.cut_before = std::chrono::milliseconds{absl::GetFlag(FLAGS_cut_before_ms)};
    return std::optional{planned};
}

/// The medium shape with shorter loads and more places at the servers.
void set_deployment_size(soak_site_settings& site)
{
    const std::size_t open_before_traffic = site.open_before_traffic;
    set_shape(site, fleet_shape::medium);
    site.open_before_traffic = open_before_traffic;
    site.model_slots = 30;
    site.configuration.load = std::chrono::milliseconds{4'000};
    site.configuration.warm_up = std::chrono::milliseconds{1'400};
}

result<std::optional<fleet_shape>> chosen_shape()
{
    const std::string given = absl::GetFlag(FLAGS_shape);
    if (given.empty())
        return std::optional<fleet_shape>{};
    const std::optional<fleet_shape> shape = from_name<fleet_shape>(given);
    if (!shape)
        return error{error_kind::invalid_argument, "--shape: \"" + given + "\" is unknown",
                     "give one of " + list_names<fleet_shape>()};
    return shape;
}

bool run_seed(std::uint64_t seed)
{
    soak_settings settings;
    settings.seed = seed;
    settings.callers = absl::GetFlag(FLAGS_callers);
    settings.length = std::chrono::seconds{absl::GetFlag(FLAGS_seconds)};
    settings.faults_per_s = absl::GetFlag(FLAGS_faults);
    settings.evacuations = absl::GetFlag(FLAGS_evacuations);
    settings.store_returns = absl::GetFlag(FLAGS_store_returns);
    settings.key_removals = absl::GetFlag(FLAGS_key_removals);
    settings.site.unknown_keys = settings.key_removals;
    settings.pauses = absl::GetFlag(FLAGS_pauses);
    settings.silences = absl::GetFlag(FLAGS_silences);
    settings.pause_after_maintenance = absl::GetFlag(FLAGS_pause_after_maintenance);
    settings.final_outage = final_outage(seed).value();
    settings.site.program = absl::GetFlag(FLAGS_programs) + "/jaynotchd";
    settings.site.folder = absl::GetFlag(FLAGS_logs) + "/" + std::to_string(seed);
    settings.site.daemons = absl::GetFlag(FLAGS_daemons);
    settings.site.runners = absl::GetFlag(FLAGS_runners);
    settings.site.configuration.other_routes = absl::GetFlag(FLAGS_other_routes);
    settings.runners_lost_too = absl::GetFlag(FLAGS_runners_lost_too);
    settings.site.balancer_wait = std::chrono::milliseconds{absl::GetFlag(FLAGS_balancer_wait_ms)};
    settings.site.plain_work = std::chrono::milliseconds{absl::GetFlag(FLAGS_plain_work_ms)};
    settings.site.daemon_cores = absl::GetFlag(FLAGS_daemon_cores);
    settings.daemon_quota = absl::GetFlag(FLAGS_daemon_quota);
    settings.requests_per_s = absl::GetFlag(FLAGS_rate);
    if (absl::GetFlag(FLAGS_deployment))
        set_deployment_size(settings.site);
    constexpr double bytes_in_megabit = 125'000.0;
    settings.site.store_link_bytes_per_s = absl::GetFlag(FLAGS_store_link_mbps) * bytes_in_megabit;
    if (absl::GetFlag(FLAGS_store_in_turns))
        settings.site.store_link_sharing = link_sharing::turns;
    settings.site.bounds.retry_extra = absl::GetFlag(FLAGS_retry_extra);
    if (const std::optional<fleet_shape> shape = chosen_shape().value()) {
        set_shape(settings.site, *shape);
        if (settings.requests_per_s <= 0.0)
            settings.requests_per_s = usual_rate(*shape);
    }
    const soak_outcome outcome = run_soak(settings);
    std::printf("%s seed %llu: %zu requests, %zu served, %zu faults\n",
                outcome.problems.empty() ? "ok  " : "FAIL", static_cast<unsigned long long>(seed),
                outcome.requests, outcome.successes, outcome.faults.size());
    if (!outcome.problems.empty() || absl::GetFlag(FLAGS_story)) {
        for (const std::string& fault : outcome.faults)
            std::printf("     %s\n", fault.c_str());
        std::printf("     served of sent by second:");
        for (const promise_checker::second_counts& second : outcome.by_second)
            std::printf(" %zu/%zu", second.served, second.sent);
        std::printf("\n");
    }
    for (const std::string& problem : outcome.problems)
        std::printf("  !! %s\n", problem.c_str());
    std::fflush(stdout);
    return outcome.problems.empty();
}

/// The seeds to run; empty if one is not a number.
std::vector<std::uint64_t> parse_seeds()
{
    std::vector<std::uint64_t> seeds;
    for (const std::string& word : absl::GetFlag(FLAGS_seeds)) {
        std::uint64_t seed = 0;
        const auto [end, failed] = std::from_chars(word.data(), word.data() + word.size(), seed);
        if (failed != std::errc{} || end != word.data() + word.size()) {
            std::fprintf(stderr, "jaynotch-fault-soak: --seeds: \"%s\" is not a number\n",
                         word.c_str());
            return {};
        }
        seeds.push_back(seed);
    }
    if (!seeds.empty())
        return seeds;
    for (std::uint64_t done = 0; done < absl::GetFlag(FLAGS_count); ++done)
        seeds.push_back(absl::GetFlag(FLAGS_from) + done);
    return seeds;
}

int run_seeds()
{
    const std::vector<std::uint64_t> seeds = parse_seeds();
    if (seeds.empty())
        return 2;
    if (const auto known = final_outage(seeds.front()); !known) {
        std::fprintf(stderr, "jaynotch-fault-soak: %s\n", to_string(known.error()).c_str());
        return 2;
    }
    if (const auto known = chosen_shape(); !known) {
        std::fprintf(stderr, "jaynotch-fault-soak: %s\n", to_string(known.error()).c_str());
        return 2;
    }
    std::size_t failed = 0;
    for (const std::uint64_t seed : seeds)
        failed += run_seed(seed) ? 0 : 1;
    std::printf("%zu seeds, %zu failed\n", seeds.size(), failed);
    return failed == 0 ? 0 : 1;
}

} // namespace
} // namespace jaynotch

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("runs daemons under random faults: jaynotch-fault-soak [flags]");
    const auto set = jaynotch::read_environment("soak/fault_soak_main.cc");
    if (!set) {
        std::fprintf(stderr, "jaynotch-fault-soak: %s\n", to_string(set.error()).c_str());
        return 2;
    }
    absl::ParseCommandLine(argc, argv);
    return jaynotch::run_seeds();
}
