#include "daemon/upstreams.h"

namespace jaynotch {

namespace {

constexpr duration sweep_interval = std::chrono::seconds{60};
constexpr duration retention = std::chrono::minutes{10};

} // namespace

upstreams::upstreams(boost::asio::io_context& io, const daemon_settings& settings)
    : m_io{io}, m_settings{settings}
{}

std::shared_ptr<http_client> upstreams::at(const std::string& address)
{
    const time_point now = runtime_clock::now();
    if (now - m_last_sweep > sweep_interval)
        remove_unused(now);
    cached_client& found = m_clients[address];
    found.last_used = now;
    if (!found.client) {
        http_limits limits = connection_limits(m_settings);
        limits.body_bytes = m_settings.limits.answer_bytes;
        limits.connect_timeout = m_settings.timeouts.connect;
        limits.idle_connections = m_settings.limits.idle_upstream;
        limits.idle_connection_timeout = m_settings.timeouts.upstream_idle;
        // The platform's servers may end an answer with its connection. One that is reset fails,
        // and a stream that ends inside an event counts as cut.
        limits.allow_unframed_answers = m_settings.source == source_kind::registry;
        found.client = std::make_shared<http_client>(m_io.get_executor(), address, limits);
    }
    return found.client;
}

// Replaced VMs have new addresses, so without this the table would grow without limit.
void upstreams::remove_unused(time_point now)
{
    m_last_sweep = now;
    std::erase_if(m_clients,
                  [now](const auto& entry) { return now - entry.second.last_used > retention; });
}

} // namespace jaynotch
