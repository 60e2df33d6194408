// Public header of the tables library: the configuration that operators write.
//
// It consists of two tables: routes say which pool serves each kind of request, pools say which VMs
// serve which model (or which servers a plain service has). Both are TOML files kept in version
// control. Routes refer to pools by name.
//
// A table is a list of rows; a row's name identifies it in diffs and merges.
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

/// Kind of request that a route matches.
enum class request_kind { chat, completion, plain };

template <>
struct enum_names<request_kind> {
    static constexpr std::array entries{
        named{request_kind::chat, "chat"},
        named{request_kind::completion, "completion"},
        named{request_kind::plain, "plain"},
    };
};

/// Order of service when capacity is short: higher enumerators first.
enum class priority_class { batch, standard, interactive, critical };

template <>
struct enum_names<priority_class> {
    static constexpr std::array entries{
        named{priority_class::batch, "batch"},
        named{priority_class::standard, "standard"},
        named{priority_class::interactive, "interactive"},
        named{priority_class::critical, "critical"},
    };
};

/// Whether a request may be sent again when the outcome of an attempt is unknown.
enum class repeat_policy {
    idempotent, ///< may be sent again
    keyed,      ///< runs at most once per idempotency key; repeats get the recorded answer
    never,      ///< sent only once
};

template <>
struct enum_names<repeat_policy> {
    static constexpr std::array entries{
        named{repeat_policy::idempotent, "idempotent"},
        named{repeat_policy::keyed, "keyed"},
        named{repeat_policy::never, "never"},
    };
};

enum class pool_kind { model, plain };

template <>
struct enum_names<pool_kind> {
    static constexpr std::array entries{
        named{pool_kind::model, "model"},
        named{pool_kind::plain, "plain"},
    };
};

/// A service that receives a share of a route's requests.
struct backend_share {
    std::string service;
    double weight = 1.0; ///< relative to the route's other services

    friend bool operator==(const backend_share&, const backend_share&) = default;
};

