// Public header of the command line: `jaynotch COMMAND [flags]`.
//
//   int main(int argc, char** argv) { return jaynotch::run_command_line(argc, argv); }
//
// Everything an operator does goes through a daemon's admin port; the tables themselves stay in
// version control, beside the file revision.lock that says which revision they were made from.
#pragma once

#include "base/base.h"

namespace jaynotch {

/// What the shell gets to see; listed in docs/OPERATIONS.md.
enum class exit_code : int {
    succeeded = 0,
    failed = 1,          ///< anything not listed here
    usage = 2,           ///< unknown command, flag or value
    invalid_table = 3,   ///< the tables do not check; nothing was accepted
    conflict = 4,        ///< someone else edited the same row first; nothing was accepted
    unreachable = 5,     ///< no daemon, or the platform behind it, answered; nothing was accepted
    not_confirmed = 6,   ///< accepted, but not every node confirmed in time
    unauthorized = 7,    ///< no or a foreign certificate
    outcome_unknown = 8, ///< it may have been accepted; ask again with the printed change id
    differs = 9,         ///< `diff` found differences
};

/// The exit code that an error leads to.
exit_code to_exit_code(error_kind kind);

/// Parses flags and environment, runs one command and prints to standard output; errors go to
/// standard error. Returns the exit code.
int run_command_line(int argc, char** argv);

} // namespace jaynotch
