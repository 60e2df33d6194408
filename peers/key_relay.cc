// Push and pull (Demers et al. 1987): a new value is announced as a rumor of 14 bytes; whoever
// lacks it asks a random peer of its failure domain, which most likely has it by then, and each
// third time in vain one of the domain's watchers, which certainly hears of it. Besides, each node
// compares all its revisions with one peer's now and then, so a rumor that was lost costs time, not
// the value.
//
// Why nothing goes backwards: a value is taken only at a revision above the one held, and the
// platform's revisions only rise.
//
// Who may watch is worked out by every node alone, by rendezvous over the live members of the
// domain. While members disagree on who is alive a domain has a watcher more or less for a moment;
// comparing with peers covers that.
#include "peers/key_relay.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::size_t requests_per_watcher_request = 3;
/// After so many the comparisons alone go on: what nobody has (a notice whose origin died before it
/// told the value, or a forged one) must not be asked for for ever.
constexpr std::size_t max_failed_requests = 12;
constexpr std::size_t entry_overhead = 16; ///< of an entry in a frame, bytes, about

std::vector<node_id> all_except(const std::vector<node_id>& nodes, const node_id& self)
{
    std::vector<node_id> others;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(others),
                 [&](const node_id& node) { return node != self; });
    return others;
}

} // namespace

key_relay_core::key_relay_core(key_relay_settings settings, random_source random)
    : m_settings{std::move(settings)}, m_random{random}
{}

key_relay_commands key_relay_core::members_changed(const std::vector<node_id>& own_domain,
                                                   const std::vector<node_id>& all)
{
    std::vector<std::string> names;
    for (const node_id& node : own_domain)
        names.push_back(node.value());
    std::sort(names.begin(), names.end());
    m_watchers.clear();
    bool chosen = false;
    for (const std::size_t index : rendezvous(m_settings.name, names, m_settings.watchers)) {
        const node_id watcher{names[index]};
        chosen = chosen || watcher == m_settings.self;
        if (watcher != m_settings.self)
            m_watchers.push_back(watcher);
    }
    m_neighbours = all_except(own_domain, m_settings.self);
    m_peers = m_neighbours;
    if (m_peers.empty())
        m_peers = all_except(all, m_settings.self);
    key_relay_commands out;
    if (chosen != m_watching) {
        m_watching = chosen;
        out.emplace_back(watch_keys{chosen});
    }
    return out;
}

key_relay_commands key_relay_core::tick(time_point now)
{
    key_relay_commands out;
    if (m_peers.empty())
        return out;
    if (now >= m_next_sync) {
        const duration wait =
            m_synced ? m_settings.sync_interval : m_settings.initial_sync_interval;
        // Spread over half to one and a half, so that nodes started together don't ask together.
        const duration jitter{m_random.between(-wait.count() / 2, wait.count() / 2)};
        m_next_sync = now + wait + jitter;
        send_request(now, true, out);
    }
    else if (!m_missing.empty() && now >= m_next_request) {
        send_request(now, false, out);
        if (m_failed_requests >= max_failed_requests)
            m_missing.clear();
    }
    return out;
}

key_relay_commands key_relay_core::key_changed(time_point /*now*/, const relayed_key& entry)
{
    key_relay_commands out;
    m_synced = true;
    if (update_if_newer(entry, out)) {
        m_unpushed.insert(entry.key);
        out.emplace_back(announce_key{{wire_key(entry.key), entry.revision, duration{0}}});
    }
    return out;
}

key_relay_commands key_relay_core::read(const relayed_key& entry)
{
    key_relay_commands out;
    m_synced = true;
    update_if_newer(entry, out);
    return out;
}

key_relay_commands key_relay_core::push(duration store_age)
{
    key_relay_commands out;
    m_pushing = true;
    // Split by size, so that the first reading of everything fits into frames.
    std::vector<key_reply> parts(1);
    std::size_t bytes = 0;
    for (const std::string& key : std::exchange(m_unpushed, {})) {
        const relayed_key& entry = m_keys.at(key);
        const std::size_t size = entry.key.size() + entry.value.size() + entry_overhead;
        if (bytes + size > m_settings.max_reply_bytes && !parts.back().entries.empty()) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        parts.back().entries.push_back(entry);
    }
    for (key_reply& part : parts)
        part.push_number = ++m_push_number;
    parts.back().store_age = store_age;
    for (const node_id& neighbour : m_neighbours) {
        for (const key_reply& part : parts)
            out.emplace_back(send_key_message{neighbour, part});
    }
    return out;
}

void key_relay_core::stop_pushing()
{
    m_pushing = false;
    m_unpushed.clear();
    ++m_push_number; // what was learned meanwhile is missing
}

key_relay_commands key_relay_core::notice_received(time_point now, const key_notice& notice)
{
    key_relay_commands out;
    const relayed_key* current = find(notice.key);
    if (current != nullptr && current->revision >= notice.revision)
        return out;
    if (m_missing.size() >= m_settings.max_keys)
        return out;
    const bool first = m_missing.empty();
    std::int64_t& wanted = m_missing[notice.key];
    wanted = std::max(wanted, notice.revision);
    if (first) {
        // A moment's wait gathers notices that come together, and lets the peer asked get them too.
        m_failed_requests = 0;
        m_next_request = now + m_settings.request_timeout / 4;
    }
    return out;
}

