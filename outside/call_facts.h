// Metadata of a caller's request and of a backend server's answer, beside their bodies.
// `platform/` translates it from and to HTTP headers.
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

/// Metadata of a caller's request.
struct call_metadata {
    std::string attempt; ///< the caller's identifier of this attempt
    std::optional<std::chrono::milliseconds> caller_timeout; ///< how long the caller waits
    std::string credential;                ///< key that identifies the caller's workspace
    std::string model;                     ///< empty for plain calls
    std::vector<std::string> shared_parts; ///< of the prompt, which other requests may share
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;          ///< upper bound of generated tokens
    std::optional<std::uint64_t> after_event; ///< resume a stream after this event
};

/// Metadata that a node adds to a request that it forwards to a backend server.
struct forwarded_metadata {
    std::chrono::milliseconds time_left{0};   ///< until the caller stops waiting
    vm_id instance;                           ///< the only server that may run the request
    workspace_id workspace;                   ///< empty if the caller sent no valid key
    std::optional<std::uint64_t> after_event; ///< resume a stream after this event
    bool to_node = false; ///< the receiver is another node, which checks the credential itself
};

/// Metadata of a backend server's answer, and what it reports about the server.
struct answer_metadata {
    std::string attempt;         ///< attempt that it answers; empty if not stated
    bool did_not_run = false;    ///< the server reports that the request never ran there
    bool wrong_instance = false; ///< another server answers at the address
    bool sealed = false;         ///< has the server's seal, so it comes from no other process
    /// It names two servers' seals or two attempts; nothing of it can be trusted.
    bool contradictory = false;
    std::optional<std::uint32_t> running; ///< requests running there; reported with `waiting`
    std::uint32_t waiting = 0;            ///< requests queued there
    /// Requests per second that the server accepts from all entry VMs together, in force as long as
    /// its answers state it.
    std::optional<double> rate_limit;
    std::string unreadable_limit; ///< text of a rate limit that is not a number, or empty
    /// Refusals only: the server asks this node for no request for so long.
    std::optional<std::chrono::milliseconds> pause;
    std::string unreadable_pause; ///< text of a pause that is not a number of seconds, or empty
    bool leaving = false;         ///< the server is about to leave
    /// Time after which the server closes an idle connection.
    std::optional<std::chrono::milliseconds> idle_limit;
};

} // namespace jaynotch
