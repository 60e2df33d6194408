// A ticket requires that the domain's record (which VMs may form the group) and every member's own
// report (group, rank, the same list of members, version, loaded) agree. It expires a fixed time
// after the oldest of these reports.
//
// A composition may have bound standbys in place of members: the record binds them to this group
// only, so a switch made while the platform is unreachable needs no new record.
//
// No two tickets share a VM, on any two nodes, even if engines ignore fencing numbers: a ticket
// expires at most `ticket_horizon` after the reports behind it, and a VM counts towards a new group
// only once its reports have shown that group for `settling_time`, which is longer. A manager that
// resumes after a pause can thus take a VM out of a complete group, which costs availability, but
// the VM's new group gets no ticket before the old group's ticket has expired.
#include "groups/ticket_board.h"

#include "groups/vm_table.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace jaynotch::groups {

namespace {

/// What this node's own probes show of a VM.
struct watched_vm {
    std::string address;
    std::optional<member_report> report;
    time_point sent_at;
    time_point same_group_since; ///< receipt of the first report that showed its present group
    time_point same_place_since; ///< receipt of the first report that showed its present place
    time_point last_probe;
    group_id named_in; ///< the group to which the record assigns it
};

/// What this node knows about a group.
struct watched_group {
    group_assignment assigned;
    fabric_domain_id domain;
    bool watching = false;
    std::optional<complete_group> ticket; ///< valid on this node
};

std::vector<member> candidates_of(const group_assignment& group)
{
    std::vector<member> all = group.members;
    all.insert(all.end(), group.standbys.begin(), group.standbys.end());
    return all;
}

/// Whether two reports show the same place in the same state.
bool same_place(const member_report& left, const member_report& right)
{
    return left.group == right.group && left.rank == right.rank && left.members == right.members &&
           left.state == right.state && left.version == right.version &&
           left.adapters == right.adapters && left.model == right.model;
}

} // namespace

struct ticket_board::state {
    explicit state(board_settings from) : settings{std::move(from)} {}

    board_settings settings;
    std::map<fabric_domain_id, fencing_number> revisions;
    std::map<group_id, watched_group> groups;
    std::map<vm_id, watched_vm> vms;
    std::vector<std::string> peers;
    std::vector<board_command> out;

    void on_event(const report_seen& seen, time_point now);
    void on_event(const report_failed&, time_point) {}
    void on_event(const record_seen& seen, time_point now);
    void on_event(const tables_installed&, time_point) {}
    void on_event(const peers_seen& seen, time_point now);
    void on_event(const ticket_seen& seen, time_point now);
    void on_event(const tick&, time_point now);

    void choose_watchers();
    void drop_unnamed_vms();
    void evaluate(watched_group& group, time_point now);
    void withdraw(watched_group& group);
    void send_probes(const watched_group& group, time_point now);
    [[nodiscard]] bool contradicted(const complete_group& ticket) const;
    [[nodiscard]] std::optional<std::vector<member>> composition(const group_assignment& group,
                                                                 time_point now) const;
    [[nodiscard]] bool composition_holds(const group_assignment& group,
                                         const std::vector<member>& members, time_point now) const;
    [[nodiscard]] complete_group ticket_for(const watched_group& group,
                                            const std::vector<member>& members) const;
};

void ticket_board::state::on_event(const report_seen& seen, time_point now)
{
    const auto at = vms.find(seen.vm);
    if (at == vms.end() || seen.report.vm != seen.vm)
        return;
    watched_vm& observed = at->second;
    if (observed.report && seen.sent_at < observed.sent_at)
        return;
    const bool continuity_lost = !observed.report || observed.report->group != seen.report.group ||
                                 observed.report->boot != seen.report.boot ||
                                 now - observed.sent_at >= settings.settling_time;
    // A gap of `settling_time` could hide membership of another group for long enough to get a
    // ticket. The time counts from the receipt of the answer, not from the sending of the request,
    // since the VM may have moved just before it answered (models/claim_fence.pml,
    // -DSETTLED_FROM_SENDING).
    if (continuity_lost)
        observed.same_group_since = now;
    if (continuity_lost || !same_place(*observed.report, seen.report))
        observed.same_place_since = now;
    observed.report = seen.report;
    observed.sent_at = seen.sent_at;
    // A report that contradicts a ticket ends it at once, not at the next tick.
    if (const auto group = groups.find(observed.named_in); group != groups.end())
        evaluate(group->second, now);
}

