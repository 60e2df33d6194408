// The race that must not be lost: the collector sees that no kept revision names page P and is
// about to delete it, while an editor goes back to an old text whose page is P again.
//
// Three compares and conditions settle it, all inside the key-value service:
//   1. The deletion compares the head's mod_revision with what the collector saw. If the editor's
//      swap came first, the head has moved and nothing is deleted.
//   2. An editor writes P anew even if it may still be there (accept.cc), so a deletion that came
//      first does no harm.
//   3. Pages too many for one transaction are written before the swap. Only pages whose
//      mod_revision is lower than the head's are deleted, each compared with the mod_revision seen.
//      An editor that read head H wrote its pages after H; as long as H stands they are younger
//      than the head, and once it no longer stands the editor's own swap fails and it starts again.
#include "config/collect.h"

#include "config/accept.h"

#include <algorithm>
#include <set>

namespace jaynotch {

namespace {

constexpr std::size_t deletions_at_once = 40;

const kv_entry* find_key(const std::vector<kv_entry>& entries, const std::string& key)
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&](const kv_entry& entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

struct needed {
    std::set<std::string> keys;
    bool certain = true; ///< every kept revision could be read
};

needed needed_keys(const config_keys& keys, const std::vector<kv_entry>& entries,
                   const head_record& head)
{
    needed out;
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
            out.certain = false;
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
    const needed kept = needed_keys(keys, entries, head.value());
    if (!kept.certain)
        return out;
    for (const kv_entry& entry : entries) {
        const bool ours =
            entry.key.starts_with(keys.pages()) || entry.key.starts_with(keys.revisions());
        if (!ours || kept.keys.contains(entry.key) ||
            entry.mod_revision >= head_entry->mod_revision)
            continue;
        if (out.empty() || out.back().then.size() >= deletions_at_once)
            out.push_back({{{keys.head(), head_entry->mod_revision}}, {}, {}});
        out.back().compares.push_back({entry.key, entry.mod_revision});
        out.back().then.emplace_back(kv_delete{entry.key});
    }
    return out;
}

} // namespace jaynotch
