#include "cli/options.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>

ABSL_FLAG(std::vector<std::string>, admin, {"127.0.0.1:8082"},
          "Admin IP:ports of daemons, by commas; the first that answers is used");
ABSL_FLAG(std::string, certificate, "", "PEM certificate shown to the daemon; empty: plain HTTP");
ABSL_FLAG(std::string, key, "", "PEM key of --certificate");
ABSL_FLAG(std::string, authority, "", "PEM authority that the daemon's certificate needs");
ABSL_FLAG(std::string, dir, ".", "Folder of routes.toml, pools.toml and revision.lock");
ABSL_FLAG(std::string, author, "", "Who makes the change; the login name if empty");
ABSL_FLAG(std::string, message, "", "Why, for the history");
ABSL_FLAG(std::string, change_id, "", "To ask again for a change whose outcome was unknown");
ABSL_FLAG(std::int64_t, base_revision, -1, "What the tables were made from; -1: revision.lock");
ABSL_FLAG(std::int64_t, revision, 0, "For show, fetch, diff and rollback; 0: the current one");
ABSL_FLAG(bool, wait, false, "With apply and rollback: until every node has it in force");
ABSL_FLAG(std::int64_t, timeout_ms, 5'000, "For one call to a daemon");
ABSL_FLAG(std::int64_t, wait_timeout_ms, 20'000, "For --wait");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(std::string, target, "127.0.0.1:8080", "With load: caller IP:port of a daemon");
ABSL_FLAG(std::string, model, "", "With load: the model to ask");
ABSL_FLAG(std::string, workspace, "default", "With load: the workspace to ask as");
ABSL_FLAG(double, rate, 5.0, "With load: requests a second, open loop");
ABSL_FLAG(double, seconds, 5.0, "With load: how long");
ABSL_FLAG(std::uint64_t, load_seed, 1, "With load: seed of arrivals and prompts");
ABSL_FLAG(std::uint32_t, prompt_bytes, 200, "With load: length of a prompt");
ABSL_FLAG(std::uint32_t, max_tokens, 32, "With load: tokens of an answer");

namespace jaynotch {

namespace {

constexpr std::string_view command_texts = R"(jaynotch: the operators' command line

  jaynotch validate                 check routes.toml and pools.toml of --dir; sends nothing
  jaynotch diff                     what applying them would change (or --revision N: since N)
  jaynotch fetch                    write the tables in force, and revision.lock, into --dir
  jaynotch apply [--wait]           put them in force; --wait until every node confirms
  jaynotch rollback --revision N    the tables of revision N as a new revision
  jaynotch show routes|pools        the tables in force (or of --revision N)
  jaynotch history                  accepted changes: who, when, why
  jaynotch status                   the daemon that answers: ready, revision, platform
  jaynotch nodes                    every node and the revision it has in force
  jaynotch groups                   every group, its members and whether it is complete
  jaynotch drain-status             backend servers that are leaving, and what is left on them
  jaynotch explain REQUEST [LOG...] tell one request's story from daemons' logs (or stdin)
  jaynotch losses [LOG...]          what was late or not served, by route, time and cause
  jaynotch calls [LOG...]           what the nodes asked of the platform's store, by time and node
  jaynotch load --model M           drive open-loop load at --target and print percentiles
  jaynotch version

Two edits of different rows merge; two edits of one row are a conflict, told with who and when.
revision.lock says which revision your tables were made from: keep it in version control with them.

Exit codes: 0 fine, 1 failed, 2 usage, 3 invalid tables, 4 conflict, 5 unreachable,
6 accepted but not confirmed everywhere, 7 unauthorized, 8 outcome unknown (ask again with the
printed --change_id), 9 diff found differences.

Flags may also be set as environment variables, for example JAYNOTCH_ADMIN; the flag wins.
`jaynotch --helpfull` lists them all.
)";

error flag_error(std::string_view flag, std::string_view what, std::string_view remedy)
{
    return error{error_kind::invalid_argument, "--" + std::string{flag} + " " + std::string{what},
                 std::string{remedy}};
}

result<void> check(const cli_options& options)
{
    if (options.admin.empty())
        return flag_error("admin", "is empty", "give the admin IP:port of a daemon");
    if (options.certificate.empty() != options.key.empty())
        return flag_error("certificate", "and --key go together", "set both or neither");
    if (options.timeout.count() <= 0 || options.wait_timeout.count() <= 0)
        return flag_error("timeout_ms", "or --wait_timeout_ms is not positive", "give 1 or more");
    if (options.load.rate <= 0 || options.load.seconds <= 0)
        return flag_error("rate", "or --seconds is not positive", "give a number above 0");
    if (options.revision < 0 || options.base_revision < -1)
        return flag_error("revision", "or --base_revision is negative", "give a revision");
    return success();
}

std::string login_name()
{
    const char* user = std::getenv("USER");
    return user == nullptr || *user == '\0' ? "operator" : user;
}

load_options load_from_flags()
{
    load_options load;
    load.target = absl::GetFlag(FLAGS_target);
    load.model = absl::GetFlag(FLAGS_model);
    load.workspace = absl::GetFlag(FLAGS_workspace);
    load.rate = absl::GetFlag(FLAGS_rate);
    load.seconds = absl::GetFlag(FLAGS_seconds);
    load.seed = absl::GetFlag(FLAGS_load_seed);
    load.prompt_bytes = absl::GetFlag(FLAGS_prompt_bytes);
    load.max_tokens = absl::GetFlag(FLAGS_max_tokens);
    return load;
}

} // namespace

std::string usage_text()
{
    return std::string{command_texts};
}

result<cli_options> options_from_flags(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage_text());
    BOOST_OUTCOME_TRY(read_environment("cli/options.cc"));
    const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
    cli_options options;
    options.arguments.assign(arguments.begin() + 1, arguments.end());
    options.admin = absl::GetFlag(FLAGS_admin);
    options.certificate = absl::GetFlag(FLAGS_certificate);
    options.key = absl::GetFlag(FLAGS_key);
    options.authority = absl::GetFlag(FLAGS_authority);
    options.directory = absl::GetFlag(FLAGS_dir);
    options.author = absl::GetFlag(FLAGS_author);
    if (options.author.empty())
        options.author = login_name();
    options.message = absl::GetFlag(FLAGS_message);
    options.change_id = absl::GetFlag(FLAGS_change_id);
    options.base_revision = absl::GetFlag(FLAGS_base_revision);
    options.revision = absl::GetFlag(FLAGS_revision);
    options.wait = absl::GetFlag(FLAGS_wait);
    options.timeout = std::chrono::milliseconds{absl::GetFlag(FLAGS_timeout_ms)};
    options.wait_timeout = std::chrono::milliseconds{absl::GetFlag(FLAGS_wait_timeout_ms)};
    const auto format = from_name<output_format>(absl::GetFlag(FLAGS_output));
    if (!format)
        return flag_error("output", "is neither text nor json", "write one of them");
    options.output = *format;
    options.load = load_from_flags();
    BOOST_OUTCOME_TRY(check(options));
    return options;
}

} // namespace jaynotch
