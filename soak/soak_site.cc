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

constexpr std::size_t most_seeds = 3; ///< as the platform gives

std::string zone_of(std::size_t index)
{
    return index % 2 == 0 ? "zone-a" : "zone-b";
}

} // namespace

soak_site::soak_site(asio::io_context& io, soak_site_settings settings, promise_book& book)
    : m_io{io}, m_settings{std::move(settings)}, m_book{book}
{}

void soak_site::start()
{
    std::filesystem::create_directories(m_settings.folder);
    m_store = store_standin::start(m_io.get_executor()).value();
    next_version();
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
    soak_daemon& made = m_daemons.emplace_back();
    made.name = "entry-" + std::to_string(index);
    made.domain = zone_of(index);
    made.listen = free_address();
    made.ready_listen = free_address();
    made.peer_listen = free_address();
    made.admin_listen = free_address();
    made.settings_file = m_settings.folder + "/" + made.name + ".toml";
    made.store_link = fault_proxy::open(m_io.get_executor(), m_store->address()).value();
    made.peer_link = fault_proxy::open(m_io.get_executor(), made.peer_listen).value();
}

void soak_site::write_settings(const soak_daemon& one) const
{
    std::vector<std::string> seeds;
    for (const soak_daemon& seed : m_daemons) {
        if (seeds.size() < most_seeds)
            seeds.push_back(seed.peer_link->address());
    }
    std::ofstream file{one.settings_file};
    file << render_settings({one.name, one.domain, one.first_start, seeds, one.listen,
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
    m_book.restarted(one.name, runtime_clock::now());
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
    soak_runner made;
    made.server = runner_standin::start(m_io.get_executor(), m_store, chosen).value();
    made.link = fault_proxy::open(m_io.get_executor(), made.server->address()).value();
    made.server->advertise_address(made.link->address());
    m_runners.push_back(std::move(made));
}

void soak_site::next_version()
{
    ++m_version;
    put_config_version(*m_store, m_version);
    m_book.accepted(m_version, runtime_clock::now());
}

void soak_site::note_runs()
{
    for (soak_runner& one : m_runners) {
        for (; one.noted < one.server->ran.size(); ++one.noted)
            m_book.ran(one.server->ran[one.noted].attempt, one.server->id(), runtime_clock::now());
    }
}

std::vector<std::string> soak_site::unexpected_ends()
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
