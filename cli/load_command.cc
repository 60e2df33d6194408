// `jaynotch load`: runs open-loop load against one entry VM and prints a report. Fails if any
// answer is wrong or incomplete.
#include "cli/commands.h"
#include "load/load.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <iomanip>

namespace jaynotch {

namespace {

load_settings settings_of(const load_options& options)
{
    load_settings settings;
    settings.targets = {options.target};
    settings.model = options.model;
    settings.workspaces = {options.workspace};
    settings.rate = options.rate;
    settings.length =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{options.seconds});
    settings.tokens = options.max_tokens;
    settings.prompt_bytes = options.prompt_bytes;
    settings.seed = options.seed;
    return settings;
}

void print_percentiles(std::ostream& out, std::string_view name, const load_percentiles& row)
{
    out << std::left << std::setw(16) << name << std::right << std::fixed << std::setprecision(1)
        << std::setw(9) << row.p50 << std::setw(9) << row.p95 << std::setw(9) << row.p99
        << std::setw(9) << row.maximum << "\n";
}

void print_report(std::ostream& out, const load_report& report)
{
    out << report.started << " calls in " << std::fixed << std::setprecision(1) << report.seconds
        << " s, " << report.tokens << " tokens\n";
    for (const auto& entry : enum_names<call_outcome>::entries)
        out << std::left << std::setw(16) << entry.name << std::right << std::setw(9)
            << report.count_of(entry.value) << "\n";
    out << "milliseconds          p50      p95      p99      max\n";
    print_percentiles(out, "first token", report.first_token);
    print_percentiles(out, "between tokens", report.between_tokens);
    print_percentiles(out, "whole answer", report.total);
    for (const std::string& fault : report.faults)
        out << "wrong: " << fault << "\n";
}

} // namespace

result<exit_code> run_load(const command_context& context)
{
    if (context.options.load.model.empty())
        return error{error_kind::invalid_argument, "load needs a model",
                     "write --model=NAME; `jaynotch show routes` lists the models"};
    BOOST_OUTCOME_TRY(parse_endpoint(context.options.load.target));
    load_report report;
    boost::asio::io_context io;
    const auto drive = [&]() -> boost::asio::awaitable<void> {
        report = co_await run_load(io.get_executor(), settings_of(context.options.load));
    };
    boost::asio::co_spawn(io, drive, [](const std::exception_ptr& failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
    io.run();
    if (context.options.output == output_format::json)
        context.out << render_load_report(report) << "\n";
    else
        print_report(context.out, report);
    const bool no_invalid_answers =
        report.count_of(call_outcome::wrong) == 0 && report.count_of(call_outcome::cut) == 0;
    return no_invalid_answers ? exit_code::succeeded : exit_code::failed;
}

} // namespace jaynotch
