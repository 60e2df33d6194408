// Carries frames between daemons over TCP or mutual TLS. It decides nothing: a frame that can't be
// sent at once waits in a short queue, and one that finds the queue full is dropped and counted.
//
//   auto transport = peer_transport::create(io, {.listen = "10.0.0.1:7100", .tls = files}).value();
//   transport->on_frame([&](const node_id& proved, std::string bytes) { ... });
//   transport->send(node_id{"entry-2"}, "10.0.0.2:7100", bytes);
#pragma once

#include "base/base.h"
#include "peers/peer_tls.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jaynotch {

struct transport_settings {
    std::string listen = "127.0.0.1:0"; ///< "IP:port"; port 0 takes a free one
    peer_tls_files tls;
    std::size_t max_inbound = 2048; ///< connections accepted at once
};

/// What the transport and the core have done so far.
struct peer_counters {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0; ///< frames with their length, without TLS and TCP headers
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_dropped = 0; ///< queue full or no connection
    std::uint64_t frames_refused = 0; ///< did not parse, foreign deployment, wrong sender
    std::uint64_t peers_refused = 0;  ///< handshakes that failed
    std::uint64_t connections = 0;    ///< open now
};

/// Connections to peers, opened when first needed and reused.
class peer_transport {
public:
    /// Binds the port. Errors: invalid_argument (address, key files), unavailable (port in use).
    static result<std::unique_ptr<peer_transport>> create(boost::asio::io_context& io,
                                                          transport_settings settings);
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    ~peer_transport();

    /// Called with the name that the peer's certificate proved; empty over plain TCP.
    void on_frame(std::function<void(const node_id& verified_name, std::string bytes)> handler);
    /// Sends to `node` at "IP:port". An empty node name takes whoever answers there (a seed).
    void send(const node_id& node, const std::string& address, std::string bytes);
    void stop();

    [[nodiscard]] const std::string& address() const; ///< bound
    [[nodiscard]] const peer_counters& counters() const;

private:
    class state;
    explicit peer_transport(std::shared_ptr<state> shared_state);
    std::shared_ptr<state> m_state;
};

} // namespace jaynotch
