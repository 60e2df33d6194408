// Public header of the daemon library: the process of one entry VM, as an object.
//
//   boost::asio::io_context io;
//   result<std::unique_ptr<daemon>> made = daemon::create(io, settings);
//   made.value()->start();                        // serves once a configuration is installed
//   co_spawn(io, made.value()->stop(), detached); // graceful: finishes everything in flight
//   io.run();
//
// Tests and scenarios run several daemons on one io_context, which must have a single thread.
// Destroying a daemon that was not stopped acts like a crash: its connections are closed and its
// peers are not notified.
#pragma once

#include "base/base.h"
#include "daemon/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace jaynotch {

/// Counts for tests and benchmarks; operators read /metrics.
struct daemon_counts {
    std::uint64_t requests = 0;        ///< received from callers, for models and plain services
    std::uint64_t answered = 0;        ///< complete answers delivered
    std::uint64_t refused = 0;         ///< refusals of any kind
    std::uint64_t cut = 0;             ///< streams ended before their terminal event
    std::uint64_t resumed = 0;         ///< streams continued on another group
    std::uint64_t foreign_answers = 0; ///< answers with another attempt's id; dropped
    std::uint64_t tokens_relayed = 0;  ///< SSE events relayed to callers
    std::uint64_t in_flight = 0;       ///< at present
};

class daemon {
public:
    /// Checks the settings, opens the three ports and reads the TLS files.
    static result<std::unique_ptr<daemon>> create(boost::asio::io_context& io,
                                                  const daemon_settings& settings);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Starts accepting connections, watching the platform and exchanging messages with peers.
    void start();

    /// Graceful stop: reports not ready, waits for the load balancer to notice, finishes all
    /// requests in flight and leaves the membership. Completes when nothing is running any more, or
    /// after the time limit for a stop.
    boost::asio::awaitable<void> stop();

    /// `handler` is called when a process that started later runs under the same node name; this
    /// daemon must stop then.
    void on_superseded(std::function<void()> handler);

    /// Whether the load balancer may send callers here: no stop has begun, a configuration is
    /// installed and, if it has model pools, complete groups are known or the wait for them is
    /// over.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] config_revision revision() const;
    [[nodiscard]] std::uint16_t listen_port() const;
    [[nodiscard]] std::uint16_t peer_port() const;
    [[nodiscard]] std::uint16_t admin_port() const;
    [[nodiscard]] daemon_counts counts() const;
    /// Number of groups that may receive requests now.
    [[nodiscard]] std::size_t complete_groups() const;

private:
    class impl;
    explicit daemon(std::shared_ptr<impl> made);
    std::shared_ptr<impl> m_impl;
};

/// Settings from the command line, and whether to exit after checking them (--check_settings).
struct startup_settings {
    daemon_settings settings;
    bool check_only = false;
};
/// Reads flags and environment variables (JAYNOTCH_<FLAG>); flags take precedence. Only `jaynotchd`
/// calls it.
result<startup_settings> settings_from_flags(int argc, char** argv);

/// Reads the platform's settings file again, for a daemon that was started with one. Flags are not
/// parsed again and still take precedence over the file, except --key_value and --seed_peers, which
/// the file replaces.
result<daemon_settings> reload_settings(daemon_settings running);

} // namespace jaynotch
