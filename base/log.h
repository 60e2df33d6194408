// Logs: one JSON object a line on standard error, written by a glog sink.
//
//   install_json_log("jaynotchd", "entry-1");
//   log_event(log_level::info, "config_installed", {{"revision", 7}, {"rows", 3}});
//
// The kind is a fixed word that docs/OPERATIONS.md lists; what varies goes into the fields.
// Lines of libraries that log through glog come out with the kind "library".
#pragma once

#include "base/names.h"

#include <boost/json.hpp>

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
    log_field(std::string_view called, const T& given)
        : name{called}, value(boost::json::value_from(given))
    {}

    std::string_view name;
    boost::json::value value;
};

/// Makes glog write JSON lines only; call once, first thing in main.
void install_json_log(std::string_view program, std::string_view instance);

/// Writes one line.
void log_event(log_level level, std::string_view kind, std::initializer_list<log_field> fields);

} // namespace jaynotch
