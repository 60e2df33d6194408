// Public header of the command line: `jaynotch COMMAND [flags]`.
//
//   int main(int argc, char** argv) { return jaynotch::run_command_line(argc, argv); }
//
// Commands talk to a daemon's admin port or read local files. Operators keep the tables in version
// control, together with the file revision.lock, which names the revision they were edited from.
#pragma once

#include "base/base.h"

namespace jaynotch {

/// Exit codes of the program; documented in docs/OPERATIONS.md.
enum class exit_code : int {
    succeeded = 0,
    failed = 1,          ///< any other failure
    usage = 2,           ///< unknown command, flag or value
    invalid_table = 3,   ///< the tables are invalid; nothing was accepted
    conflict = 4,        ///< a row was edited concurrently; nothing was accepted
    unreachable = 5,     ///< no answer from a daemon or the platform; nothing was accepted
    not_confirmed = 6,   ///< accepted, but not every node confirmed in time
    unauthorized = 7,    ///< client certificate missing or not trusted
    outcome_unknown = 8, ///< may have been accepted; retry with the printed change id
    differs = 9,         ///< `diff` found differences
};

/// Maps an error to the exit code of the program.
exit_code to_exit_code(error_kind kind);

/// Parses flags and environment variables and runs one command. Output goes to standard output,
/// errors go to standard error. Returns the exit code.
int run_command_line(int argc, char** argv);

} // namespace jaynotch
