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

    friend bool operator==(const route&, const route&) = default;
};

/// A workspace's part of a pool.
struct share {
    workspace_id workspace;
    double weight = 1.0;             ///< relative, of a contended pool
    std::uint32_t max_in_flight = 0; ///< over all entry VMs; 0 for no limit

    friend bool operator==(const share&, const share&) = default;
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

    friend bool operator==(const pool&, const pool&) = default;
};

/// Both tables at one revision.
struct configuration {
    std::string deployment; ///< both tables name it; a foreign one is refused
    config_revision revision;
    std::vector<route> routes; ///< by name
    std::vector<pool> pools;   ///< by name

    friend bool operator==(const configuration&, const configuration&) = default;
};

} // namespace jaynotch

// The library's parts: parse.h (TOML and problems), check.h (the fleet), merge.h (diff and merge),
// pages.h (content-addressed pages).
