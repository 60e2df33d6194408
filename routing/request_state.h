// Internals of the request core: its state and the functions that handle each event, grouped by the
// source file that defines them. Not part of the public interface.
#pragma once

#include "routing/caller_timeout_estimate.h"
#include "routing/claim_manager.h"
#include "routing/cold_servers.h"
#include "routing/outliers.h"
#include "routing/overload_limit.h"
#include "routing/pool_table.h"
#include "routing/request_core.h"
#include "routing/response_delay.h"
#include "routing/retry_budgets.h"
#include "routing/route_index.h"
#include "routing/server_pauses.h"
#include "routing/target_table.h"

#include <set>
#include <span>
#include <unordered_map>
#include <variant>

namespace jaynotch {

/// Fraction of a request's remaining time that its estimated wait may take before it is refused.
/// Below 1 because the estimate is a mean, and a request dispatched at the last moment misses its
/// deadline in the engine, which wastes the engine's work.
constexpr double max_queued_fraction = 0.5;

/// Whether the answer to a request has begun in time, for the overload limit.
enum class answer_begin { unsent, awaited, judged };

enum class end_of_answer { complete, out_of_time };

/// Phase of a request.
enum class request_phase {
    claiming,       ///< keyed: waits for its claim to be resolved
    queued,         ///< waits in its pool's queue
    sending,        ///< an attempt is in flight; no head received
    answering,      ///< the attempt's answer is being delivered
    awaiting_retry, ///< a stream that has begun was cut, and the retry budget is empty
    querying_key,   ///< not a call but a status query for an idempotency key
};

/// The current attempt of a request.
struct attempt_row {
    attempt_id id;
    target_row_index target = no_target;
    bool sent = false;     ///< a byte may have been sent
    bool repeated = false; ///< resent to the same server: the first sending may have run
    bool first_part_received = false;
    std::uint32_t events = 0;         ///< of a stream, received so far
    bool waits_for_caller = false;    ///< a part of the answer is being written to the caller
    bool held = false;                ///< attempt_held was issued
    std::uint32_t pending_tokens = 0; ///< prompt tokens counted at the target until it answers
    double held_tokens = 0.0;         ///< tokens counted at the target until the attempt ends
    time_point started;
    time_point first_part; ///< when the answer began; valid if first_part_received
    duration predicted{0}; ///< until the answer begins; where the engines' speed is known
    bool noted_served = false;
    time_point last_part; ///< when the last part of the answer was received; valid in `answering`
    std::string version;
};

/// The request's copy of its route's settings, so that a change of the tables does not affect it.
struct request_terms {
    pool_index pool = 0;
    std::string route;
    std::chrono::milliseconds first_target{0}; ///< latency target for the first event; 0: none
    std::chrono::milliseconds gap_target{0};   ///< latency target between two events; 0: none
    std::string adapter;
    priority_class priority = priority_class::standard;
    repeat_policy repeat = repeat_policy::idempotent;
    std::uint32_t retries = 0;
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds longest_stream{0};
    std::chrono::seconds key_keeping{0};
    bool resumable = false;           ///< an interrupted stream may resume on another target
    bool retry_server_errors = false; ///< a status 500 may be retried on another server
    std::uint32_t most_servers = 0;   ///< servers it may run on; 0: limited by `retries` only
};

struct request_row {
    request_info info;
    request_terms terms;
    request_phase phase = request_phase::queued;
    bool keyed = false;          ///< has a claim, or is about to make one
    bool reached_server = false; ///< a server may have received it, through this node
    bool may_have_run = false;   ///< an attempt ended with unknown outcome; never reset
    bool head_delivered = false; ///< the head of an answer was delivered to the caller
    bool caller_left = false;    ///< keyed: continues without its caller to record the outcome
    bool has_attempt = false;
    /// Can no longer meet its route's first target: queued behind requests that still can.
    bool late = false;
    std::string delivered_version; ///< model version of the partly delivered answer
    std::uint32_t attempt_count = 0;
    std::uint32_t servers_used = 0; ///< attempts that may have run
    std::uint32_t retries_used = 0;
    std::uint32_t detours = 0; ///< times it was passed on to another node
    std::vector<target_row_index> tried;
    attempt_row attempt;
    std::shared_ptr<retry_budget> awaited; ///< in `awaiting_retry`: the budget it waits for
    time_point arrived;
    time_point first_sent; ///< to a server; valid if `begin_state` isn't `unsent`
    time_point begin_due;  ///< valid if `begin_state` is `awaited`
    answer_begin begin_state = answer_begin::unsent;
    time_point deadline;    ///< for the first byte, or for the resumption of a stream
    time_point queue_until; ///< modelled pools: refused if still queued then
    /// Latest dispatch at which the answer is expected to begin within the route's first target;
    /// time_point::max() if the route has none.
    time_point start_by;
    time_point answer_deadline; ///< latest end of the answer
    time_point wake;
};

/// A queue is served in two passes: first the requests that can still begin in time, then the late
/// ones.
enum class queue_pass { in_time, late };

/// Why an attempt ended: a failure reported by the shell, or the loss of its group.
enum class attempt_end { failed, group_lost };

/// When lost servers may be back: a group that is formed anew on VMs that hold the weights takes
/// about as long.
constexpr double lost_servers_return_s = 2.0;

struct request_core::state {
    state(core_settings given, random_source source, time_point now);

