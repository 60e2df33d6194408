// Each file is parsed by toml++ and then read row by row: each key of a row must be a known field
// of the right type, which `field_reader` checks as a visitor over the row's field list. Problems
// are collected instead of thrown, so that an operator sees all of them at once.
#include "tables/parse.h"

#include "tables/check.h"
#include "tables/fields.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace jaynotch {

namespace {

/// Collects the problems of one row, with the file, row and line to report them for.
struct row_context {
    std::vector<table_problem>& problems;
    std::string_view file;
    std::string row;
    std::uint32_t line = 0;

    void add(std::uint32_t at, std::string_view field, std::string message,
             std::string remedy) const
    {
        if (problems.size() < max_problems) {
            problems.push_back({std::string{file}, at, row, std::string{field}, std::move(message),
                                std::move(remedy)});
        }
    }
};

std::uint32_t line_of(const toml::node& node)
{
    return node.source().begin.line;
}

template <class Row>
void read_row(const toml::table& source, Row& row, const row_context& context);

/// Whether a row without this list stands for all that the list could name. Such a list may not be
/// empty: it would allow everything after its last item was taken away.
bool means_all_if_absent(std::string_view field)
{
    return field == "methods" || field == "fabric_domains";
}

/// Visitor that reads one field from the row's TOML table, if it is present.
class field_reader {
public:
    field_reader(const toml::table& source, const row_context& context)
        : m_source{source}, m_context{context}
    {}

    template <class Value>
    void operator()(std::string_view name, Value& value)
    {
        m_known_names.push_back(name);
        const toml::node* node = m_source.get(name);
        if (node != nullptr)
            read(*node, name, value);
    }

    /// Reports keys that are not fields of the row.
    void report_unknown_keys() const
    {
        for (const auto& [key, node] : m_source) {
            if (std::find(m_known_names.begin(), m_known_names.end(), key.str()) !=
                m_known_names.end())
                continue;
            std::string remedy = "remove it, or write one of:";
            for (const std::string_view name : m_known_names)
                remedy += " " + std::string{name};
            m_context.add(line_of(node), key.str(), "unknown field", std::move(remedy));
        }
    }

private:
    void report_wrong_value(const toml::node& node, std::string_view name,
                            std::string expected) const
    {
        m_context.add(line_of(node), name, "wrong type or value", "write " + std::move(expected));
    }

    void read(const toml::node& node, std::string_view name, std::string& value) const
    {
        if (const auto text = node.value_exact<std::string>())
            value = *text;
        else
            report_wrong_value(node, name, "a text in quotes");
    }

    template <class Tag>
    void read(const toml::node& node, std::string_view name,
              strong_id<Tag, std::string>& value) const
    {
        std::string text;
        read(node, name, text);
        value = strong_id<Tag, std::string>{std::move(text)};
    }

    void read(const toml::node& node, std::string_view name, bool& value) const
    {
        if (const auto flag = node.value_exact<bool>())
            value = *flag;
        else
            report_wrong_value(node, name, "true or false");
    }

    void read(const toml::node& node, std::string_view name, double& value) const
    {
        const auto number = node.value<double>();
        if (number && std::isfinite(*number) && node.is_number())
            value = *number;
        else
            report_wrong_value(node, name, "a finite number");
    }

    void read(const toml::node& node, std::string_view name, std::uint32_t& value) const
    {
        const auto number = node.value_exact<std::int64_t>();
        if (number && *number >= 0 && *number <= std::numeric_limits<std::int32_t>::max())
            value = static_cast<std::uint32_t>(*number);
        else
            report_wrong_value(node, name, "a whole number from 0 to 2147483647");
    }

    template <class Rep, class Period>
    void read(const toml::node& node, std::string_view name,
              std::chrono::duration<Rep, Period>& value) const
    {
        std::uint32_t count = 0;
        const std::size_t before = m_context.problems.size();
        read(node, name, count);
        if (m_context.problems.size() == before)
            value = std::chrono::duration<Rep, Period>{count};
    }

    template <class Enum>
    requires std::is_enum_v<Enum>
    void read(const toml::node& node, std::string_view name, Enum& value) const
    {
        const auto text = node.value_exact<std::string>();
        const auto parsed = text ? from_name<Enum>(*text) : std::nullopt;
        if (parsed)
            value = *parsed;
        else
            report_wrong_value(node, name, "one of: " + list_names<Enum>());
    }

    template <class Item>
    void read(const toml::node& node, std::string_view name, std::vector<Item>& value) const
    {
        const toml::array* items = node.as_array();
        if (items == nullptr) {
            report_wrong_value(node, name, "a list in brackets");
            return;
        }
        if (items->empty() && means_all_if_absent(name)) {
            m_context.add(line_of(node), name, "is an empty list",
                          "name at least one, or remove the field for all");
            return;
        }
        value.clear();
        for (const toml::node& item : *items) {
            Item element;
            read(item, name, element);
            value.push_back(std::move(element));
        }
    }

    void read(const toml::node& node, std::string_view name, share& value) const
    {
        if (const toml::table* table = node.as_table())
            read_row(*table, value, m_context);
        else
            report_wrong_value(node, name,
                               "{ workspace = \"...\", weight = 1.0, max_in_flight = 0 }");
    }

