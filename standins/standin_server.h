// A small HTTP/1.1 server for stand-ins, with a coroutine per connection and one handler for all
// requests. It can also send malformed responses, cut connections, stop and restart.
//
//   auto server = standin_server::listen(executor, "127.0.0.1:0", [](standin_exchange& exchange) {
//       return exchange.answer(http::status::ok, "hello");
//   });
#pragma once

#include "base/base.h"
#include "services/services.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// Waits for `step` on the runtime clock.
awaitable<void> standin_sleep(boost::asio::any_io_executor executor, duration step);

/// How answers that are sent at the same time share a link.
enum class link_sharing {
    chunks, ///< chunk by chunk, so that all take longer
    turns,  ///< one after the other, also those that nobody waits for any more
};

/// The link of a stand-in, which all its answers share.
class shared_link {
public:
    static constexpr std::size_t chunk_bytes = 16 * 1024;

    /// 0: unlimited.
    void set_rate(double bytes_per_s, link_sharing sharing = link_sharing::chunks)
    {
        m_bytes_per_s = bytes_per_s;
        m_sharing = sharing;
    }
    [[nodiscard]] bool in_turns() const { return limited() && m_sharing == link_sharing::turns; }
    [[nodiscard]] bool limited() const { return m_bytes_per_s > 0.0; }
    /// Waits until `bytes` have passed.
    awaitable<void> pass(boost::asio::any_io_executor executor, std::size_t bytes);

private:
    double m_bytes_per_s = 0.0;
    link_sharing m_sharing = link_sharing::chunks;
    time_point m_free_at;
};

/// A request and its response.
class standin_exchange {
public:
    using socket_type = boost::asio::ip::tcp::socket;
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;

    standin_exchange(socket_type& socket, request_type request);

    [[nodiscard]] const request_type& request() const { return m_request; }
    [[nodiscard]] boost::beast::http::verb method() const { return m_request.method(); }
    /// The target without its query.
    [[nodiscard]] std::string_view path() const;
    /// A query parameter; empty if missing.
    [[nodiscard]] std::string query(std::string_view name) const;
    [[nodiscard]] std::string_view header(std::string_view name) const;
    [[nodiscard]] const std::string& body() const { return m_request.body(); }

    /// Adds a header to the response.
    void set(std::string name, std::string value);
    /// From now on answer() shares this link with other exchanges. It must outlive the exchange.
    void set_link(shared_link& link) { m_link = &link; }
    /// Sends a complete response.
    awaitable<void> answer(boost::beast::http::status status, std::string body,
                           std::string content_type = "application/json");
    /// Writes bytes to the connection unchanged; false if that failed.
    awaitable<bool> write_raw(std::string bytes);
    /// Starts a chunked response. This and the two functions below return false if writing failed.
    awaitable<bool> begin_chunks(boost::beast::http::status status, std::string content_type);
    awaitable<bool> write_chunk(std::string bytes);
    awaitable<bool> finish_chunks();
    /// From now on the response has neither a length nor chunks and ends with its connection.
    void set_unframed() { m_unframed = true; }
    /// The response ends after this many bytes, head included, and its connection is closed or
    /// reset.
    void end_after(std::size_t bytes, bool reset)
    {
        m_bytes_left = bytes;
        m_reset_at_end = reset;
    }
    /// Bytes of the head of a response for which end_after() was called.
    [[nodiscard]] std::size_t head_bytes() const { return m_head_bytes; }
    /// Closes the connection without completing the response.
    void cut();
    /// Whether the client has closed the connection.
    bool client_disconnected();
    [[nodiscard]] bool is_cut() const { return m_cut; }

private:
    /// Writes as many of the bytes as the response may still have; false if it has ended.
    awaitable<bool> write_part(std::string bytes);

    socket_type& m_socket;
    request_type m_request;
    std::vector<http_header> m_headers;
    shared_link* m_link = nullptr;
    std::optional<std::size_t> m_bytes_left; ///< of the response; nullopt: unlimited
    std::size_t m_head_bytes = 0;
    bool m_reset_at_end = false;
    bool m_cut = false;
    bool m_unframed = false;
};

using standin_handler = std::function<awaitable<void>(standin_exchange&)>;

/// A handler that calls a member function for each request, as long as the stand-in exists.
template <class Standin>
standin_handler forward_to(const std::shared_ptr<Standin>& standin,
                           awaitable<void> (Standin::*handle)(standin_exchange&))
{
    return [weak = std::weak_ptr{standin}, handle](standin_exchange& exchange) -> awaitable<void> {
        if (const auto self = weak.lock())
            co_await (self.get()->*handle)(exchange);
    };
}

class standin_server : public std::enable_shared_from_this<standin_server> {
public:
    /// Listens on "IP:port"; port 0 chooses a free port.
    static result<std::shared_ptr<standin_server>>
    listen(const boost::asio::any_io_executor& executor, const std::string& address,
           standin_handler handler);

    [[nodiscard]] const std::string& address() const { return m_address; }
    /// Resets all connections and refuses new ones, like a killed process.
    void stop();
    /// Listens again on the same port.
    result<void> restart();
    /// Calls restart() or stop(); throws if the port is no longer available.
    void set_running(bool should_run);
    [[nodiscard]] bool running() const { return m_acceptor.is_open(); }

private:
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket accepted) : socket{std::move(accepted)} {}
        boost::asio::ip::tcp::socket socket;
        boost::beast::flat_buffer buffer;
    };

    standin_server(const boost::asio::any_io_executor& executor, standin_handler handler);
    result<void> bind(const boost::asio::ip::tcp::endpoint& local);
    static awaitable<void> accept_loop(std::shared_ptr<standin_server> self);
    static awaitable<void> serve(std::shared_ptr<standin_server> self,
                                 std::shared_ptr<connection> client);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_local;
    std::string m_address;
    standin_handler m_handler;
    std::set<std::shared_ptr<connection>> m_connections;
};

} // namespace jaynotch
