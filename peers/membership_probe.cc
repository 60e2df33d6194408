// The failure detector: which members are probed, and how missing answers are handled.
//
// Within a failure domain this is SWIM. Each node probes one member per second, in a shuffled order
// that includes every member once per round. Without an ack after 300 ms, three other members are
// asked to probe it. Without an ack after one second the member becomes suspect, and if it does not
// refute that within 4 s it is declared dead. A crash is thus probed after at most about
// (members / probes per second) seconds and detected within a few seconds on average, and a single
// broken path between two nodes does not make a member suspect.
//
// Between failure domains only bridges probe: two nodes of a domain for each other domain, chosen
// by rendezvous hashing over the live members. So all nodes choose the same bridges without
// coordination, and a bridge that is declared dead is replaced at once. A bridge doesn't suspect
// members of the other domain: a partitioned domain is not dead, its members keep their last known
// state, and nothing has to be refuted when the partition ends. The exception is a domain of one or
// two nodes, which can't monitor each other reliably; bridges monitor it.
//
// Dead members are still probed occasionally. Otherwise two halves of a partition that have
// declared each other dead would never rejoin.
#include "peers/membership.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr duration housekeeping_interval = std::chrono::seconds{10};
constexpr duration view_refresh_interval = std::chrono::seconds{1};
constexpr std::size_t seeds_per_attempt = 3;
constexpr duration seed_interval = std::chrono::seconds{2};
constexpr duration relayed_ping_timeout = std::chrono::seconds{2};
constexpr std::size_t max_relayed_pings = 256;
constexpr std::size_t probes_per_dead_probe = 10; ///< one of this many probes is to a dead member

} // namespace

membership_commands membership_core::tick(time_point now)
{
    membership_commands out;
    if (m_started == time_point{}) {
        m_started = now;
        // A random offset, so that nodes started together don't probe at the same moments.
        m_next_probe = now + duration{m_random.between(0, m_settings.probe_interval.count())};
        publish_self(now);
    }
    if (m_leaving)
        return out;
    check_probes(now, out);
    for (member expired : m_members.expired_suspects(now, m_settings.suspicion_timeout)) {
        if (!monitors(expired))
            continue;
        expired.state = member_state::dead;
        apply_member_report(now, expired, out);
    }
    refresh_views(now);
    contact_seeds(now, out);
    if (now >= m_next_probe) {
        // Probes that were missed during a pause are skipped.
        m_next_probe = std::max(m_next_probe + m_settings.probe_interval, now);
        probe_own_domain(now, out);
        probe_other_domains(now, out);
    }
    if (now >= m_next_housekeeping) {
        m_next_housekeeping = now + housekeeping_interval;
        m_rumors.expire(now);
        m_members.remove_expired(now, m_settings.dead_member_retention);
        std::erase_if(m_peer_info,
                      [&](const auto& entry) { return m_members.find(entry.first) == nullptr; });
        m_views_stale = true;
    }
    push_urgent(now, out);
    return out;
}

void membership_core::refresh_views(time_point now)
{
    // At most once per second, since the table changes with every frame while a fleet starts.
    const bool wait = !m_own_live.empty() && now < m_next_view_refresh;
    if (!m_views_stale || wait)
        return;
    m_views_stale = false;
    m_next_view_refresh = now + view_refresh_interval;
    const auto own = [&](const member& other) {
        return other.failure_domain == m_self.failure_domain;
    };
    m_own_live = m_members.select([&](const member& m) { return own(m) && m.live(); });
    m_own_dead =
        m_members.select([&](const member& m) { return own(m) && m.state == member_state::dead; });

    std::vector<std::string> names{m_self.node.value()};
    for (const node_id& node : m_own_live)
        names.push_back(node.value());
    m_domains.clear();
    std::map<failure_domain_id, domain_view> views;
    for (const member& other : m_members.all()) {
        if (own(other) || other.state == member_state::left)
            continue;
        domain_view& view = views[other.failure_domain];
        view.domain = other.failure_domain;
        (other.live() ? view.live : view.dead_nodes).push_back(other.node);
    }
    for (auto& [domain, view] : views) {
        const std::string key = "bridge/" + m_self.failure_domain.value() + '/' + domain.value();
        for (const std::size_t chosen : rendezvous(key, names, m_settings.bridges))
            view.bridged = view.bridged || names[chosen] == m_self.node.value();
        m_domains.push_back(std::move(view));
    }
}

bool membership_core::monitors(const member& other) const
{
    if (other.failure_domain == m_self.failure_domain)
        return true;
    for (const domain_view& view : m_domains) {
        if (view.domain == other.failure_domain)
            return view.bridged &&
                   view.live.size() + view.dead_nodes.size() < m_settings.small_domain;
    }
    return false;
}

node_id membership_core::next_probe_target()
{
    const bool try_dead = m_own_live.empty() || m_random.index(probes_per_dead_probe) == 0;
    if (try_dead && !m_own_dead.empty())
        return m_own_dead[m_random.index(m_own_dead.size())];
    for (std::size_t tries = 0; tries <= m_own_live.size(); ++tries) {
        if (m_probe_index >= m_probe_order.size()) {
            m_probe_order = pick(m_own_live, m_own_live.size());
            m_probe_index = 0;
            if (m_probe_order.empty())
                return {};
        }
        const node_id& next = m_probe_order[m_probe_index++];
        const member* known = m_members.find(next);
        if (known != nullptr && known->live())
            return next;
    }
    return {};
}

void membership_core::probe_own_domain(time_point now, membership_commands& out)
{
    const node_id target = next_probe_target();
    if (!target.value().empty())
        start_probe(now, target, true, out);
}

