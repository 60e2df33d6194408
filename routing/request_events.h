// What the shell tells the request core: one struct for each thing that can happen.
#pragma once

#include "base/base.h"
#include "outside/kv_types.h"
#include "routing/rate_limits.h"
#include "tables/tables.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

/// Who can be sent a request: a complete group (its id) or a plain backend server ("address:port").
using target_id = strong_id<struct target_tag, std::string>;

/// Names a call on the key-value service until its result is in; unique within one core.
using kv_token = strong_id<struct kv_token_tag, std::uint64_t>;

/// Load as a target last reported it.
struct target_load {
    std::uint32_t running = 0; ///< requests in the engine's batch, of all entry VMs
    std::uint32_t waiting = 0; ///< requests queued in the engine
    double kv_used = 0.0;      ///< share of the KV cache in use, 0..1
};

/// A complete group, as the holder of its completeness ticket describes it.
struct target {
    target_id id;
    pool_id pool;
    std::string address; ///< "ip:port" of the member of rank 0
    group_id group;
    fencing_number fencing;
    std::string version;
    std::vector<std::string> adapters;
    target_load load;
    std::chrono::milliseconds load_age{0}; ///< since the engine reported it
    bool leaving = false;                  ///< finishes what it has, gets nothing new
    vm_id instance;                        ///< the only server that may run what is sent; or empty
    failure_domain_id failure_domain;      ///< where it stands; empty if not known
    std::uint32_t places = 0;              ///< requests at once; 0: as the pool says

    friend bool operator==(const target& a, const target& b) { return a.id == b.id; }
};

/// What the caller asks for.
struct request_info {
    request_id id; ///< chosen by the shell, never used twice
    request_kind kind = request_kind::plain;
    std::string method; ///< plain requests: "GET"
    std::string path;   ///< plain requests: path without the query
    std::string host;   ///< plain requests: as the caller names it, in lower case, without a port
    std::string credential; ///< key of the caller, where the tables name workspaces by keys
    std::string model;      ///< chat and completion: as the caller names it
    workspace_id workspace;
    std::string idempotency_key; ///< empty for none
    /// Digest over method, path with query, and body; needed with an idempotency key.
    std::string body_digest;
    /// Chained hashes of the prompt's blocks: element i covers blocks 0..i. Only the first 64
    /// count.
    std::vector<std::uint64_t> prefix_blocks;
    std::uint32_t prompt_tokens = 0; ///< estimate
    std::uint32_t answer_tokens = 0; ///< estimate, for example max_tokens
    /// When the caller stops waiting for the first byte; the route's timeout bounds it too.
    std::optional<time_point> deadline;
    bool stream = false;
    /// Whether the shell holds the whole body and can send it a second time.
    bool body_buffered = true;
};

/// A request was read: its head, and for models and keyed calls its body.
struct request_arrived {
    request_info request;
};

/// The first byte is about to leave. Report it BEFORE the write starts: a request of which a byte
/// may have left is never called "did not run". Once more if the attempt is sent to the same server
/// on a new connection.
struct attempt_sent {
    request_id request;
    attempt_id attempt;
};

/// The head of an answer is in.
struct attempt_head {
    request_id request;
    attempt_id attempt;
    std::uint32_t status = 0;
    /// The attempt that the answer names; empty if it names none.
    std::optional<attempt_id> echoed;
    /// The backend server itself says that the request did not run (`jaynotch-ran: no`).
    bool reported_not_run = false;
    std::string version;         ///< model version that the engine names; empty if it names none
    bool wrong_instance = false; ///< another server answers at that address
    bool buffered = false;       ///< a whole answer, held by the shell, and no part of a stream
};

/// Part of an answer's body is in.
struct attempt_progress {
    request_id request;
    attempt_id attempt;
    std::uint32_t tokens = 0; ///< or chunks, for plain answers
};

/// A part of the answer was read from the target and is now being written to the caller. Until the
/// attempt_progress that follows, a silence is the caller's and not the target's.
struct attempt_writing_to_caller {
    request_id request;
    attempt_id attempt;
};

