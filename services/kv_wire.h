// Wire format of etcd v3's JSON gateway, for the client and for a stand-in of the service. It
// follows the JSON mapping of protocol buffers: 64-bit integers are strings, keys and values are
// base64, and fields with the value zero may be missing.
#pragma once

#include "base/base.h"
#include "outside/kv_types.h"

#include <boost/json.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// The response to a range request.
struct kv_wire_range {
    std::int64_t revision = 0;
    std::vector<kv_entry> entries;
};

struct kv_wire_lease {
    lease_id id;
    std::chrono::seconds ttl{0};
};

struct kv_wire_watch {
    std::int64_t revision = 0;
    bool created = false;
    bool canceled = false;
    std::vector<kv_event> events;
};

/// The first key after all keys that start with `prefix`; the gateway's range_end.
std::string prefix_end(std::string_view prefix);

std::string render_kv_get(std::string_view key);
std::string render_kv_get_prefix(std::string_view prefix);
std::string render_kv_transaction(const kv_transaction& transaction);
std::string render_kv_watch(std::string_view prefix, std::int64_t from_revision);

result<kv_wire_range> parse_kv_range(std::string_view body);
result<kv_outcome> parse_kv_outcome(std::string_view body);
result<kv_wire_lease> parse_kv_grant(std::string_view body);
result<kv_wire_lease> parse_kv_keep_alive(std::string_view body);
/// Parses one line of a watch's response.
result<kv_wire_watch> parse_kv_watch(std::string_view line);

boost::json::object render_kv_entry(const kv_entry& entry);
result<kv_transaction> parse_kv_transaction(std::string_view body);

} // namespace jaynotch
