#include "daemon/daemon.h"
#include "platform/settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

// Each flag can also be set as the environment variable JAYNOTCH_<FLAG>. The environment is written
// into the flags before the command line is parsed, so that the command line takes precedence.

ABSL_FLAG(std::string, node, "", "Name of this VM, unique in the deployment");
ABSL_FLAG(std::string, failure_domain, "", "Failure domain of this VM");
ABSL_FLAG(std::string, deployment, "", "Deployment named in both tables");
ABSL_FLAG(std::string, listen, "127.0.0.1:8080", "IP:port for callers");
ABSL_FLAG(std::string, peer_listen, "127.0.0.1:8081", "IP:port for other daemons");
ABSL_FLAG(std::string, admin_listen, "127.0.0.1:8082", "IP:port for `jaynotch` and /metrics");
ABSL_FLAG(std::string, relay_listen, "",
          "IP:port for requests that other daemons pass on, with --settings; empty: none");
ABSL_FLAG(std::string, peer_advertise, "", "IP:port announced to peers; --peer_listen if empty");
ABSL_FLAG(std::string, source_address, "",
          "IP address of connections to backend servers at this end; empty: the system chooses it");
ABSL_FLAG(std::vector<std::string>, key_value, {},
          "IP:ports of the key-value service, comma-separated");
ABSL_FLAG(std::string, vm_list, "", "IP:port of the VM list");
ABSL_FLAG(std::string, weight_store, "", "IP:port of the weight store");
ABSL_FLAG(std::vector<std::string>, seed_peers, {},
          "Peer IP:ports of some daemons, comma-separated");
ABSL_FLAG(std::string, caller_certificate, "", "PEM certificate shown to callers; empty: no TLS");
ABSL_FLAG(std::string, caller_key, "", "PEM key of --caller_certificate");
ABSL_FLAG(std::string, caller_authority, "", "PEM authority of callers' certificates");
ABSL_FLAG(std::string, peer_certificate, "", "PEM certificate shown to daemons; empty: no TLS");
ABSL_FLAG(std::string, peer_key, "", "PEM key of --peer_certificate");
ABSL_FLAG(std::string, peer_authority, "", "PEM authority of daemons' certificates");
ABSL_FLAG(std::string, admin_certificate, "", "PEM certificate of the admin port; empty: no TLS");
ABSL_FLAG(std::string, admin_key, "", "PEM key of --admin_certificate");
ABSL_FLAG(std::string, admin_authority, "", "PEM authority of operators' certificates");
ABSL_FLAG(std::string, trace_file, "", "File for OTLP/JSON spans, - for standard error");
ABSL_FLAG(std::uint64_t, seed, 0, "Random seed of the decision cores; 0 for a random one");
ABSL_FLAG(std::int64_t, header_timeout_ms, 10'000,
          "Timeout of a caller's header, from its first byte");
