// Targets whose servers limit the requests per second of all entry VMs together (rate_limits.h). A
// target is not picked while this node's share of the limit is used up. A request that would wait
// too long for any target's limit is refused on arrival, since its caller may reach another node
// with a free share when it retries.
#include "routing/request_state.h"

namespace jaynotch {

namespace {

/// Retry-After base if this node has no share of any limit, seconds.
constexpr double no_share_retry_s = 0.5;

/// Requests a second; above any limit of a server.
constexpr std::uint32_t no_limit = 1'000'000;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void request_core::state::on_limit_received(const response_limit_received& received, time_point now,
                                            command_list& out)
{
    const target_row_index at = targets.find(received.target);
    if (at == no_target || targets.at(at).info.instance.value().empty())
        return;
    target_row& target = targets.at(at);
    const vm_id& server = target.info.instance;
    const bool share_needed =
        limits.server_report(server, target.info.failure_domain, received.per_second, now);
    target.rate_limit_reached = !limits.may_send(server, now);
    if (!share_needed)
        return;
    const double share = limits.share(server).value_or(0.0);
    out.emplace_back(share_limit{server, received.per_second, share});
}

void request_core::state::on_limit_received(const peer_limit_received& received, time_point now)
{
    const target_row_index at = targets.find_instance(received.server);
    const failure_domain_id where =
        at == no_target ? failure_domain_id{} : targets.at(at).info.failure_domain;
    limits.peer_report(received.server, where, received.per_second, now - received.age, now);
}

void request_core::state::consume_limit(target_row& target, time_point now)
{
    if (limits.empty())
        return;
    limits.consume(target.info.instance, now);
    target.rate_limit_reached = !limits.may_send(target.info.instance, now);
}

void request_core::state::on_fleet_updated(const fleet_updated& updated, time_point now)
{
    limits.fleet_updated(updated.members, now);
    cold.fleet_updated(updated.members, now);
    if (cold.cold_count() == 0)
        cold.forget(now); // otherwise refresh_cold() does, and updates the targets
    const auto known = [&](const vm_id& server) {
        return targets.find_instance(server) != no_target;
    };
    limits.forget(known, now);
}

void request_core::state::refresh_limits(time_point now)
{
    constexpr std::chrono::milliseconds interval{50};
    if ((limits.empty() && !limits_in_use) || now < next_limit_refresh)
        return;
    next_limit_refresh = now + interval;
    limits_in_use = !limits.empty();
    limits.tick(now);
    for (std::size_t at = 0; at < targets.size(); ++at) {
        target_row& row = targets.at(static_cast<target_row_index>(at));
        row.rate_limit_reached = !limits.may_send(row.info.instance, now);
    }
}

duration request_core::state::limit_wait(const pool_row& pool, time_point now) const
{
    if (limits.empty() && cold.cold_count() == 0 && pauses.empty())
        return duration{0};
    duration shortest = duration::max();
    duration first_warm = duration::max();
    double share = 0.0;
    for (const target_row_index at : pool.view.targets) {
        const target_row& row = targets.at(at);
        if (row.leaving() || row.health.ejected)
            continue;
        const vm_id& server = row.info.instance;
        const std::optional<double> limit = limits.share(server);
        const std::optional<std::uint32_t> cold_part = cold.part(server);
        const duration pause = pause_wait(row, now);
        if (!limit && !cold_part && pause == duration{0})
            return duration{0};
        shortest =
            std::min(shortest, std::max({limits.wait(server, now), cold.wait(server, now), pause}));
        if (!limit)
            first_warm = std::min(first_warm, std::max(cold.left(server, now), pause));
        share += std::min<double>(limit.value_or(no_limit), cold_part.value_or(no_limit));
    }
    if (shortest == duration::max() || share == 0.0)
        return shortest;
    const std::chrono::duration<double> ahead{static_cast<double>(pool.queue.size()) / share};
    return std::min(first_warm, shortest + std::chrono::duration_cast<duration>(ahead));
}

bool request_core::state::refuse_limited(request_row& row, time_point now, command_list& out)
{
    const duration wait = limit_wait(pools.at(row.terms.pool), now);
    if (wait == duration{0} || seconds(wait) <= max_queued_fraction * seconds(row.deadline - now))
        return false;
    ++counters.refused_limited;
    const error why{error_kind::overloaded,
                    "all its backend servers limit the requests that they take now",
                    "come back after the time in Retry-After"};
    const double back_s = wait == duration::max() ? no_share_retry_s : seconds(wait);
    if (row.may_have_run)
        finish_failed(row, why, now, out);
    else
        finish_refuse(row, why, ran_state::no, retry_after(back_s), now, out);
    return true;
}

} // namespace jaynotch
