#include "base/json_fields.h"
#include "load/answer_text.h"
#include "standins/engine_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// Serving on the member of rank 0. One coroutine runs the steps of the batch while it is not empty;
// the coroutine of each request waits for new tokens of its sequence and writes them. A step runs
// only if every member takes part, as in a tensor-parallel model.

namespace jaynotch {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

/// A completion request, as parsed from its body and headers.
struct engine_standin::completion_call {
    bool chat = true;
    bool stream = false;
    std::string model;
    std::string prompt;
    std::uint32_t max_tokens = 0; ///< 0: no limit
    bool ignore_eos = false;      ///< generate max_tokens, past the natural end
    std::string resume_text;      ///< text already sent; generation continues after it
    std::string attempt;
    std::size_t execution_index = 0; ///< index in m_executions
    std::shared_ptr<batch_sequence> sequence;
    std::optional<answer_text> text;
    std::uint32_t resumed_tokens = 0; ///< number of tokens in `resume_text`
};

namespace {

constexpr std::uint32_t max_answer_tokens = 100'000;
constexpr std::size_t bytes_per_token = 4;
constexpr duration client_poll = std::chrono::milliseconds{20};
constexpr duration member_poll = std::chrono::milliseconds{5};
constexpr duration member_timeout = std::chrono::milliseconds{200};
constexpr duration members_health_ttl = std::chrono::milliseconds{50};

int priority_of(std::string_view name)
{
    constexpr std::array<std::string_view, 4> names{"batch", "standard", "interactive", "critical"};
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? 1 : static_cast<int>(found - names.begin());
}

std::string prompt_text(const json::object& body, bool chat)
{
    const json::value* prompt = body.if_contains(chat ? "messages" : "prompt");
    if (prompt == nullptr)
        return {};
    return prompt->is_string() ? std::string{prompt->get_string()} : json::serialize(*prompt);
}

std::string refusal_body(const std::string& refusal)
{
    const json::object inner{{"message", refusal}, {"type", "not_run"}};
    return json::serialize(json::object{{"error", inner}});
}

json::object make_choice(bool chat, bool stream, const std::string& text, bool first,
                         std::string_view reason)
{
    json::object row{{"index", 0}};
    if (chat) {
        json::object part;
        if (first || !stream)
            part["role"] = "assistant";
        if (!text.empty() || !stream)
            part["content"] = text;
        row[stream ? "delta" : "message"] = std::move(part);
    }
    else {
        row["text"] = text;
    }
    if (reason.empty())
        row["finish_reason"] = nullptr;
    else
        row["finish_reason"] = reason;
    return row;
}

std::string render_completion(const std::string& attempt, const std::string& model,
                              const std::string& version, bool chat, bool stream,
                              json::object choice)
{
    std::string_view object = chat ? "chat.completion" : "text_completion";
    if (chat && stream)
        object = "chat.completion.chunk";
    json::object body{{"id", "cmpl-" + attempt},
                      {"object", object},
                      {"created", wall_time_ms() / 1000},
                      {"model", model},
                      {"system_fingerprint", version}};
    body["choices"] = json::array{std::move(choice)};
    return json::serialize(body);
}

} // namespace

group_health engine_standin::check_report(const engine_report& member) const
{
    // Fencing numbers are not compared: a repair sends orders only to the members it has to change,
    // so members of one group may know different numbers. Collective operations depend on the list
    // of members by rank.
    const bool in_group = member.group == m_group && member.members == m_members &&
                          member.state == engine_state::ready && member.model == m_model &&
                          member.version == m_version;
    return in_group ? group_health::complete : group_health::broken;
}

group_health engine_standin::check_local_member(const engine_standin& member) const
{
    // A fault can make the report state a wrong engine state, so the actual state replaces it.
    engine_report truth = member.report();
    truth.state = member.m_state;
    if (member.m_faults.kill || check_report(truth) == group_health::broken)
        return group_health::broken;
    const bool suspended = member.m_faults.pause || member.m_faults.stall;
    return suspended ? group_health::stalled : group_health::complete;
}

awaitable<group_health> engine_standin::check_members()
{
    const std::vector<std::string> members = m_members;
    const bool query_remote = runtime_clock::now() - m_members_checked_at > members_health_ttl;
    group_health worst = group_health::complete;
    bool queried = false;
    for (std::size_t rank = 1; rank < members.size(); ++rank) {
        group_health member_health = group_health::complete;
        if (const auto engine = m_directory ? m_directory->find(members[rank]) : nullptr) {
            member_health = check_local_member(*engine);
        }
        else if (query_remote) {
            queried = true;
            engine_client member{m_executor, members[rank], member_timeout};
            const result<engine_report> answer = co_await member.report();
            if (answer)
                member_health = check_report(answer.value());
            else
                member_health = answer.error().kind == error_kind::deadline_exceeded
                                    ? group_health::stalled
                                    : group_health::broken;
        }
        else {
            member_health = m_members_health;
        }
        worst = std::max(worst, member_health);
    }
    if (queried) {
        m_members_health = worst;
        m_members_checked_at = runtime_clock::now();
    }
    co_return worst;
}

double engine_standin::slowest_member() const
{
    double factor = m_faults.straggle;
    for (const auto& address : m_members) {
        if (const auto engine = m_directory ? m_directory->find(address) : nullptr)
            factor = std::max(factor, engine->m_faults.straggle);
    }
    return factor;
}

awaitable<void> engine_standin::run_steps(std::shared_ptr<engine_standin> self)
{
    while (self->m_batch.busy()) {
        const bool suspended = self->m_faults.pause || self->m_faults.stall;
        group_health health = suspended ? group_health::stalled : co_await self->check_members();
        const bool ignores_members = self->m_faults.serve_partial && !suspended;
        if (ignores_members && health != group_health::complete) {
            self->m_batch.mark_partial();
            health = group_health::complete;
        }
        if (health == group_health::broken) {
            self->m_batch.abort_all();
            break;
        }
        if (health == group_health::stalled) {
            co_await standin_sleep(self->m_executor, member_poll);
            continue;
        }
        const double factor = self->slowest_member();
        const auto step =
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>{
                static_cast<double>(self->m_batch.begin_step().count()) * factor});
        co_await standin_sleep(self->m_executor, step);
        // A pause that began during the step also delays its tokens.
        while (self->m_faults.pause || self->m_faults.stall)
            co_await standin_sleep(self->m_executor, member_poll);
        self->m_batch.end_step();
        const double step_ms = std::chrono::duration<double, std::milli>{step}.count();
        constexpr double smoothing = 0.2;
        self->m_step_ms += smoothing * (step_ms - self->m_step_ms);
    }
    self->m_stepping = false;
}

