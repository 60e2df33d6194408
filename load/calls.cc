#include "base/json_fields.h"
#include "load/load.h"

// A model answer counts as `whole` only if it is explicitly terminated (a finish reason and, for
// streams, the event "[DONE]") and its text equals the text that the stand-in engine generates for
// this prompt. A plain answer must carry the digest of the request body and the idempotency key.

namespace jaynotch {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::string_view data_prefix = "data: ";
constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;

/// The part of a model's answer that has been received so far.
struct model_answer {
    std::string text;
    std::string model;
    std::string version;
    std::string reason; ///< finish reason
    std::string error;  ///< content of an error event, as JSON
    bool done = false;  ///< the event "[DONE]" was received
    bool malformed = false;
};

std::string render_messages(const model_call& call)
{
    const json::array messages{json::object{{"role", "user"}, {"content", call.prompt}}};
    return json::serialize(messages);
}

http_request make_model_request(const model_call& call)
{
    json::object body{{"model", call.model}, {"stream", call.stream}};
    body["messages"] = json::array{json::object{{"role", "user"}, {"content", call.prompt}}};
    if (call.tokens > 0) {
        body["max_tokens"] = call.tokens;
        body["ignore_eos"] = true;
    }
    http_request request;
    request.method = http::verb::post;
    request.target = "/v1/chat/completions";
    request.headers.push_back({"Content-Type", "application/json"});
    if (!call.workspace.empty())
        request.headers.push_back({"jaynotch-workspace", call.workspace});
    request.body = json::serialize(body);
    return request;
}

void parse_answer_object(const json::object& object, bool stream, model_answer& answer)
{
    json_fields fields{object, "answer"};
    if (const json::value* failed = object.if_contains("error")) {
        answer.error = json::serialize(*failed);
        return;
    }
    answer.model = fields.text("model");
    answer.version = fields.text("system_fingerprint");
    const json::array* choices = fields.list("choices");
    const bool has_choice = choices != nullptr && !choices->empty() && choices->front().is_object();
    if (!has_choice) {
        answer.malformed = true;
        return;
    }
    const json::object& choice = choices->front().get_object();
    json_fields inner{choice, "answer"};
    if (const json::object* part = inner.object(stream ? "delta" : "message")) {
        json_fields piece{*part, "answer"};
        answer.text += piece.text("content");
    }
    const std::string reason = inner.text("finish_reason");
    if (!reason.empty())
        answer.reason = reason;
    answer.malformed = answer.malformed || inner.failure().has_value();
}

/// Removes complete events from the front of `pending` and adds them to `answer`. Returns the
/// number of events that carried text.
std::size_t parse_events(std::string& pending, model_answer& answer)
{
    std::size_t texts = 0;
    std::size_t start = 0;
    for (;;) {
        const std::size_t end = pending.find("\n\n", start);
        if (end == std::string::npos)
            break;
        std::string_view event = std::string_view{pending}.substr(start, end - start);
        start = end + 2;
        const std::size_t data = event.find(data_prefix);
        if (data == std::string_view::npos)
            continue;
        event.remove_prefix(data + data_prefix.size());
        if (event == "[DONE]") {
            answer.done = true;
            continue;
        }
        const result<json::object> object = parse_json_object(event, "event");
        if (!object) {
            answer.malformed = true;
            continue;
        }
        const std::size_t before = answer.text.size();
        parse_answer_object(object.value(), true, answer);
        texts += answer.text.size() > before ? 1 : 0;
    }
    pending.erase(0, start);
    return texts;
}

/// Describes the first error found in `answer`; empty if it is complete and correct.
std::string find_answer_error(const model_call& call, const model_answer& answer)
{
    if (answer.malformed)
        return "malformed event or body";
    if (answer.reason != "stop" && answer.reason != "length")
        return "no finish reason";
    const answer_text text{answer.model, answer.version, render_messages(call)};
    const std::size_t length = call.tokens > 0 ? call.tokens : text.natural_length();
    if (answer.text != text.joined(0, length))
        return "the text is not the answer of " + answer.model + " " + answer.version +
               " to this prompt";
    return {};
}

call_outcome outcome_of(const error& failure)
{
    switch (failure.kind) {
    case error_kind::unavailable:
        return call_outcome::unreachable;
    case error_kind::unknown_outcome:
    case error_kind::deadline_exceeded:
        return call_outcome::unanswered;
    default:
        return call_outcome::cut;
    }
}

std::string describe_refusal(const std::string& body)
{
    const result<json::object> object = parse_json_object(body, "refusal");
    if (!object)
        return "the body is not JSON";
    json_fields fields{object.value(), "refusal"};
    const json::object* inner = fields.object("error");
    if (inner == nullptr)
        return "the body has no error object";
    json_fields kind{*inner, "refusal"};
    return kind.text("kind") + ": " + kind.text("message");
}

void record_refusal(std::string_view ran_header, std::string_view retry_after,
                    const std::string& body, call_result& result)
{
    result.outcome =
        ran_header == "no" ? call_outcome::refused_not_run : call_outcome::refused_unknown;
    result.detail = describe_refusal(body);
    for (const char digit : retry_after) {
        if (digit < '0' || digit > '9')
            break;
        result.retry_after_s = result.retry_after_s * 10 + static_cast<std::uint64_t>(digit - '0');
    }
}

awaitable<result<std::string>> read_rest(http_stream& stream, duration timeout)
{
    std::string body;
    for (;;) {
        result<std::string> piece = co_await stream.read(timeout);
        if (!piece)
            co_return piece.error();
        if (piece.value().empty())
            co_return body;
        body += piece.value();
        if (body.size() > max_answer_bytes)
            co_return error{error_kind::too_large, "the answer exceeds 64 MiB", ""};
    }
}

void check_answer(const model_call& call, const model_answer& answer, bool ended,
                  call_result& result)
{
    result.version = answer.version;
    if (!answer.error.empty()) {
        result.outcome = call_outcome::cut;
        result.detail = answer.error;
        return;
    }
    if (!ended || (call.stream && !answer.done)) {
        result.outcome = call_outcome::cut;
        result.detail = "the stream failed or ended without [DONE]";
        return;
    }
    result.detail = find_answer_error(call, answer);
    result.outcome = result.detail.empty() ? call_outcome::whole : call_outcome::wrong;
}

awaitable<void> read_events(http_stream& stream, const model_call& call, duration timeout,
                            time_point start_time, call_result& result)
{
    model_answer answer;
    std::string pending;
    time_point last = start_time;
    bool ended = false;
    for (;;) {
        const auto piece = co_await stream.read(timeout);
        if (!piece || piece.value().empty()) {
            ended = bool(piece);
            break;
        }
        pending += piece.value();
        const std::size_t texts = parse_events(pending, answer);
        const time_point now = runtime_clock::now();
        for (std::size_t i = 0; i < texts; ++i) {
            if (result.tokens++ == 0)
                result.first_token = now - start_time;
            else
                result.between_tokens.push_back(now - last);
            last = now;
        }
        if (pending.size() > max_answer_bytes)
            break;
    }
    check_answer(call, answer, ended && pending.empty(), result);
}

} // namespace

