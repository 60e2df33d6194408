// Which target of a pool gets a request.
//
//   const pick_request wanted{.blocks = info.prefix_blocks, .adapter = "..."};
//   const picked chosen = pick(targets, pool_view, prefixes, wanted, random, now);
#pragma once

#include "routing/request_core.h"
#include "routing/target_table.h"

#include <span>
#include <string_view>

namespace jaynotch {

/// What the picker keeps of a pool between two ticks.
struct pool_view {
    std::vector<target_row_index> targets;   ///< present ones
    std::vector<std::uint64_t> id_hashes;    ///< hashes of their ids, for rendezvous
    std::vector<std::size_t> domain_indexes; ///< indexes of their failure domains
    std::uint32_t own = 0;                   ///< this node's requests at them
    double mean_others = 0.0;                ///< of the other nodes, at one target
    /// The same at a target of each failure domain, less where little has been heard of it.
    std::vector<double> mean_others_by_domain;
    std::uint32_t max_per_target = 64; ///< most in flight at one target, over all nodes
    std::size_t round_robin_next = 0;
};

/// What is to be placed.
struct pick_request {
    std::span<const std::uint64_t> blocks; ///< of the prompt
    std::string_view adapter;              ///< that the target must have
    std::string_view version;              ///< that it must have; empty for any
    std::span<const target_row_index> tried;
};

struct pick_result {
    target_row_index row = no_target;
    std::uint32_t cached_blocks = 0; ///< thought to be cached there
};

/// Lists the targets of the pool anew.
void rebuild_targets(pool_view& view, const target_table& targets, const pool_id& pool);

/// What the other nodes are expected to have at the target at `position` of pool.targets, if
/// nothing is known of it.
double expected_others(const pool_view& pool, std::size_t position);

/// The estimate of all nodes' requests at a target.
double estimated_load(const target_row& row, const pool_view& pool, time_point now);

/// Recomputes what pool_view caches; each tick, and after targets came or went.
void refresh_view(pool_view& pool, const target_table& targets, time_point now);

/// Chooses, or says that there is none. Targets already tried come last.
pick_result pick(const target_table& targets, pool_view& pool, prefix_index& prefixes,
                 pick_policy policy, const pick_request& wanted, random_source& random,
                 time_point now);

} // namespace jaynotch
