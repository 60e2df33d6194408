// Time advances in steps of 10 ms. An order is executed and answered in the step after it was sent;
// a lost one is executed 2 to 12 s later, regardless of other orders in between. If there is no
// answer, the manager's node reports the order as lost to the manager after the order's timeout.
#include "groups/fake_registry.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

constexpr duration step_time = 10ms;
constexpr duration three_heartbeats = 3'600ms;
constexpr duration report_retention = 1s; ///< more than any delay of reports

bool has(const std::vector<std::string>& list, const std::string& wanted)
{
    return std::find(list.begin(), list.end(), wanted) != list.end();
}

pool model_pool(const std::string& model, std::uint32_t size, std::chrono::milliseconds load,
                double share)
{
    pool made;
    made.name = pool_id{"llm/" + model};
    made.service = "llm";
    made.model = model;
    made.kind = pool_kind::model;
    made.replica_vms = size;
    made.forming.load = load;
    made.forming.warm_up = 1'100ms;
    made.forming.open = 300ms;
    made.forming.share = share;
    made.forming.loads_per_s = 4.5;
    made.forming.loads_at_once = 6;
    return made;
}

} // namespace

std::vector<pool> fake_registry::pools()
{
    return {model_pool("big", 4, 16'000ms, 0.57), model_pool("small", 3, 12'000ms, 0.43)};
}

fake_registry::fake_registry(fake_registry_settings settings)
    : m_settings{settings}, m_random{settings.seed}, m_traffic{settings.traffic}
{
    for (std::size_t index = 0; index < settings.managers; ++index)
        m_peers.push_back({node_id{"node-" + std::to_string(index)}, failure_domain_id{"f"}});
    for (std::size_t index = 0; index < settings.managers; ++index) {
        m_managers.push_back(make_manager(index));
        deliver_initial_state(index);
    }
    for (std::size_t domain = 0; domain < settings.domains; ++domain) {
        for (std::size_t index = 0; index < settings.runners; ++index) {
            const std::string place{static_cast<char>('a' + domain)};
            add("r-" + place + "-" + std::to_string(index), domain);
        }
    }
}

fake_registry::fake_manager fake_registry::make_manager(std::size_t manager) const
{
    formation_settings chosen;
    chosen.deployment = "test";
    chosen.self = m_peers[manager].node;
    chosen.own_domain = m_peers[manager].failure_domain;
    chosen.domain = m_peers[manager].failure_domain;
    chosen.max_groups_per_term = m_settings.max_groups_per_term;
    auto registry = std::make_unique<runner_registry>();
    formation_manager core{chosen, *registry};
    return {std::move(registry), std::move(core)};
}

void fake_registry::deliver_initial_state(std::size_t manager)
{
    std::vector<pool> configured = pools();
    for (pool& model_pool : configured)
        model_pool.forming.warm_up = m_settings.warm_up;
    deliver(manager, model_pools_updated{std::move(configured)});
    deliver(manager, registry_status{true, manager});
    deliver(manager, peers_seen{m_peers});
    const kv_entry* key = m_store.find(formation_key("test", failure_domain_id{"f"}));
    deliver(manager,
            manager_key_updated{key == nullptr ? std::optional<kv_entry>{} : std::optional{*key}});
    if (m_traffic)
        deliver(manager, traffic_started{});
    for (const auto& [id, row] : m_published)
        deliver(manager, runner_updated{row});
}

void fake_registry::start_manager(std::size_t index)
{
    m_managers[index] = make_manager(index);
    m_managers[index].registry->set_evacuated(failure_domain_id{"f"}, m_evacuated);
    deliver_initial_state(index);
}

void fake_registry::add(const std::string& id, std::size_t domain)
{
    fake_runner made;
    made.row.id = vm_id{id};
    made.row.service = "llm";
    made.row.address = "10.0.0.1:1";
    made.row.failure_domain = failure_domain_id{"f"};
    made.row.fabric_domain = fabric_domain_id{"d" + std::to_string(domain)};
    made.row.born_ms = ++m_last_born_ms;
    publish(m_runners.insert_or_assign(id, std::move(made)).first->second);
}

void fake_registry::kill(const std::string& id)
{
    fake_runner& stopped = *find(id);
    stopped.alive = false;
    stopped.unlist_at = m_now + three_heartbeats;
}

void fake_registry::disconnect(const std::string& id)
{
    fake_runner& isolated = *find(id);
    isolated.reachable = false;
    isolated.unlist_at = m_now + three_heartbeats;
}

void fake_registry::pause(const std::string& id)
{
    fake_runner& stopped = *find(id);
    stopped.paused = true;
    stopped.unlist_at = m_now + three_heartbeats;
}

