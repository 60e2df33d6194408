// Level-triggered: each tick compares what the registry shows with what should be and orders the
// difference. An order that was lost, refused or carried out late is therefore simply due again, or
// done already.
//
// Why a late order does no harm. Orders may be carried out seconds after they were sent, behind
// newer ones. Each composition has a name and an epoch of its own, never used again and higher than
// all before it (the manager's term, then a counter). A join also names how many orders the runner
// had begun when it was free; one that comes behind any other is refused. So no join takes a runner
// out of a group, and none brings it back into one that it has left. A late open, close or leave
// names a composition that is over. A manager that was replaced has a lower term, which runners
// refuse once they have met the new one.
#include "groups/formation.h"

#include "groups/formation_state.h"

namespace jaynotch::groups {

std::string formation_key(std::string_view deployment, const failure_domain_id& domain)
{
    return std::string{deployment} + "/manager/" + domain.value();
}

formation::state::state(formation_settings given, const runner_registry& shared)
    : settings{std::move(given)}, vote{{.key = formation_key(settings.deployment, settings.domain),
                                        .self = settings.self}},
      known{shared}
{}

formation::formation(formation_settings settings, const runner_registry& known)
    : m_state{std::make_unique<state>(std::move(settings), known)}
{}

formation::~formation() = default;
formation::formation(formation&&) noexcept = default;
formation& formation::operator=(formation&&) noexcept = default;

formation_commands formation::handle(const formation_event& happened, time_point now)
{
    m_state->take(happened, now);
    return std::exchange(m_state->out, {});
}

formation_commands formation::resign()
{
    std::vector<election_command> calls;
    m_state->vote.resign(calls);
    formation_commands commands;
    for (election_command& call : calls)
        std::visit([&](auto& one) { commands.emplace_back(std::move(one)); }, call);
    return commands;
}

bool formation::leading(time_point now) const
{
    return m_state->vote.leading(now);
}

formation_status formation::status(time_point now) const
{
    const state& core = *m_state;
    formation_status told;
    told.leading = core.vote.leading(now);
    told.dark = told.leading && core.dark(now);
    told.term = core.vote.term();
    told.orders = core.orders;
    for (const auto& [vm, view] : core.runners) {
        if (!view.listed)
            continue;
        const bool spare = !view.row.group || core.warms_up(key_of(*view.row.group));
        if (spare)
            ++told.spare_runners;
        else if (view.row.group->rank == 0 && view.row.group->phase == member_phase::open)
            ++told.groups_open;
        else if (view.row.group->rank == 0)
            ++told.groups_forming;
    }
    return told;
}

bool formation::state::managed(const runner& row) const
{
    return row.failure_domain == settings.domain && row.joins_groups();
}

runner_view* formation::state::find(const vm_id& vm)
{
    const auto found = runners.find(vm);
    return found == runners.end() ? nullptr : &found->second;
}

const runner_view* formation::state::find(const vm_id& vm) const
{
    const auto found = runners.find(vm);
    return found == runners.end() ? nullptr : &found->second;
}

void formation::state::say(log_level level, std::string kind, std::string subject,
                           std::string detail)
{
    out.emplace_back(notice{level, std::move(kind), std::move(subject), std::move(detail)});
}

void formation::state::take(const formation_event& happened, time_point now)
{
    struct visitor {
        state& core;
        time_point now;

        void operator()(const runner_seen& e) const { core.take_runner(e.row, now); }
        void operator()(const runner_gone& e) const { core.drop_runner(e.vm, now); }
        void operator()(const model_pools_seen& e) const { core.pools = e.pools; }
        void operator()(const manager_key_seen& e) const { core.vote.key_seen(e.entry, now); }
        void operator()(const registry_current& e) const
        {
            core.registry = e;
            core.delay_before_claim.reset();
        }
        void operator()(const kv_result& e) const { core.vote.take(e, now); }
        void operator()(const lease_result& e) const
        {
            std::vector<election_command> calls;
            core.vote.take(e, now, calls);
            for (election_command& call : calls)
                std::visit([&](auto& one) { core.out.emplace_back(std::move(one)); }, call);
        }
        void operator()(const order_answered& e) const { core.take_answer(e, now); }
        void operator()(const group_silent& e) const
        {
            if (core.vote.leading(now))
                core.take_silence(e.head);
        }
        void operator()(const member_probed& e) const
        {
            core.take_probe(e, now);
            core.run_tick(now);
        }
        void operator()(const peers_word& e) const
        {
            if (runner_view* view = core.find(e.vm); view != nullptr && view->silent) {
                view->dead = !e.answers;
                view->silent = !e.answers; // one that others hear works on behind a cut of our own
            }
            core.run_tick(now);
        }
        void operator()(const outage_confirmed& e) const { core.vote.outage_confirmed(e.asked); }
        void operator()(const outage_conceded& /*e*/) const { core.vote.stand_back(now); }
        void operator()(const runner_reported& e) const { core.take_report(e.report, now); }
        void operator()(const peers_seen& e) const
        {
            core.peers = e.peers;
            core.delay_before_claim.reset();
        }
        void operator()(const traffic_begun& /*e*/) const { core.traffic = true; }
        void operator()(const formation_tick& /*e*/) const { core.run_tick(now); }
    };
    std::visit(visitor{*this, now}, happened);
}

/// Begins to manage with what the registry shows of the domain.
void formation::state::adopt_runners()
{
    managing = true;
    for (const auto& [vm, entry] : known.runners()) {
        if (!managed(entry.row))
            continue;
        runner_view& view = runners[vm];
        view.row = entry.row;
        view.warm = entry.warm;
        view.listed = entry.listed;
        view.unlisted_at = entry.unlisted_at;
        view.leaving_since = entry.leaving_since;
        view.told_at = entry.told_at;
    }
    index_runners();
}

void formation::state::release_runners()
{
    managing = false;
    by_fabric.clear();
    runners.clear();
    planned.clear();
}

void formation::state::index_runners()
{
    by_fabric.clear();
    for (auto& [vm, view] : runners)
        by_fabric[view.row.fabric_domain].push_back(&view);
}

void formation::state::take_runner(const runner& row, time_point now)
{
    if (!managing || !managed(row))
        return;
    const auto [found, fresh] = runners.try_emplace(row.id);
    runner_view& view = found->second;
    const bool reborn = !fresh && view.row.born_ms != row.born_ms;
    const bool moved = fresh || view.row.fabric_domain != row.fabric_domain;
    if (reborn)
        view = runner_view{};
    if (row.leaving && (fresh || reborn || !view.row.leaving))
        view.leaving_since = now;
    const std::optional<membership> group = view.row.group;
    const std::string model = view.row.model;
    view.row = row;
    const bool before_join = view.ahead && (!row.group || row.group->epoch < view.ahead->second);
    const bool before_leave = row.group && row.group->epoch <= view.left_epoch;
    if (before_join || before_leave) {
        view.row.group = group;
        view.row.model = model;
    }
    else {
        // One that contradicts its word is older or newer than that: it has to be asked.
        const bool stays = row.group ? group && key_of(*group) == key_of(*row.group) : !group;
        view.vouched = view.vouched && stays;
        view.ahead.reset();
    }
    view.listed = true;
    view.dead = false; // it has just written its entry
    if (!row.model.empty())
        view.warm = row.model;
    const bool staged =
        std::find(row.staged.begin(), row.staged.end(), view.staging) != row.staged.end();
    if (staged)
        view.staging.clear();
    if (moved)
        index_runners();
}

void formation::state::drop_runner(const vm_id& vm, time_point now)
{
    if (runner_view* view = find(vm); view != nullptr && view->listed) {
        view->listed = false;
        view->unlisted_at = now;
    }
}

void formation::state::take_answer(const order_answered& answer, time_point now)
{
    runner_view* view = find(answer.vm);
    if (view == nullptr || view->pending != answer.token)
        return;
    view->pending.reset();
    const bool taken = answer.reply == order_reply::begun || answer.reply == order_reply::holds;
    if (answer.reply == order_reply::outdated && vote.leading(now)) {
        say(log_level::warning, "manager_outdated", answer.vm.value(),
            "a runner knows a newer term than " + std::to_string(vote.term()));
        vote.outdated(now);
        return;
    }
    if (!taken) {
        // One that is lost has waited for its timeout already; the probe tells whether to go on.
        if (answer.reply != order_reply::lost)
            view->not_before = now + settings.order_pause;
        if (answer.reply == order_reply::lost || answer.reply == order_reply::elsewhere)
            out.emplace_back(probe_member{answer.vm, view->row.address});
        const bool refused_join = answer.reply == order_reply::misfit &&
                                  std::holds_alternative<join_group>(view->pending_order);
        if (refused_join)
            view->vouched = false; // it has begun an order that this manager knows nothing of
        return;
    }
    carried_out(*view, view->pending_order, answer.reply, now);
    run_tick(now);
}

// What an accepted order does is taken for done at once; the registry confirms it some milliseconds
// later, or shows that it was not so.
void formation::state::carried_out(runner_view& view, const member_order& order, order_reply reply,
                                   time_point now)
{
    const bool begun = reply == order_reply::begun;
    if (const auto* joined = std::get_if<join_group>(&order)) {
        has_joined(view, *joined, begun, now);
        return;
    }
    if (const auto* left = std::get_if<leave_group>(&order)) {
        has_left(view, *left, now);
        return;
    }
    // One that was begun already is answered alike but not counted, so only its report tells.
    view.vouched = view.vouched && !begun;
    view.ask_again = now + settings.report_age;
    if (std::holds_alternative<open_group>(order))
        view.not_before = now + 2 * settings.order_pause; // it takes a moment to open
}

void formation::state::has_joined(runner_view& view, const join_group& joined, bool begun,
                                  time_point now)
{
    view.vouched = begun;
    if (begun)
        view.begun_orders = view.begun_before_pending + 1;
    // Its entry may have been faster than this answer. A head that is open already must not be
    // taken for one that still joins: its members would count as free.
    if (is_in(view, {joined.group, joined.epoch}))
        return;
    const auto at = std::find(joined.members.begin(), joined.members.end(), view.row.id);
    const auto rank = static_cast<std::uint32_t>(at - joined.members.begin());
    view.row.group = membership{joined.group, joined.epoch, rank, member_phase::joining};
    view.row.model.clear();
    view.ahead = key_of(*view.row.group);
    share(view, now);
}

void formation::state::has_left(runner_view& view, const leave_group& left, time_point now)
{
    const bool was_in = is_in(view, {left.group, left.epoch});
    const bool undisturbed = view.vouched && view.begun_orders == view.begun_before_pending;
    view.vouched = undisturbed && was_in;
    if (view.vouched)
        ++view.begun_orders;
    view.left_epoch = std::max(view.left_epoch, left.epoch);
    if (was_in) {
        view.row.group.reset();
        view.ahead.reset();
    }
    share(view, now);
}

void formation::state::take_probe(const member_probed& probed, time_point now)
{
    runner_view* view = find(probed.vm);
    if (view == nullptr)
        return;
    if (!probed.answers && !view->silent) {
        view->silent_since = now;
        const bool head = view->row.group && view->row.group->rank == 0;
        if (head)
            out.emplace_back(ask_peers{probed.vm, view->row.address});
    }
    if (probed.answers)
        view->answered_at = now;
    view->silent = !probed.answers;
    view->silent_until = now + settings.dead_mark;
    view->dead = view->dead && view->silent;
}

void formation::state::take_silence(const vm_id& head)
{
    const runner_view* view = find(head);
    if (view == nullptr || !view->row.group)
        return;
    const group_key key = key_of(*view->row.group);
    for (const auto& [vm, other] : runners) {
        if (is_in(other, key) && !other.silent)
            out.emplace_back(probe_member{vm, other.row.address});
    }
}

std::optional<duration> formation::state::patience()
{
    if (!registry.current || known.runners().empty())
        return std::nullopt;
    if (!delay_before_claim)
        delay_before_claim = claim_delay();
    return delay_before_claim;
}

/// Nodes claim one after the other, not all at once: those of the domain by rank, then those of the
/// other domains, one domain after the other.
duration formation::state::claim_delay() const
{
    const duration own_turn = static_cast<duration::rep>(registry.rank) * settings.claim_turn;
    // Also while no node there is known: at a start of everything they are not heard of yet, and
    // one node that took all domains would leave all of them without a manager when it dies.
    if (settings.own_domain == settings.domain)
        return own_turn;
    std::set<std::string> others{settings.own_domain.value()};
    for (const peer_row& peer : peers) {
        if (peer.failure_domain != settings.domain)
            others.insert(peer.failure_domain.value());
    }
    const std::vector<std::string> names{others.begin(), others.end()};
    const std::vector<std::size_t> ranked =
        rendezvous(settings.domain.value(), names, names.size());
    duration wait = settings.foreign_patience + own_turn;
    for (const std::size_t index : ranked) {
        if (names[index] == settings.own_domain.value())
            break;
        wait += static_cast<duration::rep>(settings.claimers) * settings.claim_turn;
    }
    return wait;
}

void formation::state::run_election(time_point now)
{
    std::vector<election_command> calls;
    vote.tick(patience(), now, calls);
    for (election_command& call : calls)
        std::visit([&](auto& one) { out.emplace_back(std::move(one)); }, call);
    const bool leading = vote.leading(now);
    if (leading != was_leading)
        say(log_level::info, leading ? "manager_elected" : "manager_ended", settings.domain.value(),
            "term " + std::to_string(vote.term()));
    was_leading = leading;
    const bool holds_key = vote.term() != 0;
    const bool new_term = holds_key && vote.term() != number_term;
    if (managing && (!holds_key || new_term))
        release_runners();
    if (new_term) {
        number_term = vote.term();
        last_number = 0;
    }
    if (holds_key && !managing)
        adopt_runners();
}

void formation::state::forget_lost(time_point now)
{
    const std::size_t forgotten = std::erase_if(runners, [&](const auto& entry) {
        return !entry.second.listed && now - entry.second.unlisted_at > keep_unlisted;
    });
    if (forgotten > 0)
        index_runners();
    for (auto& [vm, view] : runners) {
        if (view.silent && now >= view.silent_until)
            doubt_silent(view, now);
        if (!view.staging.empty() && now >= view.staging_until)
            view.staging.clear();
        if (view.pending && now - view.pending_since > 2 * settings.order_timeout)
            view.pending.reset();
    }
}

void formation::state::run_tick(time_point now)
{
    run_election(now);
    ask_about_store(now);
    forget_lost(now);
    if (!vote.leading(now) || pools.empty())
        return;
    ask_members(now);
    look_at_groups(now);
    form_groups(now);
    say_use(now);
}

/// What every runner of the domain does, so that accelerators that serve nobody are seen.
void formation::state::say_use(time_point now)
{
    constexpr duration interval = 2s;
    if (now - use_said < interval)
        return;
    use_said = now;
    std::map<std::string, std::size_t> counts;
    for (const auto& [vm, view] : runners) {
        if (view.listed)
            ++counts[view.row.fabric_domain.value() + " " + use_of(view)];
    }
    std::string told;
    for (const auto& [use, count] : counts)
        told += (told.empty() ? "" : ", ") + use + " " + std::to_string(count);
    say(log_level::info, "runners_used", settings.domain.value(), std::move(told));
}

std::string formation::state::use_of(const runner_view& view) const
{
    if (view.silent)
        return "silent";
    const std::string leaving = view.row.leaving ? "leaving " : "";
    if (view.row.group) {
        const group_key key = key_of(*view.row.group);
        if (warms_up(key))
            return leaving + "warming";
        return leaving + std::string{to_name(view.row.group->phase)} + " " + view.row.model;
    }
    if (!view.staging.empty())
        return leaving + "staging " + view.staging;
    if (view.row.staged.empty())
        return leaving + "bare";
    return leaving + (view.warm == view.row.staged.front() ? "warm " : "staged ") +
           view.row.staged.front();
}

bool formation::state::order(runner_view& view, member_order wanted, time_point now)
{
    if (view.pending || now < view.not_before || !view.listed)
        return false;
    view.pending = call_token{++last_token};
    view.pending_since = now;
    view.pending_order = wanted;
    view.begun_before_pending = view.begun_orders;
    ++orders;
    out.emplace_back(send_order{*view.pending, view.row.id, view.row.address, std::move(wanted),
                                fencing_number{vote.term()}});
    return true;
}

} // namespace jaynotch::groups
