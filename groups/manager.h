// The manager of one fabric domain: decides which VMs form which groups, writes that to the
// domain's record, and orders the engines to follow it.
//
//   domain_manager manager{{.deployment = "apred", .self = node, .domain = domain}};
//   auto commands = manager.handle(groups::tick{}, runtime_clock::now());
//
// Every daemon runs one for each fabric domain of its own failure domain. Only the one that holds
// the domain's lease writes and orders; the others follow the record and are ready to take over.
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

/// Times and bounds of a manager. The defaults suit one millisecond between VMs.
struct manager_settings {
    std::string deployment;
    node_id self;
    fabric_domain_id domain;
    std::chrono::seconds lease{10};    ///< of the manager's key
    duration lease_margin = 2s;        ///< the manager stops itself this much before the lease
    duration campaign_period = 2s;     ///< between two looks at who manages the domain
    duration call_timeout = 2s;        ///< a call unanswered for this long counts as lost
    duration probe_period = 1s;        ///< between two probes of one VM
    duration report_horizon = 3s;      ///< an older report says nothing
    duration order_horizon = 8s;       ///< no order takes effect later than this after its sending
    duration order_timeout = 2s;       ///< an order not sent by then is dropped
    duration order_retry = 4s;         ///< before an order without effect is sent again
    std::uint32_t order_attempts = 5;  ///< orders without effect before the VM is set aside
    duration quarantine = 300s;        ///< how long a VM that failed at its task isn't used
    duration load_stall_timeout = 60s; ///< loading without progress for this long has failed
    duration leave_notice = 120s;      ///< a member leaving within this is replaced now
    duration hold_down = 15s; ///< a silent member is waited for this long before others pay for it
    duration drain_timeout = 600s; ///< a retiring group is released after this at the latest
    duration platform_timeout =
        12s;                       ///< platform silent this long: bound standbys swap in without it
    duration reassign_delay = 30s; ///< a shift of groups between domains has to last this long
    duration min_write_interval = 500ms; ///< between two writes of the record
    std::uint32_t loads_at_once = 8;     ///< VMs loading at a time; one whole group always may
    duration expected_load_time = 90s;   ///< one member's load, for weighing repairs
    duration expected_replacement_time = 600s; ///< until the platform replaces a lost VM, likewise
};

/// What a manager is about, for status pages and metrics.
struct manager_status {
    bool leading = false;
    bool platform_unreachable = false; ///< the platform does not answer
    fencing_number record_revision;
    std::size_t groups = 0;
    std::size_t complete_groups = 0;
    std::size_t spares = 0;
    std::uint64_t record_writes = 0;
    std::uint64_t orders = 0;
};

/// Decides for one fabric domain. Pure: no clock, no sockets, no threads.
class domain_manager {
public:
    explicit domain_manager(manager_settings settings);
    ~domain_manager();
    domain_manager(domain_manager&&) noexcept;
    domain_manager& operator=(domain_manager&&) noexcept;
    domain_manager(const domain_manager&) = delete;
    domain_manager& operator=(const domain_manager&) = delete;

    /// Takes one event at `now` and says what is to be done, in order.
    std::vector<manager_command> handle(const manager_event& event, time_point now);

    /// The record as last known.
    [[nodiscard]] const domain_record& record() const noexcept;
    [[nodiscard]] manager_status status(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jaynotch::groups
