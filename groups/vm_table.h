// What a manager knows of the VMs of its fabric domain: the platform's list and each engine's own
// reports, with their ages. Entities only; the systems that run over them are in plan.h, orders.h.
#pragma once

#include "groups/manager.h"
#include "groups/record.h"
#include "groups/types.h"

#include <map>
#include <optional>
#include <set>

namespace jaynotch::groups {

/// How a VM stands, as far as assigning it goes.
enum class vm_condition {
    healthy,      ///< listed, answers, stays
    unresponsive, ///< no fresh report
    leaving,      ///< goes soon, by the list's or its own word
    excluded,     ///< set aside, listed in two domains, or not listed and silent
};

/// The last order sent to a VM, to tell an order without effect from one not sent yet.
struct sent_order {
    std::uint64_t content = 0; ///< hash of what was ordered
    time_point at;
    std::uint32_t attempts = 0;
};

struct vm_view {
    member id;
    std::uint32_t accelerators = 0;
    bool listed = false;
    bool ambiguous = false; ///< the list names it twice with different domains or addresses
    bool leaving = false;
    time_point leaves_at;
    std::optional<member_report> report;
    time_point reported_at;        ///< when the request of `report` was sent
    time_point same_group_since;   ///< reports have shown this group (or none) since then
    time_point unresponsive_since; ///< the last good report, or when it was first listed
    time_point last_probe;         ///< when a probe was last asked for
    time_point quarantined_until;  ///< it failed at its task
    double progress = 0.0;         ///< of the present load, as last seen to grow
    time_point progress_at;        ///< when it last grew
    sent_order order;
};

/// The VMs of one fabric domain.
class vm_table {
public:
    explicit vm_table(const manager_settings& settings) : m_settings{&settings} {}

    /// Takes the platform's list: rows of this domain, and which VMs other rows name too.
    void apply_list(const std::vector<vm_row>& rows, time_point now);
    /// Takes a report; returns false if it is a lie on its face.
    bool apply_report(const report_seen& seen, time_point now);
    void quarantine(const vm_id& vm, time_point now);

    [[nodiscard]] bool fresh(const vm_view& view, time_point now) const;
    [[nodiscard]] vm_condition condition(const vm_view& view, time_point now) const;
    /// Sound, in no group by its own word, and so for an order horizon: may join a group.
    [[nodiscard]] bool assignable(const vm_view& view, time_point now) const;
    [[nodiscard]] const vm_view* find(const vm_id& vm) const;
    [[nodiscard]] vm_view* find(const vm_id& vm);
    std::map<vm_id, vm_view>& all() { return m_vms; }
    [[nodiscard]] const std::map<vm_id, vm_view>& all() const { return m_vms; }

    /// Live, staying VMs of each fabric domain, from the list.
    [[nodiscard]] const std::map<fabric_domain_id, std::set<vm_id>>& listed() const
    {
        return m_listed;
    }

    /// Follows the settings object of a manager that moved.
    void rebind(const manager_settings& settings) { m_settings = &settings; }

private:
    const manager_settings* m_settings;
    std::map<vm_id, vm_view> m_vms;
    std::map<fabric_domain_id, std::set<vm_id>> m_listed;
};

/// Whether `report` says that its VM holds `rank` of `group` in exactly this composition, with the
/// group's model, version and adapters; loaded or not.
bool holds_place(const member_report& report, const group_assignment& group, std::size_t rank,
                 const std::vector<member>& members);
/// holds_place, and loaded.
bool ready_in_place(const member_report& report, const group_assignment& group, std::size_t rank,
                    const std::vector<member>& members);
/// Whether the engine has, or is loading, the weights of `rank` of `group` in the group's version.
bool has_weights(const member_report& report, const group_assignment& group, std::size_t rank);

} // namespace jaynotch::groups
