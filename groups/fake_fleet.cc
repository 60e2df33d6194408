// The store behaves like etcd v3: all keys share one revision counter, a put's mod_revision is the
// store's new revision, and a key is deleted when its lease expires.
#include "groups/fake_fleet.h"

namespace jaynotch::groups {

void fake_store::expire(time_point now)
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (now < lease->second.ends) {
            ++lease;
            continue;
        }
        std::erase_if(m_entries,
                      [&](const auto& entry) { return entry.second.lease == lease->first; });
        ++m_revision;
        lease = m_leases.erase(lease);
    }
}

bool fake_store::matches(const kv_compare& compare) const
{
    const auto at = m_entries.find(compare.key);
    return (at == m_entries.end() ? 0 : at->second.mod_revision) == compare.mod_revision;
}

kv_outcome fake_store::apply(const kv_transaction& transaction, time_point now)
{
    ++m_calls;
    expire(now);
    kv_outcome outcome;
    outcome.succeeded = true;
    for (const kv_compare& compare : transaction.compares)
        outcome.succeeded = outcome.succeeded && matches(compare);
    const auto& operations = outcome.succeeded ? transaction.then : transaction.otherwise;
    bool wrote = false;
    for (const kv_operation& operation : operations) {
        if (const auto* put = std::get_if<kv_put>(&operation)) {
            if (put->lease.value() != 0 && !m_leases.contains(put->lease)) {
                outcome.succeeded = false; // the lease expired before the put
                break;
            }
            m_revision += wrote ? 0 : 1;
            wrote = true;
            kv_entry& entry = m_entries[put->key];
            if (entry.create_revision == 0)
                entry.create_revision = m_revision;
            entry = {put->key, put->value, entry.create_revision, m_revision, put->lease};
        }
        else if (const auto* get = std::get_if<kv_get>(&operation)) {
            if (const auto at = m_entries.find(get->key); at != m_entries.end())
                outcome.entries.push_back(at->second);
        }
        else {
            m_entries.erase(std::get<kv_delete>(operation).key);
        }
    }
    outcome.revision = m_revision;
    return outcome;
}

lease_id fake_store::grant(std::chrono::seconds ttl, time_point now)
{
    ++m_calls;
    const lease_id lease{++m_last_lease};
    m_leases[lease] = {ttl, now + ttl};
    return lease;
}

result<lease_id> fake_store::renew(const lease_id& lease, time_point now)
{
    ++m_calls;
    expire(now);
    const auto at = m_leases.find(lease);
    if (at == m_leases.end())
        return error{error_kind::not_found, "no such lease", "ask for a new one"};
    at->second.ends = now + at->second.ttl;
    return lease;
}

std::vector<kv_entry> fake_store::records(const std::string& deployment) const
{
    std::vector<kv_entry> found;
    for (const auto& [key, entry] : m_entries) {
        if (is_record_key(deployment, key))
            found.push_back(entry);
    }
    return found;
}

fake_engine::fake_engine(vm_row from) : row{std::move(from)}
{
    restart();
}

void fake_engine::restart()
{
    const std::string boot = current_report.boot + "+";
    current_report = member_report{};
    current_report.vm = row.vm;
    current_report.boot = boot;
    remaining_load_seconds = 0.0;
    highest_fencing = 0;
}

order_answer fake_engine::assign(const order_assign& order)
{
    if (checks_fencing && order.fencing.value() < highest_fencing)
        return order_answer::refused;
    if (fault == engine_fault::ignores_orders)
        return order_answer::accepted;
    highest_fencing = std::max(highest_fencing, order.fencing.value());
    const bool keeps_weights =
        current_report.group == order.group && current_report.rank == order.rank &&
        current_report.model == order.model && current_report.version == order.version &&
        current_report.adapters == order.adapters &&
        (current_report.state == member_state::loading ||
         current_report.state == member_state::ready);
    current_report.group = order.group;
    current_report.fencing = order.fencing;
    current_report.rank = order.rank;
    current_report.members = order.members;
    current_report.model = order.model;
    current_report.version = order.version;
    current_report.adapters = order.adapters;
    if (!keeps_weights) {
        current_report.state = member_state::loading;
        current_report.progress = 0.0;
        remaining_load_seconds = load_seconds;
    }
    return order_answer::accepted;
}

order_answer fake_engine::release(const order_release& order)
{
    if (checks_fencing && order.fencing.value() < highest_fencing)
        return order_answer::refused;
    if (fault == engine_fault::ignores_orders)
        return order_answer::accepted;
    if (current_report.group != order.group)
        return order_answer::accepted;
    const std::int64_t highest = std::max(highest_fencing, order.fencing.value());
    const std::string boot = current_report.boot;
    current_report = member_report{};
    current_report.vm = row.vm;
    current_report.boot = boot;
    current_report.fencing = order.fencing;
    remaining_load_seconds = 0.0;
    highest_fencing = highest;
    return order_answer::accepted;
}

void fake_engine::advance(duration step, double rate)
{
    if (current_report.state != member_state::loading || fault == engine_fault::never_finishes)
        return;
    remaining_load_seconds -= std::chrono::duration<double>(step).count() * rate;
    current_report.progress = std::min(1.0, 1.0 - remaining_load_seconds / load_seconds);
    if (remaining_load_seconds <= 0.0)
        current_report.state = member_state::ready;
}

} // namespace jaynotch::groups