std::string engine_standin::refusal_reason(standin_exchange& exchange) const
{
    if (m_state != engine_state::ready)
        return "the engine is " + std::string{to_name(m_state)};
    if (m_rank != 0)
        return "the engine has rank " + std::to_string(m_rank) + ", requests go to rank 0";
    const std::string_view group = exchange.header("jaynotch-group");
    if (!group.empty() && group != m_group.value())
        return "the engine is in group " + m_group.value();
    const std::string_view fencing = exchange.header("jaynotch-fencing");
    if (!fencing.empty() && fencing != std::to_string(m_fencing.value()))
        return "the engine knows fencing number " + std::to_string(m_fencing.value());
    return {};
}

awaitable<void> engine_standin::refuse(standin_exchange& exchange, http::status status,
                                       std::string refusal)
{
    exchange.set("jaynotch-ran", "no");
    co_await exchange.answer(status, refusal_body(refusal));
}

result<engine_standin::completion_call> engine_standin::read_call(standin_exchange& exchange,
                                                                  bool chat)
{
    BOOST_OUTCOME_TRY(const json::object body, parse_json_object(exchange.body(), "request"));
    json_fields fields{body, "request"};
    completion_call call;
    call.chat = chat;
    call.stream = fields.flag("stream");
    call.model = fields.text("model");
    call.prompt = prompt_text(body, chat);
    call.max_tokens = static_cast<std::uint32_t>(fields.count("max_tokens", max_answer_tokens));
    call.ignore_eos = fields.flag("ignore_eos");
    call.attempt = std::string{exchange.header("jaynotch-attempt")};
    if (const json::object* resume = fields.object("jaynotch_resume")) {
        json_fields inner{*resume, "request"};
        call.resume_text = inner.text("text");
    }
    if (fields.failure())
        return *fields.failure();
    return call;
}

result<void> engine_standin::add_to_batch(standin_exchange& exchange, completion_call& call)
{
    call.text.emplace(call.model, m_version, call.prompt);
    const std::optional<std::size_t> resume_count = call.text->tokens_in(call.resume_text);
    if (!resume_count)
        return error{error_kind::invalid_argument, "the text to resume is not this model's answer",
                     ""};
    call.resumed_tokens = static_cast<std::uint32_t>(*resume_count);
    call.sequence = std::make_shared<batch_sequence>(m_executor, call.attempt);
    batch_sequence& sequence = *call.sequence;
    const std::size_t hits = m_cache.use(prompt_blocks(call.prompt), runtime_clock::now());
    sequence.cached_tokens =
        static_cast<std::uint32_t>(hits * prompt_block_bytes / bytes_per_token);
    sequence.prompt_tokens =
        static_cast<std::uint32_t>(call.prompt.size() / bytes_per_token + 1) + call.resumed_tokens;
    sequence.priority = priority_of(exchange.header("jaynotch-priority"));
    sequence.produced = call.resumed_tokens;
    const auto natural_tokens = static_cast<std::uint32_t>(call.text->natural_length());
    sequence.total = call.max_tokens == 0 ? natural_tokens
                     : call.ignore_eos    ? call.max_tokens
                                          : std::min(natural_tokens, call.max_tokens);
    call.execution_index = m_executions.size();
    m_executions.push_back({.attempt = call.attempt,
                            .digest = content_digest(exchange.body()),
                            .group = m_group,
                            .fencing = m_fencing,
                            .start_time = runtime_clock::now()});
    if (!sequence.ended())
        m_batch.add(call.sequence);
    if (!m_stepping) {
        m_stepping = true;
        asio::co_spawn(m_executor, run_steps(shared_from_this()), asio::detached);
    }
    return success();
}

