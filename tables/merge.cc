// Rows are identified by name, and tables are sorted by name. For each name a merge takes the row
// of the side that changed it since the base; if both sides changed it in different ways, that is a
// conflict. The merged tables are checked as a whole, since rows that are valid on each side may be
// inconsistent together, such as a new route to a removed pool.
#include "tables/merge.h"

#include "tables/check.h"
#include "tables/row_json.h"

#include <algorithm>
#include <set>

namespace jaynotch {

namespace {

template <class Row>
const Row* find_row(const std::vector<Row>& rows, const std::string& name)
{
    const auto found = std::lower_bound(
        rows.begin(), rows.end(), name,
        [](const Row& row, const std::string& wanted) { return row.name.value() < wanted; });
    return found != rows.end() && found->name.value() == name ? &*found : nullptr;
}

template <class Row>
bool equal_rows(const Row* a, const Row* b)
{
    if (a == nullptr || b == nullptr)
        return a == b;
    return *a == *b;
}

template <class Row>
std::vector<field_change> field_changes(const Row& before, const Row& after)
{
    std::vector<field_change> changes;
    const boost::json::value left = json_writer{}(before);
    const boost::json::value right = json_writer{}(after);
    for (const auto& member : left.as_object()) {
        const boost::json::value& other = right.at(member.key());
        if (member.value() != other)
            changes.push_back({std::string{member.key()}, boost::json::serialize(member.value()),
                               boost::json::serialize(other)});
    }
    return changes;
}

template <class Row>
row_change make_change(table_kind table, const std::string& name, const Row* before,
                       const Row* after)
{
    if (before == nullptr)
        return {table, name, change_kind::added, {}};
    if (after == nullptr)
        return {table, name, change_kind::removed, {}};
    return {table, name, change_kind::changed, field_changes(*before, *after)};
}

template <class Row>
std::set<std::string> names_of(const std::vector<Row>& a, const std::vector<Row>& b)
{
    std::set<std::string> names;
    for (const Row& row : a)
        names.insert(row.name.value());
    for (const Row& row : b)
        names.insert(row.name.value());
    return names;
}

template <class Row>
void diff_rows(table_kind table, const std::vector<Row>& before, const std::vector<Row>& after,
               std::vector<row_change>& changes)
{
    for (const std::string& name : names_of(before, after)) {
        const Row* old_row = find_row(before, name);
        const Row* new_row = find_row(after, name);
        if (!equal_rows(old_row, new_row))
            changes.push_back(make_change(table, name, old_row, new_row));
    }
}

template <class Row>
void collect_conflicts(table_kind table, const std::vector<Row>& base,
                       const std::vector<Row>& theirs, const std::vector<Row>& ours,
                       std::vector<row_change>& found)
{
    for (const std::string& name : names_of(base, ours)) {
        const Row* original = find_row(base, name);
        const Row* their_row = find_row(theirs, name);
        const Row* our_row = find_row(ours, name);
        const bool both_changed =
            !equal_rows(original, their_row) && !equal_rows(original, our_row);
        if (both_changed && !equal_rows(their_row, our_row))
            found.push_back(make_change(table, name, original, their_row));
    }
}

template <class Row>
std::vector<Row> merge_rows(const std::vector<Row>& base, const std::vector<Row>& theirs,
                            const std::vector<Row>& ours)
{
    std::vector<Row> merged;
    for (const std::string& name : names_of(theirs, ours)) {
        const Row* our_row = find_row(ours, name);
        const bool our_change = !equal_rows(find_row(base, name), our_row);
        const Row* chosen = our_change ? our_row : find_row(theirs, name);
        if (chosen != nullptr)
            merged.push_back(*chosen);
    }
    return merged;
}

} // namespace

std::vector<row_change> diff(const configuration& before, const configuration& after)
{
    std::vector<row_change> changes;
    diff_rows(table_kind::routes, before.routes, after.routes, changes);
    diff_rows(table_kind::pools, before.pools, after.pools, changes);
    return changes;
}

std::vector<row_change> conflicts(const configuration& base, const configuration& theirs,
                                  const configuration& ours)
{
    std::vector<row_change> found;
    collect_conflicts(table_kind::routes, base.routes, theirs.routes, ours.routes, found);
    collect_conflicts(table_kind::pools, base.pools, theirs.pools, ours.pools, found);
    return found;
}

result<configuration> merge(const configuration& base, const configuration& theirs,
                            const configuration& ours)
{
    if (theirs.deployment != ours.deployment)
        return error{error_kind::invalid_table,
                     "the tables are of deployment '" + ours.deployment + "', this is '" +
                         theirs.deployment + "'",
                     "apply them to their own deployment"};
    const std::vector<row_change> conflicting_rows = conflicts(base, theirs, ours);
    if (!conflicting_rows.empty()) {
        std::string message =
            "edited on both sides since revision " + std::to_string(base.revision.value()) + ":";
        for (const row_change& conflicting_row : conflicting_rows)
            message +=
                " " + std::string{to_name(conflicting_row.table)} + "/" + conflicting_row.row;
        return error{error_kind::conflict, std::move(message),
                     "fetch the current tables, edit these rows again and apply"};
    }
    table_report report;
    report.tables = theirs;
    report.tables.routes = merge_rows(base.routes, theirs.routes, ours.routes);
    report.tables.pools = merge_rows(base.pools, theirs.pools, ours.pools);
    check_tables(report);
    if (!report.problems.empty())
        return to_error(report.problems);
    return std::move(report.tables);
}

} // namespace jaynotch
