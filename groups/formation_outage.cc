// Managing while the platform's store is down. The registry then shows nothing new: neither that a
// member has joined nor that one is gone. What a manager has to know it asks the runners themselves
// for, and tells the other nodes, whose registry is as dark; they need to know which groups are
// open.
//
// What is told holds until the runner's next entry in the registry, which it writes as soon as the
// store is back.
#include "groups/formation_state.h"

namespace jaynotch::groups {

namespace {

/// A report from before the last order that the runner has begun says nothing. Where this manager
/// doesn't know how many it has begun, the compositions tell.
bool is_outdated(const runner_report& report, const runner_view& view)
{
    const std::optional<membership>& reported = report.word.group;
    const std::optional<membership>& current = view.row.group;
    if (view.membership_confirmed && report.orders < view.begun_orders)
        return true;
    if (reported)
        return reported->epoch <= view.left_epoch || (current && reported->epoch < current->epoch);
    const bool has_left = view.membership_confirmed && report.orders > view.begun_orders;
    return current && !has_left;
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

/// Asks the members of the compositions that are to become groups.
void formation_manager::state::query_members(time_point now)
{
    if (!store_unreachable(now))
        return;
    for (const auto& [key, plan] : planned) {
        bool all_ready = true;
        for (const vm_id& vm : plan.members) {
            runner_view* view = find(vm);
            const bool joins = view != nullptr && is_in(*view, key) &&
                               view->row.group->phase == member_phase::joining;
            all_ready = all_ready && !joins;
            if (joins)
                query_runner(*view, now);
        }
        runner_view* head = find(plan.members.front());
        const bool opens = all_ready && head != nullptr && is_in(*head, key) &&
                           head->row.group->phase == member_phase::ready;
        if (opens)
            query_runner(*head, now);
    }
}

void formation_manager::state::query_runner(runner_view& view, time_point now)
{
    if (now < view.next_report_query || !is_reachable(view))
        return;
    view.next_report_query = now + settings.report_query_interval;
    out.emplace_back(request_runner_report{view.row.id, view.row.address});
}

void formation_manager::state::handle_report(const runner_report& report, time_point now)
{
    const runner_word& word = report.word;
    runner_view* view = find(word.vm);
    const bool holds =
        view != nullptr && view->listed && (word.born_ms == 0 || view->row.born_ms == word.born_ms);
    if (!holds || is_outdated(report, *view))
        return;
    // How far it has come there its entry tells, sooner than a report, unless the registry is dark.
    const bool same = word.group ? is_in(*view, key_of(*word.group)) : !view->row.group;
    const bool unchanged = view->row.group == word.group && view->row.model == word.model;
    if (!unchanged && (!same || store_unreachable(now)))
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
    view.joined_before_entry.reset(); // this is later than what it said before
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

/// The registry drops the entry of a dead runner in the time for which it isn't used. While it is
/// dark it can't, so the runner has to answer before it is used again.
void formation_manager::state::recheck_unresponsive(runner_view& view, time_point now)
{
    if (!store_unreachable(now)) {
        view.unresponsive = false;
        return;
    }
    view.unresponsive_until = now + settings.unresponsive_hold_time;
    out.emplace_back(probe_member{view.row.id, view.row.address});
}

} // namespace jaynotch::groups