    // request_core.cc: events of targets, tables, peers and time
    void process(const event& happened, time_point now, command_list& out);
    void install_tables(const configuration& tables, time_point now, command_list& out);
    void refresh_pools(time_point now);
    void run_tick(time_point now, command_list& out);
    bool notices_late(time_point now);
    void share_demand_if_due(time_point now, command_list& out);
    void emit_released(command_list& out);
    void on_cache_events(const cache_events_received& received);
    void on_group_broken(const target_id& group, time_point now, command_list& out);
    void reroute_requests(target_row_index from, time_point now, command_list& out);
    [[nodiscard]] std::vector<request_id> repeatable_requests_at(target_row_index from) const;
    void detect_silent_targets(time_point now, command_list& out);

    // request_limits.cc: servers that limit the requests per second of all nodes together
    void on_limit_received(const response_limit_received& received, time_point now,
                           command_list& out);
    void on_limit_received(const peer_limit_received& received, time_point now);
    void on_fleet_updated(const fleet_updated& updated, time_point now);
    void consume_limit(target_row& target, time_point now);
    void refresh_limits(time_point now);
    /// Ends a request that has not begun if it would wait too long for any server.
    bool refuse_limited(request_row& row, time_point now, command_list& out);
    /// How long the targets' rate limits and pauses, and servers being cold, would delay one more
    /// request of the pool; 0 if some target has none, max() if this node has no share of any
    /// limit.
    [[nodiscard]] duration limit_wait(const pool_row& pool, time_point now) const;

    // request_pauses.cc: servers that asked this node for a pause
    void on_pause_requested(const server_pause_requested& requested, time_point now,
                            command_list& out);
    void update_paused_targets(time_point now);
    [[nodiscard]] duration pause_wait(const target_row& target, time_point now) const;
    void refresh_pauses(time_point now);
    void end_requests_that_cannot_wait(pool_index pool, time_point now, command_list& out);
    bool may_send(request_id request, attempt_id attempt);

    // request_cold.cc: servers that are cold
    void update_cold_servers(time_point now);
    /// Accounts for a request that is sent to a server, for its limits.
    void note_sent_to_server(target_row& target, const pool_row& pool, time_point now);
    void refresh_cold(time_point now, command_list& out);
    [[nodiscard]] bool withholds_from_cold(const pool_row& pool) const;

    // request_detour.cc: requests sent through other nodes while this one reaches no server
    void note_failed_attempt(const request_row& row, attempt_failure reason, time_point now);
    [[nodiscard]] bool may_detour(const request_row& row) const;
    [[nodiscard]] bool is_detour_trial_due(const pool_row& pool, time_point now) const;
    [[nodiscard]] bool detours_on_arrival(const request_info& info, const pool_row& pool,
                                          time_point now) const;
    [[nodiscard]] target_row_index choose_node(time_point now, bool after_refusal = false);
    bool send_through_node(request_row& row, time_point now, command_list& out);
    void send_through_node(request_row& row, target_row_index node, time_point now,
                           command_list& out);
    [[nodiscard]] bool has_sound_server(const request_row& row) const;
    void note_agreement(const request_row& row);
    void note_served_elsewhere(const request_row& row);
    void end_detour(request_row& row, attempt_failure reason, time_point now, command_list& out);
    void return_to_own_servers(request_row& row, const error& failure, time_point now,
                               command_list& out);
    void on_relay_refusal(request_row& row, const relay_refusal& refusal, time_point now,
                          command_list& out);
    void on_relay_nodes(const std::vector<relay_node>& nodes, time_point now, command_list& out);
    void on_server_probed(const server_probed& probed);
    void review_reach(time_point now, command_list& out);
    void leave_servers(pool_index index, time_point now, command_list& out);
    void return_to_servers(const pool_row& pool, time_point now);
    void probe_if_due(pool_row& pool, time_point now, command_list& out);
    [[nodiscard]] std::vector<target_row_index> choose_probes(const pool_row& pool,
                                                              std::size_t most);
    bool refuse_relayed(const request_info& info, const pool_row& pool, command_list& out);
    [[nodiscard]] bool reaches_no_group(time_point now) const;

