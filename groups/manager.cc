// The manager combines four parts: leadership (whether this node may act), vm_table (the observed
// state), planner (the desired state) and order_book (the orders that lead from one to the other).
//
// At most one write of the record is in flight, as a compare-and-swap on the mod_revisions of the
// record and of the manager's key. After a lost reply the record is read back. If the write took
// effect, the read shows it and its revision. If the read still shows the old revision and the
// write takes effect later, the next compare fails and the record is read again. The outcome of a
// write is thus never assumed.
#include "groups/manager.h"

#include "groups/leadership.h"
#include "groups/orders.h"
#include "groups/plan.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

constexpr std::size_t max_deputies = 1;    ///< nodes that act while the platform is unreachable
constexpr std::size_t max_candidates = 2;  ///< nodes that campaign for the manager's key
constexpr duration min_read_interval = 2s; ///< between two rereads of the record
constexpr std::size_t max_records = 4096;

bool same_assignment(const domain_record& left, const domain_record& right)
{
    return left.groups == right.groups;
}

bool is_assigned(const domain_record& record, const vm_id& vm)
{
    const auto is = [&](const member& one) { return one.vm == vm; };
    return std::any_of(record.groups.begin(), record.groups.end(), [&](const auto& group) {
        return std::any_of(group.members.begin(), group.members.end(), is) ||
               std::any_of(group.standbys.begin(), group.standbys.end(), is);
    });
}

} // namespace

struct domain_manager::state {
    explicit state(manager_settings from)
        : settings{std::move(from)}, lead{settings}, vms{settings}, orders{settings.self.value()}
    {
        record.domain = settings.domain;
    }

    manager_settings settings;
    leadership lead;
    vm_table vms;
    planner plan;
    order_book orders;
    std::shared_ptr<const configuration> tables;
    std::vector<peer_row> peers;
    record_map records;   ///< by domain, this one's included
    domain_record record; ///< as last read or written
    bool record_read = false;
    bool list_read = false;
    bool reread_record = false; ///< the record may have been changed by another writer
    time_point last_read;
    fencing_number highest_reported_fencing; ///< by any engine that the record names
    domain_record pending_record;
    pending_call record_call;
    time_point last_write;
    time_point started;
    bool any_tick = false;
    std::uint64_t writes = 0;
    std::vector<manager_command> out;

    void on_event(const vms_seen& seen, time_point now);
    void on_event(const report_seen& seen, time_point now);
    void on_event(const report_failed&, time_point) {}
    void on_event(const kv_result& answer, time_point now);
    void on_event(const lease_result& answer, time_point now) { lead.take(answer, now, out); }
    void on_event(const record_seen& seen, time_point now) { apply_entry(seen.entry, now); }
    void on_event(const tables_installed& installed, time_point) { tables = installed.tables; }
    void on_event(const order_result& answer, time_point now);
    void on_event(const peers_seen& seen, time_point) { peers = seen.peers; }
    void on_event(const straggler_found& found, time_point now);
    void on_event(const tick&, time_point now);

    void apply_entry(const kv_entry& entry, time_point now);
    void finish_record_call(const kv_result& answer, time_point now);
    void write_record(domain_record next, time_point now);
    void read_record(time_point now);
    void send_probes(time_point now);
    void quarantine_stalled(time_point now);
    void send_orders(time_point now, bool without_platform);
    [[nodiscard]] bool is_among_first(std::size_t count) const;
    [[nodiscard]] bool platform_unreachable(time_point now) const;
    [[nodiscard]] plan_input make_plan_input(time_point now) const;
};

void domain_manager::state::on_event(const vms_seen& seen, time_point now)
{
    vms.apply_list(seen.rows, now);
    list_read = true;
}

void domain_manager::state::on_event(const report_seen& seen, time_point now)
{
    if (!vms.apply_report(seen, now))
        out.emplace_back(
            notice{log_level::warning, "report_refused", seen.vm.value(),
                   "the report names another VM or too many members; the VM is quarantined"});
    // A fencing number above the known revision: the record has been changed by another writer, or
    // another domain's manager sent this VM an order while the list named it in both domains.
    if (seen.report.fencing > record.revision && is_assigned(record, seen.vm)) {
        reread_record = true;
        highest_reported_fencing = std::max(highest_reported_fencing, seen.report.fencing);
    }
}

void domain_manager::state::on_event(const straggler_found& found, time_point now)
{
    if (vms.find(found.vm) == nullptr)
        return;
    vms.quarantine(found.vm, now);
    out.emplace_back(notice{log_level::warning, "straggler_replaced", found.vm.value(),
                            "the VM slows its group down; it is quarantined"});
}

