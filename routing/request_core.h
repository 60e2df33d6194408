// The request core decides about routing, admission, target selection, retries, idempotency claims
// and draining. It does no I/O: it takes events and returns commands. See routing.h for an example.
#pragma once

#include "routing/request_commands.h"
#include "routing/request_events.h"

#include <memory>

namespace jaynotch {

/// Load-balancing policy of a pool. Policies other than two_choices are baselines for benchmarks.
enum class pick_policy { two_choices, round_robin, least_own };

template <>
struct enum_names<pick_policy> {
    static constexpr std::array entries{
        named{pick_policy::two_choices, "two_choices"},
        named{pick_policy::round_robin, "round_robin"},
        named{pick_policy::least_own, "least_own"},
    };
};

/// Limits and timeouts. The defaults suit deployments up to the largest supported size.
struct core_settings {
    node_id node;            ///< this entry VM
    std::string incarnation; ///< unique to this run of the process

    pick_policy pick = pick_policy::two_choices;
    /// This node starts in a fleet that has served before: callers may all return at once.
    bool started_again = false;
    bool admission = true;    ///< false (baseline): no queueing and no load shedding
    bool retry_budget = true; ///< false (baseline): retries are not limited by a budget
    mechanism_set mechanisms; ///< enabled optional mechanisms

    std::size_t max_requests = 16'384;                ///< open requests of this node
    std::size_t max_queued_per_workspace = 1'024;     ///< per pool and priority
    std::size_t max_pending_claims = 1'024;           ///< keyed calls with an unresolved claim
    std::size_t max_peers = 1'024;                    ///< nodes whose demand is stored
    std::size_t prefix_index_entries = 65'536;        ///< block hashes with their targets
    std::size_t max_stored_answer_bytes = 64 * 1'024; ///< body size of a keyed answer

