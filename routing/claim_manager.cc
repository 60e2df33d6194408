// Why a key runs at most once: A claim is created only if the key is absent, in one transaction of
// the key-value service, and carries a unique claimant id. A request is granted only after this
// node has confirmed that the record carries its own claimant id, either by the reply to the
// creating transaction or, if that reply was lost, by reading the record when the transaction is
// repeated. A claim is never taken over, even if its creator does not respond or has died. So a key
// has one sender, and that sender retries only if the call certainly did not run (see
// request_attempt.cc).
//
// A claim is deleted only by its creator, only if its request was certainly not sent, and only at
// the revision that the creator wrote, so a delayed deletion can't remove a newer claim. Claims
// expire with a lease that is never renewed and is longer than the key's retention; the request's
// own deadline has passed long before.
//
//   waiting -> claiming -> owned -> storing -> (removed)
//                 |          `--> deleting -> (removed)       abandoned, not sent
//                 |--> polling -> waiting                     another's claim, then deleted
//                 `--> cleaning -> deleting or (removed)      abandoned, reply lost
#include "routing/claim_manager.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::chrono::milliseconds first_poll{50};
constexpr std::uint32_t max_poll_doublings = 5; ///< up to 1.6 s
constexpr std::size_t max_stored_bytes = 16UL * 1024 * 1024;
constexpr std::size_t max_items = 65'536;

} // namespace

claim_manager::claim_manager(const core_settings& settings)
    : m_settings{settings}, m_claimant_prefix{settings.node.value() + "/" + settings.incarnation +
                                              "/"},
      m_node_prefix{settings.node.value() + "/"}
{}

bool claim_manager::created_by_this_node(const std::string& claimant) const
{
    return claimant.starts_with(m_node_prefix);
}

bool claim_manager::creator_has_left(const std::string& claimant) const
{
    const node_id creator{claimant.substr(0, claimant.find('/'))};
    return created_by_this_node(claimant) || m_left.contains(creator);
}

void claim_manager::on_node_left(const node_id& node)
{
    if (m_left.size() < m_settings.max_peers)
        m_left.insert(node);
}

void claim_manager::on_node_seen(const node_id& node)
{
    m_left.erase(node);
}

claim_manager::item_number claim_manager::make_item(const std::string& key,
                                                    const std::string& body_digest,
                                                    std::chrono::seconds retention)
{
    const item_number number = m_next++;
    item& made = m_items[number];
    made.key = key;
    made.claimant = m_claimant_prefix + std::to_string(number);
    made.body_digest = body_digest;
    made.retention = retention;
    m_by_key[key] = number;
    m_to_claim.push_back(number);
    return number;
}

bool claim_manager::begin(request_id request, const std::string& key,
                          const std::string& body_digest, std::chrono::seconds retention,
                          time_point wait_until, time_point now)
{
    const auto known = m_by_key.find(key);
    if (known != m_by_key.end()) {
        if (m_request_wakes.size() >= m_settings.max_pending_claims)
            return false;
        join(known->second, {request, wait_until}, body_digest);
        return true;
    }
    if (store_unavailable(now)) {
        m_resolutions.emplace_back(claim_store_unavailable{request});
        return true;
    }
    if (m_request_wakes.size() >= m_settings.max_pending_claims || m_items.size() >= max_items)
        return false;
    add_requester(make_item(key, body_digest, retention), {request, wait_until});
    return true;
}

void claim_manager::add_requester(item_number number, requester added)
{
    m_items[number].requesters.push_back(added);
    m_by_request[added.request] = number;
    m_request_wakes.insert({added.wait_until, added.request.value()});
}

void claim_manager::join(item_number number, requester added, const std::string& body_digest)
{
    item& joined = m_items[number];
    if (joined.state == item_state::storing) {
        resolve_one(added.request, body_digest, joined.outcome);
        return;
    }
    if (joined.body_digest != body_digest) {
        m_resolutions.emplace_back(claim_conflict{added.request});
        return;
    }
    add_requester(number, added);
}

void claim_manager::drop_requester(item& dropped, request_id request)
{
    m_by_request.erase(request);
    const auto found = std::find_if(dropped.requesters.begin(), dropped.requesters.end(),
                                    [&](const requester& each) { return each.request == request; });
    if (found == dropped.requesters.end())
        return;
    m_request_wakes.erase({found->wait_until, request.value()});
    dropped.requesters.erase(found);
}

