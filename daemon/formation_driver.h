// Runs the group managers (groups/formation.h), one for each failure domain that has runners:
// passes them changes of the registry and executes their commands.
//
//   formation_driver managers{io, settings, kv, peers, registry};
//   managers.runner_updated(row);  // after the registry was updated
//   managers.tick();               // after each batch, and at least ten times a second
#pragma once

#include "base/base.h"
#include "daemon/settings.h"
#include "groups/groups.h"
#include "outside/outside.h"
#include "peers/peers.h"
#include "services/services.h"
#include "tables/tables.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace jaynotch {

/// Failure domains whose management a node resigns from during a planned stop.
enum class resignation {
    /// All but those that no other node could take over now because the store is unreachable.
    where_possible,
    all,
};

class formation_driver {
public:
    /// All references must outlive the driver.
    formation_driver(boost::asio::io_context& io, const daemon_settings& settings, kv_service& kv,
                     peer_service& peers, groups::runner_registry& registry);
    ~formation_driver();
    formation_driver(const formation_driver&) = delete;
    formation_driver& operator=(const formation_driver&) = delete;

    void install(const configuration& tables);
    void runner_updated(const runner& row);
    void runner_removed(const vm_id& vm);
    /// A key of the store was written (`exists`) or deleted. Keys that are not manager keys are
    /// ignored.
    void store_key_updated(const kv_entry& entry, bool exists);
    /// Whether this node's copy of the registry is up to date because the store itself answers this
    /// node, and the node's rank among the followers of the store in its failure domain.
    void set_current(bool current, std::size_t rank);
    /// Whether this node seems to reach no backend server. Such a node manages nothing.
    void set_cut_off(bool cut_off);
    /// Callers have started to send requests.
    void traffic_started();
    /// Requests that this node sent to a group's head get no response.
    void report_unresponsive_head(const vm_id& head, groups::silence_evidence evidence);
    /// Sets the function that returns whether a runner has responded to this node's requests since
    /// the given time. It is used to answer other nodes that probe a runner through this one.
    void set_response_check(std::function<bool(const vm_id&, time_point)> responded_since);
    /// `handler` is called when a runner's group changed according to the runner itself, while the
    /// store is down and the registry can't be updated.
    void on_group_changed(std::function<void()> handler);
    void tick();
    /// Ends this node's management of failure domains, on a planned stop.
    boost::asio::awaitable<void> resign(resignation which);
    void stop();

    /// Failure domains that this node manages now.
    [[nodiscard]] std::vector<failure_domain_id> managed() const;
    /// Status of each failure domain that this node manages now.
    [[nodiscard]] std::vector<groups::formation_status> status() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch
