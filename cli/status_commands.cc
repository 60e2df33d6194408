// Commands that print the state of the deployment as one daemon reports it: status, nodes, groups,
// history and drain-status. Also the command version.
#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/printer.h"

namespace jaynotch {

namespace {

/// Requests `target` and prints the answer's list `name` as columns, or the whole answer as JSON.
result<exit_code> show_list(const command_context& context, const std::string& target,
                            std::string_view name, const std::vector<std::string>& fields)
{
    admin_client client{context.options};
    BOOST_OUTCOME_TRY(const boost::json::value answer, client.get(target));
    if (context.options.output == output_format::json) {
        print_json(context.out, answer);
        return exit_code::succeeded;
    }
    const boost::json::value* list = find_field(answer, name);
    if (list == nullptr)
        return error{error_kind::protocol, "the answer has no " + std::string{name},
                     "check that the daemon has this tool's version"};
    print_objects(context.out, *list, fields);
    return exit_code::succeeded;
}

/// Formats the members of a group, for example "vm-1 ready, vm-2 loading". A member that the
/// answering node does not probe is listed without a state.
std::string members_text(const boost::json::value& group)
{
    const boost::json::value* members = find_field(group, "members");
    std::string text;
    if (members == nullptr || !members->is_array())
        return "-";
    for (const boost::json::value& member : members->as_array()) {
        // Empty if the answering node does not probe this member.
        const std::string state = field_text(member, "state");
        text += (text.empty() ? "" : ", ") + field_text(member, "vm");
        text += state.empty() ? "" : " " + state;
    }
    return text;
}

} // namespace

result<exit_code> run_history(const command_context& context)
{
    return show_list(context, "/admin/v1/history", "changes",
                     {"revision", "author", "at_ms", "message", "change_id"});
}

result<exit_code> run_nodes(const command_context& context)
{
    return show_list(context, "/admin/v1/nodes", "nodes",
                     {"node", "failure_domain", "state", "revision"});
}

result<exit_code> run_drain_status(const command_context& context)
{
    return show_list(context, "/admin/v1/drain", "servers", {"server", "state", "in_flight"});
}

result<exit_code> run_groups(const command_context& context)
{
    admin_client client{context.options};
    BOOST_OUTCOME_TRY(const boost::json::value answer, client.get("/admin/v1/groups"));
    if (context.options.output == output_format::json) {
        print_json(context.out, answer);
        return exit_code::succeeded;
    }
    text_rows rows{{"group", "pool", "fabric domain", "complete", "fencing", "version", "members"}};
    const boost::json::value* list = find_field(answer, "groups");
    if (list != nullptr && list->is_array()) {
        for (const boost::json::value& group : list->as_array())
            rows.push_back({field_text(group, "group"), field_text(group, "pool"),
                            field_text(group, "fabric_domain"), field_text(group, "complete"),
                            field_text(group, "fencing"), field_text(group, "version"),
                            members_text(group)});
    }
    print_columns(context.out, rows);
    return exit_code::succeeded;
}

result<exit_code> run_status(const command_context& context)
{
    admin_client client{context.options};
    BOOST_OUTCOME_TRY(const boost::json::value answer, client.get("/admin/v1/status"));
    if (context.options.output == output_format::json) {
        print_json(context.out, answer);
        return exit_code::succeeded;
    }
    text_rows rows;
    if (const boost::json::object* fields = answer.if_object()) {
        for (const auto& member : *fields)
            rows.push_back({std::string{member.key()}, field_text(answer, member.key())});
    }
    print_columns(context.out, rows);
    return exit_code::succeeded;
}

result<exit_code> run_version(const command_context& context)
{
    if (context.options.output == output_format::json)
        print_json(context.out, boost::json::object{{"version", JAYNOTCH_VERSION}});
    else
        context.out << "jaynotch " JAYNOTCH_VERSION "\n";
    return exit_code::succeeded;
}

} // namespace jaynotch
