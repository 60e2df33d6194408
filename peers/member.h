// A daemon of the fleet as recorded in another daemon's member table.
#pragma once

#include "base/base.h"

#include <cstdint>
#include <string>

namespace jaynotch {

enum class member_state { alive, suspect, dead, left };

template <>
struct enum_names<member_state> {
    static constexpr std::array entries{
        named{member_state::alive, "alive"},
        named{member_state::suspect, "suspect"},
        named{member_state::dead, "dead"},
        named{member_state::left, "left"},
    };
};

/// What this node knows about one daemon.
struct member {
    node_id node;
    failure_domain_id failure_domain;
    std::string address;           ///< "IP:port" on which it accepts peer connections
    std::uint64_t boot = 0;        ///< increases with each start; the higher one is current
    std::uint32_t incarnation = 0; ///< increased by the member itself to refute a suspicion
    member_state state = member_state::alive;
    /// Port of `address`'s IP on which it accepts requests that other nodes pass on; 0 for none.
    std::uint16_t relay_port = 0;

    /// True if the member is alive or suspected, but not declared dead.
    [[nodiscard]] bool live() const
    {
        return state == member_state::alive || state == member_state::suspect;
    }
    friend bool operator==(const member&, const member&) = default;
};

} // namespace jaynotch
