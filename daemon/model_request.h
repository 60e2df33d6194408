// Bodies of the OpenAI HTTP API: reads what routing needs from a request, builds the body for an
// engine, and checks whether an answer is a completion.
//
//   result<model_request> read = read_model_request(body, request_kind::chat);
//   std::string sent = engine_body(read.value(), model, adapter, resume, delivered_text);
#pragma once

#include "base/base.h"
#include "tables/tables.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// Prompt blocks that are hashed at most.
inline constexpr std::size_t max_prefix_blocks = 64;
/// Bytes of prompt text in a block: about 64 tokens.
inline constexpr std::size_t prefix_block_bytes = 256;

struct model_request {
    boost::json::object body;
    std::string model;
    bool stream = false;
    std::uint32_t prompt_tokens = 0; ///< estimate: four bytes per token
    std::uint32_t answer_tokens = 0; ///< max_tokens, or a default
    /// Chained hashes of the prompt's blocks: element i covers blocks 0..i.
    std::vector<std::uint64_t> prefix_blocks;
};

/// Error: invalid_argument, whose message names the field and whose remedy says what to write.
result<model_request> read_model_request(std::string_view body, request_kind kind);

/// The body for an engine: the caller's, with "model" replaced by the adapter's name or, without
/// one, the engine's name of the model. With `resume`, the engine is to continue after
/// `delivered_text`.
std::string engine_body(const model_request& request, std::string_view model,
                        std::string_view adapter, bool resume, std::string_view delivered_text);

/// Whether the body of an answer that is not streamed is a completion: a JSON object with at least
/// one choice.
bool is_completion(std::string_view body);

/// The answer to GET /v1/models of the OpenAI API: the models that `workspace` has routes to.
std::string models_page(const configuration& tables, const workspace_id& workspace);

} // namespace jaynotch
