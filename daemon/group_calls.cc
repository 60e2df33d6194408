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

groups::member_report to_report(const engine_report& told)
{
    groups::member_report report;
    report.vm = told.vm;
    report.boot = told.boot;
    report.group = told.group;
    report.fencing = told.fencing;
    report.rank = told.rank;
    report.members = told.members;
    report.model = told.model;
    report.version = told.version;
    report.adapters = told.adapters;
    report.state = to_state(told.state);
    report.progress = told.progress;
    report.running = told.running;
    report.waiting = told.waiting;
    report.kv_used = told.kv_used;
    report.step_ms = told.step_ms;
    report.leaving = told.leaving;
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
    for (const groups::manager_command& wanted : found->second.handle(event, runtime_clock::now()))
        std::visit([&](const auto& one) { execute(domain, one); }, wanted);
}

void group_driver::impl::dispatch_to_board(const groups::board_event& event)
{
    for (const groups::board_command& wanted : board.handle(event, runtime_clock::now())) {
        if (const auto* ask = std::get_if<groups::probe>(&wanted))
            execute(fabric_domain_id{}, *ask);
        else if (const auto* ticket = std::get_if<groups::ticket_changed>(&wanted))
            execute(*ticket);
        else if (const auto* line = std::get_if<groups::notice>(&wanted))
            execute(fabric_domain_id{}, *line);
    }
}

void group_driver::impl::execute(const fabric_domain_id& domain, const groups::kv_call& wanted)
{
    net::co_spawn(io, transact(domain, wanted), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& domain, const groups::lease_grant& wanted)
{
    net::co_spawn(io, grant(domain, wanted), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& domain, const groups::lease_renew& wanted)
{
    net::co_spawn(io, renew(domain, wanted), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& /*domain*/, const groups::probe& wanted)
{
    // The manager and the ticket board may probe the same VM; both get the result of one call.
    if (probing.insert(wanted.vm).second)
        net::co_spawn(io, request_report(wanted), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& domain, const groups::order_assign& wanted)
{
    net::co_spawn(io, assign(domain, wanted), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& domain,
                                 const groups::order_release& wanted)
{
    net::co_spawn(io, release(domain, wanted), net::detached);
}

void group_driver::impl::execute(const fabric_domain_id& domain, const groups::notice& wanted)
{
    log_event(wanted.level, wanted.kind,
              {{"domain", domain.value()}, {"subject", wanted.subject}, {"detail", wanted.detail}});
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

void group_driver::impl::execute(const groups::ticket_changed& wanted)
{
    const time_point now = runtime_clock::now();
    if (should_publish(wanted.group)) {
        ticket_digest told;
        told.group = wire_key(wanted.group.group.value());
        told.fencing = wanted.group.fencing;
        told.complete = wanted.complete;
        std::uint32_t capacity = 1;
        for (const pool& row : tables ? tables->pools : std::vector<pool>{}) {
            if (row.name == wanted.group.pool)
                capacity = std::max(1U, row.max_in_flight_per_replica);
        }
        told.load = static_cast<std::uint16_t>(
            std::min(per_mille, per_mille * wanted.group.load.running / capacity));
        // The age of a ticket is that of the oldest report it is based on.
        const duration left = wanted.group.valid_until - now;
        told.age = wanted.complete ? std::max(duration{0}, ticket_horizon - left) : duration{0};
        peers.publish(told);
    }
    if (!wanted.complete) {
        hooks.on_changed();
        hooks.on_broken(wanted.group.group);
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

net::awaitable<void> group_driver::impl::transact(fabric_domain_id domain, groups::kv_call wanted)
{
    const auto self = shared_from_this();
    const std::vector<kv_operation> writes = wanted.transaction.then;
    result<kv_outcome> outcome = co_await kv.transact(std::move(wanted.transaction));
    if (stopped)
        co_return;
    if (outcome && outcome.value().succeeded)
        relay_writes(writes, outcome.value().revision);
    dispatch_to_manager(domain, groups::kv_result{wanted.token, std::move(outcome)});
}

net::awaitable<void> group_driver::impl::grant(fabric_domain_id domain, groups::lease_grant wanted)
{
    const auto self = shared_from_this();
    const result<kv_lease> granted = co_await kv.grant(wanted.ttl);
    if (stopped)
        co_return;
    groups::lease_result told{wanted.token, error{}};
    if (granted)
        told.lease = granted.value().id;
    else
        told.lease = granted.error();
    dispatch_to_manager(domain, told);
}

net::awaitable<void> group_driver::impl::renew(fabric_domain_id domain, groups::lease_renew wanted)
{
    const auto self = shared_from_this();
    const result<kv_lease> renewed = co_await kv.keep_alive(wanted.lease);
    if (stopped)
        co_return;
    groups::lease_result told{wanted.token, error{}};
    if (renewed)
        told.lease = renewed.value().id;
    else
        told.lease = renewed.error();
    dispatch_to_manager(domain, told);
}

net::awaitable<void> group_driver::impl::request_report(groups::probe wanted)
{
    const auto self = shared_from_this();
    engine_client engine{io.get_executor(), wanted.address, probe_timeout};
    const time_point sent_at = runtime_clock::now();
    const result<engine_report> told = co_await engine.report();
    probing.erase(wanted.vm);
    if (stopped)
        co_return;
    if (told) {
        handle_report(wanted, told.value(), sent_at);
        co_return;
    }
    reports.erase(wanted.vm);
    const auto domain = domain_of.find(wanted.vm);
    if (domain != domain_of.end())
        dispatch_to_manager(domain->second, groups::report_failed{wanted.vm});
    dispatch_to_board(groups::report_failed{wanted.vm});
}

void group_driver::impl::handle_report(const groups::probe& asked, const engine_report& told,
                                       time_point sent_at)
{
    const groups::report_seen seen{asked.vm, to_report(told), sent_at};
    reports[asked.vm] = seen.report;
    if (told.leaving)
        hooks.on_leaving(asked.address);
    const auto domain = domain_of.find(asked.vm);
    if (domain != domain_of.end())
        dispatch_to_manager(domain->second, seen);
    dispatch_to_board(seen);
}

net::awaitable<void> group_driver::impl::assign(fabric_domain_id domain,
                                                groups::order_assign wanted)
{
    const auto self = shared_from_this();
    const duration left = wanted.not_after - runtime_clock::now();
    if (left <= duration{0})
        co_return;
    engine_client engine{io.get_executor(), wanted.address, left};
    engine_order_assign order;
    order.order = wanted.order;
    order.fencing = wanted.fencing;
    order.group = wanted.group;
    order.rank = wanted.rank;
    order.members = wanted.members;
    order.model = wanted.model;
    order.version = wanted.version;
    order.adapters = wanted.adapters;
    const result<void> taken = co_await engine.assign(std::move(order));
    if (!stopped)
        dispatch_to_manager(domain,
                            groups::order_result{wanted.token, wanted.vm, to_answer(taken)});
}

net::awaitable<void> group_driver::impl::release(fabric_domain_id domain,
                                                 groups::order_release wanted)
{
    const auto self = shared_from_this();
    const duration left = wanted.not_after - runtime_clock::now();
    if (left <= duration{0})
        co_return;
    engine_client engine{io.get_executor(), wanted.address, left};
    const engine_order_release order{wanted.order, wanted.fencing, wanted.group};
    const result<void> taken = co_await engine.release(order);
    if (!stopped)
        dispatch_to_manager(domain,
                            groups::order_result{wanted.token, wanted.vm, to_answer(taken)});
}

} // namespace jaynotch
