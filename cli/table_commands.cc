// Commands that read tables: validate, diff, fetch and show. Only fetch writes, to the local
// folder.
#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/printer.h"
#include "cli/working_copy.h"
#include "tables/merge.h"
#include "tables/parse.h"

namespace jaynotch {

namespace {

/// Fetches the tables of the revision chosen with --revision, or the current ones, from a daemon.
result<working_copy> fetch_tables(const command_context& context)
{
    std::string target = "/admin/v1/config";
    if (context.options.revision > 0)
        target += "?revision=" + std::to_string(context.options.revision);
    admin_client client{context.options};
    BOOST_OUTCOME_TRY(const boost::json::value answer, client.get(target));
    return working_copy{field_text(answer, "routes"), field_text(answer, "pools"),
                        std::atoll(field_text(answer, "revision").c_str())};
}

boost::json::array to_json(const std::vector<field_change>& changes)
{
    boost::json::array list;
    for (const field_change& change : changes) {
        boost::json::object entry;
        entry["field"] = change.field;
        entry["before"] = boost::json::parse(change.before);
        entry["after"] = boost::json::parse(change.after);
        list.push_back(std::move(entry));
    }
    return list;
}

boost::json::array to_json(const std::vector<row_change>& changes)
{
    boost::json::array list;
    for (const row_change& change : changes) {
        boost::json::object row;
        row["table"] = to_name(change.table);
        row["row"] = change.row;
        row["change"] = to_name(change.kind);
        row["fields"] = to_json(change.fields);
        list.push_back(std::move(row));
    }
    return list;
}

boost::json::array to_json(const std::vector<table_problem>& problems)
{
    boost::json::array list;
    for (const table_problem& problem : problems) {
        boost::json::object entry;
        entry["file"] = problem.file;
        entry["line"] = problem.line;
        entry["row"] = problem.row;
        entry["field"] = problem.field;
        entry["message"] = problem.message;
        entry["remedy"] = problem.remedy;
        list.push_back(std::move(entry));
    }
    return list;
}

void print_changes(std::ostream& out, const std::vector<row_change>& changes)
{
    for (const row_change& change : changes) {
        out << to_name(change.kind) << " " << to_name(change.table) << "/" << change.row << "\n";
        for (const field_change& field : change.fields)
            out << "  " << field.field << ": " << field.before << " -> " << field.after << "\n";
    }
}

} // namespace

result<exit_code> run_validate(const command_context& context)
{
    BOOST_OUTCOME_TRY(const working_copy copy, read_working_copy(context.options.directory));
    const table_report report = read_tables(copy.routes, copy.pools);
    if (context.options.output == output_format::json)
        print_json(context.out, boost::json::object{{"problems", to_json(report.problems)}});
    else if (report.problems.empty())
        context.out << report.tables.routes.size() << " routes and " << report.tables.pools.size()
                    << " pools are fine\n";
    else {
        for (const table_problem& problem : report.problems)
            context.out << to_string(problem) << "\n";
    }
    return report.problems.empty() ? exit_code::succeeded : exit_code::invalid_table;
}

result<exit_code> run_diff(const command_context& context)
{
    BOOST_OUTCOME_TRY(const working_copy copy, read_working_copy(context.options.directory));
    BOOST_OUTCOME_TRY(const configuration edited, parse_tables(copy.routes, copy.pools));
    BOOST_OUTCOME_TRY(const working_copy remote, fetch_tables(context));
    configuration current;
    current.deployment = edited.deployment;
    if (remote.base_revision > 0) {
        BOOST_OUTCOME_TRY(current, parse_tables(remote.routes, remote.pools));
    }
    const std::vector<row_change> changes = diff(current, edited);
    if (context.options.output == output_format::json)
        print_json(context.out, boost::json::object{{"since", remote.base_revision},
                                                    {"changes", to_json(changes)}});
    else
        print_changes(context.out, changes);
    return changes.empty() ? exit_code::succeeded : exit_code::differs;
}

result<exit_code> run_fetch(const command_context& context)
{
    BOOST_OUTCOME_TRY(const working_copy copy, fetch_tables(context));
    BOOST_OUTCOME_TRY(write_working_copy(context.options.directory, copy));
    context.out << "wrote revision " << copy.base_revision << " to " << context.options.directory
                << "\n";
    return exit_code::succeeded;
}

result<exit_code> run_show(const command_context& context)
{
    const std::string what =
        context.options.arguments.size() > 1 ? context.options.arguments[1] : "";
    if (what != "routes" && what != "pools")
        return error{error_kind::invalid_argument, "show needs a table",
                     "write `jaynotch show routes` or `jaynotch show pools`"};
    BOOST_OUTCOME_TRY(const working_copy copy, fetch_tables(context));
    const std::string& text = what == "routes" ? copy.routes : copy.pools;
    if (context.options.output == output_format::json)
        print_json(context.out,
                   boost::json::object{{"revision", copy.base_revision}, {what, text}});
    else
        context.out << "# revision " << copy.base_revision << "\n" << text;
    return exit_code::succeeded;
}

} // namespace jaynotch
