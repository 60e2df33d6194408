// Bodies of the OpenAI HTTP API: what routing has to know of a request, what an engine is sent, and
// what a whole answer looks like.
//
//   result<model_request> read = read_model_request(body, chat);
//   std::string sent = engine_body(read.value(), command.model, command.adapter, text_given);
#pragma once

#include "base/base.h"
#include "tables/tables.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// Hashes of prompt blocks that are worked out at most.
inline constexpr std::size_t most_prefix_blocks = 64;
/// Bytes of prompt text a block; about 64 tokens.
inline constexpr std::size_t prefix_block_bytes = 256;

struct model_request {
    boost::json::object body;
    std::string model;
    bool stream = false;
    std::uint32_t prompt_tokens = 0; ///< estimate: four bytes a token
    std::uint32_t answer_tokens = 0; ///< max_tokens, or a default
    /// Chained hashes of the prompt's blocks: element i covers blocks 0..i.
    std::vector<std::uint64_t> prefix_blocks;
};

/// invalid_argument names the field and what to write.
result<model_request> read_model_request(std::string_view body, request_kind kind);

/// The body for an engine: the model's own name, the adapter, and what was given already if the
/// answer is to be resumed.
std::string engine_body(const model_request& request, std::string_view model,
                        std::string_view adapter, bool resume, std::string_view delivered_text);

/// Whether an answer that is not streamed is a completion: JSON with at least one choice.
bool is_completion(std::string_view body);

/// GET /v1/models: the models that `tables` routes, for the OpenAI API.
std::string models_page(const configuration& tables, const workspace_id& workspace);

} // namespace jaynotch