void fake_registry::answer_late(const std::string& id, duration late)
{
    find(id)->late = late;
}

void fake_registry::resume(const std::string& id)
{
    fake_runner& continued = *find(id);
    continued.paused = false;
    continued.unlist_at = time_point::max();
    if (!continued.listed)
        continued.list_at = m_now;
}

void fake_registry::expire_entry(const std::string& id, duration away)
{
    fake_runner& lost = *find(id);
    lost.unlist_at = m_now;
    lost.list_at = m_now + away;
}

void fake_registry::restart_runner(const std::string& id)
{
    fake_runner fresh;
    fresh.row = find(id)->row;
    fresh.row.group.reset();
    fresh.row.model.clear();
    fresh.row.leaving = false;
    fresh.row.born_ms = ++m_last_born_ms;
    m_runners[id] = fresh;
    publish(m_runners[id]);
}

void fake_registry::drain(const std::string& id)
{
    find(id)->row.leaving = true;
    publish(*find(id));
}

void fake_registry::set_cold(const std::string& id, std::chrono::milliseconds left)
{
    find(id)->row.cold_left = left;
    publish(*find(id));
}

void fake_registry::store_down()
{
    m_store_down = true;
}

void fake_registry::store_up(duration entries_late)
{
    m_store_down = false;
    // The watch is re-established, and the entries that it missed are delayed like any other.
    for (auto& [due, row] : m_delayed_entries)
        due = std::max(due, m_now + m_entry_delay);
    for (auto& [id, target] : m_runners) {
        if (!target.alive) {
            unlist(target);
            continue;
        }
        target.list_at = m_now + entries_late;
        // A write in flight at the outage takes effect first, even if it is outdated by now.
        if (const auto first = std::exchange(target.pending_entry, std::nullopt))
            publish_entry(*first);
    }
    publish_key();
}

void fake_registry::begin_traffic()
{
    m_traffic = true;
    broadcast(traffic_started{});
}

void fake_registry::set_evacuated(bool evacuated)
{
    m_evacuated = evacuated;
    for (fake_manager& one : m_managers)
        one.registry->set_evacuated(failure_domain_id{"f"}, evacuated);
}

void fake_registry::kill_manager(std::size_t index)
{
    m_managers[index].alive = false;
}

void fake_registry::report_unresponsive_group(const std::string& head)
{
    broadcast(group_unresponsive{vm_id{head}});
}

void fake_registry::report_unresponsive_group(const std::string& head, std::size_t manager,
                                              silence_evidence evidence)
{
    deliver(manager, group_unresponsive{vm_id{head}, evidence});
}

void fake_registry::report_reach(std::size_t manager, bool cut_off)
{
    deliver(manager, server_reach_changed{cut_off});
}

void fake_registry::run(duration time)
{
    for (const time_point until = m_now + time; m_now < until;)
        step();
}

bool fake_registry::run_until(const std::function<bool()>& done, duration longest)
{
    const time_point until = m_now + longest;
    while (!done() && m_now < until)
        step();
    return done();
}

void fake_registry::step()
{
    m_now += step_time;
    m_store.expire(m_now);
    publish_key();
    std::deque<due_order> later;
    std::deque<due_order> now;
    for (due_order& due : m_due)
        (due.at <= m_now ? now : later).push_back(std::move(due));
    m_due = std::move(later);
    for (const due_order& due : now) {
        fake_runner* target = find(due.order.vm.value());
        const bool delivered =
            due.carried_out && target != nullptr && target->alive && target->reachable;
        const bool held_back = delivered && target->paused;
        if (held_back)
            m_due.push_back({m_now + step_time, due.manager, due.order, false, true});
        const order_reply reply =
            delivered && !held_back ? execute(*target, due.order) : order_reply::lost;
        if (due.answered)
            deliver(due.manager, order_answered{due.order.token, due.order.vm, reply});
    }
    for (auto& [id, row] : m_runners)
        advance(row);
    while (!m_store_down && !m_delayed_entries.empty() && m_delayed_entries.front().first <= m_now)
    {
        broadcast(runner_updated{m_delayed_entries.front().second});
        m_delayed_entries.pop_front();
    }
    constexpr std::int64_t steps_in_tick = 5;
    if (m_now.time_since_epoch() / step_time % steps_in_tick == 0)
        broadcast(formation_tick{});
}

void fake_registry::broadcast(const formation_event& event)
{
    for (std::size_t index = 0; index < m_managers.size(); ++index)
        deliver(index, event);
}

