// `jaynotch losses`: counts late and unserved requests in daemons' logs by cause, in one table by
// route and in one by time in windows of two seconds.
//
// Each request is counted under one cause, the first in this list that its log lines match:
//   refused       refused by a node; the kind of error is counted as well
//   cut           the answer ended incomplete
//   left          the caller disconnected before the end of the answer
//   no end        the logs hold no line that ends the request, as when its daemon died
//   sent again    the first event was late, and an attempt had failed
//   waited        the first event was late, but not if the time queued in the node is subtracted
//   late          the first event was late for any other reason
//   paused        the time between two events exceeded the route's limit
// Requests that match none of these were in time. A repeated request from the same caller has a new
// id and counts as another request.
#include "cli/commands.h"
#include "cli/log_lines.h"
#include "cli/printer.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <sstream>

namespace jaynotch {

namespace {

constexpr std::int64_t window_ms = 2'000;

enum class request_outcome {
    in_time,
    late,
    waited,
    sent_again,
    paused,
    refused,
    cut,
    abandoned,
    no_end
};

} // namespace

template <>
struct enum_names<request_outcome> {
    static constexpr std::array entries{named{request_outcome::in_time, "in time"},
                                        named{request_outcome::late, "late"},
                                        named{request_outcome::waited, "waited"},
                                        named{request_outcome::sent_again, "sent again"},
                                        named{request_outcome::paused, "paused"},
                                        named{request_outcome::refused, "refused"},
                                        named{request_outcome::cut, "cut"},
                                        named{request_outcome::abandoned, "left"},
                                        named{request_outcome::no_end, "no end"}};
};

namespace {

/// State of one request, collected from its log lines.
struct request_summary {
    std::int64_t arrived_ms = -1;
    std::string route;
    std::int64_t first_target_ms = 0;
    std::int64_t pause_target_ms = 0;
    std::int64_t waited_ms = 0; ///< time queued before the first attempt
    bool failed_once = false;
    std::int64_t first_ms = -1;
    std::int64_t pause_ms = 0;
    std::string refusal; ///< kind of error if refused
    bool finished = false;
    bool refused = false;
    bool cut = false;
    bool abandoned = false;
};

request_outcome outcome_of_finished(const request_summary& summary)
{
    if (summary.first_target_ms > 0 && summary.first_ms > summary.first_target_ms) {
        if (summary.failed_once)
            return request_outcome::sent_again;
        return summary.first_ms - summary.waited_ms <= summary.first_target_ms
                   ? request_outcome::waited
                   : request_outcome::late;
    }
    const bool paused = summary.pause_target_ms > 0 && summary.pause_ms > summary.pause_target_ms;
    return paused ? request_outcome::paused : request_outcome::in_time;
}

request_outcome outcome_of(const request_summary& summary)
{
    if (summary.refused)
        return request_outcome::refused;
    if (summary.cut)
        return request_outcome::cut;
    if (summary.abandoned)
        return request_outcome::abandoned;
    return summary.finished ? outcome_of_finished(summary) : request_outcome::no_end;
}

void add_attempt(const log_line& line, request_summary& summary)
{
    summary.route = text_field(line, "route");
    summary.first_target_ms = number_field(line, "first_target_ms", 0);
    summary.pause_target_ms = number_field(line, "pause_target_ms", 0);
    if (number_field(line, "sending", 1) <= 1)
        summary.waited_ms = number_field(line, "waited_ms", 0);
}

void add_line(const log_line& line, request_summary& summary)
{
    if (line.kind == "request_admitted")
        summary.arrived_ms = line.at_ms;
    else if (line.kind == "request_sent" || line.kind == "request_resumed")
        add_attempt(line, summary);
    else if (line.kind == "attempt_failed")
        summary.failed_once = true;
    else if (line.kind == "request_cut")
        summary.cut = true;
    else if (line.kind == "request_abandoned")
        summary.abandoned = true;
    else if (line.kind == "request_refused") {
        summary.refused = true;
        summary.refusal = text_field(line, "kind_of_error");
        const std::string route = text_field(line, "route");
        summary.route = route.empty() ? summary.route : route;
        // A request that is refused before it is read has no line of its arrival.
        if (summary.arrived_ms < 0 && route.empty())
            summary.arrived_ms = line.at_ms - number_field(line, "age_ms", 0);
    }
    else if (line.kind == "request_finished") {
        summary.finished = true;
        summary.first_ms = number_field(line, "first_ms", -1);
        summary.pause_ms = number_field(line, "pause_ms", 0);
    }
}

struct outcome_counts {
    std::size_t requests = 0;
    std::map<request_outcome, std::size_t> by_outcome;

