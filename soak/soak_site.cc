#include "soak/soak_site.h"

#include "scenarios/free_address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sched.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <system_error>

// A daemon keeps its addresses over restarts, as a VM does. Its links lead through proxies: the
// settings file gives the proxy's address for the store, --peer_advertise gives the proxy's address
// to its peers, and runners register the address of their proxy.

namespace jaynotch {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_seeds = 3; ///< as many as the platform gives

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream{path} << text;
}

asio::awaitable<void> write_file_async(std::string path, std::string text)
{
    write_file(path, text);
    co_return;
}

} // namespace

soak_site::soak_site(asio::io_context& io, soak_site_settings settings, promise_checker& checker)
    : m_io{io}, m_settings{std::move(settings)}, m_checker{checker}
{}

std::string soak_site::domain_name(std::size_t index) const
{
    return std::string{"zone-"} + static_cast<char>('a' + index % m_settings.failure_domains);
}

std::string soak_site::fabric_domain_name(std::size_t index) const
{
    std::string name = "d-" + domain_name(index);
    if (m_settings.fabric_domain_size > 0)
        name += "-" +
                std::to_string(index / m_settings.failure_domains / m_settings.fabric_domain_size);
    return name;
}

void soak_site::start()
{
    std::filesystem::create_directories(m_settings.folder);
    m_fabric->stall = group_stall;
    m_fabric->traffic = false;
    m_fabric->group_sizes.clear();
    for (const model_form& model : m_settings.configuration.models)
        m_fabric->group_sizes[model.name] = model.size;
    m_store = store_standin::start(m_io.get_executor()).value();
    publish_version();
    for (std::size_t index = 0; index < m_settings.runners; ++index)
        add_runner("llm", domain_name(index), fabric_domain_name(index));
    for (std::size_t index = 0; index < m_settings.servers; ++index)
        add_runner("app", domain_name(index), "");
    m_daemons.reserve(m_settings.daemons);
    for (std::size_t index = 0; index < m_settings.daemons; ++index)
        add_daemon(index);
    for (std::size_t index = 0; index < m_settings.daemons; ++index) {
        write_file(m_daemons[index].settings_file, settings_of(m_daemons[index]));
        launch(index);
    }
}

void soak_site::add_daemon(std::size_t index)
{
    soak_daemon& daemon = m_daemons.emplace_back();
    daemon.name = "entry-" + std::to_string(index);
    daemon.domain = domain_name(index);
    daemon.listen = free_address();
    daemon.ready_listen = free_address();
    daemon.peer_listen = free_address();
    daemon.admin_listen = free_address();
    daemon.relay_listen = free_address();
    constexpr std::uint32_t first_source = 0x7f000101; // 127.0.1.1
    daemon.source_address = asio::ip::address_v4{first_source + static_cast<std::uint32_t>(index)};
    daemon.settings_file = m_settings.folder + "/" + daemon.name + ".toml";
    daemon.store_link = fault_proxy::open(m_io.get_executor(), m_store->address()).value();
    daemon.peer_link = fault_proxy::open(m_io.get_executor(), daemon.peer_listen).value();
}

std::string soak_site::settings_of(const soak_daemon& daemon) const
{
    std::vector<std::string> seeds;
    for (const soak_daemon& seed : m_daemons) {
        if (seeds.size() < max_seeds)
            seeds.push_back(seed.peer_link->address());
    }
    return render_settings({daemon.name, daemon.domain, daemon.first_start, seeds, daemon.listen,
                            daemon.ready_listen, daemon.peer_listen, daemon.store_link->address(),
                            m_settings.bounds.retry_extra});
}

void soak_site::silence_nodes()
{
    for (const soak_daemon& daemon : m_daemons) {
        daemon.store_link->drop_open();
        daemon.peer_link->drop_open();
    }
}

void soak_site::drop_connections()
{
    silence_nodes();
    for (const soak_runner& runner : m_runners)
        runner.link->drop_open();
}

void soak_site::cut_off(std::size_t daemons, client_cut how)
{
    m_cut_how = how;
    m_cut_off.clear();
    for (std::size_t index = 0; index < daemons; ++index)
        m_cut_off.insert(m_daemons[index].source_address);
    for (const soak_runner& runner : m_runners)
        runner.link->cut_off(m_cut_off, how).value();
}

