// Infection-style spreading (Demers et al. 1987; SWIM's piggy-backing). Each node tells each news a
// bounded number of times. Leaving servers, tickets that are gone and membership are told 3 log2(n)
// times, which reaches everyone with high probability; loads and confirmations are told a few
// times, since newer ones follow or they can be asked for.
//
// Why an old rumor can't come back: an item counts as news only if it was observed later than the
// known one by more than `age_slack`. Ages are rounded up on each hop and grow by the time that a
// node holds the item, so the same observation only ever looks older; what is not accounted for is
// the flight time, and a frame that was stuck is aged by its estimated delay (membership.cc).
#include "peers/rumor_table.h"

#include "peers/member_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jaynotch {

namespace {

constexpr double milli = 1'000.0;
constexpr duration age_unit = std::chrono::milliseconds{100};
constexpr duration age_slack = std::chrono::milliseconds{250};
constexpr duration status_life = std::chrono::seconds{120}; ///< of tickets and demand
constexpr duration notice_life = std::chrono::hours{1};     ///< of the rest
constexpr std::size_t status_sends = 3;
constexpr std::size_t confirmation_sends = 2;

constexpr double urgent_room = 120.0;
constexpr std::size_t first_class = 0;
constexpr std::size_t second_class = 1;
constexpr std::size_t third_class = 2;

template <class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

std::uint64_t combine(std::uint32_t a, std::uint32_t b, std::uint32_t c)
{
    const std::array<std::uint32_t, 3> parts{a, b, c};
    return hash64({reinterpret_cast<const char*>(parts.data()), sizeof parts});
}

std::size_t rank_of(const spread_item& item)
{
    return std::visit(
        overloaded{
            [](const member&) { return second_class; },
            [](const leaving&) { return first_class; },
            [](const ticket_digest& ticket) { return ticket.complete ? third_class : first_class; },
            [](const demand&) { return third_class; },
            [](const confirmation&) { return third_class; },
            [](const key_notice&) { return second_class; },
            [](const server_limit&) { return second_class; },
        },
        item);
}

std::size_t sends_of(const spread_item& item, std::size_t fleet)
{
    if (rank_of(item) != third_class)
        return 3 * static_cast<std::size_t>(std::ceil(std::log2(static_cast<double>(fleet) + 2.0)));
    return std::holds_alternative<confirmation>(item) ? confirmation_sends : status_sends;
}

duration life_of(const spread_item& item)
{
    const bool status = std::holds_alternative<ticket_digest>(item) ||
                        std::holds_alternative<demand>(item) ||
                        std::holds_alternative<server_limit>(item);
    return status ? status_life : notice_life;
}

// About what the item takes in a frame; the exact sizes are checked by the byte-count test.
std::size_t bytes_of(const spread_item& item)
{
    constexpr std::size_t ticket_bytes = 17;
    constexpr std::size_t demand_bytes = 28;
    constexpr std::size_t confirmation_bytes = 14;
    constexpr std::size_t notice_bytes = 14;
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
            [](const leaving& gone) { return name_overhead + gone.server.size(); },
            [](const confirmation&) { return confirmation_bytes; },
            [](const key_notice&) { return notice_bytes; },
            [](const server_limit& told) { return name_overhead + told.server.size(); },
        },
        item);
}

bool ticket_is_news(const ticket_digest& heard, const ticket_digest& known, duration later)
{
    if (heard.fencing != known.fencing)
        return heard.fencing > known.fencing;
    // Within the slack nobody can say which came last: then the ticket counts as gone, since a
    // whole group left out for a moment is harmless and a partial one that serves is not.
    if (!heard.complete && known.complete)
        return later > -age_slack;
    if (heard.complete && !known.complete)
        return later > 2 * age_slack;
    return later > age_slack;
}

bool confirmation_is_news(const confirmation& heard, const confirmation& known, duration later)
{
    if (heard.revision > known.revision)
        return true;
    const bool same =
        heard.revision == known.revision && heard.platform_lost == known.platform_lost;
    return !same && later > age_slack;
}

void append(wire::frame& frame, const spread_item& item, duration age)
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
                   [&](const demand& wanted) {
                       wire::demand out;
                       out.node = static_cast<std::int32_t>(wanted.node);
                       out.pool = static_cast<std::int32_t>(wanted.pool);
                       out.workspace = static_cast<std::int32_t>(wanted.workspace);
                       out.in_flight = static_cast<std::int32_t>(wanted.in_flight);
                       out.arrivals = static_cast<std::int32_t>(
                           std::lround(std::clamp(wanted.arrivals, 0.0, 1e8) * 10.0));
                       out.age = wire_age(age);
                       frame.demands.push_back(out);
                       frame.__isset.demands = true;
                   },
                   [&](const leaving& item_out) {
                       wire::leaving out;
                       out.server = item_out.server;
                       out.age = wire_age(age);
                       frame.leavings.push_back(out);
                       frame.__isset.leavings = true;
                   },
                   [&](const server_limit& told) {
                       wire::server_limit out;
                       out.server = told.server;
                       if (told.per_second)
                           out.__set_per_second_milli(limit_to_wire(*told.per_second));
                       out.age = wire_age(age);
                       frame.limits.push_back(out);
                       frame.__isset.limits = true;
                   },
                   [&](const key_notice& told) {
                       wire::key_notice out;
                       out.key = static_cast<std::int32_t>(told.key);
                       out.revision = told.revision;
                       out.age = wire_age(age);
                       frame.notices.push_back(out);
                       frame.__isset.notices = true;
                   },
                   [&](const confirmation& told) {
                       wire::confirmation out;
                       out.node = static_cast<std::int32_t>(told.node);
                       out.revision = told.revision.value();
                       out.__set_platform_lost(told.platform_lost);
                       out.__isset.platform_lost = told.platform_lost;
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
    constexpr std::int64_t most = std::numeric_limits<std::int16_t>::max();
    const std::int64_t units = (std::max(age, duration{0}) + age_unit - duration{1}) / age_unit;
    return static_cast<std::int16_t>(std::min(units, most));
}

