// Sizes of fleets that the soak runs: entry VMs, failure domains, servers, groups, load.
//
//   set_shape(settings.site, fleet_shape::four_nodes);
//   settings.requests_per_s = usual_rate(fleet_shape::four_nodes);
//
// The stand-ins' engines are no models of real ones; only counts and times of loads are.
#pragma once

#include "base/base.h"
#include "soak/soak_site.h"

namespace jaynotch {

enum class fleet_shape {
    four_nodes,         ///< 54 runners, groups of 4 and 3
    four_nodes_in_twos, ///< 60 runners, groups of 4 and 2
    medium,             ///< 28 nodes, 162 runners, groups of 8 and 2
    four_domains,       ///< 36 nodes in four failure domains, 296 runners, groups of 16 and 4
    large_groups,       ///< 75 nodes, 162 runners, groups of 12 and 6
    large,              ///< 117 nodes in five failure domains, 1,095 runners, groups of 32 and 8
};

template <>
struct enum_names<fleet_shape> {
    static constexpr std::array entries{
        named{fleet_shape::four_nodes, "four_nodes"},
        named{fleet_shape::four_nodes_in_twos, "four_nodes_in_twos"},
        named{fleet_shape::medium, "medium"},
        named{fleet_shape::four_domains, "four_domains"},
        named{fleet_shape::large_groups, "large_groups"},
        named{fleet_shape::large, "large"},
    };
};

void set_shape(soak_site_settings& site, fleet_shape shape);

/// Requests a second at the fleet's usual peak.
double usual_rate(fleet_shape shape);

} // namespace jaynotch
