// Settings of an HTTP server: timeouts, size limits and TLS.
//
//   http_server_settings settings;
//   settings.limits.header_bytes = 8 * 1024;
#pragma once

#include "base/base.h"
#include "http/held_memory.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace jaynotch {

/// PEM files of one endpoint of a TLS connection; all empty for plain TCP.
struct tls_files {
    std::string certificate;
    std::string key;
    std::string authority; ///< CA that the peer's certificate must chain to; empty: not checked

    [[nodiscard]] bool enabled() const { return !certificate.empty(); }
};

/// How long the server waits for a caller before it gives up.
struct http_timeouts {
    std::chrono::milliseconds header{10'000};      ///< whole header, from its first byte
    std::chrono::milliseconds body_stall{15'000};  ///< between two reads of a body
    std::chrono::milliseconds idle{75'000};        ///< between two requests of a connection
    std::chrono::milliseconds write_stall{30'000}; ///< one write of response bytes
    /// Rate that a caller must keep up on average beyond one such timeout: of a request's body, not
    /// counting the time in which it isn't read, and of a response that is written.
    std::size_t min_bytes_s = 1024;
};

/// Upper limits on what callers may send and open.
struct http_server_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 1024ULL * 1024 * 1024;
    std::size_t connections = 10'000;    ///< open at the same time
    std::size_t socket_buffer_bytes = 0; ///< of the kernel, each way; 0: the system's
    std::size_t closing = 1'000;         ///< besides, refused ones and others that are being closed
};

struct http_server_settings {
    http_timeouts timeouts;
    http_server_limits limits;
    tls_files tls;
    /// What all connections of the process hold; servers may share it.
    std::shared_ptr<held_memory> memory = std::make_shared<held_memory>();
};

} // namespace jaynotch
