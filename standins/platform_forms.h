// Documents and requests of the users' platform, its operators and its callers, for programs that
// replace them in tests.
//
//   put_config_version(*store, 7);                    // the operators' seventh configuration
//   std::ofstream{path} << render_settings({...});    // a daemon's settings file
//   client.call(caller_request({.id = "c1-7", .path = "/order/1", ...}), 7s);
//
// The configuration has three routes: /chat/ streams from the model service "llm" (one model in
// groups of two runners), /order/ is not idempotent and runs at most once, /read/ is idempotent and
// may be repeated; both use the plain service "app".
#pragma once

#include "http/http_client.h"
#include "standins/store_standin.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaynotch {

/// Maximum number of servers that a stream or a read may run on under this configuration.
constexpr int repeatable_attempts = 2;

/// Time after which a group with a missing member breaks, as the platform's settings state it.
constexpr std::chrono::milliseconds group_stall{5'000};

/// Timeout of each route, and of a caller's request, unless a test chooses another.
constexpr std::chrono::milliseconds usual_timeout{4'000};

/// Requests a second that a cold model server bears from all daemons, and the most that it may get
/// by the settings.
constexpr double cold_requests_per_s = 6.0;
constexpr double allowed_cold_requests = cold_requests_per_s * 1.5 + 5.0;

/// A model of the service "llm".
struct model_form {
    std::string name = "m";
    std::size_t size = 2; ///< runners in a group
    double share = 1.0;   ///< of the requests, as expected
};

/// Which keys a version of the configuration holds.
enum class version_keys {
    two_newest,    ///< "key-N" of this version and the previous one
    none,          ///< its workspace has no key
    no_workspaces, ///< its list of workspaces is empty
};

/// What a version of the configuration says beside its number.
struct configuration_form {
    std::chrono::milliseconds route_timeout = usual_timeout;
    std::size_t other_routes = 0; ///< that no caller uses, beside the three
    std::vector<model_form> models{{}};
    std::chrono::milliseconds load{40};
    std::chrono::milliseconds warm_up{40}; ///< of a model that is staged on the host
    std::size_t slots = 8;                 ///< of a group
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
    version_keys keys = version_keys::two_newest;
};

/// Writes a version of the operators' configuration.
void put_config_version(store_standin& store, std::int64_t version,
                        const configuration_form& form = {});

/// Settings of one daemon that differ between daemons.
struct daemon_site {
    std::string node;
    std::string failure_domain;
    bool first_start = true;
    std::vector<std::string> seeds; ///< "IP:port" of peers
    std::string listen;             ///< address for callers
    std::string ready_listen;
    std::string peer_listen;
    std::string store; ///< "IP:port" of the platform's store
    double retry_extra = 200.0;
    std::size_t memory_mb = 390;
    std::size_t max_descriptors = 0; ///< 0: not stated
    unsigned first_free_port = 0;    ///< for connections between nodes; 0: not stated
};
/// Contents of a daemon's settings file.
std::string render_settings(const daemon_site& site);

/// A caller's request.
struct caller_parameters {
    std::string id; ///< attempt id; returned with the response
    std::string path;
    std::string key;      ///< API key
    std::string body;     ///< empty: a GET request
    bool streams = false; ///< for the model service
    std::string model = "m";
    std::chrono::milliseconds deadline = usual_timeout;
};
http_request caller_request(const caller_parameters& form);
/// The attempt id that the response names.
std::string answered_request_id(const http_response& answer);
/// The id of the runner_standin that gave the answer, if it says there that it leaves.
std::string leaving_server(const http_response& answer);

} // namespace jaynotch
