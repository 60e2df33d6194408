// The operator's folder: routes.toml, pools.toml and revision.lock.
//
// revision.lock names the revision that the two tables were made from. Without it `apply` could not
// tell an edit from a row that someone else has changed meanwhile, and would silently undo theirs.
#pragma once

#include "base/base.h"

#include <string>

namespace jaynotch {

struct working_copy {
    std::string routes;
    std::string pools;
    std::int64_t base_revision = 0; ///< 0: made from nothing, the first tables
};

/// Reads the folder; a missing lock file reads as 0.
result<working_copy> read_working_copy(const std::string& directory);

/// Writes the tables and the lock.
result<void> write_working_copy(const std::string& directory, const working_copy& copy);

/// Writes the lock alone.
result<void> write_lock(const std::string& directory, std::int64_t revision);

} // namespace jaynotch
