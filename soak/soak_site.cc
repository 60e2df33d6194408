#include "soak/soak_site.h"

#include "scenarios/free_address.h"

#include <boost/json.hpp>

#include <filesystem>
#include <fstream>

// A daemon keeps its addresses over its lives, as a VM does. Its own links lead through proxies: to
// the store by its settings file, from its peers by the address that it tells them. Runners
// register the address of the proxy before them.

namespace jaynotch {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string zone_of(std::size_t index)
{
    return index % 2 == 0 ? "zone-a" : "zone-b";
}

json::object route(std::string_view name, std::string_view kind, std::string_view service,
                   int attempts, bool open)
{
    json::object row{
        {"name", name},       {"host", "a.example"}, {"prefix", "/" + std::string{name} + "/"},
        {"route_kind", kind}, {"timeout_ms", 4000},  {"latency_target_ms", 300},
        {"priority", 1},      {"service", service},  {"max_attempts", attempts},
        {"public", open}};
    if (kind == "streaming") {
        row["session_affinity"] = true;
        row["resumable"] = true;
        row["gap_target_ms"] = 300;
    }
    return row;
}

json::object model_service()
{
    const json::object model{{"name", "m"}, {"size", 2},      {"share", 1.0},
                             {"pace", 1.0}, {"load_s", 0.04}, {"warmup_s", 0.04}};
    return {{"name", "llm"},
            {"health_path", "/health"},
            {"max_conns", 200},
            {"engine", json::object{{"slot_count", 8},
                                    {"kv_tokens", 100000},
                                    {"stride", 7},
                                    {"models", json::array{model}},
                                    {"step_ms", 1.0},
                                    {"per_seq_ms", 0.0},
                                    {"context_per_k", 0.0},
                                    {"read_per_s", 100000.0},
                                    {"pairs_per_m", 0.0},
                                    {"chunk", 2048},
                                    {"loads_per_s", 50.0},
                                    {"loads_at_once", 8},
                                    {"usual", json::object{{"prompt", 100}, {"answer", 84}}},
                                    {"retain_count", 1},
                                    {"form_ms", 0}}}};
}

/// A version of the operators' document; keys of it and of the one before are in force.
std::string document(std::int64_t version)
{
    const json::object limits{{"max_header_bytes", 16384},
                              {"max_body_bytes", 65536},
                              {"header_timeout_ms", 3000},
                              {"idle_timeout_ms", 15000}};
    const json::array keys{json::string("key-" + std::to_string(version)),
                           json::string("key-" + std::to_string(version - 1))};
    const json::object tenant{{"name", "farm"}, {"api_keys", keys}, {"priority", 1}};
    return json::serialize(json::object{
        {"version", version},
        {"routes", json::array{route("chat", "streaming", "llm", 2, false),
                               route("order", "non_idempotent", "app", 1, false),
                               route("read", "idempotent", "app", 2, false)}},
        {"services", json::array{model_service(), json::object{{"name", "app"},
                                                               {"health_path", "/health"},
                                                               {"max_conns", 200}}}},
        {"limits", limits},
        {"tenants", json::array{tenant}}});
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
    std::ofstream file{one.settings_file};
    file << "node = \"" << one.name << "\"\nzone = \"" << one.domain
         << "\"\nbind_ip = \"127.0.0.1\"\nheartbeat_ms = 500\nbootstrap = "
         << (one.first_start ? "true" : "false") << "\nseed_nodes = [";
    for (std::size_t index = 0; index < std::min<std::size_t>(3, m_daemons.size()); ++index)
        file << (index > 0 ? ", " : "") << '"' << m_daemons[index].peer_link->address() << '"';
    file << "]\n[listen]\nfront = \"" << one.listen << "\"\nready = \"" << one.ready_listen
         << "\"\ncontrol = \"" << one.peer_listen << "\"\n[limits]\nmemory_mb = 390\n"
         << "[bounds]\ndrain_ms = 2000\ngrace_s = 8\nconfig_apply_ms = 2000\nstall_ms = 1000\n"
         << "retry_ratio = 0.2\nretry_window_s = 10\nretry_extra = 200\nrequire_fencing = true\n"
         << "[platform]\naddr = \"" << one.store_link->address() << "\"\n";
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
    made.server->show_at(made.link->address());
    m_runners.push_back(std::move(made));
}

void soak_site::next_version()
{
    ++m_version;
    m_store->put("op/config", document(m_version));
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