    // request_crashes.cc: requests under which servers end
    void note_interrupted(const request_row& row, time_point now, command_list& out);
    void on_server_checked(const server_checked& checked, time_point now);
    void note_served(request_row& row, time_point begun, time_point now);
    void note_served_if_due(request_row& row, time_point now);
    bool refuse_blocked(request_row& row, time_point now, command_list& out);
    void emit_evidence(command_list& out);

    // request_overload.cc: the limit on this node's open requests
    bool admits_one_more();
    std::optional<refuse> refuse_early();
    refuse overload_refusal(request_id request, double wait_s);
    bool refuse_overload(const request_info& info, const pool_row& pool, command_list& out);
    [[nodiscard]] duration usual_gap(const request_row& row) const;
    [[nodiscard]] double events_expected(const request_row& row, std::uint32_t more) const;
    [[nodiscard]] double share_of_places() const;
    void await_begin(request_row& row, time_point now);
    void note_begun(request_row& row);
    void note_late(request_row& row);
    void note_answer_ended(const request_row& row, end_of_answer how, time_point now);
    void note_caller_left(request_row& row, time_point now);
    void stop_awaiting_begin(request_row& row);
    void review_overload(time_point now, command_list& out);

    // request_stop.cc: a planned stop of this node
    void on_stop_begun(time_point deadline);
    void limit_to_stop(request_row& row) const;
    bool refuse_before_stop(request_row& row, time_point now, command_list& out);

    // request_arrival.cc: from arrival to the queue
    void arrive(const request_info& info, time_point now, command_list& out);
    bool refuse_unroutable(const request_info& info, const route* taken, pool_index index,
                           time_point now, command_list& out);
    bool authenticate(request_info& info, const route& taken,
                      std::optional<priority_class>& priority, command_list& out);
    [[nodiscard]] pool_index choose_pool(const route& taken, const request_info& info);
    [[nodiscard]] time_point latest_start(const request_row& row, time_point now) const;
    bool is_returning_caller(const request_row& row, time_point now);
    bool refuse_early(request_row& row, time_point now, command_list& out);
    void begin_claim(request_row& row, time_point now, command_list& out);
    void enqueue(request_row& row, time_point now, command_list& out);
    void on_key_status_requested(const key_status_requested& requested, time_point now,
                                 command_list& out);
    void run_claims(time_point now, command_list& out);
    void on_claim_resolved(const claim_resolution& resolution, time_point now, command_list& out);

    // request_dispatch.cc: from the queue to the target
    void dispatch(pool_index pool, time_point now, command_list& out);
    void dispatch(pool_index pool, queue_pass pass, time_point now, command_list& out);
    void dispatch_all(time_point now, command_list& out);
    bool try_send(request_row& row, time_point now, command_list& out);
    void send_to(request_row& row, target_row_index chosen, time_point now, command_list& out);
    void begin_attempt(request_row& row, target_row_index chosen, time_point now);
    [[nodiscard]] send_attempt send_command_for(const request_row& row, time_point now) const;
    /// Whether the head is sent before the answer is generated, so that a missing head is a sign of
    /// a stalled target.
    [[nodiscard]] bool head_comes_early(const request_row& row) const;
    target_row_index choose_target(const request_row& row,
                                   std::span<const target_row_index> avoided, time_point now);
    [[nodiscard]] double tokens_of(const request_row& row) const;
    [[nodiscard]] bool waits_for_memory(const request_row& row) const;
    [[nodiscard]] pick_basis basis_of(const request_row& row, const target_row& target,
                                      time_point now) const;
    void requeue(request_row& row, time_point now);
    static void note_tried(request_row& row);
    void queue_as_late(request_row& row);
    [[nodiscard]] flow_key flow_of(const request_row& row) const;
    [[nodiscard]] bool gives_way(const request_row& row) const;
    [[nodiscard]] double queue_weight(const request_row& row) const;
    void set_wake(request_row& row, time_point at);
    void wake_requests(time_point now, command_list& out);
    void on_wake(request_row& row, time_point now, command_list& out);
    [[nodiscard]] time_point next_wake_time(const request_row& row) const;
    [[nodiscard]] duration head_timeout(const request_row& row) const;
    [[nodiscard]] duration part_timeout(const request_row& row) const;
    [[nodiscard]] duration longest_silence(const request_row& row) const;
    [[nodiscard]] time_point silence_deadline(const request_row& row) const;

    // request_move.cc: moves away from a silent server
    using replacement = std::variant<target_row_index, hold_reason>;
    struct doubtful_targets {
        std::vector<target_row_index> rows;
        bool any_silent = false;
    };
    [[nodiscard]] doubtful_targets find_doubtful_targets(const request_row& row,
                                                         time_point now) const;
    [[nodiscard]] replacement find_replacement(request_row& row, attempt_failure reason,
                                               attempt_end end, time_point now);
    bool move_request(request_row& row, cancel_reason why, attempt_failure reason, attempt_end end,
                      time_point now, command_list& out);
    void move_or_hold(request_row& row, time_point deadline, time_point now, command_list& out);
    void note_held(request_row& row, hold_reason why, time_point now, command_list& out);
    void move_from_silent(target_row_index from, time_point now, command_list& out);

    // request_attempt.cc: progress and end of an attempt
    request_row* find_attempt(request_id request, attempt_id attempt);
    void on_sent(const attempt_sent& sent, time_point now);
    void on_head(const attempt_head& head, time_point now, command_list& out);
    void on_progress(const attempt_progress& part, time_point now);
    void on_writing_to_caller(const attempt_writing_to_caller& writing);
    void on_finished(const attempt_finished& finished, time_point now, command_list& out);
    void on_failed(const attempt_failed& failed, time_point now, command_list& out);
    void on_caller_gone(request_id request, time_point now, command_list& out);
    void note_first_part(request_row& row, time_point now);
    [[nodiscard]] bool has_retry(const request_row& row) const;
    bool take_retry(const request_row& row);
    void retry(request_row& row, bool charged, const error& failure, time_point now,
               command_list& out);
    void await_retry(request_row& row, time_point now);
    void on_retry_due(request_row& row, time_point now, command_list& out);
    static void stop_awaiting(request_row& row);
    bool take_resend(request_id request, attempt_id attempt);
    [[nodiscard]] bool is_charged_to_budget(const request_row& row, bool servers_fault) const;
    void end_attempt(request_row& row, attempt_failure reason, attempt_end end, time_point now,
                     command_list& out);
    void record_failed_attempt(request_row& row, attempt_failure reason, attempt_end end,
                               time_point now, command_list& out);
    bool may_retry(const request_row& row, attempt_failure reason) const;
    void note_activity(request_row& row, time_point now);
    void clear_pending_tokens(request_row& row);
    void cancel(request_row& row, cancel_reason why, time_point now, command_list& out);
    void release_target(request_row& row);

    // request_finish.cc: the final command, exactly one per request
    void finish_complete(request_row& row, command_list& out);
    void finish_refuse(request_row& row, error failure, ran_state ran,
                       std::optional<std::chrono::milliseconds> retry_after, time_point now,
                       command_list& out);
    void finish_failed(request_row& row, error failure, time_point now, command_list& out);
    void finish_replay(request_row& row, const stored_answer& answer, command_list& out);
    void finish_forget(request_row& row, time_point now, command_list& out);
    void finish_report(request_row& row, const claim_status_reported& report, command_list& out);
    void refuse_untracked(request_id request, error failure,
                          std::optional<std::chrono::milliseconds> retry_after, command_list& out);
    void settle_claim_on_failure(request_row& row, time_point now);
    void erase(request_row& row);
    [[nodiscard]] std::chrono::milliseconds retry_after(double wait_s);

    core_settings settings;
    std::uint64_t node_hash = 0; ///< of settings.node
    random_source random;
    std::string deployment;
    route_index routes;
    pool_table pools;
    target_table targets;
    demand_table peers;
    claim_manager claims;
    std::optional<time_point> stop_deadline; ///< set when the node stops
    overload_limit overload;
    bool wants_detour_trial = false; ///< the next request is admitted whatever the limit says
    response_delay delays;
    time_point last_tick;
    bool passed_over = false; ///< the last tick judged no timeouts
    rate_limits limits;
    server_pauses pauses;
    cold_servers cold;
    std::size_t cold_reported = 0; ///< cold servers in the last cold_servers_changed
    time_point next_cold_report;
    crash_suspects suspects;
    bool reached_no_group = false; ///< as last reported
    std::size_t relayed_open = 0;  ///< open requests that other nodes have passed on
    bool limits_in_use = false;    ///< some target_row::rate_limit_reached may be set
    time_point next_limit_refresh;
    std::unordered_map<std::string, caller_timeout_estimate> caller_timeouts_by_route;
    /// Set if callers have to authenticate with their workspace's key.
    std::optional<std::unordered_map<std::string, workspace_row>> workspaces_by_key;
    std::size_t fleet_size = 1;
    retry_budgets budgets;
    std::unordered_map<request_id, request_row> requests;

    struct wake_up {
        time_point at;
        request_id request;
        friend auto operator<=>(const wake_up&, const wake_up&) = default;
    };
    std::set<wake_up> wakes;
    std::set<wake_up> begins_due; ///< when answers have to begin to be in time
    std::uint64_t next_attempt = 0;
    time_point next_share;
    routing_counters counters;
};

} // namespace jaynotch
