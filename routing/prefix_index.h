// Estimates which targets have which prompt prefixes in their KV cache. The index is a hint: it is
// updated at once by this node's own target selections, and late and with gaps by the engines'
// cache events.
//
//   prefix_index index{65'536};
//   index.note_stored(block, slot);
//   prefix_match best[4];
//   const std::size_t found = index.longest_matches(blocks, best);   // longest first
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace jaynotch {

/// A target in the index: its row and the generation of the row, so that a hint about a former
/// group does not apply to the group that reuses its row.
struct target_slot {
    std::uint16_t row = 0;
    std::uint16_t generation = 0; ///< 0: an empty slot

    friend bool operator==(const target_slot&, const target_slot&) = default;
};

/// The length of the prompt prefix that a target has likely cached.
struct prefix_match {
    target_slot slot;
    std::uint32_t blocks = 0;
};

/// Further blocks of a prompt are ignored, which bounds the work per request.
constexpr std::size_t max_prefix_blocks = 64;

/// A set-associative table of bounded size; a full set evicts its least recently used entry.
class prefix_index {
public:
    /// Rounds the number of sets up to a power of two.
    explicit prefix_index(std::size_t entries);

    /// The target has likely cached the prefix that ends with `block`.
    void note_stored(std::uint64_t block, target_slot slot);
    /// The target has evicted the prefix that ends with `block`.
    void note_evicted(std::uint64_t block, target_slot slot);
    /// Counts a request whose prompt contains `block`, and returns the share of such requests among
    /// this node's recent requests, 0..1.
    double count_block_request(std::uint64_t block);
    /// Writes the targets with the longest matches to `best`, longest first; returns their number.
    [[nodiscard]] std::size_t longest_matches(std::span<const std::uint64_t> blocks,
                                              std::span<prefix_match> best) const;
    /// Counts a request in the total, and starts a new epoch after every `epoch_requests` requests,
    /// which halves the counts, so that popularity reflects recent traffic.
    void count_request();

private:
    static constexpr std::size_t ways = 4; ///< entries per set
    static constexpr std::size_t slots_per_entry = 4;
    static constexpr float epoch_requests = 2'048.0F; ///< length of an epoch
    /// Added to the total, so that the first requests do not each count as a large share of the
    /// traffic.
    static constexpr float prior_requests = 32.0F;

    struct entry {
        std::uint64_t block = 0; ///< 0: an empty entry
        std::uint32_t used = 0;  ///< value of `m_clock` at the last use
        std::uint32_t epoch = 0; ///< in which `requests` was last updated
        float requests = 0.0F;
        std::array<target_slot, slots_per_entry> slots{}; ///< most recently stored first
    };

    [[nodiscard]] const entry* find(std::uint64_t block) const;
    entry& find_or_create(std::uint64_t block);
    [[nodiscard]] std::size_t set_of(std::uint64_t block) const;

    std::vector<entry> m_entries;
    std::size_t m_set_mask = 0;
    std::uint32_t m_clock = 0;
    std::uint32_t m_epoch = 0;
    float m_requests = 0.0F;         ///< in the current epoch
    float m_earlier_requests = 0.0F; ///< in earlier epochs, halved at each new one
};

} // namespace jaynotch
