// Continuous batching as a model of time: which sequences run in the next step, how long the step
// takes, and who gets a token from it.
//
//   auto sequence = batch.add(executor, {...});
//   wait(batch.begin_step()); batch.end_step();     // for as long as batch.busy()
//
// A step lasts base + per_sequence * running + prefill_per_token * (uncached tokens of prompts
// admitted now). Waiting sequences are admitted by priority, then in order of arrival.
#pragma once

#include "base/base.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>
#include <vector>

namespace jaynotch {

struct batch_settings {
    duration step_base = std::chrono::milliseconds{4};
    duration step_per_sequence = std::chrono::microseconds{100};
    duration prefill_per_token = std::chrono::microseconds{20};
    std::uint32_t max_batch = 32;
    std::uint32_t kv_tokens = 65'536; ///< what the KV cache holds
};

/// One answer being generated.
struct batch_sequence {
    batch_sequence(const boost::asio::any_io_executor& executor, std::string attempt_id)
        : attempt{std::move(attempt_id)}, wake{executor}
    {}

    std::string attempt;
    int priority = 0; ///< higher goes first
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0; ///< of the prompt, found in the prefix cache
    std::uint32_t produced = 0;      ///< tokens so far, resumed ones included
    std::uint32_t total = 0;         ///< tokens when finished
    bool aborted = false;            ///< the group broke, or the request was cancelled
    bool partial = false;            ///< a step was taken without every member
    timer wake;                      ///< cancelled when a token comes or the sequence ends

    [[nodiscard]] bool finished() const { return produced >= total; }
    [[nodiscard]] bool ended() const { return aborted || finished(); }
};

class engine_batch {
public:
    explicit engine_batch(batch_settings settings) : m_settings{settings} {}

    void add(std::shared_ptr<batch_sequence> sequence);
    /// Takes a sequence out, as a cancel does.
    void abort(batch_sequence& sequence);
    void abort_all();
    void abort_attempt(const std::string& attempt);
    /// Notes on every running sequence that a member is missing.
    void mark_partial();
    [[nodiscard]] bool busy() const { return !m_running.empty() || !m_waiting.empty(); }
    /// Admits what fits and returns how long the step lasts without stragglers.
    duration begin_step();
    void end_step();

    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    [[nodiscard]] double kv_used() const;
    [[nodiscard]] const batch_settings& settings() const { return m_settings; }

private:
    [[nodiscard]] std::uint64_t kv_tokens_used() const;
    void drop_ended();

    batch_settings m_settings;
    std::vector<std::shared_ptr<batch_sequence>> m_running;
    std::vector<std::shared_ptr<batch_sequence>> m_waiting; ///< first to be admitted first
};

} // namespace jaynotch
