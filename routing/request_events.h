// Events: the inputs of the request core, one struct for each kind. The shell (the I/O code around
// the core) passes them to request_core::handle().
#pragma once

#include "base/base.h"
#include "outside/kv_types.h"
#include "routing/crash_suspects.h"
#include "routing/rate_limits.h"
#include "tables/tables.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

/// Destination of requests: a complete group (its id) or a plain backend server ("address:port").
using target_id = strong_id<struct target_tag, std::string>;

/// Matches a call to the key-value service with its result; unique within one core.
using kv_token = strong_id<struct kv_token_tag, std::uint64_t>;

/// Load as last reported by a target.
struct target_load {
    std::uint32_t running = 0; ///< requests in the engine's batch, from all entry VMs
    std::uint32_t waiting = 0; ///< requests queued in the engine
    double kv_used = 0.0;      ///< fraction of the KV cache in use, 0..1
};

/// A complete group, as described by the holder of its completeness ticket, or a plain backend
/// server.
struct target {
    target_id id;
    pool_id pool;
    std::string address; ///< "ip:port" of the member of rank 0
    group_id group;
    fencing_number fencing;
    std::string version;
    std::vector<std::string> adapters;
    target_load load;
    std::chrono::milliseconds load_age{0}; ///< since the engine reported `load`
    bool leaving = false;                  ///< draining: gets no new requests
    vm_id instance;                        ///< the only server that may run the requests, or empty
    failure_domain_id failure_domain;      ///< empty if unknown
    std::uint32_t places = 0;              ///< max concurrent requests; 0: the pool's setting
    time_point cold_until;                 ///< its server is cold until then; see pool::cold_per_s

    friend bool operator==(const target& a, const target& b) { return a.id == b.id; }
};

/// What another node states about a request that it passes on to this one.
struct relayed_request {
    std::uint32_t servers_used = 0; ///< servers that may have run it so far
    bool first_attempt = true;      ///< it has been sent neither to a server nor to a node before
};

/// Another node to which requests can be passed on when this one reaches no backend server.
struct relay_node {
    node_id node;
    failure_domain_id failure_domain;
    std::string address; ///< "ip:port"
    bool accepts = true; ///< new requests; a node that leaves still finishes those it has
};

/// The caller's request.
struct request_info {
    request_id id; ///< assigned by the shell, never reused
    request_kind kind = request_kind::plain;
    std::string method;     ///< plain requests: "GET"
    std::string path;       ///< plain requests: path without the query
    std::string host;       ///< plain requests: from the request, in lower case, without the port
    std::string credential; ///< the caller's key, if the tables identify workspaces by keys
    std::string model;      ///< chat and completion: name given by the caller
    workspace_id workspace;
    std::string idempotency_key; ///< empty for none
    /// Digest over method, path with query, and body; required with an idempotency key.
    std::string body_digest;
    /// Chained hashes of the prompt's blocks: element i covers blocks 0..i. Only the first 64 are
    /// used.
    std::vector<std::uint64_t> prefix_blocks;
    /// What a server may end under: the request itself, and what it shares with others.
    std::vector<content_id> contents;
    std::uint32_t prompt_tokens = 0; ///< estimate
    std::uint32_t answer_tokens = 0; ///< estimate, for example max_tokens
    /// When the caller stops waiting for the first byte. The route's timeout applies as well.
    std::optional<time_point> deadline;
    bool stream = false;
    /// Whether the shell has buffered the body and can send it again.
    bool body_buffered = true;
    std::optional<relayed_request> relayed; ///< set if another node passed it on
};

/// A request was read: its headers, and for model and keyed calls its body.
struct request_arrived {
    request_info request;
};

/// The first byte is about to be written. Must be reported BEFORE the write starts: a request of
/// which a byte may have been sent is never reported as "did not run". Reported again if the
/// attempt is resent to the same server on a new connection.
struct attempt_sent {
    request_id request;
    attempt_id attempt;
};

