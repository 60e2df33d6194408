// Acceptance is one compare-and-swap of the head key. Of two editors one swaps first; the other's
// compare fails, it reads what now stands and merges anew, or is told of the conflict.
//
// Pages are named by their content, so two revisions share those that did not change. The swap
// writes every page that the head being replaced does not name, even if a page of that name may
// still lie there from an older revision: the collector may be deleting just that one. It can't
// delete what the swap wrote: it deletes only pages older than the head, in a transaction that
// compares the head (collect.cc).
#include "config/accept.h"

#include <algorithm>
#include <set>

namespace jaynotch {

namespace {

std::string row_name(const row_change& change)
{
    return std::string{to_name(change.table)} + '/' + change.row;
}

std::vector<std::string> first_rows(const std::vector<row_change>& changes)
{
    std::vector<std::string> names;
    for (const row_change& change : changes) {
        if (names.size() == most_history_rows)
            break;
        names.push_back(row_name(change));
    }
    return names;
}

/// The newest change after `base` that names the row; the head's own if none does.
const history_entry& who_changed(const head_record& head, config_revision base,
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

error conflict_error(const standing& seen, const std::vector<row_change>& clashes)
{
    std::string message;
    for (const row_change& clash : clashes) {
        const std::string row = row_name(clash);
        const history_entry& by = who_changed(seen.head, seen.base.revision, row);
        if (!message.empty())
            message += "; ";
        message += row + " was " + std::string{to_name(clash.kind)} + " by " + by.author + " at " +
                   std::to_string(by.time_ms) + " ms since 1970 in revision " +
                   std::to_string(by.revision.value());
        if (!by.message.empty())
            message += " (\"" + by.message + "\")";
    }
    return {error_kind::conflict, std::move(message),
            "get revision " + std::to_string(seen.head.revision().value()) +
                ", make the edit on it and apply again"};
}

result<configuration> combine(const standing& seen, const configuration& wanted)
{
    const std::vector<row_change> clashes = conflicts(seen.base, seen.current, wanted);
    if (!clashes.empty())
        return conflict_error(seen, clashes);
    return merge(seen.base, seen.current, wanted);
}

std::size_t size_of(const kv_operation& operation)
{
    const auto* put = std::get_if<kv_put>(&operation);
    return put == nullptr ? 0 : put->key.size() + put->value.size();
}

/// Puts of pages, cut into lists that each fit a transaction.
std::vector<std::vector<kv_operation>> batches(const std::vector<kv_operation>& operations)
{
    std::vector<std::vector<kv_operation>> out;
    std::size_t bytes = 0;
    for (const kv_operation& operation : operations) {
        const std::size_t size = size_of(operation);
        const bool full = out.empty() || out.back().size() >= most_transaction_operations ||
                          bytes + size > most_transaction_bytes;
        if (full) {
            out.emplace_back();
            bytes = 0;
        }
        out.back().push_back(operation);
        bytes += size;
    }
    return out;
}

history_entry next_entry(const standing& seen, const edit& wanted, const configuration& merged)
{
    history_entry entry = wanted.made_by;
    entry.revision = config_revision{seen.head.revision().value() + 1};
    entry.rows = first_rows(diff(seen.current, merged));
    return entry;
}

} // namespace

result<acceptance> plan_acceptance(const config_keys& keys, const standing& seen,
                                   const edit& wanted)
{
    acceptance plan;
    const bool first = seen.head_mod_revision == 0;
    plan.merged = !first && seen.base.revision != seen.head.revision();
    configuration tables = wanted.tables;
    if (!first) {
        BOOST_OUTCOME_TRY(tables, combine(seen, wanted.tables));
        plan.unchanged = diff(seen.current, tables).empty();
    }
    BOOST_OUTCOME_TRY(const paged_tables paged, to_pages(tables));
    plan.next.manifest = paged.manifest;
    plan.next.history = seen.head.history;
    plan.next.history.insert(plan.next.history.begin(), next_entry(seen, wanted, tables));
    if (plan.next.history.size() > most_history)
        plan.next.history.resize(most_history);

    const std::string head_text = render_head(plan.next);
    if (head_text.size() > most_value_bytes) {
        return error{error_kind::too_large, "the tables have too many pages for one head record",
                     "take rows out, or shorten the messages of changes"};
    }
    head_record alone = plan.next;
    alone.history.resize(1);

    const std::vector<std::string> standing_pages = referenced_digests(seen.head.manifest);
    std::vector<kv_operation> puts;
    for (const table_page& page : paged.pages) {
        if (!std::binary_search(standing_pages.begin(), standing_pages.end(), page.digest))
            plan.new_pages.push_back(page);
    }
    for (const table_page& page : plan.new_pages)
        puts.emplace_back(kv_put{keys.page(page.digest), page.bytes, {}});
    std::vector<std::vector<kv_operation>> parts = batches(puts);
    // One batch goes along with the head; more of them go before it.
    const bool fits =
        parts.size() <= 1 && head_text.size() < most_value_bytes - most_transaction_bytes;
    if (!fits) {
        for (auto& part : parts)
            plan.prepare.push_back({{}, std::move(part), {}});
        parts.clear();
    }
    plan.swap.compares.push_back({keys.head(), seen.head_mod_revision});
    if (!parts.empty())
        plan.swap.then = std::move(parts.front());
    plan.swap.then.emplace_back(
        kv_put{keys.revision(plan.next.revision()), render_head(alone), {}});
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
