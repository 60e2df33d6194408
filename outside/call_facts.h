// What a caller's request and a backend server's answer say beside their bodies, in our own terms.
// `platform/` reads and writes the headers that carry it.
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace jaynotch {

/// What a caller says of its request.
struct call_metadata {
    std::string attempt; ///< the caller's own name for this sending
    std::optional<std::chrono::milliseconds> caller_timeout; ///< how long the caller waits
    std::string credential; ///< key that proves the caller's workspace
    std::string model;      ///< empty for plain calls
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;          ///< most that it may generate
    std::optional<std::uint64_t> after_event; ///< resume a stream behind this event
};

/// What a node tells the backend server along with a caller's request.
struct forwarded_metadata {
    std::chrono::milliseconds time_left{0};   ///< until the caller stops waiting
    vm_id instance;                           ///< the only server that may run it
    workspace_id workspace;                   ///< empty if the caller proved none
    std::optional<std::uint64_t> after_event; ///< resume behind this event
};

/// What a backend server says of its answer and of itself.
struct answer_metadata {
    std::string attempt;         ///< whose answer it is; empty if it names none
    bool did_not_run = false;    ///< the server's own word that the request never ran there
    bool wrong_instance = false; ///< another server has the address
    bool sealed = false;         ///< bears the server's own mark, so it is no one else's answer
    std::optional<std::uint32_t> running; ///< requests at work there; with `waiting`, if told
    std::uint32_t waiting = 0;
    /// Requests a second that the server takes of all entry VMs together, for as long as it says
    /// so.
    std::optional<double> rate_limit;
    std::string unreadable_limit; ///< what it says instead of a number; empty if it is readable
    std::optional<std::chrono::milliseconds> idle_limit; ///< an idle connection is closed after it
};

} // namespace jaynotch
