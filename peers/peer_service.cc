// Passes events to the core and executes the commands that it returns. Handlers run after the core
// has returned, so a handler may call publish() and other functions of the service.
#include "peers/peers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jaynotch {

namespace asio = boost::asio;

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{100};
/// Time for the leave frames to be sent before the transport stops.
constexpr duration leave_grace = std::chrono::milliseconds{200};

random_source random_for(const peer_settings& settings)
{
    const std::uint64_t own = hash64(settings.node.value(), settings.boot);
    return random_source{settings.random_seed != 0 ? settings.random_seed : own};
}

membership_settings core_settings(const peer_settings& settings, const std::string& address)
{
    membership_settings out;
    out.deployment = settings.deployment;
    out.self = {settings.node,
                settings.failure_domain,
                settings.advertise.empty() ? address : settings.advertise,
                settings.boot,
                0,
                member_state::alive,
                settings.relay_port};
    return out;
}

} // namespace

class peer_service::state {
public:
    state(asio::io_context& io, const peer_settings& settings,
          std::unique_ptr<peer_transport> transport)
        : m_transport{std::move(transport)}, m_tick_timer{io}, m_leave_timer{io},
          m_core{core_settings(settings, m_transport->address()), random_for(settings)}
    {
        m_core.add_seeds(settings.seeds);
        m_transport->on_frame([this](const node_id& verified_name, const std::string& bytes) {
            run(m_core.frame_received(runtime_clock::now(), verified_name, bytes));
        });
    }

