// A daemon in a process of its own before stand-ins of the platform, with little memory and few
// descriptors, and what it uses of both.
#pragma once

#include "scenarios/child_process.h"
#include "standins/platform_forms.h"
#include "standins/store_standin.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace jaynotch {

struct guarded_daemon_settings {
    /// Bound of its memory, with what it has received and not read.
    std::size_t memory_mb = 64;
    /// Bound of its descriptors, of which `file_descriptors` are not for sockets.
    std::size_t max_descriptors = 1'024;
    std::vector<std::string> flags; ///< further ones
    configuration_form configuration;
    std::size_t answer_padding = 0; ///< bytes in each answer of a plain server
    std::size_t stream_events = 6;
    std::chrono::milliseconds gap{10}; ///< between the events of a stream
};

class guarded_daemon {
public:
    /// Of the descriptors, as the platform divides them.
    static constexpr std::size_t file_descriptors = 200;

    explicit guarded_daemon(guarded_daemon_settings chosen);
    guarded_daemon(const guarded_daemon&) = delete;
    guarded_daemon& operator=(const guarded_daemon&) = delete;
    ~guarded_daemon();

    [[nodiscard]] const std::string& listen() const { return m_listen; }
    [[nodiscard]] const std::string& ready_listen() const { return m_ready_listen; }
    [[nodiscard]] const std::string& peer_listen() const { return m_peer_listen; }
    [[nodiscard]] const std::string& admin_listen() const { return m_admin_listen; }
    [[nodiscard]] const std::string& relay_listen() const { return m_relay_listen; }

    /// Text of a request as an ordinary caller sends it.
    [[nodiscard]] static std::string request(const std::string& path, const std::string& id,
                                             const std::string& body = "");
    /// Its head alone, with the given further header lines, each with its end.
    [[nodiscard]] static std::string head(const std::string& path, const std::string& id,
                                          const std::string& lines);
    /// The status of an ordinary request. It is sent again a few times after a refusal or a cut, as
    /// callers do; 0: never answered.
    [[nodiscard]] int ask(const std::string& path, const std::string& body = "") const;
    /// The status of the answer to a request's text, sent once.
    [[nodiscard]] int ask_text(const std::string& text) const;
    /// The status of a readiness check.
    [[nodiscard]] int ask_ready() const;
    /// The most bytes of memory that it has used so far, and what it has received and not read now.
    [[nodiscard]] std::size_t memory() const;
    [[nodiscard]] std::size_t sockets() const;
    [[nodiscard]] bool alive();
    /// Stops its process until resume(); its ports take connections and bytes meanwhile.
    void pause() const;
    void resume() const;

    /// Asserts that it lives within its bounds and answers an ordinary request.
    void expect_sound();
    /// Asserts that it lives within its bounds.
    void expect_within_bounds();

private:
    void start_platform();
    void start_process();

    guarded_daemon_settings m_settings;
    boost::asio::io_context m_io;
    std::string m_folder;
    std::string m_listen;
    std::string m_ready_listen;
    std::string m_peer_listen;
    std::string m_admin_listen;
    std::string m_relay_listen;
    std::shared_ptr<store_standin> m_store;
    std::vector<std::shared_ptr<runner_standin>> m_servers;
    std::thread m_platform;
    std::optional<child_process> m_process;
};

} // namespace jaynotch
