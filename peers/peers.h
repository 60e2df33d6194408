// Public header of the peers library: which daemons are alive, and what they tell one another.
//
//   auto peers = peer_service::create(io, settings).value();
//   peers->on_rumor([&](const rumor& heard) { ... });      // tickets, demand, leaving servers
//   peers->on_member([&](const member& changed) { ... });
//   co_spawn(io, peers->run(), detached);
//   peers->publish(ticket_digest{.group = wire_key("g-1"), .fencing = f, .complete = true});
//   co_await peers->leave();                                // says goodbye, then stops
//
// Parts: payload.h (typed items), frame.h (codec), membership.h (the decision core),
// transport.h (TCP and mutual TLS), key_relay.h (keys of the platform that a few nodes watch).
#pragma once

#include "base/base.h"
#include "peers/frame.h"
#include "peers/membership.h"
#include "peers/payload.h"
#include "peers/store_followers.h"
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
    std::string listen = "127.0.0.1:0"; ///< "IP:port"; port 0 takes a free one
    std::string advertise;              ///< "IP:port" told to peers; empty for the bound address
    std::vector<std::string> seeds;     ///< "IP:port" of peers to ask first
    std::uint64_t boot = 0;             ///< grows with each start of this node; 0: wall time in ms
    peer_tls_files tls;                 ///< empty: plain TCP, with a warning in the log
    std::uint64_t random_seed = 0;      ///< 0: taken from the boot and the name
};

/// Drives membership_core with sockets and timers. Lives on one io_context, on its thread.
class peer_service {
public:
    /// Binds the port. Errors: a port in use, key files that can't be read.
    static result<std::unique_ptr<peer_service>> create(boost::asio::io_context& io,
                                                        peer_settings settings);
    peer_service(const peer_service&) = delete;
    peer_service& operator=(const peer_service&) = delete;
    ~peer_service();

    /// Runs until leave() has ended or `stop` was called.
    boost::asio::awaitable<void> run();
    /// Tells the peers that this node leaves, so that nobody waits for a suspicion; then stops.
    boost::asio::awaitable<void> leave();
    void stop();

    /// Tells every node; what is urgent (leaving, a ticket that is gone) goes out at once.
    void publish(const rumor& item);
    /// Addresses of peers learned elsewhere (node keys of the key-value service).
    void add_seeds(const std::vector<std::string>& addresses);

    void on_rumor(std::function<void(const rumor&)> handler);
    /// Called when a member joins, changes its state or starts anew.
    void on_member(std::function<void(const member&)> handler);
    /// Another process with this node's name and a newer boot has taken its place.
    void on_superseded(std::function<void()> handler);

    /// Every member known, this node included.
    [[nodiscard]] std::vector<member> members() const;
    /// Grows with each change of members().
    [[nodiscard]] std::uint64_t members_version() const;
    [[nodiscard]] const member& self() const;
    [[nodiscard]] const std::string& address() const; ///< "IP:port" bound
    [[nodiscard]] peer_counters counters() const;

    // For config_service.
    void set_config(config_revision installed, bool platform_lost);
    void on_config(std::function<void(const config_message&)> handler);
    void on_confirmation(std::function<void(const confirmation&)> handler);
    void send_config(const node_id& to, const config_body& body);

    // For the relay of keys (key_relay.h).
    void on_keys(std::function<void(const key_message&)> handler);
    void send_keys(const node_id& to, const key_body& body);

    // Second opinions on backend servers.
    void on_server_message(std::function<void(const server_message&)> handler);
    void send_server_message(const node_id& to, const server_body& body);

    /// Asks nodes for a sign of life, and so for the revision that they have installed.
    void ping_nodes(const std::vector<node_id>& nodes);

private:
    class state;
    explicit peer_service(std::shared_ptr<state> shared_state);
    std::shared_ptr<state> m_state;
};

} // namespace jaynotch
