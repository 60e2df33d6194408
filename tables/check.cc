// Each row is checked on its own, and the rows against each other. A rule belongs here if a table
// that violates it cannot be served as intended: a reference to a missing pool, two routes that
// match the same requests, contradictory limits. What depends on the current fleet is left to
// check_fleet, since VMs come and go.
#include "tables/check.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace jaynotch {

namespace {

constexpr std::size_t max_name_length = 63;
constexpr std::uint32_t max_replica_vms = 64;
constexpr std::uint32_t max_replicas = 4096;
constexpr std::chrono::hours max_stream_limit{24};

/// Appends problems of one table's rows, with the line numbers of the rows.
class reporter {
public:
    reporter(std::vector<table_problem>& problems, std::string_view file,
             const std::vector<row_location>& lines)
        : m_problems{problems}, m_file{file}, m_lines{lines}
    {}

    void add(const std::string& row, std::string_view field, std::string message,
             std::string remedy) const
    {
        if (m_problems.size() < max_problems) {
            m_problems.push_back({std::string{m_file}, line_of(row), row, std::string{field},
                                  std::move(message), std::move(remedy)});
        }
    }

private:
    /// Line of the last row with this name: of two rows with the same name the later one is
    /// reported.
    std::uint32_t line_of(const std::string& row) const
    {
        const auto found = std::find_if(m_lines.rbegin(), m_lines.rend(),
                                        [&](const row_location& at) { return at.name == row; });
        return found == m_lines.rend() ? 0 : found->line;
    }

    std::vector<table_problem>& m_problems;
    std::string_view m_file;
    const std::vector<row_location>& m_lines;
};

bool valid_name(std::string_view name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), allowed);
}

void check_name(const reporter& report, const std::string& row, std::string_view field,
                const std::string& name)
{
    if (!valid_name(name)) {
        report.add(row, field, "'" + name + "' is no name",
                   "write 1 to 63 letters, digits, '-', '_' or '.'");
    }
}

template <class Row>
void check_duplicates(const reporter& report, const std::vector<Row>& rows)
{
    for (std::size_t i = 1; i < rows.size(); ++i) {
        if (rows[i].name == rows[i - 1].name)
            report.add(rows[i].name.value(), "name", "another row has the same name",
                       "rename or remove one of them");
    }
}

void check_route_limits(const reporter& report, const route& row)
{
    const std::string& name = row.name.value();
    if (row.timeout.count() == 0)
        report.add(name, "timeout_ms", "is 0", "write the longest wait for the first byte");
    if (row.longest_stream < row.timeout)
        report.add(name, "longest_stream_ms", "is shorter than timeout_ms",
                   "write at least " + std::to_string(row.timeout.count()));
    if (row.longest_stream > max_stream_limit)
        report.add(name, "longest_stream_ms", "is longer than a day", "write 86400000 or less");
    if (row.repeat != repeat_policy::idempotent && row.retries != 0)
        report.add(name, "retries",
                   "contradicts repeat = '" + std::string{to_name(row.repeat)} + "'",
                   "write retries = 0, or repeat = \"idempotent\" if a second run does no harm");
    if (row.repeat == repeat_policy::keyed && row.key_keeping.count() == 0)
        report.add(name, "key_keeping_s", "is 0, so a repeat would run again",
                   "write how long clients may repeat a key");
}

void check_route_match(const reporter& report, const route& row)
{
    const std::string& name = row.name.value();
    if (row.workspaces.empty())
        report.add(name, "workspaces", "missing", "write workspaces = [\"*\"] for all");
    if (row.kind == request_kind::plain) {
        if (!row.path_prefix.starts_with('/'))
            report.add(name, "path_prefix", "must begin with '/'", "write for example \"/orders\"");
        if (!row.model.empty() || !row.adapter.empty())
            report.add(name, "model", "a plain route has no model or adapter", "remove it");
        return;
    }
    if (row.model.empty())
        report.add(name, "model", "missing", "write the model's name as callers send it");
    if (!row.path_prefix.empty() || !row.methods.empty())
        report.add(name, "path_prefix", "only plain routes match paths and methods", "remove it");
}

void check_route_pool(const reporter& report, const route& row, const configuration& tables)
{
    const std::string& name = row.name.value();
    const auto found = std::find_if(tables.pools.begin(), tables.pools.end(),
                                    [&](const pool& each) { return each.name == row.pool; });
    if (found == tables.pools.end()) {
        std::string remedy = "write one of:";
        for (const pool& each : tables.pools)
            remedy += " " + each.name.value();
        report.add(name, "pool", "no pool '" + row.pool.value() + "'", std::move(remedy));
        return;
    }
    const bool wants_plain = row.kind == request_kind::plain;
    if (wants_plain != (found->kind == pool_kind::plain)) {
        report.add(name, "pool", "is a " + std::string{to_name(found->kind)} + " pool",
                   "name a pool of kind " + std::string{wants_plain ? "plain" : "model"});
        return;
    }
    const bool known = std::find(found->adapters.begin(), found->adapters.end(), row.adapter) !=
                       found->adapters.end();
    if (!row.adapter.empty() && !known)
        report.add(name, "adapter", "pool '" + row.pool.value() + "' does not load it",
                   "add it to the pool's adapters");
}

/// Everything a route matches on. Two routes with an equal key match the same requests.
struct match_key {
    request_kind kind;
    std::string model;
    std::string path_prefix;
    std::string workspace;
    std::string method;

    friend auto operator<=>(const match_key&, const match_key&) = default;
};

