// Fakes at the interfaces of the groups library, for its tests, soak runs and benchmarks: a
// key-value store with leases, and engines that load weights, execute orders and can misbehave.
// Neither the network nor other daemons are modelled.
//
//   fake_store store;  store.apply(transaction, now);
//   fake_engine engine{row};  engine.assign(order);  engine.advance(1s, 1.0);
#pragma once

#include "groups/groups.h"

#include <map>
#include <optional>
#include <string>

namespace jaynotch::groups {

/// A store with compare-and-swap, leases and revisions like those of the platform's service.
class fake_store {
public:
    kv_outcome apply(const kv_transaction& transaction, time_point now);
    lease_id grant(std::chrono::seconds ttl, time_point now);
    result<lease_id> renew(const lease_id& lease, time_point now);
    /// The entries of all records, as a watch would deliver them.
    [[nodiscard]] std::vector<kv_entry> records(const std::string& deployment) const;
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    [[nodiscard]] std::int64_t revision() const { return m_revision; }

private:
    struct lease_row {
        std::chrono::seconds ttl{0};
        time_point ends;
    };

    void expire(time_point now);
    [[nodiscard]] bool matches(const kv_compare& compare) const;

    std::map<std::string, kv_entry> m_entries;
    std::map<lease_id, lease_row> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_last_lease = 0;
    std::uint64_t m_calls = 0;
};

/// The ways in which an engine misbehaves.
enum class engine_fault { none, ignores_orders, names_another_vm, never_finishes };

/// The engine of one VM.
struct fake_engine {
    vm_row row;
    member_report current_report;
    std::int64_t highest_fencing = 0;
    bool checks_fencing = true;
    bool alive = true;
    time_point paused_until;
    double load_seconds = 30.0; ///< to load one VM's weights at the full rate
    double remaining_load_seconds = 0.0;
    engine_fault fault = engine_fault::none;

    explicit fake_engine(vm_row from);
    [[nodiscard]] bool answers(time_point now) const { return alive && now >= paused_until; }
    order_answer assign(const order_assign& order);
    order_answer release(const order_release& order);
    /// Continues a load for `step` at the fraction `rate` of the full rate.
    void advance(duration step, double rate);
    void restart();
};

} // namespace jaynotch::groups
