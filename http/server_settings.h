// What an HTTP server allows its callers: times, sizes and TLS.
//
//   http_server_settings settings;
//   settings.limits.header_bytes = 8 * 1024;
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace jaynotch {

/// PEM files of one side of a TLS connection; all empty for plain TCP.
struct tls_files {
    std::string certificate;
    std::string key;
    std::string authority; ///< checks the other side's certificate; empty: it needs none

    [[nodiscard]] bool enabled() const { return !certificate.empty(); }
};

/// How long a server waits for a caller.
struct http_timeouts {
    std::chrono::milliseconds header{10'000};      ///< a header, from its first byte
    std::chrono::milliseconds body_stall{15'000};  ///< between two reads of a body
    std::chrono::milliseconds idle{75'000};        ///< a connection between two requests
    std::chrono::milliseconds write_stall{30'000}; ///< a caller that takes no bytes
};

/// What a server takes at most, whatever callers send.
struct http_server_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 1024ULL * 1024 * 1024;
    std::size_t connections = 10'000;
};

struct http_server_settings {
    http_timeouts timeouts;
    http_server_limits limits;
    tls_files tls;
};

} // namespace jaynotch