void ticket_board::state::on_event(const record_seen& seen, time_point now)
{
    if (!is_record_key(settings.deployment, seen.entry.key))
        return;
    const auto parsed = parse_record(seen.entry);
    if (!parsed) {
        out.emplace_back(
            notice{log_level::error, "record_refused", seen.entry.key, to_string(parsed.error())});
        return;
    }
    const domain_record& record = parsed.value();
    if (seen.entry.key != record_key(settings.deployment, record.domain))
        return;
    fencing_number& revision = revisions[record.domain];
    if (record.revision <= revision)
        return;
    revision = record.revision;
    std::map<group_id, watched_group> kept;
    for (const auto& [id, group] : groups) {
        if (group.domain == record.domain)
            kept.emplace(id, group);
    }
    std::erase_if(groups, [&](const auto& entry) { return entry.second.domain == record.domain; });
    for (const group_assignment& assigned : record.groups) {
        if (groups.size() >= settings.max_groups)
            break;
        watched_group& group = groups[assigned.group];
        if (const auto old = kept.find(assigned.group); old != kept.end()) {
            group = old->second;
            kept.erase(old);
        }
        group.assigned = assigned;
        group.domain = record.domain;
        if (group.ticket)
            group.ticket->draining = assigned.draining;
        for (const member& one : candidates_of(assigned)) {
            vms[one.vm].address = one.address;
            vms[one.vm].named_in = assigned.group;
        }
    }
    for (auto& [id, group] : kept)
        withdraw(group); // no longer in the record
    drop_unnamed_vms();
    choose_watchers();
    for (auto& [id, group] : groups) {
        if (group.domain == record.domain)
            evaluate(group, now);
    }
}

void ticket_board::state::drop_unnamed_vms()
{
    std::set<vm_id> named;
    for (const auto& [id, group] : groups) {
        for (const member& one : candidates_of(group.assigned))
            named.insert(one.vm);
    }
    std::erase_if(vms, [&](const auto& entry) { return !named.contains(entry.first); });
}

void ticket_board::state::on_event(const peers_seen& seen, time_point)
{
    peers.clear();
    for (const peer_row& row : seen.peers)
        peers.push_back(row.node.value());
    choose_watchers();
}

void ticket_board::state::choose_watchers()
{
    for (auto& [id, group] : groups) {
        if (peers.empty()) {
            group.watching = true; // no peers are known
            continue;
        }
        const auto first = rendezvous(id.value(), peers, settings.watchers);
        group.watching = std::any_of(first.begin(), first.end(), [&](std::size_t at) {
            return peers[at] == settings.self.value();
        });
    }
}

void ticket_board::state::on_event(const ticket_seen& seen, time_point now)
{
    const auto at = groups.find(seen.group.group);
    if (at == groups.end())
        return; // not in any record known to this node
    watched_group& group = at->second;
    if (!seen.complete) {
        // A watcher relies on its own probes; the other nodes apply the withdrawal at once.
        if (!group.watching)
            withdraw(group);
        return;
    }
    const std::vector<member> allowed = candidates_of(group.assigned);
    const bool drawn_from_record =
        seen.group.members.size() == group.assigned.members.size() &&
        std::all_of(seen.group.members.begin(), seen.group.members.end(), [&](const vm_id& vm) {
            return std::any_of(allowed.begin(), allowed.end(),
                               [&](const member& one) { return one.vm == vm; });
        });
    const duration max_validity = std::min(seen.remaining, settings.ticket_horizon);
    const time_point until = std::min(seen.sent_at, now) + max_validity;
    if (!drawn_from_record || seen.group.version != group.assigned.version || until <= now)
        return;
    if (group.ticket && group.ticket->valid_until >= until)
        return;
    group.ticket = seen.group;
    group.ticket->valid_until = until;
    group.ticket->draining = group.assigned.draining;
}

