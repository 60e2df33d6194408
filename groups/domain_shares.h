// Computes how many groups of each pool a fabric domain should have.
//
//   const auto shares = domain_shares::compute(tables, listed, records, own_domain);
//   shares.share(pool).wanted
//
// Pools span fabric domains and each domain has its own manager. All managers compute the shares
// from the same shared inputs (tables, VM list and records) without coordination. If their inputs
// differ for a moment, the worst outcome is a group that is dissolved later, never a VM in two
// groups.
#pragma once

#include "groups/record.h"
#include "groups/vm_table.h"

#include <map>

namespace jaynotch::groups {

/// Records by fabric domain, including the own one.
using record_map = std::map<fabric_domain_id, domain_record>;

/// One domain's share of one pool.
struct pool_share {
    std::size_t wanted = 0;   ///< groups that this domain should have
    std::size_t present = 0;  ///< viable groups, without retiring ones and replacements
    std::size_t surplus = 0;  ///< groups of this domain beyond the pool's replicas
    std::size_t yielding = 0; ///< groups of this domain that yield to a pool of higher rank
    bool elsewhere = false;   ///< another domain has a viable group of the pool
};

/// The shares of one domain. A group is viable if its domain has enough live VMs, according to the
/// VM list, to complete it.
class domain_shares {
public:
    static domain_shares compute(const configuration& tables,
                                 const std::map<fabric_domain_id, std::set<vm_id>>& listed,
                                 const record_map& records, const fabric_domain_id& self);

    [[nodiscard]] pool_share share(const pool_id& pool) const;
    /// Whether `group` of this domain can be completed from the domain's own live VMs.
    [[nodiscard]] bool viable(const group_id& group) const { return m_viable.contains(group); }

private:
    std::map<pool_id, pool_share> m_shares;
    std::set<group_id> m_viable;
};

/// Whether `row` is a model pool that may have groups in `domain`.
bool allowed_in(const pool& row, const fabric_domain_id& domain);
/// The model pools by descending rank; pools of lower rank yield first.
std::vector<const pool*> pools_by_rank(const configuration& tables);

} // namespace jaynotch::groups
