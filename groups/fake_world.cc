// The message queue, fault injection, and the execution of commands on the fakes.
#include "groups/fake_world.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

constexpr double full_rate_loads = 4.0; ///< concurrent loads up to which each runs at the full rate

} // namespace

fake_world::fake_world(const world_options& options, std::uint64_t seed)
    : m_options{options}, m_random{seed}
{
    for (std::size_t d = 0; d < options.domains; ++d) {
        m_domains.emplace_back("fabric-" + std::to_string(d));
        for (std::size_t v = 0; v < options.vms_per_domain; ++v) {
            const std::string name = "vm-" + std::to_string(d) + "-" + std::to_string(v);
            vm_row row{vm_id{name},
                       name + ":1",
                       m_domains[d],
                       failure_domain_id{"here"},
                       1,
                       false,
                       std::chrono::milliseconds{0}};
            auto made = std::make_shared<fake_engine>(row);
            made->checks_fencing = options.engines_check_fencing;
            m_engines[row.vm] = std::move(made);
        }
    }
    for (std::size_t n = 0; n < options.nodes; ++n) {
        auto made = std::make_unique<node>();
        made->name = node_id{"node-" + std::to_string(n)};
        for (const fabric_domain_id& domain : m_domains) {
            manager_settings settings;
            settings.deployment = fake_deployment;
            settings.self = made->name;
            settings.domain = domain;
            made->managers.emplace_back(settings);
        }
        board_settings settings;
        settings.deployment = fake_deployment;
        settings.self = made->name;
        made->board = std::make_unique<ticket_board>(settings);
        m_nodes.push_back(std::move(made));
    }
    m_next_update = m_now;
}

void fake_world::schedule(duration delay, std::function<void()> action)
{
    m_queue.emplace(m_now + delay, std::move(action));
}

duration fake_world::delay()
{
    return std::chrono::milliseconds{m_random.chance(0.02) ? m_random.between(200, 1500)
                                                           : m_random.between(1, 20)};
}

void fake_world::install(std::shared_ptr<const configuration> tables)
{
    m_tables = std::move(tables);
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        for (std::size_t d = 0; d < m_domains.size(); ++d)
            deliver(n, tables_installed{m_tables}, d);
    }
}

void fake_world::deliver(std::size_t node_index, const manager_event& event, std::size_t domain)
{
    node& to = *m_nodes[node_index];
    if (m_now < to.paused_until) {
        to.deferred.emplace_back(
            [this, node_index, event, domain] { deliver(node_index, event, domain); });
        return;
    }
    for (const manager_command& command : to.managers[domain].handle(event, m_now))
        execute(node_index, domain, command);
}

void fake_world::deliver_to_board(std::size_t node_index, const board_event& event)
{
    node& to = *m_nodes[node_index];
    if (m_now < to.paused_until) {
        to.deferred.emplace_back(
            [this, node_index, event] { deliver_to_board(node_index, event); });
        return;
    }
    for (const board_command& command : to.board->handle(event, m_now))
        execute(node_index, command);
}

void fake_world::execute(std::size_t node_index, std::size_t domain, const manager_command& command)
{
    const bool lost = m_platform_down || m_random.chance(m_reply_loss);
    if (const auto* call = std::get_if<kv_call>(&command)) {
        schedule(delay(), [this, node_index, domain, call = *call, lost] {
            kv_result answer{call.token, error{error_kind::unknown_outcome, "no reply", ""}};
            if (!m_platform_down) {
                const kv_outcome outcome = m_store.apply(call.transaction, m_now);
                if (!lost)
                    answer.outcome = outcome;
            }
            schedule(lost ? std::chrono::seconds{1} : delay(),
                     [this, node_index, domain, answer] { deliver(node_index, answer, domain); });
        });
    }
    else if (const auto* grant = std::get_if<lease_grant>(&command)) {
        schedule(delay(), [this, node_index, domain, grant = *grant, lost] {
            lease_result answer{grant.token, error{error_kind::unavailable, "no reply", ""}};
            if (!m_platform_down) {
                const lease_id lease = m_store.grant(grant.ttl, m_now);
                if (!lost)
                    answer.lease = lease;
            }
            schedule(delay(),
                     [this, node_index, domain, answer] { deliver(node_index, answer, domain); });
        });
    }
    else if (const auto* renew = std::get_if<lease_renew>(&command)) {
        schedule(delay(), [this, node_index, domain, renew = *renew, lost] {
            lease_result answer{renew.token, error{error_kind::unavailable, "no reply", ""}};
            if (!m_platform_down) {
                auto lease = m_store.renew(renew.lease, m_now);
                if (!lost)
                    answer.lease = lease;
            }
            schedule(delay(),
                     [this, node_index, domain, answer] { deliver(node_index, answer, domain); });
        });
    }
    else if (const auto* asked = std::get_if<probe>(&command)) {
        probe_vm(node_index, asked->vm);
    }
    else if (!std::holds_alternative<notice>(command)) {
        // A pause may begin between the decision and the sending. The node then checks `not_after`
        // when it resumes; m_send_late_orders simulates a pause that begins after that check.
        schedule(std::chrono::milliseconds{1}, [this, node_index, domain, command] {
            dispatch_order(node_index, domain, command);
        });
    }
}

