// Faults that stand-ins can simulate, each switched on and off separately:
//
//   engine.apply({.pause = true});            engine.apply({.pause = false});
//   POST /fault {"cut_after": 5}              over HTTP, also while the stand-in is paused
//
// A change affects only the faults it names.
#pragma once

#include "base/base.h"
#include "standins/standin_server.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jaynotch {

/// A change of faults; empty fields leave a fault as it is.
struct fault_change {
    std::optional<bool> kill = {};      ///< reset and refuse connections; false: restart
    std::optional<bool> pause = {};     ///< suspend all work; false: continue where it stopped
    std::optional<bool> stall = {};     ///< accept requests but make no progress
    std::optional<bool> outage = {};    ///< answer 503 to each request without executing it
    std::optional<duration> delay = {}; ///< before each response
    /// Number of next requests that are executed but get no reply.
    std::optional<std::uint32_t> lose_replies = {};
    std::optional<double> straggle = {};         ///< factor on the duration of each step
    std::optional<std::uint32_t> cut_after = {}; ///< tokens after which each stream is cut; 0: off
    std::optional<bool> answer_twice = {};       ///< send each response twice
    std::optional<bool> wrong_length = {};       ///< send a Content-Length above the body's size
    std::optional<bool> garbage = {};            ///< answer with bytes that are not HTTP
    std::optional<bool> claim_ready = {};        ///< report ready regardless of the actual state
    std::optional<bool> serve_partial = {};      ///< serve without the other members
    std::optional<bool> leaving = {};            ///< report that it is leaving
    /// Key-value writes or bytes of weights per second. 0 lifts the limit of the key-value service
    /// and leaves that of the weight store as it is.
    std::optional<std::uint32_t> rate = {};
};

/// Current setting of each fault.
struct fault_state {
    bool kill = false;
    bool pause = false;
    bool stall = false;
    bool outage = false;
    duration delay{0};
    std::uint32_t lose_replies = 0;
    double straggle = 1.0;
    std::uint32_t cut_after = 0;
    bool answer_twice = false;
    bool wrong_length = false;
    bool garbage = false;
    bool claim_ready = false;
    bool serve_partial = false;
    bool leaving = false;
    std::optional<std::uint32_t> rate;

    void apply(const fault_change& change);
    /// Whether this reply is to be lost; decrements `lose_replies` if so.
    bool consume_lost_reply();
};

/// Parses the body of POST /fault, whose members have the names of fault_change's fields and
/// `delay_ms` for `delay`.
result<fault_change> parse_fault(std::string_view body);

/// Handles a request for /fault. The response is sent after `apply` has made the change, so the
/// fault is active when the client gets it; after `kill` the client gets a reset instead. Returns
/// true if the request was for /fault.
awaitable<bool> handle_fault_request(standin_exchange& exchange,
                                     std::function<void(const fault_change&)> apply);
/// Simulates the faults common to all stand-ins before a request is executed: pause, kill, delay,
/// garbage and outage. Returns true if the request is done and must not be executed.
awaitable<bool> apply_faults(boost::asio::any_io_executor executor, fault_state& faults,
                             standin_exchange& exchange);
/// Sends the response, subject to the faults lose_replies, wrong_length and answer_twice.
awaitable<void> answer_with_faults(fault_state& faults, standin_exchange& exchange,
                                   boost::beast::http::status status, std::string body);

/// A JSON error body as sent by etcd's gateway and by engines; `code` is a gRPC status code.
std::string error_body(std::string_view message, int code);

} // namespace jaynotch