void domain_manager::state::on_event(const order_result& answer, time_point)
{
    if (answer.answer == order_answer::refused)
        reread_record = true;
}

void domain_manager::state::apply_entry(const kv_entry& entry, time_point)
{
    if (!is_record_key(settings.deployment, entry.key))
        return;
    if (entry.mod_revision == 0) {
        // The record has never been written. Only a read of this domain's own key can return such
        // an entry.
        record_read = record_read || entry.key == record_key(settings.deployment, settings.domain);
        return;
    }
    auto parsed = parse_record(entry);
    if (!parsed) {
        out.emplace_back(
            notice{log_level::error, "record_refused", entry.key, to_string(parsed.error())});
        return;
    }
    domain_record& read = parsed.value();
    if (entry.key != record_key(settings.deployment, read.domain))
        return;
    if (read.domain == settings.domain) {
        if (read.revision > record.revision)
            record = read;
        record_read = true;
    }
    const auto known = records.find(read.domain);
    if (known == records.end() && records.size() >= max_records)
        return;
    if (known == records.end() || known->second.revision < read.revision)
        records[read.domain] = read;
}

void domain_manager::state::on_event(const kv_result& answer, time_point now)
{
    if (record_call.kind != call_kind::none && answer.token == record_call.token) {
        finish_record_call(answer, now);
        return;
    }
    std::vector<kv_entry> entries;
    if (!lead.take(answer, now, out, entries) || !answer.outcome)
        return;
    record_read = true; // the answer includes the record, if there is one
    for (const kv_entry& entry : entries)
        apply_entry(entry, now);
}

void domain_manager::state::finish_record_call(const kv_result& answer, time_point now)
{
    const pending_call call = std::exchange(record_call, {});
    if (!answer.outcome) {
        reread_record = true;
        return;
    }
    lead.note_platform_answer(now);
    const kv_outcome& outcome = answer.outcome.value();
    if (call.kind == call_kind::write && outcome.succeeded) {
        ++writes;
        pending_record.revision = fencing_number{outcome.revision};
        if (record.revision < pending_record.revision)
            record = pending_record;
        records[record.domain] = record;
        return;
    }
    const std::string own_manager_key = manager_key(settings.deployment, settings.domain);
    bool ours = false;
    for (const kv_entry& entry : outcome.entries) {
        ours = ours || (entry.key == own_manager_key && entry.mod_revision == lead.key_revision());
        apply_entry(entry, now);
    }
    if (!ours)
        lead.step_down();
}

void domain_manager::state::write_record(domain_record next, time_point now)
{
    const std::string own_record_key = record_key(settings.deployment, settings.domain);
    const std::string own_manager_key = manager_key(settings.deployment, settings.domain);
    record_call = {call_kind::write, lead.next_token(), now};
    next.change = settings.self.value() + "/" + std::to_string(record.revision.value()) + "/" +
                  std::to_string(record_call.token.value());
    pending_record = std::move(next);
    last_write = now;
    out.emplace_back(
        kv_call{record_call.token,
                kv_transaction{{kv_compare{own_record_key, record.revision.value()},
                                kv_compare{own_manager_key, lead.key_revision()}},
                               {kv_put{own_record_key, format_record(pending_record), lease_id{0}}},
                               {kv_get{own_record_key}, kv_get{own_manager_key}}}});
}

void domain_manager::state::read_record(time_point now)
{
    const std::string own_record_key = record_key(settings.deployment, settings.domain);
    const std::string own_manager_key = manager_key(settings.deployment, settings.domain);
    reread_record = false;
    last_read = now;
    record_call = {call_kind::read, lead.next_token(), now};
    out.emplace_back(
        kv_call{record_call.token,
                kv_transaction{{}, {kv_get{own_record_key}, kv_get{own_manager_key}}, {}}});
}

bool domain_manager::state::is_among_first(std::size_t count) const
{
    std::vector<std::string> node_names;
    const auto self = std::find_if(peers.begin(), peers.end(),
                                   [&](const peer_row& row) { return row.node == settings.self; });
    if (self == peers.end())
        return true; // no peers are known, so this node may be the only one
    for (const peer_row& row : peers) {
        if (row.failure_domain == self->failure_domain)
            node_names.push_back(row.node.value());
    }
    const auto first = rendezvous(settings.domain.value(), node_names, count);
    return std::any_of(first.begin(), first.end(),
                       [&](std::size_t at) { return node_names[at] == settings.self.value(); });
}

