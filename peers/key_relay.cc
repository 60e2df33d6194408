// Rumor mongering with anti-entropy (Demers et al. 1987): a new value is announced with a rumor of
// 14 bytes. Nodes without it request it from a random peer of their failure domain, which usually
// has it by then; every third request in a row goes to a watcher of the domain, which gets all
// values. In addition, each node periodically compares all revisions with a random peer, so a lost
// rumor delays a value but does not lose it.
//
// Why values are never replaced by older ones: an entry is only replaced by one with a higher
// revision, and the platform's revisions only increase.
//
// A node that has not seen all entries yet asks nodes of all failure domains, every second time one
// that has announced that it read everything. All nodes of a failure domain may have started
// together, and none of them may have been answered by the platform.
//
// Each node calculates the watchers of its domain independently, by rendezvous hashing over the
// live members. While nodes disagree about the live members, a domain can have a watcher too many
// or too few for a short time. Comparisons with peers make up for that.
#include "peers/key_relay.h"

#include <algorithm>
#include <cmath>

namespace jaynotch {

namespace {

/// One of this many consecutive requests goes to a watcher.
constexpr std::size_t requests_per_watcher_request = 3;
/// After this many requests only the comparisons continue. A value that no node has (its origin
/// failed after sending the notice, or the notice was forged) must not be requested for ever.
constexpr std::size_t max_failed_requests = 12;
constexpr std::size_t entry_overhead = 16; ///< approximate, bytes per entry

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
    std::vector<std::string> ranking;
    for (const std::size_t index : rendezvous(m_settings.name, names, names.size()))
        ranking.push_back(names[index]);
    m_watchers.clear();
    bool chosen = false;
    for (std::size_t rank = 0; rank < std::min(m_settings.watchers, ranking.size()); ++rank) {
        const node_id watcher{ranking[rank]};
        chosen = chosen || watcher == m_settings.self;
        if (watcher != m_settings.self)
            m_watchers.push_back(watcher);
    }
    m_neighbours = all_except(own_domain, m_settings.self);
    plan_routes(std::move(ranking));
    m_all = all_except(all, m_settings.self);
    m_peers = m_neighbours.empty() ? m_all : m_neighbours;
    std::erase_if(m_readers, [&](const node_id& reader) {
        return std::find(m_all.begin(), m_all.end(), reader) == m_all.end();
    });
    key_relay_commands out;
    if (chosen != m_watching) {
        m_watching = chosen;
        out.emplace_back(watch_keys{chosen});
    }
    return out;
}

// In a large domain the bytes of a push to every neighbour would fill this node's link. It is sent
// to about as many neighbours as each of them forwards it to. The routes are part of the message,
// so nodes need not agree about the live members. Nodes that push take their forwarders from the
// ranking of the domain, each from another part of it, so that no link carries the pushes of
// several of them, and a node that doesn't forward keeps only one of them from its neighbours.
void key_relay_core::plan_routes(std::vector<std::string> ranking)
{
    m_routes.clear();
    if (m_neighbours.size() <= m_settings.max_direct_neighbours) {
        for (const node_id& neighbour : m_neighbours)
            m_routes.push_back({neighbour, {}});
        return;
    }
    const auto self = std::find(ranking.begin(), ranking.end(), m_settings.self.value());
    std::size_t own_rank = 0;
    if (self != ranking.end()) { // it is not ranked while it leaves
        own_rank = static_cast<std::size_t>(self - ranking.begin());
        ranking.erase(self);
    }
    const double root = std::sqrt(static_cast<double>(ranking.size()));
    const auto count = static_cast<std::size_t>(std::ceil(root));
    const std::size_t first = m_settings.watchers + own_rank * count;
    std::rotate(ranking.begin(),
                ranking.begin() + static_cast<std::ptrdiff_t>(first % ranking.size()),
                ranking.end());
    const std::vector<std::string> forwarders{ranking.begin(),
                                              ranking.begin() + static_cast<std::ptrdiff_t>(count)};
    for (const std::string& forwarder : forwarders)
        m_routes.push_back({node_id{forwarder}, {}});
    for (std::size_t index = count; index < ranking.size(); ++index) {
        const std::size_t route = rendezvous(ranking[index], forwarders, 1).front();
        m_routes[route].forward_to.emplace_back(ranking[index]);
    }
}

key_relay_commands key_relay_core::tick(time_point now)
{
    key_relay_commands out;
    if (m_peers.empty())
        return out;
    if (now >= m_next_sync) {
        const duration wait =
            m_synced ? m_settings.sync_interval : m_settings.initial_sync_interval;
        // Random factor of 0.5 to 1.5, so that nodes started together don't send requests together.
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
    const update how = update_if_newer(entry, out);
    if (how != update::none) {
        add_to_push(entry, how, out);
        out.emplace_back(announce_key{{wire_key(entry.key), entry.revision, duration{0}}});
    }
    return out;
}

key_relay_commands key_relay_core::read(const relayed_key& entry)
{
    key_relay_commands out;
    if (update_if_newer(entry, out) == update::replaced)
        send_if_urgent(entry, out);
    return out;
}

// The first value is not sent: when a fleet starts, every node gets it from the platform itself.
void key_relay_core::add_to_push(const relayed_key& entry, update how, key_relay_commands& out)
{
    m_unpushed.insert(entry.key);
    if (m_pushing && how == update::replaced)
        send_if_urgent(entry, out);
}

// The copy sent at once has no push number, so it may overtake pushes and may be lost: the numbered
// push that contains the entry follows.
void key_relay_core::send_if_urgent(const relayed_key& entry, key_relay_commands& out) const
{
    if (!m_settings.is_urgent || !m_settings.is_urgent(entry.key))
        return;
    key_reply copy;
    copy.entries.push_back(entry);
    send_to_domain(copy, frame_priority::control, out);
}

void key_relay_core::send_to_domain(const key_reply& reply, frame_priority priority,
                                    key_relay_commands& out) const
{
    for (const push_route& route : m_routes) {
        key_reply sent = reply;
        sent.forward_to = route.forward_to;
        out.emplace_back(send_key_message{route.to, std::move(sent), priority});
    }
}

void key_relay_core::forward(const key_message& message, const key_reply& reply,
                             key_relay_commands& out) const
{
    key_reply copy = reply;
    copy.origin = message.from;
    copy.forward_to.clear();
    if (copy.store_age)
        *copy.store_age += message.delay;
    if (copy.store)
        copy.store =
            store_record{copy.store->steady + message.delay, copy.store->heard + message.delay};
    const frame_priority priority =
        reply.push_number ? frame_priority::bulk : frame_priority::control;
    for (const node_id& node : reply.forward_to)
        out.emplace_back(send_key_message{node, copy, priority});
}

key_relay_commands key_relay_core::push(duration store_age, std::optional<store_record> store)
{
    key_relay_commands out;
    m_synced = true;
    m_pushing = true;
    // Split by size, so that any number of entries fits into frames.
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
    for (key_reply& part : parts) {
        part.push_number = ++m_push_number;
        part.store = store;
    }
    parts.back().store_age = store_age;
    for (const key_reply& part : parts)
        send_to_domain(part, frame_priority::bulk, out);
    return out;
}

void key_relay_core::stop_pushing()
{
    m_pushing = false;
    m_unpushed.clear();
    ++m_push_number; // skips a number, so that receivers detect that entries were not pushed
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
        // The delay collects notices that arrive together, and gives the peer time to get the
        // values.
        m_failed_requests = 0;
        m_next_request = now + m_settings.request_timeout / 4;
    }
    return out;
}

key_relay_commands key_relay_core::message_received(time_point now, const key_message& message)
{
    key_relay_commands out;
    if (const auto* request = std::get_if<key_request>(&message.body)) {
        handle_request(now, message.from, *request, out);
        return out;
    }
    const auto& reply = std::get<key_reply>(message.body);
    forward(message, reply, out);
    std::size_t bytes = 0;
    for (const relayed_key& entry : reply.entries) {
        bytes += entry.key.size() + entry.value.size() + entry_overhead;
        const update how = update_if_newer(entry, out);
        // Neighbours may lack the entry, even if it came with a push, since its sender may not know
        // all of them. It must be pushed now, because it won't be new when the platform reports it.
        if (how != update::none && m_pushing)
            add_to_push(entry, how, out);
    }
    if (reply.reading_took && !m_synced)
        note_reader(now, message.from);
    m_synced = m_synced || reply.complete;
    if (reply.push_number)
        handle_push(now, reply.origin.value_or(message.from), message.delay, reply, out);
    else if (reply.complete)
        handle_comparison(now, message.from, reply, out);
    // A large reply may have been truncated to the maximum size: request the rest soon.
    if (bytes > m_settings.max_reply_bytes / 2 && m_synced)
        m_next_sync = std::min(m_next_sync, now + m_settings.request_timeout);
    else if (bytes > 0 && !m_synced && !reply.push_number) {
        m_unfinished_from = message.from;
        m_next_sync = now;
    }
    if (!reply.entries.empty()) {
        m_failed_requests = 0;
        m_next_request = now; // requests what is still missing at the next tick
    }
    return out;
}

// Forwarded pushes and the reply take different ways. A push that was sent after the reply and got
// lost may be followed by one that arrives before the reply; then the reply proves nothing. A reply
// that proves that nothing is missing makes the last push count at once: the next one may be half a
// second away, in which the neighbours would take over from a node that is fresh.
void key_relay_core::handle_comparison(time_point now, const node_id& from, const key_reply& reply,
                                       key_relay_commands& out)
{
    const auto found = m_push_sources.find(from);
    if (found == m_push_sources.end())
        return;
    push_source& source = found->second;
    const std::int64_t last_push = reply.last_push.value_or(source.number);
    const bool none_missing = source.number <= last_push || source.first_of_run <= last_push + 1;
    if (!source.complete && none_missing && source.store_answered)
        out.emplace_back(neighbour_fresh{from, now - *source.store_answered});
    source.complete = source.complete || none_missing;
}

// The entries of a lost push are not repeated in later ones. So if the push numbers have a gap, the
// neighbour counts as fresh again only after a comparison with it.
//
// A push may wait for a long time on its sender's link. The time since the store's answer therefore
// includes the delay of the frame: pushes that are all late must not make their sender look fresh.
void key_relay_core::handle_push(time_point now, const node_id& origin, duration delay,
                                 const key_reply& push, key_relay_commands& out)
{
    push_source& source = m_push_sources[origin];
    const bool consecutive = source.number != 0 && *push.push_number == source.number + 1;
    source.number = *push.push_number;
    if (!consecutive)
        source.first_of_run = source.number;
    source.complete = source.complete && consecutive;
    if (!source.complete && now - source.comparison_requested_at >= m_settings.request_timeout) {
        source.comparison_requested_at = now;
        out.emplace_back(send_key_message{origin, key_request{this->known(), {}}});
    }
    if (push.store_age)
        source.store_answered = now - (*push.store_age + delay);
    if (source.complete && push.store_age)
        out.emplace_back(neighbour_fresh{origin, *push.store_age + delay});
}

key_relay_core::update key_relay_core::update_if_newer(const relayed_key& entry,
                                                       key_relay_commands& out)
{
    const auto found = m_keys.find(entry.key);
    const bool known = found != m_keys.end();
    if (known && found->second.revision >= entry.revision)
        return update::none;
    if (!known && m_keys.size() >= m_settings.max_keys)
        return update::none;
    const std::uint32_t wire = wire_key(entry.key);
    m_keys[entry.key] = entry;
    m_names[wire] = entry.key;
    const auto missing = m_missing.find(wire);
    if (missing != m_missing.end() && missing->second <= entry.revision)
        m_missing.erase(missing);
    out.emplace_back(key_updated{entry});
    return known ? update::replaced : update::added;
}

void key_relay_core::handle_request(time_point now, const node_id& to, const key_request& request,
                                    key_relay_commands& out)
{
    std::map<std::uint32_t, std::int64_t> known_revisions;
    for (const known_key& item : request.known)
        known_revisions[item.key] = item.revision;
    const std::set<std::uint32_t> wanted{request.wanted.begin(), request.wanted.end()};
    key_reply reply;
    // A node that has itself not seen all entries proves nothing to another one.
    reply.complete = request.wanted.empty() && m_synced;
    reply.last_push = m_push_number;
    reply.reading_took = m_reading_took;
    if (m_steady_since)
        reply.store = store_record{now - *m_steady_since, now - m_heard_at};
    std::size_t bytes = 0;
    for (const auto& [name, entry] : m_keys) {
        const std::uint32_t wire = wire_key(name);
        const auto at_peer = known_revisions.find(wire);
        const bool newer = at_peer == known_revisions.end() || at_peer->second < entry.revision;
        if (!newer || (!wanted.empty() && !wanted.contains(wire)))
            continue;
        const std::size_t size = name.size() + entry.value.size() + entry_overhead;
        if (!reply.entries.empty() && bytes + size > m_settings.max_reply_bytes) {
            reply.complete = false; // the requester asks for the rest
            break;
        }
        bytes += size;
        reply.entries.push_back(entry);
    }
    // An empty reply is sent too. It tells a node that has just started that it lacks nothing.
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
            const relayed_key* current = find(wire);
            request.wanted.push_back(wire);
            if (current != nullptr)
                request.known.push_back({wire, current->revision});
        }
    }
    const node_id peer = choose_peer();
    ++m_failed_requests;
    m_next_request = now + m_settings.request_timeout;
    out.emplace_back(send_key_message{peer, std::move(request)});
}

