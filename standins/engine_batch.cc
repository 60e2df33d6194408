#include "standins/engine_batch.h"

#include <algorithm>

// A sequence is admitted if its prompt and its complete output fit into the part of the KV cache
// that the running sequences do not use now. Admission stops at the first sequence that does not
// fit, so that smaller ones behind it don't overtake it. An empty batch admits any sequence, even
// one larger than the cache, so that none waits forever.

namespace jaynotch {

void engine_batch::add(std::shared_ptr<batch_sequence> sequence)
{
    const auto position = std::upper_bound(
        m_waiting.begin(), m_waiting.end(), sequence->priority,
        [](int priority, const auto& other) { return priority > other->priority; });
    m_waiting.insert(position, std::move(sequence));
}

void engine_batch::abort(batch_sequence& sequence)
{
    sequence.aborted = true;
    sequence.wake.cancel();
    drop_ended();
}

void engine_batch::abort_all()
{
    for (auto* queue : {&m_running, &m_waiting}) {
        for (const auto& sequence : *queue) {
            sequence->aborted = true;
            sequence->wake.cancel();
        }
        queue->clear();
    }
}

void engine_batch::abort_attempt(const std::string& attempt)
{
    for (auto* queue : {&m_running, &m_waiting}) {
        for (const auto& sequence : *queue) {
            if (sequence->attempt != attempt)
                continue;
            sequence->aborted = true;
            sequence->wake.cancel();
        }
    }
    drop_ended();
}

void engine_batch::mark_partial()
{
    for (const auto& sequence : m_running)
        sequence->partial = true;
}

std::uint64_t engine_batch::kv_tokens_used() const
{
    std::uint64_t used_tokens = 0;
    for (const auto& sequence : m_running)
        used_tokens += sequence->prompt_tokens + sequence->produced;
    return used_tokens;
}

double engine_batch::kv_used() const
{
    const double used = static_cast<double>(kv_tokens_used()) / m_settings.kv_tokens;
    return std::min(1.0, used);
}

duration engine_batch::begin_step()
{
    drop_ended();
    std::uint64_t used_tokens = kv_tokens_used();
    std::uint64_t prefill = 0;
    while (!m_waiting.empty() && m_running.size() < m_settings.max_batch) {
        const auto& next = m_waiting.front();
        const std::uint64_t needed_tokens = next->prompt_tokens + next->total;
        if (!m_running.empty() && used_tokens + needed_tokens > m_settings.kv_tokens)
            break;
        used_tokens += needed_tokens;
        prefill += next->prompt_tokens - std::min(next->cached_tokens, next->prompt_tokens);
        m_running.push_back(next);
        m_waiting.erase(m_waiting.begin());
    }
    return m_settings.step_base +
           m_settings.step_per_sequence * static_cast<std::int64_t>(m_running.size()) +
           m_settings.prefill_per_token * static_cast<std::int64_t>(prefill);
}

void engine_batch::end_step()
{
    for (const auto& sequence : m_running) {
        if (sequence->ended())
            continue;
        ++sequence->produced;
        sequence->wake.cancel();
    }
    drop_ended();
}

void engine_batch::drop_ended()
{
    const auto ended = [](const auto& sequence) { return sequence->ended(); };
    std::erase_if(m_running, ended);
    std::erase_if(m_waiting, ended);
}

} // namespace jaynotch
