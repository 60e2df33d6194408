// Rendezvous hashing: each node computes the same order for a server from the list of members.
#include "routing/fleet_ranking.h"

#include <algorithm>

namespace jaynotch {

namespace {

/// Rank of `self` among `names` for `key`; names.size() if it is not among them.
std::size_t rendezvous_rank(const std::string& self, std::string_view key,
                            std::vector<std::string> names)
{
    const std::vector<std::size_t> order = rendezvous(key, names, names.size());
    const auto found = std::find_if(order.begin(), order.end(),
                                    [&](std::size_t index) { return names[index] == self; });
    return static_cast<std::size_t>(found - order.begin());
}

} // namespace

fleet_ranking::fleet_ranking(node_id self, duration retention)
    : m_self{std::move(self)}, m_retention{retention}
{
    m_ranked.try_emplace(m_self);
}

bool fleet_ranking::update(const std::vector<fleet_member>& members, time_point now)
{
    std::map<node_id, failure_domain_id> ranked;
    ranked.try_emplace(m_self); // its failure domain comes with the list of members
    std::map<node_id, time_point> last_live;
    for (const fleet_member& one : members) {
        const auto known = m_last_live.find(one.node);
        const bool first_seen = known == m_last_live.end();
        const time_point last = one.live || first_seen ? now : known->second;
        last_live.emplace(one.node, last);
        if (now - last <= m_retention)
            ranked[one.node] = one.failure_domain;
    }
    m_last_live = std::move(last_live);
    if (ranked == m_ranked)
        return false;
    m_ranked = std::move(ranked);
    return true;
}

std::size_t fleet_ranking::rank(const vm_id& server, const failure_domain_id& server_domain) const
{
    std::vector<std::string> same_domain;
    std::vector<std::string> other_domains;
    for (const auto& [node, domain] : m_ranked)
        (domain == server_domain ? same_domain : other_domains).push_back(node.value());
    const std::size_t place = rendezvous_rank(m_self.value(), server.value(), same_domain);
    if (place < same_domain.size())
        return place;
    return same_domain.size() + rendezvous_rank(m_self.value(), server.value(), other_domains);
}

} // namespace jaynotch
