// One entry VM's process where backend servers register themselves and operators write their tables
// into the platform's store: the same requests, groups and promises as `daemon`, with other
// sources.
//
//   auto made = registry_daemon::create(io, settings);
//   made.value()->start();
//   co_spawn(io, made.value()->stop(), detached);
#pragma once

#include "base/base.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jaynotch {

class registry_daemon {
public:
    /// Checks the settings and opens the ports.
    static result<std::unique_ptr<registry_daemon>> create(boost::asio::io_context& io,
                                                           const daemon_settings& settings);
    ~registry_daemon();
    registry_daemon(const registry_daemon&) = delete;
    registry_daemon& operator=(const registry_daemon&) = delete;

    void start();
    /// Graceful stop within the platform's bound: not ready at once, managers handed over, no new
    /// connections once the balancer has seen it, everything in flight finished.
    boost::asio::awaitable<void> stop();
    /// The settings file has changed.
    void reload(const daemon_settings& changed);
    void on_superseded(std::function<void()> handler);

    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::uint16_t listen_port() const;
    [[nodiscard]] std::string peer_address() const; ///< "IP:port" bound
    [[nodiscard]] daemon_counts counts() const;
    /// Groups that may be given requests now.
    [[nodiscard]] std::size_t complete_groups() const;
    /// Of the tables in force; 0 before the first.
    [[nodiscard]] config_revision tables_revision() const;

private:
    class impl;
    explicit registry_daemon(std::shared_ptr<impl> made);
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch
