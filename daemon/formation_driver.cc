#include "daemon/formation_driver.h"

#include "daemon/outage_inquiry.h"
#include "platform/platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

// All managers of a node read the same registry. A changed entry matters only to the manager of the
// runner's failure domain, and only while that manager is the leader. A node that manages nothing
// therefore spends no more than the cost of keeping its copy of the registry.

namespace jaynotch {

namespace {

namespace net = boost::asio;

/// A reachable runner answers within a few milliseconds; an unreachable one never does.
constexpr duration probe_timeout = std::chrono::milliseconds{200};
/// Number of nodes that are asked whether an unresponsive runner answers them. If a network
/// partition leaves only a tenth of the nodes on the runner's side, six nodes include none of these
/// in about half of all cases (0.9^6). The runner then counts as dead although it is alive, and the
/// rule for heads that may still be alive is not applied.
constexpr std::size_t max_peers_asked = 6;

} // namespace

class formation_driver::impl : public std::enable_shared_from_this<impl> {
public:
    impl(net::io_context& context, const daemon_settings& chosen, kv_service& service,
         peer_service& others, groups::runner_registry& runners)
        : io{context}, settings{chosen}, kv{service}, peers{others}, registry{runners},
          orders{context.get_executor(), connection_limits(chosen)}
    {}

    void start()
    {
        outage_hooks hooks;
        hooks.on_confirmed = [this](const failure_domain_id& domain, time_point asked) {
            dispatch_to_domain(domain, groups::outage_confirmed{asked});
        };
        hooks.on_outage_reported = [this](const failure_domain_id& domain) {
            dispatch_to_domain(domain, groups::outage_reported{});
        };
        hooks.manages = [this](const failure_domain_id& domain) {
            const auto found = managers.find(domain);
            return found != managers.end() && found->second.leading(runtime_clock::now());
        };
        outage = std::make_shared<outage_inquiry>(io, settings, kv, peers, std::move(hooks));
    }

    void dispatch(const groups::formation_event& event)
    {
        for (auto& [domain, manager] : managers)
            dispatch_to(domain, manager, event);
    }

    void dispatch_to(const failure_domain_id& domain, groups::formation_manager& manager,
                     const groups::formation_event& event)
    {
        if (stopped || resigned.contains(domain))
            return;
        note_store_era();
        const groups::formation_commands commands = manager.handle(event, runtime_clock::now());
        for (const groups::formation_command& command : commands)
            std::visit([&](const auto& one) { execute(domain, one); }, command);
    }

    /// Tells the managers that the store has come back from a copy, before anything that was read
    /// from it since. Any answer of the store may show it.
    void note_store_era()
    {
        const std::optional<std::int64_t> era = kv.era();
        const bool restored = m_store_era && era != m_store_era;
        m_store_era = era;
        if (restored)
            dispatch(groups::store_restored{});
    }

    void dispatch_to_domain(const failure_domain_id& domain, const groups::formation_event& event)
    {
        const auto found = managers.find(domain);
        if (found != managers.end())
            dispatch_to(domain, found->second, event);
    }

    /// Creates a domain's manager, if there is none, and passes it the state known so far. Called
    /// when a runner of the domain is registered.
    void add_domain(const failure_domain_id& domain)
    {
        if (managers.contains(domain) || stopping)
            return;
        groups::formation_settings chosen;
        chosen.deployment = settings.deployment;
        chosen.self = settings.node;
        chosen.mechanisms = settings.mechanisms;
        chosen.own_domain = settings.failure_domain;
        chosen.domain = domain;
        groups::formation_manager& made =
            managers.emplace(domain, groups::formation_manager{std::move(chosen), registry})
                .first->second;
        dispatch_to(domain, made, groups::model_pools_updated{pools});
        dispatch_to(domain, made, current);
        dispatch_to(domain, made, reach);
        dispatch_to(domain, made, groups::peers_seen{peer_rows()});
        if (traffic)
            dispatch_to(domain, made, groups::traffic_started{});
        const auto key = keys.find(groups::formation_key(settings.deployment, domain));
        dispatch_to(domain, made,
                    groups::manager_key_updated{key == keys.end() ? std::optional<kv_entry>{}
                                                                  : std::optional{key->second}});
    }

    std::vector<groups::peer_row> peer_rows() const
    {
        std::vector<groups::peer_row> rows;
        for (const member& one : peers.members()) {
            if (one.live())
                rows.push_back({one.node, one.failure_domain});
        }
        return rows;
    }

    /// A question from another node, or an answer to a question of this node.
    void handle_message(const server_message& message)
    {
        if (!stopped)
            std::visit([&](const auto& body) { receive(message.from, body); }, message.body);
    }