/// A new connection was opened for the attempt.
struct attempt_connected {
    request_id request;
    attempt_id attempt;
};

/// Another node's own refusal of a request that was passed on to it.
struct relay_refusal {
    error failure;
    ran_state ran = ran_state::unknown;
    std::optional<std::chrono::milliseconds> retry_after;
    bool reached_server = false;    ///< a server may have received the request
    bool reaches_no_server = false; ///< that node reaches no server of the pool either
};

/// The head (status and headers) of an answer was received.
struct attempt_head {
    request_id request;
    attempt_id attempt;
    std::uint32_t status = 0;
    /// The attempt id that the answer carries, if any.
    std::optional<attempt_id> echoed;
    /// The backend server reported that the request did not run (`jaynotch-ran: no`).
    bool reported_not_run = false;
    std::string version;                  ///< model version stated by the engine, or empty
    bool wrong_instance = false;          ///< a server other than target::instance answered
    bool buffered = false;                ///< a complete answer buffered by the shell, not a stream
    std::optional<relay_refusal> refusal; ///< set if the node that it was passed on to refused it
};

/// Part of an answer's body was received.
struct attempt_progress {
    request_id request;
    attempt_id attempt;
    std::uint32_t tokens = 0; ///< chunks, for plain answers
};

/// Part of the answer was read from the target and is being written to the caller. Until the next
/// attempt_progress, a pause is due to the caller and does not count as a stall of the target.
struct attempt_writing_to_caller {
    request_id request;
    attempt_id attempt;
};

