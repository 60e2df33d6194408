// Event dispatch of the request core, and the handling of target, table, peer and timer events.
// handle() also processes all consequences of an event (resolved claims, freed capacity) before it
// returns, so the commands that it appends are complete.
//
// Memory is bounded by core_settings for any input: requests, queues, claims, peers and the prefix
// index. Targets and pools are bounded by the tables and groups that the platform stores.
#include "routing/request_core.h"

#include "routing/engine_model.h"
#include "routing/request_state.h"

namespace jaynotch {

namespace {

constexpr unsigned attempt_space_bits = 24; ///< 2^24 attempts per process without id collisions

} // namespace

request_core::state::state(core_settings given, random_source source, time_point now)
    : settings{std::move(given)}, node_hash{hash64(settings.node.value())}, random{source},
      peers{settings.max_peers, settings.demand_ttl}, claims{settings}, limits{settings.node},
      cold{settings.node, now}, budgets{settings, now}, next_share{now}
{
    // Attempt ids must be unique across nodes and processes, since engines cancel attempts by id.
    next_attempt = random.bits() << attempt_space_bits;
}

result<request_core> request_core::create(core_settings settings, random_source random,
                                          time_point now)
{
    if (settings.node.value().empty() || settings.incarnation.empty())
        return error{error_kind::invalid_argument,
                     "the request core's node or incarnation is empty",
                     "set both; they make claim ids unique"};
    if (settings.node.value().find('/') != std::string::npos)
        return error{error_kind::invalid_argument, "the node's name contains a '/'",
                     "choose a name without it"};
    if (settings.max_requests == 0 || settings.max_queued_per_workspace == 0 ||
        settings.max_pending_claims == 0 || settings.prefix_index_entries == 0)
        return error{error_kind::invalid_argument, "a limit of the request core is 0",
                     "set it to 1 or more"};
    return request_core{std::make_unique<state>(std::move(settings), random, now)};
}

request_core::request_core(std::unique_ptr<state> made) : m_state{std::move(made)} {}
request_core::request_core(request_core&&) noexcept = default;
request_core& request_core::operator=(request_core&&) noexcept = default;
request_core::~request_core() = default;

void request_core::handle(const event& happened, time_point now, command_list& out)
{
    m_state->process(happened, now, out);
}

const routing_counters& request_core::counters() const
{
    return m_state->counters;
}

std::size_t request_core::open_requests() const
{
    return m_state->requests.size();
}

std::optional<refuse> request_core::refuse_early()
{
    return m_state->refuse_early();
}

std::optional<double> request_core::open_request_limit() const
{
    return m_state->overload.limit();
}

bool request_core::cut_off() const
{
    bool found = false;
    for (pool_index index = 0; index < m_state->pools.size(); ++index)
        found = found || m_state->pools.at(index).reach.cut_off();
    return found;
}

bool request_core::take_resend(request_id request, attempt_id attempt)
{
    return m_state->take_resend(request, attempt);
}

bool request_core::may_send(request_id request, attempt_id attempt)
{
    return m_state->may_send(request, attempt);
}

double request_core::retries_left(request_id request) const
{
    const auto found = m_state->requests.find(request);
    if (found == m_state->requests.end())
        return 0.0;
    return m_state->pools.at(found->second.terms.pool).budget->left();
}

std::size_t request_core::limited_servers() const
{
    return m_state->limits.size();
}

std::size_t request_core::paused_servers() const
{
    return m_state->pauses.size();
}

std::size_t request_core::known_cold_servers() const
{
    return m_state->cold.cold_count();
}

bool request_core::responded_since(const vm_id& instance, time_point since) const
{
    const target_table& targets = m_state->targets;
    const target_row_index at = targets.find_instance(instance);
    return at != no_target && targets.at(at).last_response > since;
}

std::vector<target_status> request_core::targets() const
{
    std::vector<target_status> all;
    for (pool_index index = 0; index < m_state->pools.size(); ++index) {
        const pool_row& pool = m_state->pools.at(index);
        for (const target_row_index at : pool.view.targets) {
            const target_row& row = m_state->targets.at(at);
            const double load = row.own + row.load.reported_others();
            all.push_back(
                {row.info.id, row.info.pool, row.own, load, row.leaving(), row.health.ejected});
        }
    }
    return all;
}

std::vector<pool_status> request_core::pools() const
{
    std::vector<pool_status> all;
    for (pool_index index = 0; index < m_state->pools.size(); ++index) {
        const pool_row& row = m_state->pools.at(index);
        if (row.present)
            all.push_back({row.info.name, row.in_flight,
                           static_cast<std::uint32_t>(row.queue.size()), row.allowed_in_flight(),
                           row.budget->left()});
    }
    return all;
}

void request_core::state::process(const event& happened, time_point now, command_list& out)
{
    struct visitor {
        state& core;
        time_point now;
        command_list& out;

        void operator()(const request_arrived& e) const { core.arrive(e.request, now, out); }
        void operator()(const attempt_sent& e) const { core.on_sent(e, now); }
        void operator()(const attempt_connected& e) const
        {
            const request_row* row = core.find_attempt(e.request, e.attempt);
            if (row != nullptr && !core.targets.at(row->attempt.target).other_node)
                core.pools.at(row->terms.pool).reach.note_connected();
        }
        void operator()(const attempt_head& e) const { core.on_head(e, now, out); }
        void operator()(const attempt_progress& e) const { core.on_progress(e, now); }
        void operator()(const attempt_writing_to_caller& e) const { core.on_writing_to_caller(e); }
        void operator()(const attempt_finished& e) const { core.on_finished(e, now, out); }
        void operator()(const attempt_failed& e) const { core.on_failed(e, now, out); }
        void operator()(const caller_gone& e) const { core.on_caller_gone(e.request, now, out); }
        void operator()(const key_status_requested& e) const
        {
            core.on_key_status_requested(e, now, out);
        }
        void operator()(const kv_result& e) const { core.claims.on_kv(e.token, e.outcome, now); }
        void operator()(const lease_result& e) const
        {
            core.claims.on_lease(e.token, e.lease, now);
        }
        void operator()(const groups_changed& e) const
        {
            core.targets.replace_groups(e.groups, now);
            core.update_cold_servers(now);
            core.update_paused_targets(now);
            core.refresh_pools(now);
            core.dispatch_all(now, out);
        }
        void operator()(const servers_changed& e) const
        {
            core.targets.set_discovered_servers(e.servers, now);
            core.update_cold_servers(now);
            core.update_paused_targets(now);
            core.refresh_pools(now);
            core.dispatch_all(now, out);
        }
        void operator()(const relay_nodes_changed& e) const
        {
            core.on_relay_nodes(e.nodes, now, out);
        }
        void operator()(const server_probed& e) const { core.on_server_probed(e); }
        void operator()(const server_checked& e) const { core.on_server_checked(e, now); }
        void operator()(const peer_evidence_received& e) const
        {
            core.suspects.note_evidence(e.evidence, now);
        }
        void operator()(const peer_started& /*e*/) const { core.suspects.note_peer_started(now); }
        void operator()(const fleet_size_updated& e) const
        {
            core.fleet_size = std::max<std::size_t>(1, e.nodes);
            core.budgets.set_fleet_size(core.fleet_size);
        }
        void operator()(const fleet_updated& e) const { core.on_fleet_updated(e, now); }
        void operator()(const response_limit_received& e) const
        {
            core.on_limit_received(e, now, out);
        }
        void operator()(const server_pause_requested& e) const
        {
            core.on_pause_requested(e, now, out);
        }
        void operator()(const peer_limit_received& e) const { core.on_limit_received(e, now); }
        void operator()(const group_broken& e) const { core.on_group_broken(e.group, now, out); }
        void operator()(const target_leaving& e) const
        {
            core.targets.set_leaving(e.target, e.leaving, now);
            core.refresh_pools(now);
        }
        void operator()(const load_reported& e) const
        {
            const target_row_index row = core.targets.find(e.target);
            if (row == no_target)
                return;
            target_row& target = core.targets.at(row);
            if (e.age.count() == 0)
                target.load.report_now(e.load, target.own, now);
            else
                target.load.report(e.load, e.age, now);
        }
        void operator()(const cache_events_received& e) const { core.on_cache_events(e); }
        void operator()(const tables_installed& e) const
        {
            core.install_tables(e.tables, now, out);
        }
        void operator()(const peer_demand_received& e) const
        {
            core.peers.install(e.node, e.rows, now);
            core.claims.on_node_seen(e.node);
        }
        void operator()(const peer_left& e) const
        {
            core.peers.forget(e.node);
            core.claims.on_node_left(e.node);
        }
        void operator()(const stop_begun& e) const { core.on_stop_begun(e.deadline); }
        void operator()(const tick& /*e*/) const { core.run_tick(now, out); }
    };
    std::visit(visitor{*this, now, out}, happened);

    const bool may_free_capacity = std::holds_alternative<attempt_finished>(happened) ||
                                   std::holds_alternative<attempt_failed>(happened) ||
                                   std::holds_alternative<caller_gone>(happened) ||
                                   std::holds_alternative<attempt_head>(happened);
    if (may_free_capacity) {
        dispatch_all(now, out);
        emit_released(out);
    }
    if (std::holds_alternative<target_leaving>(happened) ||
        std::holds_alternative<groups_changed>(happened) ||
        std::holds_alternative<servers_changed>(happened))
        emit_released(out);
    emit_evidence(out);
    // Claims are processed after every event, not only at ticks, to keep their latency low.
    run_claims(now, out);
}

void request_core::state::install_tables(const configuration& tables, time_point now,
                                         command_list& out)
{
    deployment = tables.deployment;
    routes = route_index{tables.routes};
    std::erase_if(caller_timeouts_by_route, [&](const auto& entry) {
        return std::none_of(tables.routes.begin(), tables.routes.end(),
                            [&](const route& one) { return one.name.value() == entry.first; });
    });
    pools.replace(tables, settings);
    budgets.assign(pools, now);
    workspaces_by_key.reset();
    if (tables.workspaces) {
        workspaces_by_key.emplace();
        for (const workspace_row& workspace : *tables.workspaces) {
            for (const std::string& key : workspace.keys)
                (*workspaces_by_key)[key] = workspace;
        }
    }
    targets.set_configured_servers(tables, now);
    update_cold_servers(now);
    update_paused_targets(now);
    refresh_pools(now);
    std::vector<request_id> orphans;
    for (const auto& [request, row] : requests) {
        const bool waits = row.phase == request_phase::queued;
        if (waits && !pools.at(row.terms.pool).present)
            orphans.push_back(request);
    }
    std::sort(orphans.begin(), orphans.end());
    for (const request_id request : orphans) {
        finish_failed(
            requests.at(request),
            {error_kind::not_found, "its pool was taken out of the tables", "send it again"}, now,
            out);
    }
    dispatch_all(now, out);
    emit_released(out);
}

void request_core::state::refresh_pools(time_point now)
{
    for (pool_index index = 0; index < pools.size(); ++index)
        pools.at(index).refresh_all(targets, peers, fleet_size, now);
}

void request_core::state::run_tick(time_point now, command_list& out)
{
    peers.expire(now);
    budgets.tick(now);
    refresh_limits(now);
    refresh_pauses(now);
    refresh_cold(now, out);
    suspects.tick(now);
    review_overload(now, out);
    for (std::size_t row = 0; row < targets.size(); ++row) {
        target_row& sampled = targets.at(static_cast<target_row_index>(row));
        sampled.load.sample_own(sampled.own, now);
    }
    for (pool_index index = 0; index < pools.size(); ++index) {
        pool_row& pool = pools.at(index);
        if (settings.mechanisms.has(mechanism::outlier_ejection))
            counters.ejections += eject_outliers(targets, pool.view.targets, now);
        if (settings.mechanisms.has(mechanism::slowness))
            update_slowness(targets, pool.view.targets);
        if (settings.mechanisms.has(mechanism::adaptive_limit) && !pool.modelled())
            pool.limit.tick(pool.limit_reached, pool.queued_ratio(targets, now), now);
        pool.limit_reached = false;
        pool.rounding_draw = random.unit();
        pool.refresh_all(targets, peers, fleet_size, now);
    }
    if (!notices_late(now)) {
        if (settings.mechanisms.has(mechanism::silence_detection))
            detect_silent_targets(now, out);
        review_reach(now, out);
        wake_requests(now, out);
    }
    dispatch_all(now, out);
    emit_released(out);
    share_demand_if_due(now, out);
}

/// Whether this node has not run for so long that answers may have arrived that it has not read
/// yet. Timeouts are judged one tick later then; two ticks in a row are never passed over.
bool request_core::state::notices_late(time_point now)
{
    constexpr std::chrono::milliseconds longest_gap{50};
    const bool first = last_tick == time_point{};
    const bool late = !first && now - last_tick > longest_gap && !passed_over;
    last_tick = now;
    passed_over = late;
    return late;
}

void request_core::state::share_demand_if_due(time_point now, command_list& out)
{
    if (now < next_share)
        return;
    next_share = now + settings.demand_share_interval;
    share_demand shared;
    for (pool_index index = 0; index < pools.size(); ++index) {
        const pool_row& pool = pools.at(index);
        for (const auto& [workspace, use] : pool.uses)
            shared.rows.push_back({pool.info.name, workspace, use.in_flight, use.queued});
    }
    out.emplace_back(std::move(shared));
}

void request_core::state::emit_released(command_list& out)
{
    for (target_id& id : targets.take_released())
        out.emplace_back(target_released{std::move(id)});
}

void request_core::state::on_cache_events(const cache_events_received& received)
{
    const target_row_index at = targets.find(received.target);
    if (at == no_target)
        return;
    const target_row& row = targets.at(at);
    const pool_index index = pools.find(row.info.pool);
    if (index == pools.size())
        return;
    prefix_index& prefixes = pools.at(index).prefixes;
    for (const prefix_event& change : received.events) {
        if (change.evicted)
            prefixes.note_evicted(change.prefix, row.slot(at));
        else
            prefixes.note_stored(change.prefix, row.slot(at));
    }
}

void request_core::state::on_group_broken(const target_id& group, time_point now, command_list& out)
{
    const target_row_index at = targets.find(group);
    if (at == no_target)
        return;
    targets.mark_lost(at);
    refresh_pools(now);
    reroute_requests(at, now, out);
    emit_released(out);
}

/// Sends the idempotent requests of a lost target to other targets. The others keep their
/// connections: the target may still answer them.
void request_core::state::reroute_requests(target_row_index from, time_point now, command_list& out)
{
    for (const request_id request : repeatable_requests_at(from)) {
        request_row& row = requests.at(request);
        cancel(row, cancel_reason::target_lost, now, out);
        end_attempt(row, attempt_failure::cut, attempt_end::group_lost, now, out);
    }
}

std::vector<request_id> request_core::state::repeatable_requests_at(target_row_index from) const
{
    std::vector<request_id> found;
    for (const auto& [request, row] : requests) {
        if (row.has_attempt && row.attempt.target == from &&
            row.terms.repeat == repeat_policy::idempotent)
            found.push_back(request);
    }
    std::sort(found.begin(), found.end()); // deterministic: the map's order is unspecified
    return found;
}

// A group that has lost a member accepts requests without making progress for seconds, until it
// detects the loss itself. The symptom is that all its streams pause at once, for longer than the
// longest step of a healthy engine. A silent group gets no new requests except a probe every
// `probe_interval` to see whether it has recovered, and its requests move to other groups while
// their callers still wait.
void request_core::state::detect_silent_targets(time_point now, command_list& out)
{
    constexpr double gap_multiple = 4.0;
    constexpr std::chrono::milliseconds min_silence{300}; // allows for network and local scheduling
    constexpr std::chrono::milliseconds max_silence{1'500};
    constexpr std::chrono::seconds probe_interval{1};
    for (pool_index index = 0; index < pools.size(); ++index) {
        pool_row& pool = pools.at(index);
        if (!pool.present || !pool.modelled())
            continue;
        for (const target_row_index at : pool.view.targets) {
            target_row& row = targets.at(at);
            if (row.health.silent && now >= row.health.next_trial) {
                row.health.silent = false;
                row.health.on_trial = true;
                row.last_activity = now;
                continue;
            }
            const duration usual = std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>{gap_multiple * row.health.gap_ms});
            const duration healthy_pause =
                max_event_gap(pool.info.engine, row.info.places,
                              static_cast<double>(fleet_size) * row.pending_tokens);
            const duration silence_limit =
                std::min<duration>(std::max<duration>({healthy_pause * 3 / 2, usual, min_silence}),
                                   max_silence) +
                delays.margin();
            if (row.health.silent && row.own > 0 && now >= row.health.next_move)
                move_from_silent(at, now, out);
            if (row.own == 0 || row.health.silent || now - row.last_activity <= silence_limit)
                continue;
            delays.note_silence(now - row.last_activity);
            row.health.silent = true;
            row.health.silent_since = now;
            row.health.next_trial = now + probe_interval;
            ++counters.silences;
            pool.reach.note_silent(row.info.id.value(), pool.view.targets.size());
            out.emplace_back(target_silent{row.info.id, row.info.instance, row.streaming > 0});
            move_from_silent(at, now, out);
        }
    }
}

} // namespace jaynotch
