#include "daemon/front.h"

#include <charconv>

// Reads and checks callers' requests. A request that is refused here has not reached the request
// core and nothing has been sent, so it is always reported as not run.

namespace jaynotch {

namespace {

/// The body of a request to a plain service is buffered up to this size, so that it can be resent.
constexpr std::size_t max_buffered_plain_bytes = 256 * 1024;
constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t max_workspace_bytes = 128;
constexpr std::string_view default_workspace = "default";
constexpr std::string_view json_type = "application/json";
constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view completion_path = "/v1/completions";

error invalid_request(std::string message, std::string remedy)
{
    return error{error_kind::invalid_argument, std::move(message), std::move(remedy)};
}

request_kind kind_of(std::string_view path)
{
    if (path == chat_path)
        return request_kind::chat;
    return path == completion_path ? request_kind::completion : request_kind::plain;
}

result<workspace_id> read_workspace(const http_exchange& exchange)
{
    const std::string_view name = exchange.header("jaynotch-workspace");
    if (name.size() > max_workspace_bytes)
        return invalid_request("the header jaynotch-workspace is too long",
                               "send the workspace's name");
    return workspace_id{std::string{name.empty() ? default_workspace : name}};
}

result<std::string> read_key(const http_exchange& exchange)
{
    const std::string_view key = exchange.header("Idempotency-Key");
    if (key.size() > max_key_bytes)
        return invalid_request("the header Idempotency-Key is over " +
                                   std::to_string(max_key_bytes) + " bytes",
                               "send a shorter key, for example a UUID");
    return std::string{key};
}

result<std::optional<time_point>> read_deadline(const http_exchange& exchange, time_point now)
{
    const std::string_view text = exchange.header("jaynotch-deadline-ms");
    if (text.empty())
        return std::optional<time_point>{};
    std::int64_t wait_ms = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), wait_ms);
    constexpr std::int64_t max_wait_ms = 24LL * 3600 * 1000;
    if (failed != std::errc{} || end != text.data() + text.size() || wait_ms <= 0 ||
        wait_ms > max_wait_ms)
        return invalid_request("the header jaynotch-deadline-ms is not a number of milliseconds",
                               "send how many milliseconds you will wait, 1 to 86400000");
    return std::optional<time_point>{now + std::chrono::milliseconds{wait_ms}};
}

} // namespace

front::front(relay_services& services, std::function<front_state()> state)
    : m_services{services}, m_state{std::move(state)}
{}

net::awaitable<void> front::serve(http_exchange& exchange)
{
    const bool served = co_await serve_builtin(exchange);
    if (!served) {
        co_await serve_request(exchange, kind_of(exchange.path()));
    }
}

net::awaitable<bool> front::serve_builtin(http_exchange& exchange)
{
    const std::string_view path = exchange.path();
    if (path == "/healthz") {
        co_await exchange.answer(http::status::ok, json_type, R"({"status":"ok"})");
    }
    else if (path == "/readyz") {
        co_await serve_ready(exchange);
    }
    else if (path == "/v1/models") {
        co_await serve_models(exchange);
    }
    else if (path == "/v1/jaynotch/outcome") {
        co_await serve_outcome(exchange);
    }
    else
        co_return false;
    co_return true;
}

net::awaitable<void> front::serve_ready(http_exchange& exchange)
{
    const front_state now = m_state();
    if (now.tables && !now.stopping && !now.warming_up) {
        co_await exchange.answer(http::status::ok, json_type, R"({"ready":true})");
        co_return;
    }
    error why{error_kind::unavailable, "no configuration is known here yet",
              "apply the tables, or wait until the platform answers"};
    if (now.stopping)
        why = {error_kind::unavailable, "this node is stopping", "use another entry VM"};
    else if (now.tables)
        why = {error_kind::unavailable,
               "this node has just started and knows no complete group yet",
               "use another entry VM, or wait some seconds"};
    co_await reject(exchange, why, std::chrono::seconds{1});
}

net::awaitable<void> front::serve_models(http_exchange& exchange)
{
    const front_state now = m_state();
    const result<workspace_id> workspace = read_workspace(exchange);
    if (!workspace) {
        co_await reject(exchange, workspace.error());
        co_return;
    }
    const std::string page =
        now.tables ? models_page(*now.tables, workspace.value()) : R"({"object":"list","data":[]})";
    co_await exchange.answer(http::status::ok, json_type, page);
}

