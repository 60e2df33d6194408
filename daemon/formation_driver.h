// Drives the managers of groups (groups/formation.h), one for each failure domain that has runners:
// hands them what the registry says and carries out what they want.
//
//   formation_driver managers{io, settings, kv, peers, registry};
//   managers.runner_seen(row);        // once the registry has it
//   managers.tick();                  // after each batch, and ten times a second
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

/// Which failure domains a node gives up on its way out.
enum class resignation {
    /// Not those that nobody else could take over now, since the store is down.
    where_possible,
    all,
};

class formation_driver {
public:
    /// All of these must outlive the driver.
    formation_driver(boost::asio::io_context& io, const daemon_settings& settings, kv_service& kv,
                     peer_service& peers, groups::runner_registry& registry);
    ~formation_driver();
    formation_driver(const formation_driver&) = delete;
    formation_driver& operator=(const formation_driver&) = delete;

    void install(const configuration& tables);
    void runner_seen(const runner& row);
    void runner_gone(const vm_id& vm);
    /// A key of the store that may be a manager's.
    void store_key_updated(const kv_entry& entry, bool there);
    /// Whether this node's registry is up to date by its own word with the store, and its place
    /// among the nodes of its failure domain that see to that.
    void set_current(bool current, std::size_t rank);
    void traffic_begun();
    /// A group's head is silent towards this node.
    void report_unresponsive_head(const vm_id& head);
    /// How this node knows whether requests reach a runner, for other nodes that ask.
    void set_response_check(std::function<bool(const vm_id&)> responded_recently);
    /// A runner's group changed while the registry could not tell.
    void on_group_changed(std::function<void()> handler);
    void tick();
    /// Gives failure domains up, on a planned stop.
    boost::asio::awaitable<void> resign(resignation which);
    void stop();

    /// Failure domains that this node manages now.
    [[nodiscard]] std::vector<failure_domain_id> managed() const;
    /// Of each failure domain that this node manages.
    [[nodiscard]] std::vector<groups::formation_status> status() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch
