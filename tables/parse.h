// Reading the two tables.
//
//   table_report report = read_tables(routes_text, pools_text);
//   if (!report.problems.empty()) ...              // each names file, line, field and remedy
//   result<configuration> tables = parse_tables(routes_text, pools_text);  // the same, folded
//
// Whatever is not a known key is refused: a misspelt limit must not pass as no limit.
#pragma once

#include "tables/tables.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

inline constexpr std::string_view routes_file = "routes.toml";
inline constexpr std::string_view pools_file = "pools.toml";
/// Longest text of one table, bytes.
inline constexpr std::size_t max_table_bytes = 4U << 20U;
/// Most rows of one table.
inline constexpr std::size_t max_table_rows = 20'000;
/// Most problems that one report lists.
inline constexpr std::size_t max_problems = 50;

/// One thing wrong with a table.
struct table_problem {
    std::string file;
    std::uint32_t line = 0; ///< 1 for the first; 0 if it concerns the whole file
    std::string row;        ///< name of the row, or empty
    std::string field;      ///< or empty
    std::string message;
    std::string remedy;

    friend bool operator==(const table_problem&, const table_problem&) = default;
};

/// "routes.toml:12: route 'chat', field 'pool': no pool 'x'; write one of: a, b".
std::string to_string(const table_problem& problem);

/// Where each row begins, for the messages of later checks.
struct row_location {
    std::string name;
    std::uint32_t line = 0;
};

/// What reading found. `tables` is only of use if there are no problems.
struct table_report {
    configuration tables;
    std::vector<row_location> route_lines;
    std::vector<row_location> pool_lines;
    std::vector<table_problem> problems;
};

/// Reads and checks both texts; the revision is left at 0.
table_report read_tables(std::string_view routes_text, std::string_view pools_text);

/// The same as a result: the error lists the problems, one a line.
result<configuration> parse_tables(std::string_view routes_text, std::string_view pools_text);

/// The error that lists these problems.
error to_error(const std::vector<table_problem>& problems);

/// The routes as canonical TOML: rows by name, fields in a fixed order, defaults left out.
std::string render_routes(const configuration& tables);
/// The pools likewise.
std::string render_pools(const configuration& tables);

} // namespace jaynotch
