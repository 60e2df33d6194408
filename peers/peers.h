// Public header of the peers library: failure detection and gossip among the daemons of a fleet.
//
//   auto peers = peer_service::create(io, settings).value();
//   peers->on_rumor([&](const rumor& received) { ... });   // tickets, demand, leaving servers
//   peers->on_member([&](const member& changed) { ... });
//   co_spawn(io, peers->run(), detached);
//   peers->publish(ticket_digest{.group = wire_key("g-1"), .fencing = f, .complete = true});
//   co_await peers->leave();                                // notifies peers, then stops
//
// Parts: payload.h (rumors), frame.h (encoding), membership.h (the decision core), transport.h (TCP
// and mutual TLS), key_relay.h (distribution of platform keys that only a few nodes watch),
// store_followers.h (choice of the nodes that watch), store_outage.h (whether the platform's store
// was away).
#pragma once

#include "base/base.h"
#include "peers/frame.h"
#include "peers/membership.h"
#include "peers/payload.h"
#include "peers/reading_turns.h"
#include "peers/store_followers.h"
#include "peers/store_outage.h"
#include "peers/transport.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jaynotch {

struct peer_settings {
    std::string deployment;
    node_id node;
    failure_domain_id failure_domain;
    std::string listen = "127.0.0.1:0"; ///< "IP:port"; port 0 selects a free port
    std::string advertise;              ///< "IP:port" sent to peers; empty: the bound address
    std::vector<std::string> seeds;     ///< "IP:port" of peers to contact first
    std::uint16_t relay_port = 0;       ///< member::relay_port
    std::uint64_t boot = 0;             ///< increases with each start; 0: wall time in ms
    peer_tls_files tls;                 ///< empty: plain TCP, with a warning in the log
    std::uint64_t random_seed = 0;      ///< 0: derived from the boot number and the node's name
    std::size_t max_inbound = 2'048;    ///< connections accepted from peers
};

/// Runs a membership_core with sockets and timers. All calls must be made on the io_context's
/// thread.
class peer_service {
public:
    /// Binds the port. Errors: invalid_argument (a setting is missing, TLS files can't be used),
    /// unavailable (the port can't be bound).
    static result<std::unique_ptr<peer_service>> create(boost::asio::io_context& io,
                                                        peer_settings settings);
    peer_service(const peer_service&) = delete;
    peer_service& operator=(const peer_service&) = delete;
    ~peer_service();

    /// Runs until leave() completes or stop() is called.
    boost::asio::awaitable<void> run();
    /// Announces that this node leaves, so that its peers need not detect it, then stops.
    boost::asio::awaitable<void> leave();
    void stop();

    /// Spreads a rumor to all nodes. Urgent ones (leaving servers, incomplete tickets) are sent at
    /// once, content notices at the next tick.
    void publish(const rumor& item);
    /// Adds addresses of peers from other sources (node keys of the key-value service).
    void add_seeds(const std::vector<std::string>& addresses);

    // Each handler replaces the previous one.
    /// Called for each new rumor of another node.
    void on_rumor(std::function<void(const rumor&)> handler);
    /// Called when a member joins, changes its state or restarts.
    void on_member(std::function<void(const member&)> handler);
    /// Called once if another process with this node's name and a higher boot number is found.
    void on_superseded(std::function<void()> handler);

    /// All known members, including this node.
    [[nodiscard]] std::vector<member> members() const;
    /// Increases with each change of members().
    [[nodiscard]] std::uint64_t members_version() const;
    [[nodiscard]] const member& self() const;
    [[nodiscard]] const std::string& address() const; ///< bound "IP:port"
    [[nodiscard]] peer_counters counters() const;

    // Distribution of the configuration (config_service).
    void set_config(config_revision installed, bool platform_lost);
    void on_config(std::function<void(const config_message&)> handler);
    void on_confirmation(std::function<void(const confirmation&)> handler);
    void send_config(const node_id& to, const config_body& body);

    // Key relay (key_relay.h).
    void on_keys(std::function<void(const key_message&)> handler);
    void send_keys(const node_id& to, const key_body& body, frame_priority priority);

    // Messages about backend servers, runners and the store.
    void on_server_message(std::function<void(const server_message&)> handler);
    void send_server_message(const node_id& to, const server_body& body);

    /// Pings `nodes`. Their acks carry the revision that they have installed.
    void ping_nodes(const std::vector<node_id>& nodes);

private:
    class state;
    explicit peer_service(std::shared_ptr<state> shared_state);
    std::shared_ptr<state> m_state;
};

} // namespace jaynotch
