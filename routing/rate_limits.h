// Servers that say how many requests a second they take of all entry VMs together, and this node's
// part of that.
//
//   rate_limits limits{self};
//   limits.fleet_updated(members, now);                       // about once a second
//   if (limits.answered(server, domain, 1.9, now)) ...     // an answer named it: tell the peers
//   limits.told(server, domain, 1.9, observed, now);       // a peer did
//   if (limits.may_send(server, now)) limits.take(server, now);
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace jaynotch {

/// An entry VM as the membership shows it. One that has said goodbye is none.
struct fleet_member {
    node_id node;
    failure_domain_id failure_domain;
    bool live = true;
};

class rate_limits {
public:
    explicit rate_limits(node_id self);

    /// All members, this node among them or not.
    void fleet_updated(const std::vector<fleet_member>& members, time_point now);
    /// An answer of the server, which stands in failure domain `where`, named a limit, requests a
    /// second, or none. True if the other nodes are to be told.
    bool answered(const vm_id& server, const failure_domain_id& where,
                  std::optional<double> per_second, time_point now);
    /// Another node got such an answer at `observed`.
    void told(const vm_id& server, const failure_domain_id& where, std::optional<double> per_second,
              time_point observed, time_point now);
    /// Grants trials that are due. A few times a second.
    void tick(time_point now);
    /// Forgets servers that have been neither heard of nor `known` for long.
    template <class Known>
    void forget(Known known, time_point now)
    {
        std::erase_if(m_servers, [&](const auto& entry) {
            return now - entry.second.heard > keep_unknown && !known(entry.first);
        });
    }

    [[nodiscard]] bool empty() const { return m_servers.empty(); }
    [[nodiscard]] std::size_t size() const { return m_servers.size(); }
    /// Whether one more request may be sent to the server now.
    [[nodiscard]] bool may_send(const vm_id& server, time_point now) const;
    /// One more request is sent to the server.
    void take(const vm_id& server, time_point now);
    /// Until one more request may be sent: 0 if at once, max() if this node has no part.
    [[nodiscard]] duration wait(const vm_id& server, time_point now) const;
    /// This node's part, requests a second; nullopt if the server names no limit.
    [[nodiscard]] std::optional<double> share(const vm_id& server) const;

private:
    static constexpr std::chrono::seconds keep_unknown{60};
    static constexpr std::size_t most_servers = 4'096;

    struct server_row {
        double per_second = 0.0;
        failure_domain_id where;
        time_point heard; ///< when the server last named it
        time_point told;  ///< when the nodes were last told
        time_point tried; ///< when a trial was last granted
        std::size_t rank = 0;
        double share = 0.0;      ///< requests a second
        double most_saved = 1.0; ///< requests
        double saved = 0.0;      ///< requests, at `filled`
        time_point filled;
    };

    server_row* install(const vm_id& server, const failure_domain_id& where, double per_second,
                        time_point now);
    void split(const vm_id& server, server_row& row) const;
    [[nodiscard]] std::size_t rank_at(const vm_id& server, const failure_domain_id& where) const;
    [[nodiscard]] static double saved_at(const server_row& row, time_point now);
    static void fill(server_row& row, time_point now);

    node_id m_self;
    std::map<node_id, failure_domain_id> m_sharers;
    std::map<node_id, time_point> m_last_live;
    std::map<vm_id, server_row> m_servers;
};

} // namespace jaynotch
