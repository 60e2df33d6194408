// Tests of the tables library with valid tables, with each kind of mistake, and with random tables.
#include "tables/check.h"
#include "tables/merge.h"
#include "tables/pages.h"
#include "tables/parse.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jaynotch;

namespace {

constexpr std::string_view good_routes = R"(deployment = "apred"

[[route]]
name = "summary"
kind = "chat"
model = "rutas-70b"
workspaces = ["*"]
pool = "rutas"
priority = "critical"

[[route]]
name = "record-change"
kind = "plain"
path_prefix = "/records"
methods = ["POST"]
workspaces = ["*"]
pool = "registry"
repeat = "keyed"
)";

constexpr std::string_view good_pools = R"(deployment = "apred"

[[pool]]
name = "registry"
kind = "plain"
servers = ["127.0.0.1:9001", "[::1]:9002"]

[[pool]]
name = "rutas"
kind = "model"
model = "rutas-70b"
version = "3"
replica_vms = 4
replicas = 6
shares = [{ workspace = "lima", weight = 2.0, max_in_flight = 40 }]
)";

configuration good()
{
    return parse_tables(good_routes, good_pools).value();
}

std::string replaced(std::string_view text, std::string_view old_text, std::string_view new_text)
{
    std::string changed{text};
    const std::size_t at = changed.find(old_text);
    cr_assert(at != std::string::npos, "the test's table lacks what it replaces");
    return changed.replace(at, old_text.size(), new_text);
}

/// An edit that makes the good tables invalid, and the line and field that must be reported.
struct bad_edit {
    bool in_routes;
    std::string_view old_text;
    std::string_view new_text;
    std::uint32_t line;
    std::string_view field;
};

