#include "daemon/group_driver.h"

#include "daemon/group_driver_impl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// The driver runs two loops, one for periodic ticks and one that fetches the VM list, and receives
// assignment records from record_feed. Tickets of groups that other nodes probe arrive from peers
// as digests, which name the group by a hash; the driver looks up the group's record by that hash.

namespace jaynotch {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{200};
constexpr duration list_interval = std::chrono::seconds{1};
constexpr duration list_timeout = std::chrono::seconds{2};
constexpr double per_mille = 1000.0;

net::awaitable<void> pause(timer& on, duration time)
{
    boost::system::error_code ignored;
    on.expires_after(time);
    co_await on.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

groups::vm_row to_row(const vm_entry& entry)
{
    groups::vm_row row;
    row.vm = entry.vm;
    row.address = entry.address;
    row.fabric_domain = entry.fabric_domain;
    row.failure_domain = entry.failure_domain;
    row.accelerators = entry.accelerators;
    row.leaving = entry.state == vm_state::leaving;
    if (row.leaving && entry.leave_by_ms > 0)
        row.leaves_in = std::chrono::milliseconds{
            std::max<std::int64_t>(0, entry.leave_by_ms - wall_time_ms())};
    return row;
}

groups::board_settings board_settings(const daemon_settings& settings)
{
    groups::board_settings made;
    made.deployment = settings.deployment;
    made.self = settings.node;
    made.ticket_horizon = ticket_horizon;
    made.settling_time = settings.timeouts.order_horizon;
    // A VM without a report for `settling_time` counts as moved to another group, so it is probed
    // several times within that time.
    made.probe_period = std::min<duration>(made.probe_period, made.settling_time / 4);
    return made;
}

groups::manager_settings manager_settings(const daemon_settings& settings,
                                          const fabric_domain_id& domain)
{
    groups::manager_settings made;
    made.deployment = settings.deployment;
    made.self = settings.node;
    made.domain = domain;
    made.order_horizon = settings.timeouts.order_horizon;
    made.probe_period = std::min<duration>(made.probe_period, made.order_horizon / 4);
    made.order_timeout = std::min(made.order_timeout, made.order_horizon / 4);
    return made;
}

} // namespace

group_driver::group_driver(net::io_context& io, const daemon_settings& settings, kv_service& kv,
                           peer_service& peers, group_hooks hooks)
    : m_impl{std::make_shared<impl>(io, settings, kv, peers, std::move(hooks))}
{
    m_impl->records.emplace(io, settings, kv, peers, [driver = m_impl.get()](const kv_entry& read) {
        driver->handle_record(read);
    });
}

group_driver::~group_driver()
{
    stop();
}

void group_driver::stop()
{
    m_impl->stop();
}

void group_driver::start()
{
    net::co_spawn(m_impl->io, m_impl->run_ticks(), net::detached);
    net::co_spawn(m_impl->io, m_impl->run_vm_list(), net::detached);
    m_impl->records->start();
}

void group_driver::install(std::shared_ptr<const configuration> tables)
{
    m_impl->install(std::move(tables));
}

void group_driver::handle_key_notice(const key_notice& heard)
{
    m_impl->records->notice_received(heard);
}

void group_driver::handle_ticket(const ticket_digest& heard)
{
    m_impl->handle_ticket(heard);
}

std::vector<groups::complete_group> group_driver::complete() const
{
    return m_impl->board.complete(runtime_clock::now());
}

std::vector<assigned_group> group_driver::assigned_groups() const
{
    return m_impl->assigned_groups();
}

std::string group_driver::state_of(const vm_id& vm) const
{
    const auto found = m_impl->reports.find(vm);
    if (found == m_impl->reports.end())
        return {};
    constexpr std::array names{"idle", "loading", "ready", "releasing", "failed"};
    return names.at(static_cast<std::size_t>(found->second.state));
}

std::vector<fabric_domain_id> group_driver::managed() const
{
    std::vector<fabric_domain_id> led;
    for (const auto& [domain, manager] : m_impl->managers) {
        if (manager.status(runtime_clock::now()).leading)
            led.push_back(domain);
    }
    return led;
}

group_driver::impl::impl(net::io_context& context, const daemon_settings& chosen,
                         kv_service& service, peer_service& others, group_hooks callbacks)
    : io{context}, settings{chosen}, kv{service}, peers{others}, hooks{std::move(callbacks)},
      board{board_settings(chosen)}, tick_timer{context}, list_timer{context}
{}

void group_driver::impl::stop()
{
    stopped = true;
    tick_timer.cancel();
    list_timer.cancel();
    records->stop();
}

void group_driver::impl::install(std::shared_ptr<const configuration> next)
{
    tables = std::move(next);
    dispatch_to_managers(groups::tables_installed{tables});
    dispatch_to_board(groups::tables_installed{tables});
}

net::awaitable<void> group_driver::impl::run_ticks()
{
    const auto self = shared_from_this();
    while (!stopped) {
        update_peers();
        records->tick();
        dispatch_to_managers(groups::tick{});
        dispatch_to_board(groups::tick{});
        hooks.on_changed();
        co_await pause(tick_timer, tick_interval);
    }
}

void group_driver::impl::update_peers()
{
    groups::peers_seen seen;
    for (const member& one : peers.members()) {
        if (one.live())
            seen.peers.push_back({one.node, one.failure_domain});
    }
    dispatch_to_managers(seen);
    dispatch_to_board(seen);
}

net::awaitable<void> group_driver::impl::run_vm_list()
{
    const auto self = shared_from_this();
    vm_list_client list{io.get_executor(), settings.vm_list, list_timeout};
    bool lost = false;
    while (!stopped) {
        const result<vm_list> seen = co_await list.fetch();
        if (stopped)
            break;
        if (seen)
            apply_vm_list(seen.value());
        if (lost == seen.has_value()) {
            lost = !seen;
            log_event(lost ? log_level::warning : log_level::info,
                      lost ? "vm_list_lost" : "vm_list_back",
                      {{"message", lost ? seen.error().message : std::string{}}});
        }
        co_await pause(list_timer, list_interval);
    }
}

void group_driver::impl::apply_vm_list(const vm_list& seen)
{
    groups::vms_seen event;
    event.age =
        std::chrono::milliseconds{std::max<std::int64_t>(0, wall_time_ms() - seen.as_of_ms)};
    for (const vm_entry& entry : seen.vms) {
        event.rows.push_back(to_row(entry));
        domain_of[entry.vm] = entry.fabric_domain;
        if (entry.state == vm_state::leaving)
            hooks.on_leaving(entry.address);
        const bool ours = entry.failure_domain == settings.failure_domain;
        if (!ours || managers.contains(entry.fabric_domain))
            continue;
        managers.emplace(entry.fabric_domain,
                         groups::domain_manager{manager_settings(settings, entry.fabric_domain)});
        if (tables)
            dispatch_to_manager(entry.fabric_domain, groups::tables_installed{tables});
    }
    dispatch_to_managers(event);
}

void group_driver::impl::handle_record(const kv_entry& entry)
{
    dispatch_to_managers(groups::record_seen{entry});
    dispatch_to_board(groups::record_seen{entry});
    const result<groups::domain_record> parsed = groups::parse_record(entry);
    if (!parsed)
        return; // the ticket board has logged the error
    std::vector<std::uint32_t>& keys = wire_keys_of[parsed.value().domain];
    for (const std::uint32_t key : keys)
        by_wire_key.erase(key);
    keys.clear();
    for (const groups::group_assignment& group : parsed.value().groups) {
        const std::uint32_t key = wire_key(group.group.value());
        keys.push_back(key);
        by_wire_key[key] =
            assigned_group{group, parsed.value().domain, fencing_number{entry.mod_revision}};
    }
}

void group_driver::impl::handle_ticket(const ticket_digest& heard)
{
    const auto found = by_wire_key.find(heard.group);
    if (found == by_wire_key.end() || found->second.assigned.members.empty())
        return; // the group's record has not arrived yet; the ticket is sent again
    const groups::group_assignment& assigned = found->second.assigned;
    groups::ticket_seen seen;
    seen.complete = heard.complete;
    seen.remaining = ticket_horizon;
    seen.sent_at = runtime_clock::now() - heard.age;
    groups::complete_group& group = seen.group;
    group.group = assigned.group;
    group.pool = assigned.pool;
    group.fabric_domain = found->second.domain;
    group.leader = assigned.members.front().address;
    for (const groups::member& one : assigned.members)
        group.members.push_back(one.vm);
    group.fencing = heard.fencing;
    group.model = assigned.model;
    group.version = assigned.version;
    group.adapters = assigned.adapters;
    for (const pool& row : tables ? tables->pools : std::vector<pool>{}) {
        if (row.name == assigned.pool)
            group.load.running =
                static_cast<std::uint32_t>(heard.load / per_mille * row.max_in_flight_per_replica);
    }
    dispatch_to_board(seen);
    if (!heard.complete)
        hooks.on_changed();
}

std::vector<assigned_group> group_driver::impl::assigned_groups() const
{
    std::unordered_set<group_id> complete_ids;
    for (const groups::complete_group& group : board.complete(runtime_clock::now()))
        complete_ids.insert(group.group);
    std::vector<assigned_group> rows;
    for (const auto& [key, row] : by_wire_key) {
        rows.push_back(row);
        rows.back().complete = complete_ids.contains(row.assigned.group);
    }
    std::sort(rows.begin(), rows.end(),
              [](const assigned_group& left, const assigned_group& right) {
                  return left.assigned.group < right.assigned.group;
              });
    return rows;
}

} // namespace jaynotch
