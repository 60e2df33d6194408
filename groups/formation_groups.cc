// What becomes of the groups that there are: whole ones are opened, those that have lost a member
// are ended so that the survivors can be used again, those that a member is about to leave are
// closed in time.
//
// When a member may be taken. A head that is open, closing, or standing still because a member is
// missing, still holds requests. So the head is told to leave first, which ends the group at once.
// A head that can't be reached may be dead, or alive behind a cut that others are not behind: if
// another node is answered, the group is left alone. In any case each member leaves before it joins
// anything else, so that none is in two groups whatever the head believes: an open order that was
// lost may be carried out seconds later, after the group was given up.
#include "groups/formation_state.h"

namespace jaynotch::groups {

namespace {

group_key key_of(const seen_group& seen)
{
    return {seen.group, seen.epoch};
}

bool holds_requests(const runner_view& head)
{
    return head.row.group && (head.row.group->phase == member_phase::open ||
                              head.row.group->phase == member_phase::closing);
}

} // namespace

/// In the registry, and not known to be unreachable.
bool formation::state::standing(const runner_view& view) const
{
    return view.listed && !view.silent;
}

const pool* formation::state::pool_of(const seen_group& seen) const
{
    const auto known = planned.find(key_of(seen));
    std::string model = known == planned.end() ? std::string{} : known->second.model;
    for (const auto& [rank, vm] : seen.members) {
        if (const runner_view* view = find(vm); model.empty() && view != nullptr)
            model = view->row.model;
    }
    const auto found = std::find_if(pools.begin(), pools.end(),
                                    [&](const pool& kind) { return kind.model == model; });
    return found == pools.end() ? nullptr : &*found;
}

/// Null if its entry names another group, or none.
runner_view* formation::state::head_of(const seen_group& seen)
{
    const auto found = seen.members.find(0);
    return found == seen.members.end() ? nullptr : find(found->second);
}

bool formation::state::whole(const seen_group& seen, const pool& kind) const
{
    if (seen.members.size() != kind.replica_vms ||
        seen.members.rbegin()->first + 1 != kind.replica_vms)
        return false;
    return std::all_of(seen.members.begin(), seen.members.end(), [&](const auto& entry) {
        const runner_view* view = find(entry.second);
        return view != nullptr && standing(*view);
    });
}

void formation::state::look_at_groups(time_point now)
{
    std::map<group_key, seen_group> all;
    for (const auto& [vm, view] : runners) {
        if (!view.row.group)
            continue;
        const membership& said = *view.row.group;
        seen_group& group = all[{said.group, said.epoch}];
        group.group = said.group;
        group.epoch = said.epoch;
        group.members[said.rank] = vm;
    }
    for (const auto& [key, group] : all)
        look_at(group, now);
    join_again(now);
    // One that none of its members has joined, and that can't become whole, is forgotten.
    std::erase_if(planned, [&](const auto& entry) {
        return !all.contains(entry.first) && !coming_together(entry.first, now);
    });
}

/// A join that was lost on its way is sent again: it names the same composition.
void formation::state::join_again(time_point now)
{
    for (const auto& [key, plan] : planned) {
        const runner_view* head = find(plan.members.front());
        const bool opened = head != nullptr && is_in(*head, key) && holds_requests(*head);
        if (!opened && coming_together(key, now))
            order_joins(plan, now);
    }
}

void formation::state::look_at(const seen_group& seen, time_point now)
{
    if (warms_up(key_of(seen))) {
        end_warm_up(seen, now);
        return;
    }
    const pool* kind = pool_of(seen);
    runner_view* const head = head_of(seen);
    const bool complete = kind != nullptr && whole(seen, *kind);
    if (!complete && head != nullptr && holds_requests(*head) && entries_may_return(seen, now))
        return;
    if (!complete && told_lately(seen, now))
        return;
    const bool serving = head != nullptr && standing(*head) && holds_requests(*head);
    if (serving) {
        if (!head->vouched)
            ask(*head, now); // so that it can be used at once if the group ends
        if (complete)
            close_before_leave(seen, *head, now);
        else
            dissolve(seen, now);
        return;
    }
    if (complete) {
        open_if_whole(seen, *head, now);
        return;
    }
    // Joins of some members may not be in the registry yet.
    if (!coming_together(key_of(seen), now))
        dissolve(seen, now);
}

/// Whether a member has just told of this group while the registry shows another, as after an
/// outage of the store. The entries of the others are as old as its own was: that they don't name
/// the group says nothing until they have been written anew.
bool formation::state::told_lately(const seen_group& seen, time_point now) const
{
    if (dark(now))
        return false;
    return std::any_of(seen.members.begin(), seen.members.end(), [&](const auto& entry) {
        const runner_view* view = find(entry.second);
        return view != nullptr && now - view->told_at < settings.entry_return;
    });
}

/// An entry that has run out is a suspicion, not a loss: when a cut heals between two members'
/// entries running out, the others can be ordered again while all of them live and serve. So the
/// member itself is asked. Only one that doesn't answer, or whose entry stays away, is lost.
bool formation::state::entry_may_return(runner_view& view, time_point now)
{
    const bool probed = settings.mechanisms.has(mechanism::probes_before_ending);
    if (!probed || view.silent || now - view.unlisted_at >= settings.entry_return)
        return false;
    if (view.doubted_at < view.unlisted_at) {
        view.doubted_at = now;
        out.emplace_back(probe_member{view.row.id, view.row.address});
    }
    return view.answered_at >= view.doubted_at || now - view.doubted_at < settings.peers_patience;
}

/// Whether a group misses nothing but entries that may return.
bool formation::state::entries_may_return(const seen_group& seen, time_point now)
{
    bool missing = false;
    for (const auto& [rank, vm] : seen.members) {
        runner_view* view = find(vm);
        if (view == nullptr || view->silent)
            return false;
        if (view->listed)
            continue;
        missing = true;
        if (!entry_may_return(*view, now))
            return false;
    }
    return missing;
}

bool formation::state::warms_up(const group_key& key) const
{
    const auto plan = planned.find(key);
    return plan != planned.end() && plan->second.purpose == group_purpose::warm_up;
}

void formation::state::end_warm_up(const seen_group& seen, time_point now)
{
    const runner_view* spare = find(seen.members.begin()->second);
    const bool warm = spare != nullptr && spare->row.group->phase != member_phase::joining;
    if (warm || !coming_together(key_of(seen), now))
        dissolve(seen, now);
}

void formation::state::open_if_whole(const seen_group& seen, runner_view& head, time_point now)
{
    bool all_ready = head.row.group->phase == member_phase::ready;
    bool leaving = false;
    for (const auto& [rank, vm] : seen.members) {
        const runner_view& view = *find(vm);
        all_ready = all_ready && (view.row.group->phase == member_phase::ready);
        leaving = leaving || view.row.leaving;
    }
    if (head.row.group->phase == member_phase::broken || leaving) {
        dissolve(seen, now);
        return;
    }
    if (!all_ready)
        return;
    if (order(head, open_group{seen.group, seen.epoch}, now))
        say(log_level::info, "group_opened", seen.group.value(),
            "epoch " + std::to_string(seen.epoch));
}

void formation::state::close_before_leave(const seen_group& seen, runner_view& head, time_point now)
{
    bool due = false;
    for (const auto& [rank, vm] : seen.members) {
        const runner_view& view = *find(vm);
        due = due || (view.row.leaving && now - view.leaving_since >= settings.drain_notice);
    }
    if (due && head.row.group->phase == member_phase::open &&
        order(head, close_group{seen.group, seen.epoch}, now))
        say(log_level::info, "group_closed", seen.group.value(), "a member leaves");
}

void formation::state::dissolve(const seen_group& seen, time_point now)
{
    runner_view* const head = head_of(seen);
    planned.erase(key_of(seen));
    const bool reachable = head != nullptr && standing(*head);
    if (reachable && holds_requests(*head)) {
        if (order(*head, leave_group{seen.group, seen.epoch}, now))
            say(log_level::warning, "group_ended", seen.group.value(), "a member is lost");
        ask_survivors(seen, now);
        return;
    }
    if (head != nullptr && holds_requests(*head) && !head->dead && head->silent &&
        now - head->silent_since < settings.peers_patience)
        return; // the other nodes' word on it is due
    for (const auto& [rank, vm] : seen.members) {
        runner_view* view = find(vm);
        if (view != nullptr && standing(*view) &&
            order(*view, leave_group{seen.group, seen.epoch}, now))
            say(log_level::info, "member_taken", vm.value(), seen.group.value() + " is over");
    }
}

/// Survivors that have to leave next can be used at once if they have told of themselves by then.
void formation::state::ask_survivors(const seen_group& seen, time_point now)
{
    for (const auto& [rank, vm] : seen.members) {
        if (runner_view* view = find(vm); view != nullptr && !view->vouched)
            ask(*view, now);
    }
}

/// Whether a composition may still become whole.
bool formation::state::coming_together(const group_key& key, time_point now) const
{
    const auto plan = planned.find(key);
    if (plan != planned.end())
        return now < plan->second.give_up &&
               std::all_of(plan->second.members.begin(), plan->second.members.end(),
                           [&](const vm_id& vm) {
                               const runner_view* view = find(vm);
                               return view != nullptr && standing(*view) &&
                                      (!view->row.group || is_in(*view, key));
                           });
    // The manager before this one had it formed; who else belongs to it is not known here. One that
    // has been in the registry for longer was whole and has lost somebody.
    const std::optional<time_point> since = first_seen(key);
    return since && now - *since < settings.adopt_wait;
}

/// When the composition first stood in the registry, or else when a member first told of it.
std::optional<time_point> formation::state::first_seen(const group_key& key) const
{
    std::optional<time_point> since = known.first_seen(key);
    if (since)
        return since;
    for (const auto& [vm, view] : runners) {
        if (is_in(view, key) && (!since || view.told_at < *since))
            since = view.told_at;
    }
    return since;
}

} // namespace jaynotch::groups
