// Manages the groups of one failure domain in deployments where backend servers ("runners")
// register themselves: decides which runners form which groups and sends them the orders.
//
//   formation_manager manager{{.self = node, .domain = failure_domain, ...}, registry};
//   run(manager.handle(runner_updated{row}, now));  // on every change of the registry
//   run(manager.handle(formation_tick{}, now));     // at least ten times a second
//
// A group is a set of runners that serve one model together. Its head, the member of rank 0, takes
// the requests. Each set of members is a composition of the group with an epoch of its own. A spare
// is a runner in no group.
//
// Assignments are not stored: every runner publishes its group in the registry, so a new manager
// sees what its predecessor did. Every daemon runs one instance per failure domain; only the one
// that holds the domain's key sends orders. The other instances hold no runner state; an instance
// that obtains the key starts from the contents of the node's registry.
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

/// A runner's entry was added or changed; the runner_registry has been updated. Rows of other
/// failure domains are ignored.
struct runner_updated {
    runner row;
};
/// A runner's entry was removed.
struct runner_removed {
    vm_id vm;
};
/// The model pools in force.
struct model_pools_updated {
    std::vector<pool> pools;
};
/// The manager's key in the store; nullopt if it does not exist.
struct manager_key_updated {
    std::optional<kv_entry> entry;
};
/// Whether this node reads the registry from the platform itself and is up to date, and the node's
/// rank among the nodes of its failure domain that do so. Only such nodes claim keys.
struct registry_status {
    bool current = false;
    std::size_t rank = 0;
};
/// Whether this node seems to reach no backend server. A node that reaches none manages nothing.
struct server_reach_changed {
    bool cut_off = false;
};
struct order_answered {
    call_token token;
    vm_id vm;
    order_reply reply = order_reply::lost;
};
/// What shows that a group sends no output although requests are waiting for it.
enum class silence_evidence {
    awaited_response, ///< requests of this node have got no first event
    stopped_streams,  ///< streams of this node have stopped
    peer_report,      ///< another node reports that its streams have stopped
};
struct group_unresponsive {
    vm_id head;
    silence_evidence evidence = silence_evidence::stopped_streams;
};
/// What a probe shows of a runner.
enum class probe_outcome {
    answered,
    /// Its host accepted the connection, but no response came in time: its process has stopped, and
    /// may continue.
    accepted,
    unreachable,
};
/// Answer to probe_member.
struct member_probed {
    vm_id vm;
    probe_outcome outcome = probe_outcome::unreachable;
};
/// Answer to probe_through_peers: whether the runner answered any other node.
struct peer_probe_result {
    vm_id vm;
    bool answers = false;
};
/// The platform's store answers no node. `asked` is when this node sent its question.
struct outage_confirmed {
    time_point asked;
};
/// This node has answered a peer that the store does not answer this node.
struct outage_reported {};
/// The store has come back from an earlier copy of itself.
struct store_restored {};
/// Answer to request_runner_report.
struct runner_reported {
    runner_report report;
};
/// request_runner_report was not answered in time.
struct runner_report_missed {
    vm_id vm;
};
/// The first request of a caller has arrived.
struct traffic_started {};
struct formation_tick {};

using formation_event =
    std::variant<runner_updated, runner_removed, model_pools_updated, manager_key_updated,
                 registry_status, server_reach_changed, kv_result, lease_result, order_answered,
                 group_unresponsive, member_probed, peer_probe_result, outage_confirmed,
                 outage_reported, store_restored, runner_reported, runner_report_missed, peers_seen,
                 traffic_started, formation_tick>;

// Commands.

struct send_order {
    call_token token;
    vm_id vm;
    std::string address;
    member_order order;
    fencing_number fence;
    duration timeout;
};
/// Checks whether a runner answers.
struct probe_member {
    vm_id vm;
    std::string address;
    duration timeout;
};
/// Asks the other nodes whether a runner answers them.
struct probe_through_peers {
    vm_id vm;
    std::string address;
};
/// Tells the domain's manager, another node, that a group is unresponsive.
struct report_to_manager {
    node_id manager;
    vm_id head;
};
/// Asks the other nodes whether the platform's store answers them.
struct query_peers_about_outage {};
/// Asks a runner for its report.
struct request_runner_report {
    vm_id vm;
    std::string address;
    duration timeout;
};
/// Sends a runner's state to the other nodes while the registry can't be written.
struct broadcast_runner {
    runner_word word;
};
using formation_command =
    std::variant<kv_call, lease_grant, lease_renew, lease_end, send_order, probe_member,
                 probe_through_peers, report_to_manager, query_peers_about_outage,
                 request_runner_report, broadcast_runner, notice>;
using formation_commands = std::vector<formation_command>;

