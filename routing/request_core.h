// The decision core of requests: routing, admission, picking, retries, claims and drain.
#pragma once

#include "routing/request_commands.h"
#include "routing/request_events.h"

#include <memory>

namespace jaynotch {

/// How a pool's target is chosen. All but two_choices are baselines for measurements.
enum class pick_policy { two_choices, round_robin, least_own };

template <>
struct enum_names<pick_policy> {
    static constexpr std::array entries{
        named{pick_policy::two_choices, "two_choices"},
        named{pick_policy::round_robin, "round_robin"},
        named{pick_policy::least_own, "least_own"},
    };
};

/// Bounds and timings; the defaults suit the sizes of today and of the target.
struct core_settings {
    node_id node;            ///< this entry VM
    std::string incarnation; ///< differs each time the process starts

    pick_policy pick = pick_policy::two_choices;
    bool admission = true;    ///< false (baseline): no queue, no refusal for load
    bool retry_budget = true; ///< false (baseline): plain retries
    mechanism_set mechanisms; ///< that are switched on

    std::size_t max_requests = 16'384;                ///< held at once, in all
    std::size_t max_queued_per_workspace = 1'024;     ///< of one pool and priority
    std::size_t max_pending_claims = 1'024;           ///< keyed calls before the claim is settled
    std::size_t max_peers = 1'024;                    ///< nodes whose demand is kept
    std::size_t prefix_index_entries = 65'536;        ///< block hashes with their targets
    std::size_t max_stored_answer_bytes = 64 * 1'024; ///< bytes of a keyed answer's body

    std::chrono::milliseconds stall_timeout{5'000};       ///< between two parts of an answer
    std::chrono::milliseconds kv_timeout{1'000};          ///< of a call on the key-value service
    std::chrono::milliseconds claim_interval{5};          ///< between two claim transactions
    std::chrono::milliseconds demand_share_interval{500}; ///< between two share_demand
    std::chrono::milliseconds demand_ttl{5'000};          ///< of a silent peer's demand
    std::chrono::milliseconds max_repeat_wait{10'000};    ///< for a first call still in progress

    std::chrono::milliseconds min_retry_after{
        1'000};                       ///< least that a refused caller is told to wait
    failure_domain_id failure_domain; ///< of this node; its targets are preferred
    /// Further sendings that one pool may have, of all nodes together: this share of its requests,
    /// and `retry_extra` saved up.
    double retry_share = 0.1;
    double retry_extra = 10.0;
    /// Whether `retry_extra` is of the whole fleet, to be split, or of each node.
    bool retry_extra_fleet_wide = false;
    /// Charge every further sending of which a byte left, also those that cost the first nothing.
    bool charge_every_retry = false;
};

/// What happened since the start; each counter only grows.
struct routing_counters {
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t replayed = 0;
    std::uint64_t truncated = 0;
    std::uint64_t caller_disconnects = 0;
    std::uint64_t refused_early = 0;   ///< of refused: by the estimate of the wait, on arrival
    std::uint64_t refused_late = 0;    ///< of refused: by the deadline while queued
    std::uint64_t refused_limited = 0; ///< of refused: by what the servers say that they take
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    std::uint64_t retries_denied = 0;  ///< by the retry budget
    std::uint64_t answers_dropped = 0; ///< late, crossed, or of another version
    std::uint64_t ejections = 0;
    std::uint64_t silences = 0; ///< times that a group gave nothing though requests waited
    std::uint64_t claim_transactions = 0;
    std::uint64_t claims_resolved = 0;
    std::uint64_t prefix_blocks = 0;        ///< of requests sent to model pools
    std::uint64_t prefix_blocks_cached = 0; ///< of those: thought to be cached at the target chosen
};

/// How a target stands at this node, for status pages.
struct target_status {
    target_id target;
    pool_id pool;
    std::uint32_t in_flight = 0; ///< of this node
    double load = 0.0;           ///< estimate over all nodes
    bool leaving = false;
    bool ejected = false;
};

/// How a pool stands at this node, for status pages.
struct pool_status {
    pool_id pool;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t allowed = 0; ///< in flight, of this node, at present
    double retries_left = 0.0; ///< of this node's part
};

/// See routing.h for how to use it. Not thread-safe; handle() never throws for any event.
class request_core {
public:
    /// Refuses settings with a bound of 0 or without a node's name.
    static result<request_core> create(core_settings settings, random_source random,
                                       time_point now);
    request_core(request_core&&) noexcept;
    request_core& operator=(request_core&&) noexcept;
    ~request_core();

    /// Takes one event in and appends what is to be done. Events of requests or attempts that are
    /// over are dropped (and counted, if they are answers).
    void handle(const event& happened, time_point now, command_list& out);

    [[nodiscard]] const routing_counters& counters() const;
    [[nodiscard]] std::vector<target_status> targets() const;
    [[nodiscard]] std::vector<pool_status> pools() const;
    /// Servers that limit the requests a second of all nodes together.
    [[nodiscard]] std::size_t limited_servers() const;
    /// Whether requests of this node at that server were answered a moment ago.
    [[nodiscard]] bool responded_recently(const vm_id& instance, time_point now) const;
    /// Requests that have no final command yet; 0 means that a stopping daemon may go.
    [[nodiscard]] std::size_t open_requests() const;

private:
    struct state;
    explicit request_core(std::unique_ptr<state> made);
    std::unique_ptr<state> m_state;
};

} // namespace jaynotch
