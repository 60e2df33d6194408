// Handling of received frames, and the frames sent in response.
//
// Why duplicate, reordered and outdated frames do no harm: a member report only replaces a lesser
// one (member_table), a rumor only an older one (rumor_table), the consumers of revisions accept
// only higher ones, and an ack counts only for the probe with its sequence number.
//
// A frame that was delayed, for example in the socket of a paused process, would make its rumors
// look newer than they are. So the minimum difference between the local clock and the sender's is
// kept for each peer. It consists of the clocks' offset and the shortest delay; any time that a
// frame took beyond it is added to the ages of the frame's rumors.
#include "peers/membership.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::size_t urgent_frame_bytes = 180; ///< approximate size, deducted from the budget
constexpr duration push_interval = std::chrono::milliseconds{100};
/// A node that gets a report about itself with a higher boot number within this time after its
/// start takes it for a report about its previous process (see apply_report_on_self()).
constexpr duration startup_period = std::chrono::seconds{30};
/// Maximum drift between two clocks, 200 ppm. The minimum clock offset may increase at this rate.
constexpr double max_clock_drift = 2e-4;
/// Dead members and members that left are part of a sync reply for this long.
constexpr duration sync_history = std::chrono::minutes{10};
/// Members in a sync reply beyond the budget of whole tables.
constexpr std::size_t sync_sample = 8;
constexpr std::size_t max_seeds = 64;

