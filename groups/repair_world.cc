// A domain is simulated only around its faults, from shortly before a fault until its manager has
// no more to do. Nothing changes in between, so the costs continue at their last rate.
#include "groups/repair_world.h"

#include <algorithm>
#include <array>

namespace jaynotch::groups {

namespace {

constexpr auto deployment = "bench";
constexpr std::chrono::seconds step_length{2};
constexpr std::chrono::seconds fault_lead_time{16}; ///< makes reports fresh and VMs assignable
constexpr std::chrono::seconds idle_timeout{90}; ///< without a change, before a domain is suspended
constexpr std::chrono::seconds stream_length{20};
constexpr std::chrono::seconds leave_notice{150}; ///< before a planned replacement
constexpr double load_seconds = 60.0;
constexpr double loads_at_full_rate = 8.0; ///< concurrent loads of a domain that get the full rate
constexpr std::size_t rack_vms = 8;
// Rates of one VM, from the target fleet of 1,600 VMs with 15 failures and 430 planned replacements
// a day.
constexpr double failures_per_day = 15.0 / 1600.0;
constexpr double replacements_per_day = 430.0 / 1600.0;
constexpr double pauses_per_day = 15.0 / 1600.0;
constexpr double rack_losses_per_day = 1.0 / 45.0;    ///< of a fleet of 1,600 VMs
constexpr double domain_losses_per_day = 1.5 / 365.0; ///< of a fleet of 1,600 VMs
constexpr double seconds_per_day = 86'400.0;
const time_point start_time{std::chrono::hours{1}};

duration seconds_of(double count)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{count});
}

/// Accumulates the costs of a domain, or of the fleet, at rates that are constant between two
/// events.
struct running_cost {
    time_point since = start_time;
    double down = 0.0; ///< wanted groups that are not complete, over all domains
    double idle = 0.0; ///< accelerators of live VMs outside complete groups

    void accrue(time_point now, repair_cost& total)
    {
        // The initial formation is not counted: the other policies start with complete groups.
        const time_point from = std::max(since, start_time + std::chrono::seconds{900});
        const double span = std::max(0.0, std::chrono::duration<double>(now - from).count());
        total.group_seconds_down += down * span;
        total.accelerator_seconds_idle += idle * span;
        since = now;
    }
};

} // namespace

