// HTTP clients for backend servers: one per address, created on first use and removed when unused.
//
//   upstreams servers{io, settings};
//   std::shared_ptr<http_client> client = servers.at("10.1.0.7:9000");
#pragma once

#include "base/base.h"
#include "daemon/settings.h"
#include "services/services.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace jaynotch {

class upstreams {
public:
    upstreams(boost::asio::io_context& io, const daemon_settings& settings);

    /// The caller must keep the pointer while a call on the client runs.
    std::shared_ptr<http_client> at(const std::string& address);

private:
    struct cached_client {
        std::shared_ptr<http_client> client;
        time_point last_used;
    };
    void remove_unused(time_point now);

    boost::asio::io_context& m_io;
    const daemon_settings& m_settings;
    std::map<std::string, cached_client> m_clients;
    time_point m_last_sweep{};
};

} // namespace jaynotch
