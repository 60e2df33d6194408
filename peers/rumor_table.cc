// Epidemic dissemination (Demers et al. 1987), piggybacked on the frames of the failure detector as
// in SWIM. Each node sends each item a bounded number of times. Items of high and middle priority
// (leaving servers, incomplete tickets, contents that end servers, members, key notices and server
// limits) are sent 3 log2(n)
// times, which reaches all nodes with high probability. Complete tickets, demand and confirmations
// are sent two or three times, since newer ones follow or they can be requested.
//
// Why an outdated item can't return: an item replaces the known one only if it has a higher
// revision, fencing number or incarnation, or was observed later by more than `age_slack`
// (is_newer_ticket() and newer() list the exceptions). Ages are rounded up on each hop and include
// the time that each node has kept the item, so an observation only ever looks older. The time on
// the network is not included, but a frame that was delayed has its estimated delay added to the
// ages of its items (membership.cc), and the slack covers the rest.
#include "peers/rumor_table.h"

#include "peers/member_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jaynotch {

namespace {

constexpr double milli = 1'000.0; ///< thousandths per unit
constexpr duration age_unit = std::chrono::milliseconds{100};
/// Error of an item's observation time that is not accounted for by its age.
constexpr duration age_slack = std::chrono::milliseconds{250};
constexpr duration status_ttl = std::chrono::seconds{120}; ///< of tickets, demand and limits
constexpr duration default_ttl = std::chrono::hours{1};    ///< of all other items
constexpr std::size_t status_transmissions = 3;
constexpr std::size_t confirmation_transmissions = 2;

/// Bytes of urgent items that a frame may carry even if the budget is used up.
constexpr double min_urgent_bytes = 120.0;
constexpr std::size_t highest_priority = 0;
constexpr std::size_t middle_priority = 1;
constexpr std::size_t lowest_priority = 2;

template <class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

std::uint64_t hash_parts(std::uint32_t a, std::uint32_t b, std::uint32_t c)
{
    const std::array<std::uint32_t, 3> parts{a, b, c};
    return hash64({reinterpret_cast<const char*>(parts.data()), sizeof parts});
}

std::size_t priority_of(const gossip_item& item)
{
    return std::visit(overloaded{
                          [](const member&) { return middle_priority; },
                          [](const leaving&) { return highest_priority; },
                          [](const ticket_digest& ticket) {
                              return ticket.complete ? lowest_priority : highest_priority;
                          },
                          [](const demand&) { return lowest_priority; },
                          [](const confirmation&) { return lowest_priority; },
                          [](const key_notice&) { return middle_priority; },
                          [](const server_limit&) { return middle_priority; },
                          [](const content_notice&) { return highest_priority; },
                      },
                      item);
}

std::size_t transmissions_for(const gossip_item& item, std::size_t fleet)
{
    if (priority_of(item) != lowest_priority)
        return 3 * static_cast<std::size_t>(std::ceil(std::log2(static_cast<double>(fleet) + 2.0)));
    return std::holds_alternative<confirmation>(item) ? confirmation_transmissions
                                                      : status_transmissions;
}

duration ttl_of(const gossip_item& item)
{
    const bool status =
        std::holds_alternative<ticket_digest>(item) || std::holds_alternative<demand>(item) ||
        std::holds_alternative<server_limit>(item) || std::holds_alternative<content_notice>(item);
    return status ? status_ttl : default_ttl;
}

// Approximate size of the item in a frame. The test of bytes per second in membership_test.cc
// measures the actual sizes.
std::size_t estimated_bytes(const gossip_item& item)
{
    constexpr std::size_t ticket_bytes = 17;
    constexpr std::size_t demand_bytes = 28;
    constexpr std::size_t confirmation_bytes = 14;
    constexpr std::size_t notice_bytes = 14;
    constexpr std::size_t content_bytes = 20;
    constexpr std::size_t name_overhead = 8;
    constexpr std::size_t member_overhead = 24;
    return std::visit(
        overloaded{
            [](const member& known) {
                return member_overhead + known.node.value().size() +
                       known.failure_domain.value().size() + known.address.size();
            },
            [](const ticket_digest&) { return ticket_bytes; },
            [](const demand&) { return demand_bytes; },
            [](const leaving& notice) { return name_overhead + notice.server.size(); },
            [](const confirmation&) { return confirmation_bytes; },
            [](const key_notice&) { return notice_bytes; },
            [](const server_limit& limit) { return name_overhead + limit.server.size(); },
            [](const content_notice&) { return content_bytes; },
        },
        item);
}

bool is_newer_ticket(const ticket_digest& received, const ticket_digest& known,
                     duration time_difference)
{
    if (received.fencing != known.fencing)
        return received.fencing > known.fencing;
    // Within the slack the order of two observations is unknown, so the ticket counts as
    // incomplete: not using a complete group for a moment is harmless, using an incomplete one is
    // not.
    if (!received.complete && known.complete)
        return time_difference > -age_slack;
    if (received.complete && !known.complete)
        return time_difference > 2 * age_slack;
    return time_difference > age_slack;
}

bool is_newer_confirmation(const confirmation& received, const confirmation& known,
                           duration time_difference)
{
    if (received.revision > known.revision)
        return true;
    const bool same =
        received.revision == known.revision && received.platform_lost == known.platform_lost;
    return !same && time_difference > age_slack;
}

void append(wire::frame& frame, const gossip_item& item, duration age)
{
    std::visit(overloaded{
                   [&](const member& known) {
                       frame.members.push_back(to_wire(known));
                       frame.__isset.members = true;
                   },
                   [&](const ticket_digest& ticket) {
                       wire::ticket_digest out;
                       out.group = static_cast<std::int32_t>(ticket.group);
                       out.fencing = ticket.fencing.value();
                       out.load = static_cast<std::int16_t>(std::min<int>(ticket.load, 10'000));
                       out.complete = ticket.complete;
                       out.age = wire_age(age);
                       frame.tickets.push_back(out);
                       frame.__isset.tickets = true;
                   },
                   [&](const demand& reported) {
                       wire::demand out;
                       out.node = static_cast<std::int32_t>(reported.node);
                       out.pool = static_cast<std::int32_t>(reported.pool);
                       out.workspace = static_cast<std::int32_t>(reported.workspace);
                       out.in_flight = static_cast<std::int32_t>(reported.in_flight);
                       out.arrivals = static_cast<std::int32_t>(
                           std::lround(std::clamp(reported.arrivals, 0.0, 1e8) * 10.0));
                       out.age = wire_age(age);
                       frame.demands.push_back(out);
                       frame.__isset.demands = true;
                   },
                   [&](const leaving& notice) {
                       wire::leaving out;
                       out.server = notice.server;
                       out.age = wire_age(age);
                       frame.leavings.push_back(out);
                       frame.__isset.leavings = true;
                   },
                   [&](const server_limit& limit) {
                       wire::server_limit out;
                       out.server = limit.server;
                       if (limit.per_second)
                           out.__set_per_second_milli(limit_to_wire(*limit.per_second));
                       out.age = wire_age(age);
                       frame.limits.push_back(out);
                       frame.__isset.limits = true;
                   },
                   [&](const content_notice& notice) {
                       wire::content_notice out;
                       out.content = static_cast<std::int64_t>(notice.content);
                       out.fact =
                           static_cast<wire::content_fact::type>(static_cast<int>(notice.what) + 1);
                       if (notice.server != 0)
                           out.__set_server(static_cast<std::int32_t>(notice.server));
                       if (notice.since_end > duration{0})
                           out.__set_since_end(tenths(notice.since_end));
                       out.age = wire_age(age);
                       frame.contents.push_back(out);
                       frame.__isset.contents = true;
                   },
                   [&](const key_notice& notice) {
                       wire::key_notice out;
                       out.key = static_cast<std::int32_t>(notice.key);
                       out.revision = notice.revision;
                       out.age = wire_age(age);
                       frame.notices.push_back(out);
                       frame.__isset.notices = true;
                   },
                   [&](const confirmation& confirmed) {
                       wire::confirmation out;
                       out.node = static_cast<std::int32_t>(confirmed.node);
                       out.revision = confirmed.revision.value();
                       out.__set_platform_lost(confirmed.platform_lost);
                       out.__isset.platform_lost = confirmed.platform_lost;
                       out.age = wire_age(age);
                       frame.confirmations.push_back(out);
                       frame.__isset.confirmations = true;
                   },
               },
               item);
}

} // namespace

std::int16_t wire_age(duration age) noexcept
{
    constexpr std::int64_t max_units = std::numeric_limits<std::int16_t>::max();
    const std::int64_t units = (std::max(age, duration{0}) + age_unit - duration{1}) / age_unit;
    return static_cast<std::int16_t>(std::min(units, max_units));
}

duration from_wire_age(std::int16_t age) noexcept
{
    return std::max<int>(age, 0) * age_unit;
}

std::int32_t tenths(duration time) noexcept
{
    constexpr std::int64_t max_units = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(
        std::clamp<std::int64_t>(time / age_unit, std::int64_t{0}, max_units));
}

duration from_tenths(std::int32_t units) noexcept
{
    return std::max(units, 0) * age_unit;
}

std::int32_t limit_to_wire(double per_second) noexcept
{
    constexpr double max_value = 2e9;
    return static_cast<std::int32_t>(std::lround(std::clamp(per_second * milli, 0.0, max_value)));
}

double limit_from_wire(std::int32_t milli_per_second) noexcept
{
    return std::max(0, milli_per_second) / milli;
}

wire::member_update to_wire(const member& known)
{
    wire::member_update out;
    out.node = known.node.value();
    out.failure_domain = known.failure_domain.value();
    out.address = known.address;
    out.boot = static_cast<std::int64_t>(known.boot);
    out.incarnation = static_cast<std::int32_t>(known.incarnation);
    out.state = static_cast<wire::member_state::type>(static_cast<int>(known.state) + 1);
    if (known.relay_port != 0)
        out.__set_relay_port(known.relay_port);
    return out;
}

member from_wire(const wire::member_update& received)
{
    constexpr std::int32_t max_port = std::numeric_limits<std::uint16_t>::max();
    // An unknown state, of a newer version, is read as alive, which keeps the member in use.
    const int state = static_cast<int>(received.state) - 1;
    const bool known = state >= 0 && state <= static_cast<int>(member_state::left);
    return {node_id{received.node},
            failure_domain_id{received.failure_domain},
            received.address,
            static_cast<std::uint64_t>(received.boot),
            static_cast<std::uint32_t>(received.incarnation),
            known ? static_cast<member_state>(state) : member_state::alive,
            received.relay_port > 0 && received.relay_port <= max_port
                ? static_cast<std::uint16_t>(received.relay_port)
                : std::uint16_t{0}};
}

rumor_table::item_key rumor_table::key_of(const gossip_item& item)
{
    const std::uint64_t id =
        std::visit(overloaded{
                       [](const member& known) { return hash64(known.node.value()); },
                       [](const ticket_digest& ticket) { return std::uint64_t{ticket.group}; },
                       [](const demand& reported) {
                           return hash_parts(reported.node, reported.pool, reported.workspace);
                       },
                       [](const leaving& notice) { return hash64(notice.server); },
                       [](const confirmation& confirmed) { return std::uint64_t{confirmed.node}; },
                       [](const key_notice& notice) { return std::uint64_t{notice.key}; },
                       [](const server_limit& limit) { return hash64(limit.server); },
                       [](const content_notice& notice) {
                           const std::uint32_t fact = static_cast<std::uint32_t>(notice.what);
                           return notice.content ^ hash_parts(fact, notice.server, 0);
                       },
                   },
                   item);
    return {item.index(), id};
}

bool rumor_table::newer(const gossip_item& received, time_point observed, const entry& known)
{
    const duration time_difference = observed - known.observed;
    return std::visit(
        overloaded{
            [&](const member& update) { return supersedes(update, std::get<member>(known.item)); },
            [&](const ticket_digest& update) {
                return is_newer_ticket(update, std::get<ticket_digest>(known.item),
                                       time_difference);
            },
            [&](const confirmation& update) {
                return is_newer_confirmation(update, std::get<confirmation>(known.item),
                                             time_difference);
            },
            [&](const key_notice& update) {
                return update.revision > std::get<key_notice>(known.item).revision;
            },
            [&](const server_limit& update) {
                const bool same =
                    update.per_second == std::get<server_limit>(known.item).per_second;
                return time_difference > (same ? age_slack : duration{0});
            },
            [&](const auto&) { return time_difference > age_slack; },
        },
        received);
}

bool rumor_table::insert_if_newer(const gossip_item& item, time_point observed, time_point now,
                                  std::size_t fleet)
{
    if (now - observed >= ttl_of(item))
        return false;
    const item_key key = key_of(item);
    auto found = m_entries.find(key);
    if (found != m_entries.end() && !newer(item, observed, found->second))
        return false;
    if (found == m_entries.end()) {
        if (m_entries.size() >= max_rumors)
            return false;
        found = m_entries.emplace(key, entry{}).first;
    }
    entry& stored = found->second;
    const std::size_t priority = priority_of(item);
    if (!stored.queued || stored.priority != priority)
        m_queues.at(priority).push_back(key);
    stored = {item, observed, transmissions_for(item, fleet), priority, true};
    return true;
}

void rumor_table::fill(wire::frame& frame, time_point now)
{
    refill(now);
    double used_bytes = 0.0;
    const double available_bytes = std::min(m_tokens, static_cast<double>(m_budget.frame_bytes));
    for (std::size_t priority = 0; priority < priority_levels; ++priority) {
        // Urgent items may exceed the budget by a small amount in each frame.
        double remaining_bytes = priority == highest_priority
                                     ? std::max(available_bytes, min_urgent_bytes)
                                     : available_bytes - used_bytes;
        auto& queue = m_queues.at(priority);
        for (std::size_t left = queue.size(); left > 0 && remaining_bytes > 0.0; --left) {
            const item_key key = queue.front();
            queue.pop_front();
            const auto found = m_entries.find(key);
            // Skips a queue entry whose item has expired, has been sent often enough, or is in
            // another queue because its priority changed.
            if (found == m_entries.end() || found->second.priority != priority ||
                !found->second.queued)
                continue;
            entry& stored = found->second;
            append(frame, stored.item, now - stored.observed);
            const auto bytes = static_cast<double>(estimated_bytes(stored.item));
            remaining_bytes -= bytes;
            used_bytes += bytes;
            m_tokens -= bytes;
            stored.queued = --stored.transmissions_left > 0;
            if (stored.queued)
                queue.push_back(key);
        }
    }
}

void rumor_table::expire(time_point now)
{
    std::erase_if(m_entries, [&](const auto& item) {
        return now - item.second.observed >= ttl_of(item.second.item);
    });
}

bool rumor_table::consume_urgent_budget(std::size_t bytes, time_point now)
{
    refill(now);
    // Urgent frames have a separate budget because load reports always use up the common one. When
    // it is exhausted, urgent items are sent with the next pings.
    if (m_urgent_tokens < 0.0)
        return false;
    m_urgent_tokens -= static_cast<double>(bytes);
    return true;
}

void rumor_table::refill(time_point now)
{
    if (m_refilled != time_point{}) {
        const double seconds = std::chrono::duration<double>(now - m_refilled).count();
        m_tokens = std::min(burst(), m_tokens + seconds * m_budget.bytes_s);
        m_urgent_tokens =
            std::min(m_budget.urgent_burst, m_urgent_tokens + seconds * m_budget.urgent_bytes_s);
    }
    m_refilled = now;
}

} // namespace jaynotch
