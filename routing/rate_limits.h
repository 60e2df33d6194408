// Rate limits of backend servers: a server may name the requests a second that it accepts from all
// entry VMs together; this class computes and enforces the share of this node.
//
//   rate_limits limits{self};
//   limits.fleet_updated(members, now);                     // about once a second
//   // A response named a limit; if true, send the report to the peers.
//   if (limits.server_report(server, domain, 1.9, now)) ...
//   limits.peer_report(server, domain, 1.9, observed, now);
//   if (limits.may_send(server, now))
//       limits.consume(server, now);
#pragma once

#include "base/base.h"
#include "routing/fleet_ranking.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace jaynotch {

class rate_limits {
public:
    explicit rate_limits(node_id self);

    /// Updates the list of members, with or without this node.
    void fleet_updated(const std::vector<fleet_member>& members, time_point now);
    /// A response of the server named a limit in requests a second, or none. `server_domain` is the
    /// failure domain of the server. Returns true if the report has to be sent to the other nodes.
    bool server_report(const vm_id& server, const failure_domain_id& server_domain,
                       std::optional<double> per_second, time_point now);
    /// Another node got such a response at `observed`. Reports older than the latest known one are
    /// ignored.
    void peer_report(const vm_id& server, const failure_domain_id& server_domain,
                     std::optional<double> per_second, time_point observed, time_point now);
    /// Grants the trial requests that are due. To be called a few times a second.
    void tick(time_point now);
    /// Removes servers for which there was no report for `unknown_server_retention` and that are
    /// not `known`.
    template <class Known>
    void forget(Known known, time_point now)
    {
        std::erase_if(m_servers, [&](const auto& entry) {
            return now - entry.second.last_named_at > unknown_server_retention &&
                   !known(entry.first);
        });
    }

    [[nodiscard]] bool empty() const { return m_servers.empty(); }
    [[nodiscard]] std::size_t size() const { return m_servers.size(); }
    /// Whether a request may be sent to the server now.
    [[nodiscard]] bool may_send(const vm_id& server, time_point now) const;
    /// Accounts for a request that is sent to the server.
    void consume(const vm_id& server, time_point now);
    /// Time until a request may be sent; max() if this node has no share.
    [[nodiscard]] duration wait(const vm_id& server, time_point now) const;
    /// This node's share, requests a second; nullopt if the server has no limit.
    [[nodiscard]] std::optional<double> share(const vm_id& server) const;

private:
    static constexpr std::chrono::seconds unknown_server_retention{60};
    static constexpr std::size_t max_servers = 4'096;

    struct server_row {
        double per_second = 0.0;
        failure_domain_id server_domain;
        time_point last_named_at;  ///< when a response of the server last named the limit
        time_point last_announced; ///< when the limit was last sent to the other nodes
        time_point last_trial;     ///< when a trial request was last granted
        std::size_t rank = 0;
        double share = 0.0;       ///< requests a second
        double bucket_size = 1.0; ///< requests
        double tokens = 0.0;      ///< requests, at `refilled_at`
        time_point refilled_at;
    };

    server_row* install(const vm_id& server, const failure_domain_id& server_domain,
                        double per_second, time_point now);
    void update_share(const vm_id& server, server_row& row) const;
    [[nodiscard]] static double load_tokens_at(const server_row& row, time_point now);
    static void refill(server_row& row, time_point now);

    fleet_ranking m_fleet;
    std::map<vm_id, server_row> m_servers;
};

} // namespace jaynotch
