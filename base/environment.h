// Settings from the environment: each flag of a program may also be set by JAYNOTCH_<FLAG>.
//
//   BOOST_OUTCOME_TRY(read_environment("daemon/flags.cc"));   // before the command line is parsed,
//   absl::ParseCommandLine(argc, argv);                       // so that flags take precedence
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

namespace jaynotch {

/// Name of a flag's environment variable: "JAYNOTCH_" and the flag's name in capitals.
std::string environment_name(std::string_view flag);

/// Sets each flag that is defined in a source file whose path ends with `source_file` from its
/// environment variable, if that is set. The error names the variable, its value and the flag.
result<void> read_environment(std::string_view source_file);

} // namespace jaynotch
