// Metrics that operators read at /metrics, kept with prometheus-cpp.
//
//   metrics counted{node};
//   counted.refused(error_kind::overloaded);
//   std::string page = counted.render();
#pragma once

#include "base/base.h"
#include "http/held_memory.h"
#include "routing/routing.h"
#include "services/services.h"

#include <memory>
#include <string>

namespace jaynotch {

/// How a caller's request ended.
enum class outcome { answered, replayed, refused, cut, abandoned };

template <>
struct enum_names<outcome> {
    static constexpr std::array entries{
        named{outcome::answered, "answered"},   named{outcome::replayed, "replayed"},
        named{outcome::refused, "refused"},     named{outcome::cut, "cut"},
        named{outcome::abandoned, "abandoned"},
    };
};

/// Values that are sampled when the page is requested.
struct gauges {
    bool ready = false;
    std::int64_t revision = 0;
    bool keys_required = false;     ///< callers need a key, except on open routes
    std::uint64_t keys = 0;         ///< that identify a workspace
    bool config_unreadable = false; ///< the store holds a configuration that this node can't read
    bool platform_lost = false;
    std::uint64_t connections = 0;
    std::uint64_t in_flight = 0;
    std::uint64_t complete_groups = 0;
    std::uint64_t managed_domains = 0;
    std::uint64_t evacuated_domains = 0; ///< failure domains whose servers get no new requests
    std::uint64_t members = 0;
    std::uint64_t peer_bytes_sent = 0;
    std::uint64_t peer_bytes_queued = 0;
    std::uint64_t peer_frames_dropped = 0;
    std::uint64_t peer_connections_silent = 0;
    kv_call_counts kv_calls;
    double retries_left = 0.0;         ///< for the service that has the fewest
    std::uint64_t retries_charged = 0; ///< to the retry budgets
    std::uint64_t retries_denied = 0;  ///< by the retry budgets
    std::uint64_t spans_dropped = 0;
    std::uint64_t log_lines_dropped = 0;
    std::uint64_t groups_forming = 0;   ///< in the failure domains that this node manages
    std::uint64_t spare_runners = 0;    ///< in the same failure domains
    std::uint64_t limited_servers = 0;  ///< servers with a rate limit for all nodes together
    std::int64_t store_era = 0;         ///< rises when the store comes back from a copy
    std::uint64_t cold_servers = 0;     ///< servers known to be cold
    std::uint64_t paused_servers = 0;   ///< servers that asked this node for a pause
    std::uint64_t held_from_cold = 0;   ///< requests queued while cold servers got no more
    std::uint64_t servers_ended = 0;    ///< seen to end as they began to answer
    std::uint64_t contents_blocked = 0; ///< contents of requests under which servers ended
    std::uint64_t refused_blocked = 0;  ///< requests refused for such a content
    std::uint64_t refused_limited = 0;  ///< requests refused since all servers limit them or pause
    std::uint64_t refused_overload = 0; ///< requests beyond the overload limit
    double overload_limit = 0.0;        ///< on open requests; 0: none now
    bool cut_off = false;               ///< this node seems to reach no server of some pool
    std::uint64_t detours = 0;          ///< requests sent through another node
    std::uint64_t relayed = 0;          ///< requests that another node passed on to this one
    /// Suspected cuts from a pool's servers that probes did not confirm.
    std::uint64_t losses_told_from_cuts = 0;
    /// Requests that no other node could take.
    std::uint64_t detours_returned = 0;
    /// From the start until the first backend servers were known; 0 before.
    duration start_to_targets{0};
    duration config_age{0};  ///< since the tables in force were installed
    held_memory_counts held; ///< for callers and servers that read slowly
};

class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void ended(outcome how, duration took);
    void refused(error_kind why);
    void first_byte(duration after);
    void tokens(std::uint64_t count);
    void attempt();
    void attempt_failed(attempt_failure why);
    void attempt_cancelled(cancel_reason why);
    /// The attempt's server is silent, and no other can take over.
    void attempt_held(hold_reason why);
    /// A request was sent to the same server again on a new connection.
    void attempt_repeated();
    /// Time from a request's arrival until it was first sent.
    void queued(duration waited);
    /// Delay between the expiry of a timer and its handler, which shows a busy event loop.
    void loop_delay(duration late);
    void resumed();
    void foreign_answer();
    /// Returns the page in the Prometheus text format.
    std::string render(const gauges& now);

private:
    struct families;
    std::unique_ptr<families> m_families;
};

} // namespace jaynotch