/// Random valid tables.
configuration random_tables(random_source& random)
{
    configuration tables;
    tables.deployment = "d";
    const std::size_t pools = 1 + random.index(20);
    for (std::size_t i = 0; i < pools; ++i) {
        pool row;
        row.name = pool_id{"pool-" + std::to_string(i)};
        row.model = "m" + std::to_string(i);
        row.version = std::to_string(random.index(5));
        row.replica_vms = static_cast<std::uint32_t>(1 + random.index(8));
        row.replicas = static_cast<std::uint32_t>(1 + random.index(50));
        row.weight_down = static_cast<double>(random.index(1000)) / 7.0 + 0.1;
        row.engine_checks_fencing = random.chance(0.5);
        if (random.chance(0.5))
            row.shares.push_back(
                {workspace_id{"w"}, 1.0 + static_cast<double>(random.index(3)), 3});
        tables.pools.push_back(row);
    }
    for (std::size_t i = 0; i < 1 + random.index(40); ++i) {
        route row;
        row.name = route_id{"route-" + std::to_string(i)};
        row.model = "alias-" + std::to_string(i);
        row.workspaces = {"*"};
        row.pool = tables.pools[random.index(pools)].name;
        row.timeout = std::chrono::milliseconds{1 + random.index(10'000)};
        row.repeat = random.chance(0.3) ? repeat_policy::never : repeat_policy::idempotent;
        row.retries = row.repeat == repeat_policy::idempotent ? 2 : 0;
        tables.routes.push_back(row);
    }
    const auto by_name = [](const auto& a, const auto& b) { return a.name < b.name; };
    std::sort(tables.routes.begin(), tables.routes.end(), by_name);
    std::sort(tables.pools.begin(), tables.pools.end(), by_name);
    return tables;
}

} // namespace

Test(parse, good_tables)
{
    const configuration tables = good();
    cr_assert_eq(tables.routes.size(), 2);
    cr_assert_eq(tables.routes[0].name.value(), "record-change");
    cr_assert_eq(tables.routes[0].retries, 0);
    cr_assert_eq(tables.pools[1].shares[0].max_in_flight, 40);
}

// A single mistake must be reported with its file, line and field, since tables may have thousands
// of rows.
Test(parse, each_problem_names_its_line_and_field)
{
    const std::vector<bad_edit> edits{
        {true, "priority = \"critical\"", "prioritty = \"critical\"", 9, "prioritty"},
        {true, "priority = \"critical\"", "priority = \"urgent\"", 9, "priority"},
        {true, "priority = \"critical\"", "retries = -1", 9, "retries"},
        {true, "pool = \"rutas\"", "pool = \"ruts\"", 3, "pool"},
        {true, "pool = \"rutas\"", "pool = \"registry\"", 3, "pool"},
        {true, "priority = \"critical\"", "adapter = \"cusco\"", 3, "adapter"},
        {true, "priority = \"critical\"", "timeout_ms = 0", 3, "timeout_ms"},
        {true, "priority = \"critical\"", "timeout_ms = 700000", 3, "longest_stream_ms"},
        {true, "workspaces = [\"*\"]", "workspaces = \"*\"", 7, "workspaces"},
        {true, "name = \"record-change\"", "name = \"summary\"", 11, "name"},
        {true, "repeat = \"keyed\"", "repeat = \"keyed\"\nretries = 2", 11, "retries"},
        {true, "repeat = \"keyed\"", "repeat = \"keyed\"\nkey_keeping_s = 0", 11, "key_keeping_s"},
        {true, "path_prefix = \"/records\"", "path_prefix = \"records\"", 11, "path_prefix"},
        {true, "deployment = \"apred\"", "deployment = \"fjordgrode\"", 0, "deployment"},
        {true, "[[route]]", "[[rout]]\nx = 1\n[[route]]", 3, "rout"},
        {true, "methods = [\"POST\"]", "methods = []", 15, "methods"},
        {false, "replicas = 6", "replicas = 6\nfabric_domains = []", 15, "fabric_domains"},
        {false, "replica_vms = 4", "replica_vms = 0", 8, "replica_vms"},
        {false, "replica_vms = 4", "replica_vms = 4.5", 13, "replica_vms"},
        {false, "replicas = 6", "replicas = 6\nweight_down = -1.0", 8, "weight_down"},
        {false, "replicas = 6", "replicas = 6\nweight_down = nan", 15, "weight_down"},
        {false, "weight = 2.0", "weight = 0.0", 8, "shares"},
        {false, "weight = 2.0", "wight = 2.0", 0, "wight"},
        {false, "127.0.0.1:9001", "localhost:9001", 3, "servers"},
        {false, "127.0.0.1:9001", "127.0.0.1:99999", 3, "servers"},
    };
    for (const bad_edit& edit : edits) {
        const std::string routes = edit.in_routes
                                       ? replaced(good_routes, edit.old_text, edit.new_text)
                                       : std::string{good_routes};
        const std::string pools = edit.in_routes
                                      ? std::string{good_pools}
                                      : replaced(good_pools, edit.old_text, edit.new_text);
        const table_report report = read_tables(routes, pools);
        const std::string label{edit.new_text};
        cr_assert_eq(report.problems.size(), 1, "%s: %zu problems", label.c_str(),
                     report.problems.size());
        const table_problem& problem = report.problems[0];
        cr_assert_eq(problem.field, edit.field, "%s: field %s", label.c_str(),
                     problem.field.c_str());
        cr_assert(!problem.remedy.empty());
        if (edit.line != 0)
            cr_assert_eq(problem.line, edit.line, "%s: line %u", label.c_str(), problem.line);
    }
}

// Guards against a route that takes every method after its last one was taken away, and against a
// pool that uses all fabric domains after its last one was.
Test(parse, a_list_that_means_all_if_absent_may_not_be_empty)
{
    cr_assert(parse_tables(replaced(good_routes, "methods = [\"POST\"]", ""), good_pools));
    cr_assert(!parse_tables(replaced(good_routes, "[\"POST\"]", "[]"), good_pools));
    const auto with_domains = [](std::string_view list) {
        return replaced(good_pools, "replicas = 6",
                        "replicas = 6\nfabric_domains = " + std::string{list});
    };
    cr_assert(parse_tables(good_routes, with_domains("[\"f-1\"]")));
    cr_assert(!parse_tables(good_routes, with_domains("[]")));
}

Test(parse, broken_toml_and_huge_tables_are_refused)
{
    cr_assert(!parse_tables("deployment = ", good_pools));
    cr_assert(!parse_tables(std::string(max_table_bytes + 1, '#'), good_pools));
    cr_assert(!parse_tables("", ""));
}

Test(parse, problems_are_bounded)
{
    std::string routes = "deployment = \"apred\"\n";
    for (int i = 0; i < 1000; ++i)
        routes += "[[route]]\nname = \"r\"\n";
    cr_assert_eq(read_tables(routes, good_pools).problems.size(), max_problems);
}

// With two routes that match the same requests, the tables do not say which of them applies. The
// problem must name the other route.
Test(check, two_routes_that_match_the_same_requests_are_refused)
{
    const std::string routes = std::string{good_routes} +
                               "\n[[route]]\nname = \"twin\"\n"
                               "kind = \"chat\"\nmodel = \"rutas-70b\"\n"
                               "workspaces = [\"*\"]\npool = \"rutas\"\n";
    const table_report report = read_tables(routes, good_pools);
    cr_assert_eq(report.problems.size(), 1);
    cr_assert(report.problems[0].message.find("summary") != std::string::npos);
}

Test(check, a_replica_larger_than_its_fabric_domains_is_reported)
{
    const table_report report = read_tables(good_routes, good_pools);
    const std::vector<fabric_domain_size> small{{fabric_domain_id{"f1"}, 3}};
    const std::vector<fabric_domain_size> fits{{fabric_domain_id{"f1"}, 4}};
    cr_assert_eq(check_fleet(report, small).size(), 1);
    cr_assert(check_fleet(report, fits).empty());
}

Test(render, reading_back_gives_the_same_tables)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        random_source random{seed};
        const configuration tables = random_tables(random);
        const auto back = parse_tables(render_routes(tables), render_pools(tables));
        cr_assert(back.has_value(), "seed %lu: %s", seed,
                  back ? "" : to_string(back.error()).c_str());
        cr_assert(back.value() == tables, "seed %lu", seed);
    }
}

