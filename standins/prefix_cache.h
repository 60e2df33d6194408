// An engine's cache of prompt prefixes: blocks of 256 bytes of prompt text, named by chained XXH3
// hashes, the least recently used given up first; its changes are published late and with gaps.
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

/// Chained hashes of a prompt's whole blocks: element i covers blocks 0 to i.
std::vector<std::uint64_t> prompt_blocks(std::string_view prompt);
/// A block's hash as cache events write it: 16 hexadecimal digits.
std::string block_name(std::uint64_t block);

struct prefix_cache_settings {
    std::size_t blocks = 512;
    duration event_lag = std::chrono::milliseconds{300};
    double event_loss = 0.05; ///< share of events that are never published
};

class prefix_cache {
public:
    explicit prefix_cache(prefix_cache_settings settings, std::uint64_t seed)
        : m_settings{settings}, m_random{seed}
    {}

    /// How many leading blocks are held; all of `blocks` are held afterwards.
    std::size_t use(const std::vector<std::uint64_t>& blocks, time_point now);
    void store(std::uint64_t block, time_point now);
    [[nodiscard]] bool has_block(std::uint64_t block) const { return m_positions.contains(block); }
    /// Published events with a sequence above `after`.
    std::vector<cache_event> events(std::uint64_t after, time_point now) const;
    void clear();

private:
    struct pending_event {
        time_point visible_at;
        cache_event event;
    };
    void publish(cache_change change, std::uint64_t block, time_point now);

    prefix_cache_settings m_settings;
    random_source m_random;
    std::list<std::uint64_t> m_order; ///< least recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
    std::deque<pending_event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace jaynotch
