// An HTTP/1.1 server: the front for callers and the admin port are one each.
//
//   auto server = http_server::open(io, "127.0.0.1:0", settings, [](http_exchange& exchange)
//       -> net::awaitable<void> { co_await exchange.answer(http::status::ok, "text/plain", "hi");
//       });
//   server.value()->start();
//
// Input is bounded before it is read, slow senders time out, and whatever can't be understood is
// refused with the reason. A handler answers once, whole or piece by piece.
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
    /// Binds the port. Errors: a port in use, TLS files that can't be read.
    static result<std::unique_ptr<http_server>> open(net::io_context& io,
                                                     const std::string& address,
                                                     http_server_settings settings,
                                                     http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    void start();
    /// For requests that are read from now on.
    void set_limits(http_timeouts timeouts, http_server_limits limits);
    /// From now on each answer ends its connection.
    void disable_keep_alive();
    /// Takes no new connections and closes those that idle; requests in flight go on.
    void stop_accepting();
    /// Cuts every connection.
    void abort();

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t connections() const;

private:
    class impl;
    explicit http_server(std::shared_ptr<impl> made);
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch
