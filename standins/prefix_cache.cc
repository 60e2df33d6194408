#include "standins/prefix_cache.h"

#include <array>

namespace jaynotch {

namespace {

constexpr std::size_t max_events = 5'000;

} // namespace

std::vector<std::uint64_t> prompt_blocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t chained_hash = 0;
    while (prompt.size() >= prompt_block_bytes) {
        chained_hash = hash64(prompt.substr(0, prompt_block_bytes), chained_hash);
        blocks.push_back(chained_hash);
        prompt.remove_prefix(prompt_block_bytes);
    }
    return blocks;
}

std::string block_name(std::uint64_t block)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(block));
    return {digits.data(), 16};
}

std::size_t prefix_cache::use(const std::vector<std::uint64_t>& blocks, time_point now)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && has_block(blocks[hits]))
        ++hits;
    for (const std::uint64_t block : blocks)
        store(block, now);
    return hits;
}

void prefix_cache::store(std::uint64_t block, time_point now)
{
    if (const auto found = m_positions.find(block); found != m_positions.end()) {
        m_order.splice(m_order.end(), m_order, found->second);
        return;
    }
    m_positions[block] = m_order.insert(m_order.end(), block);
    publish(cache_change::stored, block, now);
    while (m_positions.size() > m_settings.blocks) {
        const std::uint64_t oldest = m_order.front();
        m_order.pop_front();
        m_positions.erase(oldest);
        publish(cache_change::evicted, oldest, now);
    }
}

void prefix_cache::publish(cache_change change, std::uint64_t block, time_point now)
{
    const cache_event event{++m_sequence, change, block_name(block)};
    if (m_random.chance(m_settings.event_loss))
        return;
    m_events.push_back({now + m_settings.event_lag, event});
    if (m_events.size() > max_events)
        m_events.pop_front();
}

std::vector<cache_event> prefix_cache::events(std::uint64_t after, time_point now) const
{
    std::vector<cache_event> visible_events;
    for (const auto& pending : m_events) {
        if (pending.visible_at <= now && pending.event.sequence > after)
            visible_events.push_back(pending.event);
    }
    return visible_events;
}

void prefix_cache::clear()
{
    m_order.clear();
    m_positions.clear();
}

} // namespace jaynotch