    std::chrono::milliseconds stall_timeout{5'000};       ///< between two parts of an answer
    std::chrono::milliseconds kv_timeout{1'000};          ///< for a call to the key-value service
    std::chrono::milliseconds claim_interval{5};          ///< minimum between claim transactions
    std::chrono::milliseconds demand_share_interval{500}; ///< between share_demand commands
    std::chrono::milliseconds demand_ttl{5'000};          ///< of a peer's demand without an update
    std::chrono::milliseconds max_repeat_wait{10'000};    ///< of a repeat for the first call

    std::chrono::milliseconds min_retry_after{1'000}; ///< lower bound of Retry-After
    failure_domain_id failure_domain;                 ///< of this node; targets in it are preferred
    /// Retry budget of a pool: retries may be this fraction of its requests, plus a burst of up to
    /// `retry_extra`.
    double retry_share = 0.1;
    double retry_extra = 10.0;
    /// True: `retry_extra` is for a service and the whole fleet, and is divided among its nodes.
    /// False: it is for each pool of each node.
    bool retry_extra_fleet_wide = false;
    /// Window in which the retries of the fleet are counted, if `retry_extra_fleet_wide`. For as
    /// long after its start, a node doesn't know how much of its budget its VM has used.
    std::chrono::milliseconds retry_window{10'000};
    /// Charge the budget for every retry of an attempt of which a byte may have been sent,
    /// including retries that are otherwise free (see request_core::state::is_charged_to_budget).
    bool charge_every_retry = false;
    /// In a second, a cold server may get pool::cold_per_s requests times this from all nodes
    /// together, and `cold_slack` more.
    double cold_excess = 1.0;
    double cold_slack = 0.0;
};

/// Counters since the start of the process.
struct routing_counters {
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t replayed = 0;
    std::uint64_t truncated = 0;
    std::uint64_t caller_disconnects = 0; ///< requests whose caller disconnected before the end
    std::uint64_t refused_early = 0;      ///< of refused: on arrival, by the estimated wait
    std::uint64_t refused_late = 0;       ///< of refused: deadline reached while queued
    std::uint64_t servers_ended = 0;      ///< seen to end as they began to answer
    std::uint64_t contents_blocked = 0;   ///< since servers ended under them
    std::uint64_t refused_blocked = 0;    ///< of refused: for such a content
    std::uint64_t refused_overload = 0;   ///< of refused: beyond the overload limit
    std::uint64_t refused_limited = 0;    ///< of refused: since all servers are limited or pause
    std::uint64_t held_from_cold = 0;     ///< queued while a part of a cold server was used up
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    std::uint64_t detours = 0; ///< requests sent through another node
    std::uint64_t relayed = 0; ///< of arrived: passed on by another node
    /// Suspected cuts from a pool's servers that an inquiry did not confirm.
    std::uint64_t losses_told_from_cuts = 0;
    /// Requests that no other node took, sent to this node's servers again.
    std::uint64_t detours_returned = 0;
    std::uint64_t retries_charged = 0; ///< to the retry budget
    std::uint64_t retries_denied = 0;  ///< by the retry budget
    std::uint64_t attempts_held = 0;   ///< at a silent server, since no other could take over
    std::uint64_t answers_dropped = 0; ///< too late, for another attempt, or of another version
    std::uint64_t ejections = 0;
    std::uint64_t silences = 0; ///< times a group with requests in flight was found silent
    std::uint64_t claim_transactions = 0;
    std::uint64_t claims_resolved = 0;
    std::uint64_t prefix_blocks = 0;        ///< prompt blocks sent to model pools
    std::uint64_t prefix_blocks_cached = 0; ///< of those: expected in the chosen target's cache
};

/// State of a target as seen by this node, for status pages.
struct target_status {
    target_id target;
    pool_id pool;
    std::uint32_t in_flight = 0; ///< requests of this node
    double load = 0.0;           ///< estimated requests of all nodes
    bool leaving = false;
    bool ejected = false;
};

/// State of a pool at this node, for status pages.
struct pool_status {
    pool_id pool;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t allowed = 0; ///< current limit on this node's requests in flight
    double retries_left = 0.0; ///< in this node's retry budget
};

/// See routing.h for how to use it. Not thread-safe; handle() never throws for any event.
class request_core {
public:
    /// Fails if a limit is 0, the node or incarnation is empty, or the node's name contains '/'.
    static result<request_core> create(core_settings settings, random_source random,
                                       time_point now);
    request_core(request_core&&) noexcept;
    request_core& operator=(request_core&&) noexcept;
    ~request_core();

    /// Processes one event and appends the resulting commands to `out`. Events of requests or
    /// attempts that have ended are ignored (answers among them are counted).
    void handle(const event& happened, time_point now, command_list& out);

    /// Whether the HTTP client may send the attempt to the same server again, because the idle
    /// connection it was sent on was being closed. If so, the resend is charged to the budget.
    bool take_resend(request_id request, attempt_id attempt);

    /// Whether the attempt, for which opening a connection took a while, may still be sent.
    bool may_send(request_id request, attempt_id attempt);

    /// Refuses a request that has arrived, before anything is known of it, if this node is
    /// overloaded; nullopt if the request is to be read. Costs far less than handling
    /// request_arrived.
    std::optional<refuse> refuse_early();

    [[nodiscard]] const routing_counters& counters() const;
    [[nodiscard]] std::vector<target_status> targets() const;
    [[nodiscard]] std::vector<pool_status> pools() const;
    /// Number of servers with a limit on the requests per second of all nodes together.
    [[nodiscard]] std::size_t limited_servers() const;
    /// Servers that asked this node for a pause that has not ended.
    [[nodiscard]] std::size_t paused_servers() const;
    /// Number of servers known to be cold.
    [[nodiscard]] std::size_t known_cold_servers() const;
    /// Retries left in the budget that the request draws on; 0 if there is no such request.
    [[nodiscard]] double retries_left(request_id request) const;
    /// Whether this node seems to reach no server of some pool.
    [[nodiscard]] bool cut_off() const;
    /// Whether this node has received part of an answer from that server since the given time.
    [[nodiscard]] bool responded_since(const vm_id& instance, time_point since) const;
    /// Requests without a final command; at 0 a stopping daemon may exit.
    [[nodiscard]] std::size_t open_requests() const;
    /// Limit on open requests, since too few are answered in time; nullopt: none now.
    [[nodiscard]] std::optional<double> open_request_limit() const;

private:
    struct state;
    explicit request_core(std::unique_ptr<state> made);
    std::unique_ptr<state> m_state;
};

} // namespace jaynotch
