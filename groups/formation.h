// The manager of one failure domain's groups where runners register themselves: decides which of
// them form which groups, and orders them to.
//
//   formation manager{{.self = node, .domain = failure_domain, ...}, registry};
//   run(manager.handle(runner_updated{row}, now));        // the registry, as it changes
//   run(manager.handle(formation_tick{}, now));        // ten times a second or more
//
// No record of assignments is kept: every runner tells the registry which group it is in, so a
// manager that takes over sees what the one before it did. Every daemon runs one of these for each
// failure domain; the one that holds the domain's key orders. The others keep nothing of runners:
// whoever takes the key begins with what the node's registry shows.
#pragma once

#include "groups/election.h"
#include "groups/runner_registry.h"
#include "groups/types.h"
#include "outside/runner.h"
#include "tables/tables.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch::groups {

// Events.

/// A runner's entry is new or has changed; the registry has been told. Rows of all failure domains
/// are welcome.
struct runner_updated {
    runner row;
};
/// A runner's entry is gone.
struct runner_removed {
    vm_id vm;
};
/// The model pools in force.
struct model_pools_updated {
    std::vector<pool> pools;
};
/// The manager's key, or that there is none.
struct manager_key_updated {
    std::optional<kv_entry> entry;
};
/// Whether the registry as known here is up to date by this node's own word with the platform, and
/// the node's place among those of its failure domain that see to that. Only such nodes claim keys.
struct registry_status {
    bool current = false;
    std::size_t rank = 0;
};
struct order_answered {
    call_token token;
    vm_id vm;
    order_reply reply = order_reply::lost;
};
/// A group gives nothing though requests wait for it.
struct group_unresponsive {
    vm_id head;
};
/// Answer to probe_member.
struct member_probed {
    vm_id vm;
    bool answers = false;
};
/// What other nodes say of a runner that did not answer this one: whether any of them is answered.
struct peer_probe_result {
    vm_id vm;
    bool answers = false;
};
/// The platform's store answers no node; asked for at this time.
struct outage_confirmed {
    time_point asked;
};
/// This node has told another that the store does not answer it.
struct outage_reported {};
/// Answer to request_runner_report.
struct runner_reported {
    runner_report report;
};
/// Callers have begun to send requests.
struct traffic_started {};
struct formation_tick {};

using formation_event =
    std::variant<runner_updated, runner_removed, model_pools_updated, manager_key_updated,
                 registry_status, kv_result, lease_result, order_answered, group_unresponsive,
                 member_probed, peer_probe_result, outage_confirmed, outage_reported,
                 runner_reported, peers_seen, traffic_started, formation_tick>;

// Commands.

struct send_order {
    call_token token;
    vm_id vm;
    std::string address;
    member_order order;
    fencing_number fence;
};
/// Find out whether a runner answers.
struct probe_member {
    vm_id vm;
    std::string address;
};
/// Ask the other nodes whether a runner answers them.
struct probe_through_peers {
    vm_id vm;
    std::string address;
};
/// Ask the other nodes whether the platform's store answers them.
struct query_peers_about_outage {};
/// Ask a runner for its report.
struct request_runner_report {
    vm_id vm;
    std::string address;
};
/// Tell the other nodes what the registry can't tell them now.
struct broadcast_runner {
    runner_word word;
};
using formation_command = std::variant<kv_call, lease_grant, lease_renew, lease_end, send_order,
                                       probe_member, probe_through_peers, query_peers_about_outage,
                                       request_runner_report, broadcast_runner, notice>;
using formation_commands = std::vector<formation_command>;

struct formation_settings {
    std::string deployment; ///< keeps the manager's key apart from other systems' in the store
    node_id self;
    mechanism_set mechanisms;              ///< that are switched on
    failure_domain_id own_domain;          ///< where this node stands
    failure_domain_id domain;              ///< whose runners it manages
    duration order_timeout = 1s;           ///< an order unanswered for this long counts as lost
    duration order_retry_delay = 200ms;    ///< before an order without effect is sent again
    duration foreign_claim_delay = 1500ms; ///< nodes of other domains claim the key this much later
    duration claim_stagger = 150ms;        ///< between the claims of two nodes
    std::size_t claimants_per_domain = 2;  ///< nodes of a failure domain that mostly are current
    /// Before the first request loads are quick. Groups are planned once no runner has come for
    /// this long, since who else is there decides what is best, ... Must be longer than entries
    /// gather on their way here while a fleet starts.
    duration settle_time = 2s;
    duration max_settle_time = 4s; ///< ... and no later than this after the first runner
    duration close_delay = 6s; ///< a group with a leaving member is closed this long after notice
    /// A runner that did not answer a probe isn't used for this long. Longer than the registry
    /// takes to drop the entry of a dead one (three heartbeats), or it would be used once more in
    /// between.
    duration unresponsive_hold_time = 5s;
    duration outage_query_interval = 300ms; ///< between two questions about an outage of the store
    /// Between two questions to a runner for its report.
    duration report_query_interval = 150ms;
    /// Longer than reports are old; one that is asked for this long after an order counts it.
    duration max_report_age = 250ms;
    duration peer_probe_timeout = 500ms; ///< for the other nodes' word on a silent head
    /// Entries that ran out while a living runner could not reach the store are back within this
    /// time, as the store's operators tell; what is missing for longer counts as gone.
    duration entry_grace_period = 2s;
    /// A composition that an earlier manager ordered is given this long to come together. Joins
    /// that load nothing take less.
    duration adopted_group_timeout = 5s;
};

/// For status pages, metrics and logs.
struct formation_status {
    bool leading = false;
    bool store_unreachable = false; ///< leads, and the store does not renew its lease
    std::int64_t term = 0;
    std::size_t groups_open = 0;
    std::size_t groups_forming = 0;
    std::size_t spare_runners = 0;
    std::uint64_t orders = 0;
};

/// Pure: no clock, no sockets, no threads.
class formation_manager {
public:
    /// `known` is shared by all managers of a node and must outlive them.
    formation_manager(formation_settings settings, const runner_registry& known);
    ~formation_manager();
    formation_manager(formation_manager&&) noexcept;
    formation_manager& operator=(formation_manager&&) noexcept;
    formation_manager(const formation_manager&) = delete;
    formation_manager& operator=(const formation_manager&) = delete;

    formation_commands handle(const formation_event& event, time_point now);
    /// Gives the domain up, on a planned stop.
    formation_commands resign();
    /// Whether this node orders the domain's runners now.
    [[nodiscard]] bool leading(time_point now) const;
    /// Counts are of the runners as the manager knows them; zero where it does not lead.
    [[nodiscard]] formation_status status(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// The key of a failure domain's manager.
std::string formation_key(std::string_view deployment, const failure_domain_id& domain);

} // namespace jaynotch::groups
