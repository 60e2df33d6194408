// The two baselines of the repair benchmark, on the same schedule of faults as the decision core:
// the first-fit policy and a lower bound.
#include "groups/repair_world.h"

#include <algorithm>
#include <queue>

namespace jaynotch::groups {

namespace {

constexpr std::chrono::seconds load_time{60};
constexpr std::chrono::seconds detection{3};
const time_point count_start{std::chrono::hours{1} +
                             std::chrono::seconds{900}}; ///< costs are counted from here
constexpr std::size_t no_group = static_cast<std::size_t>(-1);

/// The first-fit policy: tracks each VM's group and the time from which its weights are loaded.
class first_fit {
public:
    first_fit(const repair_options& options) : m_options{options}
    {
        const std::size_t fleet = options.domains * options.vms_per_domain;
        m_alive.assign(fleet, true);
        m_group.assign(fleet, no_group);
        m_ready.assign(fleet, count_start);
        const std::size_t each = options.vms_per_domain / options.replica_vms;
        for (std::size_t d = 0; d < options.domains; ++d) {
            for (std::size_t g = 0; g < each && m_homes.size() < options.replicas; ++g) {
                for (std::size_t i = 0; i < options.replica_vms; ++i)
                    m_group[d * options.vms_per_domain + g * options.replica_vms + i] =
                        m_homes.size();
                m_homes.push_back(d);
            }
        }
    }

    repair_cost run(const std::vector<scheduled_fault>& schedule)
    {
        const time_point end = count_start + m_options.span - std::chrono::seconds{900};
        std::size_t next = 0;
        time_point now = count_start;
        repair_cost cost;
        while (now < end) {
            time_point until = next < schedule.size() ? std::min(end, schedule[next].at) : end;
            for (const time_point ready : m_ready) {
                if (ready > now)
                    until = std::min(until, ready);
            }
            add(cost, now, until);
            now = until;
            while (next < schedule.size() && schedule[next].at <= now)
                apply(schedule[next++], now);
        }
        return cost;
    }

private:
    void apply(const scheduled_fault& fault, time_point now)
    {
        if (fault.change == vm_change::notice_leaving)
            return;
        const bool back = fault.change == vm_change::arrive || fault.change == vm_change::resume;
        m_alive[fault.vm] = back;
        if (!back)
            m_lost.push_back(fault.vm);
        if (fault.change == vm_change::resume)
            std::erase(m_lost, fault.vm); // back in its place, with its weights still loaded
        else if (fault.change == vm_change::arrive && m_group[fault.vm] != no_group) {
            std::erase(m_lost, fault.vm);
            m_ready[fault.vm] = now + load_time;
        }
        std::vector<std::size_t> unplaced;
        for (const std::size_t lost : m_lost) {
            if (m_group[lost] == no_group)
                continue;
            const std::size_t d = lost / m_options.vms_per_domain;
            std::size_t spare = no_group;
            for (std::size_t v = d * m_options.vms_per_domain;
                 v < (d + 1) * m_options.vms_per_domain && spare == no_group; ++v)
                spare = m_alive[v] && m_group[v] == no_group ? v : no_group;
            if (spare == no_group) {
                unplaced.push_back(lost);
                continue;
            }
            m_group[spare] = m_group[lost];
            m_group[lost] = no_group;
            m_ready[spare] = now + detection + load_time;
        }
        m_lost = std::move(unplaced);
    }

    void add(repair_cost& cost, time_point from, time_point until) const
    {
        const double span = std::chrono::duration<double>(until - from).count();
        std::vector<std::size_t> ready(m_homes.size(), 0);
        std::size_t alive = 0;
        for (std::size_t v = 0; v < m_alive.size(); ++v) {
            alive += m_alive[v] ? 1 : 0;
            if (m_alive[v] && m_group[v] != no_group && m_ready[v] <= from)
                ++ready[m_group[v]];
        }
        const auto complete =
            static_cast<std::size_t>(std::count(ready.begin(), ready.end(), m_options.replica_vms));
        cost.group_seconds_down += span * double(m_options.replicas - complete);
        cost.accelerator_seconds_idle +=
            span * double(alive - complete * m_options.replica_vms) * m_options.accelerators;
    }

    repair_options m_options;
    std::vector<bool> m_alive;
    std::vector<std::size_t> m_group;
    std::vector<time_point> m_ready;
    std::vector<std::size_t> m_homes;
    std::vector<std::size_t> m_lost;
};

} // namespace

repair_cost run_first_fit(const repair_options& options,
                          const std::vector<scheduled_fault>& schedule)
{
    return first_fit{options}.run(schedule);
}

repair_cost run_lower_bound(const repair_options& options,
                            const std::vector<scheduled_fault>& schedule)
{
    repair_cost cost;
    std::vector<std::size_t> alive(options.domains, options.vms_per_domain);
    time_point now = count_start;
    const auto add = [&](time_point until) {
        const double span = std::chrono::duration<double>(until - now).count();
        std::size_t complete = 0;
        std::size_t live = 0;
        for (const std::size_t count : alive) {
            complete += count / options.replica_vms;
            live += count;
        }
        complete = std::min<std::size_t>(complete, options.replicas);
        cost.group_seconds_down += span * double(options.replicas - complete);
        cost.accelerator_seconds_idle +=
            span * double(live - complete * options.replica_vms) * options.accelerators;
        now = until;
    };
    for (const scheduled_fault& fault : schedule) {
        if (fault.change == vm_change::notice_leaving)
            continue;
        add(fault.at);
        const bool back = fault.change == vm_change::arrive || fault.change == vm_change::resume;
        std::size_t& count = alive[fault.vm / options.vms_per_domain];
        count = back ? count + 1 : count - 1;
    }
    add(count_start + options.span - std::chrono::seconds{900});
    return cost;
}

} // namespace jaynotch::groups
