// Existing viable groups count towards the share of their domain, so that shares do not move when a
// VM is added or removed. Missing groups are assigned to the domain with the most free VMs, pool by
// pool in order of rank. If a pool has too many groups, those whose ids have the highest hashes are
// surplus; every manager computes the same hashes.
#include "groups/domain_shares.h"

#include <algorithm>

namespace jaynotch::groups {

namespace {

struct domain_count {
    std::size_t free = 0; ///< live VMs that no viable group needs
    std::map<pool_id, std::vector<group_id>> viable;
};

domain_count count_domain(const std::set<vm_id>& listed, const domain_record& record)
{
    domain_count counted;
    struct need {
        const group_assignment* group;
        std::size_t missing;
    };
    std::vector<need> needs;
    std::size_t in_groups = 0;
    for (const group_assignment& group : record.groups) {
        if (group.retiring)
            continue; // its VMs will be free soon
        const auto live = static_cast<std::size_t>(
            std::count_if(group.members.begin(), group.members.end(),
                          [&](const member& one) { return listed.contains(one.vm); }));
        in_groups += live;
        needs.push_back({&group, group.members.size() - live});
    }
    counted.free = listed.size() - std::min(listed.size(), in_groups);
    std::stable_sort(needs.begin(), needs.end(), [](const need& left, const need& right) {
        return left.missing < right.missing;
    });
    // Groups that miss the fewest VMs are completed first. The VMs of a group that can't be
    // completed are free.
    for (const need& one : needs) {
        if (one.missing > counted.free) {
            counted.free += one.group->members.size() - one.missing;
            continue;
        }
        counted.free -= one.missing;
        if (one.group->replaces.value().empty())
            counted.viable[one.group->pool].push_back(one.group->group);
    }
    return counted;
}

using domain_counts = std::map<fabric_domain_id, domain_count>;

domain_counts::iterator most_free_domain(domain_counts& domains, const pool& row)
{
    auto best = domains.end();
    for (auto at = domains.begin(); at != domains.end(); ++at) {
        const bool fits = allowed_in(row, at->first) && at->second.free >= row.replica_vms;
        if (fits && (best == domains.end() || at->second.free > best->second.free))
            best = at;
    }
    return best;
}

struct yielding_group {
    const pool* row = nullptr;
    fabric_domain_id domain;
};

/// Replaces one group of the lowest-ranked pool below `row` by a group of `row` in the counts.
/// Returns that pool and domain, or a null row if there is none.
yielding_group yield_to(domain_counts& domains, const configuration& tables, const pool& row)
{
    const std::vector<const pool*> ranked = pools_by_rank(tables);
    for (auto lowest = ranked.rbegin(); lowest != ranked.rend(); ++lowest) {
        if ((*lowest)->rank >= row.rank)
            break;
        for (auto& [domain, counted] : domains) {
            auto& groups = counted.viable[(*lowest)->name];
            const bool gives_room = (*lowest)->replica_vms + counted.free >= row.replica_vms;
            if (groups.empty() || !allowed_in(row, domain) || !gives_room)
                continue;
            groups.pop_back();
            counted.free += (*lowest)->replica_vms;
            counted.free -= row.replica_vms;
            return {*lowest, domain};
        }
    }
    return {};
}

} // namespace

bool allowed_in(const pool& row, const fabric_domain_id& domain)
{
    return row.kind == pool_kind::model &&
           (row.fabric_domains.empty() ||
            std::find(row.fabric_domains.begin(), row.fabric_domains.end(), domain) !=
                row.fabric_domains.end());
}

std::vector<const pool*> pools_by_rank(const configuration& tables)
{
    std::vector<const pool*> pools;
    for (const pool& row : tables.pools) {
        if (row.kind == pool_kind::model && row.replica_vms > 0)
            pools.push_back(&row);
    }
    std::stable_sort(pools.begin(), pools.end(), [](const pool* left, const pool* right) {
        if (left->rank != right->rank)
            return left->rank > right->rank;
        return left->name < right->name;
    });
    return pools;
}

domain_shares domain_shares::compute(const configuration& tables,
                                     const std::map<fabric_domain_id, std::set<vm_id>>& listed,
                                     const record_map& records, const fabric_domain_id& self)
{
    domain_shares shares;
    domain_counts domains;
    for (const auto& [domain, vms] : listed) {
        const auto record = records.find(domain);
        domains[domain] =
            count_domain(vms, record == records.end() ? domain_record{} : record->second);
    }
    for (const auto& [pool, groups] : domains[self].viable)
        shares.m_viable.insert(groups.begin(), groups.end());

    for (const pool* row : pools_by_rank(tables)) {
        pool_share& share = shares.m_shares[row->name];
        std::vector<std::pair<std::uint64_t, fabric_domain_id>> viable_groups;
        for (auto& [domain, counted] : domains) {
            const auto& groups = counted.viable[row->name];
            if (!allowed_in(*row, domain))
                continue;
            for (const group_id& group : groups)
                viable_groups.emplace_back(hash64(group.value()), domain);
            if (domain == self)
                share.present = groups.size();
            else
                share.elsewhere = share.elsewhere || !groups.empty();
        }
        std::sort(viable_groups.begin(), viable_groups.end());
        share.wanted = share.present;
        for (std::size_t i = row->replicas; i < viable_groups.size(); ++i) {
            if (viable_groups[i].second != self)
                continue;
            ++share.surplus;
            --share.wanted;
        }
        for (std::size_t i = viable_groups.size(); i < row->replicas; ++i) {
            const auto target = most_free_domain(domains, *row);
            if (target == domains.end()) {
                const auto yields = yield_to(domains, tables, *row);
                if (yields.row == nullptr)
                    break;
                if (yields.domain == self)
                    ++shares.m_shares[yields.row->name].yielding;
                continue;
            }
            target->second.free -= row->replica_vms;
            if (target->first == self)
                ++share.wanted;
        }
    }
    return shares;
}

pool_share domain_shares::share(const pool_id& pool) const
{
    const auto at = m_shares.find(pool);
    return at == m_shares.end() ? pool_share{} : at->second;
}

} // namespace jaynotch::groups