    /// Applies a runner's own report of its group to the registry, for times when the store can't
    /// deliver it. The registry ignores a report from another start of the runner than its entry.
    void apply_runner_word(const runner_word& word)
    {
        if (registry.tell(word, runtime_clock::now()) && on_group_changed)
            on_group_changed();
    }

    net::io_context& io;
    const daemon_settings& settings;
    kv_service& kv;
    peer_service& peers;
    groups::runner_registry& registry;
    platform::order_client orders;
    std::map<failure_domain_id, groups::formation_manager> managers;
    std::map<std::string, kv_entry> keys;
    std::vector<pool> pools;
    std::function<bool(const vm_id&, time_point)> responded_since;
    std::function<void()> on_group_changed;
    std::shared_ptr<outage_inquiry> outage;
    std::uint64_t members_version = 0;
    groups::registry_status current;
    groups::server_reach_changed reach;
    bool traffic = false;
    std::set<failure_domain_id> resigned; ///< during a planned stop
    bool stopping = false;
    bool stopped = false;

private:
    void receive(const node_id& from, const server_question& asked)
    {
        net::co_spawn(io, answer_peer(from, asked), net::detached);
    }
    void receive(const node_id& from, const store_question& asked)
    {
        // This node has resigned from the domain and will not manage it again, so it need not check
        // the store.
        if (resigned.contains(asked.domain))
            outage->confirm_without_check(from, asked);
        else
            outage->receive(from, asked);
    }
    void receive(const node_id& from, const store_answer& answer) { outage->receive(from, answer); }
    void receive(const node_id& /*from*/, const runner_word& word)
    {
        // Otherwise this node reaches the store, whose data are newer.
        if (outage->recently_reported_outage())
            apply_runner_word(word);
    }
    void receive(const node_id& /*from*/, const unresponsive_head& seen)
    {
        dispatch(groups::group_unresponsive{seen.vm, groups::silence_evidence::peer_report});
    }
    void receive(const node_id& from, const server_answer& answer)
    {
        const auto found = m_awaited_answers.find(answer.vm);
        if (found == m_awaited_answers.end() || found->second.erase(from) == 0)
            return;
        // The first positive answer shows that the runner is alive. It counts as dead only after
        // all nodes asked have answered that they can't reach it.
        if (!answer.answers && !found->second.empty())
            return;
        log_event(log_level::info, "peers_word",
                  {{"vm", answer.vm.value()}, {"answers", answer.answers}});
        m_awaited_answers.erase(found);
        dispatch(groups::peer_probe_result{answer.vm, answer.answers});
    }

    void execute(const failure_domain_id& domain, const groups::kv_call& command)
    {
        net::co_spawn(io, transact(domain, command), net::detached);
    }
    void execute(const failure_domain_id& domain, const groups::lease_grant& command)
    {
        net::co_spawn(io, grant(domain, command), net::detached);
    }
    void execute(const failure_domain_id& domain, const groups::lease_renew& command)
    {
        net::co_spawn(io, renew(domain, command), net::detached);
    }
    void execute(const failure_domain_id& /*domain*/, const groups::lease_end& command)
    {
        net::co_spawn(io, end_lease(command.lease), net::detached);
    }
    void execute(const failure_domain_id& domain, const groups::send_order& command)
    {
        net::co_spawn(io, send(domain, command), net::detached);
    }
    void execute(const failure_domain_id& domain, const groups::probe_member& command)
    {
        net::co_spawn(io, probe(domain, command), net::detached);
    }
    void execute(const failure_domain_id& /*domain*/, const groups::probe_through_peers& command)
    {
        std::set<node_id>& asked = m_awaited_answers[command.vm];
        asked.clear();
        for (const member& one : peers.members()) {
            if (one.node == settings.node || one.state != member_state::alive)
                continue;
            if (asked.size() >= max_peers_asked)
                break;
            asked.insert(one.node);
            peers.send_server_message(one.node, server_question{command.vm, command.address});
        }
        if (asked.empty())
            m_awaited_answers.erase(command.vm);
    }
    void execute(const failure_domain_id& /*domain*/, const groups::report_to_manager& command)
    {
        peers.send_server_message(command.manager, unresponsive_head{command.head});
    }
    void execute(const failure_domain_id& domain,
                 const groups::query_peers_about_outage& /*wanted*/)
    {
        outage->start_round(domain);
    }
    void execute(const failure_domain_id& domain, const groups::request_runner_report& command)
    {
        net::co_spawn(io, request_runner_report(domain, command), net::detached);
    }
    void execute(const failure_domain_id& /*domain*/, const groups::broadcast_runner& command)
    {
        for (const member& one : peers.members()) {
            if (one.node != settings.node && one.live())
                peers.send_server_message(one.node, command.word);
        }
        apply_runner_word(command.word);
    }
    void execute(const failure_domain_id& domain, const groups::notice& command)
    {
        log_event(
            command.level, command.kind,
            {{"subject", command.subject}, {"detail", command.detail}, {"domain", domain.value()}});
    }

