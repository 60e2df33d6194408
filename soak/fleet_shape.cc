#include "soak/fleet_shape.h"

namespace jaynotch {

namespace {

struct shape_row {
    fleet_shape shape;
    std::size_t daemons;
    std::size_t failure_domains;
    std::size_t runners;
    std::size_t fabric_domain_size;
    std::size_t large_group;
    std::size_t small_group;
    std::size_t slots; ///< requests at once of a group
    std::size_t other_routes;
    double requests_per_s;
    double retry_extra;
    std::chrono::seconds recovery;
};

using std::chrono::seconds;

constexpr std::array shapes{
    shape_row{fleet_shape::four_nodes, 4, 3, 54, 9, 4, 3, 26, 110, 167.0, 134.0, seconds{12}},
    shape_row{fleet_shape::four_nodes_in_twos, 4, 3, 60, 10, 4, 2, 17, 110, 182.0, 103.0,
              seconds{12}},
    shape_row{fleet_shape::medium, 28, 3, 162, 18, 8, 2, 20, 1'900, 541.0, 240.0, seconds{15}},
    shape_row{fleet_shape::four_domains, 36, 4, 296, 37, 16, 4, 23, 40, 561.0, 289.0, seconds{15}},
    shape_row{fleet_shape::large_groups, 75, 3, 162, 27, 12, 6, 48, 240, 393.0, 334.0, seconds{15}},
    shape_row{fleet_shape::large, 117, 5, 1'095, 73, 32, 8, 22, 120, 1'016.0, 696.0, seconds{15}},
};

const shape_row& row_of(fleet_shape shape)
{
    return shapes.at(static_cast<std::size_t>(shape));
}

} // namespace

void set_shape(soak_site_settings& site, fleet_shape shape)
{
    const shape_row& row = row_of(shape);
    site.daemons = row.daemons;
    site.failure_domains = row.failure_domains;
    site.runners = row.runners;
    site.fabric_domain_size = row.fabric_domain_size;
    site.open_before_traffic = row.runners / row.large_group / 2;
    site.stream_events = 28;
    site.stream_gap = std::chrono::milliseconds{30};
    site.model_slots = row.slots;
    site.plain_slots = 30;
    site.plain_work = std::chrono::milliseconds{30};
    site.configuration.models = {{"m0", row.large_group, 0.5}, {"m1", row.small_group, 0.5}};
    site.configuration.load = std::chrono::seconds{16};
    site.configuration.warm_up = std::chrono::milliseconds{1'600};
    site.configuration.slots = row.slots;
    site.configuration.other_routes = row.other_routes;
    site.bounds.fleet_recovery = row.recovery;
    site.bounds.retry_extra = row.retry_extra;
}

double usual_rate(fleet_shape shape)
{
    return row_of(shape).requests_per_s;
}

} // namespace jaynotch
