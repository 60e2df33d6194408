// For the policy report: the workload generator. Internal to the simulation.
//
// Ten workspaces of unequal size each have their own system prompt. Three in four requests continue
// a recent conversation, whose prompt has grown by its last turn if that was answered.
#pragma once

#include "routing/policy_engine.h"

#include <algorithm>
#include <string>

namespace jaynotch::policy {

constexpr int workspaces = 10;
constexpr int system_blocks = 8;
constexpr std::size_t max_prompt_blocks = 40;
constexpr double follow_up_share = 0.75;
constexpr int conversations_per_group = 250;
constexpr double mean_answer_tokens = 100.0;

struct conversation {
    std::uint64_t id = 0;
    int workspace = 0;
    std::vector<std::uint64_t> blocks;
};

/// Generates requests with the prompts of ongoing and new conversations.
class workload {
public:
    workload(std::uint64_t seed, int groups)
        : m_random{seed}, m_conversations{static_cast<std::size_t>(groups) *
                                          conversations_per_group}
    {}

    request_info next(std::uint64_t id)
    {
        request_info info;
        info.id = request_id{id};
        info.kind = request_kind::chat;
        info.model = "m";
        info.stream = true;
        const std::size_t place = pick_conversation();
        const conversation& current = m_recent[place];
        m_asked[id] = {place, current.id};
        info.prefix_blocks = current.blocks;
        const auto growth = static_cast<std::size_t>(m_random.between(2, 5));
        for (std::size_t added = 0; added < growth; ++added)
            info.prefix_blocks.push_back(m_random.bits() | 1U);
        info.workspace = workspace_id{"ws-" + std::to_string(current.workspace)};
        info.prompt_tokens = static_cast<std::uint32_t>(info.prefix_blocks.size()) * block_tokens;
        const double tokens = m_random.exponential(mean_answer_tokens);
        info.answer_tokens = static_cast<std::uint32_t>(std::clamp(tokens, 8.0, 300.0));
        return info;
    }

    /// The turn was answered: later turns of the conversation include its blocks.
    void answered(std::uint64_t id, const std::vector<std::uint64_t>& blocks)
    {
        const auto asked = m_asked.find(id);
        if (asked == m_asked.end())
            return;
        conversation& current = m_recent[asked->second.place];
        if (current.id == asked->second.conversation && current.blocks.size() < blocks.size())
            current.blocks = blocks;
        m_asked.erase(asked);
    }

private:
    struct turn {
        std::size_t place = 0;
        std::uint64_t conversation = 0;
    };

    std::size_t pick_conversation()
    {
        if (!m_recent.empty() && m_random.chance(follow_up_share)) {
            const std::size_t place = m_random.index(m_recent.size());
            if (m_recent[place].blocks.size() >= max_prompt_blocks)
                m_recent[place] = new_conversation();
            return place;
        }
        if (m_recent.size() < m_conversations) {
            m_recent.push_back(new_conversation());
            return m_recent.size() - 1;
        }
        const std::size_t oldest = m_next++ % m_recent.size();
        m_recent[oldest] = new_conversation();
        return oldest;
    }

    conversation new_conversation()
    {
        // Zipf distribution with exponent 1: the shares of the workspaces are 1, 1/2, 1/3 ...
        double mass = 0.0;
        for (int at = 1; at <= workspaces; ++at)
            mass += 1.0 / at;
        double drawn = m_random.unit() * mass;
        int chosen = 1;
        while (chosen < workspaces && drawn > 1.0 / chosen) {
            drawn -= 1.0 / chosen;
            ++chosen;
        }
        conversation made{++m_next_conversation, chosen, {}};
        for (int block = 0; block < system_blocks; ++block)
            made.blocks.push_back(
                hash64(std::to_string(chosen), static_cast<std::uint64_t>(block)));
        return made;
    }

    random_source m_random;
    std::size_t m_conversations;
    std::size_t m_next = 0;
    std::uint64_t m_next_conversation = 0;
    std::unordered_map<std::uint64_t, turn> m_asked;
    std::vector<conversation> m_recent;
};

} // namespace jaynotch::policy
