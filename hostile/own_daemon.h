// A daemon with tables of its own in a key-value service, in a process of its own with little
// memory.
#pragma once

#include "scenarios/child_process.h"
#include "standins/fleet.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace jaynotch {

class own_daemon {
public:
    static constexpr std::size_t memory_mb = 64;

    /// With `tls`, its port for callers takes TLS only.
    explicit own_daemon(bool tls);
    own_daemon(const own_daemon&) = delete;
    own_daemon& operator=(const own_daemon&) = delete;
    ~own_daemon();

    [[nodiscard]] const std::string& listen() const { return m_listen; }
    /// Asserts that it lives within its memory and answers a request.
    void expect_sound();

private:
    void make_certificate() const;
    void start_process();
    void apply_tables() const;
    /// The status of an ordinary request; 0 if it has no answer.
    [[nodiscard]] int ask() const;
    [[nodiscard]] int ask_with_tls() const;
    [[nodiscard]] std::size_t memory() const;

    bool m_tls;
    boost::asio::io_context m_io;
    std::string m_folder;
    std::string m_listen;
    std::string m_peer_listen;
    std::string m_admin_listen;
    std::shared_ptr<standin_fleet> m_platform;
    std::thread m_platform_thread;
    std::optional<child_process> m_process;
};

} // namespace jaynotch
