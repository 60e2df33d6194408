// Sends and receives frames between daemons over TCP or mutual TLS. Delivery is not guaranteed: a
// frame that can't be sent at once is put in a short queue, and if that is full it is dropped and
// counted. Control frames are sent before bulk frames to the same peer. Frames that the peer does
// not acknowledge are sent again once on a new connection, so a frame may arrive twice.
//
//   auto transport = peer_transport::create(io, {.listen = "10.0.0.1:7100", .tls = files}).value();
//   transport->on_frame([&](const node_id& verified_name, std::string bytes) { ... });
//   transport->send(node_id{"entry-2"}, "10.0.0.2:7100", bytes, frame_priority::control);
#pragma once

#include "base/base.h"
#include "peers/frame.h"
#include "peers/peer_tls.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jaynotch {

struct transport_settings {
    std::string listen = "127.0.0.1:0"; ///< "IP:port"; port 0 selects a free port
    peer_tls_files tls;
    std::size_t max_inbound = 2048; ///< maximum number of open inbound connections
};

/// Counters of the transport and the core since the start.
struct peer_counters {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0; ///< with length prefixes, without TLS and TCP headers
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_dropped = 0;     ///< queue full or no connection
    std::uint64_t frames_resent = 0;      ///< since they were not acknowledged
    std::uint64_t connections_silent = 0; ///< closed, since nothing was acknowledged for too long
    std::uint64_t frames_refused = 0;     ///< invalid, other deployment, wrong sender or target
    std::uint64_t peers_refused = 0;      ///< failed handshake, wrong name, too many connections
    std::uint64_t connections = 0;        ///< currently open
    std::uint64_t queued_bytes = 0;       ///< currently, to all peers
};

/// Connections to peers, opened when first needed and reused.
class peer_transport {
public:
    /// Binds the port. Errors: invalid_argument (address, TLS files), unavailable (can't bind).
    static result<std::unique_ptr<peer_transport>> create(boost::asio::io_context& io,
                                                          transport_settings settings);
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    ~peer_transport();

    /// Sets the handler of received frames. `verified_name` is the name in the peer's certificate;
    /// empty over plain TCP.
    void on_frame(std::function<void(const node_id& verified_name, std::string bytes)> handler);
    /// Sends a frame to `node` at "IP:port". With an empty node name any node that answers at the
    /// address gets it (a seed).
    void send(const node_id& node, const std::string& address, std::string bytes,
              frame_priority priority);
    void stop();

    [[nodiscard]] const std::string& address() const; ///< bound "IP:port"
    [[nodiscard]] const peer_counters& counters() const;

private:
    class state;
    explicit peer_transport(std::shared_ptr<state> shared_state);
    std::shared_ptr<state> m_state;
};

} // namespace jaynotch
