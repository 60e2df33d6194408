#include "soak/soak_site.h"

#include "scenarios/free_address.h"
#include "standins/platform_forms.h"

#include <filesystem>
#include <fstream>

// A daemon keeps its addresses over its lives, as a VM does. Its own links lead through proxies: to
// the store by its settings file, from its peers by the address that it tells them. Runners
// register the address of the proxy before them.

namespace jaynotch {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_seeds = 3; ///< as the platform gives

std::string zone_of(std::size_t index)
{
    return index % 2 == 0 ? "zone-a" : "zone-b";
}

} // namespace

soak_site::soak_site(asio::io_context& io, soak_site_settings settings, promise_checker& checker)
    : m_io{io}, m_settings{std::move(settings)}, m_checker{checker}
{}

void soak_site::start()
{
    std::filesystem::create_directories(m_settings.folder);
    m_store = store_standin::start(m_io.get_executor()).value();
    publish_version();
    for (std::size_t index = 0; index < m_settings.runners; ++index) {
        const std::string zone = zone_of(index);
        add_runner("llm", zone, "d-" + zone);
    }
    for (std::size_t index = 0; index < m_settings.servers; ++index)
        add_runner("app", zone_of(index), "");
    m_daemons.reserve(m_settings.daemons);
    for (std::size_t index = 0; index < m_settings.daemons; ++index)
        add_daemon(index);
    for (std::size_t index = 0; index < m_settings.daemons; ++index)
        launch(index);
}

void soak_site::add_daemon(std::size_t index)
{
    soak_daemon& daemon = m_daemons.emplace_back();
    daemon.name = "entry-" + std::to_string(index);
    daemon.domain = zone_of(index);
    daemon.listen = free_address();
    daemon.ready_listen = free_address();
    daemon.peer_listen = free_address();
    daemon.admin_listen = free_address();
    daemon.settings_file = m_settings.folder + "/" + daemon.name + ".toml";
    daemon.store_link = fault_proxy::open(m_io.get_executor(), m_store->address()).value();
    daemon.peer_link = fault_proxy::open(m_io.get_executor(), daemon.peer_listen).value();
}

void soak_site::write_settings(const soak_daemon& one) const
{
    std::vector<std::string> seeds;
    for (const soak_daemon& seed : m_daemons) {
        if (seeds.size() < max_seeds)
            seeds.push_back(seed.peer_link->address());
    }
    std::ofstream file{one.settings_file};
    file << settings_text({one.name, one.domain, one.first_start, seeds, one.listen,
                           one.ready_listen, one.peer_listen, one.store_link->address()});
}

void soak_site::launch(std::size_t index)
{
    soak_daemon& one = m_daemons[index];
    write_settings(one);
    one.process =
        child_process::start({m_settings.program, "--settings=" + one.settings_file,
                              "--peer_advertise=" + one.peer_link->address(),
                              "--admin_listen=" + one.admin_listen, "--balancer_wait_ms=300"},
                             m_settings.folder + "/" + one.name + ".log")
            .value();
    one.first_start = false;
    one.stopping = false;
    m_checker.record_start(one.name, runtime_clock::now());
}

void soak_site::add_runner(const std::string& service, const std::string& zone,
                           const std::string& domain)
{
    runner_standin_settings chosen;
    chosen.id = (service == "llm" ? "m-" : "a-") + std::to_string(++m_last_runner);
    chosen.service = service;
    chosen.zone = zone;
    chosen.domain = domain;
    chosen.events = m_settings.stream_events;
    chosen.fabric = m_fabric;
    soak_runner runner;
    runner.server = runner_standin::start(m_io.get_executor(), m_store, chosen).value();
    runner.link = fault_proxy::open(m_io.get_executor(), runner.server->address()).value();
    runner.server->show_at(runner.link->address());
    m_runners.push_back(std::move(runner));
}

void soak_site::publish_version()
{
    ++m_version;
    put_version(*m_store, m_version);
    m_checker.record_version(m_version, runtime_clock::now());
}

void soak_site::record_runs()
{
    for (soak_runner& one : m_runners) {
        for (; one.recorded_runs < one.server->ran.size(); ++one.recorded_runs)
            m_checker.record_run(one.server->ran[one.recorded_runs].attempt, one.server->id(),
                                 runtime_clock::now());
    }
}

std::vector<std::string> soak_site::unexpected_exits()
{
    std::vector<std::string> found;
    for (soak_daemon& one : m_daemons) {
        if (!one.process)
            continue;
        if (const std::optional<int> code = one.process->poll(); code && !one.stopping)
            found.push_back(one.name + " ended by itself with code " + std::to_string(*code));
    }
    return found;
}

} // namespace jaynotch
