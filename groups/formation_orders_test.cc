#include "groups/fake_registry.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::groups;

namespace {

constexpr std::int64_t term = 7;

/// A manager alone, told of everything by hand.
class lone_manager {
public:
    lone_manager()
    {
        tell(model_pools_seen{fake_registry::pools()});
        tell(registry_current{true, 0});
        tell(traffic_begun{});
    }
    ~lone_manager() = default;
    lone_manager(const lone_manager&) = delete; // the core refers to the registry
    lone_manager& operator=(const lone_manager&) = delete;
    lone_manager(lone_manager&&) = delete;
    lone_manager& operator=(lone_manager&&) = delete;

    /// Becomes the manager of three spares and orders them into one group; no order is answered
    /// yet.
    void form()
    {
        for (const char* id : {"r-1", "r-2", "r-3"})
            see(id, std::nullopt);
        become_manager();
        for (const char* id : {"r-1", "r-2", "r-3"})
            report(id, std::nullopt, 4);
        pass(50ms);
    }

    void become_manager()
    {
        tell(manager_key_seen{std::nullopt});
        pass(200ms);
        const lease_grant asked = last<lease_grant>();
        tell(lease_result{asked.token, lease_id{1}});
        const kv_call claim = last<kv_call>();
        tell(kv_result{claim.token, kv_outcome{true, term, {}}});
        pass(50ms);
    }

    /// The lease ends without a word of the store, which renews it later all the same.
    void stop_and_come_back(const std::function<void()>& meanwhile)
    {
        pass(4s);
        cr_assert_not(m_core.leading(m_now));
        meanwhile();
        tell(lease_result{last<lease_renew>().token, lease_id{1}});
        pass(50ms);
        cr_assert(m_core.leading(m_now));
    }

    void see(const std::string& id, std::optional<membership> group)
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
        m_known.take(row, m_now);
        tell(runner_seen{row});
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

    void pass(duration time)
    {
        constexpr duration beat = 50ms;
        for (const time_point until = m_now + time; m_now < until;) {
            m_now += beat;
            tell(formation_tick{});
        }
    }

    /// The join that a runner was ordered to last; null if its last order was another, or none.
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
        cr_assert_fail("no such command");
        return {};
    }

    static formation_settings settings()
    {
        formation_settings chosen;
        chosen.deployment = "test";
        chosen.self = node_id{"node-0"};
        chosen.own_domain = failure_domain_id{"f"};
        chosen.domain = failure_domain_id{"f"};
        return chosen;
    }

    time_point m_now{std::chrono::hours{1}};
    runner_registry m_known;
    formation m_core{settings(), m_known};
    std::vector<formation_command> m_commands;
    std::map<std::string, send_order> m_orders; ///< the last to each runner
};

} // namespace

// Guards against a join that takes effect behind other orders, late or on an old belief.
Test(formation, a_join_names_the_orders_that_the_runner_had_begun)
{
    lone_manager manager;
    manager.form();
    const join_group* join = manager.join_of("r-1");
    cr_assert_not_null(join);
    cr_assert(join->expected_order_count == 4);
}

// Guards against a join that is ordered, until it is answered, to a runner that has turned up in a
// group of the manager before: that one's join was carried out late, and its group may serve.
Test(formation, a_runner_that_turned_up_in_another_group_is_not_joined)
{
    lone_manager manager;
    manager.form();
    manager.answer("r-1", order_reply::misfit);
    manager.forget_orders();
    const membership other{group_id{"g1"}, 1, 1, member_phase::ready};
    manager.see("r-8", membership{group_id{"g1"}, 1, 0, member_phase::open});
    manager.see("r-9", membership{group_id{"g1"}, 1, 2, member_phase::ready});
    manager.see("r-1", other);
    manager.report("r-1", other, 5);
    manager.pass(1s);
    cr_assert_null(manager.join_of("r-1"));
}

// Guards against a runner that is never used again since its manager counted an order that the
// runner didn't.
Test(formation, a_runner_that_refused_a_join_is_asked_and_joined_again)
{
    lone_manager manager;
    manager.form();
    manager.answer("r-1", order_reply::misfit);
    manager.forget_orders();
    manager.report("r-1", std::nullopt, 3);
    manager.pass(1s);
    const join_group* join = manager.join_of("r-1");
    cr_assert_not_null(join);
    cr_assert(join->expected_order_count == 3);
}

// Guards against a report from before a join that arrives after the lease has ended: its runner
// would be free to the manager that is back in its old term, and is in a group.
Test(formation, a_report_from_before_a_join_frees_nobody_while_the_manager_stands_still)
{
    lone_manager manager;
    manager.form();
    for (const char* id : {"r-1", "r-2", "r-3"})
        manager.answer(id, order_reply::begun);
    manager.forget_orders();
    manager.stop_and_come_back([&] { manager.report("r-1", std::nullopt, 4); });
    cr_assert_null(manager.join_of("r-1"));
}
