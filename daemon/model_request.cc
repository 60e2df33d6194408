#include "daemon/model_request.h"

#include <algorithm>
#include <set>

namespace jaynotch {

namespace {

constexpr std::uint32_t default_answer_tokens = 256;
constexpr std::size_t bytes_per_token = 4;

error invalid_request(std::string message, std::string remedy)
{
    return error{error_kind::invalid_argument, std::move(message), std::move(remedy)};
}

std::uint32_t answer_tokens(const boost::json::object& body)
{
    for (const std::string_view name : {"max_completion_tokens", "max_tokens"}) {
        const auto* limit = body.if_contains(name);
        if (limit != nullptr && limit->is_int64() && limit->get_int64() > 0)
            return static_cast<std::uint32_t>(std::min<std::int64_t>(limit->get_int64(), 1 << 20));
    }
    return default_answer_tokens;
}

std::vector<std::uint64_t> hash_prefix_blocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t chained = 0;
    while (prompt.size() >= prefix_block_bytes && blocks.size() < max_prefix_blocks) {
        chained = hash64(prompt.substr(0, prefix_block_bytes), chained);
        blocks.push_back(chained);
        prompt.remove_prefix(prefix_block_bytes);
    }
    return blocks;
}

} // namespace

result<model_request> read_model_request(std::string_view body, request_kind kind)
{
    boost::system::error_code failed;
    boost::json::value parsed =
        boost::json::parse(boost::json::string_view{body.data(), body.size()}, failed);
    if (failed || !parsed.is_object())
        return invalid_request("the body is not a JSON object",
                               "send a JSON object as the OpenAI API says");
    model_request request;
    request.body = std::move(parsed.get_object());
    const auto* model = request.body.if_contains("model");
    if (model == nullptr || !model->is_string() || model->get_string().empty())
        return invalid_request("\"model\" is missing", "name a model that GET /v1/models lists");
    request.model = std::string{model->get_string()};
    const std::string_view field = kind == request_kind::chat ? "messages" : "prompt";
    const auto* prompt = request.body.if_contains(field);
    const bool valid_prompt =
        prompt != nullptr &&
        (kind == request_kind::chat ? prompt->is_array() && !prompt->get_array().empty()
                                    : prompt->is_string() || prompt->is_array());
    if (!valid_prompt)
        return invalid_request("\"" + std::string{field} + "\" is missing or of the wrong type",
                               kind == request_kind::chat ? "send a list of at least one message"
                                                          : "send a string");
    const auto* stream = request.body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool() && !stream->is_null())
        return invalid_request("\"stream\" is not a boolean", "write true or false");
    if (request.body.contains("jaynotch_resume"))
        return invalid_request("\"jaynotch_resume\" is not for callers", "leave it out");
    request.stream = stream != nullptr && stream->is_bool() && stream->get_bool();
    const std::string text =
        prompt->is_string() ? std::string{prompt->get_string()} : boost::json::serialize(*prompt);
    request.prompt_tokens = static_cast<std::uint32_t>(
        std::min<std::size_t>(text.size() / bytes_per_token + 1, 1U << 24U));
    request.answer_tokens = answer_tokens(request.body);
    request.prefix_blocks = hash_prefix_blocks(text);
    return request;
}

std::string engine_body(const model_request& request, std::string_view model,
                        std::string_view adapter, bool resume, std::string_view delivered_text)
{
    boost::json::object body = request.body;
    body["model"] = adapter.empty() ? model : adapter;
    if (resume)
        body["jaynotch_resume"] = boost::json::object{{"text", delivered_text}};
    return boost::json::serialize(body);
}

bool is_completion(std::string_view body)
{
    boost::system::error_code failed;
    const boost::json::value parsed =
        boost::json::parse(boost::json::string_view{body.data(), body.size()}, failed);
    if (failed || !parsed.is_object())
        return false;
    const auto* choices = parsed.get_object().if_contains("choices");
    return choices != nullptr && choices->is_array() && !choices->get_array().empty();
}

std::string models_page(const configuration& tables, const workspace_id& workspace)
{
    std::set<std::string> names;
    for (const route& row : tables.routes) {
        const bool allowed =
            std::any_of(row.workspaces.begin(), row.workspaces.end(), [&](const std::string& one) {
                return one == "*" || one == workspace.value();
            });
        if (row.kind != request_kind::plain && !row.model.empty() && allowed)
            names.insert(row.model);
    }
    boost::json::array data;
    for (const std::string& name : names)
        data.push_back(
            boost::json::object{{"id", name}, {"object", "model"}, {"owned_by", "jaynotch"}});
    return boost::json::serialize(boost::json::object{{"object", "list"}, {"data", data}});
}

} // namespace jaynotch
