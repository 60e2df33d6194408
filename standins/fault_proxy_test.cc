#include "http/http_client.h"
#include "standins/fault_proxy.h"
#include "standins/standin_testing.h"
#include "standins/store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

boost::asio::awaitable<void> connect(std::string target, std::string source,
                                     std::optional<bool>& connected)
{
    http_limits limits;
    limits.source_address = boost::asio::ip::make_address(source);
    http_client client{co_await boost::asio::this_coro::executor, std::move(target), limits};
    connected = co_await client.can_connect(200ms);
}

bool connects(boost::asio::io_context& io, const fault_proxy& link, std::string source)
{
    std::optional<bool> connected;
    boost::asio::co_spawn(io, connect(link.address(), std::move(source), connected),
                          boost::asio::detached);
    io.restart();
    const time_point until = runtime_clock::now() + 5s;
    while (!connected && runtime_clock::now() < until)
        io.run_one_for(20ms);
    cr_assert(connected.has_value());
    return *connected;
}

} // namespace

// Guards against soaks in which a client that is cut off still opens connections, or others don't.
Test(fault_proxy, only_clients_that_are_cut_off_open_no_connection)
{
    boost::asio::io_context io;
    const auto store = store_standin::start(io.get_executor()).value();
    const auto link = fault_proxy::open(io.get_executor(), store->address()).value();
    cr_assert(link->cut_off({boost::asio::ip::make_address_v4("127.0.1.1")}).has_value());
    cr_expect_not(connects(io, *link, "127.0.1.1"));
    cr_expect(connects(io, *link, "127.0.1.2"));
    cr_assert(link->cut_off({}).has_value());
    cr_expect(connects(io, *link, "127.0.1.1"));
    link->close();
}