net::awaitable<void> front::serve_outcome(http_exchange& exchange)
{
    const result<std::string> key = read_key(exchange);
    const result<workspace_id> workspace = read_workspace(exchange);
    if (!key || !workspace || key.value().empty()) {
        const error missing = invalid_request("the header Idempotency-Key is missing",
                                              "send the key whose outcome you ask for");
        co_await reject(exchange, !key ? key.error() : (!workspace ? workspace.error() : missing));
        co_return;
    }
    const std::shared_ptr<command_inbox> inbox = m_services.driver.open();
    m_services.driver.handle(key_status_requested{inbox->id(), workspace.value(), key.value()});
    const command answer = co_await inbox->next();
    m_services.driver.close(inbox->id());
    if (const auto* report = std::get_if<report_key_status>(&answer)) {
        boost::json::object body{{"state", to_name(report->state)}};
        if (report->answer)
            body["answer"] = {{"status", report->answer->status},
                              {"content_type", report->answer->content_type},
                              {"body", report->answer->body}};
        const std::string text = boost::json::serialize(body);
        co_await exchange.answer(http::status::ok, json_type, text);
        co_return;
    }
    refusal reply{.failure = {error_kind::internal, "the outcome could not be told", "ask again"}};
    if (const auto* refused = std::get_if<refuse>(&answer))
        reply = {
            .failure = refused->failure, .ran = refused->ran, .retry_after = refused->retry_after};
    co_await exchange.refuse(reply);
}

net::awaitable<void> front::serve_request(http_exchange& exchange, request_kind kind)
{
    incoming_request incoming;
    incoming.arrived = runtime_clock::now();
    incoming.info.kind = kind;
    ++m_services.counts.requests;
    incoming.server_span = m_services.spans.begin(
        "request", span_kind::server, trace_context::from_header(exchange.header("traceparent")));
    incoming.server_span.set("url.path", exchange.path());
    exchange.set("traceparent", incoming.server_span.context.header());
    result<void> accepted = success();
    std::optional<std::chrono::milliseconds> retry_after;
    if (!m_state().tables) {
        accepted = error{error_kind::unavailable, "no configuration is known here yet",
                         "send it to another entry VM, or come back"};
        retry_after = std::chrono::seconds{1};
    }
    else if (m_services.driver.open_inboxes() >= m_services.settings.limits.requests) {
        accepted = error{error_kind::overloaded, "this node holds as many requests as it may",
                         "come back later, or raise --max_requests"};
        retry_after = std::chrono::seconds{1};
    }
    else {
        accepted = co_await read_request(exchange, incoming);
        if (!accepted && accepted.error().kind == error_kind::overloaded)
            retry_after = std::chrono::seconds{1};
    }
    if (!accepted) {
        incoming.server_span.failed = true;
        incoming.server_span.set("jaynotch.outcome", "refused");
        m_services.spans.end(std::move(incoming.server_span));
        m_services.exported_metrics.ended(outcome::refused,
                                          runtime_clock::now() - incoming.arrived);
        co_await reject(exchange, accepted.error(), retry_after);
        co_return;
    }
    ++m_services.counts.in_flight;
    relay_request relay{m_services, exchange, std::move(incoming)};
    co_await relay.run();
    --m_services.counts.in_flight;
}

net::awaitable<result<void>> front::read_request(http_exchange& exchange,
                                                 incoming_request& incoming)
{
    request_info& info = incoming.info;
    const bool model = info.kind != request_kind::plain;
    if (model && exchange.request().method() != http::verb::post)
        co_return invalid_request("this path takes POST only", "send POST with a JSON body");
    BOOST_OUTCOME_CO_TRY(info.workspace, read_workspace(exchange));
    BOOST_OUTCOME_CO_TRY(info.idempotency_key, read_key(exchange));
    BOOST_OUTCOME_CO_TRY(info.deadline, read_deadline(exchange, incoming.arrived));
    incoming.server_span.set("jaynotch.workspace", info.workspace.value());
    info.method = std::string{exchange.request().method_string()};
    info.path = std::string{exchange.path()};
    const bool key = !info.idempotency_key.empty();
    const bool long_body =
        exchange.has_body() &&
        exchange.content_length().value_or(max_buffered_plain_bytes + 1) > max_buffered_plain_bytes;
    if (!model && !key && long_body) {
        // The body is streamed and not kept, so the request can't be sent a second time.
        incoming.stream_body = true;
        info.body_buffered = false;
        co_return success();
    }
    const daemon_limits& limits = m_services.settings.limits;
    const std::size_t max_body_bytes =
        key && !model ? limits.keyed_body_bytes : limits.model_body_bytes;
    result<std::string> body = co_await read_held_body(m_services, exchange, max_body_bytes);
    if (!body)
        co_return body.error();
    incoming.body = std::move(body).value();
    if (key)
        info.body_digest = content_digest(
            info.method + "\n" + std::string{exchange.request().target()} + "\n" + incoming.body);
    if (!model)
        co_return success();
    BOOST_OUTCOME_CO_TRY(incoming.model, read_model_request(incoming.body, info.kind));
    incoming.body.clear();
    info.model = incoming.model->model;
    info.stream = incoming.model->stream;
    info.prompt_tokens = incoming.model->prompt_tokens;
    info.answer_tokens = incoming.model->answer_tokens;
    info.prefix_blocks = incoming.model->prefix_blocks;
    co_return success();
}

net::awaitable<void> front::reject(http_exchange& exchange, const error& why,
                                   std::optional<std::chrono::milliseconds> retry_after)
{
    ++m_services.counts.refused;
    m_services.exported_metrics.refused(why.kind);
    const refusal reply{.failure = why, .ran = ran_state::no, .retry_after = retry_after};
    co_await exchange.refuse(reply);
}

} // namespace jaynotch
