#include "soak/fault_proxy.h"

#include "http/http_client.h"
#include "standins/standin_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

// Each direction of a connection is a loop: read a piece, wait until it may go on, write it. The
// end of one side is a piece like any other, so a cut also holds up the word that a connection
// ended.

namespace jaynotch {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr duration hold_poll = std::chrono::milliseconds{5};
constexpr std::size_t piece_bytes = 16 * 1024;

} // namespace

result<std::shared_ptr<fault_proxy>> fault_proxy::open(const asio::any_io_executor& executor,
                                                       const std::string& target)
{
    std::shared_ptr<fault_proxy> made{new fault_proxy{executor}};
    BOOST_OUTCOME_TRY(made->m_target, parse_endpoint(target));
    error_code ec;
    const tcp::endpoint any{asio::ip::address_v4::loopback(), 0};
    made->m_acceptor.open(any.protocol(), ec);
    made->m_acceptor.bind(any, ec);
    made->m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return error{error_kind::unavailable, "a proxy can't listen: " + ec.message(),
                     "run fewer soaks at once"};
    made->m_address = "127.0.0.1:" + std::to_string(made->m_acceptor.local_endpoint().port());
    asio::co_spawn(executor, accept_loop(made), asio::detached);
    return made;
}

void fault_proxy::set(link_fault fault, duration delay)
{
    m_fault = fault;
    m_delay = delay;
    for (const auto& through : m_tunnels) {
        if (fault == link_fault::reset)
            reset(*through);
        if (fault == link_fault::drop_quiet)
            through->quiet = true;
    }
}

void fault_proxy::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
    set(link_fault::reset);
}

void fault_proxy::reset(tunnel& through)
{
    error_code ignored;
    for (tcp::socket* end : {&through.near, &through.far}) {
        end->set_option(asio::socket_base::linger{true, 0}, ignored);
        end->close(ignored);
    }
}

bool fault_proxy::holds(direction way) const
{
    switch (m_fault) {
    case link_fault::silence:
        return true;
    case link_fault::cut_there:
        return way == direction::there;
    case link_fault::cut_back:
        return way == direction::back;
    default:
        return false;
    }
}

asio::awaitable<bool> fault_proxy::let_through(std::shared_ptr<tunnel> through, direction way)
{
    if (m_fault == link_fault::delay)
        co_await standin_sleep(m_executor, m_delay);
    while (holds(way) || through->quiet) {
        co_await standin_sleep(m_executor, hold_poll);
        if (!through->near.is_open() || !m_acceptor.is_open())
            co_return false;
    }
    co_return true;
}

asio::awaitable<void> fault_proxy::accept_loop(std::shared_ptr<fault_proxy> self)
{
    for (;;) {
        error_code ec;
        tcp::socket near =
            co_await self->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!self->m_acceptor.is_open())
            co_return;
        if (ec)
            continue;
        auto through =
            std::make_shared<tunnel>(tunnel{std::move(near), tcp::socket{self->m_executor}});
        asio::co_spawn(self->m_executor, connect(self, std::move(through)), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::connect(std::shared_ptr<fault_proxy> self,
                                           std::shared_ptr<tunnel> through)
{
    if (self->m_fault == link_fault::reset) {
        reset(*through);
        co_return;
    }
    error_code ec;
    co_await through->far.async_connect(self->m_target,
                                        asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        reset(*through);
        co_return;
    }
    error_code ignored;
    through->near.set_option(tcp::no_delay{true}, ignored);
    through->far.set_option(tcp::no_delay{true}, ignored);
    self->m_tunnels.insert(through);
    asio::co_spawn(self->m_executor, copy(self, through, direction::there), asio::detached);
    asio::co_spawn(self->m_executor, copy(self, through, direction::back), asio::detached);
}

asio::awaitable<void> fault_proxy::copy(std::shared_ptr<fault_proxy> self,
                                        std::shared_ptr<tunnel> through, direction way)
{
    const bool there = way == direction::there;
    tcp::socket& from = there ? through->near : through->far;
    tcp::socket& to = there ? through->far : through->near;
    std::array<char, piece_bytes> piece{};
    for (;;) {
        error_code ec;
        const std::size_t got = co_await from.async_read_some(
            asio::buffer(piece), asio::redirect_error(asio::use_awaitable, ec));
        if (!co_await self->let_through(through, way) || ec)
            break;
        co_await asio::async_write(to, asio::buffer(piece.data(), got),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
    }
    error_code ignored;
    from.close(ignored);
    to.close(ignored);
    self->m_tunnels.erase(through);
}

} // namespace jaynotch
