// The process of one entry VM on a platform where backend servers register themselves in a store
// and operators write their tables into it. It serves requests and forms groups with the same
// guarantees as `daemon`; only the sources of tables, servers and groups differ.
//
//   auto made = registry_daemon::create(io, settings);
//   made.value()->start();
//   co_spawn(io, made.value()->stop(), detached);
#pragma once

#include "base/base.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"
#include "http/held_memory.h"

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
    /// Graceful stop within the platform's time limit: reports not ready at once, hands over its
    /// managers, accepts no new connections once the load balancer has noticed, and finishes
    /// everything in flight.
    boost::asio::awaitable<void> stop();
    /// Applies a changed settings file. Only the seed peers take effect; other settings need a
    /// restart.
    void reload(const daemon_settings& changed);
    /// `handler` is called when a process that started later runs under the same node name; this
    /// daemon must stop then.
    void on_superseded(std::function<void()> handler);

    /// Whether the load balancer may send callers here: tables are installed and no stop has begun.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::uint16_t listen_port() const;
    [[nodiscard]] std::uint16_t admin_port() const;
    /// 0 if requests of other nodes are not accepted.
    [[nodiscard]] std::uint16_t relay_port() const;
    [[nodiscard]] std::string peer_address() const; ///< "IP:port" that is bound
    [[nodiscard]] daemon_counts counts() const;
    /// What it holds for callers and backend servers that read slowly.
    [[nodiscard]] const held_memory_counts& held() const;
    /// Number of groups that may receive requests now.
    [[nodiscard]] std::size_t complete_groups() const;
    /// Whether it takes itself for cut off from all servers of some pool.
    [[nodiscard]] bool cut_off() const;
    /// Revision of the installed tables; 0 before the first were installed.
    [[nodiscard]] config_revision tables_revision() const;

private:
    class impl;
    explicit registry_daemon(std::shared_ptr<impl> made);
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch
