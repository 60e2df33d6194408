// Targets whose servers are cold (cold_servers.h). A target is not picked while this node's part of
// what its server bears is used up; its requests go to others or wait. If all servers of a pool are
// cold, request_limits.cc refuses what would wait too long.
#include "routing/request_state.h"

namespace jaynotch {

/// Reads from the targets which servers are cold. To be called when a list of targets or the
/// configuration has changed.
void request_core::state::update_cold_servers(time_point now)
{
    for (std::size_t index = 0; index < targets.size(); ++index) {
        target_row& row = targets.at(static_cast<target_row_index>(index));
        if (!row.present || row.other_node || row.info.instance.value().empty())
            continue;
        const pool_index pool = pools.find(row.info.pool);
        const double per_second = pool == pools.size() ? 0.0 : pools.at(pool).info.cold_per_s;
        if (per_second > 0.0 && row.info.cold_until > now)
            cold.set_cold(row.info.instance, row.info.failure_domain,
                          requests_borne(per_second, settings.cold_excess, settings.cold_slack),
                          row.info.cold_until, now);
        else
            cold.set_warm(row.info.instance);
        row.cold_part_used = !cold.may_send(row.info.instance, now);
    }
}

void request_core::state::note_sent_to_server(target_row& target, const pool_row& pool,
                                              time_point now)
{
    consume_limit(target, now);
    if (pool.info.cold_per_s <= 0.0)
        return;
    cold.note_sent(target.info.instance, now);
    target.cold_part_used = !cold.may_send(target.info.instance, now);
}

void request_core::state::refresh_cold(time_point now, command_list& out)
{
    if (cold.cold_count() == 0 && cold_reported == 0)
        return;
    cold.forget(now);
    cold_servers_changed seen;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        target_row& row = targets.at(static_cast<target_row_index>(index));
        row.cold_part_used = !cold.may_send(row.info.instance, now);
        const std::optional<std::uint32_t> part = cold.part(row.info.instance);
        if (!part || !row.present)
            continue;
        seen.example = seen.cold == 0 ? row.info.instance : seen.example;
        ++seen.cold;
        seen.own_parts += *part;
    }
    constexpr std::chrono::seconds report_interval{1};
    if (seen.cold == cold_reported || now < next_cold_report)
        return;
    cold_reported = seen.cold;
    next_cold_report = now + report_interval;
    out.emplace_back(std::move(seen));
}

/// Whether a server of the pool would get requests if it were not cold.
bool request_core::state::withholds_from_cold(const pool_row& pool) const
{
    return cold.cold_count() > 0 && std::any_of(pool.view.targets.begin(), pool.view.targets.end(),
                                                [&](target_row_index at) {
                                                    const target_row& row = targets.at(at);
                                                    return row.cold_part_used && !row.leaving() &&
                                                           !row.health.ejected;
                                                });
}

} // namespace jaynotch
