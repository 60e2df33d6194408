// A backend server (runner) as described by its entry in the platform's registry, and the orders
// that members of a group receive. Wire-independent data; `platform/` translates it from and to the
// wire.
//
//   const runner& one = runners.at(id);
//   if (one.group && one.group->phase == member_phase::open) ...   // the head of a serving group
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

/// State of a member of a group.
enum class member_phase {
    joining, ///< loading weights or warming up
    ready,   ///< loaded; a head in this phase does not serve yet
    open,    ///< a head that serves requests
    closing, ///< a head that finishes its requests and accepts no new ones
    broken,  ///< a head that has lost a member and refuses all requests
};

template <>
struct enum_names<member_phase> {
    static constexpr std::array entries{
        named{member_phase::joining, "joining"}, named{member_phase::ready, "ready"},
        named{member_phase::open, "open"},       named{member_phase::closing, "closing"},
        named{member_phase::broken, "broken"},
    };
};

/// Membership in a group, as the runner reports it.
struct membership {
    group_id group;
    std::int64_t epoch = 0; ///< distinguishes successive member lists of a group
    std::uint32_t rank = 0; ///< 0 is the head, the only member that receives requests
    member_phase phase = member_phase::joining;

    friend bool operator==(const membership&, const membership&) = default;
};

/// One process of a backend server. A restarted server with the same id has another `born_ms`.
struct runner {
    vm_id id;
    std::string service; ///< service it belongs to; it serves pools of that service only
    std::string address; ///< "IP:port"
    failure_domain_id failure_domain;
    fabric_domain_id fabric_domain; ///< empty for plain servers
    std::int64_t born_ms = 0;       ///< wall-clock time of its start, by its own clock
    std::uint32_t places = 0;       ///< requests that it serves concurrently
    bool leaving = false;           ///< draining: accepts no new requests
    /// How much longer it stays cold, when its entry was written; see pool::cold_per_s.
    std::chrono::milliseconds cold_left{0};
    std::vector<std::string> staged; ///< models whose weights are on its host
    std::string model;               ///< loaded model; empty if none
    std::optional<membership> group;

    /// Whether it is a runner of models, which serve in groups, and not a plain server.
    [[nodiscard]] bool joins_groups() const { return !fabric_domain.value().empty(); }
    friend bool operator==(const runner&, const runner&) = default;
};

/// State that a runner reports when it is queried directly, not through the registry.
struct runner_word {
    vm_id vm;
    std::int64_t born_ms = 0; ///< start of the reporting process; 0 if not stated
    std::optional<membership> group;
    std::string model; ///< loaded model; empty if none

    friend bool operator==(const runner_word&, const runner_word&) = default;
};

/// A runner's answer to a direct query. Its data may be about 100 ms old.
struct runner_report {
    runner_word word;
    std::int64_t orders = 0; ///< number of orders begun since its start, as of `word`
};

/// Makes the runner a member of a group. Each member receives the same list.
struct join_group {
    group_id group;
    std::int64_t epoch = 0;
    std::string model;
    std::vector<vm_id> members; ///< by rank
    /// If set, the runner answers `misfit` unless it has begun exactly this many orders since its
    /// start. A join that arrives late, or was ordered on stale state, thus has no effect.
    std::optional<std::int64_t> expected_order_count;
};
/// Makes a head whose members are all ready start to serve.
struct open_group {
    group_id group;
    std::int64_t epoch = 0;
};
/// Makes a head finish its requests and accept no new ones; after that it is `ready` again.
struct close_group {
    group_id group;
    std::int64_t epoch = 0;
};
/// Removes the runner from a group immediately.
struct leave_group {
    group_id group;
    std::int64_t epoch = 0;
};
/// Loads a model's weights onto the runner's host, independently of its other work.
struct stage_model {
    std::string model;
};
using member_order = std::variant<join_group, open_group, close_group, leave_group, stage_model>;

/// A runner's reply to an order.
enum class order_reply {
    begun,     ///< the order is being executed
    holds,     ///< the ordered state is already in place
    misfit,    ///< the order conflicts with the runner's state
    outdated,  ///< the runner knows a newer fencing number or epoch
    elsewhere, ///< another runner answers at that address
    lost,      ///< no reply: the order may still be executed, even seconds later
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
