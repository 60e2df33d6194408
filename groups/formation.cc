// Level-triggered: each tick compares the state shown by the registry with the desired state and
// sends orders for the difference. An order that was lost or refused is therefore sent again, and
// one that was executed late needs no further action.
//
// Late orders are harmless. An order may be executed seconds after it was sent, after newer ones.
// Every composition has a unique name and an epoch that is higher than all earlier ones (the
// manager's term, then a counter). A join carries the number of orders that the runner had begun
// when it was free, and the runner refuses the join after any other order. So a join never takes a
// runner out of a group and never returns it to a group that it has left. A late open, close or
// leave names a composition that no longer exists. A replaced manager has a lower term, and runners
// refuse its orders once they have received one from its successor.
#include "groups/formation.h"

#include "groups/formation_state.h"

namespace jaynotch::groups {

std::string formation_key(std::string_view deployment, const failure_domain_id& domain)
{
    return std::string{deployment} + "/manager/" + domain.value();
}

formation_manager::state::state(formation_settings given, const runner_registry& shared)
    : settings{std::move(given)}, lease_election{{.key = formation_key(settings.deployment,
                                                                       settings.domain),
                                                  .self = settings.self}},
      registry{shared}
{}

formation_manager::formation_manager(formation_settings settings, const runner_registry& known)
    : m_state{std::make_unique<state>(std::move(settings), known)}
{}

formation_manager::~formation_manager() = default;
formation_manager::formation_manager(formation_manager&&) noexcept = default;
formation_manager& formation_manager::operator=(formation_manager&&) noexcept = default;

formation_commands formation_manager::handle(const formation_event& event, time_point now)
{
    m_state->apply(event, now);
    return std::exchange(m_state->out, {});
}

formation_commands formation_manager::resign()
{
    std::vector<election_command> calls;
    m_state->lease_election.resign(calls);
    formation_commands commands;
    for (election_command& call : calls)
        std::visit([&](auto& one) { commands.emplace_back(std::move(one)); }, call);
    return commands;
}

bool formation_manager::leading(time_point now) const
{
    return m_state->lease_election.leading(now);
}

formation_status formation_manager::status(time_point now) const
{
    const state& core = *m_state;
    formation_status counts;
    counts.leading = core.lease_election.leading(now);
    counts.store_unreachable = counts.leading && core.store_unreachable(now);
    counts.term = core.lease_election.term();
    counts.orders = core.orders;
    for (const auto& [vm, view] : core.runners) {
        if (!view.listed)
            continue;
        const bool spare = !view.row.group || core.is_warm_up(key_of(*view.row.group));
        if (spare)
            ++counts.spare_runners;
        else if (view.row.group->rank == 0 && view.row.group->phase == member_phase::open)
            ++counts.groups_open;
        else if (view.row.group->rank == 0)
            ++counts.groups_forming;
    }
    return counts;
}

bool formation_manager::state::managed(const runner& row) const
{
    return row.failure_domain == settings.domain && row.joins_groups();
}

runner_view* formation_manager::state::find(const vm_id& vm)
{
    const auto found = runners.find(vm);
    return found == runners.end() ? nullptr : &found->second;
}

const runner_view* formation_manager::state::find(const vm_id& vm) const
{
    const auto found = runners.find(vm);
    return found == runners.end() ? nullptr : &found->second;
}

void formation_manager::state::add_notice(log_level level, std::string kind, std::string subject,
                                          std::string detail)
{
    out.emplace_back(notice{level, std::move(kind), std::move(subject), std::move(detail)});
}

void formation_manager::state::apply(const formation_event& event, time_point now)
{
    struct visitor {
        state& core;
        time_point now;

        void operator()(const runner_updated& e) const { core.update_runner(e.row, now); }
        void operator()(const runner_removed& e) const { core.unlist_runner(e.vm, now); }
        void operator()(const model_pools_updated& e) const { core.pools = e.pools; }
        void operator()(const manager_key_updated& e) const
        {
            core.lease_election.key_updated(e.entry, now);
        }
        void operator()(const registry_status& e) const
        {
            core.registry_state = e;
            core.delay_before_claim.reset();
        }
        void operator()(const server_reach_changed& e) const
        {
            core.handle_reach(e);
            core.run_tick(now);
        }
        void operator()(const kv_result& e) const { core.lease_election.apply(e, now); }
        void operator()(const lease_result& e) const
        {
            std::vector<election_command> calls;
            core.lease_election.apply(e, now, calls);
            for (election_command& call : calls)
                std::visit([&](auto& one) { core.out.emplace_back(std::move(one)); }, call);
        }
        void operator()(const order_answered& e) const { core.handle_order_answer(e, now); }
        void operator()(const group_unresponsive& e) const
        {
            core.handle_unresponsive_group(e, now);
        }
        void operator()(const member_probed& e) const
        {
            core.handle_probe_answer(e, now);
            core.run_tick(now);
        }
        void operator()(const peer_probe_result& e) const
        {
            if (runner_view* view = core.find(e.vm); view != nullptr && view->unresponsive) {
                view->dead = !e.answers;
                // A runner that answers other nodes is alive; only this node can't reach it.
                view->unresponsive = !e.answers;
            }
            core.run_tick(now);
        }
        void operator()(const outage_confirmed& e) const
        {
            core.lease_election.outage_confirmed(e.asked);
        }
        void operator()(const store_restored& /*e*/) const
        {
            core.lease_election.store_restored(now);
        }
        void operator()(const outage_reported& /*e*/) const
        {
            core.lease_election.suspend_candidacy(now);
        }
        void operator()(const runner_reported& e) const { core.handle_report(e.report, now); }
        void operator()(const runner_report_missed& e) const
        {
            core.handle_missed_report(e.vm, now);
        }
        void operator()(const peers_seen& e) const
        {
            core.peers = e.peers;
            core.delay_before_claim.reset();
        }
        void operator()(const traffic_started& /*e*/) const { core.traffic = true; }
        void operator()(const formation_tick& /*e*/) const { core.run_tick(now); }
    };
    std::visit(visitor{*this, now}, event);
}

/// Starts managing with the runners of the domain that the registry shows.
void formation_manager::state::adopt_runners()
{
    managing = true;
    for (const auto& [vm, entry] : registry.runners()) {
        if (!managed(entry.row))
            continue;
        runner_view& view = runners[vm];
        view.row = entry.row;
        view.warm_model = entry.warm_model;
        view.listed = entry.listed;
        view.unlisted_at = entry.unlisted_at;
        view.leaving_since = entry.leaving_since;
        view.reported_at = entry.reported_at;
    }
    index_runners();
}

void formation_manager::state::clear_runners()
{
    managing = false;
    by_fabric.clear();
    runners.clear();
    planned.clear();
}

void formation_manager::state::index_runners()
{
    by_fabric.clear();
    for (auto& [vm, view] : runners)
        by_fabric[view.row.fabric_domain].push_back(&view);
}

void formation_manager::state::update_runner(const runner& row, time_point now)
{
    if (!managing || !managed(row))
        return;
    const auto [found, inserted] = runners.try_emplace(row.id);
    runner_view& view = found->second;
    const bool restarted = !inserted && view.row.born_ms != row.born_ms;
    const bool moved = inserted || view.row.fabric_domain != row.fabric_domain;
    if (restarted)
        view = runner_view{};
    if (row.leaving && (inserted || restarted || !view.row.leaving))
        view.leaving_since = now;
    const std::optional<membership> group = view.row.group;
    const std::string model = view.row.model;
    view.row = row;
    const bool before_join = view.joined_before_entry &&
                             (!row.group || row.group->epoch < view.joined_before_entry->second);
    const bool before_leave = row.group && row.group->epoch <= view.left_epoch;
    if (before_join || before_leave) {
        view.row.group = group;
        view.row.model = model;
    }
    else {
        // An entry that contradicts the runner's last report or reply may be older or newer than
        // it, so the runner has to be asked again.
        const bool same_group = row.group ? group && key_of(*group) == key_of(*row.group) : !group;
        view.membership_confirmed = view.membership_confirmed && same_group;
        view.joined_before_entry.reset();
    }
    view.listed = true;
    view.dead = false; // it has just written its entry, so it is alive
    if (!row.model.empty())
        view.warm_model = row.model;
    const bool staged =
        std::find(row.staged.begin(), row.staged.end(), view.staging) != row.staged.end();
    if (staged)
        view.staging.clear();
    if (moved)
        index_runners();
}

void formation_manager::state::unlist_runner(const vm_id& vm, time_point now)
{
    if (runner_view* view = find(vm); view != nullptr && view->listed) {
        view->listed = false;
        view->unlisted_at = now;
    }
}

void formation_manager::state::handle_order_answer(const order_answered& answer, time_point now)
{
    runner_view* view = find(answer.vm);
    if (view == nullptr || view->pending != answer.token)
        return;
    view->pending.reset();
    const bool accepted = answer.reply == order_reply::begun || answer.reply == order_reply::holds;
    if (answer.reply == order_reply::outdated && lease_election.leading(now)) {
        add_notice(log_level::warning, "manager_outdated", answer.vm.value(),
                   "the runner refused an order: it knows a newer term than " +
                       std::to_string(lease_election.term()));
        lease_election.outdated(now);
        return;
    }
    if (answer.reply == order_reply::lost)
        ++view->orders_missed;
    else
        view->orders_missed = 0;
    if (!accepted) {
        // A lost order has already waited for its timeout, and the probe shows whether the runner
        // is still usable.
        if (answer.reply != order_reply::lost)
            view->next_order_at = now + settings.order_retry_delay;
        if (answer.reply == order_reply::lost || answer.reply == order_reply::elsewhere)
            probe(*view, now);
        const bool refused_join = answer.reply == order_reply::misfit &&
                                  std::holds_alternative<join_group>(view->pending_order);
        if (refused_join)
            // It has begun an order that this manager does not know of.
            view->membership_confirmed = false;
        return;
    }
    apply_accepted_order(*view, view->pending_order, answer.reply, now);
    run_tick(now);
}

// Applies the effect of an accepted order immediately; the runner's entry confirms or corrects it
// some milliseconds later.
void formation_manager::state::apply_accepted_order(runner_view& view, const member_order& order,
                                                    order_reply reply, time_point now)
{
    const bool begun = reply == order_reply::begun;
    view.order_accepted_at = now;
    if (const auto* joined = std::get_if<join_group>(&order)) {
        apply_join(view, *joined, begun, now);
        return;
    }
    if (const auto* left = std::get_if<leave_group>(&order)) {
        apply_leave(view, *left, now);
        return;
    }
    // A runner replies `begun` also to a repeated order that it is already executing and does not
    // count again, so its order count is unknown until its next report.
    view.membership_confirmed = view.membership_confirmed && !begun;
    view.next_report_query = now + settings.max_report_age;
    if (std::holds_alternative<open_group>(order))
        view.next_order_at = now + 2 * settings.order_retry_delay; // opening takes some time
}

void formation_manager::state::apply_join(runner_view& view, const join_group& joined, bool begun,
                                          time_point now)
{
    view.membership_confirmed = begun;
    if (begun)
        view.begun_orders = view.begun_orders_before_pending + 1;
    // The entry may have arrived before this reply. Resetting a head that is already open to
    // `joining` would make its members count as free.
    if (is_in(view, {joined.group, joined.epoch}))
        return;
    const auto at = std::find(joined.members.begin(), joined.members.end(), view.row.id);
    const auto rank = static_cast<std::uint32_t>(at - joined.members.begin());
    view.row.group = membership{joined.group, joined.epoch, rank, member_phase::joining};
    view.row.model.clear();
    view.joined_before_entry = key_of(*view.row.group);
    broadcast(view, now);
}

void formation_manager::state::apply_leave(runner_view& view, const leave_group& left,
                                           time_point now)
{
    const bool was_in = is_in(view, {left.group, left.epoch});
    const bool no_other_order =
        view.membership_confirmed && view.begun_orders == view.begun_orders_before_pending;
    view.membership_confirmed = no_other_order && was_in;
    if (view.membership_confirmed)
        ++view.begun_orders;
    view.left_epoch = std::max(view.left_epoch, left.epoch);
    if (was_in) {
        view.row.group.reset();
        view.joined_before_entry.reset();
    }
    broadcast(view, now);
}

void formation_manager::state::probe(runner_view& view, time_point now)
{
    if (evacuated())
        return;
    view.probed_at = now;
    const duration timeout =
        backed_off(settings.probe_timeout, view.probes_missed, settings.max_probe_timeout);
    out.emplace_back(probe_member{view.row.id, view.row.address, timeout});
}

/// Another node must manage the domain while this one reaches no runner.
void formation_manager::state::handle_reach(const server_reach_changed& changed)
{
    cut_off = changed.cut_off;
    if (!cut_off)
        return;
    std::vector<election_command> calls;
    lease_election.resign(calls);
    for (election_command& call : calls)
        std::visit([&](auto& one) { out.emplace_back(std::move(one)); }, call);
}

/// Whether a member of the runner's group has answered a probe since then.
bool formation_manager::state::group_answered_since(const runner_view& member,
                                                    time_point since) const
{
    const group_key key = key_of(*member.row.group);
    return std::any_of(runners.begin(), runners.end(), [&](const auto& entry) {
        return is_in(entry.second, key) && entry.second.probe_answered_at >= since;
    });
}

/// Whether a member of the runner's group is known to be unresponsive.
bool formation_manager::state::has_lost_member(const runner_view& member) const
{
    if (!member.row.group)
        return false;
    const group_key key = key_of(*member.row.group);
    return std::any_of(runners.begin(), runners.end(), [&](const auto& entry) {
        return is_in(entry.second, key) && entry.second.unresponsive;
    });
}

/// For how long a member may leave probes unanswered before its group is formed anew. That takes a
/// load if no spare has the weights, so a group that serves is kept longer than that for a member
/// that keeps its entry: it is late rather than lost.
duration formation_manager::state::longest_silence(const runner_view& view, time_point now) const
{
    if (!is_in_serving_group(view))
        return settings.max_forming_silence;
    if (store_unreachable(now) || !view.listed)
        return settings.max_silence;
    duration load{0};
    for (const pool& model_pool : pools)
        load = std::max<duration>(load, model_pool.forming.load);
    return settings.max_silence + load;
}

/// Whether a member that did not answer, though its host accepted the connection, is waited for. A
/// group that has lost another member ends anyway.
bool formation_manager::state::wait_for_silent_member(runner_view& view, time_point now)
{
    if (!view.row.group || has_lost_member(view))
        return false;
    if (!view.silent_since)
        view.silent_since = now;
    return now - *view.silent_since < longest_silence(view, now);
}

/// A probe without an answer shows that the runner is lost only if this node's links work, that is,
/// if another member of its group has answered since. If none has, the node's own link may be full
/// or cut, and ending the group would save nobody. Then the peers are asked, and the group is
/// probed again until a member answers, the peers have answered, or the entries have expired.
void formation_manager::state::note_failed_probe(runner_view& view, time_point now)
{
    const bool unheard = view.row.group && !group_answered_since(view, view.probed_at);
    if (view.unresponsive) {
        if (!unheard)
            view.doubted_until = now;
        return;
    }
    view.unresponsive_since = now;
    if (unheard) {
        view.doubted_until = now + settings.max_silence;
        view.next_silence_probe = now + settings.silence_probe_interval;
    }
    const bool head = view.row.group && view.row.group->rank == 0;
    if (head || unheard)
        out.emplace_back(probe_through_peers{view.row.id, view.row.address});
}

bool formation_manager::state::is_doubted(const runner_view& view, time_point now)
{
    return view.unresponsive && !view.dead && now < view.doubted_until;
}

/// Probes all members at once, so that those that answer show whether the others are lost.
void formation_manager::state::probe_members(const group_key& key, time_point now)
{
    for (auto& [vm, view] : runners) {
        if (!is_in(view, key))
            continue;
        view.next_silence_probe = now + settings.silence_probe_interval;
        probe(view, now);
    }
}

void formation_manager::state::handle_probe_answer(const member_probed& probed, time_point now)
{
    runner_view* view = find(probed.vm);
    if (view == nullptr)
        return;
    if (probed.outcome == probe_outcome::accepted)
        ++view->probes_missed;
    else
        view->probes_missed = 0;
    if (probed.outcome == probe_outcome::accepted && wait_for_silent_member(*view, now)) {
        const bool serving = is_in_serving_group(*view);
        view->next_silence_probe = serving ? now + settings.silence_probe_interval : now;
        return;
    }
    const bool answers = probed.outcome == probe_outcome::answered;
    view->silent_since.reset();
    if (answers)
        view->probe_answered_at = now;
    else
        note_failed_probe(*view, now);
    view->unresponsive = !answers;
    view->unresponsive_until = now + settings.unresponsive_hold_time;
    view->dead = view->dead && view->unresponsive;
}

/// The manager finds out which member is lost. It may have no requests at the group itself, so
/// nodes that do tell it; otherwise it would learn of the loss only when the member's entry
/// expires.
void formation_manager::state::handle_unresponsive_group(const group_unresponsive& seen,
                                                         time_point now)
{
    if (lease_election.leading(now)) {
        probe_group(seen, now);
        return;
    }
    // A missing first event is no reason to trouble another node: in a congested fleet every node
    // misses some all the time.
    if (seen.evidence != silence_evidence::stopped_streams)
        return;
    const registered_runner* head = registry.find(seen.head);
    const std::optional<node_id> manager = lease_election.holder();
    const bool managed_elsewhere = manager && *manager != settings.self;
    if (managed_elsewhere && head != nullptr && head->row.failure_domain == settings.domain)
        out.emplace_back(report_to_manager{*manager, seen.head});
}

/// Takes a token for one probe of a group that another node has reported; false if none is left.
bool formation_manager::state::take_peer_probe_token(time_point now)
{
    const double rate = settings.peer_report_probes_per_s;
    const double passed = std::chrono::duration<double>(now - peer_probe_tokens_at).count();
    peer_probe_tokens_at = now;
    peer_probe_tokens = std::min(rate, peer_probe_tokens + passed * rate);
    if (peer_probe_tokens < 1.0)
        return false;
    peer_probe_tokens -= 1.0;
    return true;
}

void formation_manager::state::probe_group(const group_unresponsive& seen, time_point now)
{
    runner_view* view = find(seen.head);
    if (view == nullptr || !view->row.group || now < view->next_group_probe)
        return;
    const bool reported = seen.evidence == silence_evidence::peer_report;
    if (reported && !take_peer_probe_token(now))
        return;
    view->next_group_probe = now + settings.group_probe_interval;
    add_notice(log_level::info, "group_probed", view->row.group->group.value(),
               std::string{to_name(seen.evidence)});
    const group_key key = key_of(*view->row.group);
    for (auto& [vm, other] : runners) {
        if (is_in(other, key) && !other.unresponsive && !other.silent_since)
            probe(other, now);
    }
}

std::optional<duration> formation_manager::state::current_claim_delay()
{
    if (!registry_state.current || registry.runners().empty() || cut_off)
        return std::nullopt;
    if (!delay_before_claim)
        delay_before_claim = compute_claim_delay();
    return delay_before_claim;
}

/// Staggers the claims of the nodes: first the nodes of the managed failure domain by rank, then
/// those of the other failure domains, one failure domain after another.
duration formation_manager::state::compute_claim_delay() const
{
    const duration own_turn =
        static_cast<duration::rep>(registry_state.rank) * settings.claim_stagger;
    if (settings.own_domain == settings.domain)
        return own_turn;
    // Nodes elsewhere wait even if no node of the managed domain is known: when the whole system
    // starts, its nodes are not known yet, and a node that claimed all domains would leave all of
    // them without a manager if it failed.
    std::set<std::string> others{settings.own_domain.value()};
    for (const peer_row& peer : peers) {
        if (peer.failure_domain != settings.domain)
            others.insert(peer.failure_domain.value());
    }
    const std::vector<std::string> names{others.begin(), others.end()};
    const std::vector<std::size_t> ranked =
        rendezvous(settings.domain.value(), names, names.size());
    duration wait = settings.foreign_claim_delay + own_turn;
    for (const std::size_t index : ranked) {
        if (names[index] == settings.own_domain.value())
            break;
        wait += static_cast<duration::rep>(settings.claimants_per_domain) * settings.claim_stagger;
    }
    return wait;
}

void formation_manager::state::run_election(time_point now)
{
    std::vector<election_command> calls;
    lease_election.tick(current_claim_delay(), now, calls);
    for (election_command& call : calls)
        std::visit([&](auto& one) { out.emplace_back(std::move(one)); }, call);
    const bool leading = lease_election.leading(now);
    if (leading != was_leading)
        add_notice(log_level::info, leading ? "manager_elected" : "manager_ended",
                   settings.domain.value(), "term " + std::to_string(lease_election.term()));
    was_leading = leading;
    const bool holds_key = lease_election.term() != 0;
    const bool new_term = holds_key && lease_election.term() != group_number_term;
    if (managing && (!holds_key || new_term))
        clear_runners();
    if (new_term) {
        group_number_term = lease_election.term();
        last_group_number = 0;
    }
    if (holds_key && !managing)
        adopt_runners();
}

void formation_manager::state::expire_runners(time_point now)
{
    const std::size_t expired = std::erase_if(runners, [&](const auto& entry) {
        return !entry.second.listed && now - entry.second.unlisted_at > unlisted_retention;
    });
    if (expired > 0)
        index_runners();
    for (auto& [vm, view] : runners) {
        if (view.unresponsive && now >= view.unresponsive_until)
            recheck_unresponsive(view, now);
        if (is_doubted(view, now) && view.row.group && now >= view.next_silence_probe)
            probe_members(key_of(*view.row.group), now);
        if (view.silent_since && now >= view.next_silence_probe) {
            // Not before this probe has ended, whose answer sets the time of the next one.
            view.next_silence_probe =
                now + settings.max_probe_timeout + settings.silence_probe_interval;
            probe(view, now);
        }
        if (!view.staging.empty() && now >= view.staging_until)
            view.staging.clear();
        if (view.pending && now - view.pending_since > 2 * settings.max_order_timeout)
            view.pending.reset();
    }
}

void formation_manager::state::run_tick(time_point now)
{
    run_election(now);
    query_store_outage(now);
    expire_runners(now);
    if (!lease_election.leading(now) || pools.empty() || evacuated())
        return;
    query_members(now);
    review_groups(now);
    form_groups(now);
    log_runner_use(now);
}

/// Logs the use of all runners of the domain, so that idle accelerators are visible.
void formation_manager::state::log_runner_use(time_point now)
{
    constexpr duration interval = 2s;
    if (now - use_logged_at < interval)
        return;
    use_logged_at = now;
    std::map<std::string, std::size_t> counts;
    for (const auto& [vm, view] : runners) {
        if (view.listed)
            ++counts[view.row.fabric_domain.value() + " " + describe_use(view)];
    }
    std::string summary;
    for (const auto& [use, count] : counts)
        summary += (summary.empty() ? "" : ", ") + use + " " + std::to_string(count);
    add_notice(log_level::info, "runners_used", settings.domain.value(), std::move(summary));
}

std::string formation_manager::state::describe_use(const runner_view& view) const
{
    if (view.unresponsive)
        return "silent";
    const std::string leaving = view.row.leaving ? "leaving " : "";
    if (view.row.group) {
        const group_key key = key_of(*view.row.group);
        if (is_warm_up(key))
            return leaving + "warming";
        return leaving + std::string{to_name(view.row.group->phase)} + " " + view.row.model;
    }
    if (!view.staging.empty())
        return leaving + "staging " + view.staging;
    if (view.row.staged.empty())
        return leaving + "bare";
    return leaving + (view.warm_model == view.row.staged.front() ? "warm " : "staged ") +
           view.row.staged.front();
}

bool formation_manager::state::order(runner_view& view, member_order wanted, time_point now)
{
    if (view.pending || now < view.next_order_at || !view.listed || evacuated())
        return false;
    view.pending = call_token{++last_token};
    view.pending_since = now;
    view.pending_order = wanted;
    view.begun_orders_before_pending = view.begun_orders;
    ++orders;
    const duration timeout =
        backed_off(settings.order_timeout, view.orders_missed, settings.max_order_timeout);
    out.emplace_back(send_order{*view.pending, view.row.id, view.row.address, std::move(wanted),
                                fencing_number{lease_election.term()}, timeout});
    return true;
}

} // namespace jaynotch::groups
