// Plans the key-value transactions that accept a change. The functions are pure; config_store
// executes the plan.
//
//   result<acceptance_plan> plan = plan_acceptance(keys, stored, edit);
//   // execute plan.prepare, then plan.swap; if the compare of the swap fails, read and plan again;
//   // if its reply is lost, read the head and call find_change
#pragma once

#include "base/base.h"
#include "config/head.h"
#include "outside/kv_types.h"
#include "tables/merge.h"
#include "tables/pages.h"
#include "tables/parse.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

/// An edit of both tables that was made on the tables of revision `base`.
struct change_request {
    config_revision base; ///< the revision that was edited; 0 for the first tables
    std::string routes_toml;
    std::string pools_toml;
    std::string author;
    std::string message;
    std::string change_id; ///< chosen by the client; a retry sends the same id
};

struct accepted_change {
    config_revision revision;
    std::string change_id;
    std::int64_t time_ms = 0;
    bool merged = false;    ///< merged with changes of other rows since `base`
    bool repeated = false;  ///< this change id was already accepted; nothing is written
    bool unchanged = false; ///< the tables are equal to the current ones; no new revision
};

/// Contents of the key-value service that a plan is based on.
struct stored_state {
    std::int64_t head_mod_revision = 0; ///< 0 if there is no head
    head_record head;                   ///< empty if there is no head
    configuration current;              ///< the tables of `head`
    configuration base;                 ///< the tables of the revision that was edited
};

/// A parsed edit.
struct edit {
    configuration tables;
    history_entry metadata; ///< plan_acceptance fills in revision and rows
};

struct acceptance_plan {
    std::vector<kv_transaction> prepare; ///< write the pages that don't fit into `swap`
    kv_transaction swap;
    head_record next_head;
    std::vector<table_page> new_pages; ///< pages that the current head does not reference
    bool merged = false;
    bool unchanged = false; ///< the edit changes no row; nothing has to be written
};

/// Plans the transactions that accept `wanted`. Errors: conflict (names the other author, the time
/// and the revision, and what to do), invalid_table, too_large.
result<acceptance_plan> plan_acceptance(const config_keys& keys, const stored_state& stored,
                                        const edit& wanted);

/// The accepted change with this id, if the head's history still lists it.
std::optional<accepted_change> find_change(const head_record& head, const std::string& change_id);

/// Limits of one transaction: operations, and bytes of the keys and values it writes.
inline constexpr std::size_t max_transaction_operations = 100;
inline constexpr std::size_t max_transaction_bytes = 768U << 10U;
/// Largest value that is written to the key-value service, in bytes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

} // namespace jaynotch
