// What a change does to the key-value service: pure planning, carried out by config_service.
//
//   result<acceptance> plan = plan_acceptance(keys, seen, edit);
//   // carry out plan.prepare, then plan.swap; if the swap's compare fails, read and plan again;
//   // if its reply is lost, read the head and ask find_change
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

/// An edit of both tables, made from what stood at `base`.
struct change_request {
    config_revision base; ///< the revision that the editor began with; 0 for the first tables
    std::string routes_toml;
    std::string pools_toml;
    std::string author;
    std::string message;
    std::string change_id; ///< the client's own, the same when it asks again; settles lost replies
};

struct accepted_change {
    config_revision revision;
    std::string change_id;
    std::int64_t time_ms = 0;
    bool merged = false;    ///< others had changed other rows since `base`
    bool repeated = false;  ///< this change id had been accepted before; nothing was done now
    bool unchanged = false; ///< the tables are as they were; no revision was made
};

/// What stands in the key-value service when the change is planned.
struct stored_state {
    std::int64_t head_mod_revision = 0; ///< 0: no head yet
    head_record head;                   ///< empty if none
    configuration current;              ///< the tables of `head`
    configuration base;                 ///< the tables of the edit's base
};

/// An edit that was parsed.
struct edit {
    configuration tables;
    history_entry metadata; ///< revision and rows are filled in by the plan
};

struct acceptance_plan {
    std::vector<kv_transaction> prepare; ///< pages that don't fit into the swap itself
    kv_transaction swap;
    head_record next_head;
    std::vector<table_page> new_pages; ///< that the standing head does not name
    bool merged = false;
    bool unchanged = false; ///< nothing to do
};

/// Errors: conflict (who, when, which revision, what to do), invalid_table, too_large.
result<acceptance_plan> plan_acceptance(const config_keys& keys, const stored_state& stored,
                                        const edit& wanted);

/// The change with this id if it is in the head's history.
std::optional<accepted_change> find_change(const head_record& head, const std::string& change_id);

/// Most operations and bytes of one transaction.
inline constexpr std::size_t max_transaction_operations = 100;
inline constexpr std::size_t max_transaction_bytes = 768U << 10U;
/// Largest value that the key-value service takes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

} // namespace jaynotch
