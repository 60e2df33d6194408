#include "daemon/registry_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t long_answer_bytes = 200 * 1024;

/// A client that reads nothing for now, as if its process were paused, with little room for unread
/// bytes.
boost::asio::ip::tcp::socket send_without_reading(registry_fixture& fleet, std::uint16_t port,
                                                  const std::string& extra_headers)
{
    constexpr int small_buffer = 4 * 1024;
    boost::asio::ip::tcp::socket client{fleet.io(), boost::asio::ip::tcp::v4()};
    client.set_option(boost::asio::socket_base::receive_buffer_size{small_buffer});
    client.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    const std::string request = "GET /read/1 HTTP/1.1\r\nHost: a.example\r\n"
                                "Jaynotch-Attempt-Id: id-1\r\nJaynotch-Deadline-Ms: 4000\r\n"
                                "Authorization: Bearer key-1\r\n" +
                                extra_headers + "\r\n";
    boost::asio::write(client, boost::asio::buffer(request));
    return client;
}

void stop_first_node(registry_fixture& fleet)
{
    bool stopped = false;
    boost::asio::co_spawn(fleet.io(), fleet.daemons.front()->stop(),
                          [&](const std::exception_ptr&) { stopped = true; });
    cr_assert(fleet.run_until([&] { return stopped; }));
}

void assert_reads_long_answer(boost::asio::ip::tcp::socket& client)
{
    std::string answer;
    boost::system::error_code ended;
    boost::asio::read(client, boost::asio::dynamic_buffer(answer), ended);
    cr_assert_eq(ended, boost::asio::error::eof, "%s", ended.message().c_str());
    cr_assert_gt(answer.size(), long_answer_bytes);
}

} // namespace

// Guards against a stop that resets kept connections and discards answers which their callers have
// not read yet.
Test(planned_stop, an_answer_that_its_caller_has_not_read_is_not_discarded)
{
    registry_fixture fleet{{.nodes = 1, .balancer_wait = 100ms}};
    for (const auto& server : fleet.servers)
        server->faults.padding = long_answer_bytes;
    auto caller = send_without_reading(fleet, fleet.daemons.front()->listen_port(), "");
    cr_assert(fleet.run_until([&] { return fleet.daemons.front()->counts().answered == 1; }));
    stop_first_node(fleet);
    assert_reads_long_answer(caller);
}

// Guards against a stop that resets answers to requests which another node has passed on, before
// that node has read them.
Test(planned_stop, a_relayed_answer_that_the_node_has_not_read_is_not_discarded)
{
    registry_fixture fleet{{.nodes = 1, .balancer_wait = 100ms}};
    for (const auto& server : fleet.servers) {
        server->faults.padding = long_answer_bytes;
        server->pause(1s);
    }
    auto node = send_without_reading(fleet, fleet.daemons.front()->relay_port(),
                                     "jaynotch-relayed: 0,1,1\r\n");
    cr_assert(fleet.run_until([&] { return fleet.daemons.front()->counts().in_flight == 1; }));
    stop_first_node(fleet);
    assert_reads_long_answer(node);
}

// Guards against requests that a stop cuts at its end without an answer.
Test(planned_stop, a_request_that_outlasts_the_stop_gets_a_final_answer)
{
    registry_fixture fleet{
        {.nodes = 1, .timeout = 9s, .balancer_wait = 100ms, .longest_stop = 1s, .plain_work = 3s}};
    const begun_request order = fleet.begin(0, "/order/1");
    const begun_request read = fleet.begin(0, "/read/1");
    cr_assert(fleet.run_until([&] { return fleet.executions() == 2; }));
    stop_first_node(fleet);
    cr_assert(order.answer->complete);
    cr_assert(read.answer->complete);
    cr_assert_eq(order.answer->status, boost::beast::http::status::bad_gateway);
    cr_assert_eq(read.answer->status, boost::beast::http::status::gateway_timeout);
}

// Guards against requests that are sent to a server late in a stop and can't end before it.
Test(planned_stop, a_request_that_would_outlast_the_stop_is_refused_at_once)
{
    registry_fixture fleet{{.nodes = 1,
                            .timeout = 9s,
                            .balancer_wait = 500ms,
                            .longest_stop = 1s,
                            .plain_work = 800ms}};
    cr_assert_eq(fleet.served(0, "/read/1", 1), 1U); // shows how long a request takes
    fleet.begin_stop(0);
    fleet.run(100ms);
    const begun_request late = fleet.begin(0, "/order/1");
    cr_assert(fleet.run_until([&] { return late.answer->ended; }, 300ms));
    cr_assert_eq(late.answer->status, boost::beast::http::status::service_unavailable);
    cr_assert_eq(fleet.executions(), 1U);
}

// Guards against a stop that closes connections on which a part of a request has arrived.
Test(planned_stop, a_request_whose_body_is_missing_at_the_end_is_answered)
{
    registry_fixture fleet{{.nodes = 1, .balancer_wait = 100ms, .longest_stop = 1s}};
    boost::asio::ip::tcp::socket client{fleet.io(), boost::asio::ip::tcp::v4()};
    client.connect(
        {boost::asio::ip::make_address("127.0.0.1"), fleet.daemons.front()->listen_port()});
    const std::string head = "POST /order/1 HTTP/1.1\r\nHost: a.example\r\n"
                             "Jaynotch-Attempt-Id: id-1\r\nAuthorization: Bearer key-1\r\n"
                             "Content-Length: 10\r\n\r\nhalf";
    boost::asio::write(client, boost::asio::buffer(head));
    fleet.run(50ms);
    stop_first_node(fleet);
    std::string answer;
    boost::system::error_code ended;
    boost::asio::read(client, boost::asio::dynamic_buffer(answer), ended);
    cr_assert(answer.starts_with("HTTP/1.1 408 "), "%s", answer.c_str());
}