awaitable<call_result> send_model_call(http_client& client, model_call call, duration timeout)
{
    call_result result;
    const time_point start_time = runtime_clock::now();
    auto opened = co_await client.open(make_model_request(call), timeout);
    if (!opened) {
        result.outcome = outcome_of(opened.error());
        result.detail = to_string(opened.error());
        result.total = runtime_clock::now() - start_time;
        co_return result;
    }
    http_stream& stream = opened.value();
    result.status = static_cast<unsigned>(stream.status());
    result.trace = std::string{stream.header("traceparent")};
    if (stream.status() == http::status::ok && call.stream) {
        co_await read_events(stream, call, timeout, start_time, result);
        result.total = runtime_clock::now() - start_time;
        co_return result;
    }
    const std::string ran_header{stream.header("jaynotch-ran")};
    const std::string retry_after{stream.header("Retry-After")};
    const auto body = co_await read_rest(stream, timeout);
    result.total = runtime_clock::now() - start_time;
    if (!body) {
        result.outcome = call_outcome::cut;
        result.detail = to_string(body.error());
    }
    else if (result.status != static_cast<unsigned>(http::status::ok)) {
        record_refusal(ran_header, retry_after, body.value(), result);
    }
    else {
        model_answer answer;
        const auto object = parse_json_object(body.value(), "answer");
        if (object)
            parse_answer_object(object.value(), false, answer);
        else
            answer.malformed = true;
        check_answer(call, answer, true, result);
    }
    co_return result;
}

awaitable<call_result> send_plain_call(http_client& client, plain_call call, duration timeout)
{
    call_result result;
    http_request request;
    request.method = http::string_to_verb(call.method);
    request.target = call.path;
    request.body = call.body;
    if (!call.workspace.empty())
        request.headers.push_back({"jaynotch-workspace", call.workspace});
    if (!call.key.empty())
        request.headers.push_back({"Idempotency-Key", call.key});
    const time_point start_time = runtime_clock::now();
    const auto answer = co_await client.call(std::move(request), timeout);
    result.total = runtime_clock::now() - start_time;
    if (!answer) {
        result.outcome = outcome_of(answer.error());
        result.detail = to_string(answer.error());
        co_return result;
    }
    result.status = static_cast<unsigned>(answer.value().status);
    result.record = answer.value().body;
    result.trace = std::string{answer.value().header("traceparent")};
    if (answer.value().status != http::status::ok) {
        record_refusal(answer.value().header("jaynotch-ran"), answer.value().header("Retry-After"),
                       answer.value().body, result);
        co_return result;
    }
    const auto object = parse_json_object(answer.value().body, "answer");
    if (object) {
        json_fields fields{object.value(), "answer"};
        const bool matches_request =
            fields.text("digest") == content_digest(call.body) && fields.text("key") == call.key;
        result.outcome = matches_request ? call_outcome::whole : call_outcome::wrong;
        result.detail = matches_request ? "" : "the answer belongs to another request";
    }
    else {
        result.outcome = call_outcome::wrong;
        result.detail = "the answer is not a JSON object";
    }
    co_return result;
}

} // namespace jaynotch
