// Reads the two tables from TOML and writes them as canonical TOML.
//
//   table_report report = read_tables(routes_text, pools_text);
//   if (!report.problems.empty()) ...              // each names file, line, field and remedy
//   result<configuration> tables = parse_tables(routes_text, pools_text);  // as a result<T>
//
// Unknown keys are errors: a misspelt limit must not be ignored, which would mean no limit.
#pragma once

#include "tables/tables.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

inline constexpr std::string_view routes_file = "routes.toml";
inline constexpr std::string_view pools_file = "pools.toml";
/// Maximum length of the text of one table, in bytes.
inline constexpr std::size_t max_table_bytes = 4U << 20U;
/// Maximum number of rows of one table.
inline constexpr std::size_t max_table_rows = 20'000;
/// Maximum number of problems in one report.
inline constexpr std::size_t max_problems = 50;

/// One problem of a table.
struct table_problem {
    std::string file;
    std::uint32_t line = 0; ///< counted from 1; 0 if it concerns the whole file
    std::string row;        ///< name of the row; may be empty
    std::string field;      ///< name of the field; may be empty
    std::string message;
    std::string remedy;

    friend bool operator==(const table_problem&, const table_problem&) = default;
};

/// "routes.toml:12: row 'chat', field 'pool': no pool 'x'; write one of: a b".
std::string to_string(const table_problem& problem);

/// The line at which a row begins, for the problems that later checks report.
struct row_location {
    std::string name;
    std::uint32_t line = 0;
};

/// Result of reading the tables. `tables` is valid only if there are no problems.
struct table_report {
    configuration tables;
    std::vector<row_location> route_lines;
    std::vector<row_location> pool_lines;
    std::vector<table_problem> problems;
};

/// Parses and checks both texts. The revision is left at 0.
table_report read_tables(std::string_view routes_text, std::string_view pools_text);

/// The same as a result; the error lists the problems, one per line.
result<configuration> parse_tables(std::string_view routes_text, std::string_view pools_text);

/// An invalid_table error that lists the problems, one per line.
error to_error(const std::vector<table_problem>& problems);

/// The routes as canonical TOML: rows sorted by name, fields in fixed order, defaults omitted.
std::string render_routes(const configuration& tables);
/// The pools as canonical TOML.
std::string render_pools(const configuration& tables);

} // namespace jaynotch
