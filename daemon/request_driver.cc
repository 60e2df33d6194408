#include "daemon/request_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <type_traits>

// The core requires that the commands of one event are executed before it is given the next. As
// executing a command can cause an event at once (for example when an attempt is cancelled), events
// that arise while one is being handled are queued.

namespace jaynotch {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{10};

template <class Command>
concept concerns_request = requires(const Command& cmd)
{
    cmd.request;
};

} // namespace

command_inbox::command_inbox(const net::any_io_executor& executor, request_id id)
    : m_id{id}, m_wake{executor, time_point::max()}
{}

void command_inbox::push(const command& cmd)
{
    if (on_push)
        on_push(cmd);
    m_queue.push_back(cmd);
    m_wake.cancel();
}

net::awaitable<command> command_inbox::next()
{
    while (m_queue.empty()) {
        boost::system::error_code ignored;
        m_wake.expires_at(time_point::max());
        co_await m_wake.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
    command first = std::move(m_queue.front());
    m_queue.pop_front();
    co_return first;
}

class request_driver::impl : public std::enable_shared_from_this<impl> {
public:
    impl(net::io_context& io, request_core core, kv_service& kv, driver_hooks hooks)
        : m_io{io}, m_core{std::move(core)}, m_kv{kv}, m_hooks{std::move(hooks)}, m_tick{io}
    {}

    net::awaitable<void> run()
    {
        const auto self = shared_from_this();
        while (!m_stopped) {
            boost::system::error_code failed;
            m_tick.expires_after(tick_interval);
            co_await m_tick.async_wait(net::redirect_error(net::use_awaitable, failed));
            if (!m_stopped)
                handle(tick{});
        }
    }

    void handle(event new_event)
    {
        m_events.push_back(std::move(new_event));
        if (m_handling)
            return;
        m_handling = true;
        while (!m_events.empty()) {
            const event next = std::move(m_events.front());
            m_events.pop_front();
            m_commands.clear();
            m_core.handle(next, runtime_clock::now(), m_commands);
            for (const command& cmd : m_commands)
                execute(cmd);
        }
        m_handling = false;
    }

    void execute(const command& cmd)
    {
        std::visit(
            [&](const auto& one) {
                using type = std::decay_t<decltype(one)>;
                if constexpr (concerns_request<type>) {
                    const auto found = m_inboxes.find(one.request);
                    if (found != m_inboxes.end())
                        found->second->push(cmd);
                }
                else {
                    execute_global(one);
                }
            },
            cmd);
    }

    void execute_global(const call_kv& cmd) { net::co_spawn(m_io, transact(cmd), net::detached); }
    void execute_global(const grant_lease& cmd) { net::co_spawn(m_io, grant(cmd), net::detached); }
    void execute_global(const target_released& cmd)
    {
        if (m_hooks.on_released)
            m_hooks.on_released(cmd);
    }
    void execute_global(const target_silent& cmd)
    {
        if (m_hooks.on_silent)
            m_hooks.on_silent(cmd);
    }
    void execute_global(const share_limit& cmd)
    {
        if (m_hooks.on_share_limit)
            m_hooks.on_share_limit(cmd);
    }
    void execute_global(const cold_servers_changed& cmd)
    {
        if (m_hooks.on_cold_servers)
            m_hooks.on_cold_servers(cmd);
    }
    void execute_global(const share_demand& cmd)
    {
        if (m_hooks.on_share_demand)
            m_hooks.on_share_demand(cmd);
    }

    void execute_global(const check_server_ended& cmd)
    {
        if (m_hooks.on_check_server_ended)
            m_hooks.on_check_server_ended(cmd);
    }
    void execute_global(const share_evidence& cmd)
    {
        if (m_hooks.on_share_evidence)
            m_hooks.on_share_evidence(cmd);
    }
    void execute_global(const content_blocked& cmd)
    {
        if (m_hooks.on_content_blocked)
            m_hooks.on_content_blocked(cmd);
    }
    void execute_global(const probe_server& cmd)
    {
        if (m_hooks.on_probe_server)
            m_hooks.on_probe_server(cmd);
    }
    void execute_global(const reach_changed& cmd)
    {
        if (m_hooks.on_reach_changed)
            m_hooks.on_reach_changed(cmd);
    }
    void execute_global(const group_reach_changed& cmd)
    {
        if (m_hooks.on_group_reach_changed)
            m_hooks.on_group_reach_changed(cmd);
    }

    void execute_global(const overload_changed& cmd)
    {
        if (m_hooks.on_overload_changed)
            m_hooks.on_overload_changed(cmd);
    }

    net::awaitable<void> transact(call_kv cmd)
    {
        const auto self = shared_from_this();
        result<kv_outcome> outcome = co_await m_kv.transact(std::move(cmd.transaction));
        if (!m_stopped)
            handle(kv_result{cmd.token, std::move(outcome)});
    }

    net::awaitable<void> grant(grant_lease cmd)
    {
        const auto self = shared_from_this();
        const result<kv_lease> granted = co_await m_kv.grant(cmd.ttl);
        if (m_stopped)
            co_return;
        if (granted)
            handle(lease_result{cmd.token, granted.value().id});
        else
            handle(lease_result{cmd.token, granted.error()});
    }

    net::io_context& m_io;
    request_core m_core;
    kv_service& m_kv;
    driver_hooks m_hooks;
    timer m_tick;
    std::unordered_map<request_id, std::shared_ptr<command_inbox>> m_inboxes;
    std::deque<event> m_events;
    command_list m_commands;
    std::uint64_t m_last_id = 0;
    bool m_handling = false;
    bool m_stopped = false;
};

request_driver::request_driver(net::io_context& io, request_core core, kv_service& kv,
                               driver_hooks hooks)
    : m_impl{std::make_shared<impl>(io, std::move(core), kv, std::move(hooks))}
{}

request_driver::~request_driver()
{
    stop();
}

void request_driver::stop()
{
    m_impl->m_stopped = true;
    m_impl->m_tick.cancel();
}

void request_driver::start()
{
    net::co_spawn(m_impl->m_io, m_impl->run(), net::detached);
}

std::shared_ptr<command_inbox> request_driver::open()
{
    const request_id id{++m_impl->m_last_id};
    auto inbox = std::make_shared<command_inbox>(m_impl->m_io.get_executor(), id);
    m_impl->m_inboxes.emplace(id, inbox);
    return inbox;
}

void request_driver::close(request_id id)
{
    m_impl->m_inboxes.erase(id);
}

void request_driver::handle(event new_event)
{
    m_impl->handle(std::move(new_event));
}

bool request_driver::take_resend(request_id request, attempt_id attempt)
{
    return m_impl->m_core.take_resend(request, attempt);
}

bool request_driver::may_send(request_id request, attempt_id attempt)
{
    return m_impl->m_core.may_send(request, attempt);
}

std::optional<refuse> request_driver::refuse_early()
{
    return m_impl->m_core.refuse_early();
}

const request_core& request_driver::core() const
{
    return m_impl->m_core;
}

std::size_t request_driver::open_inboxes() const
{
    return m_impl->m_inboxes.size();
}

} // namespace jaynotch