node_id key_relay_core::choose_peer()
{
    const auto any_of = [this](const std::vector<node_id>& nodes) {
        return nodes[m_random.index(nodes.size())];
    };
    if (!m_synced) {
        if (const auto unfinished = std::exchange(m_unfinished_from, std::nullopt))
            return *unfinished;
        const bool reader = !m_readers.empty() && m_failed_requests % 2 == 0;
        return any_of(reader ? m_readers : m_all);
    }
    const bool watcher =
        m_failed_requests % requests_per_watcher_request == requests_per_watcher_request - 1;
    return any_of(watcher && !m_watchers.empty() ? m_watchers : m_peers);
}

key_relay_commands key_relay_core::announce_reading(duration took)
{
    m_reading_took = took;
    key_relay_commands out;
    key_reply announcement;
    announcement.reading_took = took;
    for (const node_id& node : m_all)
        out.emplace_back(send_key_message{node, announcement, frame_priority::control});
    return out;
}

void key_relay_core::note_reader(time_point now, const node_id& reader)
{
    if (std::find(m_readers.begin(), m_readers.end(), reader) != m_readers.end())
        return;
    m_readers.push_back(reader);
    m_failed_requests = 0; // it is asked next
    m_next_sync = now;
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
    // Without a reply the requester tries another peer. The limit keeps many new nodes from using
    // up the bandwidth of this one. A single value may exceed it, and is then paid for afterwards.
    if (m_reply_tokens < static_cast<double>(std::min(bytes, m_settings.max_reply_bytes)))
        return false;
    m_reply_tokens -= static_cast<double>(bytes);
    return true;
}

} // namespace jaynotch