void fake_registry::deliver(std::size_t manager, const formation_event& event)
{
    if (!m_managers[manager].alive)
        return;
    runner_registry& registry = *m_managers[manager].registry;
    if (const auto* seen = std::get_if<runner_updated>(&event))
        registry.update(seen->row, m_now);
    else if (const auto* absent = std::get_if<runner_removed>(&event))
        registry.remove(absent->vm, m_now);
    for (const formation_command& command : m_managers[manager].core.handle(event, m_now))
        carry_out(manager, command);
}

void fake_registry::carry_out(std::size_t manager, const formation_command& command)
{
    const error unreachable{error_kind::unavailable, "the store is down", ""};
    const auto* renewal = std::get_if<lease_renew>(&command);
    const auto* asked_lease = std::get_if<lease_grant>(&command);
    if (m_store_down && (renewal != nullptr || asked_lease != nullptr)) {
        const call_token token = renewal != nullptr ? renewal->token : asked_lease->token;
        if (renewal != nullptr && leases_outlast_outages)
            (void)m_store.keep_alive(renewal->lease, m_now);
        deliver(manager, lease_result{token, result<lease_id>{unreachable}});
    }
    else if (const auto* asked = std::get_if<request_runner_report>(&command)) {
        const fake_runner* target = find(asked->vm.value());
        const bool cut = m_cut_managers.contains(manager);
        if (!cut && target != nullptr && target->alive && target->reachable && !target->paused)
            deliver(manager, runner_reported{report_of(*target)});
        else
            deliver(manager, runner_report_missed{asked->vm});
        ++m_report_requests;
    }
    else if (const auto* shared = std::get_if<broadcast_runner>(&command)) {
        for (const fake_manager& other : m_managers)
            other.registry->tell(shared->word, m_now);
    }
    else if (const auto* told = std::get_if<report_to_manager>(&command)) {
        for (std::size_t other = 0; other < m_managers.size(); ++other) {
            if (m_peers[other].node == told->manager)
                deliver(other, group_unresponsive{told->head, silence_evidence::peer_report});
        }
    }
    else if (std::holds_alternative<query_peers_about_outage>(command)) {
        if (!m_store_down || peers_reach_store)
            return;
        for (std::size_t other = 0; other < m_managers.size(); ++other) {
            if (other != manager)
                deliver(other, outage_reported{});
        }
        deliver(manager, outage_confirmed{m_now});
    }
    else if (const auto* call = std::get_if<kv_call>(&command)) {
        const result<kv_outcome> done = m_store.transact(call->transaction);
        deliver(manager, kv_result{call->token, done});
        publish_key();
    }
    else if (const auto* wanted = std::get_if<lease_grant>(&command)) {
        deliver(manager, lease_result{wanted->token, m_store.grant(wanted->ttl, m_now)});
    }
    else if (const auto* renewed = std::get_if<lease_renew>(&command)) {
        const bool kept = m_store.keep_alive(renewed->lease, m_now).has_value();
        const result<lease_id> renewal_result =
            kept ? result<lease_id>{renewed->lease}
                 : result<lease_id>{error{error_kind::not_found, "the lease has ended", ""}};
        deliver(manager, lease_result{renewed->token, renewal_result});
    }
    else if (const auto* order = std::get_if<send_order>(&command)) {
        send(manager, *order);
    }
    else if (const auto* asked = std::get_if<probe_member>(&command)) {
        ++m_probes;
        deliver(manager, member_probed{asked->vm, outcome_of(manager, *asked)});
    }
    else if (const auto* doubted = std::get_if<probe_through_peers>(&command)) {
        if (peers_answer)
            deliver(manager, peer_probe_result{doubted->vm, peers_reach_runner});
    }
}

probe_outcome fake_registry::outcome_of(std::size_t manager, const probe_member& asked)
{
    const fake_runner* target = find(asked.vm.value());
    if (m_cut_managers.contains(manager) || target == nullptr || !target->alive ||
        !target->reachable)
        return probe_outcome::unreachable;
    return target->paused || target->late > asked.timeout ? probe_outcome::accepted
                                                          : probe_outcome::answered;
}

void fake_registry::send(std::size_t manager, const send_order& order)
{
    ++m_orders;
    if (m_cut_managers.contains(manager)) {
        m_due.push_back({m_now + order.timeout, manager, order, true, false});
        return;
    }
    const bool late = m_random.chance(m_lost_orders);
    const bool answered = !late && !m_random.chance(m_lost_answers);
    const duration delay{m_random.between(duration{2s}.count(), duration{12s}.count())};
    m_due.push_back({m_now + (late ? delay : step_time), manager, order, answered, true});
    if (!answered)
        m_due.push_back({m_now + order.timeout, manager, order, true, false});
}

