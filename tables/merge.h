// Differences between two configurations, and the merge of two edits of the same one.
//
//   for (const row_change& change : diff(before, after)) ...
//   result<configuration> merged = merge(base, theirs, ours);
//
// Rows are the unit of merging: edits of different rows merge; two different edits of one row are a
// conflict that names the row, so that the second editor can review the first one's edit.
#pragma once

#include "tables/tables.h"

#include <string>
#include <vector>

namespace jaynotch {

enum class table_kind { routes, pools };

template <>
struct enum_names<table_kind> {
    static constexpr std::array entries{named{table_kind::routes, "routes"},
                                        named{table_kind::pools, "pools"}};
};

enum class change_kind { added, removed, changed };

template <>
struct enum_names<change_kind> {
    static constexpr std::array entries{named{change_kind::added, "added"},
                                        named{change_kind::removed, "removed"},
                                        named{change_kind::changed, "changed"}};
};

/// One changed field of a row; `before` and `after` are canonical JSON.
struct field_change {
    std::string field;
    std::string before;
    std::string after;

    friend bool operator==(const field_change&, const field_change&) = default;
};

/// One row that differs between two configurations.
struct row_change {
    table_kind table = table_kind::routes;
    std::string row;
    change_kind kind = change_kind::changed;
    std::vector<field_change> fields; ///< only for changed rows

    friend bool operator==(const row_change&, const row_change&) = default;
};

/// The changes from `before` to `after`: routes, then pools, each sorted by row name.
std::vector<row_change> diff(const configuration& before, const configuration& after);

/// Rows that both sides changed since `base` in different ways, with the changes of `theirs`.
std::vector<row_change> conflicts(const configuration& base, const configuration& theirs,
                                  const configuration& ours);

/// `theirs` with the edits from `base` to `ours` applied. An error of kind conflict names the rows
/// that both sides edited; one of kind invalid_table lists inconsistencies of the merged tables
/// (for example a route of `ours` to a pool removed in `theirs`).
result<configuration> merge(const configuration& base, const configuration& theirs,
                            const configuration& ours);

} // namespace jaynotch