struct formation_settings {
    std::string deployment; ///< prefix of the manager's key; separates systems that share a store
    node_id self;
    mechanism_set mechanisms;     ///< enabled mechanisms
    failure_domain_id own_domain; ///< failure domain that this node runs in
    failure_domain_id domain;     ///< failure domain whose runners are managed
    /// Timeout of an order. A runner answers within a few milliseconds, or within about 200 ms if
    /// TCP retransmits once. Runners sometimes leave an order unanswered, and forming a group takes
    /// three rounds of orders. Doubled, like the timeout of a probe, with each one in a row that
    /// the same runner has left unanswered: a runner that is late is no reason to do more.
    duration order_timeout = 300ms;
    duration max_order_timeout = 2'400ms;
    duration order_retry_delay = 200ms; ///< delay before a refused order is sent again
    /// Additional delay before nodes of other failure domains claim the key.
    duration foreign_claim_delay = 1500ms;
    duration claim_stagger = 150ms; ///< delay between the claims of consecutive nodes
    /// Expected number of nodes per failure domain whose registry_status is current.
    std::size_t claimants_per_domain = 2;
    /// Groups are planned once no new runner has registered for this long, because the best plan
    /// depends on all runners. Must exceed the time for which entries can be batched on their way
    /// to this node while a fleet starts. Loading is fast until the first request arrives.
    duration settle_time = 2s;
    duration max_settle_time = 4s; ///< upper bound on settling, from the first runner
    /// A group with a leaving member is closed this long after the member announced its departure.
    duration close_delay = 6s;
    /// A runner that did not answer a probe is not used for this long. Must exceed the time after
    /// which the registry drops a dead runner's entry (three heartbeats); otherwise a dead runner
    /// would be used once more in between.
    duration unresponsive_hold_time = 5s;
    duration probe_timeout = 200ms; ///< of the first probe; see order_timeout
    duration max_probe_timeout = 1'600ms;
    /// Interval between two probes of a member whose host accepts connections but which does not
    /// answer.
    duration silence_probe_interval = 500ms;
    /// Such a member of a serving group counts as lost after this time at the latest while the
    /// store is unreachable. Must exceed the time after which the registry drops a dead runner's
    /// entry. While the store is reachable, a member that keeps its entry is alive, and it counts
    /// as lost only after this time and the time of a load, which its replacement may take.
    duration max_silence = 5s;
    /// The same in a group that serves nothing yet.
    duration max_forming_silence = 1'400ms;
    duration outage_query_interval = 300ms; ///< between two queries about an outage of the store
    duration report_query_interval = 150ms; ///< between a report of a runner and the next request
    /// Timeout of a report request. Doubled, like the interval, with each request in a row that is
    /// not answered, so that requests don't pile up at runners that are late.
    duration report_timeout = 200ms;
    duration max_report_timeout = 3'200ms;
    /// Upper bound on the age of a report: a report requested this long after an order includes
    /// that order in its count.
    duration max_report_age = 250ms;
    duration peer_probe_timeout = 500ms; ///< wait for other nodes' probes of an unresponsive head
    /// Interval between two probes of one group, however many nodes report it as unresponsive.
    duration group_probe_interval = 200ms;
    /// Groups probed per second because of other nodes' reports, and how many at once. Bounds the
    /// manager's work when many groups stop or a large fleet is congested.
    double peer_report_probes_per_s = 20.0;
    /// Time for a composition ordered by an earlier manager to become complete. Joins that load no
    /// weights take less.
    duration adopted_group_timeout = 5s;
    /// Compositions that one term can number; a manager that has used them gives up its key. At
    /// most 4,095, because an epoch consists of the term and a number of 12 bits.
    std::int64_t max_groups_per_term = 4'095;
};

/// For status pages, metrics and logs.
struct formation_status {
    bool leading = false;
    bool store_unreachable = false; ///< this node leads, but lease renewals fail
    std::int64_t term = 0;
    std::size_t groups_open = 0;
    std::size_t groups_forming = 0;
    std::size_t spare_runners = 0;
    std::uint64_t orders = 0;
};

/// Pure state machine: uses no clock, sockets or threads.
class formation_manager {
public:
    /// `known` is shared by all managers of a node and must outlive this object.
    formation_manager(formation_settings settings, const runner_registry& known);
    ~formation_manager();
    formation_manager(formation_manager&&) noexcept;
    formation_manager& operator=(formation_manager&&) noexcept;
    formation_manager(const formation_manager&) = delete;
    formation_manager& operator=(const formation_manager&) = delete;

    formation_commands handle(const formation_event& event, time_point now);
    /// Gives up the domain's key on a planned stop.
    formation_commands resign();
    /// Whether this node is currently the domain's manager.
    [[nodiscard]] bool leading(time_point now) const;
    /// The counts are zero on a node that does not hold the domain's key.
    [[nodiscard]] formation_status status(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Store key that holds the manager of a failure domain.
std::string formation_key(std::string_view deployment, const failure_domain_id& domain);

} // namespace jaynotch::groups

namespace jaynotch {

template <>
struct enum_names<groups::silence_evidence> {
    static constexpr std::array entries{
        named{groups::silence_evidence::awaited_response, "awaited_response"},
        named{groups::silence_evidence::stopped_streams, "stopped_streams"},
        named{groups::silence_evidence::peer_report, "peer_report"},
    };
};

} // namespace jaynotch
