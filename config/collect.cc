// A page must not be deleted while a new revision begins to reference it: the collector finds that
// no kept revision references page P and is about to delete it, while an editor restores old rows
// whose page is P.
//
// Three rules prevent this, all checked inside the key-value service:
//   1. The deletion compares the head's mod_revision with the one that the collector read. If the
//      editor's swap came first, the compare fails and nothing is deleted.
//   2. The editor writes P even if it may still exist (accept.cc), so a deletion that came before
//      the swap does no harm.
//   3. Pages that don't fit into one transaction are written before the swap. The collector deletes
//      only pages whose mod_revision is lower than the head's, and compares each with the
//      mod_revision it read. An editor that read head H writes its pages after H: while H is the
//      head, they are newer than the head; once H is replaced, the editor's swap fails and it
//      writes its pages again.
#include "config/collect.h"

#include "config/accept.h"

#include <algorithm>
#include <set>

namespace jaynotch {

namespace {

constexpr std::size_t deletions_per_transaction = 40;

const kv_entry* find_key(const std::vector<kv_entry>& entries, const std::string& key)
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&](const kv_entry& entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

struct retained_keys {
    std::set<std::string> keys;
    bool complete = true; ///< false if a revision record does not parse; nothing is deleted
};

retained_keys find_retained_keys(const config_keys& keys, const std::vector<kv_entry>& entries,
                                 const head_record& head)
{
    retained_keys out;
    const auto keep_pages = [&](const page_manifest& manifest) {
        for (const std::string& digest : referenced_digests(manifest))
            out.keys.insert(keys.page(digest));
    };
    keep_pages(head.manifest);
    for (const history_entry& kept : head.history) {
        const std::string key = keys.revision(kept.revision);
        out.keys.insert(key);
        const kv_entry* record = find_key(entries, key);
        if (record == nullptr)
            continue;
        const result<head_record> parsed = parse_head(record->value);
        if (!parsed) {
            out.complete = false;
            return out;
        }
        keep_pages(parsed.value().manifest);
    }
    return out;
}

} // namespace

std::vector<kv_transaction> plan_collection(const config_keys& keys,
                                            const std::vector<kv_entry>& entries)
{
    std::vector<kv_transaction> out;
    const kv_entry* head_entry = find_key(entries, keys.head());
    if (head_entry == nullptr)
        return out;
    const result<head_record> head = parse_head(head_entry->value);
    if (!head)
        return out;
    const retained_keys kept = find_retained_keys(keys, entries, head.value());
    if (!kept.complete)
        return out;
    for (const kv_entry& entry : entries) {
        const bool collectable_kind =
            entry.key.starts_with(keys.pages()) || entry.key.starts_with(keys.revisions());
        if (!collectable_kind || kept.keys.contains(entry.key) ||
            entry.mod_revision >= head_entry->mod_revision)
            continue;
        if (out.empty() || out.back().then.size() >= deletions_per_transaction)
            out.push_back({{{keys.head(), head_entry->mod_revision}}, {}, {}});
        out.back().compares.push_back({entry.key, entry.mod_revision});
        out.back().then.emplace_back(kv_delete{entry.key});
    }
    return out;
}

} // namespace jaynotch
