// Selects the target of a pool that gets a request.
//
//   const pick_request wanted{.blocks = info.prefix_blocks, .adapter = "..."};
//   const pick_result chosen = pick(targets, pool_view, prefixes, pick_policy::two_choices, wanted,
//                                   random, now);
#pragma once

#include "routing/request_core.h"
#include "routing/target_table.h"

#include <span>
#include <string_view>

namespace jaynotch {

/// Cached state of a pool that target selection uses; see refresh_view() and rebuild_targets().
struct pool_view {
    std::vector<target_row_index> targets;   ///< rows of the present targets
    std::vector<std::uint64_t> id_hashes;    ///< hashes of the targets' ids, for rendezvous hashing
    std::vector<std::size_t> domain_indexes; ///< of each target, into mean_others_by_domain
    std::uint32_t own = 0;                   ///< this node's requests in flight at all targets
    double mean_others = 0.0; ///< of the other nodes' requests at a target, weighted by freshness
    /// The same for the targets of each failure domain; lower for domains with few recent reports.
    std::vector<double> mean_others_by_domain;
    std::uint32_t max_per_target = 64; ///< limit on requests in flight at a target, over all nodes
    std::size_t round_robin_next = 0;
};

/// The requirements of a request.
struct pick_request {
    std::span<const std::uint64_t> blocks; ///< hashes of the prompt's blocks
    std::string_view adapter;              ///< that the target must have loaded; empty for none
    std::string_view version;              ///< of the model that the target must run; empty for any
    std::span<const target_row_index> tried;
};

struct pick_result {
    target_row_index row = no_target;
    std::uint32_t cached_blocks = 0; ///< blocks of the prompt that are likely cached there
};

/// Rebuilds the list of the pool's targets.
void rebuild_targets(pool_view& view, const target_table& targets, const pool_id& pool);

/// Combines two hashes into one (finaliser of splitmix64); used to rank targets for a block or a
/// node.
std::uint64_t mix_hashes(std::uint64_t a, std::uint64_t b);

/// Expected requests of the other nodes at the target at `position` of pool.targets, in the absence
/// of a load report.
double expected_others(const pool_view& pool, std::size_t position);

/// Estimated requests of all nodes at a target.
double estimated_load(const target_row& row, const pool_view& pool, time_point now);

/// Recomputes the cached load figures; called at each tick and after the set of targets changed.
void refresh_view(pool_view& pool, const target_table& targets, time_point now);

/// Chooses a target, or returns no_target as its row. Targets in `tried` are used only if no other
/// is usable.
pick_result pick(const target_table& targets, pool_view& pool, prefix_index& prefixes,
                 pick_policy policy, const pick_request& wanted, random_source& random,
                 time_point now);

} // namespace jaynotch
