#include "standins/fault_proxy.h"

#include "http/http_client.h"
#include "standins/standin_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <vector>

// Each direction of a tunnel is a loop: read a chunk, wait until the current fault lets it pass,
// write it. End of file waits like a chunk, so a blocked direction also delays the notice that the
// connection was closed.
//
// The packets of clients are dropped by a filter of the kernel on the listening socket and on those
// of the open connections. It needs no privileges, and unlike a proxy that accepts and is silent,
// it keeps new connections from being opened.

namespace jaynotch {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr duration block_poll_interval = std::chrono::milliseconds{5};
constexpr std::size_t chunk_bytes = 16 * 1024;

/// A program for the kernel that drops packets from these source addresses.
std::vector<sock_filter> drop_from(const std::set<asio::ip::address_v4>& clients)
{
    // Offset of the source address in the IP header, in the filter's own addressing.
    constexpr std::uint32_t source_offset = 12 + static_cast<std::uint32_t>(SKF_NET_OFF);
    constexpr std::uint32_t whole_packet = 0xffffffff;
    constexpr std::uint32_t no_packet = 0;
    std::vector<sock_filter> program;
    program.push_back({BPF_LD | BPF_W | BPF_ABS, 0, 0, source_offset});
    for (const asio::ip::address_v4& client : clients) {
        program.push_back({BPF_JMP | BPF_JEQ | BPF_K, 0, 1, client.to_uint()});
        program.push_back({BPF_RET | BPF_K, 0, 0, no_packet});
    }
    program.push_back({BPF_RET | BPF_K, 0, 0, whole_packet});
    return program;
}

result<void> set_filter(int socket, std::vector<sock_filter>& program)
{
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    if (setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0)
        return error{error_kind::unavailable,
                     "packet filter: " + std::generic_category().message(errno),
                     "run on a kernel with socket filters"};
    return success();
}

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

result<void> fault_proxy::cut_off(std::set<asio::ip::address_v4> clients, client_cut how)
{
    m_cut_off = std::move(clients);
    m_cut_how = how;
    // A filter without addresses lets everything pass.
    std::vector<sock_filter> program =
        drop_from(how == client_cut::drop ? m_cut_off : std::set<asio::ip::address_v4>{});
    BOOST_OUTCOME_TRY(set_filter(m_acceptor.native_handle(), program));
    for (const auto& connection : m_tunnels) {
        if (how == client_cut::reset && m_cut_off.contains(connection->from))
            reset(*connection);
        if (connection->client.is_open()) {
            BOOST_OUTCOME_TRY(set_filter(connection->client.native_handle(), program));
        }
    }
    return success();
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

bool fault_proxy::is_blocked(const tunnel& connection, direction dir) const
{
    if (connection.blackholed || m_cut_off.contains(connection.from))
        return true;
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
    while (is_blocked(*connection, dir)) {
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
        const tcp::endpoint from = connection->client.remote_endpoint(ec);
        if (ec)
            continue;
        connection->from = from.address().to_v4();
        asio::co_spawn(self->m_executor, connect(self, std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::connect(std::shared_ptr<fault_proxy> self,
                                           std::shared_ptr<tunnel> connection)
{
    const bool cut = self->m_cut_off.contains(connection->from);
    if (self->m_fault == link_fault::reset || (cut && self->m_cut_how == client_cut::reset)) {
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
