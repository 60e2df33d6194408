// One daemon as another one knows it.
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

/// One daemon as this node knows it.
struct member {
    node_id node;
    failure_domain_id failure_domain;
    std::string address;           ///< "IP:port" of its peer port
    std::uint64_t boot = 0;        ///< grows with each start; the higher one wins
    std::uint32_t incarnation = 0; ///< raised by the member itself to refute a suspicion
    member_state state = member_state::alive;

    /// Alive or only suspected.
    [[nodiscard]] bool live() const
    {
        return state == member_state::alive || state == member_state::suspect;
    }
    friend bool operator==(const member&, const member&) = default;
};

} // namespace jaynotch
