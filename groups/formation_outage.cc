// Managing while the platform's store is unreachable. The registry then shows neither that a member
// has joined nor that one is gone. The manager therefore asks the runners directly and broadcasts
// their answers to the other nodes, which cannot read the store either and need to know which
// groups are open.
//
// A broadcast state holds until the runner's next entry in the registry, which it writes as soon as
// the store is reachable again.
#include "groups/formation_state.h"

namespace jaynotch::groups {

namespace {

/// Whether the report is older than what the manager knows of the runner: it counts fewer orders
/// than the runner has confirmed, or names a composition that the runner has left or that is older
/// than its current one. A report of no group by a runner that is in one is outdated, unless it
/// counts more orders than the runner has confirmed.
bool is_outdated(const runner_report& report, const runner_view& view)
{
    const std::optional<membership>& reported = report.word.group;
    const std::optional<membership>& current = view.row.group;
    if (view.membership_confirmed && report.orders < view.begun_orders)
        return true;
    if (reported)
        return reported->epoch <= view.left_epoch || (current && reported->epoch < current->epoch);
    const bool left_since = view.membership_confirmed && report.orders > view.begun_orders;
    return current && !left_since;
}

} // namespace

bool formation_manager::state::store_unreachable(time_point now) const
{
    return lease_election.renewal_overdue(now);
}

void formation_manager::state::query_store_outage(time_point now)
{
    if (!settings.mechanisms.has(mechanism::outage_inquiry))
        return;
    if (!lease_election.renewal_overdue(now) ||
        now - outage_queried_at < settings.outage_query_interval)
        return;
    outage_queried_at = now;
    out.emplace_back(query_peers_about_outage{});
}

/// While the store is unreachable, asks the members of the planned groups how far they have joined.
void formation_manager::state::query_members(time_point now)
{
    if (!store_unreachable(now))
        return;
    for (const auto& [key, plan] : planned) {
        bool all_ready = true;
        for (const vm_id& vm : plan.members) {
            runner_view* view = find(vm);
            const bool is_joining = view != nullptr && is_in(*view, key) &&
                                    view->row.group->phase == member_phase::joining;
            all_ready = all_ready && !is_joining;
            if (is_joining)
                query_runner(*view, now);
        }
        runner_view* head = find(plan.members.front());
        const bool is_opening = all_ready && head != nullptr && is_in(*head, key) &&
                                head->row.group->phase == member_phase::ready;
        if (is_opening)
            query_runner(*head, now);
    }
}

void formation_manager::state::query_runner(runner_view& view, time_point now)
{
    if (now < view.next_report_query || !is_reachable(view) || evacuated())
        return;
    const duration timeout =
        backed_off(settings.report_timeout, view.reports_missed, settings.max_report_timeout);
    view.report_requested_at = now;
    view.next_report_query = now + backed_off(settings.report_query_interval, view.reports_missed,
                                              settings.max_report_timeout);
    out.emplace_back(request_runner_report{view.row.id, view.row.address, timeout});
}

duration formation_manager::state::backed_off(duration first, std::uint32_t misses, duration most)
{
    constexpr std::uint32_t most_doublings = 8;
    return std::min<duration>(first * (1U << std::min(misses, most_doublings)), most);
}

void formation_manager::state::handle_missed_report(const vm_id& vm, time_point now)
{
    runner_view* view = find(vm);
    if (view == nullptr)
        return;
    ++view->reports_missed;
    view->next_report_query = now + backed_off(settings.report_query_interval, view->reports_missed,
                                               settings.max_report_timeout);
}

void formation_manager::state::handle_report(const runner_report& report, time_point now)
{
    const runner_word& word = report.word;
    runner_view* view = find(word.vm);
    if (view != nullptr)
        view->reports_missed = 0;
    const bool same_start =
        view != nullptr && view->listed && (word.born_ms == 0 || view->row.born_ms == word.born_ms);
    if (!same_start || view->report_requested_at < view->order_accepted_at ||
        is_outdated(report, *view))
        return;
    // If only the phase differs, the runner's entry shows it sooner than a report, unless the store
    // is unreachable.
    const bool same_group = word.group ? is_in(*view, key_of(*word.group)) : !view->row.group;
    const bool unchanged = view->row.group == word.group && view->row.model == word.model;
    if (!unchanged && (!same_group || store_unreachable(now)))
        apply_report(word, *view, now);
    view->begun_orders = report.orders;
    view->membership_confirmed = true;
}

void formation_manager::state::apply_report(const runner_word& word, runner_view& view,
                                            time_point now)
{
    view.reported_at = now;
    runner row = view.row;
    row.group = word.group;
    row.model = word.model;
    view.joined_before_entry.reset(); // superseded by this report
    update_runner(row, now);
    if (view.row.group)
        view.joined_before_entry = key_of(*view.row.group);
    broadcast(view, now);
}

void formation_manager::state::broadcast(const runner_view& view, time_point now)
{
    if (lease_election.leading(now) && store_unreachable(now))
        out.emplace_back(
            broadcast_runner{{view.row.id, view.row.born_ms, view.row.group, view.row.model}});
}

/// Called when the hold time of an unresponsive runner ends. By then the registry has dropped the
/// entry if the runner is dead. While the store is unreachable no entry is dropped, so the runner
/// has to answer a probe before it is used again.
void formation_manager::state::recheck_unresponsive(runner_view& view, time_point now)
{
    if (!store_unreachable(now)) {
        view.unresponsive = false;
        return;
    }
    view.unresponsive_until = now + settings.unresponsive_hold_time;
    probe(view, now);
}

} // namespace jaynotch::groups
