// What the command line was told, from flags and JAYNOTCH_… variables.
#pragma once

#include "base/base.h"

#include <chrono>
#include <string>
#include <vector>

namespace jaynotch {

enum class output_format { text, json };

template <>
struct enum_names<output_format> {
    static constexpr std::array entries{named{output_format::text, "text"},
                                        named{output_format::json, "json"}};
};

/// What `jaynotch load` drives.
struct load_options {
    std::string target; ///< caller "IP:port" of a daemon
    std::string model;
    std::string workspace;
    double rate = 5.0; ///< requests a second, open loop
    double seconds = 5.0;
    std::uint64_t seed = 1;
    std::uint32_t prompt_bytes = 200;
    std::uint32_t max_tokens = 32; ///< 0 leaves it to the engine
};

struct cli_options {
    std::vector<std::string> arguments; ///< the command and its arguments
    std::vector<std::string> admin;     ///< "IP:port" of daemons, tried in this order
    std::string certificate;            ///< PEM; empty for plain HTTP
    std::string key;
    std::string authority;
    std::string directory; ///< of routes.toml, pools.toml and revision.lock
    std::string author;
    std::string message;
    std::string change_id;           ///< empty: a fresh one
    std::int64_t base_revision = -1; ///< -1: from revision.lock
    std::int64_t revision = 0;       ///< 0: the current one
    bool wait = false;
    std::chrono::milliseconds timeout{5'000};
    std::chrono::milliseconds wait_timeout{20'000};
    output_format output = output_format::text;
    load_options load;
};

/// Reads and checks them; an error names the flag and what to write.
result<cli_options> options_from_flags(int argc, char** argv);

/// What `jaynotch help` prints.
std::string usage_text();

} // namespace jaynotch
