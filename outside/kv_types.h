// Data types of the key-value service: entries with revisions, and transactions that compare, then
// write. Decision cores emit `kv_transaction` and receive `kv_outcome`; services/kv.h executes
// them.
#pragma once

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

using lease_id = strong_id<struct lease_tag, std::int64_t>;

/// A key with its value and the revisions of its first and last write.
struct kv_entry {
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    lease_id lease; ///< 0 if none

    friend bool operator==(const kv_entry&, const kv_entry&) = default;
};

/// True if `key` was last written at `mod_revision`; 0 means that the key does not exist.
struct kv_compare {
    std::string key;
    std::int64_t mod_revision = 0;
};

struct kv_put {
    std::string key;
    std::string value;
    lease_id lease; ///< 0 if none
};

struct kv_delete {
    std::string key;
};

struct kv_get {
    std::string key;
};

using kv_operation = std::variant<kv_put, kv_delete, kv_get>;

/// Atomically runs the operations of `then` if all of `compares` are true, else of `otherwise`.
struct kv_transaction {
    std::vector<kv_compare> compares;
    std::vector<kv_operation> then;
    std::vector<kv_operation> otherwise;
};

/// Result of a transaction. `revision` is the store's revision after it, and the mod_revision of
/// every key that it wrote.
struct kv_outcome {
    bool succeeded = false;
    std::int64_t revision = 0;
    std::vector<kv_entry> entries; ///< entries found by its kv_get operations

    friend bool operator==(const kv_outcome&, const kv_outcome&) = default;
};

/// A change reported by a watch. A deletion has `deleted` set and an entry with an empty value.
struct kv_event {
    kv_entry entry;
    bool deleted = false;
};

} // namespace jaynotch
