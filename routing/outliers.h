// Outlier ejection and slow targets: who of a pool is left out of the picks for a while.
//
//   note_success(row.health);
//   note_failure(row.health);
//   eject_outliers(targets, pool_rows, now);    // each tick
#pragma once

#include "routing/target_table.h"

#include <span>

namespace jaynotch {

/// An attempt brought an answer.
void note_success(target_health& health);
/// An attempt failed through the target's fault.
void note_failure(target_health& health);
/// A group's engine said that it is not whole in the group, so the request did not run. It is left
/// out of the picks for a moment: a group that refuses looks idle, and would draw all requests.
void note_refusal(target_health& health, time_point now);
/// The first token of an attempt took this long.
void note_first_token(target_health& health, double seconds);

/// Ejects targets that fail many times in a row and lets those back in whose time is up, one
/// request at a time at first. At most a third of the pool is out at once, and never its last
/// target: with few groups each is a large share of what there is, and one that fails sometimes
/// is better than none. Returns how many were ejected.
std::size_t eject_outliers(target_table& targets, std::span<const target_row_index> pool,
                           time_point now);

/// Sets each target's slowness against the median of its pool.
void update_slowness(target_table& targets, std::span<const target_row_index> pool);

} // namespace jaynotch
