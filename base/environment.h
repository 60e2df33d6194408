// Settings from the environment: each flag of a program may also be set as JAYNOTCH_<FLAG>.
//
//   BOOST_OUTCOME_TRY(read_environment("daemon/flags.cc"));   // before the command line is parsed,
//   absl::ParseCommandLine(argc, argv);                       // so that a flag wins
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

namespace jaynotch {

/// The variable of a flag: "JAYNOTCH_" and its name in capitals.
std::string environment_name(std::string_view flag);

/// Sets every flag that is defined in the source file with this ending from its variable, if that
/// is set. The error names the variable and what --help says of it.
result<void> read_environment(std::string_view source_file);

} // namespace jaynotch
