// Two rules keep a VM from being in two groups even if engines ignore fencing numbers:
//
// - `same_group_since` is the receipt of the first answer that showed the group, since a VM may
//   move just before it answers. A VM is therefore assignable only if it has been in no group for a
//   full `order_horizon`, which is longer than any order or ticket of its former group stays valid.
// - A VM that the list names in two domains is not newly assigned by either domain's manager.
#include "groups/vm_table.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

constexpr std::size_t max_members = 1024; ///< a report with more is refused
constexpr std::size_t max_vms = 16384;    ///< of one domain; further rows are ignored

bool same_members(const std::vector<std::string>& addresses, const std::vector<member>& members)
{
    return std::equal(
        addresses.begin(), addresses.end(), members.begin(), members.end(),
        [](const std::string& left, const member& right) { return left == right.address; });
}

} // namespace

void vm_table::apply_list(const std::vector<vm_row>& rows, time_point now)
{
    std::map<vm_id, const vm_row*> first;
    std::set<vm_id> ambiguous;
    m_listed.clear();
    for (const vm_row& row : rows) {
        const auto [known, inserted] = first.emplace(row.vm, &row);
        if (!inserted && (known->second->fabric_domain != row.fabric_domain ||
                          known->second->address != row.address))
            ambiguous.insert(row.vm);
    }
    for (auto& [vm, view] : m_vms)
        view.listed = false;
    for (const auto& [vm, row] : first) {
        if (!row->leaving && !ambiguous.contains(vm))
            m_listed[row->fabric_domain].insert(vm);
        if (row->fabric_domain != m_settings->domain)
            continue;
        if (m_vms.size() >= max_vms && !m_vms.contains(vm))
            continue;
        const auto [at, fresh_row] = m_vms.try_emplace(vm);
        vm_view& view = at->second;
        if (fresh_row)
            view.unresponsive_since = now;
        if (view.id.address != row->address)
            view.report.reset(); // another machine under the same id
        view.id = {vm, row->address};
        view.accelerators = row->accelerators;
        view.listed = true;
        view.ambiguous = ambiguous.contains(vm);
        if (row->leaving && !view.leaving)
            view.leaves_at = now + row->leaves_in;
        view.leaving = row->leaving;
    }
    // The list may lag, so a VM that is missing from it is kept as long as its engine answers. A VM
    // listed only in another domain belongs to that domain and is removed.
    std::erase_if(m_vms, [&](const auto& entry) {
        return !entry.second.listed && (!fresh(entry.second, now) || first.contains(entry.first));
    });
}

bool vm_table::apply_report(const report_seen& seen, time_point now)
{
    vm_view* view = find(seen.vm);
    if (view == nullptr)
        return true; // of another domain
    if (seen.report.vm != seen.vm || seen.report.members.size() > max_members) {
        quarantine(seen.vm, now);
        return false;
    }
    if (view->report && seen.sent_at < view->reported_at)
        return true; // older than the known report
    // After a gap in the reports the VM may have been in another group meanwhile, so its time in
    // the group is counted anew.
    const bool continuity_lost = !view->report || view->report->group != seen.report.group ||
                                 view->report->boot != seen.report.boot ||
                                 now - view->reported_at > m_settings->report_horizon;
    if (continuity_lost)
        view->same_group_since = now;
    if (continuity_lost || seen.report.progress != view->progress ||
        seen.report.state != member_state::loading)
    {
        view->progress = seen.report.progress;
        view->progress_at = now;
    }
    view->report = seen.report;
    view->reported_at = seen.sent_at;
    view->unresponsive_since = seen.sent_at;
    return true;
}

void vm_table::quarantine(const vm_id& vm, time_point now)
{
    if (vm_view* view = find(vm); view != nullptr) {
        view->quarantined_until = now + m_settings->quarantine;
        view->order.attempts = 0;
    }
}

bool vm_table::fresh(const vm_view& view, time_point now) const
{
    return view.report && now - view.reported_at <= m_settings->report_horizon;
}

vm_condition vm_table::condition(const vm_view& view, time_point now) const
{
    if (now < view.quarantined_until)
        return vm_condition::unusable;
    if (!fresh(view, now))
        return view.listed ? vm_condition::unresponsive : vm_condition::unusable;
    if (view.report->leaving)
        return vm_condition::leaving;
    if (view.leaving && view.leaves_at - now <= m_settings->leave_notice)
        return vm_condition::leaving;
    return vm_condition::healthy;
}

bool vm_table::assignable(const vm_view& view, time_point now) const
{
    return condition(view, now) == vm_condition::healthy && view.listed && !view.ambiguous &&
           !view.leaving && view.report->group.value().empty() &&
           view.report->state == member_state::idle &&
           now - view.same_group_since >= m_settings->order_horizon;
}

const vm_view* vm_table::find(const vm_id& vm) const
{
    const auto at = m_vms.find(vm);
    return at == m_vms.end() ? nullptr : &at->second;
}

vm_view* vm_table::find(const vm_id& vm)
{
    const auto at = m_vms.find(vm);
    return at == m_vms.end() ? nullptr : &at->second;
}

bool holds_place(const member_report& report, const group_assignment& group, std::size_t rank,
                 const std::vector<member>& members)
{
    return has_weights(report, group, rank) && same_members(report.members, members);
}

bool ready_in_place(const member_report& report, const group_assignment& group, std::size_t rank,
                    const std::vector<member>& members)
{
    return report.state == member_state::ready && holds_place(report, group, rank, members);
}

bool has_weights(const member_report& report, const group_assignment& group, std::size_t rank)
{
    return report.group == group.group && report.rank == rank && report.model == group.model &&
           report.version == group.version && report.adapters == group.adapters &&
           (report.state == member_state::loading || report.state == member_state::ready);
}

} // namespace jaynotch::groups
