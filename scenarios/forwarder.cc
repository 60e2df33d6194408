#include "scenarios/forwarder.h"

#include "standins/standins.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

// The process that opened a connection is found in the kernel's tables: /proc/net/tcp gives the
// inode of the socket with the client's port, and /proc/<pid>/fd lists the sockets of a process.

namespace jaynotch {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr duration cut_poll_interval = std::chrono::milliseconds{5};
constexpr std::size_t copy_bytes = 16 * 1024;

/// A failed forwarder would look like a partition, so its failure ends the scenario.
void rethrow(std::exception_ptr failed)
{
    if (failed)
        std::rethrow_exception(failed);
}

/// 127.0.0.1 and a port in the format of /proc/net/tcp, such as "0100007F:1F90".
std::string proc_address(std::uint16_t port)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "0100007F:%04X", port);
    return text.data();
}

std::string inode_of(std::uint16_t local, std::uint16_t remote)
{
    std::ifstream table{"/proc/net/tcp"};
    std::string line;
    std::getline(table, line);
    const std::string wanted_local = proc_address(local);
    const std::string wanted_remote = proc_address(remote);
    while (std::getline(table, line)) {
        std::istringstream words{line};
        std::string slot;
        std::string at;
        std::string to;
        words >> slot >> at >> to;
        if (at != wanted_local || to != wanted_remote)
            continue;
        std::string skipped;
        constexpr int words_before_inode = 6;
        for (int i = 0; i < words_before_inode; ++i)
            words >> skipped;
        std::string inode;
        words >> inode;
        return inode;
    }
    return {};
}

bool owns_inode(int pid, const std::string& inode)
{
    const std::string wanted = "socket:[" + inode + "]";
    std::error_code ec;
    const std::filesystem::path folder{"/proc/" + std::to_string(pid) + "/fd"};
    const std::filesystem::directory_iterator end;
    for (std::filesystem::directory_iterator at{folder, ec}; !ec && at != end; at.increment(ec)) {
        std::error_code gone;
        if (std::filesystem::read_symlink(at->path(), gone).string() == wanted)
            return true;
    }
    return false;
}

} // namespace

result<std::string> loopback_network::forward(const std::string& name, const std::string& target)
{
    BOOST_OUTCOME_TRY(const tcp::endpoint remote, parse_endpoint(target));
    auto listener = std::make_shared<forwarder>(forwarder{name, remote, tcp::acceptor{m_executor}});
    error_code ec;
    const tcp::endpoint any{asio::ip::address_v4::loopback(), 0};
    listener->acceptor.open(any.protocol(), ec);
    listener->acceptor.bind(any, ec);
    listener->acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return error{error_kind::unavailable, "forwarder cannot listen: " + ec.message(), ""};
    m_forwarders.push_back(listener);
    asio::co_spawn(m_executor, accept_loop(shared_from_this(), listener), rethrow);
    return "127.0.0.1:" + std::to_string(listener->acceptor.local_endpoint().port());
}

void loopback_network::cut(const std::string& one, const std::string& other)
{
    m_cuts.insert({one, other});
    m_cuts.insert({other, one});
}

void loopback_network::close()
{
    for (const auto& listener : m_forwarders) {
        error_code ignored;
        listener->acceptor.close(ignored);
    }
}

bool loopback_network::is_cut(const tunnel& connection) const
{
    return m_cuts.contains({connection.from, connection.to});
}

std::string loopback_network::find_source(const tcp::socket& client) const
{
    error_code ec;
    const auto client_end = client.remote_endpoint(ec);
    const auto server_end = client.local_endpoint(ec);
    if (ec)
        return {};
    const std::string inode = inode_of(client_end.port(), server_end.port());
    if (inode.empty())
        return {};
    for (const auto& [name, pid] : m_processes) {
        if (owns_inode(pid, inode))
            return name;
    }
    return {};
}

awaitable<void> loopback_network::accept_loop(std::shared_ptr<loopback_network> self,
                                              std::shared_ptr<forwarder> listener)
{
    for (;;) {
        error_code ec;
        tcp::socket client =
            co_await listener->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!listener->acceptor.is_open())
            co_return;
        if (ec)
            continue;
        std::string from = self->find_source(client);
        auto connection = std::make_shared<tunnel>(tunnel{
            std::move(client), tcp::socket{self->m_executor}, std::move(from), listener->name});
        asio::co_spawn(self->m_executor, connect(self, connection, listener->target),
                       asio::detached);
    }
}

awaitable<void> loopback_network::connect(std::shared_ptr<loopback_network> self,
                                          std::shared_ptr<tunnel> connection, tcp::endpoint target)
{
    while (self->is_cut(*connection))
        co_await standin_sleep(self->m_executor, cut_poll_interval);
    error_code ec;
    co_await connection->server.async_connect(target,
                                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        error_code ignored;
        connection->client.close(ignored);
        co_return;
    }
    error_code ignored;
    connection->client.set_option(tcp::no_delay{true}, ignored);
    connection->server.set_option(tcp::no_delay{true}, ignored);
    asio::co_spawn(self->m_executor, copy(self, connection, connection->client, connection->server),
                   asio::detached);
    asio::co_spawn(self->m_executor, copy(self, connection, connection->server, connection->client),
                   asio::detached);
}

awaitable<void> loopback_network::copy(std::shared_ptr<loopback_network> self,
                                       std::shared_ptr<tunnel> connection, tcp::socket& from,
                                       tcp::socket& to)
{
    std::vector<char> bytes(copy_bytes);
    for (;;) {
        error_code ec;
        const std::size_t bytes_read = co_await from.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
        while (self->is_cut(*connection))
            co_await standin_sleep(self->m_executor, cut_poll_interval);
        if (ec)
            break;
        co_await asio::async_write(to, asio::buffer(bytes.data(), bytes_read),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
    }
    error_code ignored;
    from.close(ignored);
    to.close(ignored);
}

} // namespace jaynotch