void fake_world::dispatch_order(std::size_t node_index, std::size_t domain,
                                const manager_command& command)
{
    if (m_now < m_nodes[node_index]->paused_until) {
        m_nodes[node_index]->deferred.emplace_back(
            [this, node_index, domain, command] { dispatch_order(node_index, domain, command); });
        return;
    }
    std::visit(
        [&](const auto& given) {
            if constexpr (requires { given.not_after; }) {
                if (m_now > given.not_after && !m_send_late_orders)
                    return;
                ++m_orders;
                schedule(delay(), [this, node_index, domain, given] {
                    const auto to = m_engines.find(given.vm);
                    if (to == m_engines.end() || !to->second->answers(m_now))
                        return;
                    order_result answer{given.token, given.vm, order_answer::failed};
                    if constexpr (requires { given.members; })
                        answer.answer = to->second->assign(given);
                    else
                        answer.answer = to->second->release(given);
                    schedule(delay(), [this, node_index, domain, answer] {
                        deliver(node_index, answer, domain);
                    });
                });
            }
        },
        command);
}

void fake_world::execute(std::size_t node_index, const board_command& command)
{
    if (const auto* asked = std::get_if<probe>(&command))
        probe_vm(node_index, asked->vm);
    if (const auto* change = std::get_if<ticket_changed>(&command); change != nullptr)
        push_ticket(node_index, *change);
}

void fake_world::push_ticket(std::size_t node_index, const ticket_changed& change)
{
    if (!m_nodes[node_index]->board->watches(change.group.group))
        return;
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        if (n == node_index)
            continue;
        // The receiver sent its latest message to this node up to a second ago.
        const time_point sent_at = m_now - std::chrono::milliseconds{m_random.between(0, 1000)};
        const ticket_seen seen{m_nodes[node_index]->name, change.group, change.complete,
                               change.group.valid_until - m_now, sent_at};
        schedule(delay(), [this, n, seen] { deliver_to_board(n, seen); });
    }
}

void fake_world::probe_vm(std::size_t node_index, const vm_id& vm)
{
    const time_point sent_at = m_now;
    schedule(delay(), [this, node_index, vm, sent_at] {
        const auto to = m_engines.find(vm);
        if (to == m_engines.end() || !to->second->answers(m_now))
            return;
        report_seen seen{vm, to->second->current_report, sent_at};
        if (to->second->fault == engine_fault::names_another_vm)
            seen.report.vm = vm_id{"another"};
        schedule(delay(), [this, node_index, seen] {
            for (std::size_t d = 0; d < m_domains.size(); ++d)
                deliver(node_index, seen, d);
            deliver_to_board(node_index, seen);
        });
    });
}

void fake_world::deliver_updates()
{
    if (m_now >= m_next_update) {
        m_next_update = m_now + std::chrono::seconds{5};
        vms_seen list;
        for (const auto& [vm, engine] : m_engines) {
            if (engine->alive && !m_hidden.contains(vm))
                list.rows.push_back(engine->row);
        }
        list.rows.insert(list.rows.end(), m_extra_rows.begin(), m_extra_rows.end());
        peers_seen peers;
        for (const auto& one : m_nodes) {
            if (m_now >= one->paused_until)
                peers.peers.push_back({one->name, failure_domain_id{"here"}});
        }
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            for (std::size_t d = 0; d < m_domains.size(); ++d) {
                if (!m_platform_down)
                    deliver(n, list, d);
                deliver(n, peers, d);
            }
            deliver_to_board(n, peers);
        }
    }
    if (!m_platform_down && m_store.revision() != m_delivered_revision) {
        m_delivered_revision = m_store.revision();
        for (const kv_entry& entry : m_store.records(fake_deployment)) {
            for (std::size_t n = 0; n < m_nodes.size(); ++n) {
                schedule(delay(), [this, n, entry] {
                    for (std::size_t d = 0; d < m_domains.size(); ++d)
                        deliver(n, record_seen{entry}, d);
                    deliver_to_board(n, record_seen{entry});
                });
            }
        }
    }
}

