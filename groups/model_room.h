// Decides which models the free runners of a fabric domain hold.
//
//   domain_room room;
//   room.models = {{.size = 12, .open_groups = 1, .need = 6.0}, {.size = 6, .need = 7.5}};
//   room.free = {{.warm = 0, .staged = {0}}, {}};
//   for (const stage_choice& choice : choose_stages(room))
//       ...                        // stage models[choice.model] on free[choice.runner]
//
// A runner can hold two models: the one of its last group, whose weights stay in its accelerators,
// and one on its host. Such a runner completes a group of either model without a load.
//
// Pure functions without a clock. The formation manager calls them when free runners have changed
// and carries out as many choices as the limits of the weight store allow, in the given order.
#pragma once

#include "base/names.h"
#include "tables/tables.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jaynotch::groups {

struct room_model {
    std::uint32_t size = 1;        ///< runners in a group
    std::uint32_t open_groups = 0; ///< in the fabric domain, forming ones included
    /// Groups of all failure domains relative to the model's share of the work; the model with the
    /// lowest figure is the neediest.
    double need = 0.0;
};

/// A runner in no group. Models are given by their index.
struct room_runner {
    std::optional<std::size_t> warm;    ///< model of its last group since it started
    std::vector<std::size_t> staged;    ///< models on its host
    std::optional<std::size_t> staging; ///< model that is being loaded onto its host
    bool idle = true; ///< has been free for a while, so no group is about to be formed of it

    [[nodiscard]] bool holds(std::size_t model) const
    {
        return warm == model || staging == model ||
               std::find(staged.begin(), staged.end(), model) != staged.end();
    }
    /// Holds no model and loads none.
    [[nodiscard]] bool bare() const { return !warm && staged.empty() && !staging; }
};

struct domain_room {
    std::vector<room_model> models;
    std::vector<room_runner> free;
    std::size_t host_keeps = 1; ///< models that a host keeps
    bool guard_largest = true;  ///< spares for the largest groups come before other first loads
    bool second_models = true;  ///< whether runners load a second model
};

enum class stage_reason {
    completes_group, ///< with this load and others under way, a group can be formed
    guards_groups,   ///< a spare for the model's groups
    first_model,     ///< the runner holds nothing yet
};

struct stage_choice {
    std::size_t runner = 0; ///< index in domain_room::free
    std::size_t model = 0;  ///< index in domain_room::models
    stage_reason why = stage_reason::first_model;
    std::optional<std::size_t> kept; ///< model that the runner keeps in its accelerators

    friend bool operator==(const stage_choice&, const stage_choice&) = default;
};

/// Loads to start, the most useful first. Each runner appears at most once.
std::vector<stage_choice> choose_stages(const domain_room& room);

} // namespace jaynotch::groups

namespace jaynotch {

template <>
struct enum_names<groups::stage_reason> {
    static constexpr std::array entries{
        named{groups::stage_reason::completes_group, "completes_group"},
        named{groups::stage_reason::guards_groups, "guards_groups"},
        named{groups::stage_reason::first_model, "first_model"},
    };
};

} // namespace jaynotch
