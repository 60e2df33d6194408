// Cold servers: a backend server may be cold for a while, for example after its start, and then
// bears only a few requests a second from all entry VMs together. This class knows the cold servers
// and enforces this node's part of what each of them bears.
//
//   cold_servers cold{self, now};
//   cold.fleet_updated(members, now);                // about once a second
//   cold.note_sent(server, now);                     // each request, also to a warm server
//   cold.set_cold(server, domain, requests_borne(per_second, excess, slack), until, now);
//   if (cold.may_send(server, now)) ...
#pragma once

#include "base/base.h"
#include "routing/fleet_ranking.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jaynotch {

/// Requests that the nodes may send together to a cold server within any second. The operators
/// allow up to `per_second` * `excess` + `slack`.
[[nodiscard]] std::uint32_t requests_borne(double per_second, double excess, double slack);

class cold_servers {
public:
    cold_servers(node_id self, time_point now);

    /// Updates the list of members, with or without this node.
    void fleet_updated(const std::vector<fleet_member>& members, time_point now);
    /// The server is cold until `until`, and bears `borne` requests a second from all nodes
    /// together. True if it was not known as cold.
    bool set_cold(const vm_id& server, const failure_domain_id& server_domain, std::uint32_t borne,
                  time_point until, time_point now);
    /// The server is not cold. True if it was.
    bool set_warm(const vm_id& server);
    /// Accounts for a request that is sent to the server. Also to be called for warm servers that
    /// may become cold, since what is under way then counts.
    void note_sent(const vm_id& server, time_point now);
    /// Removes servers that are no longer cold or got no request lately; true if any was cold.
    bool forget(time_point now);

    [[nodiscard]] std::size_t cold_count() const { return m_cold; }
    /// Whether a request may be sent to the server now.
    [[nodiscard]] bool may_send(const vm_id& server, time_point now) const
    {
        return wait(server, now) == duration{0};
    }
    /// Time until a request may be sent, at most until the server is warm.
    [[nodiscard]] duration wait(const vm_id& server, time_point now) const;
    /// Time until the server is warm; 0 if it is not cold.
    [[nodiscard]] duration left(const vm_id& server, time_point now) const;
    /// Requests a second that this node may send to the server; nullopt if it is not cold.
    [[nodiscard]] std::optional<std::uint32_t> part(const vm_id& server) const;

private:
    struct server_row {
        std::deque<time_point> sent; ///< of the last window, in order
        bool cold = false;
        time_point until;
        failure_domain_id server_domain;
        std::uint32_t borne = 0;
        std::uint32_t part = 0;
        time_point usable_from; ///< of the part
    };

    void update_part(const vm_id& server, server_row& row, time_point now) const;
    static void drop_old(server_row& row, time_point now);

    fleet_ranking m_fleet;
    time_point m_fleet_known_at;
    std::unordered_map<vm_id, server_row> m_servers;
    std::size_t m_cold = 0;
};

} // namespace jaynotch
