// Computes the orders that make every engine of the domain follow the record. Each tick compares
// the record with the engines' reports, so an order that was lost, refused or ignored is sent
// again.
//
//   order_book orders{"node-1"};                      // prefix of the order names
//   orders.send(input, vms, next_token, commands);    // at each tick
#pragma once

#include "groups/plan.h"

#include <map>
#include <string>
#include <vector>

namespace jaynotch::groups {

/// Input of an order_book besides the VMs.
struct order_input {
    const manager_settings& settings;
    const domain_record& record;
    const record_map& records; ///< of all domains
    const std::map<group_id, group_health>& health_by_group;
    time_point now;
    time_point not_after; ///< no order may be sent after this time
    /// The platform does not answer: members are replaced by bound standbys, nothing is released.
    bool platform_unreachable = false;
};

/// Numbers and sends the orders of one manager.
class order_book {
public:
    explicit order_book(std::string name) : m_name{std::move(name)} {}

    /// Appends the orders that are due. `next_token` numbers the calls.
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
    /// The group in which the record names each VM, and since when this manager has seen it so.
    std::map<vm_id, std::pair<group_id, time_point>> m_bound;
};

} // namespace jaynotch::groups
