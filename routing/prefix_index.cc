// A set-associative table of block hashes. The hashes are chained (the hash of block i covers all
// blocks before it), so one look-up of the last common block finds the whole common prefix, and a
// scan from the end of the prompt finds the longest match of each target first.
//
// Popularity counts decay by epochs: when an entry is used, its count is halved for each epoch
// since its last use, so the table never has to be scanned.
#include "routing/prefix_index.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace jaynotch {

namespace {

bool contains(std::span<const prefix_match> found, target_slot slot)
{
    return std::any_of(found.begin(), found.end(),
                       [&](const prefix_match& match) { return match.slot == slot; });
}

} // namespace

prefix_index::prefix_index(std::size_t entries)
{
    const std::size_t sets = std::bit_ceil(std::max<std::size_t>(entries / ways, 1));
    m_entries.resize(sets * ways);
    m_set_mask = sets - 1;
}

std::size_t prefix_index::set_of(std::uint64_t block) const
{
    // The low bits of the caller's hash may be weak; the multiplication mixes all bits into the
    // high half.
    constexpr std::uint64_t golden = 0x9E3779B97F4A7C15ULL;
    constexpr unsigned high_half = 32;
    return ((block * golden) >> high_half & m_set_mask) * ways;
}

const prefix_index::entry* prefix_index::find(std::uint64_t block) const
{
    const entry* set = &m_entries[set_of(block)];
    for (std::size_t way = 0; way < ways; ++way) {
        if (set[way].block == block)
            return &set[way];
    }
    return nullptr;
}

prefix_index::entry& prefix_index::find_or_create(std::uint64_t block)
{
    entry* set = &m_entries[set_of(block)];
    entry* oldest = set;
    ++m_clock;
    for (std::size_t way = 0; way < ways; ++way) {
        if (set[way].block == block) {
            set[way].used = m_clock;
            return set[way];
        }
        if (m_clock - set[way].used > m_clock - oldest->used)
            oldest = &set[way];
    }
    *oldest = entry{};
    oldest->block = block;
    oldest->used = m_clock;
    oldest->epoch = m_epoch;
    return *oldest;
}

void prefix_index::note_stored(std::uint64_t block, target_slot slot)
{
    auto& slots = find_or_create(block).slots;
    const auto known = std::find(slots.begin(), slots.end(), slot);
    const auto last = known == slots.end() ? slots.end() - 1 : known;
    std::rotate(slots.begin(), last, last + 1);
    slots.front() = slot;
}

void prefix_index::note_evicted(std::uint64_t block, target_slot slot)
{
    if (find(block) == nullptr)
        return;
    auto& slots = find_or_create(block).slots;
    std::replace(slots.begin(), slots.end(), slot, target_slot{});
}

void prefix_index::count_request()
{
    m_requests += 1.0F;
    if (m_requests < epoch_requests)
        return;
    m_earlier_requests = (m_earlier_requests + m_requests) / 2;
    m_requests = 0.0F;
    ++m_epoch;
}

double prefix_index::count_block_request(std::uint64_t block)
{
    entry& counted = find_or_create(block);
    const auto passed = static_cast<int>(std::min<std::uint32_t>(m_epoch - counted.epoch, 32));
    counted.requests = std::ldexp(counted.requests, -passed) + 1.0F;
    counted.epoch = m_epoch;
    return counted.requests / (m_requests + m_earlier_requests + prior_requests);
}

std::size_t prefix_index::longest_matches(std::span<const std::uint64_t> blocks,
                                          std::span<prefix_match> best) const
{
    std::size_t found = 0;
    std::size_t depth = std::min(blocks.size(), max_prefix_blocks);
    for (; depth > 0 && found < best.size(); --depth) {
        const entry* known = find(blocks[depth - 1]);
        if (known == nullptr)
            continue;
        for (const target_slot slot : known->slots) {
            if (slot.generation == 0 || contains(best.first(found), slot))
                continue;
            if (found == best.size())
                break;
            best[found] = {slot, static_cast<std::uint32_t>(depth)};
            ++found;
        }
    }
    return found;
}

} // namespace jaynotch
