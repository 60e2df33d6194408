// Reads the lines of daemons' logs.
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

struct log_line {
    std::int64_t at_ms = 0; ///< Unix time
    std::string instance;   ///< the daemon that wrote it
    std::string kind;
    std::string request;        ///< that it is about; empty if none
    boost::json::object fields; ///< all of them
};

struct log_lines {
    std::vector<log_line> lines;
    std::size_t unreadable = 0; ///< begun as a daemon's line, but cut short or garbled
};

log_lines read_log_lines(std::istream& input);
/// Of the files named, or of standard input if none is.
result<log_lines> read_log_files(const std::vector<std::string>& paths);

/// A field's text; empty if there is none, or it is of another type.
std::string text_field(const log_line& line, std::string_view name);
/// A field's number; `otherwise` if there is none, or it is of another type.
std::int64_t number_field(const log_line& line, std::string_view name, std::int64_t default_value);

} // namespace jaynotch
