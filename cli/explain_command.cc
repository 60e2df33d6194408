// `jaynotch explain`: prints the timeline of one request from daemons' logs.
//
// The request's own lines are found by its id. Lines about the state of a node, such as groups that
// stopped responding, installed configurations or loss of the store, are shown between them. Only
// nodes that handled the request are included, from `context_before_ms` before its first line to
// `context_after_ms` after its last one.
#include "cli/commands.h"
#include "cli/log_lines.h"
#include "cli/printer.h"

#include <algorithm>
#include <set>

namespace jaynotch {

namespace {

constexpr std::int64_t context_before_ms = 2'000; ///< node events are shown from this long before
constexpr std::int64_t context_after_ms = 500;    ///< until this long after the request's lines
/// Kinds of log lines about the state of a node rather than about a request.
constexpr std::array node_event_kinds{
    "config_installed", "group_silent",   "group_ended",     "group_opened",   "group_closed",
    "runner_silent",    "member_taken",   "store_lost",      "store_regained", "manager_elected",
    "manager_ended",    "daemon_started", "daemon_stopping", "log_dropped"};
/// Fields that are common to all lines; they are left out of the last column.
constexpr std::array column_fields{"ts_ms", "level", "program", "instance", "kind", "request"};

/// Formats all other fields as "name=value".
std::string other_fields(const log_line& line)
{
    std::string fields_text;
    for (const auto& field : line.fields) {
        const std::string name{field.key()};
        if (std::find(column_fields.begin(), column_fields.end(), name) != column_fields.end())
            continue;
        const auto* string_value = field.value().if_string();
        fields_text += (fields_text.empty() ? "" : " ") + name + "=" +
                       (string_value != nullptr ? std::string{*string_value}
                                                : boost::json::serialize(field.value()));
    }
    return fields_text;
}

bool is_node_event(const log_line& line)
{
    return std::find(node_event_kinds.begin(), node_event_kinds.end(), line.kind) !=
           node_event_kinds.end();
}

std::vector<log_line> build_timeline(std::vector<log_line> request_lines,
                                     const std::vector<log_line>& node_events)
{
    // Warnings are written before routine lines, so a warning can precede request_admitted in the
    // log although both have the same millisecond.
    const auto by_time = [](const log_line& a, const log_line& b) {
        const auto order = [](const log_line& line) {
            return std::pair{line.at_ms, line.kind != "request_admitted"};
        };
        return order(a) < order(b);
    };
    std::stable_sort(request_lines.begin(), request_lines.end(), by_time);
    const std::int64_t from = request_lines.front().at_ms - context_before_ms;
    const std::int64_t until = request_lines.back().at_ms + context_after_ms;
    std::set<std::string> daemons;
    for (const log_line& line : request_lines)
        daemons.insert(line.instance);
    std::vector<log_line> timeline = std::move(request_lines);
    for (const log_line& line : node_events) {
        if (daemons.contains(line.instance) && line.at_ms >= from && line.at_ms <= until)
            timeline.push_back(line);
    }
    std::stable_sort(timeline.begin(), timeline.end(), by_time);
    return timeline;
}

} // namespace

result<exit_code> run_explain(const command_context& context)
{
    const std::vector<std::string>& arguments = context.options.arguments;
    if (arguments.size() < 2)
        return error{
            error_kind::invalid_argument, "no request id is given",
            "write `jaynotch explain REQUEST [LOG ...]`; without files, logs are read from "
            "standard input"};
    const std::string& request = arguments[1];
    BOOST_OUTCOME_TRY(log_lines read, read_log_files({arguments.begin() + 2, arguments.end()}));
    std::vector<log_line> request_lines;
    std::vector<log_line> node_events;
    for (log_line& line : read.lines) {
        if (line.request == request)
            request_lines.push_back(std::move(line));
        else if (is_node_event(line))
            node_events.push_back(std::move(line));
    }
    if (request_lines.empty())
        return error{error_kind::not_found, "the logs contain no line about request " + request,
                     "give the logs of every entry VM for that time; lines may also have been "
                     "dropped (kind log_dropped)"};
    const std::vector<log_line> timeline = build_timeline(std::move(request_lines), node_events);
    const auto first = std::find_if(timeline.begin(), timeline.end(),
                                    [&](const log_line& line) { return line.request == request; });
    text_rows rows{{"ms", "node", "what", "with"}};
    for (const log_line& line : timeline)
        rows.push_back({std::to_string(line.at_ms - first->at_ms), line.instance,
                        line.request.empty() ? "(" + line.kind + ")" : line.kind,
                        other_fields(line)});
    print_columns(context.out, rows);
    return exit_code::succeeded;
}

} // namespace jaynotch
