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
    double requests_per_s;         ///< at its usual peak
    double retry_extra;            ///< see promise_bounds
    std::chrono::seconds recovery; ///< see promise_bounds::fleet_recovery
};

using std::chrono::seconds;

constexpr std::array shapes{
    shape_row{.shape = fleet_shape::four_nodes,
              .daemons = 4,
              .failure_domains = 3,
              .runners = 54,
              .fabric_domain_size = 9,
              .large_group = 4,
              .small_group = 3,
              .slots = 26,
              .other_routes = 110,
              .requests_per_s = 167.0,
              .retry_extra = 134.0,
              .recovery = seconds{12}},
    shape_row{.shape = fleet_shape::four_nodes_in_twos,
              .daemons = 4,
              .failure_domains = 3,
              .runners = 60,
              .fabric_domain_size = 10,
              .large_group = 4,
              .small_group = 2,
              .slots = 17,
              .other_routes = 110,
              .requests_per_s = 182.0,
              .retry_extra = 103.0,
              .recovery = seconds{12}},
    shape_row{.shape = fleet_shape::medium,
              .daemons = 28,
              .failure_domains = 3,
              .runners = 162,
              .fabric_domain_size = 18,
              .large_group = 8,
              .small_group = 2,
              .slots = 20,
              .other_routes = 1'900,
              .requests_per_s = 541.0,
              .retry_extra = 240.0,
              .recovery = seconds{15}},
    shape_row{.shape = fleet_shape::four_domains,
              .daemons = 36,
              .failure_domains = 4,
              .runners = 296,
              .fabric_domain_size = 37,
              .large_group = 16,
              .small_group = 4,
              .slots = 23,
              .other_routes = 40,
              .requests_per_s = 561.0,
              .retry_extra = 289.0,
              .recovery = seconds{15}},
    shape_row{.shape = fleet_shape::large_groups,
              .daemons = 75,
              .failure_domains = 3,
              .runners = 162,
              .fabric_domain_size = 27,
              .large_group = 12,
              .small_group = 6,
              .slots = 48,
              .other_routes = 240,
              .requests_per_s = 393.0,
              .retry_extra = 334.0,
              .recovery = seconds{15}},
    shape_row{.shape = fleet_shape::large,
              .daemons = 117,
              .failure_domains = 5,
              .runners = 1'095,
              .fabric_domain_size = 73,
              .large_group = 32,
              .small_group = 8,
              .slots = 22,
              .other_routes = 120,
              .requests_per_s = 1'016.0,
              .retry_extra = 696.0,
              .recovery = seconds{15}},
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
