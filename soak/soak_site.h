// What a soak runs on: the platform's store and runners as stand-ins in this process, the daemons
// as processes of their own, and a fault_proxy on every link between them.
//
//   soak_site site{io, {.daemons = 4, .folder = "/tmp/soak-7"}, book};
//   site.start();
//   site.daemon(0).signal(SIGKILL);   ...   site.launch(0);
//   site.store_link(0).set(link_fault::silence);
#pragma once

#include "scenarios/child_process.h"
#include "soak/fault_proxy.h"
#include "soak/promise_book.h"
#include "standins/store_standin.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

struct soak_site_settings {
    std::string program = "build/jaynotchd";
    std::string folder; ///< for settings files and logs
    std::size_t daemons = 4;
    std::size_t runners = 10; ///< in two fabric domains
    std::size_t servers = 3;  ///< plain ones
    std::size_t stream_events = 12;
};

/// One entry VM: its process over all its lives.
struct soak_daemon {
    std::string name;
    std::string domain;
    std::string listen;
    std::string ready_listen;
    std::string peer_listen;
    std::string admin_listen;
    std::string settings_file;
    std::shared_ptr<fault_proxy> store_link;
    std::shared_ptr<fault_proxy> peer_link; ///< others reach it through this one
    std::optional<child_process> process;
    bool first_start = true;
    bool stopping = false; ///< it was asked to
};

/// One backend server and the link on which the daemons reach it.
struct soak_runner {
    std::shared_ptr<runner_standin> server;
    std::shared_ptr<fault_proxy> link;
    std::size_t recorded_runs = 0; ///< of what it ran, requests that are in the book
};

class soak_site {
public:
    soak_site(boost::asio::io_context& io, soak_site_settings settings, promise_checker& checker);

    /// Starts everything; daemons of the first start.
    void start();
    /// Starts a daemon's process.
    void launch(std::size_t index);
    /// Its settings file is written anew, as platforms do; the daemon is told by SIGHUP.
    void write_settings(const soak_daemon& one) const;
    void add_runner(const std::string& service, const std::string& zone, const std::string& domain);
    /// The operators' next version; the key of two versions ago ends with it.
    void publish_version();
    [[nodiscard]] std::int64_t version() const { return m_version; }
    /// Takes over what runners ran since the last call.
    void record_runs();
    /// Daemons that ended though nobody ended them.
    [[nodiscard]] std::vector<std::string> unexpected_exits();

    [[nodiscard]] std::vector<soak_daemon>& daemons() { return m_daemons; }
    [[nodiscard]] std::vector<soak_runner>& runners() { return m_runners; }
    [[nodiscard]] store_standin& store() { return *m_store; }
    [[nodiscard]] const runner_fabric& fabric() const { return *m_fabric; }
    [[nodiscard]] const soak_site_settings& settings() const { return m_settings; }

private:
    void add_daemon(std::size_t index);

    boost::asio::io_context& m_io;
    soak_site_settings m_settings;
    promise_checker& m_checker;
    std::shared_ptr<store_standin> m_store;
    std::shared_ptr<runner_fabric> m_fabric = std::make_shared<runner_fabric>();
    std::vector<soak_daemon> m_daemons;
    std::vector<soak_runner> m_runners;
    std::size_t m_last_runner = 0;
    std::int64_t m_version = 0;
};

} // namespace jaynotch
