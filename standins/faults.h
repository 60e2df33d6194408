// The ways in which stand-ins fail, switched on and off one by one:
//
//   engine.apply({.pause = true});            engine.apply({.pause = false});
//   POST /fault {"cut_after_tokens": 5}       the same over HTTP, also while it is paused
//
// Only the switches that are named change.
#pragma once

#include "base/base.h"
#include "standins/standin_server.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jaynotch {

/// A change of faults; what is empty stays as it is.
struct fault_change {
    std::optional<bool> kill = {}; ///< refuse and cut connections; false: return with a new boot
    std::optional<bool> pause =
        {}; ///< answer nothing, work nothing; false: go on as if nothing was
    std::optional<bool> stall = {};                 ///< accept requests but produce nothing
    std::optional<bool> outage = {};                ///< answer 503 to everything, without effect
    std::optional<duration> delay = {};             ///< before each answer
    std::optional<std::uint32_t> lose_replies = {}; ///< so many next effects without a reply
    std::optional<double> straggle = {};            ///< factor on the time of each step
    std::optional<std::uint32_t> cut_after = {}; ///< cut each stream after so many tokens; 0: off
    std::optional<bool> answer_twice = {};       ///< send each answer two times over
    std::optional<bool> wrong_length = {};       ///< announce more bytes than are sent
    std::optional<bool> garbage = {};            ///< answer with bytes that are no HTTP
    std::optional<bool> claim_ready = {};        ///< report ready whatever is loaded
    std::optional<bool> serve_partial = {};      ///< serve without asking the other members
    std::optional<bool> leaving = {};            ///< say that it is leaving
    std::optional<std::uint32_t> rate = {};      ///< calls, or bytes, a second; 0: no limit
};

/// The switches as they stand.
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
    /// Takes one lost reply out of the count; whether this reply is to be lost.
    bool consume_lost_reply();
};

result<fault_change> parse_fault(std::string_view body);

/// Answers /fault once `apply` has made the change, so that who asked finds it in force. True if
/// the exchange is dealt with.
awaitable<bool> handle_fault_request(standin_exchange& exchange,
                                     std::function<void(const fault_change&)> apply);
/// What is common to all stand-ins: pauses, refuses, delays or garbles as the switches say. True if
/// the exchange is dealt with and the stand-in must not look at it.
awaitable<bool> apply_faults(boost::asio::any_io_executor executor, fault_state& faults,
                             standin_exchange& exchange);
/// Answers, or loses or spoils the answer as the switches say.
awaitable<void> answer_with_faults(fault_state& faults, standin_exchange& exchange,
                                   boost::beast::http::status status, std::string body);

/// A JSON error body as the gateway and engines send it.
std::string error_body(std::string_view message, int code);

} // namespace jaynotch
