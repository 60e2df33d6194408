// A change is accepted by one compare-and-swap of the head key. If two editors race, the first swap
// succeeds and the compare of the second fails; the second editor reads the new head and merges
// again, or gets a conflict error.
//
// Pages are named by the digest of their content, so revisions share the pages that are equal. The
// swap writes every page that the current head does not reference, even if a page with that digest
// still exists from an older revision, because the garbage collector may be deleting that page at
// the same time. The collector can't delete what the swap wrote: it deletes only pages that are
// older than the head, in a transaction that compares the head (collect.cc).
#include "config/accept.h"

#include <algorithm>
#include <set>

namespace jaynotch {

namespace {

std::string row_name(const row_change& change)
{
    return std::string{to_name(change.table)} + '/' + change.row;
}

std::vector<std::string> first_row_names(const std::vector<row_change>& changes)
{
    std::vector<std::string> names;
    for (const row_change& change : changes) {
        if (names.size() == max_history_rows)
            break;
        names.push_back(row_name(change));
    }
    return names;
}

/// The newest change after `base` that lists the row; the newest of all if none does.
const history_entry& last_change_of(const head_record& head, config_revision base,
                                    const std::string& row)
{
    for (const history_entry& entry : head.history) {
        if (entry.revision <= base)
            break;
        if (std::find(entry.rows.begin(), entry.rows.end(), row) != entry.rows.end())
            return entry;
    }
    return head.history.front();
}

error conflict_error(const stored_state& stored, const std::vector<row_change>& conflicting_rows)
{
    std::string message;
    for (const row_change& conflicting_row : conflicting_rows) {
        const std::string row = row_name(conflicting_row);
        const history_entry& by = last_change_of(stored.head, stored.base.revision, row);
        if (!message.empty())
            message += "; ";
        message += row + " was " + std::string{to_name(conflicting_row.kind)} + " by " + by.author +
                   " at " + std::to_string(by.time_ms) + " ms since 1970 in revision " +
                   std::to_string(by.revision.value());
        if (!by.message.empty())
            message += " (\"" + by.message + "\")";
    }
    return {error_kind::conflict, std::move(message),
            "get revision " + std::to_string(stored.head.revision().value()) +
                ", make the edit on it and apply again"};
}

result<configuration> merge_edit(const stored_state& stored, const configuration& wanted)
{
    const std::vector<row_change> conflicting_rows = conflicts(stored.base, stored.current, wanted);
    if (!conflicting_rows.empty())
        return conflict_error(stored, conflicting_rows);
    return merge(stored.base, stored.current, wanted);
}

std::size_t size_of(const kv_operation& operation)
{
    const auto* put = std::get_if<kv_put>(&operation);
    return put == nullptr ? 0 : put->key.size() + put->value.size();
}

/// Splits the operations into lists that each fit into one transaction.
std::vector<std::vector<kv_operation>>
split_into_batches(const std::vector<kv_operation>& operations)
{
    std::vector<std::vector<kv_operation>> out;
    std::size_t bytes = 0;
    for (const kv_operation& operation : operations) {
        const std::size_t size = size_of(operation);
        const bool full = out.empty() || out.back().size() >= max_transaction_operations ||
                          bytes + size > max_transaction_bytes;
        if (full) {
            out.emplace_back();
            bytes = 0;
        }
        out.back().push_back(operation);
        bytes += size;
    }
    return out;
}

history_entry next_entry(const stored_state& stored, const edit& wanted,
                         const configuration& merged)
{
    history_entry entry = wanted.metadata;
    entry.revision = config_revision{stored.head.revision().value() + 1};
    entry.rows = first_row_names(diff(stored.current, merged));
    return entry;
}

} // namespace

result<acceptance_plan> plan_acceptance(const config_keys& keys, const stored_state& stored,
                                        const edit& wanted)
{
    acceptance_plan plan;
    const bool first = stored.head_mod_revision == 0;
    plan.merged = !first && stored.base.revision != stored.head.revision();
    configuration tables = wanted.tables;
    if (!first) {
        BOOST_OUTCOME_TRY(tables, merge_edit(stored, wanted.tables));
        plan.unchanged = diff(stored.current, tables).empty();
    }
    BOOST_OUTCOME_TRY(const paged_tables paged, to_pages(tables));
    plan.next_head.manifest = paged.manifest;
    plan.next_head.history = stored.head.history;
    plan.next_head.history.insert(plan.next_head.history.begin(),
                                  next_entry(stored, wanted, tables));
    if (plan.next_head.history.size() > max_history_entries)
        plan.next_head.history.resize(max_history_entries);

    const std::string head_text = render_head(plan.next_head);
    if (head_text.size() > max_value_bytes) {
        return error{error_kind::too_large, "the tables have too many pages for one head record",
                     "take rows out, or shorten the messages of changes"};
    }
    head_record revision_record = plan.next_head;
    revision_record.history.resize(1);

    const std::vector<std::string> stored_pages = referenced_digests(stored.head.manifest);
    std::vector<kv_operation> puts;
    for (const table_page& page : paged.pages) {
        if (!std::binary_search(stored_pages.begin(), stored_pages.end(), page.digest))
            plan.new_pages.push_back(page);
    }
    for (const table_page& page : plan.new_pages)
        puts.emplace_back(kv_put{keys.page(page.digest), page.bytes, {}});
    std::vector<std::vector<kv_operation>> parts = split_into_batches(puts);
    // A single batch is written together with the head; several are written before it.
    const bool fits =
        parts.size() <= 1 && head_text.size() < max_value_bytes - max_transaction_bytes;
    if (!fits) {
        for (auto& part : parts)
            plan.prepare.push_back({{}, std::move(part), {}});
        parts.clear();
    }
    plan.swap.compares.push_back({keys.head(), stored.head_mod_revision});
    if (!parts.empty())
        plan.swap.then = std::move(parts.front());
    plan.swap.then.emplace_back(
        kv_put{keys.revision(plan.next_head.revision()), render_head(revision_record), {}});
    plan.swap.then.emplace_back(kv_put{keys.head(), head_text, {}});
    return plan;
}

std::optional<accepted_change> find_change(const head_record& head, const std::string& change_id)
{
    for (const history_entry& entry : head.history) {
        if (entry.change_id == change_id)
            return accepted_change{entry.revision, change_id, entry.time_ms, false, true, false};
    }
    return std::nullopt;
}

} // namespace jaynotch
