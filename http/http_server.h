// An HTTP/1.1 server. The port for callers and the admin port are one instance each.
//
//   auto server = http_server::open(
//       io, "127.0.0.1:0", settings, [](http_exchange& exchange) -> net::awaitable<void> {
//           co_await exchange.answer(http::status::ok, "text/plain", "hi");
//       });
//   server.value()->start();
//
// Headers and bodies have size limits, slow senders time out, and malformed input is refused with
// an error that states the reason. A handler sends one response, in one call or streamed.
#pragma once

#include "base/base.h"
#include "http/http_exchange.h"
#include "http/server_settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace jaynotch {

using http_handler = std::function<net::awaitable<void>(http_exchange&)>;

class http_server {
public:
    /// Binds the port. Errors: the port is in use, or the TLS files can't be read.
    static result<std::unique_ptr<http_server>> open(net::io_context& io,
                                                     const std::string& address,
                                                     http_server_settings settings,
                                                     http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Starts accepting connections.
    void start();
    /// Changes timeouts and limits for requests that are read after this call.
    void set_limits(http_timeouts timeouts, http_server_limits limits);
    /// Closes each connection after its next response.
    void disable_keep_alive();
    /// Stops accepting connections and closes idle ones; requests in flight are completed.
    /// Connections that are already in the listen backlog are accepted first.
    void stop_accepting();
    /// Ends all waits for requests and their bodies: one that has arrived in part is answered with
    /// a timeout, and idle connections are closed.
    void expire_reads();
    /// Stops accepting connections and resets all open ones.
    void abort();

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t connections() const;

private:
    class impl;
    explicit http_server(std::shared_ptr<impl> server_impl);
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch
