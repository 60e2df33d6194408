// What the request core tells the shell to do.
#pragma once

#include "routing/request_events.h"

namespace jaynotch {

/// What a choice of a target rested on, for the log.
struct pick_basis {
    std::uint32_t sending = 1;      ///< of this request, from 1
    std::uint32_t servers_used = 0; ///< of `most_servers`, before this sending
    std::uint32_t most_servers = 0; ///< that the route lets it run on; 0: as its retries allow
    std::uint32_t own = 0;          ///< requests of this node at the target, this one not counted
    double others = 0.0;            ///< of the other nodes, as estimated
    std::int64_t load_age_ms = -1;  ///< since the target told its load; -1: never
    double predicted_ms = 0.0;      ///< to the first event; 0: not predicted
    std::size_t candidates = 0;     ///< targets of the pool at that moment
    std::int64_t waited_ms = 0;     ///< since the request arrived
    std::string route;              ///< that the request came by
    std::chrono::milliseconds first_target{0}; ///< of the route, for the first event; 0: none
    std::chrono::milliseconds gap_target{0};   ///< of the route, between two events; 0: none
};

/// Connect to `address` and send the request there.
struct send_attempt {
    request_id request;
    attempt_id attempt; ///< goes out as `jaynotch-attempt`; unlike any other node's
    target_id target;
    std::string address; ///< "ip:port"
    pool_kind kind = pool_kind::plain;
    group_id group;         ///< model pools
    fencing_number fencing; ///< model pools
    std::string model;      ///< model pools: the name that the engine knows
    std::string version;    ///< model pools
    std::string adapter;    ///< model pools; empty for none
    priority_class priority = priority_class::standard;
    vm_id instance; ///< the only server that may run it; empty: any at the address
    repeat_policy repeat = repeat_policy::never; ///< whether the client may send it twice
    workspace_id workspace;                      ///< whose request it is; empty if nobody proved it
    time_point deadline;                         ///< after it nobody waits for the answer
    pick_basis basis;
    /// Continue after the text already given to the caller, whose head has been sent.
    bool resume = false;
};

/// Hand the head just reported, and the body that follows, to the caller. Bytes of any other
/// attempt of this request are dropped. After a resume only the body is handed on.
struct deliver {
    request_id request;
    attempt_id attempt;
};

/// Why the node gives up a sending that has not ended.
enum class cancel_reason {
    answer_unusable, ///< a refusal, a failure, or an answer that is not this sending's
    target_lost,     ///< the group lost a member
    target_silent,   ///< nothing of this node moves at the target
    stalled,         ///< no byte of this answer for too long
    out_of_time,     ///< the request's own time is over
    caller_gone,
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

/// Stop the attempt: close its connection, and cancel it at the engine if it was sent.
struct cancel_attempt {
    request_id request;
    attempt_id attempt;
    target_id target;
    std::string address;
    cancel_reason reason = cancel_reason::answer_unusable;
};

/// Final: the answer is whole; send its terminal mark.
struct complete {
    request_id request;
};

/// Final, nothing handed on yet: answer with this error.
struct refuse {
    request_id request;
    error failure;
    ran_state ran = ran_state::no;
    std::optional<std::chrono::milliseconds> retry_after;
    std::string route; ///< that the request came by; empty if none takes it
};

/// Final: answer with the stored outcome of an earlier call of the same key.
struct replay {
    request_id request;
    stored_answer answer;
};

/// Final, part of the answer was handed on: end it so that no client takes it for whole (an error
/// event without the terminal mark in a stream, a reset elsewhere).
struct end_truncated {
    request_id request;
    error failure;
};

/// Final, the caller is gone: free what the request holds.
struct forget {
    request_id request;
};

/// What is known of a keyed call.
enum class key_state {
    no_record,   ///< never claimed, given up before it was sent, or past its keeping
    in_progress, ///< claimed; its outcome is not in yet
    ran,         ///< ran; the answer is stored unless it was too large
    unknown,     ///< sent, and its outcome is lost
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

/// Carry out a transaction; the result comes back as kv_result with the token. A call that takes
/// longer than `core_settings::kv_timeout` is reported as an error.
struct call_kv {
    kv_token token;
    kv_transaction transaction;
};

/// Ask the key-value service for a lease that nobody renews; answered by lease_result.
struct grant_lease {
    kv_token token;
    std::chrono::seconds ttl{0};
};

/// A leaving target has nothing of this node in flight any more.
struct target_released {
    target_id target;
};

/// A group gives nothing although this node's requests wait for it: find out why.
struct target_silent {
    target_id target;
    vm_id instance;
};

/// A server has named a limit on the requests a second of all entry VMs together, or names none any
/// more: tell the other entry VMs.
struct share_limit {
    vm_id server;
    std::optional<double> per_second;
    double own_share = 0.0; ///< of this node
};

/// Tell the other entry VMs what this one wants.
struct share_demand {
    std::vector<demand_row> rows;
};

using command = std::variant<send_attempt, deliver, cancel_attempt, complete, refuse, replay,
                             end_truncated, forget, report_key_status, call_kv, grant_lease,
                             target_released, target_silent, share_limit, share_demand>;
using command_list = std::vector<command>;

} // namespace jaynotch
