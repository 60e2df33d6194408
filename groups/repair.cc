// Assigns free VMs to groups, and decides when one group is dissolved to repair another.
//
// Alternatives are compared by cost = w_down x group-seconds down + w_idle x accelerator-seconds
// idle, with the weights of the pool's row. The platform replaces a lost VM after about
// `expected_replacement_time` in any case; an available VM loads in about `expected_load_time`.
// This gives the following order of sources for a replacement:
//
// - a bound standby or a spare: its accelerators are idle anyway, so using it costs nothing;
// - a standby bound to another group that does not need it: likewise;
// - a member of another broken group: the VMs that both groups lack are replaced at about the same
//   time, so one group can be complete now and the other once the last VM has arrived;
// - a group of a pool of lower rank, which the domain's pool shares select: by rank and not by
//   cost, since operators set ranks to express this preference;
// - otherwise wait for the platform; this is also done during the first `hold_down` after a VM
//   becomes unresponsive.
#include "groups/plan_pass.h"

namespace jaynotch::groups {

namespace {

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Estimates the time until the platform has replaced the group's lost members.
duration expected_wait(const group_health& health, const manager_settings& settings, time_point now)
{
    duration longest{0};
    for (const place_health& place : health.places) {
        if (!place.lost || place.substitute)
            continue;
        // An overdue replacement is not expected at once: the longer it has taken, the less is
        // known about it, so at least a quarter of the usual time is assumed to remain.
        const duration left = settings.expected_replacement_time - (now - place.lost_since);
        longest = std::max(longest, std::max(left, settings.expected_replacement_time / 4));
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
    return view != nullptr && in.vms.assignable(*view, in.now) &&
           !self.m_substitutes.chosen(group.group, standby.vm) && health(group).uncovered == 0;
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
    group_assignment* donor = nullptr;
    for (group_assignment& group : next.groups) {
        const bool has = std::any_of(group.standbys.begin(), group.standbys.end(),
                                     [&](const member& one) { return unneeded(group, one); });
        if (has && group.group != for_group &&
            (donor == nullptr || group.standbys.size() > donor->standbys.size()))
            donor = &group;
    }
    if (donor == nullptr)
        return std::nullopt;
    const auto at = std::find_if(donor->standbys.begin(), donor->standbys.end(),
                                 [&](const member& one) { return unneeded(*donor, one); });
    member taken = *at;
    donor->standbys.erase(at);
    return taken;
}

void planner::pass::replace_lost_members()
{
    std::vector<group_assignment*> broken;
    for (group_assignment& group : next.groups) {
        if (!group.retiring && health(group).uncovered > 0)
            broken.push_back(&group);
    }
    // Within a rank, the group that lacks the fewest VMs comes first: only complete groups serve.
    std::stable_sort(broken.begin(), broken.end(),
                     [&](const group_assignment* left, const group_assignment* right) {
                         const pool* a = pool_of(*left);
                         const pool* b = pool_of(*right);
                         const std::uint32_t left_rank = a == nullptr ? 0 : a->rank;
                         const std::uint32_t right_rank = b == nullptr ? 0 : b->rank;
                         if (left_rank != right_rank)
                             return left_rank > right_rank;
                         return health(*left).uncovered < health(*right).uncovered;
                     });
    for (group_assignment* group : broken) {
        std::size_t bound = 0;
        for (const member& standby : group->standbys)
            bound += self.m_substitutes.chosen(group->group, standby.vm) ? 0 : 1;
        const std::size_t uncovered = health(*group).uncovered;
        const std::size_t need = uncovered - std::min(uncovered, bound);
        // A partial repair does not complete the group, and would occupy VMs that could complete
        // another one.
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
        const bool short_of_vms = !group.retiring && !complete(group) &&
                                  health(group).uncovered > 0 &&
                                  group.standbys.size() < health(group).uncovered;
        if (held_for("broken", group.group, short_of_vms) > in.settings.hold_down)
            broken.push_back(&group);
    }
    std::stable_sort(broken.begin(), broken.end(), [&](const auto* left, const auto* right) {
        return health(*left).uncovered < health(*right).uncovered;
    });
    if (broken.size() < 2)
        return;
    const group_assignment& recipient = *broken.front();
    const group_assignment& donor = *broken.back();
    const pool* recipient_pool = pool_of(recipient);
    const pool* donor_pool = pool_of(donor);
    if (recipient_pool == nullptr || donor_pool == nullptr ||
        donor_pool->rank > recipient_pool->rank)
        return;
    const std::size_t missing = health(recipient).uncovered;
    const std::size_t available = donor.members.size() - health(donor).lost;
    if (available < missing)
        return;
    const double load = seconds(in.settings.expected_load_time + in.settings.order_horizon);
    const double recipient_wait = seconds(expected_wait(health(recipient), in.settings, in.now));
    const double donor_wait = seconds(expected_wait(health(donor), in.settings, in.now));
    const double longer_wait = std::max(recipient_wait, donor_wait);
    const double recipient_idle_rate =
        recipient_pool->weight_idle * accelerators_of(recipient, in.vms);
    const double donor_idle_rate = donor_pool->weight_idle * accelerators_of(donor, in.vms);
    const double donor_share_left = static_cast<double>(available - missing) /
                                    static_cast<double>(std::max<std::size_t>(1, available));
    const double cost_of_waiting =
        (recipient_pool->weight_down + recipient_idle_rate) * recipient_wait +
        (donor_pool->weight_down + donor_idle_rate) * donor_wait;
    const double cost_of_merging =
        (recipient_pool->weight_down + recipient_idle_rate) * load +
        (donor_pool->weight_down + donor_idle_rate * donor_share_left) * (longer_wait + load);
    if (cost_of_merging < cost_of_waiting)
        erase(donor.group, "its VMs complete another broken group");
}

void planner::pass::add_group(const pool& row, const group_id& replaces)
{
    group_assignment group;
    // At most one write can succeed on the revision that this plan starts from, so the id is
    // unique.
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
    // A spare is idle whether it is bound or not, and a bound one can be used while the platform is
    // unreachable. So all spares are bound: each to the group with the fewest standbys and, among
    // equals, with the costliest downtime.
    while (!spares().empty()) {
        group_assignment* target = nullptr;
        double target_weight = 0.0;
        for (group_assignment& group : next.groups) {
            const pool* row = pool_of(group);
            if (row == nullptr || group.retiring)
                continue;
            const double weight = row->weight_down * static_cast<double>(group.members.size());
            const auto bound = [](const group_assignment& one) { return one.standbys.size(); };
            if (target == nullptr || bound(group) < bound(*target) ||
                (bound(group) == bound(*target) && weight > target_weight))
            {
                target = &group;
                target_weight = weight;
            }
        }
        if (target == nullptr)
            return;
        target->standbys.push_back(*take_spare());
    }
}

} // namespace jaynotch::groups
