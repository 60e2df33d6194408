// Test fixture: a small configuration, and a request core with a manual clock.
#pragma once

#include "routing/routing.h"

#include <string>
#include <vector>

namespace jaynotch::testing {

inline pool make_model_pool(const std::string& name)
{
    pool made;
    made.name = pool_id{name};
    made.kind = pool_kind::model;
    made.model = "summary-70b";
    made.version = "v1";
    made.max_in_flight_per_replica = 8;
    return made;
}

inline pool make_plain_pool(const std::string& name, std::vector<std::string> servers)
{
    pool made;
    made.name = pool_id{name};
    made.kind = pool_kind::plain;
    made.servers = std::move(servers);
    made.max_in_flight_per_server = 8;
    return made;
}

inline route make_plain_route(const std::string& name, const std::string& prefix,
                              repeat_policy repeat)
{
    route made;
    made.name = route_id{name};
    made.kind = request_kind::plain;
    made.workspaces = {"*"};
    made.path_prefix = prefix;
    made.pool = pool_id{"registry"};
    made.repeat = repeat;
    made.timeout = std::chrono::seconds{2};
    return made;
}

/// Routes: chat requests to the model pool "chat"; /orders is keyed, /once must not be repeated,
/// /read is idempotent.
inline configuration make_tables()
{
    configuration tables;
    tables.deployment = "test";
    tables.revision = config_revision{1};
    route chat;
    chat.name = route_id{"chat"};
    chat.kind = request_kind::chat;
    chat.model = "summary";
    chat.workspaces = {"*"};
    chat.pool = pool_id{"chat"};
    chat.timeout = std::chrono::seconds{2};
    tables.routes = {chat, make_plain_route("orders", "/orders", repeat_policy::keyed),
                     make_plain_route("once", "/once", repeat_policy::never),
                     make_plain_route("read", "/read", repeat_policy::idempotent)};
    tables.pools = {make_model_pool("chat"),
                    make_plain_pool("registry", {"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"})};
    return tables;
}

inline target make_group(int number, const std::string& pool = "chat")
{
    target made;
    made.id = target_id{"group-" + std::to_string(number)};
    made.pool = pool_id{pool};
    made.address = "10.1.0." + std::to_string(number) + ":8000";
    made.group = group_id{made.id.value()};
    made.fencing = fencing_number{7};
    made.version = "v1";
    return made;
}

inline std::vector<target> make_groups(int count)
{
    std::vector<target> made;
    for (int number = 1; number <= count; ++number)
        made.push_back(make_group(number));
    return made;
}

/// A request core with the configuration of make_tables() and `groups` complete groups.
class fixture {
public:
    explicit fixture(int groups = 2, const std::string& node = "entry-1", std::uint64_t seed = 1)
        : fixture(default_settings(node), groups, seed)
    {}

    fixture(core_settings settings, int groups, std::uint64_t seed,
            const configuration& tables = make_tables())
        : core{request_core::create(std::move(settings), random_source{seed}, now).value()}
    {
        send(tables_installed{tables});
        if (groups > 0)
            send(groups_changed{make_groups(groups)});
        commands.clear();
    }

    static core_settings default_settings(const std::string& node = "entry-1")
    {
        core_settings settings;
        settings.node = node_id{node};
        settings.incarnation = "boot-1";
        return settings;
    }

    /// Processes an event and returns the resulting commands.
    command_list send(const event& happened)
    {
        command_list out;
        core.handle(happened, now, out);
        commands.insert(commands.end(), out.begin(), out.end());
        return out;
    }

    /// Advances the time by `span` in steps of `step`, with a tick at each.
    command_list pass(duration span, duration step = std::chrono::milliseconds{10})
    {
        command_list out;
        for (duration passed{0}; passed < span; passed += step) {
            now += step;
            core.handle(tick{}, now, out);
        }
        commands.insert(commands.end(), out.begin(), out.end());
        return out;
    }

    command_list chat(std::uint64_t id, const std::string& workspace = "dealers")
    {
        request_info info;
        info.id = request_id{id};
        info.kind = request_kind::chat;
        info.model = "summary";
        info.workspace = workspace_id{workspace};
        info.stream = true;
        info.answer_tokens = 100;
        return send(request_arrived{info});
    }

    command_list plain(std::uint64_t id, const std::string& path, const std::string& key = "",
                       const std::string& body = "body")
    {
        request_info info;
        info.id = request_id{id};
        info.method = "POST";
        info.path = path;
        info.workspace = workspace_id{"farm"};
        info.idempotency_key = key;
        info.body_digest = body;
        return send(request_arrived{info});
    }

    time_point now{std::chrono::hours{1}};
    request_core core;
    command_list commands; ///< all since construction
};

/// The first command of a type, or nullptr.
template <class Command>
const Command* first(const command_list& commands)
{
    for (const command& each : commands) {
        if (const auto* found = std::get_if<Command>(&each); found != nullptr)
            return found;
    }
    return nullptr;
}

template <class Command>
std::size_t count(const command_list& commands)
{
    std::size_t found = 0;
    for (const command& each : commands)
        found += std::holds_alternative<Command>(each) ? 1 : 0;
    return found;
}

} // namespace jaynotch::testing
