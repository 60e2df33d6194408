#include "cli/cli.h"

#include "cli/commands.h"

#include <array>
#include <iostream>

namespace jaynotch {

namespace {

struct command {
    std::string_view name;
    result<exit_code> (*run)(const command_context&);
};

constexpr std::array commands{
    command{"validate", run_validate},
    command{"diff", run_diff},
    command{"fetch", run_fetch},
    command{"apply", run_apply},
    command{"rollback", run_rollback},
    command{"show", run_show},
    command{"history", run_history},
    command{"status", run_status},
    command{"nodes", run_nodes},
    command{"groups", run_groups},
    command{"drain-status", run_drain_status},
    command{"load", run_load},
    command{"explain", run_explain},
    command{"losses", run_losses},
    command{"calls", run_calls},
    command{"version", run_version},
};

exit_code report(const error& failure)
{
    std::cerr << "jaynotch: " << to_string(failure) << "\n";
    return to_exit_code(failure.kind);
}

exit_code run(const cli_options& options)
{
    if (options.arguments.empty() || options.arguments[0] == "help") {
        std::cout << usage_text();
        return options.arguments.empty() ? exit_code::usage : exit_code::succeeded;
    }
    for (const command& entry : commands) {
        if (entry.name != options.arguments[0])
            continue;
        const result<exit_code> done = entry.run({options, std::cout, std::cerr});
        return done ? done.value() : report(done.error());
    }
    return report({error_kind::invalid_argument, "unknown command '" + options.arguments[0] + "'",
                   "run `jaynotch help` for the list of commands"});
}

} // namespace

exit_code to_exit_code(error_kind kind)
{
    switch (kind) {
    case error_kind::invalid_argument:
        return exit_code::usage;
    case error_kind::invalid_table:
    case error_kind::too_large:
        return exit_code::invalid_table;
    case error_kind::conflict:
        return exit_code::conflict;
    case error_kind::unavailable:
    case error_kind::overloaded:
    case error_kind::rate_limited:
    case error_kind::deadline_exceeded:
        return exit_code::unreachable;
    case error_kind::unauthorized:
        return exit_code::unauthorized;
    case error_kind::unknown_outcome:
        return exit_code::outcome_unknown;
    case error_kind::not_found:
    case error_kind::cancelled:
    case error_kind::protocol:
    case error_kind::internal:
        break;
    }
    return exit_code::failed;
}

int run_command_line(int argc, char** argv)
{
    try {
        const result<cli_options> options = options_from_flags(argc, argv);
        const exit_code code = options ? run(options.value()) : report(options.error());
        return static_cast<int>(code);
    }
    catch (const std::exception& failure) {
        std::cerr << "jaynotch: " << failure.what() << "\n";
        return static_cast<int>(exit_code::failed);
    }
}

} // namespace jaynotch
