// The planner runs a fixed sequence of passes over a copy of the record. Each pass is
// level-triggered: it depends on the current state, not on the events that led to it. So a plan
// that was lost, written by a manager that has died since, or executed in part by the engines is
// simply continued by the next run.
//
// No pass can put a VM into two groups: VMs enter the record only through take_spare and take_vm,
// which remove them from the spares or from the group that they were bound to.
#include "groups/plan.h"

#include "groups/plan_pass.h"

namespace jaynotch::groups {

namespace {

/// A group with a leaving member is switched even if it is busy once the member has at most this
/// time left.
constexpr duration forced_switch_lead = 5s;

std::set<vm_id> all_assigned(const record_map& records, const domain_record& next)
{
    std::set<vm_id> assigned;
    const auto add = [&](const domain_record& record) {
        for (const group_assignment& group : record.groups) {
            for (const member& one : group.members)
                assigned.insert(one.vm);
            for (const member& one : group.standbys)
                assigned.insert(one.vm);
        }
    };
    // Includes other domains' records, because the VM list may show a VM in this domain that
    // another domain's record still names.
    for (const auto& [domain, record] : records) {
        if (domain != next.domain)
            add(record);
    }
    add(next);
    return assigned;
}

} // namespace

duration condition_timers::held_for(const std::string& what, bool holds, time_point now)
{
    if (!holds) {
        m_since.erase(what);
        return duration{0};
    }
    return now - m_since.try_emplace(what, now).first->second;
}

void planner::assess(const plan_input& in)
{
    m_substitutes.prune(in.record);
    m_health_by_group.clear();
    for (const group_assignment& group : in.record.groups)
        m_health_by_group[group.group] = m_substitutes.assess(group, in.vms, in.now);
}

domain_record planner::next(const plan_input& in, std::vector<notice>& notices)
{
    assess(in);
    pass run{*this, in, notices};
    run.drop_unusable_standbys();
    run.retire_surplus();
    run.dissolve_unrecoverable();
    run.finish_drains();
    run.switch_to_substitutes();
    run.replace_lost_members();
    run.complete_one_from_another();
    run.form_groups();
    run.roll_out();
    run.build_replacements_for_leaving();
    run.bind_spares();
    return std::move(run.next);
}

planner::pass::pass(planner& owner, const plan_input& input, std::vector<notice>& out)
    : self{owner}, in{input}, notices{out}, next{input.record},
      shares{domain_shares::compute(input.tables, input.vms.listed(), input.records,
                                    input.settings.domain)}
{
    const std::set<vm_id> assigned = all_assigned(in.records, next);
    for (const auto& [vm, view] : in.vms.all()) {
        if (!assigned.contains(vm) && in.vms.assignable(view, in.now))
            m_spares.push_back(view.id);
    }
}

void planner::pass::drop_unusable_standbys()
{
    for (group_assignment& group : next.groups) {
        std::erase_if(group.standbys, [&](const member& standby) {
            const vm_view* view = in.vms.find(standby.vm);
            if (view == nullptr)
                return true;
            const vm_condition condition = in.vms.condition(*view, in.now);
            if (condition == vm_condition::unresponsive)
                return in.now - view->unresponsive_since > in.settings.hold_down;
            return condition != vm_condition::healthy || view->leaving || view->ambiguous;
        });
    }
}

void planner::pass::retire_surplus()
{
    for (group_assignment& group : next.groups) {
        const pool* row = pool_of(group);
        if (!group.retiring && (row == nullptr || !allowed_in(*row, next.domain)))
            start_drain(group, true, "pool removed or moved to other domains");
        // The group that this one was built to replace no longer exists, so this one counts like
        // any other.
        if (find(group.replaces) == nullptr)
            group.replaces = group_id{};
    }
    for (const pool* row : pools_by_rank(in.tables)) {
        const pool_share share = shares.share(row->name);
        // Another domain's manager may see the list or a record later than this one, so only a
        // lasting difference is a reason to dissolve a group.
        const bool surplus =
            self.m_since.held_for("surplus " + row->name.value(), share.surplus > 0, in.now) >
            in.settings.reassign_delay;
        const bool yields_to_higher_rank =
            self.m_since.held_for("yields " + row->name.value(), share.yielding > 0, in.now) >
            in.settings.reassign_delay;
        const std::size_t retire_count =
            (surplus ? share.surplus : 0) + (yields_to_higher_rank ? share.yielding : 0);
        std::vector<group_assignment*> candidates;
        for (group_assignment& group : next.groups) {
            if (group.pool == row->name && !group.retiring && group.replaces.value().empty())
                candidates.push_back(&group);
        }
        std::stable_sort(candidates.begin(), candidates.end(),
                         [&](const group_assignment* left, const group_assignment* right) {
                             if (complete(*left) != complete(*right))
                                 return !complete(*left);
                             return outdated(*left) && !outdated(*right);
                         });
        for (std::size_t i = 0; i < std::min(retire_count, candidates.size()); ++i)
            start_drain(*candidates[i], true,
                        surplus ? "more groups than wanted" : "yields to a pool of higher rank");
    }
}

void planner::pass::dissolve_unrecoverable()
{
    std::vector<group_id> unrecoverable;
    for (const group_assignment& group : next.groups) {
        const bool lost = !group.retiring && !complete(group) && !shares.viable(group.group) &&
                          group.replaces.value().empty();
        if (held_for("hopeless", group.group, lost) > in.settings.reassign_delay)
            unrecoverable.push_back(group.group);
    }
    for (const group_id& group : unrecoverable)
        erase(group, "too few live VMs in this domain");
}

void planner::pass::finish_drains()
{
    std::vector<group_id> done;
    for (const group_assignment& group : next.groups) {
        if (group.retiring && drained(group))
            done.push_back(group.group);
    }
    for (const group_id& group : done)
        erase(group, "retired");
}

void planner::pass::switch_to_substitutes()
{
    for (group_assignment& group : next.groups) {
        const group_health& seen = health(group);
        if (group.retiring)
            continue;
        if (!seen.can_switch && !seen.switched) {
            // The reason to drain may have ceased, because the member that was to be replaced is
            // back.
            group.draining = group.draining && outdated(group);
            continue;
        }
        bool must_switch_now = false;
        for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
            const vm_view* view = in.vms.find(group.members[rank].vm);
            must_switch_now = must_switch_now || (view != nullptr && view->leaving &&
                                                  view->leaves_at - in.now <= forced_switch_lead);
        }
        // A switch ends the requests in flight, so a planned one waits until there are none.
        if (seen.complete && !seen.switched && !must_switch_now) {
            if (being_replaced(group.group))
                continue;
            if (!group.draining)
                start_drain(group, false, "a member is replaced");
            if (!drained(group))
                continue;
        }
        std::erase_if(group.standbys, [&](const member& standby) {
            return std::find(seen.target.begin(), seen.target.end(), standby) != seen.target.end();
        });
        group.members = seen.target;
        group.draining = false;
        add_notice("members_replaced", group.group, "bound standbys replaced lost members");
    }
}

