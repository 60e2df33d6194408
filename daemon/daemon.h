// Public header of the daemon library: one entry VM's process, as an object.
//
//   boost::asio::io_context io;
//   result<std::unique_ptr<daemon>> made = daemon::create(io, settings);
//   made.value()->start();                       // listens; answers once a configuration is known
//   co_spawn(io, made.value()->stop(), detached); // graceful: finishes everything in flight
//   io.run();
//
// Several may run on one io_context, for tests and scenarios; all of them on its one thread.
// Destroying a daemon that was not stopped is a crash: connections are cut and nobody is told.
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
    std::uint64_t requests = 0;        ///< of callers, for a model or a plain service
    std::uint64_t answered = 0;        ///< whole answers delivered
    std::uint64_t refused = 0;         ///< refusals of any kind
    std::uint64_t cut = 0;             ///< streams ended without their terminal mark
    std::uint64_t resumed = 0;         ///< streams continued on another group
    std::uint64_t foreign_answers = 0; ///< answers that named another attempt; dropped
    std::uint64_t tokens_relayed = 0;  ///< SSE events handed to callers
    std::uint64_t in_flight = 0;       ///< now
};

class daemon {
public:
    /// Checks the settings, opens the three ports and reads the TLS files.
    static result<std::unique_ptr<daemon>> create(boost::asio::io_context& io,
                                                  const daemon_settings& settings);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Begins to accept, to watch the platform and to talk to peers.
    void start();

    /// Graceful stop: not ready, waits for the balancer, finishes everything in flight, leaves
    /// the membership. Completes when nothing is left running.
    boost::asio::awaitable<void> stop();

    /// Another process with this node's name and a newer start has taken its place; this one is to
    /// stop.
    void on_superseded(std::function<void()> handler);

    /// Whether callers may be sent here: a configuration is in force and no stop has begun.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] config_revision revision() const;
    [[nodiscard]] std::uint16_t listen_port() const;
    [[nodiscard]] std::uint16_t peer_port() const;
    [[nodiscard]] std::uint16_t admin_port() const;
    [[nodiscard]] daemon_counts counts() const;
    /// Groups that may be given requests now.
    [[nodiscard]] std::size_t complete_groups() const;

private:
    class impl;
    explicit daemon(std::shared_ptr<impl> made);
    std::shared_ptr<impl> m_impl;
};

/// Reads flags and environment variables (JAYNOTCH_<FLAG>; a flag wins). `check_only` is set by
/// --check-settings. Only `jaynotchd` calls it.
struct startup_settings {
    daemon_settings settings;
    bool check_only = false;
};
result<startup_settings> settings_from_flags(int argc, char** argv);

/// Reads the platform's settings file again, for a daemon that was started with one. The flags hold
/// on: they are parsed once in a process.
result<daemon_settings> reload_settings(daemon_settings running);

} // namespace jaynotch
