// The key-value service's data: entries with revisions, leases and a bounded history of changes.
// Pure and deterministic: time is a parameter. The in-memory adapter and the stand-in run on it.
//
//   kv_store store;
//   kv_outcome done = store.transact({.then = {kv_put{"a", "1"}}});
//   std::vector<kv_event> seen = store.changes("a", 1).value();
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
    /// How many changes a watch may lie behind before its revisions count as compacted.
    static constexpr std::size_t history_limit = 20'000;

    [[nodiscard]] std::int64_t revision() const { return m_revision; }
    [[nodiscard]] const kv_entry* find(const std::string& key) const;
    [[nodiscard]] std::vector<kv_entry> with_prefix(std::string_view prefix) const;
    /// Does a transaction at once; not_found if a put names a lease that does not exist.
    result<kv_outcome> transact(const kv_transaction& transaction);

    lease_id grant(duration ttl, time_point now);
    /// Starts the lease's time anew and returns it; empty if the lease does not exist.
    std::optional<duration> keep_alive(lease_id lease, time_point now);
    bool revoke(lease_id lease);
    /// Ends the leases whose time has run out.
    void expire(time_point now);
    /// When the next lease ends, if there is one.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

    /// Changes under `prefix` at `from` and later; not_found if they are no longer kept.
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
    std::int64_t m_compacted_revision = 0; ///< highest revision that has left the history
    std::int64_t m_last_lease = 1000;
};

} // namespace jaynotch
