// `jaynotch calls`: sums the nodes' calls to the platform's key-value store, from log lines of kind
// store_calls. One table is by the time at which the lines were written, the other by node, with
// the most frequent callers first. Each line counts the calls since the node's previous line, so
// sums do not depend on when the nodes write their lines.
#include "cli/commands.h"
#include "cli/log_lines.h"
#include "cli/printer.h"

#include <algorithm>
#include <array>
#include <map>

namespace jaynotch {

namespace {

constexpr std::int64_t window_ms = 10'000;   ///< interval at which daemons write the line
constexpr std::size_t max_listed_nodes = 20; ///< nodes with a row of their own

/// Fields of a store_calls line; the last one counts failures among the calls of the others.
constexpr std::array call_fields{"reads",    "pages",  "watches", "transactions",
                                 "renewals", "leases", "failed"};

using call_sums = std::array<std::int64_t, call_fields.size()>;

std::int64_t total_of(const call_sums& counts)
{
    std::int64_t total = 0;
    // The last field is left out: failed calls are also counted under their kind.
    for (std::size_t field = 0; field + 1 < counts.size(); ++field)
        total += counts[field];
    return total;
}

void add(call_sums& counts, const log_line& line)
{
    for (std::size_t field = 0; field < counts.size(); ++field)
        counts[field] += number_field(line, call_fields[field], 0);
}

text_rows heading(const std::string& first)
{
    std::vector<std::string> row{first, "calls"};
    row.insert(row.end(), call_fields.begin(), call_fields.end());
    return {row};
}

std::vector<std::string> row_of(const std::string& name, const call_sums& counts)
{
    std::vector<std::string> row{name, std::to_string(total_of(counts))};
    for (const std::int64_t sum : counts)
        row.push_back(std::to_string(sum));
    return row;
}

} // namespace

result<exit_code> run_calls(const command_context& context)
{
    const std::vector<std::string>& arguments = context.options.arguments;
    BOOST_OUTCOME_TRY(const log_lines read,
                      read_log_files({arguments.begin() + 1, arguments.end()}));
    std::map<std::int64_t, call_sums> windows;
    std::map<std::string, call_sums> nodes;
    call_sums all{};
    std::int64_t first_ms = 0;
    for (const log_line& line : read.lines) {
        if (line.kind != "store_calls")
            continue;
        if (nodes.empty() || line.at_ms < first_ms)
            first_ms = line.at_ms;
        add(windows[line.at_ms / window_ms], line);
        add(nodes[line.instance], line);
        add(all, line);
    }
    if (nodes.empty())
        return error{error_kind::not_found, "the logs contain no lines of kind store_calls",
                     "give logs of daemons that use a platform's registry"};
    text_rows by_time = heading("second");
    for (const auto& [window, counts] : windows)
        by_time.push_back(
            row_of(std::to_string((window - first_ms / window_ms) * window_ms / 1000), counts));
    by_time.push_back(row_of("all", all));
    print_columns(context.out, by_time);
    context.out << "\n";
    std::vector<std::pair<std::string, call_sums>> ranked{nodes.begin(), nodes.end()};
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return total_of(a.second) > total_of(b.second);
    });
    text_rows by_node = heading("node");
    for (std::size_t index = 0; index < std::min(max_listed_nodes, ranked.size()); ++index)
        by_node.push_back(row_of(ranked[index].first, ranked[index].second));
    print_columns(context.out, by_node);
    if (ranked.size() > max_listed_nodes)
        context.out << ranked.size() - max_listed_nodes << " more nodes called less\n";
    return exit_code::succeeded;
}

} // namespace jaynotch
