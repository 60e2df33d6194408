// Model of an engine's prefix cache with LRU eviction. It caches blocks of 256 bytes of prompt
// text, identified by chained XXH3 hashes. Events for stored and evicted blocks become visible
// after a delay, and some are lost.
//
//   prefix_cache cache{{.blocks = 512}, seed};
//   std::size_t hits = cache.use(prompt_blocks(prompt), now);
//   std::vector<cache_event> events = cache.events(last_sequence, now);
#pragma once

#include "base/base.h"
#include "services/services.h"

#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaynotch {

inline constexpr std::size_t prompt_block_bytes = 256;

/// Chained hashes of a prompt's complete blocks; element i covers blocks 0 to i.
std::vector<std::uint64_t> prompt_blocks(std::string_view prompt);
/// A block's hash as written in cache events: 16 hexadecimal digits.
std::string block_name(std::uint64_t block);

struct prefix_cache_settings {
    std::size_t blocks = 512;                            ///< capacity
    duration event_lag = std::chrono::milliseconds{300}; ///< delay until an event is visible
    double event_loss = 0.05; ///< fraction of events that are never published
};

class prefix_cache {
public:
    explicit prefix_cache(prefix_cache_settings settings, std::uint64_t seed)
        : m_settings{settings}, m_random{seed}
    {}

    /// Stores all of `blocks` and returns how many leading ones were already cached.
    std::size_t use(const std::vector<std::uint64_t>& blocks, time_point now);
    /// Stores a block or marks it as just used; evicts the least recently used beyond the capacity.
    void store(std::uint64_t block, time_point now);
    [[nodiscard]] bool has_block(std::uint64_t block) const { return m_positions.contains(block); }
    /// Visible events with a sequence above `after`.
    std::vector<cache_event> events(std::uint64_t after, time_point now) const;
    /// Drops all blocks without events, as a restart does.
    void clear();

private:
    struct pending_event {
        time_point visible_at;
        cache_event event;
    };
    void publish(cache_change change, std::uint64_t block, time_point now);

    prefix_cache_settings m_settings;
    random_source m_random;
    std::list<std::uint64_t> m_order; ///< least recently used first; m_positions points into it
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
    std::deque<pending_event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace jaynotch
