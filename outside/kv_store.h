// In-memory key-value store with the semantics of the key-value service: entries with revisions,
// leases and a bounded history of changes. It does no I/O and takes the time as a parameter, so it
// is deterministic. The in-memory adapter and the stand-in are built on it.
//
//   kv_store store;
//   kv_outcome outcome = store.transact({.then = {kv_put{"a", "1"}}}).value();
//   std::vector<kv_event> events = store.changes("a", 1).value();
#pragma once

#include "base/base.h"
#include "outside/kv_types.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

class kv_store {
public:
    /// Number of changes kept. Revisions before them count as compacted.
    static constexpr std::size_t history_limit = 20'000;

    [[nodiscard]] std::int64_t revision() const { return m_revision; }
    [[nodiscard]] const kv_entry* find(const std::string& key) const;
    [[nodiscard]] std::vector<kv_entry> with_prefix(std::string_view prefix) const;
    /// Runs a transaction atomically; not_found if a put names a lease that does not exist.
    result<kv_outcome> transact(const kv_transaction& transaction);

    lease_id grant(duration ttl, time_point now);
    /// Restarts the lease's time to live and returns it; empty if the lease does not exist.
    std::optional<duration> keep_alive(lease_id lease, time_point now);
    /// Deletes the lease and its entries. Returns false if the lease does not exist.
    bool revoke(lease_id lease);
    /// Revokes the leases whose time to live has ended.
    void expire(time_point now);
    /// When the next lease expires; empty if there are no leases.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

    /// Changes under `prefix` at revision `from` and later; not_found if they are compacted.
    [[nodiscard]] result<std::vector<kv_event>> changes(std::string_view prefix,
                                                        std::int64_t from) const;

private:
    struct lease_state {
        duration ttl{0};
        time_point expires_at;
    };

    [[nodiscard]] bool compares_match(const std::vector<kv_compare>& compares) const;
    [[nodiscard]] bool leases_exist(const std::vector<kv_operation>& operations) const;
    void put(const kv_put& operation);
    void erase(const std::string& key);
    void record(kv_event event);

    std::map<std::string, kv_entry, std::less<>> m_entries;
    std::map<lease_id, lease_state> m_leases;
    std::deque<kv_event> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_compacted_revision = 0; ///< highest revision removed from the history
    std::int64_t m_last_lease = 1000;
};

} // namespace jaynotch