void claim_manager::grant(item_number number, std::int64_t revision, time_point now)
{
    item& granted = m_items[number];
    granted.revision = revision;
    granted.maybe_created = false;
    granted.tries = 0;
    if (granted.requesters.empty()) {
        granted.state = item_state::deleting;
        enqueue_for_state(number);
        return;
    }
    granted.state = item_state::owned;
    const requester owner = granted.requesters.front();
    // From here on the request's own deadline applies to the owner.
    m_request_wakes.erase({owner.wait_until, owner.request.value()});
    if (now < owner.wait_until) {
        m_resolutions.emplace_back(claim_granted{owner.request});
        return;
    }
    // The claim was confirmed after the request's deadline, so the request must not be sent.
    m_resolutions.emplace_back(claim_store_unavailable{owner.request});
    abandon(owner.request, now);
}

void claim_manager::resolve_one(request_id request, const std::string& body_digest,
                                const claim_record& record)
{
    if (record.body_digest != body_digest)
        m_resolutions.emplace_back(claim_conflict{request});
    else if (record.progress == claim_progress::unknown)
        m_resolutions.emplace_back(claim_unknown{request});
    else if (record.progress == claim_progress::claimed)
        m_resolutions.emplace_back(claim_in_progress{request});
    else if (record.answer)
        m_resolutions.emplace_back(claim_replayed{request, *record.answer});
    else
        m_resolutions.emplace_back(claim_ran_without_answer{request});
}

void claim_manager::resolve_all(item& resolved, const claim_record& record)
{
    while (!resolved.requesters.empty()) {
        const request_id request = resolved.requesters.front().request;
        drop_requester(resolved, request);
        resolve_one(request, resolved.body_digest, record);
    }
}

void claim_manager::handle_foreign_claim(item_number number, const claim_record& record,
                                         time_point now)
{
    item& current = m_items[number];
    current.maybe_created = false;
    claim_record known = record;
    // A claim of this node that this process doesn't own was made before a restart, or abandoned
    // without being deleted: its outcome will never be written. The same holds for a node that has
    // left. If that node is only partitioned, "unknown" is still correct, and the repeat may ask
    // again.
    if (record.progress == claim_progress::claimed && creator_has_left(record.claimant))
        known.progress = claim_progress::unknown;
    const bool may_change = !current.requesters.empty() &&
                            known.progress == claim_progress::claimed &&
                            known.body_digest == current.body_digest;
    if (!may_change) {
        resolve_all(current, known);
        free_item(number);
        return;
    }
    current.state = item_state::polling;
    schedule_wake(number, first_poll * (1U << std::min(current.tries, max_poll_doublings)), now);
    ++current.tries;
}

void claim_manager::free_item(item_number number)
{
    item& freed = m_items[number];
    m_by_key.erase(freed.key);
    m_item_wakes.erase({freed.wake, number});
    const std::vector<requester> remaining = std::move(freed.requesters);
    const std::string key = freed.key;
    const std::string body_digest = freed.body_digest;
    const std::chrono::seconds retention = freed.retention;
    m_items.erase(number);
    if (remaining.empty())
        return;
    // Requests that joined while the old claim was being deleted start over with a new one.
    const item_number next = make_item(key, body_digest, retention);
    for (const requester& each : remaining)
        add_requester(next, each);
}

void claim_manager::record_ran(request_id request, std::optional<stored_answer> answer,
                               time_point now)
{
    const auto found = m_by_request.find(request);
    if (found == m_by_request.end())
        return;
    const item_number number = found->second;
    item& recorded = m_items[number];
    if (answer && (answer->body.size() > m_settings.max_stored_answer_bytes ||
                   m_stored_bytes + answer->body.size() > max_stored_bytes))
        answer.reset();
    recorded.outcome = {recorded.claimant, recorded.body_digest, claim_progress::ran,
                        std::move(answer)};
    finish_recording(number, now);
}

void claim_manager::record_unknown(request_id request, time_point now)
{
    const auto found = m_by_request.find(request);
    if (found == m_by_request.end())
        return;
    const item_number number = found->second;
    item& recorded = m_items[number];
    recorded.outcome = {recorded.claimant, recorded.body_digest, claim_progress::unknown, {}};
    finish_recording(number, now);
}

void claim_manager::finish_recording(item_number number, time_point /*now*/)
{
    item& recorded = m_items[number];
    if (recorded.state != item_state::owned)
        return;
    drop_requester(recorded, recorded.requesters.front().request);
    recorded.state = item_state::storing;
    m_stored_bytes += recorded.outcome.answer ? recorded.outcome.answer->body.size() : 0;
    resolve_all(recorded, recorded.outcome);
    enqueue_for_state(number);
}