/// One row of routes.toml. Of the rows that match, the most specific one is used: a named model
/// before any model, named workspaces before "*", a longer path prefix before a shorter one.
struct route {
    route_id name;
    request_kind kind = request_kind::chat;
    std::string model;                   ///< name that callers use; empty for plain routes
    std::vector<std::string> workspaces; ///< "*" for all workspaces
    std::vector<std::string> methods;    ///< HTTP methods, plain routes only; empty for all
    std::string path_prefix;             ///< plain routes only
    pool_id pool;
    std::string adapter; ///< LoRA adapter of the pool's model, or empty
    priority_class priority = priority_class::standard;
    repeat_policy repeat = repeat_policy::idempotent;
    std::chrono::milliseconds timeout{30'000}; ///< until the first byte of the answer
    /// Maximum duration of a streamed answer.
    std::chrono::milliseconds longest_stream{600'000};
    std::uint32_t retries = 1;                ///< maximum number of further attempts, if idempotent
    std::chrono::seconds key_keeping{86'400}; ///< retention period of a keyed outcome

    // Set only by a configuration from the platform's store, not by routes.toml.
    std::string host;                    ///< plain routes: Host of the request; empty: any
    std::vector<backend_share> backends; ///< instead of `pool`: services, referred to by name
    bool open = false;                   ///< callers need no key
    bool streaming = false;              ///< the answer is a stream of events
    bool resumable = false;              ///< such a stream may be resumed on another server
    bool retry_server_errors = false;    ///< a server's 500 is retried on another server
    std::uint32_t most_servers = 0;      ///< servers that may run one request; 0: see `retries`
    /// Latency target until the answer begins; a later answer has less value. 0: none.
    std::chrono::milliseconds first_target{0};
    /// The same for the pause between two events.
    std::chrono::milliseconds gap_target{0};

    friend bool operator==(const route&, const route&) = default;
};

/// A workspace's share of a pool.
struct share {
    workspace_id workspace;
    double weight = 1.0;             ///< relative weight when the pool is contended
    std::uint32_t max_in_flight = 0; ///< requests over all entry VMs; 0: unlimited

    friend bool operator==(const share&, const share&) = default;
};

/// Performance figures of an engine, as published by its operators.
struct engine_figures {
    double step_ms = 0.0;              ///< one step, which generates a token per request
    double sequence_ms = 0.0;          ///< added to a step per request that generates
    double context_ms_per_1k = 0.0;    ///< added to a step per 1,000 tokens of their contexts
    double prompt_tokens_per_ms = 0.0; ///< speed of reading prompts; 0: no figures known
    double pairs_ms_per_1m = 0.0;      ///< added per million pairs of tokens in a prompt
    std::uint32_t chunk_tokens = 0;    ///< prompt tokens read in one step
    std::uint32_t steps_per_pass = 1;  ///< steps, and so tokens, per event
    double time_factor = 1.0;          ///< factor on all times of this model
    std::uint32_t mean_prompt_tokens = 0;
    std::uint32_t mean_answer_tokens = 0;

    [[nodiscard]] bool known() const { return prompt_tokens_per_ms > 0.0 && step_ms > 0.0; }
    friend bool operator==(const engine_figures&, const engine_figures&) = default;
};

/// Durations and limits of forming a model's groups, as published by its operators.
struct forming_figures {
    std::chrono::milliseconds load{0};    ///< loading weights from the weight store onto a host
    std::chrono::milliseconds warm_up{0}; ///< joining of a runner whose host has the weights
    std::chrono::milliseconds open{0};    ///< from the open order until the group serves
    double share = 0.0;                   ///< fraction of the runners for the model at the start
    double loads_per_s = 0.0;        ///< loads that all runners may begin per second; 0: unlimited
    std::uint32_t loads_at_once = 0; ///< above this number loads slow each other down; 0: unlimited
    std::uint32_t staged_models = 1; ///< models whose weights a host keeps

    friend bool operator==(const forming_figures&, const forming_figures&) = default;
};

/// One row of pools.toml.
struct pool {
    pool_id name;
    pool_kind kind = pool_kind::model;

    // Model pools.
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::uint32_t replica_vms = 1; ///< VMs of one replica, all in one fabric domain
    std::uint32_t replicas = 1;    ///< desired number of replicas
    std::uint32_t standbys = 0;    ///< VMs assigned to groups in advance as substitutes, in total
    std::vector<fabric_domain_id> fabric_domains; ///< fabric domains that it may use; empty: all
    std::uint32_t rank = 0;            ///< if VMs are short, pools of lower rank lose theirs first
    double weight_down = 1.0;          ///< cost of one second of downtime of a group
    double weight_idle = 1.0;          ///< cost of one idle second of an accelerator
    bool engine_checks_fencing = true; ///< whether its engines refuse old fencing numbers
    std::uint32_t max_in_flight_per_replica = 64;

    // Plain pools.
    std::vector<std::string> servers; ///< "address:port"
    std::uint32_t max_in_flight_per_server = 64;

    std::vector<share> shares; ///< workspaces not named get weight 1

    // Set only by a configuration from the platform's store, not by pools.toml.
    std::string service; ///< service of the pool; pools of one service differ in model
    std::uint32_t max_connections = 0; ///< to one server from all nodes; 0: unlimited
    std::chrono::milliseconds cold{0}; ///< a server is cold for this long after its start
    /// Requests per second that a cold server bears from all nodes together; 0: any number.
    double cold_per_s = 0.0;
    /// Tokens that the requests at one replica may hold together; 0: unknown.
    std::uint64_t memory_tokens = 0;
    engine_figures engine;
    forming_figures forming;

    friend bool operator==(const pool&, const pool&) = default;
};

/// A workspace, which callers identify by a key.
struct workspace_row {
    workspace_id name;
    std::vector<std::string> keys;
    std::optional<priority_class> priority; ///< overrides the priority of the route

    friend bool operator==(const workspace_row&, const workspace_row&) = default;
};

/// Limits on callers' requests and connections. Those that the operators set replace the node's.
struct caller_limits {
    std::optional<std::size_t> header_bytes;
    std::optional<std::size_t> body_bytes;
    std::optional<std::chrono::milliseconds> header_timeout;
    std::optional<std::chrono::milliseconds> idle_timeout;

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// Both tables at one revision.
struct configuration {
    std::string deployment; ///< stated in both tables; another one is refused
    config_revision revision;
    std::vector<route> routes; ///< sorted by name
    std::vector<pool> pools;   ///< sorted by name
    /// Workspaces that may call, identified by their keys. An empty list lets nobody call, except
    /// on open routes. If absent, no key is needed.
    std::optional<std::vector<workspace_row>> workspaces;
    caller_limits limits;

    [[nodiscard]] bool keys_required() const { return workspaces.has_value(); }
    /// Keys that identify a workspace; a key that stands twice counts twice.
    [[nodiscard]] std::size_t key_count() const
    {
        std::size_t sum = 0;
        if (workspaces) {
            for (const workspace_row& row : *workspaces)
                sum += row.keys.size();
        }
        return sum;
    }
    friend bool operator==(const configuration&, const configuration&) = default;
};

} // namespace jaynotch

// Other headers of the library: parse.h (TOML), check.h (checks), merge.h (diff and merge), pages.h
// (content-addressed pages).