    net::awaitable<void> answer_peer(node_id from, server_question asked)
    {
        const auto self = shared_from_this();
        const time_point asked_at = runtime_clock::now();
        bool answers = co_await orders.answers(asked.address, probe_timeout);
        // A runner that no longer answers orders may still respond to requests. What it sent before
        // the question is no evidence: the question is asked right after a loss.
        if (!answers)
            answers = responded_since && responded_since(asked.vm, asked_at);
        if (!stopped)
            peers.send_server_message(from, server_answer{asked.vm, answers});
    }

    net::awaitable<void> transact(failure_domain_id domain, groups::kv_call command)
    {
        const auto self = shared_from_this();
        result<kv_outcome> outcome = co_await kv.transact(std::move(command.transaction));
        dispatch_to_domain(domain, groups::kv_result{command.token, std::move(outcome)});
    }

    net::awaitable<void> grant(failure_domain_id domain, groups::lease_grant command)
    {
        const auto self = shared_from_this();
        const result<kv_lease> granted = co_await kv.grant(command.ttl);
        const result<lease_id> lease =
            granted ? result<lease_id>{granted.value().id} : result<lease_id>{granted.error()};
        dispatch_to_domain(domain, groups::lease_result{command.token, lease});
    }

    net::awaitable<void> renew(failure_domain_id domain, groups::lease_renew command)
    {
        const auto self = shared_from_this();
        const result<kv_lease> kept = co_await kv.keep_alive(command.lease);
        const result<lease_id> lease =
            kept ? result<lease_id>{kept.value().id} : result<lease_id>{kept.error()};
        dispatch_to_domain(domain, groups::lease_result{command.token, lease});
    }

    net::awaitable<void> end_lease(lease_id lease)
    {
        const auto self = shared_from_this();
        // A lease that could not be revoked expires by itself.
        (void)co_await kv.revoke(lease);
    }

    net::awaitable<void> send(failure_domain_id domain, groups::send_order command)
    {
        const auto self = shared_from_this();
        const order_reply reply = co_await orders.send(command.address, command.vm, command.order,
                                                       command.fence, command.timeout);
        if (reply != order_reply::begun && reply != order_reply::holds)
            log_event(log_level::warning, "order_not_taken",
                      {{"vm", command.vm.value()}, {"reply", to_name(reply)}});
        dispatch_to_domain(domain, groups::order_answered{command.token, command.vm, reply});
    }

    net::awaitable<void> request_runner_report(failure_domain_id domain,
                                               groups::request_runner_report command)
    {
        const auto self = shared_from_this();
        const result<runner_report> report =
            co_await orders.report(command.vm, command.address, command.timeout);
        if (report) {
            dispatch_to_domain(domain, groups::runner_reported{report.value()});
            co_return;
        }
        log_event(log_level::warning, "runner_report_missing",
                  {{"vm", command.vm.value()}, {"reason", report.error().message}});
        dispatch_to_domain(domain, groups::runner_report_missed{command.vm});
    }

    net::awaitable<void> probe(failure_domain_id domain, groups::probe_member command)
    {
        const auto self = shared_from_this();
        const groups::probe_outcome outcome = co_await outcome_of_probe(command);
        if (outcome != groups::probe_outcome::answered)
            log_event(log_level::warning, "runner_silent",
                      {{"vm", command.vm.value()},
                       {"connected", outcome == groups::probe_outcome::accepted}});
        dispatch_to_domain(domain, groups::member_probed{command.vm, outcome});
    }

    net::awaitable<groups::probe_outcome> outcome_of_probe(groups::probe_member command)
    {
        const result<runner_report> report =
            co_await orders.report(command.vm, command.address, command.timeout);
        if (report)
            co_return groups::probe_outcome::answered;
        if (report.error().kind == error_kind::unavailable)
            co_return groups::probe_outcome::unreachable;
        if (report.error().kind == error_kind::deadline_exceeded)
            co_return groups::probe_outcome::accepted; // a failure to connect is `unavailable`
        // Any response will do, not only a valid report.
        const bool answers = co_await orders.answers(command.address, command.timeout);
        co_return answers ? groups::probe_outcome::answered : groups::probe_outcome::unreachable;
    }

