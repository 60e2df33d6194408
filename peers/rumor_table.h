// The gossip items that this node forwards to its peers: the newest one about each subject, sent a
// bounded number of times, within a budget of bytes per second.
//
//   if (table.insert_if_newer(item, observed, now, fleet)) ...  // new; it will be forwarded
//   table.fill(frame, now);                                     // adds what the budget allows
#pragma once

#include "base/base.h"
#include "peers/gen/peers_types.h"
#include "peers/member.h"
#include "peers/payload.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <variant>

namespace jaynotch {

/// Every kind of item that is forwarded from node to node.
using gossip_item = std::variant<member, ticket_digest, demand, leaving, confirmation, key_notice,
                                 server_limit, content_notice>;

/// Maximum number of items in a table. A fleet of 410 nodes and 200 groups needs about 3,000.
inline constexpr std::size_t max_rumors = 8192;

struct rumor_budget {
    double bytes_s = 900.0;         ///< bytes per second
    std::size_t frame_bytes = 1200; ///< maximum added to one frame by fill()
    double urgent_bytes_s = 500.0;  ///< for frames sent only to deliver urgent items
    double urgent_burst = 50'000.0; ///< bytes; about 25 changes in quick succession
};

class rumor_table {
public:
    explicit rumor_table(rumor_budget budget)
        : m_budget{budget}, m_tokens{burst()}, m_urgent_tokens{budget.urgent_burst}
    {}

    /// Stores the item, which was observed at `observed`, if it is newer than the known one about
    /// the same subject. Returns whether it was stored. The number of members, `fleet`, determines
    /// how often items of high priority are sent.
    bool insert_if_newer(const gossip_item& item, time_point observed, time_point now,
                         std::size_t fleet);
    /// Adds items to the frame in order of priority, and within a priority in round-robin order.
    void fill(wire::frame& frame, time_point now);
    /// Removes items older than the time-to-live of their kind.
    void expire(time_point now);
    /// Returns whether an urgent frame may be sent now, and if so deducts `bytes` from its budget.
    bool consume_urgent_budget(std::size_t bytes, time_point now);
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    static constexpr std::size_t priority_levels = 3;
    struct item_key {
        std::size_t kind = 0;   ///< index in gossip_item
        std::uint64_t name = 0; ///< hash that identifies the subject among items of the kind
        friend auto operator<=>(const item_key&, const item_key&) = default;
    };
    struct entry {
        gossip_item item;
        time_point observed;
        std::size_t transmissions_left = 0;
        std::size_t priority = 0; ///< 0 is sent first
        bool queued = false;
    };
    static item_key key_of(const gossip_item& item);
    static bool newer(const gossip_item& received, time_point observed, const entry& known);
    [[nodiscard]] double burst() const { return 2.0 * m_budget.bytes_s; }
    void refill(time_point now);

    rumor_budget m_budget;
    double m_tokens = 0.0;
    double m_urgent_tokens = 0.0;
    time_point m_refilled{};
    std::map<item_key, entry> m_entries;
    std::array<std::deque<item_key>, priority_levels> m_queues;
};

/// Converts an age to tenths of a second as used in frames. Rounds up, so that an item never looks
/// newer than it is; ages above the maximum become the maximum.
std::int16_t wire_age(duration age) noexcept;
duration from_wire_age(std::int16_t age) noexcept;

/// Converts a rate limit from and to thousandths of a request per second as used in frames.
std::int32_t limit_to_wire(double per_second) noexcept;
double limit_from_wire(std::int32_t milli_per_second) noexcept;

/// Converts a duration to and from tenths of a second, without the limit of an age.
std::int32_t tenths(duration time) noexcept;
duration from_tenths(std::int32_t units) noexcept;

/// Converts a member to and from its representation in frames.
wire::member_update to_wire(const member& known);
member from_wire(const wire::member_update& received);

} // namespace jaynotch
