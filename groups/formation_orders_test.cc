#include "groups/fake_registry.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::groups;

namespace {

constexpr std::int64_t term = 7;

/// A single formation_manager that gets every event from the test.
class single_manager {
public:
    single_manager()
    {
        tell(model_pools_updated{fake_registry::pools()});
        tell(registry_status{true, 0});
        tell(traffic_started{});
    }
    ~single_manager() = default;
    single_manager(const single_manager&) = delete; // the core refers to the registry
    single_manager& operator=(const single_manager&) = delete;
    single_manager(single_manager&&) = delete;
    single_manager& operator=(single_manager&&) = delete;

    /// Becomes the manager of three spares and orders them into one group, without answers to the
    /// orders.
    void order_one_group()
    {
        for (const char* id : {"r-1", "r-2", "r-3"})
            update_entry(id, std::nullopt);
        become_manager();
        for (const char* id : {"r-1", "r-2", "r-3"})
            report(id, std::nullopt, 4);
        advance(50ms);
    }

    void become_manager()
    {
        tell(manager_key_updated{std::nullopt});
        advance(200ms);
        const lease_grant asked = last<lease_grant>();
        tell(lease_result{asked.token, lease_id{1}});
        const kv_call claim = last<kv_call>();
        tell(kv_result{claim.token, kv_outcome{true, term, {}}});
        advance(50ms);
    }

    /// The lease ends by this node's clock because renewals are unanswered; later the store answers
    /// the last one with success.
    void lose_and_regain_lease(const std::function<void()>& meanwhile)
    {
        advance(4s);
        cr_assert_not(m_core.leading(m_now));
        meanwhile();
        tell(lease_result{last<lease_renew>().token, lease_id{1}});
        advance(50ms);
        cr_assert(m_core.leading(m_now));
    }

    void update_entry(const std::string& id, std::optional<membership> group)
    {
        runner row;
        row.id = vm_id{id};
        row.service = "llm";
        row.address = "10.0.0.1:1";
        row.failure_domain = failure_domain_id{"f"};
        row.fabric_domain = fabric_domain_id{"d"};
        row.born_ms = 1;
        row.staged = {"small"};
        row.model = group ? "small" : "";
        row.group = std::move(group);
        m_known.update(row, m_now);
        tell(runner_updated{row});
    }

    void report(const std::string& id, std::optional<membership> group, std::int64_t orders)
    {
        const std::string model = group ? "small" : "";
        tell(runner_reported{{{vm_id{id}, 1, std::move(group), model}, orders}});
    }

    /// Answers the last order to a runner.
    void answer(const std::string& id, order_reply reply)
    {
        tell(order_answered{m_orders.at(id).token, vm_id{id}, reply});
    }

    void tell(const formation_event& event)
    {
        for (formation_command& command : m_core.handle(event, m_now)) {
            if (const auto* order = std::get_if<send_order>(&command))
                m_orders[order->vm.value()] = *order;
            m_commands.push_back(std::move(command));
        }
    }

    void advance(duration time)
    {
        constexpr duration tick_interval = 50ms;
        for (const time_point until = m_now + time; m_now < until;) {
            m_now += tick_interval;
            tell(formation_tick{});
        }
    }

    /// The last order to a runner if it was a join, otherwise null.
    [[nodiscard]] const join_group* join_of(const std::string& id) const
    {
        const auto found = m_orders.find(id);
        return found == m_orders.end() ? nullptr : std::get_if<join_group>(&found->second.order);
    }

    void forget_orders() { m_orders.clear(); }

private:
    template <class Command>
    Command last() const
    {
        for (auto at = m_commands.rbegin(); at != m_commands.rend(); ++at) {
            if (const auto* found = std::get_if<Command>(&*at))
                return *found;
        }
        cr_assert_fail("no command of the expected type");
        return {};
    }

    static formation_settings settings()
    {
        formation_settings made;
        made.deployment = "test";
        made.self = node_id{"node-0"};
        made.own_domain = failure_domain_id{"f"};
        made.domain = failure_domain_id{"f"};
        return made;
    }

    time_point m_now{std::chrono::hours{1}};
    runner_registry m_known;
    formation_manager m_core{settings(), m_known};
    std::vector<formation_command> m_commands;
    std::map<std::string, send_order> m_orders; ///< last order to each runner
};

} // namespace

// Guards against a join that takes effect after other orders, because it is late or was based on
// outdated state: a join must carry the order count that the runner reported.
Test(formation, a_join_names_the_orders_that_the_runner_had_begun)
{
    single_manager manager;
    manager.order_one_group();
    const join_group* join = manager.join_of("r-1");
    cr_assert_not_null(join);
    cr_assert(join->expected_order_count == 4);
}

// Guards against repeated joins to a runner that appears in a group of the previous manager: that
// manager's join was executed late, and its group may be serving.
Test(formation, a_runner_that_turned_up_in_another_group_is_not_joined)
{
    single_manager manager;
    manager.order_one_group();
    manager.answer("r-1", order_reply::misfit);
    manager.forget_orders();
    const membership other{group_id{"g1"}, 1, 1, member_phase::ready};
    manager.update_entry("r-8", membership{group_id{"g1"}, 1, 0, member_phase::open});
    manager.update_entry("r-9", membership{group_id{"g1"}, 1, 2, member_phase::ready});
    manager.update_entry("r-1", other);
    manager.report("r-1", other, 5);
    manager.advance(1s);
    cr_assert_null(manager.join_of("r-1"));
}

// Guards against a runner that is never used again because its manager counted an order that the
// runner did not count: joins then carry a wrong order count, and the runner refuses them all.
Test(formation, a_runner_that_refused_a_join_is_asked_and_joined_again)
{
    single_manager manager;
    manager.order_one_group();
    manager.answer("r-1", order_reply::misfit);
    manager.forget_orders();
    manager.report("r-1", std::nullopt, 3);
    manager.advance(1s);
    const join_group* join = manager.join_of("r-1");
    cr_assert_not_null(join);
    cr_assert(join->expected_order_count == 3);
}

// Guards against a report from before a join that arrives after the lease has ended. When the
// manager resumes its term, it would treat the runner as free although it is in a group.
Test(formation, an_old_report_frees_no_runner_while_the_manager_does_not_lead)
{
    single_manager manager;
    manager.order_one_group();
    for (const char* id : {"r-1", "r-2", "r-3"})
        manager.answer(id, order_reply::begun);
    manager.forget_orders();
    manager.lose_and_regain_lease([&] { manager.report("r-1", std::nullopt, 4); });
    cr_assert_null(manager.join_of("r-1"));
}