void fake_world::advance_loads()
{
    const auto loading = std::count_if(m_engines.begin(), m_engines.end(), [&](const auto& entry) {
        return entry.second->answers(m_now) &&
               entry.second->current_report.state == member_state::loading;
    });
    const double rate = std::min(1.0, full_rate_loads / std::max(1.0, double(loading)));
    for (auto& [vm, engine] : m_engines) {
        if (engine->answers(m_now))
            engine->advance(m_options.step, rate);
    }
}

void fake_world::pause_node(std::size_t node_index, duration span)
{
    m_nodes[node_index]->paused_until = std::max(m_nodes[node_index]->paused_until, m_now + span);
}

void fake_world::maybe_inject_fault()
{
    if (m_engines.empty() || !m_random.chance(m_options.faults_per_step))
        return;
    auto any = m_engines.begin();
    std::advance(any, m_random.index(m_engines.size()));
    fake_engine& engine = *any->second;
    switch (m_random.index(10)) {
    case 0: {
        // Lost permanently; a new VM with a new id replaces it later.
        vm_row row = engine.row;
        row.vm = vm_id{"new-" + std::to_string(++m_replacements)};
        row.address = row.vm.value() + ":1";
        row.leaving = false;
        auto made = std::make_shared<fake_engine>(row);
        made->checks_fencing = m_options.engines_check_fencing;
        m_engines.erase(any);
        schedule(std::chrono::seconds{m_random.between(5, 60)},
                 [this, made] { m_engines[made->row.vm] = made; });
        break;
    }
    case 1:
        engine.paused_until = m_now + std::chrono::seconds{m_random.between(1, 60)};
        break;
    case 2:
        engine.restart();
        break;
    case 3:
        pause_node(m_random.index(m_nodes.size()), std::chrono::seconds{m_random.between(1, 40)});
        break;
    case 4:
        m_platform_down = true;
        schedule(std::chrono::seconds{m_random.between(1, 60)},
                 [this] { m_platform_down = false; });
        break;
    case 5:
        m_reply_loss = m_random.unit() * 0.5;
        schedule(std::chrono::seconds{20}, [this] { m_reply_loss = 0.0; });
        break;
    case 6:
        engine.fault = static_cast<engine_fault>(m_random.index(4));
        break;
    case 7:
        engine.row.leaving = true;
        engine.row.leaves_in = std::chrono::seconds{60};
        break;
    case 8:
        // The VM list names the VM in a second fabric domain as well.
        m_extra_rows = {engine.row};
        m_extra_rows.front().fabric_domain = m_domains[m_random.index(m_domains.size())];
        break;
    default:
        if (!m_hidden.erase(any->first))
            m_hidden.insert(any->first);
        break;
    }
}

void fake_world::heal()
{
    m_options.faults_per_step = 0.0;
    m_platform_down = false;
    m_reply_loss = 0.0;
    m_hidden.clear();
    m_extra_rows.clear();
    for (auto& [vm, engine] : m_engines) {
        engine->fault = engine_fault::none;
        engine->paused_until = m_now;
        engine->row.leaving = false;
        engine->alive = true;
    }
}

void fake_world::step()
{
    m_now += m_options.step;
    maybe_inject_fault();
    for (auto& one : m_nodes) {
        if (m_now < one->paused_until || one->deferred.empty())
            continue;
        const auto deferred = std::exchange(one->deferred, {});
        for (const auto& action : deferred)
            action();
    }
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
        const auto action = std::move(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        action();
    }
    deliver_updates();
    advance_loads();
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        if (m_now < m_nodes[n]->paused_until)
            continue; // a paused node misses its ticks
        for (std::size_t d = 0; d < m_domains.size(); ++d)
            deliver(n, tick{}, d);
        deliver_to_board(n, tick{});
    }
    check();
}

void fake_world::run(duration span)
{
    for (const time_point end = m_now + span; m_now < end;)
        step();
}

void fake_world::add_violation(std::string what)
{
    constexpr std::size_t most = 20;
    if (m_violations.size() < most)
        m_violations.push_back(std::to_string((m_now.time_since_epoch() / 1ms)) + " " +
                               std::move(what));
}

} // namespace jaynotch::groups