std::int64_t milliseconds_of(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

membership_core::membership_core(membership_settings settings, random_source random)
    : m_settings{std::move(settings)}, m_random{random}, m_self{m_settings.self},
      m_rumors{{m_settings.rumor_bytes_s, m_settings.rumor_frame_bytes}},
      m_deployment_key{wire_key(m_settings.deployment)}
{}

void membership_core::add_seeds(const std::vector<std::string>& addresses)
{
    for (const std::string& address : addresses) {
        const bool known = std::find(m_seeds.begin(), m_seeds.end(), address) != m_seeds.end();
        if (!known && address != m_self.address)
            m_seeds.push_back(address);
    }
    if (m_seeds.size() > max_seeds)
        m_seeds.erase(m_seeds.begin(), m_seeds.end() - max_seeds);
    m_next_seed = {};
}

std::int64_t membership_core::table_digest() const
{
    return static_cast<std::int64_t>(m_members.digest() ^ member_hash(m_self));
}

wire::frame membership_core::make_frame(time_point now, wire::frame_kind::type kind)
{
    wire::frame frame;
    frame.version = frame_version;
    frame.deployment = static_cast<std::int32_t>(m_deployment_key);
    frame.kind = kind;
    frame.sender = m_self.node.value();
    frame.boot = static_cast<std::int64_t>(m_self.boot);
    frame.incarnation = static_cast<std::int32_t>(m_self.incarnation);
    frame.sequence = ++m_sequence;
    frame.sent_ms = milliseconds_of(now - m_started);
    wire::config_digest digest;
    digest.revision = m_config.revision.value();
    digest.platform_lost = m_config.platform_lost;
    digest.__isset.platform_lost = m_config.platform_lost;
    frame.__set_config(digest);
    return frame;
}

void membership_core::send(time_point now, const member& to, wire::frame& frame,
                           membership_commands& out, frame_priority priority)
{
    if (!to.node.value().empty())
        frame.__set_target(to.node.value());
    const bool carries_rumors = frame.kind != wire::frame_kind::sync_reply &&
                                frame.kind != wire::frame_kind::config_reply &&
                                frame.kind != wire::frame_kind::key_reply;
    // A peer that is recorded as suspect, dead or left gets that record, since only it can refute
    // it.
    const member* known = m_members.find(to.node);
    if (known != nullptr && known->state != member_state::alive) {
        frame.members.push_back(to_wire(*known));
        frame.__isset.members = true;
    }
    // A peer from which no frame has arrived since its start may not know this node's address, and
    // could not answer without it.
    const auto info = m_peer_info.find(to.node);
    const bool introduce_self =
        known != nullptr && (info == m_peer_info.end() || info->second.boot != known->boot);
    if (introduce_self) {
        frame.members.push_back(to_wire(m_self));
        frame.__isset.members = true;
    }
    if (carries_rumors)
        m_rumors.fill(frame, now);
    out.emplace_back(send_frame{to.node, to.address, encode_frame(frame), priority});
}

void membership_core::send_simple_frame(time_point now, const member& to,
                                        wire::frame_kind::type kind, membership_commands& out)
{
    wire::frame frame = make_frame(now, kind);
    send(now, to, frame, out);
}

bool membership_core::should_accept(const wire::frame& frame, const node_id& verified_name) const
{
    if (frame.deployment != static_cast<std::int32_t>(m_deployment_key))
        return false;
    if (!verified_name.value().empty() && verified_name.value() != frame.sender)
        return false;
    if (frame.sender == m_self.node.value() && frame.boot == static_cast<std::int64_t>(m_self.boot))
        return false;
    // Sent to another node that had this address before.
    if (!frame.target.empty() && frame.target != m_self.node.value())
        return false;
    // Frames of a process that was replaced by one with the same name and a higher boot number are
    // rejected.
    const member* known = m_members.find(node_id{frame.sender});
    return known == nullptr || static_cast<std::uint64_t>(frame.boot) >= known->boot;
}

membership_commands membership_core::frame_received(time_point now, const node_id& verified_name,
                                                    std::string_view bytes)
{
    membership_commands out;
    const result<wire::frame> decoded = decode_frame(bytes);
    if (!decoded || !should_accept(decoded.value(), verified_name)) {
        ++m_refused;
        return out;
    }
    const wire::frame& frame = decoded.value();
    if (m_started == time_point{})
        m_started = now;
    const duration delay = estimate_delay(now, frame);
    apply_members(now, frame, out);
    apply_rumors(now, delay, frame, out);
    handle_config(frame, out);
    handle_keys(delay, frame, out);
    handle_server_messages(frame, out);
    respond(now, frame, out);
    push_urgent(now, out);
    return out;
}

duration membership_core::estimate_delay(time_point now, const wire::frame& frame)
{
    const duration clock_offset =
        now.time_since_epoch() - duration{std::chrono::milliseconds{frame.sent_ms}};
    const auto boot = static_cast<std::uint64_t>(frame.boot);
    peer_info& info = m_peer_info[node_id{frame.sender}];
    if (info.boot != boot) {
        info = {boot, clock_offset, now, {}};
        return duration{0};
    }
    const auto drift_allowance =
        std::chrono::duration_cast<duration>((now - info.measured_at) * max_clock_drift);
    info.min_clock_offset = std::min(info.min_clock_offset + drift_allowance, clock_offset);
    info.measured_at = now;
    return clock_offset - info.min_clock_offset;
}

void membership_core::apply_members(time_point now, const wire::frame& frame,
                                    membership_commands& out)
{
    for (const wire::member_update& update : frame.members)
        apply_member_report(now, from_wire(update), out);
    // A frame from a known process shows that it is alive. A new process is added by the update
    // about itself, with its address, that its frames contain until its peers answer.
    const member* known = m_members.find(node_id{frame.sender});
    if (known == nullptr || static_cast<std::uint64_t>(frame.boot) != known->boot)
        return;
    member sender = *known;
    sender.incarnation = static_cast<std::uint32_t>(frame.incarnation);
    sender.state = member_state::alive;
    apply_member_report(now, sender, out);
}

void membership_core::apply_member_report(time_point now, const member& received,
                                          membership_commands& out)
{
    if (received.node == m_self.node) {
        apply_report_on_self(now, received, out);
        return;
    }
    if (received.node.value().empty() || received.address.empty())
        return;
    const std::optional<member> changed = m_members.merge(received, now);
    if (!changed)
        return;
    m_views_stale = true;
    m_rumors.insert_if_newer(*changed, now, now, m_members.size());
    out.emplace_back(member_changed{*changed});
}

// After a pause or a partition other nodes may have declared this node dead. It refutes that by
// publishing a higher incarnation, which supersedes all reports about the lower ones.
void membership_core::apply_report_on_self(time_point now, const member& received,
                                           membership_commands& out)
{
    if (received.boot > m_self.boot) {
        // Shortly after the start, and with the same address, the report is about this node's
        // previous process, which started when the clock was ahead: take a higher boot number.
        // Otherwise a newer process has the same name.
        if (now - m_started < startup_period && received.address == m_self.address) {
            m_self.boot = received.boot + 1;
            publish_self(now);
            return;
        }
        out.emplace_back(superseded{received.boot});
        return;
    }
    const bool wrong = received.boot == m_self.boot && received.state != member_state::alive &&
                       received.incarnation >= m_self.incarnation && !m_leaving;
    if (!wrong)
        return;
    m_self.incarnation = received.incarnation + 1;
    publish_self(now);
}

void membership_core::publish_self(time_point now)
{
    m_rumors.insert_if_newer(m_self, now, now, m_members.size());
}

void membership_core::apply_rumors(time_point now, duration delay, const wire::frame& frame,
                                   membership_commands& out)
{
    for (const wire::ticket_digest& received : frame.tickets) {
        apply_rumor(now, delay,
                    ticket_digest{static_cast<std::uint32_t>(received.group),
                                  fencing_number{received.fencing},
                                  static_cast<std::uint16_t>(std::max<int>(received.load, 0)),
                                  received.complete, from_wire_age(received.age)},
                    out);
    }
    for (const wire::demand& received : frame.demands) {
        apply_rumor(now, delay,
                    demand{static_cast<std::uint32_t>(received.node),
                           static_cast<std::uint32_t>(received.pool),
                           static_cast<std::uint32_t>(received.workspace),
                           static_cast<std::uint32_t>(received.in_flight),
                           static_cast<double>(received.arrivals) / 10.0,
                           from_wire_age(received.age)},
                    out);
    }
    for (const wire::leaving& received : frame.leavings)
        apply_rumor(now, delay, leaving{received.server, from_wire_age(received.age)}, out);
    for (const wire::key_notice& received : frame.notices) {
        apply_rumor(now, delay,
                    key_notice{static_cast<std::uint32_t>(received.key), received.revision,
                               from_wire_age(received.age)},
                    out);
    }
    for (const wire::server_limit& received : frame.limits) {
        server_limit limit{received.server, std::nullopt, from_wire_age(received.age)};
        if (received.__isset.per_second_milli)
            limit.per_second = limit_from_wire(received.per_second_milli);
        apply_rumor(now, delay, std::move(limit), out);
    }
    for (const wire::content_notice& received : frame.contents) {
        using fact = content_notice::fact;
        const int what = static_cast<int>(received.fact) - 1;
        if (what < 0 || what > static_cast<int>(fact::blocked))
            continue; // of a newer version
        apply_rumor(now, delay,
                    content_notice{static_cast<std::uint64_t>(received.content),
                                   static_cast<fact>(what),
                                   static_cast<std::uint32_t>(received.server),
                                   from_tenths(received.since_end), from_wire_age(received.age)},
                    out);
    }
    for (const wire::confirmation& received : frame.confirmations) {
        apply_rumor(now, delay,
                    confirmation{static_cast<std::uint32_t>(received.node),
                                 config_revision{received.revision}, received.platform_lost,
                                 from_wire_age(received.age)},
                    out);
    }
}

void membership_core::apply_rumor(time_point now, duration delay, rumor item,
                                  membership_commands& out)
{
    const duration age = std::visit([&](auto& received) { return received.age += delay; }, item);
    const gossip_item gossip =
        std::visit([](const auto& received) { return gossip_item{received}; }, item);
    if (!m_rumors.insert_if_newer(gossip, now - age, now, m_members.size()))
        return;
    const auto* ticket = std::get_if<ticket_digest>(&item);
    const bool urgent = std::holds_alternative<leaving>(item) ||
                        std::holds_alternative<content_notice>(item) ||
                        (ticket != nullptr && !ticket->complete);
    m_urgent_pending = m_urgent_pending || urgent;
    out.emplace_back(rumor_received{std::move(item)});
}

void membership_core::handle_config(const wire::frame& frame, membership_commands& out)
{
    const node_id sender{frame.sender};
    if (frame.__isset.config) {
        const config_digest received{config_revision{frame.config.revision},
                                     frame.config.platform_lost};
        config_digest& known = m_peer_info[sender].config;
        const bool is_new = received.revision != known.revision ||
                            received.platform_lost != known.platform_lost ||
                            received.revision > m_config.revision;
        known = received;
        if (is_new)
            out.emplace_back(config_message{sender, received});
    }
    if (frame.__isset.request) {
        out.emplace_back(config_message{
            sender, config_request{config_revision{frame.request.base}, frame.request.digests}});
    }
    if (frame.__isset.reply) {
        config_reply reply{
            config_revision{frame.reply.revision}, frame.reply.head, {}, frame.reply.delta};
        for (const wire::config_page& page : frame.reply.pages)
            reply.pages.push_back({page.digest, page.bytes});
        out.emplace_back(config_message{sender, std::move(reply)});
    }
}

// Replies are limited by a token bucket: a node with an outdated table may get requests from all
// others at once, and the seeds from a whole fleet that starts. Once it is empty, replies contain
// only a few members, which the requester asks next; their buckets are still full.
void membership_core::reply_to_sync(time_point now, const member& to, membership_commands& out)
{
    const double seconds = std::chrono::duration<double>(now - m_sync_refilled).count();
    m_sync_tokens =
        std::min(m_settings.sync_burst, m_sync_tokens + seconds * m_settings.sync_bytes_s);
    m_sync_refilled = now;
    if (m_sync_tokens < -m_settings.sync_burst)
        return;
    wire::frame reply = make_frame(now, wire::frame_kind::sync_reply);
    for (const member& known : members_to_show(now, to))
        reply.members.push_back(to_wire(known));
    reply.members.push_back(to_wire(m_self));
    reply.__isset.members = true;
    send(now, to, reply, out);
    m_sync_tokens -= static_cast<double>(std::get<send_frame>(out.back()).bytes.size());
}

std::vector<member> membership_core::members_to_show(time_point now, const member& to)
{
    if (m_sync_tokens >= 0.0)
        return m_members.live_or_recent(now, sync_history);
    const std::vector<node_id> neighbours = m_members.select([&](const member& other) {
        return other.live() && other.failure_domain == to.failure_domain && other.node != to.node;
    });
    std::vector<member> sample;
    for (const node_id& node : pick(neighbours, sync_sample))
        sample.push_back(*m_members.find(node));
    return sample;
}

void membership_core::respond(time_point now, const wire::frame& frame, membership_commands& out)
{
    const member* sender = m_members.find(node_id{frame.sender});
    if (sender == nullptr)
        return; // its address is unknown; the sender includes it until it gets an answer
    const member to = *sender;
    switch (frame.kind) {
    case wire::frame_kind::ping: {
        wire::frame ack = make_frame(now, wire::frame_kind::ack);
        ack.sequence = frame.sequence;
        send(now, to, ack, out);
        break;
    }
    case wire::frame_kind::ack:
        handle_ack(now, frame, out);
        break;
    case wire::frame_kind::ping_request:
        relay_ping(now, frame, out);
        break;
    case wire::frame_kind::sync_request:
        reply_to_sync(now, to, out);
        break;
    default:
        break; // messages for other components, and kinds of newer versions
    }
    const bool differs = frame.__isset.member_digest && frame.member_digest != table_digest();
    if (differs && now >= m_next_sync) {
        const bool starting = now - m_started < startup_period;
        m_next_sync =
            now + (starting ? m_settings.initial_sync_interval : m_settings.sync_interval);
        wire::frame request = make_frame(now, wire::frame_kind::sync_request);
        request.members.push_back(to_wire(m_self));
        request.__isset.members = true;
        send(now, to, request, out);
    }
}

membership_commands membership_core::publish(time_point now, const rumor& item)
{
    membership_commands out;
    rumor own = item;
    if (auto* reported = std::get_if<demand>(&own))
        reported->node = wire_key(m_self.node.value());
    apply_rumor(now, duration{0}, std::move(own), out);
    // A node's own rumors are not reported to it.
    std::erase_if(
        out, [](const auto& command) { return std::holds_alternative<rumor_received>(command); });
    // One end of a server brings many notices, which leave together at the next tick.
    if (!std::holds_alternative<content_notice>(item))
        push_urgent(now, out);
    return out;
}

membership_commands membership_core::config_installed(time_point now, config_revision installed,
                                                      bool platform_lost)
{
    membership_commands out;
    const bool higher = installed > m_config.revision;
    const bool changed = higher || platform_lost != m_config.platform_lost;
    m_config = {std::max(installed, m_config.revision), platform_lost};
    if (!changed)
        return out;
    m_rumors.insert_if_newer(
        confirmation{wire_key(m_self.node.value()), m_config.revision, platform_lost, duration{0}},
        now, now, m_members.size());
    m_urgent_pending = m_urgent_pending || higher;
    push_urgent(now, out);
    return out;
}

membership_commands membership_core::send_config(time_point now, const node_id& to,
                                                 const config_body& body)
{
    membership_commands out;
    const member* known = m_members.find(to);
    if (known == nullptr)
        return out;
    const member peer = *known;
    if (const auto* request = std::get_if<config_request>(&body)) {
        wire::frame frame = make_frame(now, wire::frame_kind::config_request);
        wire::config_request wire_request;
        wire_request.base = request->base.value();
        wire_request.__set_digests(request->digests);
        frame.__set_request(wire_request);
        send(now, peer, frame, out);
    }
    if (const auto* reply = std::get_if<config_reply>(&body)) {
        wire::frame frame = make_frame(now, wire::frame_kind::config_reply);
        wire::config_reply wire_reply;
        wire_reply.revision = reply->revision.value();
        if (!reply->head.empty())
            wire_reply.__set_head(reply->head);
        if (!reply->delta.empty())
            wire_reply.__set_delta(reply->delta);
        std::vector<wire::config_page> pages;
        for (const config_page& page : reply->pages) {
            wire::config_page wire_page;
            wire_page.digest = page.digest;
            wire_page.bytes = page.bytes;
            pages.push_back(std::move(wire_page));
        }
        wire_reply.__set_pages(pages);
        frame.__set_reply(wire_reply);
        send(now, peer, frame, out);
    }
    return out;
}

membership_commands membership_core::ping_nodes(time_point now, const std::vector<node_id>& nodes)
{
    membership_commands out;
    for (const node_id& node : nodes) {
        const member* known = m_members.find(node);
        if (known != nullptr)
            send_simple_frame(now, member{*known}, wire::frame_kind::ping, out);
    }
    return out;
}

membership_commands membership_core::leave(time_point now)
{
    membership_commands out;
    m_leaving = true;
    m_self.state = member_state::left;
    refresh_views(now);
    for (const node_id& target : urgent_targets()) {
        wire::frame frame = make_frame(now, wire::frame_kind::rumor);
        frame.members.push_back(to_wire(m_self));
        frame.__isset.members = true;
        send(now, member{*m_members.find(target)}, frame, out);
    }
    return out;
}

// If each node pushes once to six random members, about one node in 400 (e^-6) is missed and waits
// up to one second for a ping. A second push one tick later reduces this to one in 100,000.
void membership_core::push_urgent(time_point now, membership_commands& out)
{
    if (m_leaving)
        return;
    if (m_urgent_pending) {
        m_urgent_pending = false;
        m_second_push_at = now + push_interval;
        push_once(now, out);
    }
    else if (m_second_push_at && now >= *m_second_push_at) {
        m_second_push_at.reset();
        push_once(now, out);
    }
}

void membership_core::push_once(time_point now, membership_commands& out)
{
    refresh_views(now);
    for (const node_id& target : urgent_targets()) {
        if (!m_rumors.consume_urgent_budget(urgent_frame_bytes, now))
            break;
        send_simple_frame(now, member{*m_members.find(target)}, wire::frame_kind::rumor, out);
    }
}

std::vector<node_id> membership_core::urgent_targets()
{
    std::vector<node_id> targets = pick(m_own_live, m_settings.fan_out);
    for (const domain_view& other : m_domains) {
        if (!other.bridged)
            continue;
        for (const node_id& node : pick(other.live, m_settings.bridges))
            targets.push_back(node);
    }
    return targets;
}

} // namespace jaynotch
