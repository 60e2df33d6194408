// Inside the request core: the tables of entities and the systems that run over them. Not part of
// the public interface.
#pragma once

#include "routing/claim_book.h"
#include "routing/outliers.h"
#include "routing/pool_table.h"
#include "routing/request_core.h"
#include "routing/route_index.h"
#include "routing/target_table.h"
#include "routing/usual_patience.h"

#include <set>
#include <unordered_map>

namespace jaynotch {

/// Part of the time left that may go into waiting. The estimate is a mean, and what is dispatched
/// at the last moment misses its deadline in the engine, where its work is lost.
constexpr double most_queued_part = 0.5;

/// Where a request stands.
enum class request_phase {
    claiming,  ///< keyed: its claim is not settled
    queued,    ///< waits for a place in its pool
    sending,   ///< an attempt is on its way; no head yet
    answering, ///< the attempt's answer is handed on
    asking,    ///< a question for a key
};

/// The present sending of a request.
struct attempt_row {
    attempt_id id;
    target_row_index target = no_target;
    bool sent = false;     ///< a byte may have left
    bool repeated = false; ///< sent to the same server once more: the first may have run
    bool first_part_in = false;
    bool waits_for_caller = false;    ///< a part is being written to a slow caller
    std::uint32_t pending_tokens = 0; ///< of its prompt, counted at the target until a part is in
    time_point started;
    time_point last_part; ///< of the answer; valid while answering
    std::string version;
};

/// What of the route holds for the request even if the tables change meanwhile.
struct request_terms {
    pool_index pool = 0;
    std::string route;
    std::chrono::milliseconds first_target{0}; ///< for the first event; 0: none
    std::chrono::milliseconds gap_target{0};   ///< between two events; 0: none
    std::string adapter;
    priority_class priority = priority_class::standard;
    repeat_policy repeat = repeat_policy::idempotent;
    std::uint32_t retries = 0;
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds longest_stream{0};
    std::chrono::seconds key_keeping{0};
    bool resumable = false;           ///< a stream that was cut may go on from another target
    bool retry_server_errors = false; ///< a server's 500 may be asked for elsewhere
    std::uint32_t most_servers = 0;   ///< that it may run on; 0: as `retries` allow
};

struct request_row {
    request_info info;
    request_terms terms;
    request_phase phase = request_phase::queued;
    bool keyed = false;        ///< has a claim, or is about to
    bool may_have_run = false; ///< some sending was cut with its outcome unknown; never unset
    bool head_given = false;   ///< part of an answer was handed on
    bool caller_left = false;  ///< keyed: goes on for the record's sake
    bool has_attempt = false;
    bool late =
        false; ///< waits beyond its route's first target: those that can still meet theirs go first
    std::string given_version; ///< of the answer handed on in part
    std::uint32_t sendings = 0;
    std::uint32_t servers_used = 0; ///< sendings that may have run
    std::uint32_t retries_used = 0;
    std::vector<target_row_index> tried;
    attempt_row attempt;
    time_point arrived;
    time_point deadline;    ///< of the first byte, or of the resumption
    time_point queue_until; ///< modelled pools: refused if it has not been sent by then
    /// Sent later than this, its answer would begin later than the route's first target and be
    /// worth less; max if the route has none.
    time_point start_by;
    time_point ends; ///< latest end of the answer
    time_point wake;
};

/// Whose turn it is in a queue.
enum class turn { in_time, late };

/// An attempt's end as the core judges it; adds to the shell's reasons one of its own.
enum class attempt_end { failed, group_lost };

struct request_core::state {
    state(core_settings given, random_source source, time_point now);

    // request_core.cc: events of the surroundings
    void take(const event& happened, time_point now, command_list& out);
    void install_tables(const configuration& tables, time_point now, command_list& out);
    void refresh_pools(time_point now);
    void run_tick(time_point now, command_list& out);
    void share_demand_if_due(time_point now, command_list& out);
    void say_released(command_list& out);
    void take_cache_events(const cache_events_seen& seen);
    void lose_group(const target_id& group, time_point now, command_list& out);
    void move_requests(target_row_index from, time_point now, command_list& out);
    void move_request(request_row& row, cancel_reason why, time_point now, command_list& out);
    void leave_silent(const pool_row& pool, target_row_index from, time_point now,
                      command_list& out);
    [[nodiscard]] std::vector<request_id> repeatable_at(target_row_index from) const;
    void find_silent(time_point now, command_list& out);
    void set_budgets();

    // request_limits.cc: servers that limit the requests a second of all nodes together
    void take_limit(const limit_answered& answered, time_point now, command_list& out);
    void take_limit(const limit_told& told, time_point now);
    void take_fleet(const fleet_seen& seen, time_point now);
    void use_limit(target_row& target, time_point now);
    void refresh_limits(time_point now);
    bool refuse_limited(request_row& row, time_point now, command_list& out);
    /// How long its targets' limits would keep one more request of the pool waiting; 0 if a target
    /// has none, max() if this node has no part of any.
    [[nodiscard]] duration limit_wait(const pool_row& pool, time_point now) const;