    const toml::table& m_source;
    const row_context& m_context;
    std::vector<std::string_view> m_known_names;
};

template <class Row>
void read_row(const toml::table& source, Row& row, const row_context& context)
{
    field_reader reader{source, context};
    visit_fields(row, reader);
    reader.report_unknown_keys();
}

/// `retries` defaults to 0 for routes whose requests may not be repeated.
void default_retries(const toml::table& source, route& row)
{
    if (row.repeat != repeat_policy::idempotent && source.get("retries") == nullptr)
        row.retries = 0;
}
void default_retries(const toml::table& /*source*/, pool& /*row*/) {}

template <class Row>
void read_rows(const toml::array& source, std::string_view file, std::vector<Row>& rows,
               std::vector<row_location>& lines, std::vector<table_problem>& problems)
{
    for (const toml::node& node : source) {
        row_context context{problems, file, "", line_of(node)};
        const toml::table* table = node.as_table();
        if (table == nullptr) {
            context.add(context.line, "", "a row is not a table", "write rows under [[...]]");
            continue;
        }
        if (rows.size() == max_table_rows) {
            context.add(context.line, "", "more than " + std::to_string(max_table_rows) + " rows",
                        "split the deployment");
            return;
        }
        if (const toml::node* name = table->get("name"))
            context.row = name->value_or(std::string{});
        Row row;
        read_row(*table, row, context);
        default_retries(*table, row);
        lines.push_back({row.name.value(), context.line});
        rows.push_back(std::move(row));
    }
}

/// Reads one table: `deployment`, and the array of rows under `rows_key`. Returns the deployment.
template <class Row>
std::string read_table(std::string_view text, std::string_view file, std::string_view rows_key,
                       std::vector<Row>& rows, std::vector<row_location>& lines,
                       std::vector<table_problem>& problems)
{
    const row_context file_context{problems, file, "", 0};
    if (text.size() > max_table_bytes) {
        file_context.add(0, "", "larger than " + std::to_string(max_table_bytes) + " bytes",
                         "split the deployment");
        return {};
    }
    toml::table parsed;
    try {
        parsed = toml::parse(text);
    }
    catch (const toml::parse_error& failure) {
        file_context.add(failure.source().begin.line, "", std::string{failure.description()},
                         "write valid TOML");
        return {};
    }
    std::string deployment;
    for (const auto& [key, node] : parsed) {
        if (key.str() == "deployment" && node.is_string())
            deployment = node.value_or(std::string{});
        else if (key.str() == rows_key && node.is_array())
            read_rows(*node.as_array(), file, rows, lines, problems);
        else
            file_context.add(line_of(node), key.str(), "unknown or wrong at the top of the file",
                             "write deployment = \"...\" and rows under [[" +
                                 std::string{rows_key} + "]]");
    }
    if (deployment.empty())
        file_context.add(0, "deployment", "missing",
                         "write deployment = \"...\" as the first line");
    return deployment;
}

template <class Row>
void sort_by_name(std::vector<Row>& rows)
{
    std::stable_sort(rows.begin(), rows.end(),
                     [](const Row& a, const Row& b) { return a.name < b.name; });
}

} // namespace

std::string to_string(const table_problem& problem)
{
    std::string text = problem.file;
    if (problem.line != 0)
        text += ":" + std::to_string(problem.line);
    text += ": ";
    if (!problem.row.empty())
        text += "row '" + problem.row + "', ";
    if (!problem.field.empty())
        text += "field '" + problem.field + "': ";
    text += problem.message;
    if (!problem.remedy.empty())
        text += "; " + problem.remedy;
    return text;
}

table_report read_tables(std::string_view routes_text, std::string_view pools_text)
{
    table_report report;
    configuration& tables = report.tables;
    const std::string routes_deployment = read_table(
        routes_text, routes_file, "route", tables.routes, report.route_lines, report.problems);
    const std::string pools_deployment = read_table(pools_text, pools_file, "pool", tables.pools,
                                                    report.pool_lines, report.problems);
    if (!routes_deployment.empty() && !pools_deployment.empty() &&
        routes_deployment != pools_deployment)
    {
        report.problems.push_back(
            {std::string{pools_file}, 0, "", "deployment",
             "'" + pools_deployment + "', but the routes are of '" + routes_deployment + "'",
             "name the same deployment in both files"});
    }
    tables.deployment = routes_deployment;
    sort_by_name(tables.routes);
    sort_by_name(tables.pools);
    if (report.problems.empty())
        check_tables(report);
    return report;
}

error to_error(const std::vector<table_problem>& problems)
{
    std::string message;
    for (const table_problem& problem : problems) {
        if (!message.empty())
            message += "\n";
        message += to_string(problem);
    }
    return {error_kind::invalid_table, std::move(message),
            "correct the tables and run `jaynotch validate` before applying them"};
}

result<configuration> parse_tables(std::string_view routes_text, std::string_view pools_text)
{
    table_report report = read_tables(routes_text, pools_text);
    if (!report.problems.empty())
        return to_error(report.problems);
    return std::move(report.tables);
}

} // namespace jaynotch
