// The manager ties four parts together: leadership (may I), vm_table (what is), planner (what
// should be) and order_book (what to say to whom).
//
// One write of the record is under way at a time, as a compare-and-swap on the record's and the
// manager key's mod_revision. A lost reply is settled by reading the record back: if it carries the
// change's name, the write took effect; if it still has the old revision, it has not, and if it
// does so later the next compare fails and the record is read again. Nothing is ever assumed.
#include "groups/manager.h"

#include "groups/leadership.h"
#include "groups/orders.h"
#include "groups/plan.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

constexpr std::size_t dark_deputies = 1; ///< nodes that act for a domain while the platform is dark
constexpr std::size_t candidates = 2;    ///< nodes that campaign for the manager's key
constexpr duration read_gap = 2s;        ///< between two reads of the record for cause
constexpr std::size_t most_records = 4096;

bool same_assignment(const domain_record& left, const domain_record& right)
{
    return left.groups == right.groups;
}

bool names(const domain_record& record, const vm_id& vm)
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
    record_map others;    ///< records by domain, this one's included
    domain_record record; ///< as last read or written
    bool record_read = false;
    bool list_read = false;
    bool read_again = false; ///< the record may have changed under us
    time_point last_read;
    fencing_number ahead; ///< highest fencing number that an engine of the record has reported
    domain_record writing;
    pending_call write;
    time_point last_write;
    time_point started;
    bool any_tick = false;
    std::uint64_t writes = 0;
    std::vector<manager_command> out;

    void take(const vms_seen& seen, time_point now);
    void take(const report_seen& seen, time_point now);
    void take(const report_failed&, time_point) {}
    void take(const kv_result& answer, time_point now);
    void take(const lease_result& answer, time_point now) { lead.take(answer, now, out); }
    void take(const record_seen& seen, time_point now) { install(seen.entry, now); }
    void take(const tables_installed& installed, time_point) { tables = installed.tables; }
    void take(const order_result& answer, time_point now);
    void take(const peers_seen& seen, time_point) { peers = seen.peers; }
    void take(const straggler_found& found, time_point now);
    void take(const tick&, time_point now);

    void install(const kv_entry& entry, time_point now);
    void settle_write(const kv_result& answer, time_point now);
    void write_record(domain_record next, time_point now);
    void read_record(time_point now);
    void send_probes(time_point now);
    void set_aside_stalled(time_point now);
    void follow(time_point now, bool dark);
    [[nodiscard]] bool among_first(std::size_t count) const;
    [[nodiscard]] bool dark(time_point now) const;
    [[nodiscard]] plan_input planning(time_point now) const;
};

void domain_manager::state::take(const vms_seen& seen, time_point now)
{
    vms.take_list(seen.rows, now);
    list_read = true;
}

void domain_manager::state::take(const report_seen& seen, time_point now)
{
    if (!vms.take_report(seen, now))
        out.emplace_back(notice{log_level::warning, "report_refused", seen.vm.value(),
                                "the engine reports as another VM; it is set aside"});
    // A fencing number from the future: the record has moved on without us, or another domain's
    // manager ordered this VM while the list named it in both.
    if (seen.report.fencing > record.revision && names(record, seen.vm)) {
        read_again = true;
        ahead = std::max(ahead, seen.report.fencing);
    }
}

void domain_manager::state::take(const straggler_found& found, time_point now)
{
    if (vms.find(found.vm) == nullptr)
        return;
    vms.set_aside(found.vm, now);
    out.emplace_back(notice{log_level::warning, "straggler_replaced", found.vm.value(),
                            "it slows its group down"});
}

void domain_manager::state::take(const order_result& answer, time_point)
{
    if (answer.answer == order_answer::refused)
        read_again = true;
}