    std::optional<std::int64_t> m_store_era;
    std::map<vm_id, std::set<node_id>> m_awaited_answers; ///< nodes asked about a runner
};

formation_driver::formation_driver(net::io_context& io, const daemon_settings& settings,
                                   kv_service& kv, peer_service& peers,
                                   groups::runner_registry& registry)
    : m_impl{std::make_shared<impl>(io, settings, kv, peers, registry)}
{
    m_impl->traffic = !settings.first_start;
    m_impl->start();
    peers.on_server_message([weak = std::weak_ptr{m_impl}](const server_message& message) {
        if (const auto self = weak.lock())
            self->handle_message(message);
    });
}

formation_driver::~formation_driver()
{
    stop();
}

void formation_driver::set_response_check(
    std::function<bool(const vm_id&, time_point)> responded_since)
{
    m_impl->responded_since = std::move(responded_since);
}

void formation_driver::on_group_changed(std::function<void()> handler)
{
    m_impl->on_group_changed = std::move(handler);
}

void formation_driver::stop()
{
    m_impl->stopped = true;
}

void formation_driver::install(const configuration& tables)
{
    m_impl->pools.clear();
    for (const pool& row : tables.pools) {
        if (row.kind == pool_kind::model)
            m_impl->pools.push_back(row);
    }
    m_impl->dispatch(groups::model_pools_updated{m_impl->pools});
}

void formation_driver::runner_updated(const runner& row)
{
    if (!row.joins_groups())
        return;
    m_impl->add_domain(row.failure_domain);
    m_impl->dispatch_to_domain(row.failure_domain, groups::runner_updated{row});
}

void formation_driver::runner_removed(const vm_id& vm)
{
    m_impl->dispatch(groups::runner_removed{vm});
}

void formation_driver::store_key_updated(const kv_entry& entry, bool exists)
{
    if (exists)
        m_impl->keys[entry.key] = entry;
    else
        m_impl->keys.erase(entry.key);
    for (auto& [domain, manager] : m_impl->managers) {
        if (groups::formation_key(m_impl->settings.deployment, domain) == entry.key)
            m_impl->dispatch_to(domain, manager,
                                groups::manager_key_updated{exists ? std::optional{entry}
                                                                   : std::optional<kv_entry>{}});
    }
}

void formation_driver::set_current(bool current, std::size_t rank)
{
    m_impl->current = {current, rank};
    m_impl->dispatch(m_impl->current);
}

void formation_driver::set_cut_off(bool cut_off)
{
    m_impl->reach = {cut_off};
    m_impl->dispatch(m_impl->reach);
}

void formation_driver::traffic_started()
{
    if (std::exchange(m_impl->traffic, true))
        return;
    m_impl->dispatch(groups::traffic_started{});
}

void formation_driver::report_unresponsive_head(const vm_id& head,
                                                groups::silence_evidence evidence)
{
    m_impl->dispatch(groups::group_unresponsive{head, evidence});
}

void formation_driver::tick()
{
    if (m_impl->members_version != m_impl->peers.members_version()) {
        m_impl->members_version = m_impl->peers.members_version();
        m_impl->dispatch(groups::peers_seen{m_impl->peer_rows()});
    }
    m_impl->outage->update_members();
    m_impl->dispatch(groups::formation_tick{});
}

net::awaitable<void> formation_driver::resign(resignation which)
{
    const auto kept = m_impl;
    kept->stopping = true;
    std::vector<lease_id> leases;
    for (auto& [domain, manager] : kept->managers) {
        const bool nobody_else = manager.status(runtime_clock::now()).store_unreachable;
        if (kept->resigned.contains(domain) ||
            (nobody_else && which == resignation::where_possible))
            continue;
        for (const groups::formation_command& command : manager.resign()) {
            if (const auto* end = std::get_if<groups::lease_end>(&command))
                leases.push_back(end->lease);
        }
        kept->resigned.insert(domain);
    }
    kept->stopped = which == resignation::all;
    for (const lease_id lease : leases) {
        const result<void> ended = co_await kept->kv.revoke(lease);
        if (!ended)
            log_event(log_level::warning, "manager_not_handed_over",
                      {{"reason", ended.error().message}});
    }
}

std::vector<failure_domain_id> formation_driver::managed() const
{
    std::vector<failure_domain_id> led;
    for (const auto& [domain, manager] : m_impl->managers) {
        if (manager.leading(runtime_clock::now()))
            led.push_back(domain);
    }
    return led;
}

std::vector<groups::formation_status> formation_driver::status() const
{
    std::vector<groups::formation_status> all;
    for (const auto& [domain, manager] : m_impl->managers) {
        if (manager.leading(runtime_clock::now()))
            all.push_back(manager.status(runtime_clock::now()));
    }
    return all;
}

} // namespace jaynotch
