// How many groups of each pool a fabric domain owes. Pools span fabric domains and each domain has
// its own manager, so all managers work the shares out from the same public facts, the tables, the
// VM list and the records, and need no agreement: a wrong guess costs a group that is dissolved
// later, never a VM in two groups.
#pragma once

#include "groups/record.h"
#include "groups/vm_table.h"

#include <map>

namespace jaynotch::groups {

/// Records by fabric domain, this one's included.
using record_map = std::map<fabric_domain_id, domain_record>;

/// What one domain owes of one pool.
struct pool_share {
    std::size_t wanted = 0;   ///< groups that this domain should have
    std::size_t present = 0;  ///< viable groups that it has, those draining not counted
    std::size_t surplus = 0;  ///< groups of this domain beyond the pool's replicas
    std::size_t yielding = 0; ///< groups of this domain that give way to a pool of higher rank
    bool elsewhere = false;   ///< another domain has a viable group of the pool
};

/// A group is viable if its domain has enough live VMs, by the list, to make it whole.
class domain_shares {
public:
    static domain_shares compute(const configuration& tables,
                                 const std::map<fabric_domain_id, std::set<vm_id>>& listed,
                                 const record_map& records, const fabric_domain_id& self);

    [[nodiscard]] pool_share share(const pool_id& pool) const;
    /// Whether `group` of this domain can become whole from the domain's own live VMs.
    [[nodiscard]] bool viable(const group_id& group) const { return m_viable.contains(group); }

private:
    std::map<pool_id, pool_share> m_shares;
    std::set<group_id> m_viable;
};

/// Whether `pool` may have groups in `domain`.
bool allowed_in(const pool& row, const fabric_domain_id& domain);
/// The model pools, the one that gives way last first.
std::vector<const pool*> pools_by_rank(const configuration& tables);

} // namespace jaynotch::groups
