// Logs: one JSON object a line on standard output. Their volume is bounded and writing them never
// waits (base/log_buffer.h); lines of libraries that log through glog come along.
//
//   install_json_log("jaynotchd", "entry-1");
//   log_event(log_level::info, "config_installed", {{"revision", 7}, {"rows", 3}});
//
// The kind is a fixed word that docs/OPERATIONS.md lists; what varies goes into the fields.
// Lines of libraries come out with the kind "library".
#pragma once

#include "base/names.h"

#include <boost/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace jaynotch {

enum class log_level { info, warning, error };

template <>
struct enum_names<log_level> {
    static constexpr std::array entries{
        named{log_level::info, "info"},
        named{log_level::warning, "warning"},
        named{log_level::error, "error"},
    };
};

/// One named value of a log line.
struct log_field {
    /// Takes whatever Boost.JSON can convert: numbers, strings of either kind, names, lists.
    template <class T>
    log_field(std::string_view field_name, const T& field_value)
        : name{field_name}, value(boost::json::value_from(field_value))
    {}

    std::string_view name;
    boost::json::value value;
};

/// Makes glog write JSON lines only; call once, first thing in main.
void install_json_log(std::string_view program, std::string_view instance);

/// Writes one line.
void log_event(log_level level, std::string_view kind, std::initializer_list<log_field> fields);

/// From now on routine lines wait for flush_log, which the process calls some times a second;
/// warnings and errors still go out at once.
void defer_routine_log_lines();
/// Writes out what standard output takes now, and a line that says what was dropped, by kind.
void flush_log();
/// The same at the process's end, where a slow reader is waited for a moment.
void flush_log_at_exit();
std::uint64_t log_lines_dropped();

} // namespace jaynotch
