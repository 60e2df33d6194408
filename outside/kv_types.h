// What the key-value service can do, in the core's terms: entries with revisions, and
// transactions that compare, then write. Decision cores emit `kv_transaction` and receive
// `kv_outcome`; services/kv.h carries them out.
#pragma once

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

using lease_id = strong_id<struct lease_tag, std::int64_t>;

/// One key and its value.
struct kv_entry {
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    lease_id lease; ///< 0 if none

    friend bool operator==(const kv_entry&, const kv_entry&) = default;
};

/// Holds if `key` was last written at `mod_revision`; 0 means that it does not exist.
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

/// If all of `compares` hold, `then` is done at once, otherwise `otherwise`.
struct kv_transaction {
    std::vector<kv_compare> compares;
    std::vector<kv_operation> then;
    std::vector<kv_operation> otherwise;
};

/// What a transaction did. `revision` is the store's after it; a put's new mod_revision is that.
struct kv_outcome {
    bool succeeded = false;
    std::int64_t revision = 0;
    std::vector<kv_entry> entries; ///< answers of the kv_get operations that were done

    friend bool operator==(const kv_outcome&, const kv_outcome&) = default;
};

/// A change seen by a watch; a deletion has an entry with an empty value and `deleted` set.
struct kv_event {
    kv_entry entry;
    bool deleted = false;
};

} // namespace jaynotch