bool engine_standin::has_model(const std::string& name) const
{
    return name == m_model ||
           std::find(m_adapters.begin(), m_adapters.end(), name) != m_adapters.end();
}

awaitable<void> engine_standin::serve(standin_exchange& exchange, bool chat)
{
    result<completion_call> call = read_call(exchange, chat);
    if (!call) {
        co_await refuse(exchange, http::status::bad_request, call.error().message);
        co_return;
    }
    if (!call.value().attempt.empty())
        exchange.set("jaynotch-attempt", call.value().attempt);
    std::string refusal = refusal_reason(exchange);
    if (refusal.empty() && !m_faults.serve_partial) {
        const group_health health = co_await check_members();
        // Checking members over the network takes time; the assignment may have changed meanwhile.
        refusal = health == group_health::broken ? "a member of the group is missing"
                                                 : refusal_reason(exchange);
    }
    if (!refusal.empty()) {
        co_await refuse(exchange, http::status::conflict, refusal);
        co_return;
    }
    if (!has_model(call.value().model)) {
        co_await refuse(exchange, http::status::not_found, "the model is not here");
        co_return;
    }
    const result<void> added = add_to_batch(exchange, call.value());
    if (!added) {
        co_await refuse(exchange, http::status::unprocessable_entity, added.error().message);
        co_return;
    }
    exchange.set("jaynotch-group", m_group.value());
    batch_sequence& sequence = *call.value().sequence;
    if (call.value().stream)
        co_await answer_stream(exchange, call.value());
    else
        co_await answer_buffered(exchange, call.value());
    m_executions[call.value().execution_index].partial = sequence.partial;
    if (!sequence.ended())
        m_batch.abort(sequence);
}

awaitable<bool> engine_standin::wait_for_tokens(standin_exchange& exchange,
                                                batch_sequence& sequence, std::uint32_t above)
{
    while (sequence.produced <= above && !sequence.ended()) {
        sequence.wake.expires_after(client_poll);
        boost::system::error_code ignored;
        co_await sequence.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!m_faults.pause && exchange.client_disconnected())
            co_return false;
    }
    while (m_faults.pause)
        co_await standin_sleep(m_executor, member_poll);
    co_return !sequence.aborted;
}

awaitable<void> engine_standin::answer_stream(standin_exchange& exchange,
                                              const completion_call& call)
{
    batch_sequence& sequence = *call.sequence;
    const std::string version = m_version;
    if (m_faults.consume_lost_reply()) {
        exchange.cut();
        co_return;
    }
    if (!co_await exchange.begin_chunks(http::status::ok, "text/event-stream"))
        co_return;
    std::uint32_t sent = call.resumed_tokens;
    bool first = true;
    while (sent < sequence.total) {
        if (!co_await wait_for_tokens(exchange, sequence, sent)) {
            exchange.cut();
            co_return;
        }
        std::string events;
        while (sent < sequence.produced) {
            const json::object choice =
                make_choice(call.chat, true, call.text->token(sent), first, "");
            events +=
                "data: " +
                render_completion(call.attempt, call.model, version, call.chat, true, choice) +
                "\n\n";
            first = false;
            ++sent;
            if (m_faults.cut_after > 0 && sent - call.resumed_tokens >= m_faults.cut_after) {
                co_await exchange.write_chunk(events);
                exchange.cut();
                co_return;
            }
        }
        if (!co_await exchange.write_chunk(std::move(events)))
            co_return;
        m_executions[call.execution_index].tokens = sent - call.resumed_tokens;
    }
    const bool natural_end = sequence.total >= call.text->natural_length() && !call.ignore_eos;
    const json::object last =
        make_choice(call.chat, true, "", false, natural_end ? "stop" : "length");
    std::string ending =
        "data: " + render_completion(call.attempt, call.model, version, call.chat, true, last) +
        "\n\ndata: [DONE]\n\n";
    if (!co_await exchange.write_chunk(std::move(ending)) || !co_await exchange.finish_chunks())
        co_return;
    engine_execution& run = m_executions[call.execution_index];
    run.finished = true;
}

awaitable<void> engine_standin::answer_buffered(standin_exchange& exchange,
                                                const completion_call& call)
{
    batch_sequence& sequence = *call.sequence;
    const std::string version = m_version;
    if (!co_await wait_for_tokens(exchange, sequence, sequence.total - 1)) {
        exchange.cut();
        co_return;
    }
    const bool natural_end = sequence.total >= call.text->natural_length() && !call.ignore_eos;
    const json::object choice =
        make_choice(call.chat, false, call.text->joined(call.resumed_tokens, sequence.total), true,
                    natural_end ? "stop" : "length");
    std::string body =
        render_completion(call.attempt, call.model, version, call.chat, false, choice);
    co_await answer_with_faults(m_faults, exchange, http::status::ok, std::move(body));
    engine_execution& run = m_executions[call.execution_index];
    run.tokens = sequence.total - call.resumed_tokens;
    run.finished = !exchange.is_cut();
}

} // namespace jaynotch