void membership_core::probe_other_domains(time_point now, membership_commands& out)
{
    for (const domain_view& other : m_domains) {
        if (!other.bridged)
            continue;
        const bool try_dead = other.live.empty() || (!other.dead_nodes.empty() &&
                                                     m_random.index(probes_per_dead_probe) == 0);
        const std::vector<node_id>& from = try_dead ? other.dead_nodes : other.live;
        if (from.empty())
            continue;
        const node_id target = from[m_random.index(from.size())];
        const member* known = m_members.find(target);
        start_probe(now, target, known != nullptr && monitors(*known), out);
    }
}

void membership_core::start_probe(time_point now, const node_id& target, bool monitored,
                                  membership_commands& out)
{
    const member* known = m_members.find(target);
    if (known == nullptr)
        return;
    const member to = *known;
    wire::frame ping = make_frame(now, wire::frame_kind::ping);
    ping.__set_member_digest(table_digest());
    m_probes.push_back({target, now, ping.sequence, false, monitored});
    send(now, to, ping, out);
}

void membership_core::check_probes(time_point now, membership_commands& out)
{
    for (probe& pending : m_probes) {
        if (!pending.indirect_probes_requested && now - pending.sent >= m_settings.probe_timeout) {
            pending.indirect_probes_requested = true;
            if (pending.monitored)
                request_indirect_probes(now, pending, out);
        }
    }
    // If this node itself was paused, all its probes time out at once, which says nothing about
    // their targets. So a probe that is found unanswered only after two intervals is ignored.
    const duration overdue = 2 * m_settings.probe_interval;
    std::vector<probe> timed_out;
    std::erase_if(m_probes, [&](const probe& pending) {
        const duration waited = now - pending.sent;
        if (waited < m_settings.probe_interval)
            return false;
        if (pending.monitored && waited < overdue)
            timed_out.push_back(pending);
        return true;
    });
    for (const probe& unanswered : timed_out)
        suspect(now, unanswered.target, out);
}

void membership_core::request_indirect_probes(time_point now, const probe& unanswered,
                                              membership_commands& out)
{
    refresh_views(now);
    std::vector<node_id> helpers = m_own_live;
    std::erase(helpers, unanswered.target);
    for (const node_id& helper : pick(helpers, m_settings.indirect_probes)) {
        wire::frame request = make_frame(now, wire::frame_kind::ping_request);
        request.sequence = unanswered.sequence;
        request.__set_subject(unanswered.target.value());
        send(now, member{*m_members.find(helper)}, request, out);
    }
}

void membership_core::suspect(time_point now, const node_id& target, membership_commands& out)
{
    const member* known = m_members.find(target);
    if (known == nullptr || known->state != member_state::alive || !monitors(*known))
        return;
    member suspected = *known;
    suspected.state = member_state::suspect;
    apply_member_report(now, suspected, out);
}

void membership_core::handle_ack(time_point now, const wire::frame& frame, membership_commands& out)
{
    const node_id answering_node{frame.subject.empty() ? frame.sender : frame.subject};
    std::erase_if(m_probes, [&](const probe& pending) {
        return pending.sequence == frame.sequence && pending.target == answering_node;
    });
    // Forwards the ack if the ping was sent on behalf of another node.
    for (const relayed_ping& relayed : m_relayed_pings) {
        if (relayed.sequence != frame.sequence || relayed.subject != answering_node)
            continue;
        const member* requester = m_members.find(relayed.requester);
        if (requester == nullptr)
            continue;
        wire::frame ack = make_frame(now, wire::frame_kind::ack);
        ack.sequence = relayed.requester_sequence;
        ack.__set_subject(answering_node.value());
        send(now, member{*requester}, ack, out);
    }
    std::erase_if(m_relayed_pings, [&](const relayed_ping& relayed) {
        return (relayed.sequence == frame.sequence && relayed.subject == answering_node) ||
               now - relayed.sent > relayed_ping_timeout;
    });
}

void membership_core::relay_ping(time_point now, const wire::frame& frame, membership_commands& out)
{
    const member* subject = m_members.find(node_id{frame.subject});
    if (subject == nullptr)
        return;
    const member to = *subject;
    wire::frame ping = make_frame(now, wire::frame_kind::ping);
    if (m_relayed_pings.size() >= max_relayed_pings)
        m_relayed_pings.pop_front();
    m_relayed_pings.push_back({node_id{frame.sender}, to.node, ping.sequence, frame.sequence, now});
    send(now, to, ping, out);
}

// Requests the member table from seeds while no other member is known to be live.
void membership_core::contact_seeds(time_point now, membership_commands& out)
{
    bool alone = m_own_live.empty();
    for (const domain_view& other : m_domains)
        alone = alone && other.live.empty();
    if (!alone || m_seeds.empty() || now < m_next_seed)
        return;
    m_next_seed =
        now + m_random.between(seed_interval.count() / 2, seed_interval.count()) * duration{1};
    for (std::size_t i = 0; i < std::min(seeds_per_attempt, m_seeds.size()); ++i) {
        std::swap(m_seeds[i], m_seeds[i + m_random.index(m_seeds.size() - i)]);
        wire::frame request = make_frame(now, wire::frame_kind::sync_request);
        request.members.push_back(to_wire(m_self));
        request.__isset.members = true;
        member seed;
        seed.address = m_seeds[i];
        send(now, seed, request, out);
    }
}

std::vector<node_id> membership_core::pick(std::vector<node_id> from, std::size_t count)
{
    const std::size_t wanted = std::min(count, from.size());
    for (std::size_t i = 0; i < wanted; ++i)
        std::swap(from[i], from[i + m_random.index(from.size() - i)]);
    from.resize(wanted);
    return from;
}

} // namespace jaynotch
