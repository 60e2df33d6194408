#include "standins/fault_proxy.h"

#include "http/http_client.h"
#include "standins/standin_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

// Each direction of a tunnel is a loop: read a chunk, wait until the current fault lets it pass,
// write it. End of file waits like a chunk, so a blocked direction also delays the notice that the
// connection was closed.

namespace jaynotch {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr duration block_poll_interval = std::chrono::milliseconds{5};
constexpr std::size_t chunk_bytes = 16 * 1024;

} // namespace

result<std::shared_ptr<fault_proxy>> fault_proxy::open(const asio::any_io_executor& executor,
                                                       const std::string& target)
{
    std::shared_ptr<fault_proxy> proxy{new fault_proxy{executor}};
    BOOST_OUTCOME_TRY(proxy->set_target(target));
    error_code ec;
    const tcp::endpoint listen_endpoint{asio::ip::address_v4::loopback(), 0};
    proxy->m_acceptor.open(listen_endpoint.protocol(), ec);
    proxy->m_acceptor.bind(listen_endpoint, ec);
    proxy->m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return error{error_kind::unavailable, "fault proxy cannot listen: " + ec.message(),
                     "run fewer soaks at once"};
    proxy->m_address = "127.0.0.1:" + std::to_string(proxy->m_acceptor.local_endpoint().port());
    asio::co_spawn(executor, accept_loop(proxy), asio::detached);
    return proxy;
}

result<void> fault_proxy::set_target(const std::string& target)
{
    BOOST_OUTCOME_TRY(m_target, parse_endpoint(target));
    return success();
}

void fault_proxy::set(link_fault fault, duration delay)
{
    m_fault = fault;
    m_delay = delay;
    for (const auto& connection : m_tunnels) {
        if (fault == link_fault::reset)
            reset(*connection);
        if (fault == link_fault::drop_quiet)
            connection->blackholed = true;
    }
}

void fault_proxy::drop_open()
{
    for (const auto& connection : m_tunnels)
        connection->blackholed = true;
}

void fault_proxy::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
    set(link_fault::reset);
}

void fault_proxy::reset(tunnel& connection)
{
    error_code ignored;
    for (tcp::socket* end : {&connection.client, &connection.upstream}) {
        end->set_option(asio::socket_base::linger{true, 0}, ignored);
        end->close(ignored);
    }
}

bool fault_proxy::is_blocked(direction dir) const
{
    switch (m_fault) {
    case link_fault::silence:
        return true;
    case link_fault::cut_there:
        return dir == direction::to_upstream;
    case link_fault::cut_back:
        return dir == direction::to_client;
    default:
        return false;
    }
}

asio::awaitable<bool> fault_proxy::wait_until_allowed(std::shared_ptr<tunnel> connection,
                                                      direction dir)
{
    if (m_fault == link_fault::delay)
        co_await standin_sleep(m_executor, m_delay);
    while (is_blocked(dir) || connection->blackholed) {
        co_await standin_sleep(m_executor, block_poll_interval);
        if (!connection->client.is_open() || !m_acceptor.is_open())
            co_return false;
    }
    co_return true;
}

asio::awaitable<void> fault_proxy::accept_loop(std::shared_ptr<fault_proxy> self)
{
    for (;;) {
        error_code ec;
        tcp::socket client =
            co_await self->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!self->m_acceptor.is_open())
            co_return;
        if (ec)
            continue;
        auto connection =
            std::make_shared<tunnel>(tunnel{std::move(client), tcp::socket{self->m_executor}});
        asio::co_spawn(self->m_executor, connect(self, std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::connect(std::shared_ptr<fault_proxy> self,
                                           std::shared_ptr<tunnel> connection)
{
    if (self->m_fault == link_fault::reset) {
        reset(*connection);
        co_return;
    }
    error_code ec;
    co_await connection->upstream.async_connect(self->m_target,
                                                asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        reset(*connection);
        co_return;
    }
    error_code ignored;
    connection->client.set_option(tcp::no_delay{true}, ignored);
    connection->upstream.set_option(tcp::no_delay{true}, ignored);
    self->m_tunnels.insert(connection);
    asio::co_spawn(self->m_executor, copy(self, connection, direction::to_upstream),
                   asio::detached);
    asio::co_spawn(self->m_executor, copy(self, connection, direction::to_client), asio::detached);
}

asio::awaitable<void> fault_proxy::copy(std::shared_ptr<fault_proxy> self,
                                        std::shared_ptr<tunnel> connection, direction dir)
{
    const bool to_upstream = dir == direction::to_upstream;
    tcp::socket& from = to_upstream ? connection->client : connection->upstream;
    tcp::socket& to = to_upstream ? connection->upstream : connection->client;
    std::array<char, chunk_bytes> chunk{};
    for (;;) {
        error_code ec;
        const std::size_t bytes_read = co_await from.async_read_some(
            asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, ec));
        if (!co_await self->wait_until_allowed(connection, dir) || ec)
            break;
        co_await asio::async_write(to, asio::buffer(chunk.data(), bytes_read),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
    }
    error_code ignored;
    from.close(ignored);
    to.close(ignored);
    self->m_tunnels.erase(connection);
}

} // namespace jaynotch
