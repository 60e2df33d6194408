// Options of the command line, from flags and JAYNOTCH_… environment variables.
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

/// Options of `jaynotch load`.
struct load_options {
    std::string target; ///< "IP:port" at which a daemon serves callers
    std::string model;
    std::string workspace;
    double rate = 5.0; ///< requests per second, open loop
    double seconds = 5.0;
    std::uint64_t seed = 1;
    std::uint32_t prompt_bytes = 200;
    std::uint32_t max_tokens = 32; ///< 0: the engine decides
};

struct cli_options {
    std::vector<std::string> arguments; ///< the command and its arguments
    std::vector<std::string> admin;     ///< admin "IP:port" of daemons, tried in order
    std::string certificate;            ///< PEM file; empty: plain HTTP
    std::string key;                    ///< PEM file of the certificate's private key
    std::string authority;              ///< PEM file of the CA; empty: the system's CAs
    std::string directory;              ///< folder of routes.toml, pools.toml and revision.lock
    std::string author;
    std::string message;
    std::string change_id;           ///< empty: generate one
    std::int64_t base_revision = -1; ///< -1: from revision.lock
    std::int64_t revision = 0;       ///< 0: the current revision
    bool wait = false;
    std::chrono::milliseconds timeout{5'000};
    std::chrono::milliseconds wait_timeout{20'000};
    output_format output = output_format::text;
    load_options load;
};

/// Parses and checks the options. The error of an invalid value names the flag and the remedy.
result<cli_options> options_from_flags(int argc, char** argv);

/// The text that `jaynotch help` prints.
std::string usage_text();

} // namespace jaynotch
