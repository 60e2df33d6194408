// Targets whose servers limit the requests a second of all entry VMs together (rate_limits.h). A
// target is left out of the choice while this node's part is used up; a request that would wait for
// too long for a part of any is refused on arrival, since callers come back through other nodes.
#include "routing/request_state.h"

namespace jaynotch {

namespace {

/// For a caller that comes back to a node without a part.
constexpr double no_part_retry_s = 0.5;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void request_core::state::on_limit_received(const response_limit_received& server_report,
                                            time_point now, command_list& out)
{
    const target_row_index at = targets.find(server_report.target);
    if (at == no_target || targets.at(at).info.instance.value().empty())
        return;
    target_row& target = targets.at(at);
    const vm_id& server = target.info.instance;
    const bool tell =
        limits.server_report(server, target.info.failure_domain, server_report.per_second, now);
    target.rate_limit_reached = !limits.may_send(server, now);
    if (!tell)
        return;
    const double share = limits.share(server).value_or(0.0);
    out.emplace_back(share_limit{server, server_report.per_second, share});
}

void request_core::state::on_limit_received(const peer_limit_received& peer_report, time_point now)
{
    const target_row_index at = targets.find_instance(peer_report.server);
    const failure_domain_id where =
        at == no_target ? failure_domain_id{} : targets.at(at).info.failure_domain;
    limits.peer_report(peer_report.server, where, peer_report.per_second, now - peer_report.age,
                       now);
}

void request_core::state::consume_limit(target_row& target, time_point now)
{
    if (limits.empty())
        return;
    limits.consume(target.info.instance, now);
    target.rate_limit_reached = !limits.may_send(target.info.instance, now);
}

void request_core::state::on_fleet_updated(const fleet_updated& seen, time_point now)
{
    limits.fleet_updated(seen.members, now);
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
    if (limits.empty())
        return duration{0};
    duration shortest = duration::max();
    double share = 0.0;
    for (const target_row_index at : pool.view.targets) {
        const target_row& row = targets.at(at);
        if (row.leaving() || row.health.ejected)
            continue;
        const std::optional<double> part = limits.share(row.info.instance);
        if (!part)
            return duration{0};
        shortest = std::min(shortest, limits.wait(row.info.instance, now));
        share += *part;
    }
    if (shortest == duration::max() || share == 0.0)
        return shortest;
    const std::chrono::duration<double> ahead{static_cast<double>(pool.queue.size()) / share};
    return shortest + std::chrono::duration_cast<duration>(ahead);
}

bool request_core::state::refuse_limited(request_row& row, time_point now, command_list& out)
{
    const duration wait = limit_wait(pools.at(row.terms.pool), now);
    if (wait == duration{0} || seconds(wait) <= max_queued_fraction * seconds(row.deadline - now))
        return false;
    ++counters.refused_limited;
    row.keyed = false; // nothing is claimed yet
    const double back_s = wait == duration::max() ? no_part_retry_s : seconds(wait);
    finish_refuse(row,
                  {error_kind::overloaded,
                   "all its backend servers limit the requests a second that they take",
                   "come back after the time in Retry-After"},
                  ran_state::no, retry_after(back_s), now, out);
    return true;
}

} // namespace jaynotch
