// Runs the decision cores of `groups`: a manager for each fabric domain of this node's failure
// domain, and the node's ticket board. Executes their commands (calls to the key-value service,
// probes of and orders to engines) and exchanges tickets with peers.
//
//   group_driver driver{io, settings, kv, peers, hooks};
//   driver.install(tables);
//   driver.start();
//   for (const groups::complete_group& group : driver.complete()) ...
#pragma once

#include "base/base.h"
#include "daemon/settings.h"
#include "groups/groups.h"
#include "peers/peers.h"
#include "services/services.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jaynotch {

struct group_hooks {
    /// The complete groups may have changed.
    std::function<void()> on_changed;
    /// A group lost a member: its requests in flight will get no answer.
    std::function<void(const group_id&)> on_broken;
    /// The engine at `address` is leaving, according to the VM list or its own report.
    std::function<void(const std::string& address)> on_leaving;
};

/// A group as assigned in the record of its fabric domain, for status pages.
struct assigned_group {
    groups::group_assignment assigned;
    fabric_domain_id domain;
    fencing_number fencing;
    bool complete = false;
};

class group_driver {
public:
    group_driver(boost::asio::io_context& io, const daemon_settings& settings, kv_service& kv,
                 peer_service& peers, group_hooks hooks);
    ~group_driver();
    group_driver(const group_driver&) = delete;
    group_driver& operator=(const group_driver&) = delete;

    void start();
    /// Ends the loops; pending calls end by themselves and their results are ignored.
    void stop();
    void install(std::shared_ptr<const configuration> tables);
    void handle_ticket(const ticket_digest& heard);
    void handle_key_notice(const key_notice& heard);

    /// Groups with a valid ticket, which may receive requests.
    [[nodiscard]] std::vector<groups::complete_group> complete() const;
    /// All groups that the records assign, sorted by name.
    [[nodiscard]] std::vector<assigned_group> assigned_groups() const;
    /// State of a VM in its last report to this node; empty if this node has no report.
    [[nodiscard]] std::string state_of(const vm_id& vm) const;
    /// Fabric domains whose manager on this node is the leader.
    [[nodiscard]] std::vector<fabric_domain_id> managed() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch
