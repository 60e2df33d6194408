// What the nodes asked of the platform's store, from their lines of kind store_calls: by the time
// in which the lines were written, and by node, those that called most first. A line counts what
// was called since the one before, so the sum is right whatever lines a node wrote when.
#include "cli/commands.h"
#include "cli/log_lines.h"
#include "cli/printer.h"

#include <algorithm>
#include <array>
#include <map>

namespace jaynotch {

namespace {

constexpr std::int64_t window_ms = 10'000;   ///< as often as daemons write the line
constexpr std::size_t max_listed_nodes = 20; ///< told one by one

/// Kinds of call as the line names them.
constexpr std::array call_fields{"reads",    "pages",  "watches", "transactions",
                                 "renewals", "leases", "failed"};

using call_sums = std::array<std::int64_t, call_fields.size()>;

std::int64_t total_of(const call_sums& counts)
{
    std::int64_t total = 0;
    for (std::size_t field = 0; field + 1 < counts.size();
         ++field) // failed ones count under theirs
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
        return error{error_kind::not_found, "these logs tell of no calls on the store",
                     "take logs of daemons on a platform's registry, with the lines of kind "
                     "store_calls"};
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
