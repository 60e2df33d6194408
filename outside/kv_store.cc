#include "outside/kv_store.h"

// As in etcd, each transaction that changes anything has one revision. All its writes carry it, so
// that a watcher sees them together.

namespace jaynotch {

const kv_entry* kv_store::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<kv_entry> kv_store::with_prefix(std::string_view prefix) const
{
    std::vector<kv_entry> matching;
    for (auto at = m_entries.lower_bound(prefix); at != m_entries.end(); ++at) {
        if (!at->first.starts_with(prefix))
            break;
        matching.push_back(at->second);
    }
    return matching;
}

bool kv_store::compares_match(const std::vector<kv_compare>& compares) const
{
    return std::all_of(compares.begin(), compares.end(), [&](const kv_compare& compare) {
        const kv_entry* entry = find(compare.key);
        return (entry == nullptr ? 0 : entry->mod_revision) == compare.mod_revision;
    });
}

bool kv_store::leases_exist(const std::vector<kv_operation>& operations) const
{
    return std::all_of(operations.begin(), operations.end(), [&](const kv_operation& operation) {
        const auto* write = std::get_if<kv_put>(&operation);
        return write == nullptr || write->lease == lease_id{} || m_leases.contains(write->lease);
    });
}

result<kv_outcome> kv_store::transact(const kv_transaction& transaction)
{
    kv_outcome outcome;
    outcome.succeeded = compares_match(transaction.compares);
    const auto& operations = outcome.succeeded ? transaction.then : transaction.otherwise;
    if (!leases_exist(operations))
        return error{error_kind::not_found, "requested lease not found", "grant a new lease"};
    const bool writes = std::any_of(operations.begin(), operations.end(), [&](const auto& op) {
        const auto* deletion = std::get_if<kv_delete>(&op);
        return std::holds_alternative<kv_put>(op) || (deletion != nullptr && find(deletion->key));
    });
    if (writes)
        ++m_revision;
    for (const auto& operation : operations) {
        if (const auto* write = std::get_if<kv_put>(&operation))
            put(*write);
        else if (const auto* deletion = std::get_if<kv_delete>(&operation))
            erase(deletion->key);
        else if (const kv_entry* entry = find(std::get<kv_get>(operation).key))
            outcome.entries.push_back(*entry);
    }
    outcome.revision = m_revision;
    return outcome;
}

void kv_store::put(const kv_put& operation)
{
    kv_entry& entry = m_entries[operation.key];
    entry.key = operation.key;
    entry.value = operation.value;
    entry.lease = operation.lease;
    entry.mod_revision = m_revision;
    if (entry.create_revision == 0)
        entry.create_revision = m_revision;
    record({entry, false});
}

void kv_store::erase(const std::string& key)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    kv_event event;
    event.entry.key = key;
    event.entry.mod_revision = m_revision;
    event.deleted = true;
    m_entries.erase(found);
    record(std::move(event));
}

void kv_store::record(kv_event event)
{
    m_history.push_back(std::move(event));
    while (m_history.size() > history_limit) {
        m_compacted_revision = m_history.front().entry.mod_revision;
        m_history.pop_front();
    }
}

lease_id kv_store::grant(duration ttl, time_point now)
{
    const lease_id id{++m_last_lease};
    m_leases[id] = {ttl, now + ttl};
    return id;
}

std::optional<duration> kv_store::keep_alive(lease_id lease, time_point now)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return std::nullopt;
    found->second.expires_at = now + found->second.ttl;
    return found->second.ttl;
}

bool kv_store::revoke(lease_id lease)
{
    if (m_leases.erase(lease) == 0)
        return false;
    std::vector<std::string> keys;
    for (const auto& [key, entry] : m_entries) {
        if (entry.lease == lease)
            keys.push_back(key);
    }
    if (!keys.empty())
        ++m_revision;
    for (const auto& key : keys)
        erase(key);
    return true;
}

void kv_store::expire(time_point now)
{
    std::vector<lease_id> expired;
    for (const auto& [id, state] : m_leases) {
        if (state.expires_at <= now)
            expired.push_back(id);
    }
    for (const lease_id id : expired)
        revoke(id);
}

std::optional<time_point> kv_store::next_expiry() const
{
    std::optional<time_point> next;
    for (const auto& [id, state] : m_leases) {
        if (!next || state.expires_at < *next)
            next = state.expires_at;
    }
    return next;
}

result<std::vector<kv_event>> kv_store::changes(std::string_view prefix, std::int64_t from) const
{
    if (from <= m_compacted_revision)
        return error{error_kind::not_found, "required revision has been compacted",
                     "read the prefix and watch from its revision + 1"};
    const auto first = std::lower_bound(m_history.begin(), m_history.end(), from,
                                        [](const kv_event& event, std::int64_t revision) {
                                            return event.entry.mod_revision < revision;
                                        });
    std::vector<kv_event> matching;
    for (auto at = first; at != m_history.end(); ++at) {
        if (at->entry.key.starts_with(prefix))
            matching.push_back(*at);
    }
    return matching;
}

} // namespace jaynotch
