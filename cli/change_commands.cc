// `jaynotch apply` and `jaynotch rollback`. A change id is generated before the first call and
// printed if the outcome is unknown, so that a retry with it cannot make a second change. With
// --wait, the daemon's list of nodes is polled until each node has installed the revision or a
// later one.
#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/printer.h"
#include "cli/working_copy.h"
#include "tables/parse.h"

#include <random>
#include <thread>

namespace jaynotch {

namespace {

constexpr std::chrono::milliseconds poll_interval{100};
constexpr std::size_t change_id_length = 24;

std::string generate_change_id()
{
    std::random_device entropy;
    std::string bytes;
    for (int i = 0; i < 8; ++i)
        bytes += std::to_string(entropy()) + ".";
    return content_digest(bytes).substr(0, change_id_length);
}

struct acceptance {
    std::int64_t revision = 0;
    bool merged = false;
    std::string change_id;
};

/// Adds the change id to the remedy of an error whose outcome is unknown, for a safe retry.
error with_change_id(error failure, const std::string& change_id)
{
    if (failure.kind == error_kind::unknown_outcome)
        failure.remedy =
            "retry with --change_id=" + change_id + "; a change id is applied at most once";
    return failure;
}

result<acceptance> send_change(const command_context& context, const working_copy& copy)
{
    acceptance accepted;
    accepted.change_id =
        context.options.change_id.empty() ? generate_change_id() : context.options.change_id;
    boost::json::object body;
    body["routes"] = copy.routes;
    body["pools"] = copy.pools;
    body["base_revision"] = copy.base_revision;
    body["author"] = context.options.author;
    body["message"] = context.options.message;
    body["change_id"] = accepted.change_id;
    admin_client client{context.options};
    const result<boost::json::value> answer = client.post("/admin/v1/apply", body);
    if (!answer)
        return with_change_id(answer.error(), accepted.change_id);
    const boost::json::value* revision = find_field(answer.value(), "revision");
    if (revision == nullptr || !revision->is_int64())
        return error{error_kind::protocol, "the answer has no revision",
                     "check that the daemon has this tool's version"};
    accepted.revision = revision->as_int64();
    accepted.merged = field_text(answer.value(), "merged") == "true";
    return accepted;
}

/// How many nodes have installed a revision, from one poll.
struct confirmation_count {
    std::size_t confirmed = 0;
    std::size_t nodes = 0;
    std::string missing; ///< "name (state, revision N), …"
};

result<confirmation_count> count_confirmations(admin_client& client, std::int64_t revision)
{
    BOOST_OUTCOME_TRY(const boost::json::value answer, client.get("/admin/v1/nodes"));
    const boost::json::value* list = find_field(answer, "nodes");
    if (list == nullptr || !list->is_array())
        return error{error_kind::protocol, "the answer has no list of nodes",
                     "check that the daemon has this tool's version"};
    confirmation_count count;
    for (const boost::json::value& node : list->as_array()) {
        const std::string state = field_text(node, "state");
        if (state == "left")
            continue;
        count.nodes += 1;
        const std::string node_revision = field_text(node, "revision");
        if (std::atoll(node_revision.c_str()) >= revision) {
            count.confirmed += 1;
            continue;
        }
        count.missing += count.missing.empty() ? "" : ", ";
        count.missing +=
            field_text(node, "node") + " (" + state + ", revision " + node_revision + ")";
    }
    return count;
}

std::string progress_line(const result<confirmation_count>& poll_result, std::int64_t revision)
{
    if (!poll_result)
        return to_string(poll_result.error());
    const confirmation_count& count = poll_result.value();
    std::string line = "revision " + std::to_string(revision) + " in force on " +
                       std::to_string(count.confirmed) + " of " + std::to_string(count.nodes) +
                       " nodes";
    if (!count.missing.empty())
        line += "; waiting for " + count.missing;
    return line;
}

/// Polls until every node that has not left has installed the revision. Returns false on timeout.
bool wait_for_nodes(const command_context& context, std::int64_t revision)
{
    admin_client client{context.options};
    const time_point deadline = runtime_clock::now() + context.options.wait_timeout;
    std::string last_line;
    for (;;) {
        const result<confirmation_count> poll_result = count_confirmations(client, revision);
        const std::string line = progress_line(poll_result, revision);
        if (line != last_line)
            context.progress << line << std::endl;
        last_line = line;
        if (poll_result && poll_result.value().nodes > 0 && poll_result.value().missing.empty())
            return true;
        if (runtime_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
}

exit_code report_change(const command_context& context, const acceptance& accepted)
{
    if (context.options.output == output_format::json) {
        boost::json::object summary;
        summary["revision"] = accepted.revision;
        summary["merged"] = accepted.merged;
        summary["change_id"] = accepted.change_id;
        print_json(context.out, summary);
    }
    else {
        context.out << "accepted as revision " << accepted.revision << std::endl;
        if (accepted.merged)
            context.out << "merged with others' edits of other rows: run `jaynotch fetch` before "
                           "the next edit\n";
    }
    if (!context.options.wait || wait_for_nodes(context, accepted.revision))
        return exit_code::succeeded;
    return exit_code::not_confirmed;
}

} // namespace

result<exit_code> run_apply(const command_context& context)
{
    BOOST_OUTCOME_TRY(working_copy copy, read_working_copy(context.options.directory));
    if (context.options.base_revision >= 0)
        copy.base_revision = context.options.base_revision;
    BOOST_OUTCOME_TRY(parse_tables(copy.routes, copy.pools));
    BOOST_OUTCOME_TRY(const acceptance accepted, send_change(context, copy));
    // After a merge the local files lack the rows of other operators' edits. The lock keeps the old
    // base revision, since the next apply would otherwise treat those rows as deleted.
    if (!accepted.merged) {
        BOOST_OUTCOME_TRY(write_lock(context.options.directory, accepted.revision));
    }
    return report_change(context, accepted);
}

result<exit_code> run_rollback(const command_context& context)
{
    if (context.options.revision <= 0)
        return error{error_kind::invalid_argument, "rollback needs a revision",
                     "write --revision=N; `jaynotch history` lists them"};
    admin_client client{context.options};
    BOOST_OUTCOME_TRY(const boost::json::value current, client.get("/admin/v1/config"));
    BOOST_OUTCOME_TRY(
        const boost::json::value earlier,
        client.get("/admin/v1/config?revision=" + std::to_string(context.options.revision)));
    working_copy copy;
    copy.routes = field_text(earlier, "routes");
    copy.pools = field_text(earlier, "pools");
    copy.base_revision = std::atoll(field_text(current, "revision").c_str());
    BOOST_OUTCOME_TRY(const acceptance accepted, send_change(context, copy));
    return report_change(context, accepted);
}

} // namespace jaynotch