ABSL_FLAG(std::int64_t, body_stall_ms, 15'000, "Timeout between two reads of a caller's body");
ABSL_FLAG(std::int64_t, idle_timeout_ms, 75'000, "Timeout of a caller's idle connection");
ABSL_FLAG(std::int64_t, write_stall_ms, 30'000, "Timeout of a caller that does not read");
ABSL_FLAG(std::uint64_t, min_client_bytes_s, 1024,
          "Rate below which a caller's body or answer times out after its first stall timeout");
ABSL_FLAG(std::int64_t, connect_timeout_ms, 1'000, "Timeout of connecting to a backend server");
ABSL_FLAG(std::int64_t, stream_stall_ms, 10'000,
          "Timeout between two events of an engine's stream");
ABSL_FLAG(std::int64_t, upstream_idle_ms, 30'000, "Timeout of an unused pooled connection");
ABSL_FLAG(std::int64_t, order_horizon_ms, 8'000, "An order takes effect within this or never");
ABSL_FLAG(std::int64_t, balancer_wait_ms, 2'000, "On a stop: not ready but still listening");
ABSL_FLAG(std::int64_t, longest_stop_ms, 660'000, "Time limit of a graceful stop");
ABSL_FLAG(std::uint64_t, max_header_bytes, 16 * 1024, "Limit of a caller's header");
ABSL_FLAG(std::uint64_t, max_body_bytes, 4 * 1024 * 1024, "Limit of a chat or completion body");
ABSL_FLAG(std::uint64_t, max_answer_bytes, 8 * 1024 * 1024,
          "Limit of an answer that is not streamed");
ABSL_FLAG(std::uint64_t, max_keyed_bytes, 512 * 1024, "Limit of a keyed call's body or answer");
ABSL_FLAG(std::uint64_t, max_plain_bytes, 1024ULL * 1024 * 1024,
          "Limit of a body for a plain service");
ABSL_FLAG(std::uint64_t, max_connections, 10'000, "Limit of callers' connections");
ABSL_FLAG(std::uint64_t, max_relay_connections, 2'000,
          "Limit of connections of other daemons that pass on requests");
ABSL_FLAG(std::uint64_t, max_peer_connections, 2'048, "Limit of connections of other daemons");
ABSL_FLAG(std::uint64_t, max_operator_connections, 64,
          "Limit of connections at the ready port, and at the admin port");
ABSL_FLAG(std::uint64_t, socket_buffer_bytes, 0,
          "Buffer of the kernel for an accepted connection, each way; 0: by the memory");
ABSL_FLAG(std::uint64_t, memory_mb, 0,
          "Memory that the process may use; 0: as --settings says, else the machine's");
ABSL_FLAG(std::uint64_t, max_requests, 4'096, "Limit of requests in flight and queued");
ABSL_FLAG(std::uint64_t, max_idle_upstream, 64, "Pooled connections to each target");
ABSL_FLAG(
    std::string, settings, "",
    "Settings file of the users' platform; then tables, runners and groups come from its store");
ABSL_FLAG(std::string, ready_listen, "",
          "IP:port of the load balancer's readiness check, with --settings");
ABSL_FLAG(std::vector<std::string>, without, {},
          "Decision mechanisms to disable, comma-separated; an unknown name lists them");
ABSL_FLAG(bool, check_settings, false, "Check the settings, report errors, and exit");

namespace jaynotch {

namespace {

std::chrono::milliseconds ms(const absl::Flag<std::int64_t>& flag)
{
    return std::chrono::milliseconds{absl::GetFlag(flag)};
}

daemon_timeouts timeouts_from_flags()
{
    daemon_timeouts timeouts;
    timeouts.http.header = ms(FLAGS_header_timeout_ms);
    timeouts.http.body_stall = ms(FLAGS_body_stall_ms);
    timeouts.http.idle = ms(FLAGS_idle_timeout_ms);
    timeouts.http.write_stall = ms(FLAGS_write_stall_ms);
    timeouts.http.min_bytes_s = absl::GetFlag(FLAGS_min_client_bytes_s);
    timeouts.connect = ms(FLAGS_connect_timeout_ms);
    timeouts.stream_stall = ms(FLAGS_stream_stall_ms);
    timeouts.upstream_idle = ms(FLAGS_upstream_idle_ms);
    timeouts.order_horizon = ms(FLAGS_order_horizon_ms);
    timeouts.balancer_wait = ms(FLAGS_balancer_wait_ms);
    timeouts.max_stop_time = ms(FLAGS_longest_stop_ms);
    return timeouts;
}

daemon_limits limits_from_flags()
{
    constexpr std::size_t bytes_in_mb = 1024UL * 1024UL;
    daemon_limits limits;
    limits.http.header_bytes = absl::GetFlag(FLAGS_max_header_bytes);
    limits.model_body_bytes = absl::GetFlag(FLAGS_max_body_bytes);
    limits.answer_bytes = absl::GetFlag(FLAGS_max_answer_bytes);
    limits.keyed_body_bytes = absl::GetFlag(FLAGS_max_keyed_bytes);
    limits.http.body_bytes = absl::GetFlag(FLAGS_max_plain_bytes);
    limits.http.connections = absl::GetFlag(FLAGS_max_connections);
    limits.relay_connections = absl::GetFlag(FLAGS_max_relay_connections);
    limits.peer_connections = absl::GetFlag(FLAGS_max_peer_connections);
    limits.operator_connections = absl::GetFlag(FLAGS_max_operator_connections);
    limits.http.socket_buffer_bytes = absl::GetFlag(FLAGS_socket_buffer_bytes);
    limits.memory_bytes = absl::GetFlag(FLAGS_memory_mb) * bytes_in_mb;
    limits.requests = absl::GetFlag(FLAGS_max_requests);
    limits.idle_upstream = absl::GetFlag(FLAGS_max_idle_upstream);
    return limits;
}

/// The flag's value, or the settings file's value if the flag has its default.
std::string flag_or(const absl::Flag<std::string>& flag, const std::string& default_value,
                    const std::string& from_file)
{
    std::string given = absl::GetFlag(flag);
    return given == default_value ? from_file : given;
}

/// Applies the platform's settings file for this VM; flags take precedence.
result<void> read_site(const std::string& path, daemon_settings& chosen)
{
    constexpr std::string_view default_admin_port = ":9464";
    BOOST_OUTCOME_TRY(const site_settings site, platform::read_settings(path));
    chosen.source = source_kind::registry;
    chosen.node = node_id{flag_or(FLAGS_node, "", site.node.value())};
    chosen.failure_domain =
        failure_domain_id{flag_or(FLAGS_failure_domain, "", site.failure_domain.value())};
    chosen.deployment = flag_or(FLAGS_deployment, "", "jaynotch");
    chosen.listen = flag_or(FLAGS_listen, "127.0.0.1:8080", site.listen);
    chosen.peer_listen = flag_or(FLAGS_peer_listen, "127.0.0.1:8081", site.peer_listen);
    chosen.relay_listen = flag_or(FLAGS_relay_listen, "", site.relay_listen);
    chosen.ready_listen = flag_or(FLAGS_ready_listen, "", site.ready_listen);
    chosen.admin_listen = flag_or(FLAGS_admin_listen, "127.0.0.1:8082",
                                  site.bind_ip + std::string{default_admin_port});
    if (chosen.key_value.empty())
        chosen.key_value = {site.store};
    if (chosen.seed_peers.empty())
        chosen.seed_peers = site.seed_peers;
    chosen.first_start = site.first_start;
    chosen.site = site.bounds;
    if (chosen.limits.memory_bytes == 0)
        chosen.limits.memory_bytes = site.memory_bytes;
    chosen.limits.descriptors = site.descriptors;
    chosen.limits.link_bytes_s = site.link_bytes_s;
    // The platform kills the process when its time limit for a stop has passed. Requests that are
    // still in flight are closed in an orderly way this long before that.
    constexpr std::chrono::milliseconds before_kill{500};
    chosen.timeouts.max_stop_time =
        std::min(chosen.timeouts.max_stop_time, site.bounds.stop - before_kill);
    // Bounds the delay that an unreachable server causes its caller. Reachable servers are about a
    // millisecond away.
    constexpr std::chrono::milliseconds max_connect_time{400};
    chosen.timeouts.connect = std::min(chosen.timeouts.connect, max_connect_time);
    return success();
}

} // namespace

result<startup_settings> settings_from_flags(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "jaynotchd: the daemon of one entry VM. Every flag may also be set as the environment "
        "variable JAYNOTCH_<FLAG>; the flag takes precedence.\n"
        "Exit codes: 0 stopped gracefully, 1 internal error, 2 invalid setting, 3 a port can't be "
        "opened.");
    BOOST_OUTCOME_TRY(read_environment("daemon/flags.cc"));
    const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() > 1)
        return error{error_kind::invalid_argument, std::string{"unexpected argument "} + rest[1],
                     "write settings as --flag=value; `jaynotchd --help` lists them"};
    startup_settings started;
    started.check_only = absl::GetFlag(FLAGS_check_settings);
    daemon_settings& chosen = started.settings;
    chosen.node = node_id{absl::GetFlag(FLAGS_node)};
    chosen.failure_domain = failure_domain_id{absl::GetFlag(FLAGS_failure_domain)};
    chosen.deployment = absl::GetFlag(FLAGS_deployment);
    chosen.listen = absl::GetFlag(FLAGS_listen);
    chosen.peer_listen = absl::GetFlag(FLAGS_peer_listen);
    chosen.admin_listen = absl::GetFlag(FLAGS_admin_listen);
    chosen.peer_advertise = absl::GetFlag(FLAGS_peer_advertise);
    chosen.source_address = absl::GetFlag(FLAGS_source_address);
    chosen.key_value = absl::GetFlag(FLAGS_key_value);
    chosen.vm_list = absl::GetFlag(FLAGS_vm_list);
    chosen.weight_store = absl::GetFlag(FLAGS_weight_store);
    chosen.seed_peers = absl::GetFlag(FLAGS_seed_peers);
    chosen.caller_tls = {absl::GetFlag(FLAGS_caller_certificate), absl::GetFlag(FLAGS_caller_key),
                         absl::GetFlag(FLAGS_caller_authority)};
    chosen.peer_tls = {absl::GetFlag(FLAGS_peer_certificate), absl::GetFlag(FLAGS_peer_key),
                       absl::GetFlag(FLAGS_peer_authority)};
    chosen.admin_tls = {absl::GetFlag(FLAGS_admin_certificate), absl::GetFlag(FLAGS_admin_key),
                        absl::GetFlag(FLAGS_admin_authority)};
    chosen.trace_file = absl::GetFlag(FLAGS_trace_file);
    chosen.seed = absl::GetFlag(FLAGS_seed);
    BOOST_OUTCOME_TRY(chosen.mechanisms, mechanism_set::all_except(absl::GetFlag(FLAGS_without)));
    chosen.timeouts = timeouts_from_flags();
    chosen.limits = limits_from_flags();
    const std::string site_file = absl::GetFlag(FLAGS_settings);
    if (!site_file.empty()) {
        BOOST_OUTCOME_TRY(read_site(site_file, chosen));
    }
    return started;
}

result<daemon_settings> reload_settings(daemon_settings running)
{
    const std::string site_file = absl::GetFlag(FLAGS_settings);
    running.key_value.clear();
    running.seed_peers.clear();
    BOOST_OUTCOME_TRY(read_site(site_file, running));
    return running;
}

} // namespace jaynotch
