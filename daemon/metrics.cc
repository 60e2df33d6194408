#include "daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <vector>

namespace jaynotch {

namespace {

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

const Histogram::BucketBoundaries latency_buckets{0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                  0.25,  0.51,  1.0,   2.5,  5.0,   10.0, 30.0};

double seconds(duration time)
{
    return std::chrono::duration<double>{time}.count();
}

Counter& counter(Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

Gauge& gauge(Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

template <class Enum>
std::vector<Counter*> by_name(Registry& registry, const std::string& name, const std::string& help,
                              const std::string& label)
{
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    std::vector<Counter*> rows;
    for (const auto& entry : enum_names<Enum>::entries)
        rows.push_back(&family.Add({{label, std::string{entry.name}}}));
    return rows;
}

} // namespace

struct metrics::families {
    Registry registry;
    std::vector<Counter*> outcomes = by_name<outcome>(
        registry, "jaynotch_requests_total", "Requests of callers by how they ended", "outcome");
    std::vector<Counter*> refusals =
        by_name<error_kind>(registry, "jaynotch_refusals_total", "Refusals by kind", "kind");
    Histogram& took = prometheus::BuildHistogram()
                          .Name("jaynotch_request_seconds")
                          .Help("From a request's header to its end")
                          .Register(registry)
                          .Add({}, latency_buckets);
    Histogram& first = prometheus::BuildHistogram()
                           .Name("jaynotch_first_byte_seconds")
                           .Help("From a request's header to its answer's first byte")
                           .Register(registry)
                           .Add({}, latency_buckets);
    Histogram& queue = prometheus::BuildHistogram()
                           .Name("jaynotch_queue_seconds")
                           .Help("From a request's arrival until it was first sent")
                           .Register(registry)
                           .Add({}, latency_buckets);
    Histogram& loop = prometheus::BuildHistogram()
                          .Name("jaynotch_loop_delay_seconds")
                          .Help("How much later than wanted a timer of the one thread came")
                          .Register(registry)
                          .Add({}, latency_buckets);
    std::vector<Counter*> failures =
        by_name<attempt_failure>(registry, "jaynotch_attempt_failures_total",
                                 "Sendings that came to nothing, by reason", "reason");
    std::vector<Counter*> cancellations =
        by_name<cancel_reason>(registry, "jaynotch_attempts_cancelled_total",
                               "Sendings that this node gave up, by reason", "reason");
    std::vector<Counter*> holds = by_name<hold_reason>(
        registry, "jaynotch_attempts_held_total",
        "Sendings to a silent server that go on because no other can take over, by reason",
        "reason");
    Counter& repeats =
        counter(registry, "jaynotch_attempts_repeated_total",
                "Sendings repeated to the same server, a kept connection being shut");
    Gauge& forming = gauge(registry, "jaynotch_groups_forming",
                           "Groups that come together in failure domains managed here");
    Gauge& spares =
        gauge(registry, "jaynotch_spare_runners", "Runners in no group, in domains managed here");
    Gauge& config_age =
        gauge(registry, "jaynotch_config_age_seconds", "Since the tables in force were installed");
    Counter& tokens = counter(registry, "jaynotch_stream_events_total",
                              "Events of streams handed to callers, about one a token");
    Counter& attempts =
        counter(registry, "jaynotch_attempts_total", "Requests sent to backend servers");
    Counter& resumes =
        counter(registry, "jaynotch_resumes_total", "Streams continued on another group");
    Counter& foreign = counter(registry, "jaynotch_foreign_answers_total",
                               "Answers that named another attempt; dropped");
    Gauge& ready = gauge(registry, "jaynotch_ready", "1 if callers may be sent here");
    Gauge& revision =
        gauge(registry, "jaynotch_config_revision", "Revision of the tables in force");
    Gauge& keys_required =
        gauge(registry, "jaynotch_keys_required", "1 if callers need a key, except on open routes");
    Gauge& keys = gauge(registry, "jaynotch_keys", "Keys of workspaces in force");
    Gauge& config_unreadable = gauge(
        registry, "jaynotch_config_unreadable",
        "1 if the store's newest configuration can't be read, so that an older one is in force");
    Gauge& platform_lost_gauge = gauge(registry, "jaynotch_platform_lost",
                                       "1 if the key-value service does not answer this node");
    Gauge& connections = gauge(registry, "jaynotch_connections", "Connections of callers");
    Gauge& in_flight = gauge(registry, "jaynotch_in_flight", "Requests without an end yet");
    Gauge& groups = gauge(registry, "jaynotch_complete_groups", "Groups that may get requests");
    Gauge& managed = gauge(registry, "jaynotch_managed_domains", "Fabric domains managed here");
    Gauge& members = gauge(registry, "jaynotch_live_members", "Daemons alive, this one included");
    Gauge& peer_bytes = gauge(registry, "jaynotch_peer_sent_bytes", "Bytes sent to daemons");
    Gauge& peer_queued =
        gauge(registry, "jaynotch_peer_queued_bytes", "Bytes that wait to be sent to daemons");
    Gauge& peer_dropped =
        gauge(registry, "jaynotch_peer_frames_dropped",
              "Frames to daemons dropped, the queue full or the peer unreachable, since the start");
    Gauge& peer_silent =
        gauge(registry, "jaynotch_peer_connections_silent",
              "Connections to daemons closed for want of acknowledgements, since the start");
    Gauge& kv_calls = gauge(registry, "jaynotch_kv_calls", "Calls on the key-value service");
    std::vector<Counter*> kv_by_kind = by_name<kv_call>(
        registry, "jaynotch_kv_calls_total", "Calls on the key-value service by kind", "call");
    std::vector<Counter*> kv_failures = by_name<kv_call>(
        registry, "jaynotch_kv_failures_total", "Of those, without an answer or refused", "call");
    kv_call_counts kv_exported; ///< counts already added to the counters
    Gauge& retries_left =
        gauge(registry, "jaynotch_retries_left",
              "Retries that this node may still send, to the service with the fewest");
    Gauge& retries_charged = gauge(registry, "jaynotch_retries_charged",
                                   "Retries charged to the budgets, since the start");
    Gauge& retries_denied = gauge(registry, "jaynotch_retries_denied",
                                  "Retries that the budgets did not allow, since the start");
    Gauge& limited = gauge(registry, "jaynotch_limited_servers",
                           "Backend servers that limit the requests a second of all nodes");
    Gauge& evacuated = gauge(registry, "jaynotch_evacuated_domains",
                             "Failure domains whose backend servers get no new requests");
    Gauge& start_to_targets =
        gauge(registry, "jaynotch_start_to_servers_seconds",
              "From the start until the first backend servers were known; 0 before");
    Gauge& store_era = gauge(registry, "jaynotch_store_era",
                             "Rises by one when the platform's store comes back from a copy");
    Gauge& paused_servers = gauge(registry, "jaynotch_paused_servers",
                                  "Backend servers that asked this node for a pause");
    Gauge& cold_servers = gauge(registry, "jaynotch_cold_servers",
                                "Backend servers that are cold and get few requests");
    Gauge& held_from_cold = gauge(registry, "jaynotch_held_from_cold",
                                  "Requests that waited while cold servers got no more");
    Gauge& servers_ended = gauge(registry, "jaynotch_servers_ended",
                                 "Backend servers that ended as they began to answer");
    Gauge& contents_blocked = gauge(registry, "jaynotch_contents_blocked",
                                    "Contents of requests under which servers ended");
    Gauge& refused_blocked =
        gauge(registry, "jaynotch_refused_blocked", "Requests refused for such a content");
    Gauge& refused_overload = gauge(registry, "jaynotch_refused_overload",
                                    "Requests refused since too few are answered in time");
    Gauge& overload_limit =
        gauge(registry, "jaynotch_overload_limit",
              "Limit on open requests since too few are answered in time; 0: none");
    Gauge& refused_limited =
        gauge(registry, "jaynotch_refused_limited",
              "Requests refused since all servers limit the requests a second or pause");
    Gauge& held = gauge(registry, "jaynotch_held_bytes",
                        "Bytes of bodies and answers held for callers and backend servers");
    Gauge& held_peak = gauge(registry, "jaynotch_held_peak_bytes", "The most of these so far");
    Gauge& held_budget =
        gauge(registry, "jaynotch_held_budget_bytes", "The most that may be held; 0: unlimited");
    Gauge& refused_memory = gauge(registry, "jaynotch_refused_memory",
                                  "Requests refused for lack of this node's memory");
    Gauge& paused_reads =
        gauge(registry, "jaynotch_paused_reads",
              "Times that an answer was read no further for lack of this node's memory");
    Gauge& cut_off = gauge(registry, "jaynotch_servers_unreachable",
                           "1 if no backend server of some pool seems reachable");
    Gauge& detours = gauge(registry, "jaynotch_detoured_requests",
                           "Requests sent through another node, since the start");
    Gauge& relayed = gauge(registry, "jaynotch_relayed_requests",
                           "Requests that other nodes passed on to this one, since the start");
    Gauge& losses = gauge(registry, "jaynotch_losses_told_from_cuts",
                          "Suspected cuts from a pool's servers that probes did not confirm");
    Gauge& detours_returned =
        gauge(registry, "jaynotch_detours_returned",
              "Requests that no other node could take, sent to this node's servers again");
    Gauge& log_dropped =
        gauge(registry, "jaynotch_log_lines_dropped", "Log lines dropped, over budget or unread");
    Gauge& dropped = gauge(registry, "jaynotch_spans_dropped", "Spans dropped, the buffer full");
};

metrics::metrics() : m_families{std::make_unique<families>()} {}
metrics::~metrics() = default;

void metrics::ended(outcome how, duration took)
{
    m_families->outcomes[static_cast<std::size_t>(how)]->Increment();
    m_families->took.Observe(seconds(took));
}

void metrics::refused(error_kind why)
{
    m_families->refusals[static_cast<std::size_t>(why)]->Increment();
}

void metrics::first_byte(duration after)
{
    m_families->first.Observe(seconds(after));
}

void metrics::tokens(std::uint64_t count)
{
    m_families->tokens.Increment(static_cast<double>(count));
}

void metrics::attempt()
{
    m_families->attempts.Increment();
}

void metrics::attempt_failed(attempt_failure why)
{
    m_families->failures[static_cast<std::size_t>(why)]->Increment();
}

void metrics::attempt_cancelled(cancel_reason why)
{
    m_families->cancellations[static_cast<std::size_t>(why)]->Increment();
}

void metrics::attempt_held(hold_reason why)
{
    m_families->holds[static_cast<std::size_t>(why)]->Increment();
}

void metrics::attempt_repeated()
{
    m_families->repeats.Increment();
}

void metrics::queued(duration waited)
{
    m_families->queue.Observe(seconds(waited));
}

void metrics::loop_delay(duration late)
{
    m_families->loop.Observe(seconds(late));
}

void metrics::resumed()
{
    m_families->resumes.Increment();
}

void metrics::foreign_answer()
{
    m_families->foreign.Increment();
}

std::string metrics::render(const gauges& now)
{
    families& all = *m_families;
    all.ready.Set(now.ready ? 1 : 0);
    all.revision.Set(static_cast<double>(now.revision));
    all.keys_required.Set(now.keys_required ? 1.0 : 0.0);
    all.keys.Set(static_cast<double>(now.keys));
    all.config_unreadable.Set(now.config_unreadable ? 1.0 : 0.0);
    all.platform_lost_gauge.Set(now.platform_lost ? 1 : 0);
    all.connections.Set(static_cast<double>(now.connections));
    all.in_flight.Set(static_cast<double>(now.in_flight));
    all.groups.Set(static_cast<double>(now.complete_groups));
    all.managed.Set(static_cast<double>(now.managed_domains));
    all.members.Set(static_cast<double>(now.members));
    all.peer_bytes.Set(static_cast<double>(now.peer_bytes_sent));
    all.peer_queued.Set(static_cast<double>(now.peer_bytes_queued));
    all.peer_dropped.Set(static_cast<double>(now.peer_frames_dropped));
    all.peer_silent.Set(static_cast<double>(now.peer_connections_silent));
    all.kv_calls.Set(static_cast<double>(now.kv_calls.total()));
    for (std::size_t kind = 0; kind < all.kv_by_kind.size(); ++kind) {
        all.kv_by_kind[kind]->Increment(
            static_cast<double>(now.kv_calls.by_kind[kind] - all.kv_exported.by_kind[kind]));
        all.kv_failures[kind]->Increment(
            static_cast<double>(now.kv_calls.failed[kind] - all.kv_exported.failed[kind]));
    }
    all.kv_exported = now.kv_calls;
    all.retries_left.Set(now.retries_left);
    all.retries_charged.Set(static_cast<double>(now.retries_charged));
    all.retries_denied.Set(static_cast<double>(now.retries_denied));
    all.limited.Set(static_cast<double>(now.limited_servers));
    all.evacuated.Set(static_cast<double>(now.evacuated_domains));
    all.start_to_targets.Set(seconds(now.start_to_targets));
    all.store_era.Set(static_cast<double>(now.store_era));
    all.paused_servers.Set(static_cast<double>(now.paused_servers));
    all.cold_servers.Set(static_cast<double>(now.cold_servers));
    all.held_from_cold.Set(static_cast<double>(now.held_from_cold));
    all.servers_ended.Set(static_cast<double>(now.servers_ended));
    all.contents_blocked.Set(static_cast<double>(now.contents_blocked));
    all.refused_blocked.Set(static_cast<double>(now.refused_blocked));
    all.refused_overload.Set(static_cast<double>(now.refused_overload));
    all.overload_limit.Set(now.overload_limit);
    all.refused_limited.Set(static_cast<double>(now.refused_limited));
    all.held.Set(static_cast<double>(now.held.bytes));
    all.held_peak.Set(static_cast<double>(now.held.peak));
    all.held_budget.Set(static_cast<double>(now.held.budget));
    all.refused_memory.Set(static_cast<double>(now.held.refused));
    all.paused_reads.Set(static_cast<double>(now.held.paused));
    all.cut_off.Set(now.cut_off ? 1.0 : 0.0);
    all.detours.Set(static_cast<double>(now.detours));
    all.relayed.Set(static_cast<double>(now.relayed));
    all.losses.Set(static_cast<double>(now.losses_told_from_cuts));
    all.detours_returned.Set(static_cast<double>(now.detours_returned));
    all.log_dropped.Set(static_cast<double>(now.log_lines_dropped));
    all.forming.Set(static_cast<double>(now.groups_forming));
    all.spares.Set(static_cast<double>(now.spare_runners));
    all.config_age.Set(seconds(now.config_age));
    all.dropped.Set(static_cast<double>(now.spans_dropped));
    return prometheus::TextSerializer{}.Serialize(all.registry.Collect());
}

} // namespace jaynotch
