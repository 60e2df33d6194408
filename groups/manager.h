// The manager of one fabric domain: decides which VMs form which groups, writes the decision to the
// domain's record, and sends the engines the orders that carry it out.
//
//   domain_manager manager{{.deployment = "apred", .self = node, .domain = domain}};
//   auto commands = manager.handle(groups::tick{}, runtime_clock::now());
//
// Every daemon runs one for each fabric domain of its own failure domain. Only the manager that
// holds the domain's lease writes and sends orders; the others follow the record as backups.
#pragma once

#include "groups/record.h"
#include "groups/types.h"

#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

namespace jaynotch::groups {

using manager_event =
    std::variant<vms_seen, report_seen, report_failed, kv_result, lease_result, record_seen,
                 tables_installed, order_result, peers_seen, straggler_found, tick>;
using manager_command =
    std::variant<kv_call, lease_grant, lease_renew, probe, order_assign, order_release, notice>;

/// Times and limits of a manager. The defaults suit a latency of 1 ms between VMs.
struct manager_settings {
    std::string deployment;
    node_id self;
    fabric_domain_id domain;
    /// Time to live of the lease on the manager's key.
    std::chrono::seconds lease{10};
    /// The manager stops leading this long before its lease expires.
    duration lease_margin = 2s;
    /// Interval between two reads of the manager's key by a candidate.
    duration campaign_period = 2s;
    /// A call without an answer after this time counts as lost.
    duration call_timeout = 2s;
    /// Interval between two probes of one VM.
    duration probe_period = 1s;
    /// Maximum age of a report; an older one is not used.
    duration report_horizon = 3s;
    /// An order takes effect within this time of its sending, or never.
    duration order_horizon = 8s;
    /// An order not sent within this time is dropped.
    duration order_timeout = 2s;
    /// Delay before an order without effect is sent again.
    duration order_retry = 4s;
    /// Orders without effect after which the VM is quarantined.
    std::uint32_t order_attempts = 5;
    /// How long a VM is not used after a failure.
    duration quarantine = 300s;
    /// A load without progress for this long has failed.
    duration load_stall_timeout = 60s;
    /// A member that leaves within this time is replaced now.
    duration leave_notice = 120s;
    /// How long to wait for an unresponsive VM before other groups give up VMs for its replacement.
    duration hold_down = 15s;
    /// A draining group counts as drained after this time at the latest.
    duration drain_timeout = 600s;
    /// The platform counts as unreachable after this time without an answer. Groups then switch to
    /// their bound standbys without a new record.
    duration platform_timeout = 12s;
    /// How long a reason to move groups between domains must persist.
    duration reassign_delay = 30s;
    /// Minimum interval between two writes of the record.
    duration min_write_interval = 500ms;
    /// Maximum number of VMs that load at a time; a single group may always load all its members.
    std::uint32_t loads_at_once = 8;
    /// Expected time for one member to load, to compare the costs of repairs.
    duration expected_load_time = 90s;
    /// Expected time for the platform to replace a lost VM, to compare the costs of repairs.
    duration expected_replacement_time = 600s;
};

/// A manager's state, for status pages and metrics.
struct manager_status {
    bool leading = false;
    bool platform_unreachable = false; ///< no answer for `platform_timeout`
    fencing_number record_revision;
    std::size_t groups = 0;
    std::size_t complete_groups = 0;
    std::size_t spares = 0; ///< VMs that may join a group
    std::uint64_t record_writes = 0;
    std::uint64_t orders = 0;
};

/// Makes the decisions for one fabric domain. It has no clock, sockets or threads of its own.
class domain_manager {
public:
    explicit domain_manager(manager_settings settings);
    ~domain_manager();
    domain_manager(domain_manager&&) noexcept;
    domain_manager& operator=(domain_manager&&) noexcept;
    domain_manager(const domain_manager&) = delete;
    domain_manager& operator=(const domain_manager&) = delete;

    /// Handles one event at `now`. Returns the commands to execute, in order.
    std::vector<manager_command> handle(const manager_event& event, time_point now);

    /// The record as last read or written.
    [[nodiscard]] const domain_record& record() const noexcept;
    [[nodiscard]] manager_status status(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jaynotch::groups
