#include "base/json_fields.h"
#include "scenarios/free_address.h"
#include "scenarios/world.h"

#include <boost/asio/ip/tcp.hpp>

#include <csignal>

// A daemon keeps its ports over restarts, as a VM keeps its address. Daemons reach the platform,
// the backend servers and each other through the network's forwarders, so that a scenario can cut
// them off.

namespace jaynotch {

namespace http_ns = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr const char* deployment = "test";
constexpr duration http_timeout = std::chrono::seconds{5};
constexpr std::chrono::seconds max_start_time{15};

std::uint32_t count_or(json_fields& fields, const json::object& object, std::string_view name,
                       std::uint32_t default_value)
{
    constexpr std::uint64_t max_count = 1'000'000'000;
    return object.contains(name) ? static_cast<std::uint32_t>(fields.count(name, max_count))
                                 : default_value;
}

standin_fleet_settings fleet_settings(const json::object& arguments)
{
    json_fields fields{arguments, "fleet"};
    standin_fleet_settings settings;
    settings.engines = count_or(fields, arguments, "engines", 4);
    settings.fabric_domains = count_or(fields, arguments, "fabric_domains", 1);
    if (arguments.contains("failure_domains"))
        settings.failure_domains = fields.texts("failure_domains");
    settings.plain = fields.texts("plain");
    settings.plain_work =
        std::chrono::milliseconds{count_or(fields, arguments, "plain_work_ms", 0)};
    settings.kv.writes_per_second = count_or(fields, arguments, "kv_writes", 0);
    settings.kv.reads_per_second = count_or(fields, arguments, "kv_reads", 0);
    settings.weights.bytes_per_second = count_or(fields, arguments, "weight_rate", 50'000'000);
    settings.weights.model_bytes = count_or(fields, arguments, "weight_bytes", 2'000'000);
    settings.vms.lag = std::chrono::milliseconds{count_or(fields, arguments, "vm_lag_ms", 0)};
    settings.engine.check_fencing =
        !arguments.contains("check_fencing") || fields.flag("check_fencing");
    settings.engine.batch.step_base =
        std::chrono::microseconds{count_or(fields, arguments, "step_us", 4'000)};
    settings.engine.batch.max_batch = count_or(fields, arguments, "max_batch", 32);
    if (fields.failure())
        throw exception{*fields.failure()};
    return settings;
}

int signal_number(const std::string& name)
{
    if (name == "term")
        return SIGTERM;
    if (name == "kill")
        return SIGKILL;
    if (name == "stop")
        return SIGSTOP;
    if (name == "cont")
        return SIGCONT;
    throw exception{
        {error_kind::invalid_argument, "unknown signal " + name, "use term, kill, stop or cont"}};
}

awaitable<result<http_response>> send(boost::asio::any_io_executor executor, std::string address,
                                      http_request request)
{
    http_client client{executor, std::move(address), http_limits{}};
    co_return co_await client.call(std::move(request), http_timeout);
}

} // namespace

json::value scenario_world::start_fleet(const arguments_type& arguments)
{
    m_fleet = standin_fleet::start(m_runtime.executor(), fleet_settings(arguments)).value();
    m_network = std::make_shared<loopback_network>(m_runtime.executor());
    m_kv_address = m_network->forward("kv", m_fleet->kv().address()).value();
    m_vms_address = m_network->forward("vms", m_fleet->vms().address()).value();
    for (std::size_t index = 0; index < m_fleet->engine_count(); ++index) {
        const std::string name = m_fleet->engine(index).vm().value();
        m_fleet->advertise_engine_address(
            index, m_network->forward(name, m_fleet->engine(index).address()).value());
    }
    json::object plain;
    for (std::size_t index = 0; index < m_fleet->plain_count(); ++index) {
        const plain_standin& one = m_fleet->plain(index);
        plain[one.name()] = m_network->forward(one.name(), one.address()).value();
    }
    return json::object{{"plain", std::move(plain)}, {"kv", m_kv_address}};
}

scenario_daemon& scenario_world::find_daemon(const std::string& name)
{
    const auto found = m_daemons.find(name);
    if (found == m_daemons.end())
        throw exception{
            {error_kind::not_found, "unknown daemon " + name, "start it with daemon() first"}};
    return found->second;
}

std::string scenario_world::listen_address_of(const std::string& name)
{
    return find_daemon(name).listen;
}

void scenario_world::launch(scenario_daemon& daemon)
{
    daemon.process.reset();
    daemon.process.emplace(child_process::start(daemon.command_line, m_options.logs + "/" + m_name +
                                                                         "-" + daemon.name + ".log")
                               .value());
    daemon.end_expected = false;
    m_network->add_process(daemon.name, daemon.process->pid());
    const auto deadline = std::chrono::steady_clock::now() + max_start_time;
    for (;;) {
        http_request request;
        request.target = "/admin/v1/status";
        request.repeatable = true;
        if (m_runtime.run(send(m_runtime.executor(), daemon.admin_listen, request)))
            return;
        if (daemon.process->poll() || std::chrono::steady_clock::now() > deadline)
            throw exception{{error_kind::unavailable,
                             daemon.name + " exited at start or did not answer within 15 s",
                             "read its log in " + m_options.logs}};
        m_runtime.run_for(std::chrono::milliseconds{20});
    }
}

json::value scenario_world::start_daemon(const arguments_type& arguments)
{
    json_fields fields{arguments, "daemon"};
    scenario_daemon daemon;
    daemon.name = fields.text("name");
    daemon.failure_domain = fields.text("failure_domain");
    daemon.listen = free_address();
    daemon.peer_listen = free_address();
    daemon.admin_listen = free_address();
    daemon.peer_advertise = m_network->forward(daemon.name, daemon.peer_listen).value();
    std::string seeds;
    for (const auto& [name, other] : m_daemons)
        seeds += (seeds.empty() ? "" : ",") + other.peer_advertise;
    daemon.command_line.push_back(m_options.programs + "/jaynotchd");
    const auto set = [&](const std::string& flag, const std::string& value) {
        daemon.command_line.push_back("--" + flag + "=" + value);
    };
    set("node", daemon.name);
    set("failure_domain", daemon.failure_domain);
    set("deployment", deployment);
    set("listen", daemon.listen);
    set("peer_listen", daemon.peer_listen);
    set("peer_advertise", daemon.peer_advertise);
    set("admin_listen", daemon.admin_listen);
    set("key_value", m_kv_address);
    set("vm_list", m_vms_address);
    set("weight_store", m_fleet->weights().address());
    set("seed_peers", seeds);
    for (const auto& flag : fields.texts("flags"))
        daemon.command_line.push_back(flag);
    if (fields.failure())
        throw exception{*fields.failure()};
    const std::string name = daemon.name;
    scenario_daemon& added = m_daemons.insert_or_assign(name, std::move(daemon)).first->second;
    launch(added);
    return json::value(json::string(name));
}

json::value scenario_world::restart(const arguments_type& arguments)
{
    json_fields fields{arguments, "restart"};
    launch(find_daemon(fields.text("name")));
    return nullptr;
}

json::value scenario_world::signal(const arguments_type& arguments)
{
    json_fields fields{arguments, "signal"};
    scenario_daemon& daemon = find_daemon(fields.text("name"));
    const int number = signal_number(fields.text("signal"));
    daemon.end_expected = daemon.end_expected || number == SIGTERM || number == SIGKILL;
    daemon.process->signal(number);
    return nullptr;
}

json::value scenario_world::await_exit(const arguments_type& arguments)
{
    json_fields fields{arguments, "await_exit"};
    scenario_daemon& daemon = find_daemon(fields.text("name"));
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>{fields.real("seconds")});
    const auto ended = [&] { return daemon.process->poll().has_value(); };
    if (!m_runtime.run_until(ended, timeout))
        throw exception{{error_kind::deadline_exceeded, daemon.name + " did not exit in time",
                         "read its log in " + m_options.logs}};
    return *daemon.process->poll();
}

json::value scenario_world::http(const arguments_type& arguments)
{
    json_fields fields{arguments, "http"};
    const scenario_daemon& daemon = find_daemon(fields.text("to"));
    http_request request;
    const std::string method = fields.text("method");
    request.method = method.empty() ? http_ns::verb::get : http_ns::string_to_verb(method);
    request.target = fields.text("path");
    request.body = fields.text("body");
    request.repeatable = request.method == http_ns::verb::get;
    if (const json::object* headers = fields.object("headers")) {
        for (const auto& header : *headers)
            request.headers.push_back(
                {std::string{header.key()}, std::string{header.value().as_string()}});
    }
    const std::string& address =
        fields.text("port") == "admin" ? daemon.admin_listen : daemon.listen;
    const auto answer = m_runtime.run(send(m_runtime.executor(), address, std::move(request)));
    if (!answer)
        return json::object{{"status", 0}, {"error", to_string(answer.error())}};
    json::object seen{{"status", static_cast<unsigned>(answer.value().status)},
                      {"body", answer.value().body},
                      {"ran", answer.value().header("jaynotch-ran")},
                      {"retry_after", answer.value().header("Retry-After")}};
    boost::system::error_code ec;
    json::value parsed = json::parse(answer.value().body, ec);
    if (!ec)
        seen["json"] = std::move(parsed);
    return seen;
}

} // namespace jaynotch
