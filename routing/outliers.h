// Outlier ejection and slowness detection: excludes targets of a pool from selection for a while,
// and gives slow targets less load.
//
//   note_success(row.health);
//   note_failure(row.health);
//   eject_outliers(targets, pool_rows, now);    // each tick
#pragma once

#include "routing/target_table.h"

#include <span>

namespace jaynotch {

/// An attempt got a response.
void note_success(target_health& health);
/// An attempt failed because of the target.
void note_failure(target_health& health);
/// The engine of a group answered that its group is incomplete, so the request did not run. The
/// group is excluded for a short time: a group that refuses requests looks idle and would attract
/// all of them.
void note_refusal(target_health& health, time_point now);
/// Records the time to the first token of an attempt.
void note_first_token(target_health& health, double seconds);

/// Ejects targets with several consecutive failures, and readmits those whose ejection has expired,
/// at first with one request at a time. At most a third of the pool is ejected at once, or one
/// target of two, and never the last one: with few groups each is a large share of the capacity,
/// and a group that fails sometimes is better than none. Returns the number of new ejections.
std::size_t eject_outliers(target_table& targets, std::span<const target_row_index> pool,
                           time_point now);

/// Sets the slowness of each target from its first token time and the median of its pool.
void update_slowness(target_table& targets, std::span<const target_row_index> pool);

} // namespace jaynotch
