// The head record: which revision is in force, who made it, and which pages it is made of. It is
// the value of one key; to swap it is to accept a change.
#pragma once

#include "base/base.h"
#include "tables/tables.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jaynotch {

/// Who changed the tables, when and why.
struct history_entry {
    config_revision revision;
    std::string change_id;
    std::string author;
    std::int64_t time_ms = 0; ///< since 1970, of the accepting node's clock
    std::string message;

    friend bool operator==(const history_entry&, const history_entry&) = default;
};

} // namespace jaynotch
