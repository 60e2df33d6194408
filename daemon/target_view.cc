// A head opens only when every member was ready under the same name, epoch and list, which its
// manager sees to. So a group whose head says that it is open was whole; what is left to judge here
// is whether it still is.
#include "daemon/target_view.h"

#include <algorithm>

namespace jaynotch {

namespace {

using group_key = std::pair<group_id, std::int64_t>;

const pool* pool_for(const configuration& tables, const runner& row)
{
    for (const pool& one : tables.pools) {
        const bool fits =
            one.kind == pool_kind::plain ? !row.joins_groups() : one.model == row.model;
        if (one.service == row.service && fits)
            return &one;
    }
    return nullptr;
}

target to_target(const runner& row, const pool& kind)
{
    target made;
    made.id = target_id{row.id.value() + "@" + std::to_string(row.born_ms)};
    made.pool = kind.name;
    made.address = row.address;
    made.instance = row.id;
    made.failure_domain = row.failure_domain;
    made.places = row.places;
    made.leaving = row.leaving;
    return made;
}

bool same_list(const std::vector<target>& a, const std::vector<target>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const target& x, const target& y) {
        return x.id == y.id && x.pool == y.pool && x.address == y.address &&
               x.leaving == y.leaving && x.places == y.places && x.fencing == y.fencing;
    });
}

} // namespace

bool target_lists::same(const target_lists& other) const
{
    return same_list(groups, other.groups) && same_list(servers, other.servers);
}

void target_view::take(const runner& row)
{
    m_runners[row.id] = row;
}

void target_view::drop(const vm_id& id)
{
    m_runners.erase(id);
}

target_lists target_view::lists(const configuration& tables) const
{
    std::map<group_key, std::uint32_t> members;
    for (const auto& [id, row] : m_runners) {
        if (row.group)
            ++members[{row.group->group, row.group->epoch}];
    }
    target_lists made;
    for (const auto& [id, row] : m_runners) {
        const pool* kind = pool_for(tables, row);
        if (kind == nullptr)
            continue;
        if (kind->kind == pool_kind::plain) {
            made.servers.push_back(to_target(row, *kind));
            continue;
        }
        const bool serves =
            row.group && row.group->rank == 0 && row.group->phase == member_phase::open;
        if (!serves)
            continue;
        target group = to_target(row, *kind);
        group.id = target_id{row.group->group.value() + "/" + std::to_string(row.group->epoch)};
        group.group = row.group->group;
        group.fencing = fencing_number{row.group->epoch};
        group.version = kind->model;
        group.leaving =
            group.leaving || members[{row.group->group, row.group->epoch}] < kind->replica_vms;
        made.groups.push_back(std::move(group));
    }
    return made;
}

} // namespace jaynotch
