// HTTP handlers of the admin port of `registry_daemon`: the same pages as in daemon/admin.h, but
// read-only, since operators change the tables in the platform's store.
//
//   registry_pages pages{sources};
//   http_server::open(io, listen, settings, [&](http_exchange& e) { return pages.serve(e); });
#pragma once

#include "daemon/request_driver.h"
#include "daemon/settings.h"
#include "groups/groups.h"
#include "http/http_exchange.h"
#include "peers/peers.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jaynotch {

/// Where the pages get their data. The referenced objects must outlive registry_pages.
struct registry_page_sources {
    const daemon_settings& settings;
    const groups::runner_registry& registry;
    peer_service& peers;
    request_driver& requests;
    std::function<std::shared_ptr<const configuration>()> tables;
    std::function<bool()> ready;
    std::function<bool()> store_reached;
    std::function<bool()> config_unreadable; ///< see registry_feed::configuration_unreadable()
    std::function<std::vector<failure_domain_id>()> managed;
    std::function<std::uint64_t()> in_flight;
    std::function<std::string()> metrics_page;
    time_point started;
};

class registry_pages {
public:
    explicit registry_pages(registry_page_sources sources) : m_sources{std::move(sources)} {}

    net::awaitable<void> serve(http_exchange& exchange);

private:
    net::awaitable<void> show_config(http_exchange& exchange);
    [[nodiscard]] boost::json::object status_page() const;
    [[nodiscard]] boost::json::object nodes_page() const;
    [[nodiscard]] boost::json::object groups_page() const;

    registry_page_sources m_sources;
};

} // namespace jaynotch
