// The system under test in a soak run: stand-ins for the platform's store and the runners in this
// process, the daemons as child processes, and a fault_proxy on each link between them.
//
//   soak_site site{io, {.daemons = 4, .folder = "/tmp/soak-7"}, checker};
//   site.start();
//   site.daemons()[0].process->signal(SIGKILL);   ...   site.launch(0);
//   site.daemons()[0].store_link->set(link_fault::silence);
#pragma once

#include "scenarios/child_process.h"
#include "soak/promise_book.h"
#include "standins/fault_proxy.h"
#include "standins/platform_forms.h"
#include "standins/store_standin.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaynotch {

struct soak_site_settings {
    std::string program = "build/jaynotchd";
    std::string folder; ///< for settings files and logs
    std::size_t daemons = 4;
    std::size_t failure_domains = 2;
    std::size_t runners = 10; ///< model runners
    /// Runners in a fabric domain; 0: each failure domain is one.
    std::size_t fabric_domain_size = 0;
    std::size_t servers = 3;             ///< plain backend servers
    std::size_t open_before_traffic = 2; ///< heads of groups that accept requests
    std::size_t stream_events = 12;
    /// Long enough for streams to be open whenever servers are paused.
    std::chrono::milliseconds stream_gap{25};
    configuration_form configuration;
    std::size_t model_slots = 0;                  ///< requests at once of a group; 0: any number
    std::size_t plain_slots = 0;                  ///< the same of a plain server
    std::chrono::milliseconds plain_work{0};      ///< time for a request
    std::chrono::milliseconds balancer_wait{300}; ///< of the daemons, on a planned stop
    std::size_t daemon_cores = 0;                 ///< that all daemons share; 0: all
    double store_link_bytes_per_s = 0.0; ///< all answers of the store share it; 0: unlimited
    link_sharing store_link_sharing = link_sharing::chunks;
    bool unknown_keys = false; ///< some callers send keys that no version ever held
    promise_bounds bounds;     ///< that the daemons are given and the checker checks
};

/// One entry VM: its addresses and its current process.
struct soak_daemon {
    std::string name;
    std::string domain;
    std::string listen;
    std::string ready_listen;
    std::string peer_listen;
    std::string admin_listen;
    std::string relay_listen; ///< requests that other daemons pass on
    /// Of its connections to the runners, which tells its packets from those of other daemons.
    boost::asio::ip::address_v4 source_address;
    std::string settings_file;
    std::shared_ptr<fault_proxy> store_link;
    std::shared_ptr<fault_proxy> peer_link; ///< the other daemons reach it through this proxy
    std::optional<child_process> process;
    bool first_start = true;
    bool stopping = false; ///< the soak run stopped or killed it
};

/// One backend server and the proxy through which the daemons reach it.
struct soak_runner {
    std::shared_ptr<runner_standin> server;
    std::shared_ptr<fault_proxy> link;
    std::size_t recorded_runs = 0;     ///< how many of its runs the checker has
    std::size_t recorded_arrivals = 0; ///< the same for requests received, also those refused
};

class soak_site {
public:
    soak_site(boost::asio::io_context& io, soak_site_settings settings, promise_checker& checker);

    /// Starts the store, the runners and all daemons, each daemon with first_start set.
    void start();
    /// Starts a daemon's process. Its settings file must have been written.
    void launch(std::size_t index);
    /// The open connections of all daemons to the store, to each other and to the runners stay open
    /// at the other end and pass nothing from now on; later ones work.
    void drop_connections();
    /// The same without the connections to the runners.
    void silence_nodes();
    /// The daemons from the first on that reach no runner from now on, nor any that is added. 0
    /// ends it.
    void cut_off(std::size_t daemons, client_cut how = client_cut::drop);
    /// Whether no daemon is stopped.
    [[nodiscard]] bool all_running() const;
    /// Rewrites a daemon's settings file, as the platform does. The caller then sends SIGHUP. The
    /// event loop goes on meanwhile: a write may wait for the disk for seconds.
    boost::asio::awaitable<void> write_settings(const soak_daemon& daemon);
    /// Starts a runner and the proxy before it.
    void add_runner(const std::string& service, const std::string& zone, const std::string& domain);
    /// Name of the failure domain that the daemon or runner with this number is in.
    [[nodiscard]] std::string domain_name(std::size_t index) const;
    /// Publishes the next configuration version. It revokes the key of two versions ago, and holds
    /// the keys that `keys` says, as later versions do.
    void publish_version(version_keys keys);
    void publish_version() { publish_version(m_settings.configuration.keys); }
    [[nodiscard]] std::int64_t version() const { return m_version; }
    /// Writes or removes the operators' key that evacuates a failure domain.
    void set_evacuated(const std::string& key, bool evacuated);
    /// The operators write again what the store has lost.
    void write_again();
    /// Records the requests that runners received and ran since the last call in the checker.
    void record_runs();
    /// One line for each daemon that exited without having been stopped or killed.
    [[nodiscard]] std::vector<std::string> unexpected_exits();

    [[nodiscard]] std::vector<soak_daemon>& daemons() { return m_daemons; }
    [[nodiscard]] std::vector<soak_runner>& runners() { return m_runners; }
    [[nodiscard]] store_standin& store() { return *m_store; }
    [[nodiscard]] const runner_fabric& fabric() const { return *m_fabric; }
    /// Loads take their full time from now on.
    void begin_traffic() { m_fabric->traffic = true; }
    [[nodiscard]] const soak_site_settings& settings() const { return m_settings; }

private:
    void add_daemon(std::size_t index);
    /// Restricts a new process to the cores that the daemons share.
    void restrict_cores(const child_process& process) const;
    [[nodiscard]] std::string fabric_domain_name(std::size_t index) const;
    [[nodiscard]] std::string settings_of(const soak_daemon& daemon) const;

    boost::asio::io_context& m_io;
    soak_site_settings m_settings;
    promise_checker& m_checker;
    std::shared_ptr<store_standin> m_store;
    std::shared_ptr<runner_fabric> m_fabric = std::make_shared<runner_fabric>();
    std::vector<soak_daemon> m_daemons;
    std::vector<soak_runner> m_runners;
    std::size_t m_last_runner = 0;
    std::int64_t m_version = 0;
    std::set<boost::asio::ip::address_v4> m_cut_off; ///< source addresses of daemons
    client_cut m_cut_how = client_cut::drop;
    std::map<std::string, bool> m_evacuations; ///< by key: whether it is in force
    boost::asio::thread_pool m_file_writer{1};
};

} // namespace jaynotch