    // The coroutines own the state: the service may be destroyed while they wait for a timer, and
    // the cancellation of the timer resumes them after that.
    asio::awaitable<void> tick_loop([[maybe_unused]] std::shared_ptr<state> keep_alive)
    {
        while (!m_stopped) {
            run(m_core.tick(runtime_clock::now()));
            m_tick_timer.expires_after(tick_interval);
            co_await m_tick_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    asio::awaitable<void> leave([[maybe_unused]] std::shared_ptr<state> keep_alive)
    {
        run(m_core.leave(runtime_clock::now()));
        m_leave_timer.expires_after(leave_grace);
        co_await m_leave_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        stop();
    }

    void stop()
    {
        m_stopped = true;
        m_tick_timer.cancel();
        m_transport->stop();
        m_rumor_handler = nullptr;
        m_member_handler = nullptr;
        m_superseded_handler = nullptr;
        m_config_handler = nullptr;
        m_confirmation_handler = nullptr;
    }

    void run(const membership_commands& commands)
    {
        for (const membership_command& each : commands)
            std::visit([this](const auto& command) { execute(command); }, each);
    }

    std::unique_ptr<peer_transport> m_transport;
    timer m_tick_timer;
    timer m_leave_timer;
    membership_core m_core;
    std::uint64_t m_members_version = 1;
    std::function<void(const rumor&)> m_rumor_handler;
    std::function<void(const member&)> m_member_handler;
    std::function<void()> m_superseded_handler;
    std::function<void(const config_message&)> m_config_handler;
    std::function<void(const confirmation&)> m_confirmation_handler;
    std::function<void(const key_message&)> m_key_handler;
    std::function<void(const server_message&)> m_server_handler;

private:
    void execute(const send_frame& command)
    {
        m_transport->send(command.to, command.address, command.bytes, command.priority);
    }
    void execute(const member_changed& command)
    {
        ++m_members_version;
        log_event(log_level::info, "member_changed",
                  {{"node", command.now.node.value()},
                   {"state", to_name(command.now.state)},
                   {"boot", command.now.boot},
                   {"incarnation", command.now.incarnation}});
        if (m_member_handler)
            m_member_handler(command.now);
    }
    void execute(const rumor_received& command)
    {
        const auto* confirmed = std::get_if<confirmation>(&command.item);
        if (confirmed != nullptr && m_confirmation_handler)
            m_confirmation_handler(*confirmed);
        if (m_rumor_handler)
            m_rumor_handler(command.item);
    }
    void execute(const config_message& command)
    {
        if (m_config_handler)
            m_config_handler(command);
    }
    void execute(const key_message& command)
    {
        if (m_key_handler)
            m_key_handler(command);
    }
    void execute(const server_message& command)
    {
        if (m_server_handler)
            m_server_handler(command);
    }
    void execute(const superseded& command)
    {
        if (m_superseded)
            return;
        m_superseded = true;
        log_event(
            log_level::error, "node_superseded",
            {{"boot", command.boot},
             {"remedy", "another process uses this node's name; give each process a unique name"}});
        if (m_superseded_handler)
            m_superseded_handler();
    }

    bool m_stopped = false;
    bool m_superseded = false;
};

result<std::unique_ptr<peer_service>> peer_service::create(asio::io_context& io,
                                                           peer_settings settings)
{
    if (settings.node.value().empty() || settings.failure_domain.value().empty() ||
        settings.deployment.empty())
    {
        return error{error_kind::invalid_argument,
                     "node, failure domain and deployment must be named",
                     "set --node, --failure_domain and --deployment"};
    }
    if (settings.boot == 0)
        settings.boot = static_cast<std::uint64_t>(wall_time_ms());
    BOOST_OUTCOME_TRY(auto transport, peer_transport::create(io, {settings.listen, settings.tls,
                                                                  settings.max_inbound}));
    auto shared_state = std::make_shared<state>(io, settings, std::move(transport));
    return std::unique_ptr<peer_service>{new peer_service{std::move(shared_state)}};
}

peer_service::peer_service(std::shared_ptr<state> shared_state) : m_state{std::move(shared_state)}
{}
peer_service::~peer_service()
{
    m_state->stop();
}

asio::awaitable<void> peer_service::run()
{
    return m_state->tick_loop(m_state);
}

asio::awaitable<void> peer_service::leave()
{
    return m_state->leave(m_state);
}

void peer_service::stop()
{
    m_state->stop();
}

void peer_service::publish(const rumor& item)
{
    m_state->run(m_state->m_core.publish(runtime_clock::now(), item));
}

void peer_service::add_seeds(const std::vector<std::string>& addresses)
{
    m_state->m_core.add_seeds(addresses);
}

void peer_service::on_rumor(std::function<void(const rumor&)> handler)
{
    m_state->m_rumor_handler = std::move(handler);
}

void peer_service::on_member(std::function<void(const member&)> handler)
{
    m_state->m_member_handler = std::move(handler);
}

void peer_service::on_superseded(std::function<void()> handler)
{
    m_state->m_superseded_handler = std::move(handler);
}

std::vector<member> peer_service::members() const
{
    std::vector<member> out = m_state->m_core.members().all();
    out.push_back(m_state->m_core.self());
    return out;
}

std::uint64_t peer_service::members_version() const
{
    return m_state->m_members_version;
}

const member& peer_service::self() const
{
    return m_state->m_core.self();
}

const std::string& peer_service::address() const
{
    return m_state->m_transport->address();
}

peer_counters peer_service::counters() const
{
    peer_counters out = m_state->m_transport->counters();
    out.frames_refused += m_state->m_core.refused();
    return out;
}

void peer_service::set_config(config_revision installed, bool platform_lost)
{
    m_state->run(m_state->m_core.config_installed(runtime_clock::now(), installed, platform_lost));
}

void peer_service::on_config(std::function<void(const config_message&)> handler)
{
    m_state->m_config_handler = std::move(handler);
}

void peer_service::on_confirmation(std::function<void(const confirmation&)> handler)
{
    m_state->m_confirmation_handler = std::move(handler);
}

void peer_service::send_config(const node_id& to, const config_body& body)
{
    m_state->run(m_state->m_core.send_config(runtime_clock::now(), to, body));
}

void peer_service::on_keys(std::function<void(const key_message&)> handler)
{
    m_state->m_key_handler = std::move(handler);
}

void peer_service::send_keys(const node_id& to, const key_body& body, frame_priority priority)
{
    m_state->run(m_state->m_core.send_keys(runtime_clock::now(), to, body, priority));
}

void peer_service::on_server_message(std::function<void(const server_message&)> handler)
{
    m_state->m_server_handler = std::move(handler);
}

void peer_service::send_server_message(const node_id& to, const server_body& body)
{
    m_state->run(m_state->m_core.send_server_message(runtime_clock::now(), to, body));
}

void peer_service::ping_nodes(const std::vector<node_id>& nodes)
{
    m_state->run(m_state->m_core.ping_nodes(runtime_clock::now(), nodes));
}

} // namespace jaynotch