    // request_arrival.cc: from arrival to the queue
    void arrive(const request_info& info, time_point now, command_list& out);
    bool refuse_unroutable(const request_info& info, const route* taken, pool_index index,
                           time_point now, command_list& out);
    bool identify(request_info& info, const route& taken, std::optional<priority_class>& priority,
                  command_list& out);
    [[nodiscard]] pool_index choose_pool(const route& taken, const request_info& info);
    [[nodiscard]] time_point latest_start(const request_row& row, time_point now) const;
    bool has_come_back(const request_row& row, time_point now);
    bool refuse_early(request_row& row, time_point now, command_list& out);
    void begin_claim(request_row& row, time_point now, command_list& out);
    void enqueue(request_row& row, time_point now, command_list& out);
    void ask_key(const key_status_asked& asked, time_point now, command_list& out);
    void run_claims(time_point now, command_list& out);
    void settle(const claim_settled& settled, time_point now, command_list& out);

    // request_dispatch.cc: from the queue to the target
    void dispatch(pool_index pool, time_point now, command_list& out);
    void dispatch(pool_index pool, turn whose, time_point now, command_list& out);
    void dispatch_all(time_point now, command_list& out);
    bool try_send(request_row& row, time_point now, command_list& out);
    /// Whether the answer's head comes before the work is done, so that its absence says something.
    [[nodiscard]] bool head_comes_early(const request_row& row) const;
    target_row_index choose_target(request_row& row, time_point now);
    [[nodiscard]] pick_basis basis_of(const request_row& row, const target_row& target,
                                      time_point now) const;
    void requeue(request_row& row, time_point now);
    void queue_as_late(request_row& row);
    [[nodiscard]] flow_key flow_of(const request_row& row) const;
    [[nodiscard]] bool gives_way(const request_row& row) const;
    [[nodiscard]] double queue_weight(const request_row& row) const;
    void set_wake(request_row& row, time_point at);
    void wake_requests(time_point now, command_list& out);
    void check_time(request_row& row, time_point now, command_list& out);
    [[nodiscard]] time_point next_check(const request_row& row) const;
    [[nodiscard]] duration head_patience(const request_row& row) const;
    [[nodiscard]] duration part_patience(const request_row& row) const;

    // request_attempt.cc: what becomes of a sending
    request_row* find_attempt(request_id request, attempt_id attempt);
    void on_sent(const attempt_sent& sent, time_point now);
    void on_head(const attempt_head& head, time_point now, command_list& out);
    void on_progress(const attempt_progress& part, time_point now);
    void on_waits(const attempt_waits& waiting);
    void on_finished(const attempt_finished& finished, time_point now, command_list& out);
    void on_failed(const attempt_failed& failed, time_point now, command_list& out);
    void on_caller_gone(request_id request, time_point now, command_list& out);
    void note_first_part(request_row& row, time_point now);
    [[nodiscard]] bool is_charged(const request_row& row, bool servers_fault) const;
    void end_attempt(request_row& row, attempt_failure reason, attempt_end end, time_point now,
                     command_list& out);
    bool may_send_again(const request_row& row, attempt_failure reason) const;
    void note_heard(request_row& row, time_point now);
    void drop_pending(request_row& row);
    void cancel(request_row& row, cancel_reason why, command_list& out);
    void leave_target(request_row& row);

    // request_finish.cc: the final command, exactly one for each request
    void finish_complete(request_row& row, command_list& out);
    void finish_refuse(request_row& row, error failure, ran_state ran,
                       std::optional<std::chrono::milliseconds> retry_after, time_point now,
                       command_list& out);
    void finish_failed(request_row& row, error failure, time_point now, command_list& out);
    void finish_replay(request_row& row, const stored_answer& answer, command_list& out);
    void finish_forget(request_row& row, time_point now, command_list& out);
    void finish_report(request_row& row, const claim_reported& report, command_list& out);
    void refuse_unseen(request_id request, error failure,
                       std::optional<std::chrono::milliseconds> retry_after, command_list& out);
    void settle_claim_on_failure(request_row& row, time_point now);
    void erase(request_row& row);
    [[nodiscard]] std::chrono::milliseconds retry_after(double wait_s);

    core_settings settings;
    random_source random;
    std::string deployment;
    route_index routes;
    pool_table pools;
    target_table targets;
    demand_table peers;
    claim_book claims;
    rate_limits limits;
    bool limits_in_use = false; ///< some target may be marked by `limits`
    time_point next_limit_refresh;
    std::unordered_map<std::string, usual_patience> patience_by_route;
    std::unordered_map<std::string, workspace_row> workspaces_by_key;
    bool workspaces_by_keys = false; ///< callers must prove theirs
    std::size_t fleet_size = 1;
    std::unordered_map<request_id, request_row> requests;

    struct wake_up {
        time_point at;
        request_id request;
        friend auto operator<=>(const wake_up&, const wake_up&) = default;
    };
    std::set<wake_up> wakes;
    std::uint64_t next_attempt = 0;
    time_point next_share;
    routing_counters counters;
};

} // namespace jaynotch