void claim_manager::abandon(request_id request, time_point now)
{
    const auto found = m_by_request.find(request);
    if (found == m_by_request.end())
        return;
    const item_number number = found->second;
    item& abandoned = m_items[number];
    const bool was_owner = abandoned.state == item_state::owned && !abandoned.requesters.empty() &&
                           abandoned.requesters.front().request == request;
    drop_requester(abandoned, request);
    if (was_owner && !abandoned.requesters.empty()) {
        // The claim was not used, so the next requester becomes its owner.
        grant(number, abandoned.revision, now);
        return;
    }
    if (!abandoned.requesters.empty())
        return;
    switch (abandoned.state) {
    case item_state::owned:
        abandoned.state = item_state::deleting;
        break;
    case item_state::waiting:
        if (abandoned.maybe_created) {
            abandoned.state = item_state::cleaning;
            schedule_wake(number, 2 * m_settings.kv_timeout, now);
            return;
        }
        free_item(number);
        return;
    case item_state::polling:
        free_item(number);
        return;
    default:
        return; // `claiming` is handled in on_claimed(); the other states need no requester
    }
    enqueue_for_state(number);
}

bool claim_manager::query_status(request_id request, const std::string& key, time_point /*now*/)
{
    if (m_status_queries.size() >= m_settings.max_pending_claims)
        return false;
    const auto known = m_by_key.find(key);
    if (known != m_by_key.end()) {
        const item& asked = m_items[known->second];
        if (asked.state == item_state::storing) {
            const bool ran = asked.outcome.progress == claim_progress::ran;
            m_resolutions.emplace_back(claim_status_reported{
                request, ran ? key_state::ran : key_state::unknown, asked.outcome.answer});
            return true;
        }
        if (asked.state == item_state::owned) {
            m_resolutions.emplace_back(claim_status_reported{request, key_state::in_progress, {}});
            return true;
        }
    }
    m_status_queries.push_back({request, key});
    return true;
}

void claim_manager::fail_waiting(time_point now)
{
    std::vector<item_number> failed;
    for (const auto& [number, each] : m_items) {
        if (each.state == item_state::waiting)
            failed.push_back(number);
    }
    std::sort(failed.begin(), failed.end()); // deterministic: the map's order is unspecified
    for (const item_number number : failed) {
        while (m_items.contains(number) && !m_items[number].requesters.empty()) {
            const request_id request = m_items[number].requesters.front().request;
            m_resolutions.emplace_back(claim_store_unavailable{request});
            abandon(request, now);
        }
    }
}

void claim_manager::expire_requesters(time_point now)
{
    while (!m_request_wakes.empty() && m_request_wakes.begin()->at <= now) {
        const request_id request{m_request_wakes.begin()->number};
        const auto found = m_by_request.find(request);
        if (found == m_by_request.end()) {
            m_request_wakes.erase(m_request_wakes.begin());
            continue;
        }
        const item_state state = m_items[found->second].state;
        if (state == item_state::polling || state == item_state::owned)
            m_resolutions.emplace_back(claim_in_progress{request});
        else
            m_resolutions.emplace_back(claim_store_unavailable{request});
        abandon(request, now);
    }
}

void claim_manager::wake_items(time_point now)
{
    while (!m_item_wakes.empty() && m_item_wakes.begin()->at <= now) {
        const item_number number = m_item_wakes.begin()->number;
        m_item_wakes.erase(m_item_wakes.begin());
        enqueue_for_state(number);
    }
}

void claim_manager::schedule_wake(item_number number, duration span, time_point now)
{
    item& sleeping = m_items[number];
    m_item_wakes.erase({sleeping.wake, number});
    sleeping.wake = now + span;
    m_item_wakes.insert({sleeping.wake, number});
}

void claim_manager::enqueue_for_state(item_number number)
{
    const auto found = m_items.find(number);
    if (found == m_items.end())
        return;
    switch (found->second.state) {
    case item_state::waiting:
        m_to_claim.push_back(number);
        break;
    case item_state::polling:
    case item_state::cleaning:
        m_to_read.push_back(number);
        break;
    case item_state::storing:
        m_to_store.push_back(number);
        break;
    case item_state::deleting:
        m_to_erase.push_back(number);
        break;
    case item_state::claiming:
    case item_state::owned:
        break;
    }
}

std::vector<claim_resolution> claim_manager::take_resolutions()
{
    return std::exchange(m_resolutions, {});
}

} // namespace jaynotch
