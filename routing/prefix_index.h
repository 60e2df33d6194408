// Which targets are thought to hold which prompt prefixes in their KV cache. A hint: fed by this
// node's own picks at once and by the engines' cache events late and with gaps.
//
//   prefix_index index{65'536};
//   index.note_stored(block, slot);
//   prefix_match best[4];
//   const std::size_t found = index.longest(blocks, best);   // longest first
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace jaynotch {

/// A target in the index: its row and the row's generation, so that a hint about a group that is
/// gone never speaks for the group that took over its row.
struct target_slot {
    std::uint16_t row = 0;
    std::uint16_t generation = 0; ///< 0 is never used: an empty slot

    friend bool operator==(const target_slot&, const target_slot&) = default;
};

/// How much of a prompt a target is thought to hold.
struct prefix_match {
    target_slot slot;
    std::uint32_t blocks = 0;
};

/// Only this many blocks of a prompt are looked at, so that the work on one request is bounded.
constexpr std::size_t max_prefix_blocks = 64;

/// Bounded: sets of entries; within a full set the entry that was used least recently goes.
class prefix_index {
public:
    /// Rounds `entries` up to a power of two of at least one set.
    explicit prefix_index(std::size_t entries);

    /// `slot` is thought to hold the prefix that ends with `block`.
    void note_stored(std::uint64_t block, target_slot slot);
    /// `slot` is known not to hold it any more.
    void note_evicted(std::uint64_t block, target_slot slot);
    /// Counts a request that goes through `block` and returns its share of the recent requests,
    /// 0..1, as this node sees them.
    double count_block_request(std::uint64_t block);
    /// The targets with the longest matches, longest first; returns how many were found.
    [[nodiscard]] std::size_t longest_matches(std::span<const std::uint64_t> blocks,
                                              std::span<prefix_match> best) const;
    /// Halves the counts of requests once in a while, so that popularity is recent.
    void count_request();

private:
    static constexpr std::size_t ways = 4; ///< entries of a set
    static constexpr std::size_t slots_per_entry = 4;
    static constexpr float epoch_requests = 2'048.0F; ///< window of popularity
    /// Added to the total, so that the first requests don't each pass for all the traffic there is.
    static constexpr float prior_requests = 32.0F;

    struct entry {
        std::uint64_t block = 0; ///< 0 is empty
        std::uint32_t used = 0;
        std::uint32_t epoch = 0; ///< of `requests`
        float requests = 0.0F;
        std::array<target_slot, slots_per_entry> slots{}; ///< latest first
    };

    [[nodiscard]] const entry* find(std::uint64_t block) const;
    entry& find_or_create(std::uint64_t block);
    [[nodiscard]] std::size_t set_of(std::uint64_t block) const;

    std::vector<entry> m_entries;
    std::size_t m_set_mask = 0;
    std::uint32_t m_clock = 0;
    std::uint32_t m_epoch = 0;
    float m_requests = 0.0F;         ///< of the present epoch
    float m_earlier_requests = 0.0F; ///< of the epochs before, halved at each
};

} // namespace jaynotch
