// HTTP handlers of the admin port: JSON pages for the `jaynotch` command-line tool, which reads
// status and applies tables through them, and /metrics.
//
//   admin_pages admin{sources};
//   http_server::open(io, listen, settings, [&](http_exchange& e) { return admin.serve(e); });
#pragma once

#include "config/config.h"
#include "daemon/group_driver.h"
#include "daemon/request_driver.h"
#include "daemon/settings.h"
#include "http/http_exchange.h"

#include <functional>
#include <string>

namespace jaynotch {

/// Where the pages get their data. The referenced objects must outlive admin_pages.
struct admin_sources {
    const daemon_settings& settings;
    config_service& config;
    peer_service& peers;
    group_driver& groups;
    request_driver& requests;
    std::function<bool()> ready;
    std::function<std::uint64_t()> in_flight;
    std::function<std::string()> metrics_page;
    time_point started;
};

class admin_pages {
public:
    explicit admin_pages(admin_sources sources);

    net::awaitable<void> serve(http_exchange& exchange);

private:
    net::awaitable<void> apply(http_exchange& exchange);
    net::awaitable<void> show_config(http_exchange& exchange);
    net::awaitable<void> show_history(http_exchange& exchange);
    net::awaitable<void> show_diff(http_exchange& exchange);
    net::awaitable<result<configuration>> configuration_at(std::string revision);
    [[nodiscard]] boost::json::object status_page() const;
    [[nodiscard]] boost::json::object nodes_page() const;
    [[nodiscard]] boost::json::object groups_page() const;

    admin_sources m_sources;
};

} // namespace jaynotch