bool soak_site::all_running() const
{
    return std::none_of(m_daemons.begin(), m_daemons.end(),
                        [](const soak_daemon& daemon) { return daemon.stopping; });
}

asio::awaitable<void> soak_site::write_settings(const soak_daemon& daemon)
{
    co_await asio::co_spawn(m_file_writer,
                            write_file_async(daemon.settings_file, settings_of(daemon)),
                            asio::use_awaitable);
}

void soak_site::launch(std::size_t index)
{
    soak_daemon& daemon = m_daemons[index];
    daemon.process =
        child_process::start(
            {m_settings.program, "--settings=" + daemon.settings_file,
             "--peer_advertise=" + daemon.peer_link->address(),
             "--admin_listen=" + daemon.admin_listen, "--relay_listen=" + daemon.relay_listen,
             "--source_address=" + daemon.source_address.to_string(),
             "--balancer_wait_ms=" + std::to_string(m_settings.balancer_wait.count())},
            m_settings.folder + "/" + daemon.name + ".log")
            .value();
    restrict_cores(*daemon.process);
    daemon.first_start = false;
    daemon.stopping = false;
    m_checker.record_start(daemon.name, runtime_clock::now());
}

void soak_site::restrict_cores(const child_process& process) const
{
    if (m_settings.daemon_cores == 0)
        return;
    cpu_set_t cores;
    CPU_ZERO(&cores);
    for (std::size_t core = 0; core < m_settings.daemon_cores; ++core)
        CPU_SET(core, &cores);
    if (sched_setaffinity(process.pid(), sizeof cores, &cores) != 0)
        throw std::system_error{errno, std::generic_category(), "sched_setaffinity"};
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
    chosen.gap = m_settings.stream_gap;
    chosen.load = m_settings.configuration.load;
    chosen.warm_up = m_settings.configuration.warm_up;
    chosen.work = m_settings.plain_work;
    chosen.slots = domain.empty() ? m_settings.plain_slots : m_settings.model_slots;
    chosen.fabric = m_fabric;
    soak_runner runner;
    runner.server = runner_standin::start(m_io.get_executor(), m_store, chosen).value();
    runner.link = fault_proxy::open(m_io.get_executor(), runner.server->address()).value();
    runner.link->cut_off(m_cut_off, m_cut_how).value();
    runner.server->advertise_address(runner.link->address());
    m_checker.record_domain(chosen.id, zone);
    m_runners.push_back(std::move(runner));
}

void soak_site::publish_version(version_keys keys)
{
    ++m_version;
    m_settings.configuration.keys = keys;
    put_config_version(*m_store, m_version, m_settings.configuration);
    m_checker.record_version(m_version, runtime_clock::now(), keys == version_keys::two_newest);
}

void soak_site::set_evacuated(const std::string& key, bool evacuated)
{
    m_evacuations[key] = evacuated;
    if (evacuated)
        m_store->put(key, "{}");
    else
        m_store->remove(key);
}

void soak_site::write_again()
{
    put_config_version(*m_store, m_version, m_settings.configuration);
    for (const auto& [key, evacuated] : m_evacuations)
        set_evacuated(key, evacuated);
}

void soak_site::record_runs()
{
    for (soak_runner& runner : m_runners) {
        const runner_standin& server = *runner.server;
        for (; runner.recorded_arrivals < server.arrived.size(); ++runner.recorded_arrivals) {
            const received_request& arrival = server.arrived[runner.recorded_arrivals];
            m_checker.record_arrival(arrival.attempt, server.settings().service, arrival.at,
                                     server.id());
            if (arrival.pause.count() > 0)
                m_checker.record_refusal(arrival.attempt, server.id(), arrival.at, arrival.pause);
        }
        for (; runner.recorded_runs < runner.server->ran.size(); ++runner.recorded_runs)
            m_checker.record_run(runner.server->ran[runner.recorded_runs].attempt,
                                 runner.server->id(), runtime_clock::now());
    }
}

std::vector<std::string> soak_site::unexpected_exits()
{
    std::vector<std::string> found;
    for (soak_daemon& daemon : m_daemons) {
        if (!daemon.process)
            continue;
        if (const std::optional<int> code = daemon.process->poll(); code && !daemon.stopping)
            found.push_back(daemon.name + " exited unexpectedly with code " +
                            std::to_string(*code));
    }
    return found;
}

} // namespace jaynotch
