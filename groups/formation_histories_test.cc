#include "groups/fake_registry.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::groups;

namespace {

// Faults of a history, as bits of a mask.
constexpr unsigned stale_reports = 1;   ///< runners report their state of 200 ms ago
constexpr unsigned late_entries = 2;    ///< changes of entries arrive up to 600 ms late
constexpr unsigned late_orders = 4;     ///< up to a third are executed seconds later
constexpr unsigned lost_answers = 8;    ///< up to 40% of orders get no answer
constexpr unsigned outages = 16;        ///< of the store
constexpr unsigned dying_managers = 32; ///< restarted with the contents of the registry
constexpr unsigned fault_combinations = 64;

/// A random history of one failure domain under the given faults.
class history {
public:
    history(std::uint64_t seed, unsigned faults)
        : m_random{seed * 7919 + faults}, m_faults{faults},
          m_world{{.managers = 3, .domains = 2, .runners = 9 + m_random.index(12), .seed = seed}}
    {
        m_world.run(12s);
        m_world.begin_traffic();
        m_world.leases_outlast_outages = m_random.chance(0.5);
        if (has(stale_reports))
            m_world.delay_reports(200ms);
        if (has(late_entries))
            m_world.delay_entries(milliseconds(50, 600));
        if (has(late_orders))
            m_world.lose_orders(m_random.unit() * 0.35);
        if (has(lost_answers))
            m_world.lose_answers(m_random.unit() * 0.4);
    }

    /// Runs the history. Returns the violated invariant, or an empty string.
    std::string run()
    {
        constexpr int steps = 14;
        for (int step = 0; step < steps && m_world.violation().empty(); ++step) {
            run_random_step("late-" + std::to_string(step));
            m_world.run(milliseconds(0, 2'500));
        }
        if (m_store_down)
            m_world.store_up(1s);
        m_world.lose_orders(0.0);
        m_world.lose_answers(0.0);
        m_world.run(14s);
        return m_world.violation();
    }

private:
    [[nodiscard]] bool has(unsigned fault) const { return (m_faults & fault) != 0; }

    std::chrono::milliseconds milliseconds(std::int64_t least, std::int64_t most)
    {
        return std::chrono::milliseconds{m_random.between(least, most)};
    }

    void run_random_step(const std::string& new_runner)
    {
        const double what = m_random.unit();
        const std::string model = m_random.chance(0.5) ? "big" : "small";
        const std::string head = m_world.head_of(model, m_random.index(3));
        if (what < 0.5 && !head.empty())
            inject_group_fault(head);
        else if (what < 0.62 && !m_store_down && has(outages))
            begin_outage();
        else if (what < 0.8 && m_store_down)
            end_outage();
        else if (what < 0.87 && has(dying_managers))
            restart_manager(m_random.index(3));
        else
            m_world.add(new_runner, m_random.index(2));
    }

    void inject_group_fault(const std::string& head)
    {
        const std::vector<std::string> members = m_world.members_of(head);
        const std::string& victim = members[m_random.index(members.size())];
        const double how = m_random.unit();
        if (how < 0.2)
            m_world.expire_entry(victim, milliseconds(100, 4'000));
        else if (how < 0.3)
            m_world.disconnect(victim);
        else
            m_world.kill(victim);
        m_world.run(milliseconds(0, 400));
        m_world.report_unresponsive_group(head);
    }

    void begin_outage()
    {
        m_world.peers_reach_store = m_random.chance(0.5);
        m_world.store_down();
        m_store_down = true;
    }

    void end_outage()
    {
        m_world.peers_reach_store = false;
        m_world.store_up(milliseconds(0, 2'000));
        m_store_down = false;
    }

    void restart_manager(std::size_t index)
    {
        m_world.kill_manager(index);
        m_world.run(milliseconds(0, 2'500));
        m_world.start_manager(index);
    }

    random_source m_random;
    unsigned m_faults;
    fake_registry m_world;
    bool m_store_down = false;
};

void assert_invariants_hold(std::uint64_t seed, unsigned faults)
{
    const std::string violation = history{seed, faults}.run();
    cr_assert(violation.empty(), "seed %lu, faults %u: %s", seed, faults, violation.c_str());
}

} // namespace

// Guards against a runner in two groups when a join that got no answer is executed after the runner
// was ordered to leave that group.
Test(formation, a_late_join_moves_no_runner)
{
    assert_invariants_hold(92, late_orders);
    assert_invariants_hold(29, stale_reports | late_orders);
    assert_invariants_hold(7, late_orders | lost_answers);
    assert_invariants_hold(5, late_entries | late_orders | lost_answers);
    assert_invariants_hold(31, late_orders | outages);
}

// No combination of faults may put a runner into two groups, or open a group before all its members
// are ready.
Test(formation, random_histories_violate_no_invariant)
{
    constexpr std::uint64_t seeds = 6;
    for (unsigned faults = 0; faults < fault_combinations; ++faults) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            assert_invariants_hold(seed, faults);
    }
}
