// What the users' platform, its operators and its callers write, for programs that stand in for
// them.
//
//   put_config_version(*store, 7);                    // the operators' seventh configuration
//   std::ofstream{path} << render_settings({...});    // a daemon's settings file
//   client.call(caller_request({.id = "c1-7", .path = "/order/1", ...}), 7s);
//
// The configuration has three routes: /chat/ streams from the model service "llm" (one model of two
// runners), /order/ runs once at most and /read/ may be repeated, both on the plain service "app".
#pragma once

#include "http/http_client.h"
#include "standins/store_standin.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jaynotch {

/// Servers that a stream or a read of the configuration may run on.
constexpr int repeatable_attempts = 2;

/// Has the operators write a version. The keys of it and of the one before, "key-N", are in force.
void put_config_version(store_standin& store, std::int64_t version);

struct daemon_site {
    std::string node;
    std::string failure_domain;
    bool first_start = true;
    std::vector<std::string> seeds; ///< "IP:port" of peers
    std::string listen;             ///< for callers
    std::string ready_listen;
    std::string peer_listen;
    std::string store; ///< "IP:port"
};
/// A daemon's settings file.
std::string render_settings(const daemon_site& site);

struct caller_parameters {
    std::string id; ///< of the request; comes back with its answer
    std::string path;
    std::string key;
    std::string body; ///< empty: it reads
    bool streams = false;
};
http_request caller_request(const caller_parameters& form);
/// Whose answer it is, by its own word.
std::string answered_request_id(const http_response& answer);

} // namespace jaynotch
