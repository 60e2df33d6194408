// Requests that are sent through another node while this one reaches no backend server.
//
// The other node treats such a request like a caller's: it checks the caller's key, queues it,
// chooses the server and retries. This node passes the answer on. The rules that hold across both:
//
//   - A node never passes on a request that was passed on to it, so there are no loops.
//   - The other node is told how many servers may have run the request, so that the route's limit
//     holds for both nodes together, and whether a node has counted it as a request, so that
//     exactly one adds to its retry budget. A node that refuses the request says whether a server
//     has received it; if so, passing it on to a further node is charged as a retry.
//   - A request that must not be repeated is passed on only while it certainly did not run, and to
//     a second node only if the first one could not be reached or reported that it did not run.
//     Every other end of a detour means that the request may have run.
//   - Answers from a node are no evidence that this node reaches a server.
#include "routing/request_state.h"

namespace jaynotch {

namespace {

constexpr std::uint32_t max_detours = 3; ///< nodes that one request is passed on to
/// A node that could not take a request is not asked again for this long, if there are others.
constexpr std::chrono::milliseconds node_pause{1'000};
/// For this long it is asked only if there is none that could.
constexpr std::chrono::seconds node_doubt{10};
/// Nodes that must reach no server of a pool either until its servers count as lost; all nodes of a
/// smaller fleet.
constexpr std::size_t nodes_that_decide = 6;
/// Between two requests of a pool that ask other nodes again while its servers count as lost.
constexpr std::chrono::milliseconds detour_trial_interval{200};
/// How many more requests a node of the own failure domain gets before one of another domain is
/// preferred.
constexpr double other_domain_cost = 4.0;
constexpr std::chrono::milliseconds probe_interval{100}; ///< between two probes of a pool's servers
/// A connection that fails within this time was refused or reset.
constexpr std::chrono::milliseconds quick_refusal{100};
constexpr std::size_t inquiry_size = 3; ///< servers that one inquiry probes
/// A probe without a result for this long was lost with its server.
constexpr std::chrono::milliseconds probe_timeout{1'000};
/// A response of a group within this time shows that the node reaches groups.
constexpr std::chrono::milliseconds recent_response{1'000};

void avoid_node(target_row& node, time_point now)
{
    node.avoided_until = now + node_pause;
    node.doubted_until = now + node_doubt;
}

error relay_failure()
{
    return {error_kind::unavailable, "this node reaches no backend server, and no other node did",
            "send it again"};
}

} // namespace

/// Records what an attempt's failure tells about this node's links.
void request_core::state::note_failed_attempt(const request_row& row, attempt_failure reason,
                                              time_point now)
{
    const std::string& server = targets.at(row.attempt.target).info.id.value();
    pool_row& pool = pools.at(row.terms.pool);
    const std::size_t servers = pool.view.targets.size();
    if (reason == attempt_failure::not_connected)
        pool.reach.note_unreachable(server, servers,
                                    now - row.attempt.started < quick_refusal
                                        ? server_reach::connection_failure::refused
                                        : server_reach::connection_failure::timed_out);
    else if (reason == attempt_failure::cut || reason == attempt_failure::stalled)
        pool.reach.note_silent(server, servers);
}

bool request_core::state::may_detour(const request_row& row) const
{
    // Idempotency claims belong to one node.
    return pools.at(row.terms.pool).reach.avoid() && !row.info.relayed && !row.keyed &&
           row.detours == 0 && !targets.nodes().empty() &&
           settings.mechanisms.has(mechanism::detours);
}

/// Whether a request of the pool is to ask other nodes for its servers.
bool request_core::state::is_detour_trial_due(const pool_row& pool, time_point now) const
{
    const bool asks = pool.reach.lost_for_all() || pool.reach.asks_others();
    return asks && now >= pool.next_detour_trial;
}

bool request_core::state::detours_on_arrival(const request_info& info, const pool_row& pool,
                                             time_point now) const
{
    const auto usable = [&](target_row_index at) { return now >= targets.at(at).avoided_until; };
    return (pool.reach.cut_off() || is_detour_trial_due(pool, now)) && !info.relayed &&
           info.idempotency_key.empty() && settings.mechanisms.has(mechanism::detours) &&
           std::any_of(targets.nodes().begin(), targets.nodes().end(), usable);
}

/// The node with the fewest requests of this node, preferably one that has not refused lately and
/// in the own failure domain; no_target if there is none. Once a node could not help, the cause may
/// be the failure domain's, so that another one is preferred.
target_row_index request_core::state::choose_node(time_point now, bool after_refusal)
{
    const std::vector<target_row_index>& nodes = targets.nodes();
    const std::size_t first = random.index(std::max<std::size_t>(1, nodes.size()));
    target_row_index best = no_target;
    std::pair<bool, double> lowest;
    for (std::size_t step = 0; step < nodes.size(); ++step) {
        const target_row_index at = nodes[(first + step) % nodes.size()];
        const target_row& node = targets.at(at);
        if (now < node.avoided_until)
            continue;
        const bool far = node.info.failure_domain != settings.failure_domain;
        const std::pair cost{now < node.doubted_until,
                             node.own + (far != after_refusal ? other_domain_cost : 0.0)};
        if (best == no_target || cost < lowest) {
            best = at;
            lowest = cost;
        }
    }
    return best;
}

bool request_core::state::send_through_node(request_row& row, time_point now, command_list& out)
{
    const target_row_index node = choose_node(now);
    if (node == no_target)
        return false;
    send_through_node(row, node, now, out);
    return true;
}

void request_core::state::send_through_node(request_row& row, target_row_index node, time_point now,
                                            command_list& out)
{
    const bool first = row.attempt_count == 0;
    ++targets.at(node).own;
    row.phase = request_phase::sending;
    begin_attempt(row, node, now);
    ++row.detours;
    ++counters.detours;
    pools.at(row.terms.pool).next_detour_trial = now + detour_trial_interval;
    send_attempt sent = send_command_for(row, now);
    sent.relayed = relayed_request{row.servers_used, first};
    out.emplace_back(std::move(sent));
    set_wake(row, next_wake_time(row));
}

/// Ends an attempt at another node that brought no usable answer.
void request_core::state::end_detour(request_row& row, attempt_failure reason, time_point now,
                                     command_list& out)
{
    const bool may_have_run = row.attempt.sent && reason != attempt_failure::refused_did_not_run;
    if (reason != attempt_failure::version_changed)
        avoid_node(targets.at(row.attempt.target), now);
    release_target(row);
    if (may_have_run) {
        // The other node may have used all servers that the route allows.
        row.may_have_run = true;
        row.servers_used = std::max(row.servers_used, row.terms.most_servers);
    }
    const bool in_time = row.head_delivered || now < row.deadline;
    const bool again = !may_have_run && in_time && !row.caller_left && row.detours < max_detours;
    // What reaches a server after that of the first node is a retry, which no node has charged.
    const bool charged = row.reached_server && settings.retry_budget && settings.charge_every_retry;
    const target_row_index node = again ? choose_node(now, true) : no_target;
    if (node != no_target && (!charged || take_retry(row))) {
        send_through_node(row, node, now, out);
        return;
    }
    const bool waits = row.head_delivered || (in_time && has_sound_server(row));
    if (!may_have_run && !row.caller_left && waits)
        return_to_own_servers(row, relay_failure(), now, out);
    else
        finish_failed(row, relay_failure(), now, out);
}

/// Whether a server of the request's pool has not failed, so that the request may wait for it.
bool request_core::state::has_sound_server(const request_row& row) const
{
    const pool_row& pool = pools.at(row.terms.pool);
    if (pool.reach.reaches_none())
        return false;
    for (std::size_t position = 0; position < pool.view.targets.size(); ++position) {
        const target_row_index at = pool.view.targets[position];
        if (targets.at(at).may_be_picked() && !pool.reach.has_failed(pool.view.id_hashes[position]))
            return true;
    }
    return false;
}

/// Records that another node reaches no server of the pool either. Nodes of the own failure domain
/// may be cut off together with this one, so they count only if there are few others.
void request_core::state::note_agreement(const request_row& row)
{
    const auto far = [&](target_row_index at) {
        return targets.at(at).info.failure_domain != settings.failure_domain;
    };
    const std::vector<target_row_index>& nodes = targets.nodes();
    const auto others = static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), far));
    if (others >= nodes_that_decide && !far(row.attempt.target))
        return;
    const std::uint64_t node = hash64(targets.at(row.attempt.target).info.id.value());
    pools.at(row.terms.pool).reach.note_agreement(node, std::min(nodes_that_decide, nodes.size()));
}

/// A server has answered through another node: it is in reach of some nodes.
void request_core::state::note_served_elsewhere(const request_row& row)
{
    pools.at(row.terms.pool).reach.note_served_elsewhere();
    targets.at(row.attempt.target).doubted_until = {};
}

/// A stream that has begun and that another node refused waits for this node's own servers, which
/// may have been silent together or be within reach again. So does a request that has not begun
/// while one of them is sound.
void request_core::state::return_to_own_servers(request_row& row, const error& failure,
                                                time_point now, command_list& out)
{
    // Refusals of nodes have reached no server and are not charged.
    const bool charged = row.head_delivered ? is_charged_to_budget(row, true)
                                            : row.reached_server && settings.retry_budget &&
                                                  settings.charge_every_retry;
    if (may_retry(row, attempt_failure::refused_did_not_run)) {
        ++counters.detours_returned;
        retry(row, charged, failure, now, out);
    }
    else
        finish_failed(row, failure, now, out);
}

/// The other node has refused the request itself. If it reaches no server either, or stops, another
/// one may serve it; any other refusal is the answer.
void request_core::state::on_relay_refusal(request_row& row, const relay_refusal& refusal,
                                           time_point now, command_list& out)
{
    const bool not_run = refusal.ran == ran_state::no;
    row.reached_server = row.reached_server || refusal.reached_server;
    if (not_run && refusal.failure.kind == error_kind::unavailable) {
        if (refusal.reaches_no_server)
            note_agreement(row);
        end_detour(row, attempt_failure::refused_did_not_run, now, out);
        return;
    }
    release_target(row);
    row.may_have_run = row.may_have_run || !not_run;
    if (not_run && row.head_delivered) {
        return_to_own_servers(row, refusal.failure, now, out);
        return;
    }
    if (row.may_have_run) {
        finish_failed(row, refusal.failure, now, out);
        return;
    }
    finish_refuse(row, refusal.failure, ran_state::no, refusal.retry_after, now, out);
}

void request_core::state::on_relay_nodes(const std::vector<relay_node>& nodes, time_point now,
                                         command_list& out)
{
    std::vector<target> rows;
    std::vector<target_id> leaving; // not among the rows, so that none of them is chosen
    rows.reserve(nodes.size());
    for (const relay_node& node : nodes) {
        target_id id{"node/" + node.node.value()};
        if (!node.accepts) {
            leaving.push_back(std::move(id));
            continue;
        }
        target& made = rows.emplace_back();
        made.id = std::move(id);
        made.address = node.address;
        made.failure_domain = node.failure_domain;
    }
    targets.replace_nodes(rows);
    std::vector<request_id> stranded;
    for (const auto& [request, row] : requests) {
        if (!row.has_attempt)
            continue;
        const target_row& at = targets.at(row.attempt.target);
        // The connection of an answer that has begun tells better whether its node is dead.
        if (!at.other_node || at.present || row.head_delivered)
            continue;
        if (std::find(leaving.begin(), leaving.end(), at.info.id) == leaving.end())
            stranded.push_back(request);
    }
    std::sort(stranded.begin(), stranded.end());
    for (const request_id request : stranded) {
        request_row& row = requests.at(request);
        cancel(row, cancel_reason::target_lost, now, out);
        end_attempt(row, attempt_failure::cut, attempt_end::group_lost, now, out);
    }
}

/// Refuses a request that another node has passed on if this node reaches no server either, or
/// if half of its places are taken by such requests; the rest are for its own callers.
bool request_core::state::refuse_relayed(const request_info& info, const pool_row& pool,
                                         command_list& out)
{
    if (pool.reach.reaches_none()) {
        refuse_untracked(info.id,
                         {error_kind::unavailable, "this node reaches no backend server either",
                          "pass it on to another node"},
                         settings.min_retry_after, out);
        std::get<refuse>(out.back()).reaches_no_server = true;
        return true;
    }
    if (relayed_open < settings.max_requests / 2)
        return false;
    refuse_untracked(info.id,
                     {error_kind::overloaded,
                      "this node serves as many other nodes' callers as "
                      "it may",
                      "come back after the time in Retry-After"},
                     settings.min_retry_after, out);
    return true;
}

void request_core::state::on_server_probed(const server_probed& probed)
{
    const target_row_index at = targets.find(probed.target);
    if (at == no_target)
        return;
    if (targets.at(at).other_node) {
        for (pool_index index = 0; index < pools.size(); ++index) {
            if (pools.at(index).control == at)
                pools.at(index).reach.note_control(probed.connected);
        }
        return;
    }
    const pool_index index = pools.find(targets.at(at).info.pool);
    if (index == pools.size())
        return;
    pool_row& pool = pools.at(index);
    pool.probes_pending -= pool.probes_pending > 0 ? 1 : 0;
    const bool inquiry = pool.reach.inquiry_due();
    pool.reach.note_probe(probed.target.value(), probed.connected, pool.view.targets.size());
    if (inquiry && probed.connected)
        ++counters.losses_told_from_cuts;
}

void request_core::state::review_reach(time_point now, command_list& out)
{
    for (pool_index index = 0; index < pools.size(); ++index) {
        pool_row& pool = pools.at(index);
        if (reached_no_group && pool.present && pool.info.kind == pool_kind::model)
            pool.reach.note_others_cut_off();
        const reach_state believed = pool.reach.state();
        if (!pool.reach.in_doubt() && !pool.reach.asks_others() && pool.last_reach == believed)
            continue;
        if (believed != std::exchange(pool.last_reach, believed)) {
            out.emplace_back(reach_changed{pool.info.name, believed});
            overload.path_changed(now);
            if (believed != reach_state::cut_off)
                return_to_servers(pool, now);
        }
        wants_detour_trial =
            wants_detour_trial || (is_detour_trial_due(pool, now) && !targets.nodes().empty());
        if (believed == reach_state::cut_off)
            leave_servers(index, now, out);
        if (pool.reach.in_doubt())
            probe_if_due(pool, now, out);
    }
    const bool none = reaches_no_group(now);
    if (none != std::exchange(reached_no_group, none))
        out.emplace_back(group_reach_changed{none});
}

/// Whether some model's groups are out of reach and no group of another model has responded lately.
bool request_core::state::reaches_no_group(time_point now) const
{
    time_point last_response;
    bool cut_off = false;
    for (pool_index index = 0; index < pools.size(); ++index) {
        const pool_row& pool = pools.at(index);
        if (!pool.present || pool.info.kind != pool_kind::model)
            continue;
        cut_off = cut_off || pool.reach.cut_off();
        if (!pool.reach.cut_off())
            last_response = std::max(last_response, pool.reach.last_response());
    }
    return cut_off && now - last_response > recent_response;
}

/// Passes on the pool's requests that wait for a server, and those at a silent server that may be
/// repeated.
void request_core::state::leave_servers(pool_index index, time_point now, command_list& out)
{
    std::vector<request_id> waiting;
    for (const auto& [request, row] : requests) {
        if (row.terms.pool != index || !may_detour(row))
            continue;
        const bool at_server = row.has_attempt && !targets.at(row.attempt.target).other_node;
        const bool repeatable = at_server && row.terms.repeat == repeat_policy::idempotent &&
                                targets.at(row.attempt.target).health.silent &&
                                may_retry(row, attempt_failure::cut);
        if (row.phase == request_phase::queued || repeatable)
            waiting.push_back(request);
    }
    std::sort(waiting.begin(), waiting.end()); // deterministic: the map's order is unspecified
    for (const request_id request : waiting) {
        request_row& row = requests.at(request);
        if (row.has_attempt) {
            move_request(row, cancel_reason::target_silent, attempt_failure::cut,
                         attempt_end::group_lost, now, out);
            continue;
        }
        pool_row& pool = pools.at(index);
        if (choose_node(now) == no_target || !pool.queue.remove(flow_of(row), request))
            continue;
        --pool.use_of(row.info.workspace, peers).queued;
        send_through_node(row, now, out);
    }
}

/// Gives each server that failed during the cut one request to show that it responds again.
void request_core::state::return_to_servers(const pool_row& pool, time_point now)
{
    for (const target_row_index at : pool.view.targets) {
        target_row& row = targets.at(at);
        row.health.consecutive_failures = 0;
        if (row.health.silent)
            row.health.next_trial = now;
        if (row.health.ejected)
            row.health.ejected_until = now;
    }
}

void request_core::state::probe_if_due(pool_row& pool, time_point now, command_list& out)
{
    const std::vector<target_row_index>& candidates = pool.view.targets;
    if (candidates.empty()) {
        pool.reach.reset(); // all servers that failed are gone
        return;
    }
    if (pool.probes_pending > 0 && now < pool.next_probe + probe_timeout)
        return;
    if (now < pool.next_probe)
        return;
    const bool inquiry = pool.reach.inquiry_due();
    const std::vector<target_row_index> chosen = choose_probes(pool, inquiry ? inquiry_size : 1);
    pool.control = inquiry ? choose_node(now) : no_target;
    if (inquiry)
        pool.reach.begin_inquiry(chosen.size(), pool.control != no_target);
    if (pool.control != no_target) {
        const target& node = targets.at(pool.control).info;
        out.emplace_back(probe_server{node.id, node.address});
    }
    pool.next_probe = now + probe_interval;
    pool.probes_pending = static_cast<std::uint32_t>(chosen.size());
    for (const target_row_index at : chosen) {
        const target& probed = targets.at(at).info;
        out.emplace_back(probe_server{probed.id, probed.address, pool.reach.needs_response()});
    }
}

/// Servers whose connections tell most: one at random, or several, those that have not failed
/// first, each in another failure domain as far as there are.
std::vector<target_row_index> request_core::state::choose_probes(const pool_row& pool,
                                                                 std::size_t most)
{
    const pool_view& view = pool.view;
    const std::size_t first = random.index(view.targets.size());
    if (most == 1)
        return {view.targets[first]};
    std::vector<std::size_t> asked_in_domain(view.mean_others_by_domain.size(), 0);
    std::vector<target_row_index> chosen;
    while (chosen.size() < std::min(most, view.targets.size())) {
        std::size_t best = view.targets.size();
        std::pair<bool, std::size_t> lowest;
        for (std::size_t step = 0; step < view.targets.size(); ++step) {
            const std::size_t position = (first + step) % view.targets.size();
            const target_row_index at = view.targets[position];
            if (std::find(chosen.begin(), chosen.end(), at) != chosen.end())
                continue;
            const target_health& health = targets.at(at).health;
            const bool failed = health.silent || health.ejected || targets.at(at).leaving() ||
                                pool.reach.has_failed(view.id_hashes[position]);
            const std::pair cost{failed, asked_in_domain[view.domain_indexes[position]]};
            if (best == view.targets.size() || cost < lowest) {
                best = position;
                lowest = cost;
            }
        }
        chosen.push_back(view.targets[best]);
        ++asked_in_domain[view.domain_indexes[best]];
    }
    return chosen;
}

} // namespace jaynotch
