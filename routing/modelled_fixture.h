// Test fixture: a request core with a configuration as the operators use it, in which the
// performance figures of the model's engines are known.
//
//   modelled_world world{2};                                     // two groups
//   const command_list out = world.submit("/chat/x");
//   const auto order = last_command<send_attempt>(out);
#pragma once

#include "routing/core_fixture.h"
#include "routing/engine_model.h"

#include <optional>
#include <string>
#include <vector>

namespace jaynotch::testing {

using namespace std::chrono_literals;

inline engine_figures dense_model()
{
    engine_figures made;
    made.step_ms = 6.0;
    made.sequence_ms = 0.045;
    made.context_ms_per_1k = 0.008;
    made.prompt_tokens_per_ms = 50.0;
    made.pairs_ms_per_1m = 0.37;
    made.chunk_tokens = 2048;
    made.steps_per_pass = 7;
    made.mean_prompt_tokens = 1'100;
    made.mean_answer_tokens = 180;
    return made;
}

inline configuration modelled_tables()
{
    configuration tables;
    tables.deployment = "test";
    tables.revision = config_revision{1};
    route chat;
    chat.name = route_id{"chat"};
    chat.kind = request_kind::plain;
    chat.workspaces = {"*"};
    chat.host = "a.example";
    chat.path_prefix = "/chat/";
    chat.backends = {{"llm", 1.0}};
    chat.streaming = true;
    chat.resumable = true;
    chat.repeat = repeat_policy::idempotent;
    chat.retry_server_errors = true;
    chat.most_servers = 2;
    chat.retries = 1;
    chat.timeout = 8s;
    chat.longest_stream = 0ms;
    chat.first_target = 300ms;
    chat.gap_target = 300ms;
    route deep = chat;
    deep.name = route_id{"deep"};
    deep.path_prefix = "/chat/deep/";
    deep.backends = {{"app", 1.0}};
    deep.streaming = false;
    deep.resumable = false;
    route other = chat;
    other.name = route_id{"other"};
    other.host = "b.example";
    other.open = true;
    tables.routes = {chat, deep, other};
    pool model;
    model.name = pool_id{"llm/m"};
    model.service = "llm";
    model.model = "m";
    model.kind = pool_kind::model;
    model.engine = dense_model();
    model.max_in_flight_per_replica = 8;
    pool app;
    app.name = pool_id{"app"};
    app.service = "app";
    app.kind = pool_kind::plain;
    tables.pools = {app, model};
    tables.workspaces = {{{workspace_id{"farm"}, {"key-1", "key-2"}, std::nullopt}}};
    return tables;
}

inline target group(int number)
{
    target made;
    made.id = target_id{"g" + std::to_string(number)};
    made.pool = pool_id{"llm/m"};
    made.address = "10.0.0." + std::to_string(number) + ":1";
    made.instance = vm_id{"i-" + std::to_string(number)};
    made.version = "m";
    made.places = 8;
    return made;
}

/// A plain server of the service "app".
inline target server(int number)
{
    target made;
    made.id = target_id{"app-" + std::to_string(number)};
    made.pool = pool_id{"app"};
    made.address = "10.0.1." + std::to_string(number) + ":1";
    made.instance = vm_id{made.id.value()};
    return made;
}

inline attempt_head head_of(const send_attempt& order, std::uint32_t status)
{
    attempt_head made;
    made.request = order.request;
    made.attempt = order.attempt;
    made.status = status;
    return made;
}

inline core_settings modelled_settings()
{
    core_settings settings = fixture::default_settings();
    settings.retry_share = 0.2;
    settings.retry_extra = 40.0;
    settings.charge_every_retry = true;
    settings.min_retry_after = 100ms;
    return settings;
}

/// A core with the configuration of modelled_tables() and `groups` groups of the model.
class modelled_world : public fixture {
public:
    explicit modelled_world(int groups, core_settings settings = modelled_settings())
        : fixture{std::move(settings), 0, 1, modelled_tables()}
    {
        std::vector<target> all;
        for (int number = 1; number <= groups; ++number)
            all.push_back(group(number));
        send(groups_changed{all});
        send(servers_changed{{server(1)}});
        commands.clear();
    }

    command_list submit(const std::string& path = "/chat/x", const std::string& host = "a.example",
                        const std::string& key = "key-1", std::uint32_t tokens = 1'000,
                        std::optional<duration> time_to_deadline = std::nullopt)
    {
        request_info info;
        info.id = request_id{++m_last};
        info.kind = request_kind::plain;
        info.method = "POST";
        info.path = path;
        info.host = host;
        info.credential = key;
        info.model = "m";
        info.prompt_tokens = tokens;
        if (time_to_deadline)
            info.deadline = now + *time_to_deadline;
        return send(request_arrived{info});
    }

    /// Reports that the attempt was sent and that its response has begun with a first event.
    command_list begin(const send_attempt& order)
    {
        send(attempt_sent{order.request, order.attempt});
        command_list out = send(head_of(order, 200));
        const command_list more = send(attempt_progress{order.request, order.attempt, 1});
        out.insert(out.end(), more.begin(), more.end());
        return out;
    }

    command_list refuse_attempt(const send_attempt& order)
    {
        send(attempt_sent{order.request, order.attempt});
        attempt_head head = head_of(order, 503);
        head.reported_not_run = true;
        return send(head);
    }

    command_list fail_attempt(const send_attempt& order,
                              attempt_failure reason = attempt_failure::cut)
    {
        return send(attempt_failed{order.request, order.attempt, reason});
    }

    command_list pass(duration time)
    {
        command_list all;
        for (duration done{0}; done < time; done += 10ms) {
            now += 10ms;
            const command_list out = send(tick{});
            all.insert(all.end(), out.begin(), out.end());
        }
        return all;
    }

private:
    std::uint64_t m_last = 0;
};

/// The last command of the given type in the list, if there is one.
template <class Command>
std::optional<Command> last_command(const command_list& list)
{
    std::optional<Command> found;
    for (const command& one : list) {
        if (const auto wanted = std::get_if<Command>(&one))
            found = *wanted;
    }
    return found;
}

} // namespace jaynotch::testing
