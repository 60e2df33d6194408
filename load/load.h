// Public header of the load library: generates open-loop load on entry VMs, checks every answer and
// reports the outcome of every call.
//
//   load_settings settings{.targets = {"127.0.0.1:8080"}, .model = "router", .rate = 50.0};
//   load_report report = co_await run_load(executor, settings);
//   std::cout << render_load_report(report);
//
// Open loop: calls start on a fixed schedule that does not depend on the answers, so a stall shows
// up as latency rather than as reduced load. Answers of stand-in engines are checked byte for byte
// (answer_text.h), answers of stand-in plain services by the digest of the request body.
#pragma once

#include "base/base.h"
#include "load/answer_text.h"
#include "load/latency_histogram.h"
#include "services/services.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace jaynotch {

/// Outcome of one call as observed by its caller.
enum class call_outcome {
    whole,           ///< complete and correct answer
    refused_not_run, ///< refused; the answer states that the request did not run
    refused_unknown, ///< refused or failed; the request may have run
    cut,             ///< recognisably incomplete answer
    wrong,           ///< apparently complete, but not the answer to this call
    unreachable,     ///< the entry VM could not be connected to
    unanswered,      ///< no answer within the timeout
};

template <>
struct enum_names<call_outcome> {
    static constexpr std::array entries{
        named{call_outcome::whole, "whole"},
        named{call_outcome::refused_not_run, "refused_not_run"},
        named{call_outcome::refused_unknown, "refused_unknown"},
        named{call_outcome::cut, "cut"},
        named{call_outcome::wrong, "wrong"},
        named{call_outcome::unreachable, "unreachable"},
        named{call_outcome::unanswered, "unanswered"},
    };
};

/// One request to a plain service.
struct plain_call {
    std::string target = {}; ///< entry VM, "IP:port"
    std::string method = "POST";
    std::string path = {};
    std::string workspace = {};
    std::string key = {}; ///< idempotency key; empty: none
    std::string body = {};
};

/// One chat completion request.
struct model_call {
    std::string target = {};
    std::string model = {};
    std::string workspace = {};
    std::string prompt = {};
    std::uint32_t tokens = 0; ///< exact length of the answer; 0: the engine decides
    bool stream = true;
};

/// Result of one call: outcome, details and timing.
struct call_result {
    call_outcome outcome = call_outcome::unanswered;
    unsigned status = 0;
    std::string detail;  ///< kind and message of a refusal, or the error found in the answer
    std::string record;  ///< response body of a plain service
    std::string version; ///< version of the model that answered
    std::string trace;   ///< value of the answer's traceparent header
    std::uint64_t retry_after_s = 0;
    std::uint32_t tokens = 0;
    duration first_token{0};
    duration total{0};
    std::vector<duration> between_tokens;
};

/// A plain call of a load run with its result. Tests compare these with the executions that the
/// backend servers recorded.
struct plain_call_record {
    plain_call call;
    call_result result;
};

struct load_settings {
    std::vector<std::string> targets; ///< entry VMs, used round-robin
    std::string model;
    std::vector<std::string> workspaces{"default"};
    double rate = 10.0; ///< average calls per second
    duration length = std::chrono::seconds{5};
    std::vector<duration> schedule; ///< start of each call; empty: Poisson process at `rate`
    std::uint32_t tokens = 0;       ///< length of each answer; 0: the engine decides
    std::uint32_t prompt_bytes = 200;
    std::uint32_t shared_prefixes = 0; ///< number of long prefixes that prompts share; 0: none
    std::uint32_t prefix_bytes = 2048;
    double stream_share = 1.0; ///< fraction of model calls that stream
    double plain_share = 0.0;  ///< fraction of all calls that go to a plain service
    std::string plain_path = "/orders";
    std::string plain_method = "POST";
    bool keyed = true;                           ///< plain calls carry an Idempotency-Key
    duration timeout = std::chrono::seconds{30}; ///< for the answer's header and for each read
    std::size_t max_outstanding = 20'000;        ///< further calls are counted as not started
    std::uint64_t seed = 1;
};

/// Latency percentiles in milliseconds.
struct load_percentiles {
    std::uint64_t count = 0;
    double p50 = 0.0;
    double p90 = 0.0;
    double p95 = 0.0;
    double p99 = 0.0;
    double p999 = 0.0;
    double maximum = 0.0;
};

/// Number of refusals with the same kind and message.
struct refusal_count {
    std::string words;
    std::uint64_t count = 0;
};

struct load_report {
    std::uint64_t started = 0;
    std::uint64_t not_started = 0; ///< skipped because too many calls were outstanding
    std::array<std::uint64_t, enum_names<call_outcome>::entries.size()> outcomes{};
    std::uint64_t tokens = 0;
    double seconds = 0.0; ///< duration of the run, to the end of the last call
    load_percentiles first_token;
    load_percentiles between_tokens;
    load_percentiles total;
    std::vector<plain_call_record> plain;
    std::vector<refusal_count> refusals; ///< the first distinct refusals
    std::vector<std::string> faults;     ///< descriptions of the first wrong or incomplete answers

    [[nodiscard]] std::uint64_t count_of(call_outcome outcome) const
    {
        return outcomes.at(static_cast<std::size_t>(outcome));
    }
};

/// Send one call and check its answer.
awaitable<call_result> send_model_call(http_client& client, model_call call, duration timeout);
awaitable<call_result> send_plain_call(http_client& client, plain_call call, duration timeout);

/// Runs the whole load; returns when every call has its outcome.
/// Throws `exception` if there are no targets or no workspaces.
awaitable<load_report> run_load(boost::asio::any_io_executor executor, load_settings settings);

/// Formats the report as one JSON object.
std::string render_load_report(const load_report& report);

} // namespace jaynotch
