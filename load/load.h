// Public header of the load library: open-loop load on entry VMs, with each answer checked and an
// account of what became of every call.
//
//   load_settings wanted{.targets = {"127.0.0.1:8080"}, .model = "router", .rate = 50.0};
//   load_report report = co_await run_load(executor, wanted);
//   std::cout << render_load_report(report);
//
// Open loop: calls start when their time has come, however slow the answers are, so a stall shows
// as latency and not as less load. Answers of stand-in engines are checked byte for byte
// (answer_text.h), those of stand-in plain services by the digest of the body that was sent.
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

/// What became of one call, as its caller can tell.
enum class call_outcome {
    whole,           ///< the whole answer to this call
    refused_not_run, ///< refused, and the refusal says that it did not run
    refused_unknown, ///< refused or failed, and it may have run
    cut,             ///< ended in a way that shows it is not whole
    wrong,           ///< looked whole but is not the answer to this call
    unreachable,     ///< the entry VM refused the connection
    unanswered,      ///< no answer within the time
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

/// One call of a plain service.
struct plain_call {
    std::string target = {}; ///< entry VM, "IP:port"
    std::string method = "POST";
    std::string path = {};
    std::string workspace = {};
    std::string key = {}; ///< idempotency key, empty for none
    std::string body = {};
};

/// One chat or completion.
struct model_call {
    std::string target = {};
    std::string model = {};
    std::string workspace = {};
    std::string prompt = {};
    std::uint32_t tokens = 0; ///< exactly so many; 0 leaves the length to the engine
    bool stream = true;
};

/// What became of a call.
struct call_result {
    call_outcome outcome = call_outcome::unanswered;
    unsigned status = 0;
    std::string detail;  ///< kind of the refusal, or what was wrong with the answer
    std::string record;  ///< a plain service's answer
    std::string version; ///< of the model that answered
    std::string trace;   ///< header traceparent of the answer
    std::uint64_t retry_after_s = 0;
    std::uint32_t tokens = 0;
    duration first_token{0};
    duration total{0};
    std::vector<duration> between_tokens;
};

/// A plain call of a load, kept so that it can be compared with the backend servers' accounts.
struct plain_call_record {
    plain_call call;
    call_result result;
};

struct load_settings {
    std::vector<std::string> targets; ///< entry VMs, taken in turn
    std::string model;
    std::vector<std::string> workspaces{"default"};
    double rate = 10.0; ///< calls a second on average
    duration length = std::chrono::seconds{5};
    std::vector<duration> schedule; ///< start of each call; empty: Poisson at `rate`
    std::uint32_t tokens = 0;       ///< of each answer; 0 leaves it to the engine
    std::uint32_t prompt_bytes = 200;
    std::uint32_t shared_prefixes = 0; ///< prompts begin with one of so many long prefixes
    std::uint32_t prefix_bytes = 2048;
    double stream_share = 1.0; ///< of the model calls
    double plain_share = 0.0;  ///< of all calls
    std::string plain_path = "/orders";
    std::string plain_method = "POST";
    bool keyed = true;                           ///< plain calls carry an Idempotency-Key
    duration timeout = std::chrono::seconds{30}; ///< to the answer's header, and between pieces
    std::size_t max_outstanding = 20'000;        ///< beyond it a call counts as not started
    std::uint64_t seed = 1;
};

/// Percentiles in milliseconds.
struct load_percentiles {
    std::uint64_t count = 0;
    double p50 = 0.0;
    double p90 = 0.0;
    double p95 = 0.0;
    double p99 = 0.0;
    double p999 = 0.0;
    double maximum = 0.0;
};

/// How often a refusal was given in these words.
struct refusal_count {
    std::string words;
    std::uint64_t count = 0;
};

struct load_report {
    std::uint64_t started = 0;
    std::uint64_t not_started = 0; ///< too many were outstanding
    std::array<std::uint64_t, enum_names<call_outcome>::entries.size()> outcomes{};
    std::uint64_t tokens = 0;
    double seconds = 0.0; ///< from the first start to the last end
    load_percentiles first_token;
    load_percentiles between_tokens;
    load_percentiles total;
    std::vector<plain_call_record> plain;
    std::vector<refusal_count> refusals; ///< the first few different ones
    std::vector<std::string> faults;     ///< the first few answers that were wrong, in words

    [[nodiscard]] std::uint64_t count_of(call_outcome outcome) const
    {
        return outcomes.at(static_cast<std::size_t>(outcome));
    }
};

/// Sends one call and checks its answer.
awaitable<call_result> send_model_call(http_client& client, model_call call, duration timeout);
awaitable<call_result> send_plain_call(http_client& client, plain_call call, duration timeout);

/// Runs a load to its end; returns once every call has its outcome.
awaitable<load_report> run_load(boost::asio::any_io_executor executor, load_settings settings);

/// The report as one JSON object.
std::string render_load_report(const load_report& report);

} // namespace jaynotch
