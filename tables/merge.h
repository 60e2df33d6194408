// Differences between two configurations, and the merge of two edits of the same one.
//
//   for (const row_change& change : diff(before, after)) ...
//   result<configuration> merged = merge(base, theirs, ours);
//
// Rows are the unit: edits of different rows merge, two different edits of one row are a conflict
// that names the row, so that the second editor can look at what the first one meant.
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

/// One field of a changed row, as canonical JSON texts.
struct field_change {
    std::string field;
    std::string before;
    std::string after;

    friend bool operator==(const field_change&, const field_change&) = default;
};

/// One row that differs.
struct row_change {
    table_kind table = table_kind::routes;
    std::string row;
    change_kind kind = change_kind::changed;
    std::vector<field_change> fields; ///< only for changed rows

    friend bool operator==(const row_change&, const row_change&) = default;
};

/// What turns `before` into `after`, routes first, by row name.
std::vector<row_change> diff(const configuration& before, const configuration& after);

/// The rows that both sides changed since `base`, each in a different way.
std::vector<row_change> conflicts(const configuration& base, const configuration& theirs,
                                  const configuration& ours);

/// `theirs` with the edits that lead from `base` to `ours`. An error of kind conflict names the
/// rows that both edited; one of kind invalid_table says what no longer joins (for example a route
/// of ours to a pool that they removed).
result<configuration> merge(const configuration& base, const configuration& theirs,
                            const configuration& ours);

} // namespace jaynotch
