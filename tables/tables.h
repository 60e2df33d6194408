// Public header of the tables library: what operators write.
//
// Two tables and nothing else: routes say where each kind of request goes, pools say which VMs
// serve which model (or which servers a plain service has). They are TOML files kept in version
// control and are joined by pool names.
//
// A table is a list of rows; a row's name is its identity for diffs and merges.
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

/// What a route matches on.
enum class request_kind { chat, completion, plain };

template <>
struct enum_names<request_kind> {
    static constexpr std::array entries{
        named{request_kind::chat, "chat"},
        named{request_kind::completion, "completion"},
        named{request_kind::plain, "plain"},
    };
};

/// Who goes first when machines are few; higher enumerators go first.
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

/// What may be done again when the outcome of a sending is unknown.
enum class repeat_policy {
    idempotent, ///< may be sent again
    keyed,      ///< at most once for each idempotency key; a repeat is answered from the record
    never,      ///< sent once, never again
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

/// A service that takes part of a route's requests.
struct backend_share {
    std::string service;
    double weight = 1.0; ///< relative to the route's other services

    friend bool operator==(const backend_share&, const backend_share&) = default;
};

/// One row of routes.toml. The most specific row that matches wins: model before any model, named
/// workspaces before "*", the longer path prefix before the shorter.
struct route {
    route_id name;
    request_kind kind = request_kind::chat;
    std::string model;                   ///< as callers name it; empty for plain routes
    std::vector<std::string> workspaces; ///< "*" for all
    std::vector<std::string> methods;    ///< plain routes only; empty for all
    std::string path_prefix;             ///< plain routes only
    pool_id pool;
    std::string adapter; ///< LoRA adapter of the pool's model, or empty
    priority_class priority = priority_class::standard;
    repeat_policy repeat = repeat_policy::idempotent;
    std::chrono::milliseconds timeout{30'000}; ///< to the first byte of the answer
    std::chrono::milliseconds longest_stream{600'000};
    std::uint32_t retries = 1;                ///< most further sendings, for idempotent routes
    std::chrono::seconds key_keeping{86'400}; ///< how long a keyed outcome is kept

    // What only an operator's store says, not routes.toml.
    std::string host;                    ///< plain routes: the Host that callers name; empty: any
    std::vector<backend_share> backends; ///< instead of `pool`: services, joined by their names
    bool open = false;                   ///< needs no key
    bool streaming = false;              ///< the answer is a series of events
    bool resumable = false;              ///< such a series may go on from another server
    bool retry_server_errors = false;    ///< idempotent: a server's 500 is asked for elsewhere
    std::uint32_t most_servers = 0;      ///< that one request may run on; 0: as `retries` allow
    std::chrono::milliseconds first_target{0}; ///< an answer later than this is worth less; 0: none
    std::chrono::milliseconds gap_target{0};   ///< the same for a pause between events

    friend bool operator==(const route&, const route&) = default;
};

/// A workspace's part of a pool.
struct share {
    workspace_id workspace;
    double weight = 1.0;             ///< relative, of a contended pool
    std::uint32_t max_in_flight = 0; ///< over all entry VMs; 0 for no limit

    friend bool operator==(const share&, const share&) = default;
};

/// How fast an engine works, as its operators publish it.
struct engine_figures {
    double step_ms = 0.0;                 ///< one token for all requests that write
    double sequence_ms = 0.0;             ///< more for each request that writes
    double context_ms_per_1k = 0.0;       ///< more for each 1,000 tokens of their contexts
    double prompt_tokens_per_ms = 0.0;    ///< reading of prompts; 0: no figures are known
    double pairs_ms_per_1m = 0.0;         ///< more for each million pairs of tokens in a prompt
    std::uint32_t chunk_tokens = 0;       ///< of prompts read in one step
    std::uint32_t steps_per_pass = 1;     ///< tokens of one event
    double time_factor = 1.0;             ///< factor on all of this model's times
    std::uint32_t mean_prompt_tokens = 0; ///< mean tokens
    std::uint32_t mean_answer_tokens = 0;

    [[nodiscard]] bool known() const { return prompt_tokens_per_ms > 0.0 && step_ms > 0.0; }
    friend bool operator==(const engine_figures&, const engine_figures&) = default;
};

/// What forming a model's groups takes, as its operators publish it.
struct forming_figures {
    std::chrono::milliseconds load{0};    ///< weights from the weight store onto a host
    std::chrono::milliseconds warm_up{0}; ///< a join of a runner whose host has the weights
    std::chrono::milliseconds open{0};    ///< from the order to open until it serves
    double share = 0.0;                   ///< the model's part of the runners at the start
    double loads_per_s = 0.0;             ///< that may begin, over all runners; 0: no bound
    std::uint32_t loads_at_once = 0;      ///< more of them slow one another down; 0: no bound
    std::uint32_t staged_models = 1;      ///< that a host keeps

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
    std::uint32_t replica_vms = 1;                ///< VMs of one replica, all of one fabric domain
    std::uint32_t replicas = 1;                   ///< replicas wanted
    std::uint32_t standbys = 0;                   ///< VMs bound to groups ahead of need, in all
    std::vector<fabric_domain_id> fabric_domains; ///< where it may live; empty for anywhere
    std::uint32_t rank = 0;            ///< who gives way when VMs are short: the lower rank
    double weight_down = 1.0;          ///< cost of a group-second of downtime
    double weight_idle = 1.0;          ///< cost of an idle accelerator-second
    bool engine_checks_fencing = true; ///< whether its engines refuse an old fencing number
    std::uint32_t max_in_flight_per_replica = 64;

    // Plain pools.
    std::vector<std::string> servers; ///< "address:port"
    std::uint32_t max_in_flight_per_server = 64;

    std::vector<share> shares; ///< workspaces not named get weight 1

    // What only an operator's store says, not pools.toml.
    std::string service;               ///< pools of one service differ in their model
    std::uint32_t max_connections = 0; ///< that one server takes from all nodes; 0: no bound
    engine_figures engine;
    forming_figures forming;

    friend bool operator==(const pool&, const pool&) = default;
};

/// A workspace that proves itself by a key.
struct workspace_row {
    workspace_id name;
    std::vector<std::string> keys;
    std::optional<priority_class> priority; ///< goes before that of the route

    friend bool operator==(const workspace_row&, const workspace_row&) = default;
};

/// What callers may send, where the operators say so.
struct caller_limits {
    std::size_t header_bytes = 0;
    std::size_t body_bytes = 0;
    std::chrono::milliseconds header_timeout{0};
    std::chrono::milliseconds idle_timeout{0};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// Both tables at one revision.
struct configuration {
    std::string deployment; ///< both tables name it; a foreign one is refused
    config_revision revision;
    std::vector<route> routes; ///< by name
    std::vector<pool> pools;   ///< by name
    /// Who may call. Empty: callers name their workspace themselves.
    std::vector<workspace_row> workspaces;
    std::optional<caller_limits> limits; ///< instead of this node's own

    friend bool operator==(const configuration&, const configuration&) = default;
};

} // namespace jaynotch

// The library's parts: parse.h (TOML and problems), check.h (the fleet), merge.h (diff and merge),
// pages.h (content-addressed pages).
