// Which daemons are alive, and what they tell one another: the decision core.
//
//   membership_core core{settings, random_source{seed}};
//   run(core.tick(now));                         // about ten times a second
//   run(core.frame_received(now, from, bytes));
//   // run() carries out send_frame and hands member_changed, rumor_heard and config_message on
#pragma once

#include "base/base.h"
#include "peers/frame.h"
#include "peers/payload.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

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

struct membership_settings {
    std::string deployment;
    member self;
    duration probe_interval = std::chrono::seconds{1};
    duration probe_timeout = std::chrono::milliseconds{300}; ///< then others are asked to probe
    duration suspicion = std::chrono::seconds{4};            ///< before a suspect is called dead
    duration forget_after = std::chrono::hours{6};           ///< of members dead or left
    std::size_t indirect_probes = 3;
    std::size_t fan_out = 6;      ///< peers that an urgent rumor goes to at once
    std::size_t bridges = 2;      ///< nodes of a domain that talk to each other domain
    double rumor_bytes_s = 900.0; ///< bytes a second that rumors may take of what is sent
    std::size_t rumor_frame_bytes = 1200;
};

// Commands.
struct send_frame {
    node_id to;          ///< empty: whoever answers at the address (a seed)
    std::string address; ///< "IP:port"
    std::string bytes;
};
struct member_changed {
    member now;
};
struct rumor_heard {
    rumor item;
};
/// A newer process holds this node's name; this one is to stop serving.
struct superseded {
    std::uint64_t boot = 0;
};
using membership_command =
    std::variant<send_frame, member_changed, rumor_heard, config_message, superseded>;
using membership_commands = std::vector<membership_command>;

} // namespace jaynotch