/// Stored answer of a keyed call, replayed when the call is repeated.
struct stored_answer {
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// The answer ended.
struct attempt_finished {
    request_id request;
    attempt_id attempt;
    bool complete = false; ///< with its terminal marker and the stated length
    /// Keyed calls: the answer; none if it exceeds `core_settings::max_stored_answer_bytes`.
    std::optional<stored_answer> answer;
};

/// Why an attempt failed.
enum class attempt_failure {
    not_connected,       ///< no byte was sent
    refused_did_not_run, ///< the backend server reported that the request did not run
    cut,                 ///< the connection was closed before the answer was complete
    stalled,             ///< no byte received within the timeout
    protocol,            ///< protocol violation: wrong length, empty 200, second answer
    wrong_attempt,       ///< the answer carries another attempt's id
    version_changed,     ///< the answer is from another model version or adapter
};

template <>
struct enum_names<attempt_failure> {
    static constexpr std::array entries{
        named{attempt_failure::not_connected, "not_connected"},
        named{attempt_failure::refused_did_not_run, "refused_did_not_run"},
        named{attempt_failure::cut, "cut"},
        named{attempt_failure::stalled, "stalled"},
        named{attempt_failure::protocol, "protocol"},
        named{attempt_failure::wrong_attempt, "wrong_attempt"},
        named{attempt_failure::version_changed, "version_changed"},
    };
};

/// An attempt failed. The shell must close its connection and not reuse it.
struct attempt_failed {
    request_id request;
    attempt_id attempt;
    attempt_failure reason = attempt_failure::cut;
};

/// The caller's connection was closed before its answer was complete.
struct caller_gone {
    request_id request;
};

/// A caller asks for the status of a keyed call. Answered by `report_key_status` (or `refuse`).
struct key_status_requested {
    request_id request; ///< assigned by the shell, from the ids of requests
    workspace_id workspace;
    std::string idempotency_key;
};

/// Result of a `call_kv`. On an error the transaction may or may not have taken effect.
struct kv_result {
    kv_token token;
    result<kv_outcome> outcome;
};

/// Result of a `grant_lease`.
struct lease_result {
    kv_token token;
    result<lease_id> lease;
};

/// All complete groups; replaces the previous list. A group no longer listed gets no new requests;
/// its requests in flight continue (see group_broken).
struct groups_changed {
    std::vector<target> groups;
};

/// All plain servers listed by the platform; replaces the previous list. After the first such event
/// the servers in the tables are ignored.
struct servers_changed {
    std::vector<target> servers;
};

/// The other nodes that accept requests passed on to them; replaces the previous list.
struct relay_nodes_changed {
    std::vector<relay_node> nodes;
};

/// Result of a `probe_server`.
struct server_probed {
    target_id target;
    bool connected = false; ///< a new connection to the server was opened
};

/// Number of entry VMs that share the retry budgets.
struct fleet_size_updated {
    std::size_t nodes = 1;
};

/// A group lost a member: its requests in flight will not be answered. They are sent to another
/// target if their routes allow it.
struct group_broken {
    target_id group;
};

/// A target is leaving, according to the VM list, the server itself or a peer (or has restarted and
/// is no longer leaving). Leads to `target_released` once no request of this node is in flight
/// there.
struct target_leaving {
    target_id target;
    bool leaving = true;
};

/// A target reported its load, `age` ago.
struct load_reported {
    target_id target;
    target_load load;
    std::chrono::milliseconds age{0};
};

/// An answer of a target stated its limit on the requests per second of all entry VMs together, or
/// stated none.
struct response_limit_received {
    target_id target;
    std::optional<double> per_second;
};

/// A target refused a request and wants no further one from this node for `pause`. To be reported
/// before the answer's head.
struct server_pause_requested {
    target_id target;
    std::chrono::milliseconds pause{0};
};

/// Another entry VM received such an answer (see response_limit_received), `age` ago.
struct peer_limit_received {
    vm_id server;
    std::optional<double> per_second;
    duration age{0};
};

/// Result of a `check_server_ended`.
struct server_checked {
    target_id target;
    vm_id server;
    bool ended = false; ///< it accepts no connection any more
};

/// What another entry VM has learned about a content.
struct peer_evidence_received {
    crash_evidence evidence;
};

/// Another entry VM has started and knows nothing yet.
struct peer_started {};

/// The entry VMs that share the servers' rate limits. Sent about once a second, changed or not.
struct fleet_updated {
    std::vector<fleet_member> members;
};

/// A change of an engine's prefix cache. Only a hint: it may be late, and others may be missing.
struct prefix_event {
    std::uint64_t prefix = 0; ///< chained block hash as in request_info::prefix_blocks
    bool evicted = false;     ///< false: stored
};

struct cache_events_received {
    target_id target;
    std::vector<prefix_event> events;
    bool gap = false; ///< events between the previous batch and this one were lost
};

/// A new configuration takes effect.
struct tables_installed {
    configuration tables;
};

/// Demand of one node for a pool on behalf of one workspace.
struct demand_row {
    pool_id pool;
    workspace_id workspace;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;

    friend bool operator==(const demand_row&, const demand_row&) = default;
};

/// Another entry VM's demand, received by gossip; replaces the previous demand of that node.
struct peer_demand_received {
    node_id node;
    std::vector<demand_row> rows;
};

/// A node has left the membership; its demand is discarded, and its unfinished claims count as of
/// unknown outcome.
struct peer_left {
    node_id node;
};

/// The node stops. All requests must have their final answer at `deadline`.
struct stop_begun {
    time_point deadline;
};

/// Drives timeouts, queues, ejections and claims. Sent every 10 to 50 ms.
struct tick {};

using event =
    std::variant<request_arrived, attempt_sent, attempt_connected, attempt_head, attempt_progress,
                 attempt_writing_to_caller, attempt_finished, attempt_failed, caller_gone,
                 key_status_requested, kv_result, lease_result, groups_changed, servers_changed,
                 relay_nodes_changed, server_probed, server_checked, peer_evidence_received,
                 peer_started, fleet_size_updated, fleet_updated, group_broken, target_leaving,
                 load_reported, response_limit_received, server_pause_requested,
                 peer_limit_received, cache_events_received, tables_installed, peer_demand_received,
                 peer_left, stop_begun, tick>;

} // namespace jaynotch
