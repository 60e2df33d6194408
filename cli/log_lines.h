// Parses the JSON log lines of daemons.
//
//   const log_lines read = read_log_lines(std::cin);
//   for (const log_line& line : read.lines) ...
#pragma once

#include "base/base.h"

#include <boost/json.hpp>

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// One parsed log line.
struct log_line {
    std::int64_t at_ms = 0;     ///< Unix time in milliseconds
    std::string instance;       ///< daemon that wrote the line
    std::string kind;           ///< event kind, for example "request_sent"
    std::string request;        ///< request id; empty if the line is not about a request
    boost::json::object fields; ///< all fields of the line
};

/// The result of reading logs.
struct log_lines {
    std::vector<log_line> lines;
    std::size_t unreadable = 0; ///< lines with a brace that do not parse as a log line
};

/// Reads log lines up to the end of `input`.
log_lines read_log_lines(std::istream& input);
/// Reads the given files, or standard input if there are none.
result<log_lines> read_log_files(const std::vector<std::string>& paths);

/// Value of a string field; empty if it is missing or has another type.
std::string text_field(const log_line& line, std::string_view name);
/// Value of an integer field; `default_value` if it is missing or has another type.
std::int64_t number_field(const log_line& line, std::string_view name, std::int64_t default_value);

} // namespace jaynotch