Test(pages, round_trip)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        random_source random{seed};
        const configuration tables = random_tables(random);
        const paged_tables paged = to_pages(tables).value();
        cr_assert(from_pages(paged.manifest, paged.pages).value() == tables, "seed %lu", seed);
        cr_assert_eq(referenced_digests(paged.manifest).size(), paged.pages.size());
    }
}

// Nodes fetch only pages with new digests. If one changed row gave several new pages, each change
// would transfer more data than necessary.
Test(pages, one_changed_row_changes_one_page)
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        random_source random{seed};
        configuration tables = random_tables(random);
        const auto before = referenced_digests(to_pages(tables).value().manifest);
        tables.pools[random.index(tables.pools.size())].replicas += 1;
        const auto after = referenced_digests(to_pages(tables).value().manifest);
        std::vector<std::string> new_digests;
        std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                            std::back_inserter(new_digests));
        cr_assert_eq(new_digests.size(), 1);
    }
}

// A peer may deliver a truncated or altered page. If it were accepted, this node would route by
// tables that no operator applied.
Test(pages, a_forged_truncated_or_missing_page_is_refused)
{
    const paged_tables paged = to_pages(good()).value();
    for (std::size_t i = 0; i < paged.pages.size(); ++i) {
        auto forged = paged.pages;
        forged[i].bytes.back() = ' ';
        cr_assert(!from_pages(paged.manifest, forged));
        auto truncated = paged.pages;
        truncated[i].bytes.pop_back();
        cr_assert(!from_pages(paged.manifest, truncated));
        auto missing = paged.pages;
        missing.erase(missing.begin() + static_cast<std::ptrdiff_t>(i));
        cr_assert(!from_pages(paged.manifest, missing));
    }
}

// Two operators edit the tables concurrently. Edits of different rows are both applied; a second,
// different edit of the same row is refused as a conflict.
Test(merge, different_rows_merge_and_the_same_row_conflicts)
{
    const configuration base = good();
    configuration theirs = base;
    theirs.pools[1].replicas = 7;
    configuration ours = base;
    ours.routes[1].priority = priority_class::batch;
    const configuration merged = merge(base, theirs, ours).value();
    cr_assert_eq(merged.pools[1].replicas, 7);
    cr_assert(merged.routes[1].priority == priority_class::batch);

    ours.pools[1].replicas = 9;
    const auto refused = merge(base, theirs, ours);
    cr_assert(!refused && refused.error().kind == error_kind::conflict);
    cr_assert(refused.error().message.find("pools/rutas") != std::string::npos);
    ours.pools[1].replicas = 7;
    cr_assert(merge(base, theirs, ours).has_value(), "the same edit on both sides is no conflict");
}

// One operator removes a pool while another adds a route to it. No row is edited twice, but the
// merged tables would contain a route to a missing pool.
Test(merge, a_route_to_a_removed_pool_is_refused)
{
    const configuration base = good();
    configuration theirs = base;
    theirs.routes.erase(theirs.routes.begin());
    theirs.pools.erase(theirs.pools.begin());
    configuration ours = base;
    route added = base.routes[0];
    added.name = route_id{"late"};
    added.path_prefix = "/late";
    ours.routes.insert(ours.routes.begin(), added);
    const auto refused = merge(base, theirs, ours);
    cr_assert(!refused && refused.error().kind == error_kind::invalid_table);
}

// For random edits of two operators, the merge must fail exactly if they conflict, and must
// otherwise contain the edits of both.
Test(merge, agrees_with_applying_diffs_one_after_another)
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        random_source random{seed};
        const configuration base = random_tables(random);
        configuration theirs = base;
        configuration ours = base;
        for (pool& row : theirs.pools)
            row.replicas += random.chance(0.3) ? 1 : 0;
        for (pool& row : ours.pools)
            row.replica_vms += random.chance(0.3) ? 1 : 0;
        const auto merged = merge(base, theirs, ours);
        const bool has_conflict = !conflicts(base, theirs, ours).empty();
        cr_assert_eq(merged.has_value(), !has_conflict, "seed %lu", seed);
        if (has_conflict)
            continue;
        const std::size_t edits = diff(base, theirs).size() + diff(base, ours).size();
        cr_assert_eq(diff(base, merged.value()).size(), edits, "seed %lu", seed);
    }
}
