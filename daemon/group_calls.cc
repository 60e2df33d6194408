#include "daemon/group_driver_impl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// Executes the commands of the group cores. Each call runs in its own coroutine and its result is
// passed to the core as an event; a call whose answer is lost also yields an event, with the error.

namespace jaynotch {

namespace {

constexpr duration probe_timeout = std::chrono::seconds{1};
constexpr double per_mille = 1000.0;

groups::member_state to_state(engine_state state)
{
    switch (state) {
    case engine_state::idle:
        return groups::member_state::idle;
    case engine_state::loading:
        return groups::member_state::loading;
    case engine_state::ready:
        return groups::member_state::ready;
    case engine_state::releasing:
        return groups::member_state::releasing;
    case engine_state::failed:
        break;
    }
    return groups::member_state::failed;
}

groups::member_report to_report(const engine_report& received)
{
    groups::member_report report;
    report.vm = received.vm;
    report.boot = received.boot;
    report.group = received.group;
    report.fencing = received.fencing;
    report.rank = received.rank;
    report.members = received.members;
    report.model = received.model;
    report.version = received.version;
    report.adapters = received.adapters;
    report.state = to_state(received.state);
    report.progress = received.progress;
    report.running = received.running;
    report.waiting = received.waiting;
    report.kv_used = received.kv_used;
    report.step_ms = received.step_ms;
    report.leaving = received.leaving;
    return report;
}

groups::order_answer to_answer(const result<void>& taken)
{
    if (taken)
        return groups::order_answer::accepted;
    return taken.error().kind == error_kind::conflict ? groups::order_answer::refused
                                                      : groups::order_answer::failed;
}

} // namespace

void group_driver::impl::dispatch_to_managers(const groups::manager_event& event)
{
    for (const auto& [domain, manager] : managers)
        dispatch_to_manager(domain, event);
}

void group_driver::impl::dispatch_to_manager(const fabric_domain_id& domain,
                                             const groups::manager_event& event)
{
    const auto found = managers.find(domain);
    if (found == managers.end())
        return;
    for (const groups::manager_command& command : found->second.handle(event, runtime_clock::now()))
        std::visit([&](const auto& one) { execute(domain, one); }, command);
}

void group_driver::impl::dispatch_to_board(const groups::board_event& event)
{
    for (const groups::board_command& command : board.handle(event, runtime_clock::now())) {
        if (const auto* ask = std::get_if<groups::probe>(&command))
            execute(fabric_domain_id{}, *ask);
        else if (const auto* ticket = std::get_if<groups::ticket_changed>(&command))
            execute(*ticket);
        else if (const auto* line = std::get_if<groups::notice>(&command))
            execute(fabric_domain_id{}, *line);
    }
}

void group_driver::impl::execute(const fabric_domain_id& domain, const groups::kv_call& command)
{
    net::co_spawn(io, transact(domain, command), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& domain, const groups::lease_grant& command)
{
    net::co_spawn(io, grant(domain, command), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& domain, const groups::lease_renew& command)
{
    net::co_spawn(io, renew(domain, command), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& /*domain*/, const groups::probe& command)
{
    // The manager and the ticket board may probe the same VM; both get the result of one call.
    if (probing.insert(command.vm).second)
        net::co_spawn(io, request_report(command), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& domain,
                                 const groups::order_assign& command)
{
    net::co_spawn(io, assign(domain, command), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& domain,
                                 const groups::order_release& command)
{
    net::co_spawn(io, release(domain, command), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& domain, const groups::notice& command)
{
    log_event(
        command.level, command.kind,
        {{"domain", domain.value()}, {"subject", command.subject}, {"detail", command.detail}});
}

/// The nodes that watch a group publish its ticket, and so does its fabric domain's manager, which
/// probes every VM anyway. Without the manager, the tickets of a group whose watchers were just
/// replaced would expire on all nodes until the new watchers have probed its members for the
/// settling time.
bool group_driver::impl::should_publish(const groups::complete_group& group) const
{
    const auto manager = managers.find(group.fabric_domain);
    const bool leads =
        manager != managers.end() && manager->second.status(runtime_clock::now()).leading;
    return leads || board.watches(group.group);
}

void group_driver::impl::execute(const groups::ticket_changed& command)
{
    const time_point now = runtime_clock::now();
    if (should_publish(command.group)) {
        ticket_digest digest;
        digest.group = wire_key(command.group.group.value());
        digest.fencing = command.group.fencing;
        digest.complete = command.complete;
        std::uint32_t capacity = 1;
        for (const pool& row : tables ? tables->pools : std::vector<pool>{}) {
            if (row.name == command.group.pool)
                capacity = std::max(1U, row.max_in_flight_per_replica);
        }
        digest.load = static_cast<std::uint16_t>(
            std::min(per_mille, per_mille * command.group.load.running / capacity));
        // The age of a ticket is that of the oldest report it is based on.
        const duration left = command.group.valid_until - now;
        digest.age = command.complete ? std::max(duration{0}, ticket_horizon - left) : duration{0};
        peers.publish(digest);
    }
    if (!command.complete) {
        hooks.on_changed();
        hooks.on_broken(command.group.group);
    }
}

/// Passes records that this node has written to its peers at once, without waiting for the watch.
void group_driver::impl::relay_writes(const std::vector<kv_operation>& writes,
                                      std::int64_t revision)
{
    for (const kv_operation& write : writes) {
        const auto* put = std::get_if<kv_put>(&write);
        if (put == nullptr)
            continue;
        kv_entry record_written;
        record_written.key = put->key;
        record_written.value = put->value;
        record_written.mod_revision = revision;
        records->record_written(record_written);
    }
}

net::awaitable<void> group_driver::impl::transact(fabric_domain_id domain, groups::kv_call command)
{
    const auto self = shared_from_this();
    const std::vector<kv_operation> writes = command.transaction.then;
    result<kv_outcome> outcome = co_await kv.transact(std::move(command.transaction));
    if (stopped)
        co_return;
    if (outcome && outcome.value().succeeded)
        relay_writes(writes, outcome.value().revision);
    dispatch_to_manager(domain, groups::kv_result{command.token, std::move(outcome)});
}

net::awaitable<void> group_driver::impl::grant(fabric_domain_id domain, groups::lease_grant command)
{
    const auto self = shared_from_this();
    const result<kv_lease> granted = co_await kv.grant(command.ttl);
    if (stopped)
        co_return;
    groups::lease_result outcome{command.token, error{}};
    if (granted)
        outcome.lease = granted.value().id;
    else
        outcome.lease = granted.error();
    dispatch_to_manager(domain, outcome);
}

net::awaitable<void> group_driver::impl::renew(fabric_domain_id domain, groups::lease_renew command)
{
    const auto self = shared_from_this();
    const result<kv_lease> renewed = co_await kv.keep_alive(command.lease);
    if (stopped)
        co_return;
    groups::lease_result outcome{command.token, error{}};
    if (renewed)
        outcome.lease = renewed.value().id;
    else
        outcome.lease = renewed.error();
    dispatch_to_manager(domain, outcome);
}

net::awaitable<void> group_driver::impl::request_report(groups::probe command)
{
    const auto self = shared_from_this();
    engine_client engine{io.get_executor(), command.address, probe_timeout};
    const time_point sent_at = runtime_clock::now();
    const result<engine_report> report = co_await engine.report();
    probing.erase(command.vm);
    if (stopped)
        co_return;
    if (report) {
        handle_report(command, report.value(), sent_at);
        co_return;
    }
    reports.erase(command.vm);
    const auto domain = domain_of.find(command.vm);
    if (domain != domain_of.end())
        dispatch_to_manager(domain->second, groups::report_failed{command.vm});
    dispatch_to_board(groups::report_failed{command.vm});
}

void group_driver::impl::handle_report(const groups::probe& asked, const engine_report& report,
                                       time_point sent_at)
{
    const groups::report_seen seen{asked.vm, to_report(report), sent_at};
    reports[asked.vm] = seen.report;
    if (report.leaving)
        hooks.on_leaving(asked.address);
    const auto domain = domain_of.find(asked.vm);
    if (domain != domain_of.end())
        dispatch_to_manager(domain->second, seen);
    dispatch_to_board(seen);
}

net::awaitable<void> group_driver::impl::assign(fabric_domain_id domain,
                                                groups::order_assign command)
{
    const auto self = shared_from_this();
    const duration left = command.not_after - runtime_clock::now();
    if (left <= duration{0})
        co_return;
    engine_client engine{io.get_executor(), command.address, left};
    engine_order_assign order;
    order.order = command.order;
    order.fencing = command.fencing;
    order.group = command.group;
    order.rank = command.rank;
    order.members = command.members;
    order.model = command.model;
    order.version = command.version;
    order.adapters = command.adapters;
    const result<void> taken = co_await engine.assign(std::move(order));
    if (!stopped)
        dispatch_to_manager(domain,
                            groups::order_result{command.token, command.vm, to_answer(taken)});
}

net::awaitable<void> group_driver::impl::release(fabric_domain_id domain,
                                                 groups::order_release command)
{
    const auto self = shared_from_this();
    const duration left = command.not_after - runtime_clock::now();
    if (left <= duration{0})
        co_return;
    engine_client engine{io.get_executor(), command.address, left};
    const engine_order_release order{command.order, command.fencing, command.group};
    const result<void> taken = co_await engine.release(order);
    if (!stopped)
        dispatch_to_manager(domain,
                            groups::order_result{command.token, command.vm, to_answer(taken)});
}

} // namespace jaynotch
