#include "daemon/model_request.h"
#include "daemon/sse.h"
#include "daemon/trace.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

std::vector<std::string> split(std::string_view text, std::size_t piece)
{
    sse_splitter splitter{1024};
    std::vector<std::string> events;
    while (!text.empty()) {
        const std::size_t length = std::min(piece, text.size());
        if (!splitter.feed(text.substr(0, length)))
            break;
        text.remove_prefix(length);
        while (const auto event = splitter.next())
            events.emplace_back(sse_data(*event));
    }
    return events;
}

} // namespace

// An engine's stream arrives in pieces of any size. The splitter must return the same events
// however the bytes are split: a lost or repeated event would change the caller's text.
Test(sse, any_split_gives_the_same_events)
{
    const std::string text = "data: a\n\n: comment\n\ndata:b\r\n\r\ndata: c\rdata: d\r\rid: 7\n"
                             "data: e\n\ndata: [DONE]\n\n";
    const std::vector<std::string> whole{"a", "", "b", "c\nd", "e", "[DONE]"};
    for (std::size_t piece = 1; piece <= text.size(); ++piece)
        cr_assert(split(text, piece) == whole, "pieces of %zu bytes", piece);
}

// An engine sends an event that never ends. The splitter must reject it instead of buffering it
// without limit.
Test(sse, an_unterminated_event_is_rejected)
{
    sse_splitter splitter{1000};
    bool refused = false;
    std::size_t fed = 0;
    for (; fed < 100 && !refused; ++fed)
        refused = !splitter.feed(std::string(100, 'x'));
    cr_assert(refused);
    cr_assert_leq(fed, 12U);
}

// An engine sends an error or invalid JSON within its stream. Neither may be taken for text.
Test(sse, errors_and_invalid_json_are_detected)
{
    cr_assert(read_chunk(R"({"error":{"message":"out of memory"}})").failed);
    cr_assert(read_chunk("{\"choices\":[").failed);
    cr_assert(read_chunk(R"({"choices":[3]})").failed);
    const stream_chunk good =
        read_chunk(R"({"choices":[{"delta":{"content":"hei"},"finish_reason":"stop"}]})");
    cr_assert(!good.failed && good.finished && good.text == "hei");
}

// A caller's body has one invalid field. The error message must name that field.
Test(model_request, an_invalid_body_is_rejected_by_field)
{
    const auto message = [](std::string_view body) {
        const result<model_request> read = read_model_request(body, request_kind::chat);
        return read ? std::string{} : read.error().message;
    };
    cr_assert(message("[1]").find("JSON object") != std::string::npos);
    cr_assert(message("{\"model\":").find("JSON object") != std::string::npos);
    cr_assert(message(R"({"messages":[{}]})").find("model") != std::string::npos);
    cr_assert(message(R"({"model":"m"})").find("messages") != std::string::npos);
    cr_assert(message(R"({"model":"m","messages":[]})").find("messages") != std::string::npos);
    cr_assert(message(R"({"model":"m","messages":[{}],"stream":"yes"})").find("stream") !=
              std::string::npos);
    cr_assert(message(R"({"model":"m","messages":[{}],"jaynotch_resume":{}})").find("resume") !=
              std::string::npos);
    cr_assert(message(R"({"model":"m","messages":[{}],"stream":null})").empty());
}

// Two prompts share a prefix. Their block hashes must match within it and differ after it;
// otherwise a request would be routed to an engine that doesn't have its prefix cached.
Test(model_request, prefix_blocks_match_up_to_the_common_prefix)
{
    const auto blocks = [](const std::string& prompt) {
        const std::string body = R"({"model":"m","prompt":")" + prompt + "\"}";
        return read_model_request(body, request_kind::completion).value().prefix_blocks;
    };
    const std::string common(2 * prefix_block_bytes, 'c');
    const auto left = blocks(common + std::string(prefix_block_bytes, 'l'));
    const auto right = blocks(common + std::string(prefix_block_bytes, 'r'));
    cr_assert_eq(left.size(), 3U);
    cr_assert(left[0] == right[0] && left[1] == right[1] && left[2] != right[2]);
    cr_assert_eq(blocks(std::string(100'000, 'x')).size(), max_prefix_blocks);
}

// An engine answers 200 with an empty body, without choices, or with truncated JSON. None of these
// may be delivered as a completion.
Test(model_request, only_a_completion_is_accepted)
{
    cr_assert(!is_completion(""));
    cr_assert(!is_completion("{}"));
    cr_assert(!is_completion(R"({"choices":[]})"));
    cr_assert(!is_completion(R"({"choices":[{"text":"a"})"));
    cr_assert(is_completion(R"({"choices":[{"text":"a"}]})"));
}

// Guards against a route for no workspace whose model is listed for every caller.
Test(model_request, models_are_listed_for_the_workspaces_of_their_routes)
{
    configuration tables;
    const auto add = [&](const std::string& model, std::vector<std::string> workspaces) {
        route row;
        row.name = route_id{model};
        row.model = model;
        row.workspaces = std::move(workspaces);
        tables.routes.push_back(std::move(row));
    };
    add("for-all", {"*"});
    add("for-one", {"lima"});
    add("for-none", {});
    const std::string page = models_page(tables, workspace_id{"lima"});
    cr_assert(page.find("for-all") != std::string::npos);
    cr_assert(page.find("for-one") != std::string::npos);
    cr_assert(page.find("for-none") == std::string::npos);
    cr_assert(models_page(tables, workspace_id{"cusco"}).find("for-one") == std::string::npos);
}

// A client sends a malformed traceparent header. It must be ignored, so that a new trace is started
// instead of a broken one being continued.
Test(trace, malformed_traceparents_are_ignored)
{
    const std::string good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    cr_assert(trace_context::from_header(good).has_value());
    cr_assert_eq(trace_context::from_header(good)->header(), good);
    for (std::size_t at = 0; at < good.size(); ++at) {
        std::string bad = good;
        bad[at] = 'G';
        cr_assert(!trace_context::from_header(bad).has_value() || at < 2, "position %zu", at);
        cr_assert(!trace_context::from_header(good.substr(0, at)).has_value());
    }
    cr_assert(!trace_context::from_header(good + "-00").has_value());
    cr_assert(!trace_context::from_header("00-" + std::string(32, '0') + good.substr(35)));
}
