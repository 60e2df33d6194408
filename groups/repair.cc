// Where VMs go that are free, and which group is given up for which.
//
// The choice is by cost = w_down x group-seconds down + w_idle x accelerator-seconds idle, with the
// weights of the pool's row. A lost VM is replaced by the platform after about `expected_vm`,
// whatever we do; a VM at hand loads in about `expected_load`. Hence in this order:
//
// - a bound standby or a spare: its accelerators idle anyway, so using one costs nothing;
// - a standby bound elsewhere and not needed there: likewise;
// - a member of another broken group: both groups lack VMs that come in about the same time, so
//   together they can have one whole group now and the other when the last VM comes;
// - a group of a pool of lower rank gives way (allotment.cc): by rank, not by cost, since ranks are
//   what operators write to say so;
// - wait: what remains, and what is done for the first `hold_down` of a silence.
#include "groups/plan_pass.h"

namespace jaynotch::groups {

namespace {

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// How long until the platform has replaced the lost members of `sight`, by experience.
duration expected_wait(const group_sight& sight, const manager_settings& settings, time_point now)
{
    duration longest{0};
    for (const place_sight& place : sight.places) {
        if (!place.lost || place.substitute)
            continue;
        // One that is overdue isn't expected at once: the longer it took, the less is known.
        const duration left = settings.expected_vm - (now - place.lost_since);
        longest = std::max(longest, std::max(left, settings.expected_vm / 4));
    }
    return longest;
}

double accelerators_of(const group_assignment& group, const vm_table& vms)
{
    double sum = 0;
    for (const member& one : group.members) {
        const vm_view* view = vms.find(one.vm);
        sum += view == nullptr ? 0.0 : view->accelerators;
    }
    return sum;
}

} // namespace

bool planner::pass::unneeded(const group_assignment& group, const member& standby) const
{
    const vm_view* view = in.vms.find(standby.vm);
    return view != nullptr && in.vms.quiet(*view, in.now) &&
           !self.m_substitutes.chosen(group.group, standby.vm) && sight(group).uncovered == 0;
}

std::size_t planner::pass::unneeded_standbys() const
{
    std::size_t count = 0;
    for (const group_assignment& group : next.groups) {
        count += static_cast<std::size_t>(
            std::count_if(group.standbys.begin(), group.standbys.end(),
                          [&](const member& standby) { return unneeded(group, standby); }));
    }
    return count;
}

std::optional<member> planner::pass::take_spare()
{
    if (m_spares.empty())
        return std::nullopt;
    member taken = m_spares.back();
    m_spares.pop_back();
    return taken;
}

std::optional<member> planner::pass::take_vm(const group_id& for_group)
{
    if (auto spare = take_spare())
        return spare;
    group_assignment* richest = nullptr;
    for (group_assignment& group : next.groups) {
        const bool has = std::any_of(group.standbys.begin(), group.standbys.end(),
                                     [&](const member& one) { return unneeded(group, one); });
        if (has && group.group != for_group &&
            (richest == nullptr || group.standbys.size() > richest->standbys.size()))
            richest = &group;
    }
    if (richest == nullptr)
        return std::nullopt;
    const auto at = std::find_if(richest->standbys.begin(), richest->standbys.end(),
                                 [&](const member& one) { return unneeded(*richest, one); });
    member taken = *at;
    richest->standbys.erase(at);
    return taken;
}

void planner::pass::replace_lost_members()
{
    std::vector<group_assignment*> broken;
    for (group_assignment& group : next.groups) {
        if (!group.retiring && sight(group).uncovered > 0)
            broken.push_back(&group);
    }
    // The one soonest whole goes first: only whole groups count.
    std::stable_sort(broken.begin(), broken.end(),
                     [&](const group_assignment* left, const group_assignment* right) {
                         const pool* a = pool_of(*left);
                         const pool* b = pool_of(*right);
                         const std::uint32_t left_rank = a == nullptr ? 0 : a->rank;
                         const std::uint32_t right_rank = b == nullptr ? 0 : b->rank;
                         if (left_rank != right_rank)
                             return left_rank > right_rank;
                         return sight(*left).uncovered < sight(*right).uncovered;
                     });
    for (group_assignment* group : broken) {
        std::size_t bound = 0;
        for (const member& standby : group->standbys)
            bound += self.m_substitutes.chosen(group->group, standby.vm) ? 0 : 1;
        const std::size_t uncovered = sight(*group).uncovered;
        const std::size_t need = uncovered - std::min(uncovered, bound);
        // Half a repair repairs nothing, and would hold VMs that complete another group.
        if (spares().size() + unneeded_standbys() < need)
            continue;
        for (std::size_t i = 0; i < need; ++i) {
            if (auto vm = take_vm(group->group))
                group->standbys.push_back(*vm);
        }
    }
}

void planner::pass::complete_one_from_another()
{
    std::vector<const group_assignment*> broken;
    for (const group_assignment& group : next.groups) {
        const bool short_of_vms = !group.retiring && !whole(group) && sight(group).uncovered > 0 &&
                                  group.standbys.size() < sight(group).uncovered;
        if (held_for("broken", group.group, short_of_vms) > in.settings.hold_down)
            broken.push_back(&group);
    }
    std::stable_sort(broken.begin(), broken.end(), [&](const auto* left, const auto* right) {
        return sight(*left).uncovered < sight(*right).uncovered;
    });
    if (broken.size() < 2)
        return;
    const group_assignment& gets = *broken.front();
    const group_assignment& gives = *broken.back();
    const pool* gets_row = pool_of(gets);
    const pool* gives_row = pool_of(gives);
    if (gets_row == nullptr || gives_row == nullptr || gives_row->rank > gets_row->rank)
        return;
    const std::size_t lacking = sight(gets).uncovered;
    const std::size_t at_hand = gives.members.size() - sight(gives).lost;
    if (at_hand < lacking)
        return;
    const double load = seconds(in.settings.expected_load + in.settings.order_horizon);
    const double wait_gets = seconds(expected_wait(sight(gets), in.settings, in.now));
    const double wait_gives = seconds(expected_wait(sight(gives), in.settings, in.now));
    const double wait_both = std::max(wait_gets, wait_gives);
    const double idle_gets = gets_row->weight_idle * accelerators_of(gets, in.vms);
    const double idle_gives = gives_row->weight_idle * accelerators_of(gives, in.vms);
    const double share_left = static_cast<double>(at_hand - lacking) /
                              static_cast<double>(std::max<std::size_t>(1, at_hand));
    const double keep = (gets_row->weight_down + idle_gets) * wait_gets +
                        (gives_row->weight_down + idle_gives) * wait_gives;
    const double merge = (gets_row->weight_down + idle_gets) * load +
                         (gives_row->weight_down + idle_gives * share_left) * (wait_both + load);
    if (merge < keep)
        erase(gives.group, "its VMs complete another broken group");
}

void planner::pass::add_group(const pool& row, const group_id& replaces)
{
    group_assignment group;
    // The revision that this plan starts from is overwritten once only, so the id is new.
    group.group =
        group_id{row.name.value() + "-" + next.domain.value() + "-" +
                 std::to_string(in.record.revision.value()) + "-" + std::to_string(m_added++)};
    group.pool = row.name;
    group.model = row.model;
    group.version = row.version;
    group.adapters = row.adapters;
    group.replaces = replaces;
    while (group.members.size() < row.replica_vms) {
        if (auto vm = take_vm(group.group))
            group.members.push_back(*vm);
        else
            return;
    }
    add_notice("group_formed", group.group, "of pool " + row.name.value());
    next.groups.push_back(std::move(group));
}

void planner::pass::form_groups()
{
    for (const pool* row : pools_by_rank(in.tables)) {
        if (!allowed_in(*row, next.domain))
            continue;
        std::size_t present = 0;
        for (const group_assignment& group : next.groups) {
            const bool counts = group.pool == row->name && !group.retiring &&
                                group.replaces.value().empty() && shares.viable(group.group);
            present += counts ? 1 : 0;
        }
        const std::size_t wanted = shares.share(row->name).wanted;
        for (; present < wanted && spares().size() + unneeded_standbys() >= row->replica_vms;
             ++present)
            add_group(*row, group_id{});
    }
}

void planner::pass::bind_spares()
{
    // A spare idles bound or unbound, and a bound one can be used while the platform is dark; so
    // all are bound, first to the groups whose downtime weighs most.
    while (!spares().empty()) {
        group_assignment* poorest = nullptr;
        double poorest_weight = 0.0;
        for (group_assignment& group : next.groups) {
            const pool* row = pool_of(group);
            if (row == nullptr || group.retiring)
                continue;
            const double weight = row->weight_down * static_cast<double>(group.members.size());
            const auto bound = [](const group_assignment& one) { return one.standbys.size(); };
            if (poorest == nullptr || bound(group) < bound(*poorest) ||
                (bound(group) == bound(*poorest) && weight > poorest_weight))
            {
                poorest = &group;
                poorest_weight = weight;
            }
        }
        if (poorest == nullptr)
            return;
        poorest->standbys.push_back(*take_spare());
    }
}

} // namespace jaynotch::groups
