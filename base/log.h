// Structured logs: one JSON object per line on standard output. Their volume is bounded and logging
// never blocks (base/log_buffer.h).
//
//   install_json_log("jaynotchd", "entry-1");
//   log_event(log_level::info, "config_installed", {{"revision", 7}, {"rows", 3}});
//
// The kind is one of the fixed names that docs/OPERATIONS.md lists; variable data goes into the
// fields. Lines that libraries log through glog are included with the kind "library".
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

/// One field of a log line.
struct log_field {
    /// Accepts any type that Boost.JSON can convert, such as numbers, strings and lists.
    template <class T>
    log_field(std::string_view field_name, const T& field_value)
        : name{field_name}, value(boost::json::value_from(field_value))
    {}

    std::string_view name;
    boost::json::value value;
};

/// Starts the log and redirects glog to it. Call once, at the start of main.
void install_json_log(std::string_view program, std::string_view instance);

/// Writes one line.
void log_event(log_level level, std::string_view kind, std::initializer_list<log_field> fields);

/// From now on lines of level info stay buffered until flush_log, which the process calls several
/// times a second, or until 8 KiB are buffered. Warnings and errors are written at once.
void defer_routine_log_lines();
/// Writes as much as standard output accepts without blocking. If lines were dropped, a line that
/// counts them by kind is added first.
void flush_log();
/// The same at process exit, with a short wait for a slow reader.
void flush_log_at_exit();
/// Lines dropped since the process started.
std::uint64_t log_lines_dropped();

} // namespace jaynotch