    void add(request_outcome outcome, std::size_t count = 1)
    {
        requests += count;
        by_outcome[outcome] += count;
    }
};

/// Number of runners by use, such as "open MODEL" or "bare", in the fabric domains of one manager.
using runner_uses = std::map<std::string, std::size_t>;

/// Parses "FABRIC_DOMAIN USE [MODEL] COUNT, ..." and adds the counts to `sum` under "USE [MODEL]".
void add_runner_uses(const std::string& detail, runner_uses& sum)
{
    std::istringstream entries{detail};
    std::string entry;
    while (std::getline(entries, entry, ',')) {
        const std::size_t begin = entry.find_first_not_of(' ');
        const std::size_t name = begin == std::string::npos ? begin : entry.find(' ', begin);
        const std::size_t last = entry.rfind(' ');
        if (name == std::string::npos || last <= name)
            continue;
        const std::string use = entry.substr(name + 1, last - name - 1);
        std::size_t count = 0;
        for (const char digit : entry.substr(last + 1)) {
            if (digit < '0' || digit > '9')
                return;
            count = count * 10 + static_cast<std::size_t>(digit - '0');
        }
        sum[use] += count;
    }
}

/// True for members of a group that is open or may be open. In an open group only the head reports
/// "open"; the other members report "ready".
bool is_serving(const std::string& use)
{
    return use.starts_with("open") || use.starts_with("ready") || use.starts_with("closing");
}

/// Total number of lines, over all kinds, that a log_dropped line reports as dropped.
std::int64_t dropped_lines(const log_line& line)
{
    const boost::json::value* counts = line.fields.if_contains("lines");
    std::int64_t sum = 0;
    if (counts == nullptr || !counts->is_object())
        return sum;
    for (const auto& kind : counts->get_object())
        sum += kind.value().is_int64() ? kind.value().get_int64() : 0;
    return sum;
}

struct loss_report {
    std::map<std::string, outcome_counts> routes;
    std::map<std::int64_t, outcome_counts> windows;
    std::map<std::int64_t, std::map<std::string, runner_uses>>
        runners; ///< by window and the manager's failure domain
    std::map<std::string, std::size_t> refusals;
    std::size_t without_pauses = 0; ///< finished requests without a pause_ms field
    std::size_t without_route = 0;
    std::int64_t dropped = 0;
};

/// Adds a sum of requests that were refused before they were read.
void add_refused(const log_line& line, loss_report& report, std::int64_t window)
{
    const auto count = static_cast<std::size_t>(number_field(line, "count", 0));
    report.without_route += count;
    report.routes["-"].add(request_outcome::refused, count);
    report.windows[window].add(request_outcome::refused, count);
    report.refusals[text_field(line, "kind_of_error")] += count;
}

loss_report build_report(const std::vector<log_line>& lines)
{
    loss_report report;
    std::map<std::string, request_summary> summaries;
    std::int64_t first_ms = std::numeric_limits<std::int64_t>::max();
    for (const log_line& line : lines) {
        if (!line.request.empty())
            add_line(line, summaries[line.request]);
        if (line.kind == "request_finished" && !line.fields.contains("pause_ms"))
            ++report.without_pauses;
        if (line.kind == "log_dropped")
            report.dropped += dropped_lines(line);
    }
    for (const auto& [request, summary] : summaries) {
        if (summary.arrived_ms >= 0)
            first_ms = std::min(first_ms, summary.arrived_ms);
    }
    const auto window_of = [&](std::int64_t at_ms) { return (at_ms - first_ms) / window_ms; };
    for (const auto& [request, summary] : summaries) {
        if (summary.arrived_ms < 0)
            continue; // the logs start after this request arrived
        const request_outcome outcome = outcome_of(summary);
        report.without_route += summary.route.empty() ? 1 : 0;
        report.routes[summary.route.empty() ? "-" : summary.route].add(outcome);
        report.windows[window_of(summary.arrived_ms)].add(outcome);
        if (outcome == request_outcome::refused)
            ++report.refusals[summary.refusal];
    }
    for (const log_line& line : lines) {
        if (line.kind == "requests_refused" && line.at_ms >= first_ms)
            add_refused(line, report, window_of(line.at_ms));
    }
    for (const log_line& line : lines) {
        if (line.kind != "runners_used" || line.at_ms < first_ms)
            continue;
        runner_uses current_uses;
        add_runner_uses(text_field(line, "detail"), current_uses);
        report.runners[window_of(line.at_ms)][text_field(line, "subject")] =
            std::move(current_uses);
    }
    return report;
}

void add_cells(const outcome_counts& counts, std::vector<std::string>& row)
{
    row.push_back(std::to_string(counts.requests));
    for (const auto& entry : enum_names<request_outcome>::entries) {
        const auto found = counts.by_outcome.find(entry.value);
        row.push_back(std::to_string(found == counts.by_outcome.end() ? 0 : found->second));
    }
}

text_rows heading(const std::string& first)
{
    std::vector<std::string> row{first, "asked"};
    for (const auto& entry : enum_names<request_outcome>::entries)
        row.emplace_back(entry.name);
    return {row};
}

void print_routes(const loss_report& report, std::ostream& out)
{
    text_rows rows = heading("route");
    for (const auto& [route, counts] : report.routes) {
        rows.push_back({route});
        add_cells(counts, rows.back());
    }
    print_columns(out, rows);
}

/// Adds the number of serving runners, the number of idle ones, and the uses of the idle ones.
void add_runner_cells(const std::map<std::string, runner_uses>& by_domain,
                      std::vector<std::string>& row)
{
    std::size_t serving = 0;
    std::size_t idle = 0;
    runner_uses idle_by_use;
    for (const auto& [domain, uses] : by_domain) {
        for (const auto& [use, count] : uses) {
            if (is_serving(use)) {
                serving += count;
                continue;
            }
            idle += count;
            idle_by_use[use] += count;
        }
    }
    std::string idle_text;
    for (const auto& [use, count] : idle_by_use)
        idle_text += (idle_text.empty() ? "" : ", ") + use + " " + std::to_string(count);
    row.push_back(std::to_string(serving));
    row.push_back(std::to_string(idle));
    row.push_back(idle_text);
}

void print_windows(const loss_report& report, std::ostream& out)
{
    text_rows rows = heading("second");
    for (const char* name : {"serving", "idle", "of which"})
        rows.front().emplace_back(name);
    for (const auto& [window, counts] : report.windows) {
        rows.push_back({std::to_string(window * window_ms / 1000)});
        add_cells(counts, rows.back());
        const auto found = report.runners.find(window);
        add_runner_cells(found == report.runners.end() ? std::map<std::string, runner_uses>{}
                                                       : found->second,
                         rows.back());
    }
    print_columns(out, rows);
}

/// Lists data missing from the logs, so that readers can judge how complete the tables are.
void print_missing_data(const loss_report& report, std::size_t unreadable, std::ostream& out)
{
    if (unreadable > 0)
        out << unreadable << " lines could not be read (cut short or garbled)\n";
    if (report.dropped > 0)
        out << report.dropped << " lines were dropped by daemons over their log budget\n";
    if (report.without_pauses > 0)
        out << report.without_pauses
            << " requests were finished by daemons that don't log pauses: of these, those late in "
               "a pause count as in time\n";
    if (report.without_route > 0)
        out << report.without_route << " requests have no line that names their route (-)\n";
}

} // namespace

result<exit_code> run_losses(const command_context& context)
{
    const std::vector<std::string>& arguments = context.options.arguments;
    BOOST_OUTCOME_TRY(const log_lines read,
                      read_log_files({arguments.begin() + 1, arguments.end()}));
    const loss_report report = build_report(read.lines);
    if (report.routes.empty())
        return error{error_kind::not_found, "the logs contain no requests",
                     "give the logs of every entry VM, including lines of kind request_admitted"};
    print_routes(report, context.out);
    context.out << "\n";
    print_windows(report, context.out);
    context.out << "\n";
    for (const auto& [kind, count] : report.refusals)
        context.out << "refused as " << kind << ": " << count << "\n";
    print_missing_data(report, read.unreadable, context.out);
    return exit_code::succeeded;
}

} // namespace jaynotch