void ticket_board::state::on_event(const tick&, time_point now)
{
    for (auto& [id, group] : groups) {
        if (group.watching)
            send_probes(group, now);
        evaluate(group, now);
    }
}

void ticket_board::state::send_probes(const watched_group& group, time_point now)
{
    const bool has_ticket = group.ticket.has_value();
    const std::vector<member> targets =
        has_ticket ? group.assigned.members : candidates_of(group.assigned);
    for (const member& one : targets) {
        watched_vm& observed = vms[one.vm];
        const time_point last = std::max(observed.last_probe, observed.sent_at);
        if (now - last < settings.probe_period)
            continue;
        observed.last_probe = now;
        out.emplace_back(probe{one.vm, one.address});
    }
}

void ticket_board::state::withdraw(watched_group& group)
{
    if (!group.ticket)
        return;
    out.emplace_back(ticket_changed{*group.ticket, false});
    group.ticket.reset();
}

void ticket_board::state::evaluate(watched_group& group, time_point now)
{
    if (group.ticket && group.ticket->valid_until <= now) {
        // Not pushed: another watcher may still find the group complete.
        out.emplace_back(notice{log_level::warning, "ticket_expired", group.assigned.group.value(),
                                "not every member has a fresh report"});
        group.ticket.reset();
    }
    // A node without reports of its own relies on the tickets that the watchers push.
    const bool has_own_reports = std::any_of(
        group.assigned.members.begin(), group.assigned.members.end(), [&](const member& one) {
            const auto at = vms.find(one.vm);
            return at != vms.end() && at->second.report &&
                   now - at->second.sent_at <= settings.ticket_horizon;
        });
    if (!group.watching && !has_own_reports)
        return;
    const auto members = composition(group.assigned, now);
    if (!members) {
        // A missing report may be due to this node's own network, so the ticket is left to expire.
        // A report that contradicts the ticket ends it at once.
        if (group.ticket && contradicted(*group.ticket))
            withdraw(group);
        return;
    }
    complete_group ticket = ticket_for(group, *members);
    if (ticket.valid_until <= now)
        return;
    const bool changed = !group.ticket || *group.ticket != ticket;
    group.ticket = ticket;
    if (changed)
        out.emplace_back(ticket_changed{std::move(ticket), true});
}

bool ticket_board::state::contradicted(const complete_group& ticket) const
{
    const time_point oldest_report_at = ticket.valid_until - settings.ticket_horizon;
    return std::any_of(ticket.members.begin(), ticket.members.end(), [&](const vm_id& vm) {
        const auto at = vms.find(vm);
        if (at == vms.end() || !at->second.report || at->second.sent_at < oldest_report_at)
            return false;
        const member_report& report = *at->second.report;
        return report.group != ticket.group || report.state != member_state::ready ||
               report.version != ticket.version || report.adapters != ticket.adapters ||
               report.members.empty() || report.members.front() != ticket.leader;
    });
}

