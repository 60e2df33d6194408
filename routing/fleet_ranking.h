// Ranks this node among the entry VMs for a server, so that all nodes can split the server's
// requests in the same way without communication. Used by rate_limits and cold_servers.
//
//   fleet_ranking fleet{self, retention};
//   if (fleet.update(members, now)) ...                 // the ranks may have changed
//   if (fleet.rank(server, server_domain) < parts) ...  // this node has a part
#pragma once

#include "base/base.h"

#include <cstddef>
#include <map>
#include <vector>

namespace jaynotch {

/// An entry VM in the membership list. VMs that have left by themselves are not listed.
struct fleet_member {
    node_id node;
    failure_domain_id failure_domain;
    bool live = true;
};

class fleet_ranking {
public:
    /// A member that is not live may be partitioned and still send, so it keeps its rank for
    /// `retention`.
    fleet_ranking(node_id self, duration retention);

    /// Updates the list of members, with or without this node; true if the ranked nodes changed.
    bool update(const std::vector<fleet_member>& members, time_point now);
    /// Number of ranked nodes, this one included.
    [[nodiscard]] std::size_t size() const { return m_ranked.size(); }
    /// Rank of this node for the server, from 0. Nodes in the server's failure domain come first,
    /// so that a domain that is cut off can still use its own servers.
    [[nodiscard]] std::size_t rank(const vm_id& server,
                                   const failure_domain_id& server_domain) const;

private:
    node_id m_self;
    duration m_retention;
    std::map<node_id, failure_domain_id> m_ranked;
    std::map<node_id, time_point> m_last_live;
};

} // namespace jaynotch