group_assignment* planner::pass::find(const group_id& group)
{
    const auto at = std::find_if(next.groups.begin(), next.groups.end(),
                                 [&](const auto& one) { return one.group == group; });
    return at == next.groups.end() ? nullptr : &*at;
}

const pool* planner::pass::pool_of(const group_assignment& group) const
{
    const auto at = std::find_if(in.tables.pools.begin(), in.tables.pools.end(),
                                 [&](const pool& row) { return row.name == group.pool; });
    return at == in.tables.pools.end() || at->kind != pool_kind::model ? nullptr : &*at;
}

const group_health& planner::pass::health(const group_assignment& group) const
{
    static const group_health nothing;
    const auto at = self.m_health_by_group.find(group.group);
    return at == self.m_health_by_group.end() ? nothing : at->second;
}

bool planner::pass::outdated(const group_assignment& group) const
{
    const pool* row = pool_of(group);
    return row != nullptr &&
           (group.model != row->model || group.version != row->version ||
            group.adapters != row->adapters || group.members.size() != row->replica_vms);
}

bool planner::pass::complete(const group_assignment& group) const
{
    return health(group).complete || health(group).switched;
}

duration planner::pass::held_for(const char* why, const group_id& group, bool holds)
{
    return self.m_since.held_for(std::string{why} + " " + group.value(), holds, in.now);
}

void planner::pass::erase(const group_id& group, const char* why)
{
    add_notice("group_dissolved", group, why);
    for (const char* reason : {"draining", "hopeless", "broken", "ready"})
        (void)held_for(reason, group, false);
    std::erase_if(next.groups, [&](const auto& one) { return one.group == group; });
}

void planner::pass::start_drain(group_assignment& group, bool retire, const char* why)
{
    if (group.draining && group.retiring == retire)
        return;
    group.draining = true;
    group.retiring = group.retiring || retire;
    add_notice("group_draining", group.group, why);
}

bool planner::pass::drained(const group_assignment& group)
{
    // Measured from the written record, not from the plan: a group still gets requests until its
    // draining has been written.
    const auto written = std::find_if(in.record.groups.begin(), in.record.groups.end(),
                                      [&](const auto& one) { return one.group == group.group; });
    const bool draining = written != in.record.groups.end() && written->draining;
    const duration lasted = held_for("draining", group.group, draining);
    if (!draining)
        return false;
    if (!complete(group))
        return true;
    // By then every node's ticket for the group shows the draining or has expired.
    const bool known = lasted > in.settings.report_horizon;
    return (known && health(group).idle) || lasted > in.settings.drain_timeout;
}

void planner::pass::add_notice(const char* kind, const group_id& group, std::string detail)
{
    notices.push_back({log_level::info, kind, group.value(), std::move(detail)});
}

} // namespace jaynotch::groups
