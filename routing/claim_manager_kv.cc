// The claim manager's calls to the key-value service: claim, read, store and erase. At most one
// call of each kind is in flight; claims, reads and stores are batched. So the load on the service
// grows with the number of nodes and not of requests; `claim_interval` limits it further.
//
// A claim transaction creates all of its keys or none. If one exists already, the gets in the reply
// return the existing records, which are handled one by one; the absent keys go into the next
// transaction. Each round resolves at least one item, so a batch of n takes at most n rounds.
//
// If the reply is lost, the same items are sent again with the same claimant ids: records created
// by the lost transaction are recognized by our own id. After two failures in a row the service is
// considered unavailable: waiting requests are refused at once as not sent, and so are new calls
// for `unavailable_period`; the first call after that tries again.
#include "routing/claim_manager.h"

#include <algorithm>

namespace jaynotch {

namespace {

/// etcd allows 128 operations in a transaction by default; a claim needs a compare, a put and a
/// get.
constexpr std::size_t max_batch_items = 32;
constexpr std::uint32_t failures_until_unavailable = 2;
constexpr std::chrono::seconds unavailable_period{1};
constexpr std::chrono::milliseconds first_backoff{200};
constexpr std::uint32_t max_backoff_doublings = 5;
constexpr std::uint32_t max_store_tries = 200;
/// A lease is used for new claims during this part (1/8) of the retention; then a new one is
/// requested.
constexpr int lease_reuse_divisor = 8;
constexpr std::chrono::seconds min_lease_reuse_period{60};
constexpr std::chrono::seconds max_lease_reuse_period{3'600};
constexpr std::chrono::seconds lease_slack{60};
constexpr std::size_t max_leases = 64; ///< one for each different retention

std::chrono::seconds lease_reuse_period(std::chrono::seconds retention)
{
    return std::clamp(retention / lease_reuse_divisor, min_lease_reuse_period,
                      max_lease_reuse_period);
}

duration backoff(std::uint32_t tries)
{
    return first_backoff * (1U << std::min(tries, max_backoff_doublings));
}

const kv_entry* entry_of(const kv_outcome& outcome, const std::string& key)
{
    const auto found = std::find_if(outcome.entries.begin(), outcome.entries.end(),
                                    [&](const kv_entry& entry) { return entry.key == key; });
    return found == outcome.entries.end() ? nullptr : &*found;
}

/// An unreadable record was not written by this project: its call's outcome counts as unknown.
claim_record parse_or_unknown(const kv_entry& entry, const std::string& body_digest)
{
    const result<claim_record> parsed = parse_claim_record(entry.value);
    if (parsed)
        return parsed.value();
    return {"", body_digest, claim_progress::unknown, {}};
}

} // namespace

void claim_manager::pump(time_point now, command_list& out)
{
    expire_requesters(now);
    wake_items(now);
    pump_claims(now, out);
    pump_reads(now, out);
    pump_stores(now, out);
    pump_erasures(now, out);
}

void claim_manager::send(batch sent, kv_transaction transaction, command_list& out)
{
    const kv_token token{m_next++};
    m_busy[static_cast<std::size_t>(sent.kind)] = true;
    m_calls[token] = std::move(sent);
    ++m_transactions;
    out.emplace_back(call_kv{token, std::move(transaction)});
}

claim_manager::lease_row* claim_manager::lease_for(std::chrono::seconds retention, time_point now,
                                                   command_list& out)
{
    auto row = std::find_if(m_leases.begin(), m_leases.end(),
                            [&](const lease_row& each) { return each.retention == retention; });
    if (row == m_leases.end()) {
        if (m_leases.size() >= max_leases)
            m_leases.erase(m_leases.begin());
        row = m_leases.insert(m_leases.end(), lease_row{retention, {}, {}, {}, {}});
    }
    if (row->lease.value() != 0 && now - row->granted < lease_reuse_period(retention))
        return &*row;
    if (row->pending.value() == 0) {
        row->pending = kv_token{m_next++};
        row->asked = now;
        out.emplace_back(
            grant_lease{row->pending, retention + lease_reuse_period(retention) + lease_slack});
    }
    return nullptr;
}

void claim_manager::on_lease(kv_token token, const result<lease_id>& lease, time_point now)
{
    const auto row = std::find_if(m_leases.begin(), m_leases.end(), [&](const lease_row& each) {
        return each.pending == token && token.value() != 0;
    });
    if (row == m_leases.end())
        return;
    row->pending = kv_token{};
    if (!lease) {
        note_store_failure(now);
        return;
    }
    // Counted from the request for the lease, since its lifetime can't have started earlier.
    row->granted = row->asked;
    row->lease = lease.value();
}

void claim_manager::pump_claims(time_point now, command_list& out)
{
    if (m_busy[static_cast<std::size_t>(batch_kind::claim)] || now < m_next_claim)
        return;
    batch sent{batch_kind::claim, {}, {}};
    kv_transaction transaction;
    std::deque<item_number> without_lease;
    while (!m_to_claim.empty() && sent.items.size() < max_batch_items) {
        const item_number number = m_to_claim.front();
        m_to_claim.pop_front();
        const auto found = m_items.find(number);
        if (found == m_items.end() || found->second.state != item_state::waiting)
            continue;
        item& claimed = found->second;
        const lease_row* lease = lease_for(claimed.retention, now, out);
        if (lease == nullptr) {
            without_lease.push_back(number);
            continue;
        }
        claimed.state = item_state::claiming;
        claimed.lease = lease->lease;
        const claim_record record{
            claimed.claimant, claimed.body_digest, claim_progress::claimed, {}};
        transaction.compares.push_back({claimed.key, 0});
        transaction.then.emplace_back(kv_put{claimed.key, to_json(record), claimed.lease});
        transaction.otherwise.emplace_back(kv_get{claimed.key});
        sent.items.push_back(number);
    }
    m_to_claim.insert(m_to_claim.begin(), without_lease.begin(), without_lease.end());
    if (sent.items.empty())
        return;
    m_next_claim = now + m_settings.claim_interval;
    send(std::move(sent), std::move(transaction), out);
}

void claim_manager::pump_reads(time_point /*now*/, command_list& out)
{
    if (m_busy[static_cast<std::size_t>(batch_kind::read)])
        return;
    batch sent{batch_kind::read, {}, {}};
    kv_transaction transaction;
    while (!m_to_read.empty() && sent.items.size() < max_batch_items) {
        const item_number number = m_to_read.front();
        m_to_read.pop_front();
        const auto found = m_items.find(number);
        if (found == m_items.end() || (found->second.state != item_state::polling &&
                                       found->second.state != item_state::cleaning))
            continue;
        transaction.then.emplace_back(kv_get{found->second.key});
        sent.items.push_back(number);
    }
    const std::size_t asked = std::min(m_status_queries.size(), max_batch_items);
    for (std::size_t at = 0; at < asked; ++at)
        transaction.then.emplace_back(kv_get{m_status_queries[at].key});
    if (transaction.then.empty())
        return;
    const auto last = m_status_queries.begin() + static_cast<std::ptrdiff_t>(asked);
    m_status_queries_sent.assign(m_status_queries.begin(), last);
    m_status_queries.erase(m_status_queries.begin(), last);
    send(std::move(sent), std::move(transaction), out);
}

void claim_manager::pump_stores(time_point /*now*/, command_list& out)
{
    if (m_busy[static_cast<std::size_t>(batch_kind::store)])
        return;
    batch sent{batch_kind::store, {}, {}};
    kv_transaction transaction;
    while (!m_to_store.empty() && sent.items.size() < max_batch_items) {
        const item_number number = m_to_store.front();
        m_to_store.pop_front();
        const auto found = m_items.find(number);
        if (found == m_items.end() || found->second.state != item_state::storing)
            continue;
        const item& stored = found->second;
        transaction.then.emplace_back(kv_put{stored.key, to_json(stored.outcome), stored.lease});
        sent.items.push_back(number);
    }
    if (!sent.items.empty())
        send(std::move(sent), std::move(transaction), out);
}

void claim_manager::pump_erasures(time_point /*now*/, command_list& out)
{
    if (m_busy[static_cast<std::size_t>(batch_kind::erase)])
        return;
    // One at a time: a batch would fail entirely if one of its records had been changed elsewhere.
    while (!m_to_erase.empty()) {
        const item_number number = m_to_erase.front();
        m_to_erase.pop_front();
        const auto found = m_items.find(number);
        if (found == m_items.end() || found->second.state != item_state::deleting)
            continue;
        kv_transaction transaction;
        transaction.compares.push_back({found->second.key, found->second.revision});
        transaction.then.emplace_back(kv_delete{found->second.key});
        send({batch_kind::erase, {number}, {}}, std::move(transaction), out);
        return;
    }
}

void claim_manager::on_kv(kv_token token, const result<kv_outcome>& outcome, time_point now)
{
    const auto found = m_calls.find(token);
    if (found == m_calls.end())
        return;
    const batch done = std::move(found->second);
    m_calls.erase(found);
    m_busy[static_cast<std::size_t>(done.kind)] = false;
    switch (done.kind) {
    case batch_kind::claim:
        on_claimed(done, outcome, now);
        break;
    case batch_kind::read:
        on_read(done, outcome, now);
        break;
    case batch_kind::store:
        on_stored(done, outcome, now);
        break;
    case batch_kind::erase:
        on_erased(done, outcome, now);
        break;
    }
}

void claim_manager::on_claimed(const batch& done, const result<kv_outcome>& outcome, time_point now)
{
    for (const item_number number : done.items) {
        item& claimed = m_items[number];
        claimed.state = item_state::waiting;
        if (!outcome) {
            // The transaction may have taken effect; a read of the record will show whether it has.
            claimed.maybe_created = true;
            continue;
        }
        if (outcome.value().succeeded) {
            grant(number, outcome.value().revision, now);
            continue;
        }
        const kv_entry* entry = entry_of(outcome.value(), claimed.key);
        if (entry == nullptr) {
            claimed.maybe_created = false;
            if (claimed.requesters.empty())
                free_item(number);
            continue;
        }
        const claim_record record = parse_or_unknown(*entry, claimed.body_digest);
        if (record.claimant == claimed.claimant)
            grant(number, entry->mod_revision, now);
        else
            handle_foreign_claim(number, record, now);
    }
    if (outcome)
        m_consecutive_failures = 0;
    for (auto number = done.items.rbegin(); number != done.items.rend(); ++number) {
        const auto again = m_items.find(*number);
        if (again == m_items.end() || again->second.state != item_state::waiting)
            continue;
        if (again->second.requesters.empty()) {
            again->second.state = item_state::cleaning;
            schedule_wake(*number, 2 * m_settings.kv_timeout, now);
            continue;
        }
        m_to_claim.push_front(*number);
    }
    if (!outcome)
        note_store_failure(now);
}

void claim_manager::note_store_failure(time_point now)
{
    ++m_consecutive_failures;
    if (m_consecutive_failures < failures_until_unavailable)
        return;
    m_store_unavailable_until = now + unavailable_period;
    fail_waiting(now);
}

void claim_manager::on_read(const batch& done, const result<kv_outcome>& outcome, time_point now)
{
    for (const status_query& asked : std::exchange(m_status_queries_sent, {})) {
        if (outcome)
            answer_status_query(asked, entry_of(outcome.value(), asked.key));
        else
            m_resolutions.emplace_back(claim_store_unavailable{asked.request});
    }
    for (const item_number number : done.items) {
        const auto found = m_items.find(number);
        if (found == m_items.end())
            continue;
        item& read = found->second;
        if (!outcome) {
            schedule_wake(number, backoff(read.tries), now);
            ++read.tries;
            continue;
        }
        const kv_entry* entry = entry_of(outcome.value(), read.key);
        const claim_record record =
            entry == nullptr ? claim_record{} : parse_or_unknown(*entry, read.body_digest);
        if (read.state == item_state::polling) {
            if (entry != nullptr) {
                handle_foreign_claim(number, record, now);
                continue;
            }
            read.state = item_state::waiting;
            enqueue_for_state(number);
            continue;
        }
        if (read.state != item_state::cleaning)
            continue;
        if (entry != nullptr && record.claimant == read.claimant) {
            read.revision = entry->mod_revision;
            read.state = item_state::deleting;
            enqueue_for_state(number);
            continue;
        }
        free_item(number);
    }
}

void claim_manager::answer_status_query(const status_query& asked, const kv_entry* entry)
{
    if (entry == nullptr) {
        m_resolutions.emplace_back(claim_status_reported{asked.request, key_state::no_record, {}});
        return;
    }
    const claim_record record = parse_or_unknown(*entry, "");
    // The claim was made by this node before a restart, or its creator has left.
    const bool creator_died = record.progress == claim_progress::claimed &&
                              creator_has_left(record.claimant) && !m_by_key.contains(asked.key);
    key_state state = key_state::in_progress;
    if (record.progress == claim_progress::ran)
        state = key_state::ran;
    else if (record.progress == claim_progress::unknown || creator_died)
        state = key_state::unknown;
    m_resolutions.emplace_back(claim_status_reported{asked.request, state, record.answer});
}

void claim_manager::on_stored(const batch& done, const result<kv_outcome>& outcome, time_point now)
{
    for (const item_number number : done.items) {
        item& stored = m_items[number];
        ++stored.tries;
        if (!outcome && stored.tries < max_store_tries) {
            schedule_wake(number, backoff(stored.tries), now);
            continue;
        }
        m_stored_bytes -= stored.outcome.answer ? stored.outcome.answer->body.size() : 0;
        free_item(number);
    }
}

void claim_manager::on_erased(const batch& done, const result<kv_outcome>& outcome, time_point now)
{
    const item_number number = done.items.front();
    item& erased = m_items[number];
    ++erased.tries;
    if (!outcome && erased.tries < max_store_tries) {
        schedule_wake(number, backoff(erased.tries), now);
        return;
    }
    free_item(number);
}

} // namespace jaynotch