std::optional<std::vector<member>> ticket_board::state::composition(const group_assignment& group,
                                                                    time_point now) const
{
    if (composition_holds(group, group.members, now))
        return group.members;
    // After a switch, the leader's report lists the new composition; the other members' reports
    // must list the same.
    const std::vector<member> allowed = candidates_of(group);
    for (const member& leader : allowed) {
        const auto at = vms.find(leader.vm);
        if (at == vms.end() || !at->second.report || at->second.report->rank != 0)
            continue;
        const std::vector<std::string>& addresses = at->second.report->members;
        if (addresses.size() != group.members.size())
            continue;
        std::vector<member> named;
        for (const std::string& address : addresses) {
            const auto match = std::find_if(allowed.begin(), allowed.end(), [&](const member& one) {
                return one.address == address;
            });
            if (match == allowed.end())
                break;
            named.push_back(*match);
        }
        if (named.size() == group.members.size() && composition_holds(group, named, now))
            return named;
    }
    return std::nullopt;
}

bool ticket_board::state::composition_holds(const group_assignment& group,
                                            const std::vector<member>& members,
                                            time_point now) const
{
    // Two fresh reports may describe different moments: one member was ready and then left its
    // place, and the other became ready only after that. So there must be an instant at which all
    // members are known to have been ready.
    time_point all_since = time_point::min();
    time_point all_until = time_point::max();
    for (std::size_t rank = 0; rank < members.size(); ++rank) {
        const auto at = vms.find(members[rank].vm);
        if (at == vms.end() || !at->second.report)
            return false;
        const watched_vm& observed = at->second;
        all_since = std::max(all_since, observed.same_place_since);
        all_until = std::min(all_until, observed.sent_at);
        const bool fresh = now - observed.sent_at < settings.ticket_horizon;
        const bool has_settled =
            observed.sent_at - observed.same_group_since >= settings.settling_time;
        if (!fresh || !has_settled || !ready_in_place(*observed.report, group, rank, members))
            return false;
    }
    return !members.empty() && all_since <= all_until;
}

complete_group ticket_board::state::ticket_for(const watched_group& group,
                                               const std::vector<member>& members) const
{
    complete_group ticket;
    ticket.group = group.assigned.group;
    ticket.pool = group.assigned.pool;
    ticket.fabric_domain = group.domain;
    ticket.leader = members.front().address;
    ticket.model = group.assigned.model;
    ticket.version = group.assigned.version;
    ticket.adapters = group.assigned.adapters;
    ticket.draining = group.assigned.draining;
    ticket.valid_until = time_point::max();
    for (const member& one : members) {
        const watched_vm& observed = vms.at(one.vm);
        const member_report& report = *observed.report;
        ticket.members.push_back(one.vm);
        ticket.valid_until =
            std::min(ticket.valid_until, observed.sent_at + settings.ticket_horizon);
        ticket.load.kv_used = std::max(ticket.load.kv_used, report.kv_used);
        ticket.load.step_ms = std::max(ticket.load.step_ms, report.step_ms);
    }
    const member_report& leader = *vms.at(members.front().vm).report;
    ticket.fencing = leader.fencing;
    ticket.load.running = leader.running;
    ticket.load.waiting = leader.waiting;
    return ticket;
}

ticket_board::ticket_board(board_settings settings)
    : m_state{std::make_unique<state>(std::move(settings))}
{}
ticket_board::~ticket_board() = default;
ticket_board::ticket_board(ticket_board&&) noexcept = default;
ticket_board& ticket_board::operator=(ticket_board&&) noexcept = default;

std::vector<board_command> ticket_board::handle(const board_event& event, time_point now)
{
    m_state->out.clear();
    std::visit([&](const auto& alternative) { m_state->on_event(alternative, now); }, event);
    return std::move(m_state->out);
}

std::vector<complete_group> ticket_board::complete(time_point now) const
{
    std::vector<complete_group> in_force;
    for (const auto& [id, group] : m_state->groups) {
        if (group.ticket && now < group.ticket->valid_until)
            in_force.push_back(*group.ticket);
    }
    return in_force;
}

bool ticket_board::watches(const group_id& group) const
{
    const auto at = m_state->groups.find(group);
    return at != m_state->groups.end() && at->second.watching;
}

} // namespace jaynotch::groups
