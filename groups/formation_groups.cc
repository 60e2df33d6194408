// Management of existing groups: complete groups are opened, groups that lost a member are
// dissolved so that the survivors can be used again, and groups with a leaving member are closed
// before it leaves.
//
// Rules for dissolving a group. A head that is open or closing, or blocked because a member is
// missing, still holds requests, so the head is ordered to leave first, which ends the group at
// once. An unreachable head may be dead, or alive behind a partition that affects only this node:
// if it answers any other node, the group is kept. A member whose host still accepts connections is
// not lost, only stopped: its group is kept, because the requests there go on when it does. It
// counts as lost once its entry has expired. In every case each member leaves before it joins
// another group, so that no member is in two groups whatever state the head is in: an open order
// whose reply was lost may be executed seconds later, after the group was dissolved.
#include "groups/formation_state.h"

namespace jaynotch::groups {

namespace {

group_key key_of(const observed_group& observed)
{
    return {observed.group, observed.epoch};
}

bool holds_requests(const runner_view& head)
{
    return head.row.group && (head.row.group->phase == member_phase::open ||
                              head.row.group->phase == member_phase::closing);
}

} // namespace

/// Whether the runner has an entry and is not known to be unresponsive.
bool formation_manager::state::is_reachable(const runner_view& view) const
{
    return view.listed && !view.unresponsive;
}

const pool* formation_manager::state::pool_of(const observed_group& observed) const
{
    const auto plan = planned.find(key_of(observed));
    std::string model = plan == planned.end() ? std::string{} : plan->second.model;
    for (const auto& [rank, vm] : observed.members) {
        if (const runner_view* view = find(vm); model.empty() && view != nullptr)
            model = view->row.model;
    }
    const auto found = std::find_if(pools.begin(), pools.end(), [&](const pool& model_pool) {
        return model_pool.model == model;
    });
    return found == pools.end() ? nullptr : &*found;
}

/// Null if no known runner is the head of the group.
runner_view* formation_manager::state::head_of(const observed_group& observed)
{
    const auto found = observed.members.find(0);
    return found == observed.members.end() ? nullptr : find(found->second);
}

/// Whether the runner's group serves requests and no member of it is known to be unresponsive.
bool formation_manager::state::is_in_serving_group(const runner_view& member) const
{
    if (!member.row.group || has_lost_member(member))
        return false;
    const group_key key = key_of(*member.row.group);
    return std::any_of(runners.begin(), runners.end(), [&](const auto& entry) {
        const runner_view& other = entry.second;
        return is_in(other, key) && other.row.group->rank == 0 && holds_requests(other);
    });
}

bool formation_manager::state::is_complete(const observed_group& observed,
                                           const pool& model_pool) const
{
    if (observed.members.size() != model_pool.replica_vms ||
        observed.members.rbegin()->first + 1 != model_pool.replica_vms)
        return false;
    return std::all_of(observed.members.begin(), observed.members.end(), [&](const auto& entry) {
        const runner_view* view = find(entry.second);
        return view != nullptr && is_reachable(*view);
    });
}

void formation_manager::state::review_groups(time_point now)
{
    std::map<group_key, observed_group> all;
    for (const auto& [vm, view] : runners) {
        if (!view.row.group)
            continue;
        const membership& current = *view.row.group;
        observed_group& group = all[{current.group, current.epoch}];
        group.group = current.group;
        group.epoch = current.epoch;
        group.members[current.rank] = vm;
    }
    for (const auto& [key, group] : all)
        review_group(group, now);
    resend_joins(now);
    // Planned groups that no member has joined and that can't become complete are dropped.
    std::erase_if(planned, [&](const auto& entry) {
        return !all.contains(entry.first) && !still_forming(entry.first, now);
    });
}

/// Sends lost joins again, for the same composition.
void formation_manager::state::resend_joins(time_point now)
{
    for (const auto& [key, plan] : planned) {
        const runner_view* head = find(plan.members.front());
        const bool opened = head != nullptr && is_in(*head, key) && holds_requests(*head);
        if (!opened && still_forming(key, now))
            order_joins(plan, now);
    }
}

void formation_manager::state::review_group(const observed_group& observed, time_point now)
{
    if (is_warm_up(key_of(observed))) {
        end_warm_up(observed, now);
        return;
    }
    const pool* model_pool = pool_of(observed);
    runner_view* const head = head_of(observed);
    const bool complete = model_pool != nullptr && is_complete(observed, *model_pool);
    if (!complete && head != nullptr && holds_requests(*head) && entries_may_return(observed, now))
        return;
    if (!complete && (reported_recently(observed, now) || has_doubted_member(observed, now)))
        return;
    const bool serving = head != nullptr && is_reachable(*head) && holds_requests(*head);
    if (serving) {
        if (!head->membership_confirmed)
            query_runner(*head, now); // allows its immediate use if the group ends
        if (complete)
            close_before_leave(observed, *head, now);
        else
            dissolve(observed, now);
        return;
    }
    if (complete) {
        open_if_ready(observed, *head, now);
        return;
    }
    // The entries of some members may not show their joins yet.
    if (!still_forming(key_of(observed), now))
        dissolve(observed, now);
}

/// Whether a member has recently reported this group while its entry showed another state, as
/// happens after an outage of the store. The entries of the other members may be as old, so an
/// entry that does not name the group is no evidence until it has been written again.
bool formation_manager::state::reported_recently(const observed_group& observed,
                                                 time_point now) const
{
    if (store_unreachable(now))
        return false;
    return std::any_of(observed.members.begin(), observed.members.end(), [&](const auto& entry) {
        const runner_view* view = find(entry.second);
        return view != nullptr && now - view->reported_at < entry_grace_period;
    });
}

/// Whether the peers' word on a member that did not answer is still awaited.
bool formation_manager::state::has_doubted_member(const observed_group& observed,
                                                  time_point now) const
{
    return std::any_of(observed.members.begin(), observed.members.end(), [&](const auto& entry) {
        const runner_view* view = find(entry.second);
        return view != nullptr && is_doubted(*view, now);
    });
}

/// An expired entry does not prove that the runner is lost: if a partition heals after the entries
/// of some members have expired, the other members become reachable again while the whole group is
/// alive and serving. So the runner is probed, and counts as lost only if its host accepts no
/// connection or its entry does not return within `entry_grace_period`.
bool formation_manager::state::entry_may_return(runner_view& view, time_point now)
{
    const bool probed = settings.mechanisms.has(mechanism::probes_before_ending);
    if (!probed || view.unresponsive || now - view.unlisted_at >= entry_grace_period)
        return false;
    if (view.liveness_queried_at < view.unlisted_at) {
        view.liveness_queried_at = now;
        probe(view, now);
    }
    return view.probe_answered_at >= view.liveness_queried_at || view.silent_since ||
           now - view.liveness_queried_at < settings.peer_probe_timeout;
}

/// Whether the group is incomplete only because of expired entries that may return.
bool formation_manager::state::entries_may_return(const observed_group& observed, time_point now)
{
    bool missing = false;
    for (const auto& [rank, vm] : observed.members) {
        runner_view* view = find(vm);
        if (view == nullptr || view->unresponsive)
            return false;
        if (view->listed)
            continue;
        missing = true;
        if (!entry_may_return(*view, now))
            return false;
    }
    return missing;
}

bool formation_manager::state::is_warm_up(const group_key& key) const
{
    const auto plan = planned.find(key);
    return plan != planned.end() && plan->second.purpose == group_purpose::warm_up;
}

void formation_manager::state::end_warm_up(const observed_group& observed, time_point now)
{
    const runner_view* spare = find(observed.members.begin()->second);
    const bool loaded = spare != nullptr && spare->row.group->phase != member_phase::joining;
    if (loaded || !still_forming(key_of(observed), now))
        dissolve(observed, now);
}

void formation_manager::state::open_if_ready(const observed_group& observed, runner_view& head,
                                             time_point now)
{
    bool all_ready = head.row.group->phase == member_phase::ready;
    bool leaving = false;
    for (const auto& [rank, vm] : observed.members) {
        const runner_view& view = *find(vm);
        all_ready = all_ready && (view.row.group->phase == member_phase::ready);
        leaving = leaving || view.row.leaving;
    }
    if (head.row.group->phase == member_phase::broken || leaving) {
        dissolve(observed, now);
        return;
    }
    if (!all_ready)
        return;
    if (order(head, open_group{observed.group, observed.epoch}, now))
        add_notice(log_level::info, "group_opened", observed.group.value(),
                   "epoch " + std::to_string(observed.epoch));
}

void formation_manager::state::close_before_leave(const observed_group& observed, runner_view& head,
                                                  time_point now)
{
    bool due = false;
    for (const auto& [rank, vm] : observed.members) {
        const runner_view& view = *find(vm);
        due = due || (view.row.leaving && now - view.leaving_since >= settings.close_delay);
    }
    if (due && head.row.group->phase == member_phase::open &&
        order(head, close_group{observed.group, observed.epoch}, now))
        add_notice(log_level::info, "group_closed", observed.group.value(), "a member is leaving");
}

/// What is known of the members that make the group incomplete, for logs.
std::string formation_manager::state::describe_loss(const observed_group& observed,
                                                    time_point now) const
{
    const auto age_ms = [&](time_point since) {
        return std::to_string((now - since) / std::chrono::milliseconds{1}) + " ms";
    };
    std::string text = std::to_string(observed.members.size()) + " members known";
    for (const auto& [rank, vm] : observed.members) {
        const runner_view* view = find(vm);
        if (view == nullptr || is_reachable(*view))
            continue;
        text += ", " + vm.value();
        text +=
            view->listed ? " has an entry" : " has had no entry for " + age_ms(view->unlisted_at);
        if (view->unresponsive)
            text += " and has not answered for " +
                    age_ms(view->silent_since.value_or(view->unresponsive_since));
    }
    return text;
}

void formation_manager::state::dissolve(const observed_group& observed, time_point now)
{
    runner_view* const head = head_of(observed);
    planned.erase(key_of(observed));
    const bool reachable = head != nullptr && is_reachable(*head);
    if (reachable && holds_requests(*head)) {
        if (order(*head, leave_group{observed.group, observed.epoch}, now))
            add_notice(log_level::warning, "group_ended", observed.group.value(),
                       "a member was lost: " + describe_loss(observed, now));
        query_survivors(observed, now);
        return;
    }
    if (head != nullptr && holds_requests(*head) && !head->dead && head->unresponsive &&
        now - head->unresponsive_since < settings.peer_probe_timeout)
        return; // waiting for the other nodes' probes
    for (const auto& [rank, vm] : observed.members) {
        runner_view* view = find(vm);
        if (view != nullptr && is_reachable(*view) &&
            order(*view, leave_group{observed.group, observed.epoch}, now))
            add_notice(log_level::info, "member_taken", vm.value(),
                       observed.group.value() + " was dissolved");
    }
}

/// Requests reports from the survivors, so that their membership is confirmed and they can be used
/// immediately after they have left.
void formation_manager::state::query_survivors(const observed_group& observed, time_point now)
{
    for (const auto& [rank, vm] : observed.members) {
        if (runner_view* view = find(vm); view != nullptr && !view->membership_confirmed)
            query_runner(*view, now);
    }
}

/// Whether a composition may still become complete.
bool formation_manager::state::still_forming(const group_key& key, time_point now) const
{
    const auto plan = planned.find(key);
    if (plan != planned.end())
        return now < plan->second.deadline &&
               std::all_of(plan->second.members.begin(), plan->second.members.end(),
                           [&](const vm_id& vm) {
                               const runner_view* view = find(vm);
                               return view != nullptr && is_reachable(*view) &&
                                      (!view->row.group || is_in(*view, key));
                           });
    // Ordered by an earlier manager, so its full member list is unknown. A composition that has
    // been in the registry for longer was complete and has lost a member.
    const std::optional<time_point> since = first_seen(key);
    return since && now - *since < settings.adopted_group_timeout;
}

/// When the composition first appeared in the registry; if it never did, when a member first
/// reported it.
std::optional<time_point> formation_manager::state::first_seen(const group_key& key) const
{
    std::optional<time_point> since = registry.first_seen(key);
    if (since)
        return since;
    for (const auto& [vm, view] : runners) {
        if (is_in(view, key) && (!since || view.reported_at < *since))
            since = view.reported_at;
    }
    return since;
}

} // namespace jaynotch::groups