bool domain_manager::state::platform_unreachable(time_point now) const
{
    const time_point last_answer = std::max(lead.last_platform_answer(), started);
    return now - last_answer >= settings.platform_timeout;
}

plan_input domain_manager::state::make_plan_input(time_point now) const
{
    return {settings, record, vms, *tables, records, now};
}

void domain_manager::state::send_probes(time_point now)
{
    for (auto& [vm, view] : vms.all()) {
        if (now - view.last_probe < settings.probe_period)
            continue;
        view.last_probe = now;
        out.emplace_back(probe{vm, view.id.address});
    }
}

void domain_manager::state::quarantine_stalled(time_point now)
{
    for (auto& [vm, view] : vms.all()) {
        const bool stalled = vms.fresh(view, now) && view.report->state == member_state::loading &&
                             now - view.progress_at > settings.load_stall_timeout;
        if (!stalled || now < view.quarantined_until)
            continue;
        vms.quarantine(vm, now);
        out.emplace_back(notice{log_level::warning, "load_stalled", vm.value(),
                                "the load makes no progress; the VM is quarantined"});
    }
}

void domain_manager::state::send_orders(time_point now, bool without_platform)
{
    const time_point latest = now + settings.order_timeout;
    const order_input in{settings,
                         record,
                         records,
                         plan.health_by_group(),
                         now,
                         without_platform ? latest : std::min(latest, lead.until()),
                         without_platform};
    orders.send(
        in, vms, [this] { return lead.next_token(); }, out);
}

void domain_manager::state::on_event(const tick&, time_point now)
{
    if (!any_tick) {
        started = now;
        any_tick = true;
    }
    lead.tick(is_among_first(max_candidates), now, out);
    if (record_call.kind != call_kind::none && now - record_call.sent_at >= settings.call_timeout) {
        record_call = {};
        reread_record = true;
    }
    const bool leading = lead.leading(now) && record_read && tables && list_read;
    const bool deputy = !leading && platform_unreachable(now) && record_read && tables &&
                        is_among_first(max_deputies);
    if (!leading && !deputy)
        return;
    send_probes(now);
    quarantine_stalled(now);
    if (deputy) {
        plan.assess(make_plan_input(now));
        send_orders(now, true);
        return;
    }
    if (record_call.kind == call_kind::none && reread_record &&
        now - last_read >= min_read_interval)
        read_record(now);
    std::vector<notice> notices;
    domain_record next = plan.next(make_plan_input(now), notices);
    const bool may_write =
        record_call.kind == call_kind::none && now - last_write >= settings.min_write_interval;
    // An engine that checks fencing numbers refuses every order until the record's revision reaches
    // the highest number that it has accepted. Writing the record, even unchanged, raises its
    // revision, since all keys of the store share one revision counter.
    const bool raise_revision =
        highest_reported_fencing > record.revision && now - last_read >= min_read_interval;
    if (may_write && (raise_revision || !same_assignment(next, record))) {
        for (notice& one : notices)
            out.emplace_back(std::move(one));
        write_record(std::move(next), now);
    }
    send_orders(now, false);
}

domain_manager::domain_manager(manager_settings settings)
    : m_state{std::make_unique<state>(std::move(settings))}
{}
domain_manager::~domain_manager() = default;
domain_manager::domain_manager(domain_manager&&) noexcept = default;
domain_manager& domain_manager::operator=(domain_manager&&) noexcept = default;

std::vector<manager_command> domain_manager::handle(const manager_event& event, time_point now)
{
    m_state->out.clear();
    std::visit([&](const auto& alternative) { m_state->on_event(alternative, now); }, event);
    return std::move(m_state->out);
}

const domain_record& domain_manager::record() const noexcept
{
    return m_state->record;
}

manager_status domain_manager::status(time_point now) const
{
    const state& s = *m_state;
    manager_status current;
    current.leading = s.lead.leading(now);
    current.platform_unreachable = s.platform_unreachable(now);
    current.record_revision = s.record.revision;
    current.groups = s.record.groups.size();
    for (const auto& [group, health] : s.plan.health_by_group())
        current.complete_groups += health.complete || health.switched ? 1 : 0;
    for (const auto& [vm, view] : s.vms.all())
        current.spares += s.vms.assignable(view, now) ? 1 : 0;
    current.record_writes = s.writes;
    current.orders = s.orders.sent();
    return current;
}

} // namespace jaynotch::groups
