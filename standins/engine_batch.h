// Timing model of continuous batching: chooses the sequences that run in the next step, computes
// the duration of the step and adds one token to each running sequence.
//
//   batch.add(std::make_shared<batch_sequence>(executor, attempt));
//   while (batch.busy()) {
//       wait(batch.begin_step());
//       batch.end_step();
//   }
//
// The duration of a step is step_base + step_per_sequence * running sequences + prefill_per_token *
// uncached prompt tokens of the sequences admitted in this step. Waiting sequences are admitted by
// priority, then in order of arrival.
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
    std::uint32_t kv_tokens = 65'536; ///< capacity of the KV cache
};

/// One response being generated.
struct batch_sequence {
    batch_sequence(const boost::asio::any_io_executor& executor, std::string attempt_id)
        : attempt{std::move(attempt_id)}, wake{executor}
    {}

    std::string attempt;
    int priority = 0; ///< higher values are admitted first
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0; ///< prompt tokens found in the prefix cache
    std::uint32_t produced = 0;      ///< output tokens so far, including resumed ones
    std::uint32_t total = 0;         ///< output tokens at the end
    bool aborted = false;            ///< the group broke or the request was cancelled
    bool partial = false;            ///< at least one step ran without all group members
    timer wake; ///< cancelled on each new token and at the end, to wake the waiting handler

    [[nodiscard]] bool finished() const { return produced >= total; }
    [[nodiscard]] bool ended() const { return aborted || finished(); }
};

class engine_batch {
public:
    explicit engine_batch(batch_settings settings) : m_settings{settings} {}

    void add(std::shared_ptr<batch_sequence> sequence);
    /// Aborts a sequence and removes it from the batch.
    void abort(batch_sequence& sequence);
    void abort_all();
    void abort_attempt(const std::string& attempt);
    /// Marks every running sequence as computed without all group members.
    void mark_partial();
    [[nodiscard]] bool busy() const { return !m_running.empty() || !m_waiting.empty(); }
    /// Admits the waiting sequences that fit and returns the step's duration without stragglers.
    duration begin_step();
    /// Adds a token to each running sequence and removes the finished ones.
    void end_step();

    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }
    /// Fraction of the KV cache in use, 0 to 1.
    [[nodiscard]] double kv_used() const;
    [[nodiscard]] const batch_settings& settings() const { return m_settings; }

private:
    [[nodiscard]] std::uint64_t kv_tokens_used() const;
    void drop_ended();

    batch_settings m_settings;
    std::vector<std::shared_ptr<batch_sequence>> m_running;
    std::vector<std::shared_ptr<batch_sequence>> m_waiting; ///< in order of admission
};

} // namespace jaynotch