void domain_manager::state::install(const kv_entry& entry, time_point)
{
    if (!is_record_key(settings.deployment, entry.key))
        return;
    if (entry.mod_revision == 0) {
        // Never written. Only the answer to a read of our own key says so.
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
    const auto known = others.find(read.domain);
    if (known == others.end() && others.size() >= most_records)
        return;
    if (known == others.end() || known->second.revision < read.revision)
        others[read.domain] = read;
}

void domain_manager::state::take(const kv_result& answer, time_point now)
{
    if (write.kind != call_kind::none && answer.token == write.token) {
        settle_write(answer, now);
        return;
    }
    std::vector<kv_entry> entries;
    if (!lead.take(answer, now, out, entries) || !answer.outcome)
        return;
    record_read = true; // the record came along, or there is none
    for (const kv_entry& entry : entries)
        install(entry, now);
}

void domain_manager::state::settle_write(const kv_result& answer, time_point now)
{
    const pending_call call = std::exchange(write, {});
    if (!answer.outcome) {
        read_again = true;
        return;
    }
    lead.note_platform_answer(now);
    const kv_outcome& outcome = answer.outcome.value();
    if (call.kind == call_kind::write && outcome.succeeded) {
        ++writes;
        writing.revision = fencing_number{outcome.revision};
        if (record.revision < writing.revision)
            record = writing;
        others[record.domain] = record;
        return;
    }
    const std::string manager = manager_key(settings.deployment, settings.domain);
    bool ours = false;
    for (const kv_entry& entry : outcome.entries) {
        ours = ours || (entry.key == manager && entry.mod_revision == lead.key_revision());
        install(entry, now);
    }
    if (!ours)
        lead.step_down();
}

void domain_manager::state::write_record(domain_record next, time_point now)
{
    const std::string record_at = record_key(settings.deployment, settings.domain);
    const std::string manager = manager_key(settings.deployment, settings.domain);
    write = {call_kind::write, lead.next_token(), now};
    next.change = settings.self.value() + "/" + std::to_string(record.revision.value()) + "/" +
                  std::to_string(write.token.value());
    writing = std::move(next);
    last_write = now;
    out.emplace_back(kv_call{
        write.token, kv_transaction{{kv_compare{record_at, record.revision.value()},
                                     kv_compare{manager, lead.key_revision()}},
                                    {kv_put{record_at, format_record(writing), lease_id{0}}},
                                    {kv_get{record_at}, kv_get{manager}}}});
}

void domain_manager::state::read_record(time_point now)
{
    const std::string record_at = record_key(settings.deployment, settings.domain);
    const std::string manager = manager_key(settings.deployment, settings.domain);
    read_again = false;
    last_read = now;
    write = {call_kind::read, lead.next_token(), now};
    out.emplace_back(
        kv_call{write.token, kv_transaction{{}, {kv_get{record_at}, kv_get{manager}}, {}}});
}

bool domain_manager::state::among_first(std::size_t count) const
{
    std::vector<std::string> names;
    const auto self = std::find_if(peers.begin(), peers.end(),
                                   [&](const peer_row& row) { return row.node == settings.self; });
    if (self == peers.end())
        return true; // knows of no peers: nobody else may be there
    for (const peer_row& row : peers) {
        if (row.failure_domain == self->failure_domain)
            names.push_back(row.node.value());
    }
    const auto first = rendezvous(settings.domain.value(), names, count);
    return std::any_of(first.begin(), first.end(),
                       [&](std::size_t at) { return names[at] == settings.self.value(); });
}

bool domain_manager::state::dark(time_point now) const
{
    const time_point heard = std::max(lead.last_platform_answer(), started);
    return now - heard >= settings.dark_after;
}

plan_input domain_manager::state::planning(time_point now) const
{
    return {settings, record, vms, *tables, others, now};
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

void domain_manager::state::set_aside_stalled(time_point now)
{
    for (auto& [vm, view] : vms.all()) {
        const bool stalled = vms.fresh(view, now) && view.report->state == member_state::loading &&
                             now - view.progress_at > settings.load_stall;
        if (!stalled || now < view.set_aside_until)
            continue;
        vms.set_aside(vm, now);
        out.emplace_back(
            notice{log_level::warning, "load_stalled", vm.value(), "no progress; it is set aside"});
    }
}

void domain_manager::state::follow(time_point now, bool in_dark)
{
    const time_point latest = now + settings.order_timeout;
    const order_input in{settings,      record, others,
                         plan.sights(), now,    in_dark ? latest : std::min(latest, lead.until()),
                         in_dark};
    orders.send(
        in, vms, [this] { return lead.next_token(); }, out);
}

void domain_manager::state::take(const tick&, time_point now)
{
    if (!any_tick) {
        started = now;
        any_tick = true;
    }
    lead.tick(among_first(candidates), now, out);
    if (write.kind != call_kind::none && now - write.sent_at >= settings.call_timeout) {
        write = {};
        read_again = true;
    }
    const bool leading = lead.leading(now) && record_read && tables && list_read;
    const bool deputy =
        !leading && dark(now) && record_read && tables && among_first(dark_deputies);
    if (!leading && !deputy)
        return;
    send_probes(now);
    set_aside_stalled(now);
    if (deputy) {
        plan.look(planning(now));
        follow(now, true);
        return;
    }
    if (write.kind == call_kind::none && read_again && now - last_read >= read_gap)
        read_record(now);
    std::vector<notice> notices;
    domain_record next = plan.next(planning(now), notices);
    const bool may_write = write.kind == call_kind::none && now - last_write >= settings.write_gap;
    // Engines that check would refuse every order until the record's revision has passed the number
    // they took elsewhere: writing it again raises it, since all keys share one revision.
    const bool raise = ahead > record.revision && now - last_read >= read_gap;
    if (may_write && (raise || !same_assignment(next, record))) {
        for (notice& told : notices)
            out.emplace_back(std::move(told));
        write_record(std::move(next), now);
    }
    follow(now, false);
}

domain_manager::domain_manager(manager_settings settings)
    : m_state{std::make_unique<state>(std::move(settings))}
{}
domain_manager::~domain_manager() = default;
domain_manager::domain_manager(domain_manager&&) noexcept = default;
domain_manager& domain_manager::operator=(domain_manager&&) noexcept = default;

std::vector<manager_command> domain_manager::handle(const manager_event& happened, time_point now)
{
    m_state->out.clear();
    std::visit([&](const auto& event) { m_state->take(event, now); }, happened);
    return std::move(m_state->out);
}

const domain_record& domain_manager::record() const noexcept
{
    return m_state->record;
}

manager_status domain_manager::status(time_point now) const
{
    const state& s = *m_state;
    manager_status told;
    told.leading = s.lead.leading(now);
    told.dark = s.dark(now);
    told.record_revision = s.record.revision;
    told.groups = s.record.groups.size();
    for (const auto& [group, sight] : s.plan.sights())
        told.groups_whole += sight.whole || sight.switched ? 1 : 0;
    for (const auto& [vm, view] : s.vms.all())
        told.spares += s.vms.quiet(view, now) ? 1 : 0;
    told.record_writes = s.writes;
    told.orders = s.orders.sent();
    return told;
}

} // namespace jaynotch::groups
