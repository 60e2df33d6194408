// Commands: the outputs of the request core. The shell carries them out in order.
#pragma once

#include "routing/overload_limit.h"
#include "routing/request_events.h"
#include "routing/server_reach.h"

namespace jaynotch {

/// The inputs of a target choice, for the log.
struct pick_basis {
    std::uint32_t sending = 1;      ///< number of this attempt of the request, from 1
    std::uint32_t servers_used = 0; ///< of `most_servers`, before this attempt
    std::uint32_t most_servers = 0; ///< servers the route allows; 0: limited by its retries only
    double retries_left = 0.0;      ///< in the retry budget, after this attempt
    std::uint32_t own = 0;          ///< other requests of this node at the target
    double others = 0.0;            ///< estimated requests of the other nodes at the target
    std::int64_t load_age_ms = -1;  ///< since the target reported its load; -1: never
    double predicted_ms = 0.0;      ///< to the first event; 0: not predicted
    std::size_t candidates = 0;     ///< targets in the pool
    std::int64_t waited_ms = 0;     ///< since the request arrived
    std::string route;
    std::chrono::milliseconds first_target{0}; ///< the route's target for the first event; 0: none
    std::chrono::milliseconds gap_target{0};   ///< the route's target between two events; 0: none
};

/// Connect to `address` and send the request there.
struct send_attempt {
    request_id request;
    attempt_id attempt; ///< sent as `jaynotch-attempt`; unique across nodes
    target_id target;
    std::string address; ///< "ip:port"
    pool_kind kind = pool_kind::plain;
    group_id group;         ///< model pools
    fencing_number fencing; ///< model pools
    std::string model;      ///< model pools: the engine's name for the model
    std::string version;    ///< model pools
    std::string adapter;    ///< model pools; empty for none
    priority_class priority = priority_class::standard;
    vm_id instance; ///< the only server that may run it; empty: any at the address
    repeat_policy repeat = repeat_policy::never; ///< whether the HTTP client may resend it
    workspace_id workspace;                      ///< of the caller; empty if not authenticated
    time_point deadline;                         ///< latest useful end of the answer
    pick_basis basis;
    /// Continue after the text already delivered to the caller, who has received the head.
    bool resume = false;
    /// Set if `address` is that of another node, which sends the request to a server.
    std::optional<relayed_request> relayed;
};

/// Deliver the head just reported, and the body that follows, to the caller. Bytes of any other
/// attempt of this request are dropped. After a resume only the body is delivered.
struct deliver {
    request_id request;
    attempt_id attempt;
};

/// Why the node cancels an attempt that has not ended.
enum class cancel_reason {
    answer_unusable, ///< a refusal, a failure, or an answer for another attempt
    target_lost,     ///< the group lost a member
    target_silent,   ///< the target sends nothing on any of this node's requests
    stalled,         ///< no byte of this answer within the timeout
    out_of_time,     ///< the request's deadline has passed
    caller_gone,     ///< the caller disconnected
};

template <>
struct enum_names<cancel_reason> {
    static constexpr std::array entries{
        named{cancel_reason::answer_unusable, "answer_unusable"},
        named{cancel_reason::target_lost, "target_lost"},
        named{cancel_reason::target_silent, "target_silent"},
        named{cancel_reason::stalled, "stalled"},
        named{cancel_reason::out_of_time, "out_of_time"},
        named{cancel_reason::caller_gone, "caller_gone"},
    };
};

/// Cancel the attempt: close its connection, and cancel it at the engine if it was sent.
struct cancel_attempt {
    request_id request;
    attempt_id attempt;
    target_id target;
    std::string address;
    cancel_reason reason = cancel_reason::answer_unusable;
    duration silent_for{0}; ///< since the last byte of the attempt, or since it was sent
};

/// Why the attempt of a silent server continues instead of being moved to another server.
enum class hold_reason {
    retries_used,   ///< the route allows no further server or retry
    no_retry_left,  ///< the retry budget is empty
    servers_silent, ///< other servers are silent as well
    no_server_free, ///< no other server can take the request now
};

template <>
struct enum_names<hold_reason> {
    static constexpr std::array entries{
        named{hold_reason::retries_used, "retries_used"},
        named{hold_reason::no_retry_left, "no_retry_left"},
        named{hold_reason::servers_silent, "servers_silent"},
        named{hold_reason::no_server_free, "no_server_free"},
    };
};

/// The attempt's server is silent, and the attempt continues. Issued once per attempt.
struct attempt_held {
    request_id request;
    attempt_id attempt;
    hold_reason reason = hold_reason::retries_used;
    duration silent_for{0};
};

/// Final: the answer is complete; send its terminal marker.
struct complete {
    request_id request;
};

/// Final, nothing delivered yet: answer with this error.
struct refuse {
    request_id request;
    error failure;
    ran_state ran = ran_state::no;
    std::optional<std::chrono::milliseconds> retry_after;
    std::string route; ///< of the request; empty if none matches or it was refused before routing
    bool reached_server = false;    ///< a server may have received it, even if it did not run
    bool reaches_no_server = false; ///< this node reaches no server of the request's pool
};

/// Final: answer with the stored answer of an earlier call with the same key.
struct replay {
    request_id request;
    stored_answer answer;
};

/// Final, part of the answer was delivered: end it so that no client takes it for complete (in a
/// stream an error event without the terminal marker, otherwise a connection reset).
struct end_truncated {
    request_id request;
    error failure;
    std::uint32_t servers_used = 0; ///< attempts that may have run
    std::uint32_t most_servers = 0; ///< servers the route allows; 0: limited by its retries only
    double retries_left = 0.0;      ///< in the retry budget
    std::size_t silent_servers = 0; ///< of the pool
    std::size_t servers = 0;        ///< in the pool
};

/// Final, the caller has disconnected: free the request's resources.
struct forget {
    request_id request;
};

/// Status of a keyed call.
enum class key_state {
    no_record,   ///< never claimed, abandoned before it was sent, or its record has expired
    in_progress, ///< claimed, without an outcome so far
    ran,         ///< ran; the answer is stored unless it was too large
    unknown,     ///< may have run; its outcome is unknown
};

template <>
struct enum_names<key_state> {
    static constexpr std::array entries{
        named{key_state::no_record, "no_record"},
        named{key_state::in_progress, "in_progress"},
        named{key_state::ran, "ran"},
        named{key_state::unknown, "unknown"},
    };
};

/// Final answer to key_status_requested.
struct report_key_status {
    request_id request;
    key_state state = key_state::no_record;
    std::optional<stored_answer> answer;
};

/// Run a transaction; its result is reported as kv_result with the same token. A call that takes
/// longer than `core_settings::kv_timeout` is reported as an error.
struct call_kv {
    kv_token token;
    kv_transaction transaction;
};

/// Request a lease from the key-value service, which is never renewed; answered by lease_result.
struct grant_lease {
    kv_token token;
    std::chrono::seconds ttl{0};
};

/// A leaving target has no requests of this node in flight any more. Issued once per departure.
struct target_released {
    target_id target;
};

/// A group sends nothing although requests of this node are in flight there: investigate it.
struct target_silent {
    target_id target;
    vm_id instance;
    /// Streams that had begun have stopped. Otherwise only first events are missing, which may also
    /// mean that the group is busy.
    bool streams_stopped = false;
};

/// A server stated a limit on the requests per second of all entry VMs together, or no longer
/// states one: inform the other entry VMs.
struct share_limit {
    vm_id server;
    std::optional<double> per_second;
    double own_share = 0.0; ///< this node's part of it, requests per second
};

/// The number of cold servers that this node sees has changed. At most one a second.
struct cold_servers_changed {
    std::size_t cold = 0;
    std::uint32_t own_parts = 0; ///< requests a second that this node may send to all of them
    vm_id example;               ///< one of them
};

/// Find out whether a connection to a backend server can be opened; answered by server_probed.
struct probe_server {
    target_id target;
    std::string address;
    bool needs_response = false; ///< a connection that opens is not enough
};

/// Find out, in a moment, whether a server has ended that cut a connection; answered by
/// server_checked.
struct check_server_ended {
    target_id target;
    vm_id server;
    std::string address;
};

/// Send what this node has learned about a content to the other entry VMs.
struct share_evidence {
    crash_evidence evidence;
};

/// Requests with the content are refused from now on, on all nodes.
struct content_blocked {
    content_id content;
};

/// This node's belief whether it reaches the backend servers of a pool has changed.
struct reach_changed {
    pool_id pool;
    reach_state state = reach_state::reached;
};

/// This node's belief whether it reaches any group of any model has changed.
struct group_reach_changed {
    bool reaches_none = false;
};

/// Send this node's demand to the other entry VMs.
struct share_demand {
    std::vector<demand_row> rows;
};

/// This node limits its open requests more, since too few are answered in time, or not at all any
/// more.
struct overload_changed {
    std::optional<double> limit; ///< open requests; nullopt: unlimited
    std::size_t open = 0;        ///< now
    std::uint64_t refused = 0;   ///< requests refused for it so far
    overload_window window;      ///< that has lowered the limit
};

using command = std::variant<send_attempt, deliver, cancel_attempt, attempt_held, complete, refuse,
                             replay, end_truncated, forget, report_key_status, call_kv, grant_lease,
                             target_released, target_silent, share_limit, cold_servers_changed,
                             probe_server, check_server_ended, share_evidence, content_blocked,
                             reach_changed, group_reach_changed, overload_changed, share_demand>;
using command_list = std::vector<command>;

} // namespace jaynotch