std::vector<scheduled_fault> make_schedule(const repair_options& options)
{
    random_source random{options.seed};
    std::vector<scheduled_fault> schedule;
    const std::size_t fleet = options.domains * options.vms_per_domain;
    const double span = std::chrono::duration<double>(options.span).count();
    std::vector<time_point> unavailable_until(fleet, start_time);
    const auto add = [&](std::size_t vm, time_point at, duration outage, vm_change first) {
        if (unavailable_until[vm] > at)
            return;
        const time_point back = at + outage;
        unavailable_until[vm] = back + std::chrono::seconds{600};
        if (first == vm_change::notice_leaving) {
            schedule.push_back({at - leave_notice, first, vm});
            first = vm_change::leave;
        }
        schedule.push_back({at, first, vm});
        schedule.push_back(
            {back, first == vm_change::pause ? vm_change::resume : vm_change::arrive, vm});
    };
    struct fault_event {
        double at;
        std::size_t kind; ///< index in `rates`
    };
    std::vector<fault_event> events;
    const double vms = static_cast<double>(fleet);
    const std::array<double, 5> rates{failures_per_day * vms, replacements_per_day * vms,
                                      pauses_per_day * vms, rack_losses_per_day * vms / 1600.0,
                                      domain_losses_per_day * vms / 1600.0};
    for (std::size_t kind = 0; kind < rates.size(); ++kind) {
        for (double at = 900.0 + random.exponential(seconds_per_day / rates[kind]);
             at < span - 900.0; at += random.exponential(seconds_per_day / rates[kind]))
            events.push_back({at, kind});
    }
    std::sort(events.begin(), events.end(),
              [](const fault_event& a, const fault_event& b) { return a.at < b.at; });
    for (const fault_event& one : events) {
        const std::size_t vm = random.index(fleet);
        const time_point at = start_time + seconds_of(one.at);
        const std::size_t domain = vm / options.vms_per_domain * options.vms_per_domain;
        if (one.kind == 0)
            add(vm, at, seconds_of(120.0 + random.exponential(480.0)), vm_change::fail);
        if (one.kind == 1)
            add(vm, at, seconds_of(30.0 + random.exponential(60.0)), vm_change::notice_leaving);
        if (one.kind == 2)
            add(vm, at, seconds_of(2.0 + random.exponential(20.0)), vm_change::pause);
        const std::size_t affected = one.kind == 3 ? rack_vms : options.vms_per_domain;
        const std::size_t first = one.kind == 3 ? vm : domain;
        for (std::size_t i = 0; one.kind >= 3 && i < affected; ++i) {
            const std::size_t hit = domain + (first - domain + i) % options.vms_per_domain;
            add(hit, at, seconds_of(3600.0 + double(i)), vm_change::fail);
        }
    }
    std::stable_sort(schedule.begin(), schedule.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    return schedule;
}

namespace {

/// One fabric domain under its manager.
struct managed_domain {
    managed_domain(manager_settings settings) : manager{std::move(settings)} {}

    domain_manager manager;
    std::map<std::size_t, fake_engine> engines; ///< by index in the fleet; absent while lost
    std::map<vm_id, std::size_t> index;
    time_point active_until = start_time + std::chrono::hours{1};
    time_point next_wake = start_time;
    std::map<group_id, time_point> draining_since;
    std::set<std::size_t> paused;
    std::map<std::size_t, time_point> leaving;
    bool list_changed = true;
    std::set<std::string> pending_records;
    running_cost cost;
    double complete = 0.0;
};

class managed_fleet {
public:
    managed_fleet(const repair_options& options, const std::vector<scheduled_fault>& schedule);
    repair_cost run();

private:
    void apply(const scheduled_fault& fault);
    void step(managed_domain& domain, time_point now);
    void deliver(managed_domain& domain, const manager_event& event);
    void execute(managed_domain& domain, const manager_command& command);
    void update_cost(managed_domain& domain);
    fake_engine make_engine(std::size_t vm);

    repair_options m_options;
    const std::vector<scheduled_fault>& m_schedule;
    std::shared_ptr<configuration> m_tables = std::make_shared<configuration>();
    fake_store m_store;
    std::vector<std::unique_ptr<managed_domain>> m_domains;
    std::map<std::string, kv_entry> m_records;
    std::size_t m_generation = 0;
    time_point m_now = start_time;
    time_point m_second = start_time;
    std::uint64_t m_writes_this_second = 0;
    repair_cost m_cost;
};

managed_fleet::managed_fleet(const repair_options& options,
                             const std::vector<scheduled_fault>& schedule)
    : m_options{options}, m_schedule{schedule}
{
    m_tables->deployment = deployment;
    pool row;
    row.name = pool_id{"runners"};
    row.model = "llm";
    row.version = "v1";
    row.replica_vms = options.replica_vms;
    row.replicas = options.replicas;
    row.weight_down = options.weight_down;
    row.weight_idle = options.weight_idle;
    m_tables->pools.push_back(row);
    for (std::size_t d = 0; d < options.domains; ++d) {
        manager_settings settings;
        settings.deployment = deployment;
        settings.self = node_id{"node-" + std::to_string(d)};
        settings.domain = fabric_domain_id{"fabric-" + std::to_string(d)};
        settings.lease = std::chrono::hours{24 * 365}; // suspended domains do not renew it
        m_domains.push_back(std::make_unique<managed_domain>(settings));
        for (std::size_t v = 0; v < options.vms_per_domain; ++v) {
            const std::size_t vm = d * options.vms_per_domain + v;
            m_domains[d]->engines.emplace(vm, make_engine(vm));
        }
        deliver(*m_domains[d], tables_installed{m_tables});
    }
}

fake_engine managed_fleet::make_engine(std::size_t vm)
{
    const std::size_t d = vm / m_options.vms_per_domain;
    const std::string name = "vm-" + std::to_string(vm) + "-" + std::to_string(++m_generation);
    fake_engine engine{vm_row{vm_id{name},
                              name + ":1",
                              fabric_domain_id{"fabric-" + std::to_string(d)},
                              failure_domain_id{"here"},
                              m_options.accelerators,
                              false,
                              {}}};
    engine.load_seconds = load_seconds;
    m_domains[d]->index[engine.row.vm] = vm;
    return engine;
}

void managed_fleet::apply(const scheduled_fault& fault)
{
    managed_domain& domain = *m_domains[fault.vm / m_options.vms_per_domain];
    domain.active_until = m_now + idle_timeout;
    domain.list_changed = true;
    const auto engine = domain.engines.find(fault.vm);
    if (fault.change == vm_change::arrive)
        domain.engines.emplace(fault.vm, make_engine(fault.vm));
    else if (engine == domain.engines.end())
        return;
    else if (fault.change == vm_change::notice_leaving) {
        engine->second.row.leaving = true;
        domain.active_until = fault.at + leave_notice + idle_timeout;
        domain.leaving[fault.vm] = fault.at + leave_notice;
    }
    else if (fault.change == vm_change::pause)
        domain.paused.insert(fault.vm);
    else if (fault.change == vm_change::resume)
        domain.paused.erase(fault.vm);
    else {
        domain.index.erase(engine->second.row.vm);
        domain.engines.erase(engine);
        domain.leaving.erase(fault.vm);
    }
}

void managed_fleet::deliver(managed_domain& domain, const manager_event& event)
{
    for (const manager_command& command : domain.manager.handle(event, m_now))
        execute(domain, command);
}

void managed_fleet::execute(managed_domain& domain, const manager_command& command)
{
    const auto engine_of = [&](const vm_id& vm) -> fake_engine* {
        const auto at = domain.index.find(vm);
        return at == domain.index.end() || domain.paused.contains(at->second)
                   ? nullptr
                   : &domain.engines.at(at->second);
    };
    if (const auto* call = std::get_if<kv_call>(&command)) {
        const std::int64_t before = m_store.revision();
        const kv_outcome outcome = m_store.apply(call->transaction, m_now);
        if (m_store.revision() != before) {
            ++m_cost.record_writes;
            m_writes_this_second += 1;
            const auto key = record_key(deployment, domain.manager.record().domain);
            for (const kv_entry& entry : m_store.records(deployment)) {
                if (entry.key != key)
                    continue;
                m_records[key] = entry;
                for (auto& other : m_domains)
                    other->pending_records.insert(key);
            }
        }
        deliver(domain, kv_result{call->token, outcome});
    }
    else if (const auto* grant = std::get_if<lease_grant>(&command))
        deliver(domain, lease_result{grant->token, m_store.grant(grant->ttl, m_now)});
    else if (const auto* renew = std::get_if<lease_renew>(&command))
        deliver(domain, lease_result{renew->token, m_store.renew(renew->lease, m_now)});
    else if (const auto* assign = std::get_if<order_assign>(&command)) {
        domain.active_until = m_now + idle_timeout;
        if (fake_engine* engine = engine_of(assign->vm); engine != nullptr)
            engine->assign(*assign);
    }
    else if (const auto* release = std::get_if<order_release>(&command)) {
        domain.active_until = m_now + idle_timeout;
        if (fake_engine* engine = engine_of(release->vm); engine != nullptr)
            engine->release(*release);
    }
}

void managed_fleet::step(managed_domain& domain, time_point now)
{
    if (domain.list_changed) {
        domain.list_changed = false;
        vms_seen list;
        for (const auto& other : m_domains) {
            for (const auto& [vm, engine] : other->engines) {
                vm_row row = engine.row;
                if (const auto at = other->leaving.find(vm); at != other->leaving.end())
                    row.leaves_in =
                        std::chrono::duration_cast<std::chrono::milliseconds>(at->second - now);
                list.rows.push_back(std::move(row));
            }
        }
        deliver(domain, list);
    }
    for (const std::string& key : std::exchange(domain.pending_records, {}))
        deliver(domain, record_seen{m_records.at(key)});
    for (const group_assignment& group : domain.manager.record().groups) {
        if (!group.draining)
            domain.draining_since.erase(group.group);
        else
            domain.draining_since.try_emplace(group.group, now);
    }
    double loading = 0;
    for (const auto& [vm, engine] : domain.engines)
        loading += engine.current_report.state == member_state::loading ? 1 : 0;
    for (auto& [vm, engine] : domain.engines) {
        if (domain.paused.contains(vm))
            continue;
        engine.advance(step_length, std::min(1.0, loads_at_full_rate / std::max(1.0, loading)));
        const auto drains = domain.draining_since.find(engine.current_report.group);
        const bool done =
            drains != domain.draining_since.end() && now - drains->second >= stream_length;
        engine.current_report.running =
            engine.current_report.state == member_state::ready && !done ? 1 : 0;
        deliver(domain, report_seen{engine.row.vm, engine.current_report, now});
    }
    deliver(domain, tick{});
    update_cost(domain);
}

void managed_fleet::update_cost(managed_domain& domain)
{
    domain.cost.accrue(m_now, m_cost);
    domain.complete = 0.0;
    double alive = 0.0;
    std::map<std::string, const fake_engine*> by_address;
    for (const auto& [vm, engine] : domain.engines) {
        if (domain.paused.contains(vm))
            continue;
        alive += 1.0;
        by_address[engine.row.address] = &engine;
    }
    for (const auto& [address, engine] : by_address) {
        const member_report& current_report = engine->current_report;
        if (current_report.rank != 0 || current_report.state != member_state::ready)
            continue;
        const bool complete =
            !domain.draining_since.contains(current_report.group) &&
            std::all_of(current_report.members.begin(), current_report.members.end(),
                        [&](const std::string& one) {
                            const auto at = by_address.find(one);
                            return at != by_address.end() &&
                                   at->second->current_report.group == current_report.group &&
                                   at->second->current_report.members == current_report.members &&
                                   at->second->current_report.state == member_state::ready;
                        });
        domain.complete += complete ? 1.0 : 0.0;
    }
    domain.cost.idle = (alive - domain.complete * m_options.replica_vms) * m_options.accelerators;
}

repair_cost managed_fleet::run()
{
    const time_point end = start_time + m_options.span;
    std::size_t next = 0;
    running_cost down;
    while (m_now < end) {
        while (next < m_schedule.size() && m_schedule[next].at <= m_now)
            apply(m_schedule[next++]);
        // A domain is resumed before its next fault, so that its reports are fresh by then.
        for (std::size_t i = next; i < m_schedule.size(); ++i) {
            if (m_schedule[i].at > m_now + fault_lead_time)
                break;
            managed_domain& domain = *m_domains[m_schedule[i].vm / m_options.vms_per_domain];
            domain.active_until = std::max(domain.active_until, m_now + fault_lead_time);
        }
        bool any_active = false;
        double complete = 0.0;
        for (auto& domain : m_domains) {
            if (m_now <= domain->active_until) {
                any_active = true;
                step(*domain, m_now);
            }
            complete += domain->complete;
        }
        down.accrue(m_now, m_cost);
        down.down = std::max(0.0, double(m_options.replicas) - complete);
        m_cost.max_writes_per_second =
            std::max(m_cost.max_writes_per_second,
                     m_writes_this_second / static_cast<std::uint64_t>(step_length.count()));
        m_writes_this_second = 0;
        m_now += step_length;
        if (!any_active && next < m_schedule.size())
            m_now = std::max(m_now, m_schedule[next].at - fault_lead_time);
        else if (!any_active)
            m_now = end;
    }
    m_now = end;
    for (auto& domain : m_domains)
        domain->cost.accrue(end, m_cost);
    down.accrue(end, m_cost);
    return m_cost;
}

} // namespace

repair_cost run_manager(const repair_options& options, const std::vector<scheduled_fault>& schedule)
{
    return managed_fleet{options, schedule}.run();
}

} // namespace jaynotch::groups