/// What is kept of an answer, to be given again to a repeat of a keyed call.
struct stored_answer {
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// The answer ended. `whole`: by its terminal mark and at its stated length.
struct attempt_finished {
    request_id request;
    attempt_id attempt;
    bool buffered = false;
    /// Keyed calls: the answer; none if it is larger than `core_settings::max_stored_answer_bytes`.
    std::optional<stored_answer> answer;
};

/// Why an attempt came to nothing.
enum class attempt_failure {
    not_connected,       ///< no byte left
    refused_did_not_run, ///< the backend server says that it did not run
    cut,                 ///< the connection ended before the answer did
    stalled,             ///< no byte for too long
    protocol,            ///< the answer breaks the protocol: wrong lengths, empty 200, twice
    wrong_attempt,       ///< the answer names another attempt
    version_changed,     ///< the answer is of another model version or adapter
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

/// An attempt came to nothing. Its connection must be closed, never used again.
struct attempt_failed {
    request_id request;
    attempt_id attempt;
    attempt_failure reason = attempt_failure::cut;
};

/// The caller's connection ended before its answer did.
struct caller_gone {
    request_id request;
};

/// A caller asks what became of a keyed call. Answered by `report_key_status` (or `refuse`).
struct key_status_requested {
    request_id request; ///< chosen by the shell like a request's
    workspace_id workspace;
    std::string idempotency_key;
};

/// Answer to a `call_kv`. An error means: not known whether it took effect.
struct kv_result {
    kv_token token;
    result<kv_outcome> outcome;
};

/// Answer to a `grant_lease`.
struct lease_result {
    kv_token token;
    result<lease_id> lease;
};

/// The complete groups, all of them; replaces what was known. A group that is not in it any more
/// gets nothing new, and what it has goes on (see group_broken).
struct groups_changed {
    std::vector<target> groups;
};

/// The plain servers that the platform lists, all of them; replaces what was known. From then on
/// those of the tables don't count.
struct servers_changed {
    std::vector<target> servers;
};

/// How many entry VMs share the budgets of retries.
struct fleet_size_updated {
    std::size_t nodes = 1;
};

/// A group lost a member: what it has in flight will not come; it is sent elsewhere if its route
/// allows.
struct group_broken {
    target_id group;
};

/// A target says that it is leaving (or, restarted, that it is not any more): the VM list, the
/// server's own word or a peer. Ends in `released` once nothing of this node is in flight there.
struct target_leaving {
    target_id target;
    bool leaving = true;
};

/// A target's load report.
struct load_reported {
    target_id target;
    target_load load;
    std::chrono::milliseconds age{0};
};

/// An answer of a target came and named the requests a second that it takes of all entry VMs
/// together, or named no limit.
struct response_limit_received {
    target_id target;
    std::optional<double> per_second;
};

/// Another entry VM got such an answer, `age` ago.
struct peer_limit_received {
    vm_id server;
    std::optional<double> per_second;
    duration age{0};
};

/// The entry VMs that share servers' limits. About once a second, also if none has changed.
struct fleet_updated {
    std::vector<fleet_member> members;
};

/// One change of an engine's prefix cache. Late, with gaps, a hint.
struct prefix_event {
    std::uint64_t prefix = 0; ///< chained block hash as in request_info::prefix_blocks
    bool evicted = false;     ///< else stored
};

struct cache_events_received {
    target_id target;
    std::vector<prefix_event> events;
    bool gap = false; ///< events between the last batch and this one are lost
};

/// A new configuration is in force.
struct tables_installed {
    configuration tables;
};

/// How much one node wants of a pool for one workspace.
struct demand_row {
    pool_id pool;
    workspace_id workspace;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;

    friend bool operator==(const demand_row&, const demand_row&) = default;
};

/// Another entry VM's demand, by gossip; replaces what was known of that node.
struct peer_demand_received {
    node_id node;
    std::vector<demand_row> rows;
};

/// A node has left the membership; its demand is forgotten.
struct peer_left {
    node_id node;
};

/// Time goes on: queues, timeouts, ejections, claims. Every 10 to 50 ms.
struct tick {};

using event =
    std::variant<request_arrived, attempt_sent, attempt_head, attempt_progress,
                 attempt_writing_to_caller, attempt_finished, attempt_failed, caller_gone,
                 key_status_requested, kv_result, lease_result, groups_changed, servers_changed,
                 fleet_size_updated, fleet_updated, group_broken, target_leaving, load_reported,
                 response_limit_received, peer_limit_received, cache_events_received,
                 tables_installed, peer_demand_received, peer_left, tick>;

} // namespace jaynotch
