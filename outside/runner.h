// A backend server as it describes itself in the platform's registry, and the orders that a member
// of a group takes. Plain data in our own terms; `platform/` translates it from and to the wire.
//
//   const runner& seen = roster.at(id);
//   if (seen.group && seen.group->phase == member_phase::open) ...   // the head of a serving group
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

/// How far a member has come in its group.
enum class member_phase {
    joining, ///< loads or warms up
    ready,   ///< loaded; a head that is ready serves nothing yet
    open,    ///< a head that serves requests
    closing, ///< a head that finishes what it has and takes nothing new
    broken,  ///< a head that has lost a member and refuses everything
};

template <>
struct enum_names<member_phase> {
    static constexpr std::array entries{
        named{member_phase::joining, "joining"}, named{member_phase::ready, "ready"},
        named{member_phase::open, "open"},       named{member_phase::closing, "closing"},
        named{member_phase::broken, "broken"},
    };
};

/// Which group a runner is in, by its own word.
struct membership {
    group_id group;
    std::int64_t epoch = 0; ///< tells one composition of a group from the next
    std::uint32_t rank = 0; ///< 0 is the head, which alone takes requests
    member_phase phase = member_phase::joining;

    friend bool operator==(const membership&, const membership&) = default;
};

/// One start of a backend server. A server that starts again under its old id has another `born`.
struct runner {
    vm_id id;
    std::string service; ///< what it belongs to; pools of that service are its own
    std::string address; ///< "IP:port"
    failure_domain_id failure_domain;
    fabric_domain_id fabric_domain;  ///< empty for plain servers
    std::int64_t born_ms = 0;        ///< time of day of its start, by its own clock
    std::uint32_t places = 0;        ///< requests at once
    bool leaving = false;            ///< takes nothing new
    std::vector<std::string> staged; ///< models whose weights lie on its host
    std::string model;               ///< model that is loaded, empty if none is
    std::optional<membership> group;

    /// Whether it is one of a model's runners.
    [[nodiscard]] bool joins_groups() const { return !fabric_domain.value().empty(); }
    friend bool operator==(const runner&, const runner&) = default;
};

/// What a runner says of its group when it is asked itself, not through the registry.
struct runner_word {
    vm_id vm;
    std::int64_t born_ms = 0; ///< of the start that it holds for; 0 if it does not say
    std::optional<membership> group;
    std::string model; ///< loaded; empty if none is

    friend bool operator==(const runner_word&, const runner_word&) = default;
};

/// What a runner answers when it is asked itself. It may be some 100 ms old.
struct runner_report {
    runner_word word;
    std::int64_t orders = 0; ///< that it had begun in this start when the word held
};

/// Makes the runner a member of a group; each member gets the same list.
struct join_group {
    group_id group;
    std::int64_t epoch = 0;
    std::string model;
    std::vector<vm_id> members; ///< by rank
    /// A misfit unless the runner has begun just so many orders in this start. So a join that is
    /// carried out late, or was ordered on an old belief, moves nobody.
    std::optional<std::int64_t> expected_order_count;
};
/// Has a head whose members are all ready begin to serve.
struct open_group {
    group_id group;
    std::int64_t epoch = 0;
};
/// Has a head finish what it has and take nothing new; then it is ready again.
struct close_group {
    group_id group;
    std::int64_t epoch = 0;
};
/// Takes the runner out of a group at once.
struct leave_group {
    group_id group;
    std::int64_t epoch = 0;
};
/// Brings a model's weights onto the runner's host, beside whatever else it does.
struct stage_model {
    std::string model;
};
using member_order = std::variant<join_group, open_group, close_group, leave_group, stage_model>;

/// What a runner says to an order.
enum class order_reply {
    begun,     ///< it is being carried out
    holds,     ///< the state is already as ordered
    misfit,    ///< it does not fit the runner's state
    outdated,  ///< a newer fencing number or epoch is known there
    elsewhere, ///< another runner answers at that address
    lost,      ///< no answer: it may be carried out, also seconds later
};

template <>
struct enum_names<order_reply> {
    static constexpr std::array entries{
        named{order_reply::begun, "begun"},         named{order_reply::holds, "holds"},
        named{order_reply::misfit, "misfit"},       named{order_reply::outdated, "outdated"},
        named{order_reply::elsewhere, "elsewhere"}, named{order_reply::lost, "lost"},
    };
};

} // namespace jaynotch