duration from_wire_age(std::int16_t age) noexcept
{
    return std::max<int>(age, 0) * age_unit;
}

std::int32_t limit_to_wire(double per_second) noexcept
{
    constexpr double most = 2e9;
    return static_cast<std::int32_t>(std::lround(std::clamp(per_second * milli, 0.0, most)));
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
    return out;
}

member from_wire(const wire::member_update& heard)
{
    // A state that a newer version invented is read as alive: the safe guess is not to drop it.
    const int state = static_cast<int>(heard.state) - 1;
    const bool known = state >= 0 && state <= static_cast<int>(member_state::left);
    return {node_id{heard.node},
            failure_domain_id{heard.failure_domain},
            heard.address,
            static_cast<std::uint64_t>(heard.boot),
            static_cast<std::uint32_t>(heard.incarnation),
            known ? static_cast<member_state>(state) : member_state::alive};
}

rumor_table::item_key rumor_table::key_of(const spread_item& item)
{
    const std::uint64_t name =
        std::visit(overloaded{
                       [](const member& known) { return hash64(known.node.value()); },
                       [](const ticket_digest& ticket) { return std::uint64_t{ticket.group}; },
                       [](const demand& wanted) {
                           return combine(wanted.node, wanted.pool, wanted.workspace);
                       },
                       [](const leaving& gone) { return hash64(gone.server); },
                       [](const confirmation& told) { return std::uint64_t{told.node}; },
                       [](const key_notice& told) { return std::uint64_t{told.key}; },
                       [](const server_limit& told) { return hash64(told.server); },
                   },
                   item);
    return {item.index(), name};
}

bool rumor_table::newer(const spread_item& heard, time_point observed, const entry& known)
{
    const duration later = observed - known.observed;
    return std::visit(
        overloaded{
            [&](const member& news) { return supersedes(news, std::get<member>(known.item)); },
            [&](const ticket_digest& news) {
                return ticket_is_news(news, std::get<ticket_digest>(known.item), later);
            },
            [&](const confirmation& news) {
                return confirmation_is_news(news, std::get<confirmation>(known.item), later);
            },
            [&](const key_notice& news) {
                return news.revision > std::get<key_notice>(known.item).revision;
            },
            [&](const server_limit& news) {
                const bool same = news.per_second == std::get<server_limit>(known.item).per_second;
                return later > (same ? age_slack : duration{0});
            },
            [&](const auto&) { return later > age_slack; },
        },
        heard);
}

bool rumor_table::offer(const spread_item& item, time_point observed, time_point now,
                        std::size_t fleet)
{
    if (now - observed >= life_of(item))
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
    entry& held = found->second;
    const std::size_t rank = rank_of(item);
    if (!held.queued || held.rank != rank)
        m_queues.at(rank).push_back(key);
    held = {item, observed, sends_of(item, fleet), rank, true};
    return true;
}

void rumor_table::fill(wire::frame& frame, time_point now)
{
    refill(now);
    double used = 0.0;
    const double spare = std::min(m_tokens, static_cast<double>(m_budget.frame_bytes));
    for (std::size_t rank = 0; rank < classes; ++rank) {
        // Urgent news goes out even on an overdrawn budget, a little of it in each frame.
        double room = rank == first_class ? std::max(spare, urgent_room) : spare - used;
        auto& queue = m_queues.at(rank);
        for (std::size_t left = queue.size(); left > 0 && room > 0.0; --left) {
            const item_key key = queue.front();
            queue.pop_front();
            const auto found = m_entries.find(key);
            // The item has gone, or waits in another queue since its rank changed.
            if (found == m_entries.end() || found->second.rank != rank || !found->second.queued)
                continue;
            entry& held = found->second;
            append(frame, held.item, now - held.observed);
            const auto bytes = static_cast<double>(bytes_of(held.item));
            room -= bytes;
            used += bytes;
            m_tokens -= bytes;
            held.queued = --held.sends_left > 0;
            if (held.queued)
                queue.push_back(key);
        }
    }
}

void rumor_table::expire(time_point now)
{
    std::erase_if(m_entries, [&](const auto& item) {
        return now - item.second.observed >= life_of(item.second.item);
    });
}

bool rumor_table::take_urgent(std::size_t bytes, time_point now)
{
    refill(now);
    // A budget of its own, since loads always use theirs up; a flood of urgent news waits for
    // pings.
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
