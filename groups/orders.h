// Orders: what every engine of the domain is to be told so that it follows the record. Compared
// with the reports at each tick, so an order that was lost, refused or ignored is simply due again.
#pragma once

#include "groups/plan.h"

#include <map>
#include <string>
#include <vector>

namespace jaynotch::groups {

/// What the order system reads besides the VMs.
struct order_input {
    const manager_settings& settings;
    const domain_record& record;
    const record_map& records; ///< of all domains
    const std::map<group_id, group_sight>& sights;
    time_point now;
    time_point not_after; ///< no order may be sent later
    /// The platform is dark: only switches to bound standbys, nothing is released.
    bool platform_unreachable = false;
};

/// Numbers and sends the orders of one manager.
class order_book {
public:
    explicit order_book(std::string name) : m_name{std::move(name)} {}

    /// The orders due now. `next_token` numbers the calls.
    template <class NextToken>
    void send(const order_input& in, vm_table& vms, NextToken next_token,
              std::vector<manager_command>& out)
    {
        for (manager_command& command : due(in, vms)) {
            std::visit(
                [&](auto& order) {
                    if constexpr (requires { order.token; })
                        order.token = next_token();
                },
                command);
            out.push_back(std::move(command));
        }
    }
    [[nodiscard]] std::uint64_t sent() const { return m_sent; }

private:
    std::vector<manager_command> due(const order_input& in, vm_table& vms);
    void assign(const order_input& in, vm_table& vms, const group_assignment& group,
                const std::vector<member>& members, std::size_t rank,
                std::vector<manager_command>& out);
    void release(const order_input& in, vm_view& view, std::vector<manager_command>& out);
    bool may_send(const order_input& in, vm_table& vms, vm_view& view, std::uint64_t content);
    std::string order_name();

    std::string m_name;
    std::uint64_t m_sent = 0;
    /// Since when the record, as this manager knows it, has named a VM in its present group.
    std::map<vm_id, std::pair<group_id, time_point>> m_bound;
};

} // namespace jaynotch::groups