key_relay_commands key_relay_core::message_received(time_point now, const key_message& message)
{
    key_relay_commands out;
    if (const auto* asked = std::get_if<key_request>(&message.body)) {
        handle_request(now, message.from, *asked, out);
        return out;
    }
    m_synced = true;
    const auto& reply = std::get<key_reply>(message.body);
    std::size_t bytes = 0;
    for (const relayed_key& entry : reply.entries) {
        bytes += entry.key.size() + entry.value.size() + entry_overhead;
        const bool changed = update_if_newer(entry, out);
        // The neighbours may not have heard of it, not even of a push: its sender may not know all
        // of them. Told by the platform afterwards it would be no news here.
        if (changed && m_pushing)
            m_unpushed.insert(entry.key);
    }
    if (reply.push_number)
        handle_push(now, message.from, reply, out);
    else if (reply.complete && m_push_sources.contains(message.from))
        m_push_sources[message.from].complete = true;
    // A reply that is nearly as large as it may be had no room for the rest.
    if (bytes > m_settings.max_reply_bytes / 2)
        m_next_sync = std::min(m_next_sync, now + m_settings.request_timeout);
    if (!reply.entries.empty()) {
        m_failed_requests = 0;
        m_next_request = now; // what the reply had no room for is asked for at the next tick
    }
    return out;
}

/// A push that was lost took its entries with it, and those after it say nothing of them. So unless
/// the numbers follow one another, the neighbour counts as fresh only after a comparison with it.
void key_relay_core::handle_push(time_point now, const node_id& from, const key_reply& push,
                                 key_relay_commands& out)
{
    push_source& source = m_push_sources[from];
    const bool consecutive = source.number != 0 && *push.push_number == source.number + 1;
    source.number = *push.push_number;
    source.complete = source.complete && consecutive;
    if (!source.complete && now - source.asked >= m_settings.request_timeout) {
        source.asked = now;
        out.emplace_back(send_key_message{from, key_request{this->known(), {}}});
    }
    if (source.complete && push.store_age)
        out.emplace_back(neighbour_fresh{from, *push.store_age});
}

bool key_relay_core::update_if_newer(const relayed_key& entry, key_relay_commands& out)
{
    const auto found = m_keys.find(entry.key);
    if (found != m_keys.end() && found->second.revision >= entry.revision)
        return false;
    if (found == m_keys.end() && m_keys.size() >= m_settings.max_keys)
        return false;
    const std::uint32_t wire = wire_key(entry.key);
    m_keys[entry.key] = entry;
    m_names[wire] = entry.key;
    const auto missing = m_missing.find(wire);
    if (missing != m_missing.end() && missing->second <= entry.revision)
        m_missing.erase(missing);
    out.emplace_back(key_updated{entry});
    return true;
}

void key_relay_core::handle_request(time_point now, const node_id& to, const key_request& asked,
                                    key_relay_commands& out)
{
    std::map<std::uint32_t, std::int64_t> known_revisions;
    for (const known_key& item : asked.known)
        known_revisions[item.key] = item.revision;
    const std::set<std::uint32_t> wanted{asked.wanted.begin(), asked.wanted.end()};
    key_reply reply;
    reply.complete = asked.wanted.empty();
    std::size_t bytes = 0;
    for (const auto& [name, entry] : m_keys) {
        const std::uint32_t wire = wire_key(name);
        const auto at_peer = known_revisions.find(wire);
        const bool newer = at_peer == known_revisions.end() || at_peer->second < entry.revision;
        if (!newer || (!wanted.empty() && !wanted.contains(wire)))
            continue;
        const std::size_t size = name.size() + entry.value.size() + entry_overhead;
        if (!reply.entries.empty() && bytes + size > m_settings.max_reply_bytes) {
            reply.complete = false; // the rest is asked for again
            break;
        }
        bytes += size;
        reply.entries.push_back(entry);
    }
    // An empty reply is sent too: it tells a node that has just started that nothing is missing.
    if (consume_reply_budget(now, bytes))
        out.emplace_back(send_key_message{to, std::move(reply)});
}

void key_relay_core::send_request(time_point now, bool everything, key_relay_commands& out)
{
    key_request request;
    if (everything)
        request.known = known();
    else {
        for (const auto& [wire, revision] : m_missing) {
            const relayed_key* held = find(wire);
            request.wanted.push_back(wire);
            if (held != nullptr)
                request.known.push_back({wire, held->revision});
        }
    }
    const bool watcher =
        m_failed_requests % requests_per_watcher_request == requests_per_watcher_request - 1;
    const std::vector<node_id>& among = watcher && !m_watchers.empty() ? m_watchers : m_peers;
    ++m_failed_requests;
    m_next_request = now + m_settings.request_timeout;
    out.emplace_back(send_key_message{among[m_random.index(among.size())], std::move(request)});
}

std::vector<known_key> key_relay_core::known() const
{
    std::vector<known_key> items;
    items.reserve(m_keys.size());
    for (const auto& [name, entry] : m_keys)
        items.push_back({wire_key(name), entry.revision});
    return items;
}

const relayed_key* key_relay_core::find(std::uint32_t wire) const
{
    const auto name = m_names.find(wire);
    return name == m_names.end() ? nullptr : &m_keys.at(name->second);
}

bool key_relay_core::consume_reply_budget(time_point now, std::size_t bytes)
{
    const double burst =
        m_settings.max_reply_bytes_s + static_cast<double>(m_settings.max_reply_bytes);
    if (!m_refilled)
        m_reply_tokens = burst;
    else {
        const double seconds = std::chrono::duration<double>(now - *m_refilled).count();
        m_reply_tokens = std::min(burst, m_reply_tokens + seconds * m_settings.max_reply_bytes_s);
    }
    m_refilled = now;
    if (m_reply_tokens < static_cast<double>(bytes))
        return false; // the asker tries another peer; a burst of joiners must not starve the rest
    m_reply_tokens -= static_cast<double>(bytes);
    return true;
}

} // namespace jaynotch
