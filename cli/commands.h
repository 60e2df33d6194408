// The commands of the command line. Each returns an exit code or an error; cli.cc prints the error
// and maps it to an exit code.
#pragma once

#include "cli/cli.h"
#include "cli/options.h"

#include <ostream>

namespace jaynotch {

/// Options and output streams of one command.
struct command_context {
    const cli_options& options;
    std::ostream& out;
    std::ostream& progress; ///< progress messages during long waits
};

result<exit_code> run_validate(const command_context& context);
result<exit_code> run_diff(const command_context& context);
result<exit_code> run_fetch(const command_context& context);
result<exit_code> run_apply(const command_context& context);
result<exit_code> run_rollback(const command_context& context);
result<exit_code> run_show(const command_context& context);
result<exit_code> run_history(const command_context& context);
result<exit_code> run_status(const command_context& context);
result<exit_code> run_nodes(const command_context& context);
result<exit_code> run_groups(const command_context& context);
result<exit_code> run_drain_status(const command_context& context);
result<exit_code> run_load(const command_context& context);
result<exit_code> run_explain(const command_context& context);
result<exit_code> run_losses(const command_context& context);
result<exit_code> run_calls(const command_context& context);
result<exit_code> run_version(const command_context& context);

} // namespace jaynotch