void check_ambiguity(const reporter& report, const std::vector<route>& routes)
{
    std::map<match_key, route_id> matched_by;
    const std::vector<std::string> any_method{"*"};
    for (const route& row : routes) {
        for (const std::string& workspace : row.workspaces) {
            for (const std::string& method : row.methods.empty() ? any_method : row.methods) {
                const match_key key{row.kind, row.model, row.path_prefix, workspace, method};
                const auto [existing, inserted] = matched_by.emplace(key, row.name);
                if (!inserted && existing->second != row.name)
                    report.add(row.name.value(), "workspaces",
                               "matches the same requests as route '" + existing->second.value() +
                                   "'",
                               "change kind, model, path_prefix, methods or workspaces of one");
            }
        }
    }
}

bool valid_server(std::string_view server)
{
    const auto parsed = parse_endpoint(server);
    return parsed && parsed.value().port() != 0;
}

void check_plain_pool(const reporter& report, const pool& row)
{
    const std::string& name = row.name.value();
    if (row.servers.empty())
        report.add(name, "servers", "missing", "write servers = [\"10.0.0.1:8080\"]");
    std::set<std::string> seen;
    for (const std::string& server : row.servers) {
        if (!valid_server(server))
            report.add(name, "servers", "'" + server + "' is no address and port",
                       "write an IP number and a port, as \"10.0.0.1:8080\"");
        if (!seen.insert(server).second)
            report.add(name, "servers", "'" + server + "' stands twice", "remove one");
    }
    if (row.max_in_flight_per_server == 0)
        report.add(name, "max_in_flight_per_server", "is 0", "write 1 or more");
    if (!row.model.empty() || !row.version.empty() || !row.adapters.empty())
        report.add(name, "model", "a plain pool has no model, version or adapters", "remove them");
}

void check_model_pool(const reporter& report, const pool& row)
{
    const std::string& name = row.name.value();
    if (row.model.empty())
        report.add(name, "model", "missing", "write the model that the engines load");
    if (row.version.empty())
        report.add(name, "version", "missing", "write the version that the engines load");
    if (row.replica_vms == 0 || row.replica_vms > max_replica_vms)
        report.add(name, "replica_vms", "is " + std::to_string(row.replica_vms),
                   "write 1 to " + std::to_string(max_replica_vms));
    if (row.replicas == 0 || row.replicas > max_replicas)
        report.add(name, "replicas", "is " + std::to_string(row.replicas),
                   "write 1 to " + std::to_string(max_replicas) + ", or remove the pool");
    if (row.standbys > row.replicas * row.replica_vms)
        report.add(name, "standbys", "more standbys than members",
                   "write at most replicas * replica_vms");
    if (row.max_in_flight_per_replica == 0)
        report.add(name, "max_in_flight_per_replica", "is 0", "write 1 or more");
    const bool negative = row.weight_down < 0 || row.weight_idle < 0;
    if (negative || row.weight_down + row.weight_idle <= 0)
        report.add(name, "weight_down", "the weights must be 0 or more, and one above 0",
                   "write for example weight_down = 10.0, weight_idle = 1.0");
    if (!row.servers.empty())
        report.add(name, "servers", "a model pool finds its VMs in the VM list", "remove it");
}

void check_shares(const reporter& report, const pool& row)
{
    std::set<workspace_id> seen;
    for (const share& each : row.shares) {
        if (each.weight <= 0)
            report.add(row.name.value(), "shares", "the weight must be above 0",
                       "write a weight, or remove '" + each.workspace.value() +
                           "' from the routes");
        if (each.workspace.value().empty() || !seen.insert(each.workspace).second)
            report.add(row.name.value(), "shares",
                       "workspace '" + each.workspace.value() + "' is empty or stands twice",
                       "name each workspace once");
    }
}

} // namespace

void check_tables(table_report& report)
{
    const configuration& tables = report.tables;
    const reporter routes{report.problems, routes_file, report.route_lines};
    const reporter pools{report.problems, pools_file, report.pool_lines};
    check_duplicates(routes, tables.routes);
    check_duplicates(pools, tables.pools);
    for (const route& row : tables.routes) {
        check_name(routes, row.name.value(), "name", row.name.value());
        check_route_limits(routes, row);
        check_route_match(routes, row);
        check_route_pool(routes, row, tables);
    }
    check_ambiguity(routes, tables.routes);
    for (const pool& row : tables.pools) {
        check_name(pools, row.name.value(), "name", row.name.value());
        check_shares(pools, row);
        if (row.kind == pool_kind::plain)
            check_plain_pool(pools, row);
        else
            check_model_pool(pools, row);
    }
}

std::vector<table_problem> check_fleet(const table_report& report,
                                       std::span<const fabric_domain_size> fleet)
{
    std::vector<table_problem> problems;
    const reporter pools{problems, pools_file, report.pool_lines};
    for (const pool& row : report.tables.pools) {
        if (row.kind != pool_kind::model)
            continue;
        std::uint32_t largest = 0;
        for (const fabric_domain_size& domain : fleet) {
            const auto& allowed = row.fabric_domains;
            if (allowed.empty() ||
                std::find(allowed.begin(), allowed.end(), domain.name) != allowed.end())
                largest = std::max(largest, domain.vms);
        }
        if (row.replica_vms > largest)
            pools.add(row.name.value(), "replica_vms",
                      "a replica of " + std::to_string(row.replica_vms) +
                          " VMs does not fit any fabric domain it may live in",
                      "write at most " + std::to_string(largest) +
                          ", or name larger fabric_domains");
    }
    return problems;
}

} // namespace jaynotch
