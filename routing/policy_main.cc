// Simulates the request core's policies and baselines, and prints a report in Markdown or JSON.
//
//   jaynotch-policy                     the whole report
//   jaynotch-policy --part=overload     one part: overload, limits, faults, recovery,
//                                       prefixes, sizes, nodes
//   jaynotch-policy --json              one JSON object per line
//
// The engines are simulated (policy_engine.h); the request cores are the production code. The rows
// of one part use the same seed and so the same arrivals.
#include "routing/policy_run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json.hpp>

#include <cstdio>

ABSL_FLAG(std::string, part, "",
          "print only this part: overload, limits, faults, recovery, prefixes, sizes, nodes");
ABSL_FLAG(bool, json, false, "print JSON lines instead of Markdown");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the workload and of the request cores");
ABSL_FLAG(double, seconds, 90.0, "simulated time of a run, seconds");

namespace jaynotch::policy {

namespace {

struct named_policy {
    std::string name;
    run_options options;
};

run_options base()
{
    run_options made;
    made.seed = absl::GetFlag(FLAGS_seed);
    made.seconds = absl::GetFlag(FLAGS_seconds);
    made.warm_up = made.seconds / 6;
    made.fault_at = made.seconds / 3;
    return made;
}

/// Throughput of one engine with the maximum number of requests in flight that the pool allows.
double capacity_of(const run_options& options)
{
    return closed_loop_rate(options.engine, static_cast<int>(options.in_flight_per_group));
}

std::vector<named_policy> policies(const run_options& from)
{
    std::vector<named_policy> made;
    made.push_back({"jaynotch", from});
    run_options round_robin = from;
    round_robin.pick = pick_policy::round_robin;
    made.push_back({"round robin", round_robin});
    run_options least_own = from;
    least_own.pick = pick_policy::least_own;
    made.push_back({"least own in flight", least_own});
    run_options no_admission = from;
    no_admission.admission = false;
    made.push_back({"no admission", no_admission});
    run_options plain_retries = no_admission;
    plain_retries.retry_budget = false;
    plain_retries.retries = 3;
    plain_retries.client_retries = 3;
    made.push_back({"no admission, plain retries", plain_retries});
    return made;
}

void print_header(const std::string& title)
{
    if (absl::GetFlag(FLAGS_json))
        return;
    std::printf("\n### %s\n\n", title.c_str());
    std::printf(
        "| case | policy | offered/s | goodput/s | refused | failed or late | refusal after "
        "| first token p50 | p95 | p99 | small workspaces p95 | gap p95 | prefix hits |\n"
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

run_report print_row(const std::string& label, const named_policy& policy)
{
    run_report result = run(policy.options);
    if (absl::GetFlag(FLAGS_json)) {
        const boost::json::object line{{"case", label},
                                       {"policy", policy.name},
                                       {"offered", result.offered},
                                       {"goodput", result.goodput},
                                       {"refused", result.refused},
                                       {"late", result.late},
                                       {"refused_after_s", result.refused_after_s},
                                       {"first_p50_s", result.first_p50_s},
                                       {"first_p95_s", result.first_p95_s},
                                       {"first_p99_s", result.first_p99_s},
                                       {"small_p95_s", result.small_workspaces_p95_s},
                                       {"gap_p95_s", result.gap_p95_s},
                                       {"hit_share", result.hit_share},
                                       {"retries", result.retries},
                                       {"resumes", result.resumes},
                                       {"ejections", result.ejections}};
        std::printf("%s\n", boost::json::serialize(line).c_str());
    }
    else {
        std::printf(
            "| %s | %s | %.1f | %.1f | %.1f%% | %.1f%% | %.0f ms | %.0f ms | %.0f ms | %.0f "
            "ms | %.0f ms | %.0f ms | %.1f%% |\n",
            label.c_str(), policy.name.c_str(), result.offered, result.goodput,
            result.refused * 100, result.late * 100, result.refused_after_s * 1'000,
            result.first_p50_s * 1'000, result.first_p95_s * 1'000, result.first_p99_s * 1'000,
            result.small_workspaces_p95_s * 1'000, result.gap_p95_s * 1'000,
            result.hit_share * 100);
    }
    std::fflush(stdout);
    return result;
}

std::string times(double multiple)
{
    char text[16];
    std::snprintf(text, sizeof text, "%.1fx", multiple);
    return text;
}

void part_overload()
{
    print_header("Load from half to four times capacity: 6 groups, 4 entry nodes");
    run_options options = base();
    const double capacity = capacity_of(options) * options.groups;
    for (const double multiple : {0.5, 1.0, 1.5, 2.0, 4.0}) {
        options.offered = capacity * multiple;
        for (const named_policy& policy : policies(options))
            print_row(times(multiple), policy);
    }
}

void part_limits()
{
    print_header("A pool whose max_in_flight is four times what its engines batch: 6 groups");
    run_options options = base();
    const double capacity = capacity_of(options) * options.groups;
    options.in_flight_per_group = options.engine.batch * 4;
    for (const double multiple : {0.5, 1.0, 2.0, 4.0}) {
        options.offered = capacity * multiple;
        run_options fixed = options;
        fixed.adaptive = false;
        print_row(times(multiple), {"jaynotch", options});
        print_row(times(multiple), {"limit as written", fixed});
    }
}

void part_faults()
{
    print_header("Faults at 0.6 times capacity: 6 groups, 4 entry nodes");
    for (const int lost : {0, 1, 2}) {
        run_options options = base();
        options.offered = capacity_of(options) * options.groups * 0.6;
        options.lost_groups = lost;
        for (const named_policy& policy : policies(options))
            print_row(std::to_string(lost) + " lost", policy);
    }
    run_options options = base();
    options.offered = capacity_of(options) * options.groups * 0.6;
    options.stragglers = 1;
    for (const named_policy& policy : policies(options))
        print_row("1 straggler", policy);
}

void part_recovery()
{
    constexpr int runs = 12;
    if (!absl::GetFlag(FLAGS_json)) {
        std::printf(
            "\n### Recovery after lost groups of 6, over %d runs, entry nodes notified after 0.5 s"
            "\n\n| lost | offered | policy | goodput back at 95%% after |\n|---|---|---|---|\n",
            runs);
    }
    for (const double multiple : {0.6, 1.0, 2.0}) {
        for (const int lost : {1, 2}) {
            run_options options = base();
            options.offered = capacity_of(options) * options.groups * multiple;
            options.lost_groups = lost;
            for (const named_policy& policy : policies(options)) {
                const double after_s = recovery_s(policy.options, runs);
                if (absl::GetFlag(FLAGS_json))
                    std::printf(
                        "{\"lost\":%d,\"offered\":%.1f,\"policy\":\"%s\",\"recovery_s\":%.2f}\n",
                        lost, multiple, policy.name.c_str(), after_s);
                else
                    std::printf("| %d | %s | %s | %.2f s |\n", lost, times(multiple).c_str(),
                                policy.name.c_str(), after_s);
            }
        }
    }
}

void part_prefixes()
{
    print_header("Prefix hits at 0.7 times capacity, compared with an ideal router");
    for (const int groups : {3, 6, 50}) {
        run_options options = base();
        options.groups = groups;
        options.offered = capacity_of(options) * groups * 0.7;
        run_options ideal = options;
        ideal.ideal_router = true;
        run_options without = options;
        without.use_prefixes = false;
        run_options no_events = options;
        no_events.cache_events = false;
        const std::string label = std::to_string(groups) + " groups";
        print_row(label, {"all-knowing", ideal});
        print_row(label, {"jaynotch", options});
        print_row(label, {"without cache events", no_events});
        print_row(label, {"without prefixes", without});
        if (groups != 6)
            continue;
        ideal.offered = options.offered = capacity_of(options) * groups * 2.0;
        print_row("6 groups, 2.0x", {"all-knowing", ideal});
        print_row("6 groups, 2.0x", {"jaynotch", options});
    }
}

void part_sizes()
{
    print_header("Pools of 1, 3, 6 and 200 groups at 0.7 and 2 times capacity, 4 entry nodes");
    for (const int groups : {1, 3, 6, 200}) {
        for (const double multiple : {0.7, 2.0}) {
            run_options options = base();
            options.groups = groups;
            options.seconds = groups > 100 ? 50.0 : options.seconds;
            options.warm_up = options.seconds / 6;
            options.offered = capacity_of(options) * groups * multiple;
            print_row(std::to_string(groups) + " groups, " + times(multiple),
                      {"jaynotch", options});
        }
    }
}

void part_nodes()
{
    print_header("1, 4 and 16 entry nodes with lagged load: 6 groups at 0.8 and 2 times capacity");
    for (const int nodes : {1, 4, 16}) {
        for (const double multiple : {0.8, 2.0}) {
            run_options options = base();
            options.nodes = nodes;
            options.offered = capacity_of(options) * options.groups * multiple;
            print_row(std::to_string(nodes) + " nodes, " + times(multiple), {"jaynotch", options});
            options.pick = pick_policy::least_own;
            print_row(std::to_string(nodes) + " nodes, " + times(multiple),
                      {"least own in flight", options});
        }
    }
}

int print_report()
{
    const std::string part = absl::GetFlag(FLAGS_part);
    if (!absl::GetFlag(FLAGS_json)) {
        const double rate = capacity_of(base());
        std::printf("Capacity of one modelled engine: %.2f requests a second.\n", rate);
    }
    bool known = false;
    const auto do_part = [&](const char* name, void (*print)()) {
        if (!part.empty() && part != name)
            return;
        known = true;
        print();
    };
    do_part("overload", part_overload);
    do_part("limits", part_limits);
    do_part("faults", part_faults);
    do_part("recovery", part_recovery);
    do_part("prefixes", part_prefixes);
    do_part("sizes", part_sizes);
    do_part("nodes", part_nodes);
    if (!known)
        std::fprintf(
            stderr,
            "no part \"%s\"; choose overload, limits, faults, recovery, prefixes, sizes or nodes\n",
            part.c_str());
    return known ? 0 : 2;
}

} // namespace

} // namespace jaynotch::policy

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    return jaynotch::policy::print_report();
}
