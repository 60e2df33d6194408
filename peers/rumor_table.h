// What this node knows and passes on: the newest of each thing, each told a few times, within a
// budget of bytes a second.
//
//   if (table.offer(item, observed, now)) ...      // news; it will be passed on
//   table.fill(frame, now);                        // adds what the budget allows
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

/// Everything that is passed from node to node.
using gossip_item =
    std::variant<member, ticket_digest, demand, leaving, confirmation, key_notice, server_limit>;

/// Most things kept; the newest of each kind at 410 nodes and 200 groups is 3,000 or so.
inline constexpr std::size_t max_rumors = 8192;

struct rumor_budget {
    double bytes_s = 900.0;
    std::size_t frame_bytes = 1200;
    double urgent_bytes_s = 500.0;  ///< of frames that are sent for urgent news alone
    double urgent_burst = 50'000.0; ///< bytes; some 25 changes in quick succession
};

class rumor_table {
public:
    explicit rumor_table(rumor_budget budget)
        : m_budget{budget}, m_tokens{burst()}, m_urgent_tokens{budget.urgent_burst}
    {}

    /// Takes in what was observed at `observed`; true if it is news. `fleet` is the number of
    /// members, which sets how often important items are told.
    bool insert_if_newer(const gossip_item& item, time_point observed, time_point now,
                         std::size_t fleet);
    /// Adds items to the frame, most important and least told first.
    void fill(wire::frame& frame, time_point now);
    /// Drops what is too old to be of use.
    void expire(time_point now);
    /// Whether something urgent may be sent now; takes `bytes` from the budget if so.
    bool consume_urgent_budget(std::size_t bytes, time_point now);
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    static constexpr std::size_t priority_levels = 3;
    struct item_key {
        std::size_t kind = 0;
        std::uint64_t name = 0;
        friend auto operator<=>(const item_key&, const item_key&) = default;
    };
    struct entry {
        gossip_item item;
        time_point observed;
        std::size_t transmissions_left = 0;
        std::size_t priority = 0; ///< 0 is told first
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

/// Ages in frames count tenths of a second, rounded up so that a rumor never looks newer than it
/// is; the largest one stands for anything older.
std::int16_t wire_age(duration age) noexcept;
duration from_wire_age(std::int16_t age) noexcept;

/// Limits in frames count thousandths of a request a second.
std::int32_t limit_to_wire(double per_second) noexcept;
double limit_from_wire(std::int32_t milli_per_second) noexcept;

/// Conversions of members between the frame and the core.
wire::member_update to_wire(const member& known);
member from_wire(const wire::member_update& received);

} // namespace jaynotch
