// What a manager knows about the VMs of its fabric domain: the platform's list and each engine's
// own reports, with their ages. The decisions made from this data are in plan.h and orders.h.
#pragma once

#include "groups/manager.h"
#include "groups/record.h"
#include "groups/types.h"

#include <map>
#include <optional>
#include <set>

namespace jaynotch::groups {

/// The condition of a VM with regard to its use in a group.
enum class vm_condition {
    healthy,      ///< has a fresh report and is not about to leave
    unresponsive, ///< listed, but without a fresh report
    leaving,      ///< leaves soon, according to the list or its own report
    unusable,     ///< quarantined, or neither listed nor freshly reported
};

/// The last order sent to a VM, to distinguish an order without effect from one not sent yet.
struct sent_order {
    std::uint64_t content = 0; ///< hash of what was ordered
    time_point at;
    std::uint32_t attempts = 0;
};

/// The known state of one VM.
struct vm_view {
    member id;
    std::uint32_t accelerators = 0;
    bool listed = false;
    bool ambiguous = false; ///< listed more than once, with different domains or addresses
    bool leaving = false;
    time_point leaves_at;
    std::optional<member_report> report;
    time_point reported_at; ///< when the request of `report` was sent
    /// When the first report arrived that showed its present group, or that it is in none.
    time_point same_group_since;
    /// When its last good report was requested, or when it was first listed.
    time_point unresponsive_since;
    time_point last_probe;        ///< when a probe was last requested
    time_point quarantined_until; ///< not used before, after a failure
    double progress = 0.0;        ///< of the load in progress
    time_point progress_at;       ///< when `progress` last changed
    sent_order order;
};

/// The VMs of one fabric domain.
class vm_table {
public:
    explicit vm_table(const manager_settings& settings) : m_settings{&settings} {}

    /// Applies the platform's list: keeps the rows of this domain, and marks a VM as ambiguous if
    /// other rows contradict its own.
    void apply_list(const std::vector<vm_row>& rows, time_point now);
    /// Applies a report. Returns false if it is evidently false (it names another VM, or too many
    /// members); the VM is then quarantined.
    bool apply_report(const report_seen& seen, time_point now);
    /// Excludes the VM from use for `manager_settings::quarantine`.
    void quarantine(const vm_id& vm, time_point now);

    /// Whether the last report is at most `report_horizon` old.
    [[nodiscard]] bool fresh(const vm_view& view, time_point now) const;
    [[nodiscard]] vm_condition condition(const vm_view& view, time_point now) const;
    /// Whether the VM may join a group: it is healthy, listed without contradiction, not leaving,
    /// and has reported to be idle and in no group for at least `order_horizon`.
    [[nodiscard]] bool assignable(const vm_view& view, time_point now) const;
    [[nodiscard]] const vm_view* find(const vm_id& vm) const;
    [[nodiscard]] vm_view* find(const vm_id& vm);
    std::map<vm_id, vm_view>& all() { return m_vms; }
    [[nodiscard]] const std::map<vm_id, vm_view>& all() const { return m_vms; }

    /// The VMs of each fabric domain that are listed, not leaving and not ambiguous.
    [[nodiscard]] const std::map<fabric_domain_id, std::set<vm_id>>& listed() const
    {
        return m_listed;
    }

    /// Points to the settings object of a manager that was moved.
    void rebind(const manager_settings& settings) { m_settings = &settings; }

private:
    const manager_settings* m_settings;
    std::map<vm_id, vm_view> m_vms;
    std::map<fabric_domain_id, std::set<vm_id>> m_listed;
};

/// Whether `report` shows its VM at `rank` of `group` in exactly this composition, with the group's
/// model, version and adapters, loading or loaded.
bool holds_place(const member_report& report, const group_assignment& group, std::size_t rank,
                 const std::vector<member>& members);
/// holds_place, and the weights are loaded.
bool ready_in_place(const member_report& report, const group_assignment& group, std::size_t rank,
                    const std::vector<member>& members);
/// Whether the engine has loaded, or is loading, the weights of `rank` of `group` in the group's
/// version.
bool has_weights(const member_report& report, const group_assignment& group, std::size_t rank);

} // namespace jaynotch::groups
