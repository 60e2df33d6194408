// Implementation class of `daemon`, which owns its components and connects them; private to
// daemon.cc and daemon_events.cc.
#pragma once

#include "config/config.h"
#include "daemon/admin.h"
#include "daemon/daemon.h"
#include "daemon/front.h"
#include "daemon/group_driver.h"
#include "daemon/metrics.h"
#include "daemon/plain_watch.h"
#include "daemon/relay.h"
#include "daemon/request_driver.h"
#include "daemon/trace.h"
#include "daemon/upstreams.h"
#include "http/http_server.h"
#include "peers/peers.h"
#include "services/services.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace jaynotch {

class daemon::impl : public std::enable_shared_from_this<impl> {
public:
    impl(net::io_context& context, const daemon_settings& chosen);
    ~impl();

    // daemon.cc
    result<void> open();
    void start();
    net::awaitable<void> stop();
    void abort();
    [[nodiscard]] bool ready() const;
    /// Whether this node started recently, has model pools and knows no complete group yet.
    [[nodiscard]] bool warming_up() const;
    /// Number of complete groups that the request core was last given.
    [[nodiscard]] std::size_t groups_in_use() const { return m_pushed.size(); }

    net::io_context& io;
    daemon_settings settings;
    daemon_counts counts;
    metrics exported_metrics;
    kv_service kv;
    upstreams servers;
    std::unique_ptr<tracer> spans;
    std::unique_ptr<peer_service> peers;
    std::unique_ptr<config_service> config;
    std::unique_ptr<request_driver> requests;
    std::unique_ptr<group_driver> groups;
    std::unique_ptr<plain_watch> plain;
    std::unique_ptr<relay_services> services;
    std::unique_ptr<front> caller_front;
    std::unique_ptr<admin_pages> admin;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> admin_server;
    std::function<void()> superseded;

private:
    // daemon.cc
    result<void> open_cores(std::uint64_t seed);
    result<void> open_ports();
    net::awaitable<void> housekeeping();

    // daemon_events.cc
    void connect_parts();
    void install(std::shared_ptr<const configuration> tables);
    void push_groups();
    void handle_rumor(const rumor& reported);
    void handle_demand(const demand& reported);
    void publish_demand(const share_demand& own);
    void handle_member_change(const member& changed);
    [[nodiscard]] bool has_valid_ticket(const group_id& group) const;
    [[nodiscard]] std::string metrics_page();

    struct peer_demand_rows {
        std::map<std::pair<pool_id, workspace_id>, std::pair<demand_row, time_point>> rows;
    };

    std::vector<groups::complete_group> m_pushed;           ///< last given to the request core
    std::unordered_map<group_id, time_point> m_valid_until; ///< expiry of each group's ticket
    std::unordered_map<node_id, peer_demand_rows> m_demand;
    std::unordered_map<std::uint32_t, pool_id> m_pools_by_key;
    std::unordered_map<std::uint32_t, workspace_id> m_workspaces_by_key;
    time_point m_started;
    timer m_timer;
    bool m_stopping = false;
    bool m_stopped = false;
};

} // namespace jaynotch
