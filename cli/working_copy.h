// Reads and writes the operator's folder with routes.toml, pools.toml and revision.lock.
//
// revision.lock holds the revision that the two tables were edited from. Without this base
// revision, `apply` could not distinguish the operator's own edits from rows that others changed in
// the meantime, and would silently revert those changes.
#pragma once

#include "base/base.h"

#include <string>

namespace jaynotch {

struct working_copy {
    std::string routes;
    std::string pools;
    std::int64_t base_revision = 0; ///< 0: no earlier revision, these are the first tables
};

/// Reads the folder; a missing lock file gives base revision 0.
result<working_copy> read_working_copy(const std::string& directory);

/// Writes the tables and the lock file.
result<void> write_working_copy(const std::string& directory, const working_copy& copy);

/// Writes the lock file only.
result<void> write_lock(const std::string& directory, std::int64_t revision);

} // namespace jaynotch
