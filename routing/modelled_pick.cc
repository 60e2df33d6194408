// Examines every target of the pool, so a selection is linear in the number of targets. The number
// of running requests at a target is this node's own plus the estimate of the other nodes'; the
// engine model predicts the time to the first event from it. The prediction is scaled by the
// measured slowness of the target.
#include "routing/modelled_pick.h"

#include <algorithm>
#include <cmath>

namespace jaynotch {

namespace {

/// Limit on the prompt work of this node that is pending at one group. If four nodes reach it, a
/// pass grows by about the longest gap that streams tolerate (200 ms). A longer prompt is accepted
/// if no other prompt of this node is pending there.
constexpr double max_pending_prompt_ms = 60.0;
/// Fraction of a group's places that is withheld from requests that will be late in any case (trunk
/// reservation).
constexpr double reserved_fraction = 0.35;
/// A target in another failure domain must be faster by this much, which covers the round trip and
/// the price of traffic between failure domains.
constexpr double remote_penalty_ms = 4.0;
/// The least preferred target of a node must be faster by this much than the most preferred one.
constexpr double preference_ms = 6.0;

double places_of(const target_row& row, const pool& pool_info)
{
    const std::uint32_t configured_places = row.info.places;
    return std::max(1U, configured_places > 0 ? configured_places
                                              : pool_info.max_in_flight_per_replica);
}

/// Estimated requests of the other nodes at the target at `position`.
double others_at(const target_table& targets, const pool_view& view, std::size_t position,
                 time_point now)
{
    const load_estimate& load = targets.at(view.targets[position]).load;
    return load.others(expected_others(view, position), now);
}

/// Standard deviation of the estimate of the other nodes' requests. Arrivals and departures are
/// random: the older the report, the fewer of the requests it counted are still running, and after
/// the time of a usual response none is.
double deviation_of(double others, const target_row& row, const pool& pool_info, time_point now)
{
    const double turnover_ms = answer_ms(pool_info.engine, places_of(row, pool_info));
    const auto age_ms = static_cast<double>(row.load.age_ms(now));
    const double changed = age_ms < 0.0 ? 1.0 : std::min(1.0, age_ms / turnover_ms);
    return std::sqrt(others * changed);
}

engine_work work_at(const target_row& row, double others, const pool& pool_info, time_point now)
{
    engine_work work;
    work.running = row.own + others;
    work.pending_tokens = row.pending_tokens;
    work.deviation = deviation_of(others, row, pool_info, now);
    return work;
}

/// This node's guaranteed share of the target's places.
double guaranteed_places(const target_row& row, const pool& pool_info, std::size_t nodes)
{
    return places_of(row, pool_info) / static_cast<double>(std::max<std::size_t>(1, nodes));
}

/// This node's guaranteed share of all places of the pool.
double guaranteed_places_of_pool(const target_table& targets, const pool_view& view,
                                 const pool& pool_info, std::size_t nodes)
{
    double sum = 0.0;
    for (const target_row_index at : view.targets) {
        if (targets.at(at).may_be_picked())
            sum += guaranteed_places(targets.at(at), pool_info, nodes);
    }
    return std::max(1.0, sum);
}

/// Whether the node has guaranteed places left, at this target and in the pool. If there are more
/// nodes than places in a group, the share of one group is less than a place. Rounded down per
/// group it would be zero: once all groups were reported full, the node would send nothing, get no
/// load reports with the responses, and treat the groups as full forever.
bool has_guaranteed_place(const target_row& row, const pool& pool_info, std::size_t nodes,
                          double own_in_pool, double guaranteed_in_pool)
{
    return row.own + 1.0 <= std::max(1.0, guaranteed_places(row, pool_info, nodes)) &&
           own_in_pool + 1.0 <= guaranteed_in_pool;
}

/// Places of a group that the request has to leave free, besides its own.
double reserved_places(const target_row& row, const pool& pool_info, bool gives_way)
{
    return gives_way ? std::ceil(reserved_fraction * places_of(row, pool_info)) : 0.0;
}

bool has_room(const target_row& row, const pool& pool_info, const engine_work& work,
              const modelled_request& wanted, bool guaranteed_place)
{
    const double left = reserved_places(row, pool_info, wanted.gives_way);
    const bool full = work.running + 1.0 + left > places_of(row, pool_info);
    if (full && !guaranteed_place)
        return false;
    return row.pending_tokens == 0 || !wanted.mechanisms.has(mechanism::prompt_limit) ||
           prompt_ms(pool_info.engine, row.pending_tokens) < max_pending_prompt_ms;
}

/// The node's preference for a target, from 0 for the most preferred one to 1. It differs between
/// nodes, so that each target is used mostly by a few of them.
double preference_rank(std::uint64_t node_hash, std::uint64_t target_hash)
{
    return static_cast<double>(mix_hashes(node_hash, target_hash) >> 11U) * 0x1.0p-53;
}

} // namespace

target_row_index pick_modelled(const target_table& targets, const pool_view& view,
                               const pool& pool_info, const modelled_request& wanted,
                               time_point now)
{
    const double guaranteed_in_pool =
        guaranteed_places_of_pool(targets, view, pool_info, wanted.nodes);
    target_row_index best = no_target;
    double best_ms = 0.0;
    for (std::size_t step = 0; step < view.targets.size(); ++step) {
        const std::size_t position = (wanted.first + step) % view.targets.size();
        const target_row_index at = view.targets[position];
        const target_row& row = targets.at(at);
        const bool tried =
            std::find(wanted.tried.begin(), wanted.tried.end(), at) != wanted.tried.end();
        if (tried || !row.may_be_picked())
            continue;
        const engine_work work =
            work_at(row, others_at(targets, view, position, now), pool_info, now);
        const bool guaranteed =
            !wanted.gives_way && wanted.mechanisms.has(mechanism::sure_places) &&
            has_guaranteed_place(row, pool_info, wanted.nodes, view.own, guaranteed_in_pool);
        if (!has_room(row, pool_info, work, wanted, guaranteed))
            continue;
        double ms =
            first_event_ms(pool_info.engine, places_of(row, pool_info), work, wanted.prompt_tokens);
        ms *= row.health.slowness;
        const bool remote = row.info.failure_domain != wanted.local_domain;
        if (remote && wanted.mechanisms.has(mechanism::far_penalty))
            ms += remote_penalty_ms;
        if (wanted.mechanisms.has(mechanism::target_preference))
            ms += preference_ms * preference_rank(wanted.node_hash, view.id_hashes[position]);
        if (best == no_target || ms < best_ms) {
            best = at;
            best_ms = ms;
        }
    }
    return best;
}

double first_event_ms_when_full(const target_table& targets, const pool_view& view,
                                const pool& pool_info, double prompt_tokens)
{
    if (view.targets.empty())
        return 0.0;
    const double places = places_of(targets.at(view.targets.front()), pool_info);
    return first_event_ms(pool_info.engine, places, {.running = places - 1.0}, prompt_tokens);
}

double free_places(const target_table& targets, const pool_view& view, const pool& pool_info,
                   std::size_t nodes, time_point now)
{
    double sum = 0.0;
    for (std::size_t position = 0; position < view.targets.size(); ++position) {
        const target_row& row = targets.at(view.targets[position]);
        if (!row.may_be_picked())
            continue;
        const double running = row.own + others_at(targets, view, position, now);
        const double left = places_of(row, pool_info) - running;
        sum += std::max({0.0, left, guaranteed_places(row, pool_info, nodes) - row.own});
    }
    return sum;
}

} // namespace jaynotch
