#include "cli/options.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>

ABSL_FLAG(std::vector<std::string>, admin, {"127.0.0.1:8082"},
          "Admin IP:ports of daemons, separated by commas; the first that answers is used");
ABSL_FLAG(std::string, certificate, "", "PEM file of the client certificate; empty: plain HTTP");
ABSL_FLAG(std::string, key, "", "PEM file of the private key of --certificate");
ABSL_FLAG(std::string, authority, "",
          "PEM file of the CA that signs daemons' certificates; empty: the system's CAs");
ABSL_FLAG(std::string, dir, ".", "Folder that holds routes.toml, pools.toml and revision.lock");
ABSL_FLAG(std::string, author, "", "Author of the change; empty: the login name");
ABSL_FLAG(std::string, message, "", "Reason for the change, shown in the history");
ABSL_FLAG(std::string, change_id, "",
          "Id of the change; pass the printed one to retry a change of unknown outcome");
ABSL_FLAG(std::int64_t, base_revision, -1,
          "Revision that the tables were edited from; -1: read revision.lock");
ABSL_FLAG(std::int64_t, revision, 0,
          "Revision for show, fetch, diff and rollback; 0: the current one");
ABSL_FLAG(bool, wait, false,
          "With apply and rollback: wait until every node has installed the revision");
ABSL_FLAG(std::int64_t, timeout_ms, 5'000, "Timeout of one call to a daemon, in milliseconds");
ABSL_FLAG(std::int64_t, wait_timeout_ms, 20'000, "Timeout of --wait, in milliseconds");
ABSL_FLAG(std::string, output, "text", "Output format: text or json");
ABSL_FLAG(std::string, target, "127.0.0.1:8080",
          "With load: IP:port at which a daemon serves callers");
ABSL_FLAG(std::string, model, "", "With load: model to request");
ABSL_FLAG(std::string, workspace, "default", "With load: workspace to send requests as");
ABSL_FLAG(double, rate, 5.0, "With load: requests per second, open loop");
ABSL_FLAG(double, seconds, 5.0, "With load: duration in seconds");
ABSL_FLAG(std::uint64_t, load_seed, 1, "With load: random seed of arrival times and prompts");
ABSL_FLAG(std::uint32_t, prompt_bytes, 200, "With load: length of each prompt in bytes");
ABSL_FLAG(std::uint32_t, max_tokens, 32,
          "With load: length of each answer in tokens; 0: the engine decides");

namespace jaynotch {

namespace {

constexpr std::string_view command_texts = R"(jaynotch: command line for operators

  jaynotch validate                 check routes.toml and pools.toml of --dir; sends nothing
  jaynotch diff                     changes from the current tables (or --revision N) to --dir
  jaynotch fetch                    write the current tables and revision.lock to --dir
  jaynotch apply [--wait]           install the tables of --dir; --wait: until every node confirms
  jaynotch rollback --revision N    install the tables of revision N as a new revision
  jaynotch show routes|pools        print the current table (or that of --revision N)
  jaynotch history                  accepted changes with author, time and message
  jaynotch status                   state of one daemon: readiness, revision, platform
  jaynotch nodes                    every node and its installed revision
  jaynotch groups                   every group, its members and whether it is complete
  jaynotch drain-status             leaving backend servers and their requests in flight
  jaynotch explain REQUEST [LOG...] timeline of one request from daemons' logs (or stdin)
  jaynotch losses [LOG...]          late and unserved requests by route, time and cause
  jaynotch calls [LOG...]           the nodes' calls to the platform's store by time and node
  jaynotch load --model M           send open-loop load to --target and print percentiles
  jaynotch version

Concurrent edits of different rows are merged; concurrent edits of one row are a conflict, reported
with the author and time of the other edit. revision.lock holds the revision that the tables were
edited from: keep it in version control together with the tables.

Exit codes: 0 success, 1 failure, 2 usage, 3 invalid tables, 4 conflict, 5 unreachable,
6 accepted but not confirmed by every node, 7 unauthorized, 8 outcome unknown (retry with the
printed --change_id), 9 diff found differences.

Flags may also be set as environment variables, for example JAYNOTCH_ADMIN; flags take precedence.
`jaynotch --helpfull` lists all flags.
)";

error flag_error(std::string_view flag, std::string_view what, std::string_view remedy)
{
    return error{error_kind::invalid_argument, "--" + std::string{flag} + " " + std::string{what},
                 std::string{remedy}};
}

result<void> check(const cli_options& options)
{
    if (options.admin.empty())
        return flag_error("admin", "is empty", "set it to the admin IP:port of a daemon");
    if (options.certificate.empty() != options.key.empty())
        return flag_error("certificate", "and --key must be set together", "set both or neither");
    if (options.timeout.count() <= 0 || options.wait_timeout.count() <= 0)
        return flag_error("timeout_ms", "or --wait_timeout_ms is not positive",
                          "set it to 1 or more");
    if (options.load.rate <= 0 || options.load.seconds <= 0)
        return flag_error("rate", "or --seconds is not positive", "set it to a number above 0");
    if (options.revision < 0 || options.base_revision < -1)
        return flag_error("revision", "or --base_revision is negative",
                          "set it to a revision from `jaynotch history`");
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
        return flag_error("output", "is neither text nor json", "set it to text or json");
    options.output = *format;
    options.load = load_from_flags();
    BOOST_OUTCOME_TRY(check(options));
    return options;
}

} // namespace jaynotch
