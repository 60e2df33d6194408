// For the policy report: a simple service model of a batching engine with continuous batching.
// Internal to the simulation.
//
// Each step generates one token for every running sequence, or processes a chunk of its prompt. A
// step takes a fixed time, plus a time per running sequence and per processed prompt token, so that
// first tokens are delayed by other prompts and tokens slow down as the batch fills.
#pragma once

#include "routing/request_events.h"

#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace jaynotch::policy {

constexpr std::uint32_t block_tokens = 64;

/// Costs and capacities of an engine; roughly a 70B model on eight accelerators.
struct engine_model {
    double step_s = 0.020;
    double sequence_s = 0.0005;
    double prompt_token_s = 0.00006;
    std::uint32_t prompt_chunk = 1'024; ///< prompt tokens per step
    std::uint32_t batch = 64;
    std::size_t cache_blocks = 4'000;
    double slowness = 1.0; ///< factor on the time of a step
};

/// An attempt that is queued or running in an engine.
struct sequence {
    int node = 0;
    request_id request;
    attempt_id attempt;
    priority_class priority = priority_class::standard;
    std::vector<std::uint64_t> blocks;
    std::uint32_t prompt_left = 0; ///< tokens
    std::uint32_t answer_left = 0; ///< tokens
    std::uint32_t tokens_emitted = 0;
};

/// Prompt blocks in the engine's cache, evicted in least-recently-used order.
class block_cache {
public:
    explicit block_cache(std::size_t most) : m_most{most} {}

    [[nodiscard]] std::uint32_t matched_blocks(const std::vector<std::uint64_t>& blocks) const
    {
        std::uint32_t held = 0;
        while (held < blocks.size() && m_entries.contains(blocks[held]))
            ++held;
        return held;
    }

    /// Stores the blocks and returns the events that an engine would publish.
    std::vector<prefix_event> store(const std::vector<std::uint64_t>& blocks)
    {
        std::vector<prefix_event> events;
        for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
            const auto known = m_entries.find(*block);
            if (known != m_entries.end()) {
                m_order.splice(m_order.begin(), m_order, known->second);
                continue;
            }
            m_order.push_front(*block);
            m_entries[*block] = m_order.begin();
            events.push_back({*block, false});
        }
        while (m_order.size() > m_most) {
            events.push_back({m_order.back(), true});
            m_entries.erase(m_order.back());
            m_order.pop_back();
        }
        return events;
    }

private:
    std::size_t m_most;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_entries;
};

/// Result of a step.
struct step_result {
    double took_s = 0.0;
    std::vector<sequence> first_tokens; ///< copies
    std::vector<sequence> ended;
};

class engine {
public:
    explicit engine(const engine_model& model) : m_model{model}, m_cache{model.cache_blocks} {}

    void add(sequence added)
    {
        // Higher priorities first, then in order of arrival.
        auto place = m_waiting.end();
        while (place != m_waiting.begin() && std::prev(place)->priority < added.priority)
            --place;
        m_waiting.insert(place, std::move(added));
    }

    void cancel(attempt_id attempt)
    {
        std::erase_if(m_waiting, [&](const sequence& each) { return each.attempt == attempt; });
        std::erase_if(m_running, [&](const sequence& each) { return each.attempt == attempt; });
    }

    void clear()
    {
        m_waiting.clear();
        m_running.clear();
    }

    [[nodiscard]] bool idle() const { return m_waiting.empty() && m_running.empty(); }
    [[nodiscard]] std::size_t load() const { return m_waiting.size() + m_running.size(); }
    [[nodiscard]] target_load report() const
    {
        return {static_cast<std::uint32_t>(m_running.size()),
                static_cast<std::uint32_t>(m_waiting.size()), 0.0};
    }
    [[nodiscard]] const block_cache& cache() const { return m_cache; }
    std::vector<prefix_event> take_cache_events() { return std::exchange(m_events, {}); }

    std::uint64_t prompt_blocks = 0;
    std::uint64_t prompt_blocks_held = 0;

    step_result step()
    {
        while (m_running.size() < m_model.batch && !m_waiting.empty()) {
            sequence next = std::move(m_waiting.front());
            m_waiting.pop_front();
            const std::uint32_t held = m_cache.matched_blocks(next.blocks);
            prompt_blocks += next.blocks.size();
            prompt_blocks_held += held;
            next.prompt_left =
                (static_cast<std::uint32_t>(next.blocks.size()) - held) * block_tokens + 1;
            m_running.push_back(std::move(next));
        }
        step_result result;
        std::uint32_t budget = m_model.prompt_chunk;
        std::vector<sequence> going_on;
        for (sequence& each : m_running) {
            if (each.prompt_left > 0) {
                const std::uint32_t worked = std::min(budget, each.prompt_left);
                budget -= worked;
                each.prompt_left -= worked;
                if (each.prompt_left > 0) {
                    going_on.push_back(std::move(each));
                    continue;
                }
                const auto events = m_cache.store(each.blocks);
                m_events.insert(m_events.end(), events.begin(), events.end());
                result.first_tokens.push_back(each);
            }
            ++each.tokens_emitted;
            --each.answer_left;
            if (each.answer_left == 0)
                result.ended.push_back(std::move(each));
            else
                going_on.push_back(std::move(each));
        }
        const double prompt_tokens = m_model.prompt_chunk - budget;
        result.took_s =
            m_model.slowness *
            (m_model.step_s + m_model.sequence_s * static_cast<double>(m_running.size()) +
             m_model.prompt_token_s * prompt_tokens);
        m_running = std::move(going_on);
        return result;
    }

    [[nodiscard]] const std::vector<sequence>& running() const { return m_running; }

private:
    engine_model m_model;
    block_cache m_cache;
    std::deque<sequence> m_waiting;
    std::vector<sequence> m_running;
    std::vector<prefix_event> m_events;
};

} // namespace jaynotch::policy