runner_report fake_registry::report_of(const fake_runner& target) const
{
    runner_report current{{target.row.id, target.row.born_ms, std::nullopt, {}}, 0};
    for (const auto& [since, report] : target.reports) {
        if (since <= m_now - m_report_delay)
            current = report;
    }
    return current;
}

/// Records the runner's present state as the one that its reports show from `now` on.
void fake_registry::note_report(fake_runner& target, time_point now)
{
    target.reports.emplace_back(
        now, runner_report{{target.row.id, target.row.born_ms, target.row.group, target.row.model},
                           target.begun_orders});
    while (target.reports.size() > 1 && target.reports[1].first < now - report_retention)
        target.reports.pop_front();
}

void fake_registry::publish(fake_runner& changed)
{
    note_report(changed, m_now);
    if (m_store_down && changed.alive && changed.reachable && !changed.pending_entry)
        changed.pending_entry = changed.row;
    // After an outage the registry shows the old entry until the runner writes it again.
    const bool written = changed.listed && changed.alive && changed.reachable && !m_store_down &&
                         changed.list_at == time_point::max();
    if (!written)
        return;
    publish_entry(changed.row);
}

void fake_registry::publish_entry(const runner& row)
{
    m_published[row.id.value()] = row;
    if (m_entry_delay > duration{0})
        m_delayed_entries.emplace_back(m_now + m_entry_delay, row);
    else
        broadcast(runner_updated{row});
}

void fake_registry::unlist(fake_runner& unlisted)
{
    unlisted.listed = false;
    m_published.erase(unlisted.row.id.value());
    broadcast(runner_removed{unlisted.row.id});
}

void fake_registry::publish_key()
{
    if (m_store_down)
        return;
    const kv_entry* key = m_store.find(formation_key("test", failure_domain_id{"f"}));
    const std::int64_t revision = key == nullptr ? 0 : key->mod_revision;
    if (revision == m_key_revision)
        return;
    m_key_revision = revision;
    broadcast(
        manager_key_updated{key == nullptr ? std::optional<kv_entry>{} : std::optional{*key}});
}

std::size_t fake_registry::open_groups(const std::string& model) const
{
    return static_cast<std::size_t>(
        std::count_if(m_runners.begin(), m_runners.end(), [&](const auto& entry) {
            const fake_runner& target = entry.second;
            return target.alive && target.row.group &&
                   target.row.group->phase == member_phase::open && target.row.model == model;
        }));
}

std::string fake_registry::head_of(const std::string& model, std::size_t index) const
{
    for (const auto& [id, target] : m_runners) {
        const bool head = target.alive && target.row.group &&
                          target.row.group->phase == member_phase::open &&
                          target.row.model == model;
        if (head && index-- == 0)
            return id;
    }
    return {};
}

std::vector<std::string> fake_registry::members_of(const std::string& head) const
{
    std::vector<std::string> ids;
    for (const vm_id& member : m_runners.at(head).members)
        ids.push_back(member.value());
    return ids;
}

std::vector<std::string> fake_registry::runner_ids() const
{
    std::vector<std::string> ids;
    for (const auto& [id, runner] : m_runners)
        ids.push_back(id);
    return ids;
}

std::vector<std::string> fake_registry::spare() const
{
    std::set<std::string> used;
    for (const auto& [id, target] : m_runners) {
        if (!target.alive || !target.row.group || target.row.group->phase != member_phase::open)
            continue;
        for (const vm_id& member : target.members)
            used.insert(member.value());
    }
    std::vector<std::string> ids;
    for (const auto& [id, target] : m_runners) {
        if (target.alive && !used.contains(id))
            ids.push_back(id);
    }
    return ids;
}

std::size_t fake_registry::staged(const std::string& model) const
{
    return static_cast<std::size_t>(
        std::count_if(m_runners.begin(), m_runners.end(), [&](const auto& entry) {
            return entry.second.alive && has(entry.second.row.staged, model);
        }));
}

std::size_t fake_registry::leaders() const
{
    return static_cast<std::size_t>(
        std::count_if(m_managers.begin(), m_managers.end(), [&](const fake_manager& one) {
            return one.alive && one.core.status(m_now).leading;
        }));
}

std::size_t fake_registry::leader() const
{
    const auto found =
        std::find_if(m_managers.begin(), m_managers.end(), [&](const fake_manager& one) {
            return one.alive && one.core.status(m_now).leading;
        });
    return static_cast<std::size_t>(found - m_managers.begin());
}

void fake_registry::record_violation(const std::string& what)
{
    if (m_violation.empty())
        m_violation = what;
}

fake_registry::fake_runner* fake_registry::find(const std::string& id)
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() ? nullptr : &found->second;
}

} // namespace jaynotch::groups
