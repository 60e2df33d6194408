// The memory of a replica, in tokens, that the requests which it holds use together. A replica
// whose requests exceed it ends.
//
//   const double size = request_tokens(info.prompt_tokens, info.answer_tokens, pool.engine);
//   if (exceeds_any_replica(pool, info.prompt_tokens)) ...            // refuse it at once
//   if (has_memory_for(pool, {own_tokens, others, deviation}, size)) ...  // may be sent there
//
// Effective only where pool::memory_tokens is known. A node knows the sizes of its own requests,
// and of the other nodes' only their estimated number.
#pragma once

#include "tables/tables.h"

#include <cstddef>
#include <cstdint>

namespace jaynotch {

/// What a replica holds, as far as this node knows.
struct replica_use {
    double own_tokens = 0.0; ///< of this node's requests
    double others = 0.0;     ///< estimated requests of the other nodes
    double deviation = 0.0;  ///< standard deviation of `others`
};

/// Tokens that a request holds at most: its prompt and its longest answer. The usual sizes stand in
/// for those that it does not state.
double request_tokens(std::uint32_t prompt_tokens, std::uint32_t answer_tokens,
                      const engine_figures& figures);
/// Whether no replica of the pool can hold the prompt, however empty it is.
bool exceeds_any_replica(const pool& pool_info, std::uint32_t prompt_tokens);
/// Whether a replica has memory for one more request of `tokens`. One that holds nothing has, as
/// its answer may end before its longest.
bool has_memory_for(const pool& pool_info, const replica_use& use, double tokens);
/// Whether a request is larger than a node's even part of a replica's memory, so that a few nodes
/// that don't know of each other's could exceed it.
bool is_large(const pool& pool_info, double tokens, std::size_t nodes);

} // namespace jaynotch
