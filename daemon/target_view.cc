// The group's manager opens the head only when every member is ready with the same group name,
// epoch and member list. So a group whose head is open was complete when it was opened. What is
// checked here is that it has lost no member since; if it has, it gets no new requests.
//
// An expired entry of a member other than the head is weak evidence of a loss. The group of a
// member that dies stands still at once, which the nodes with requests there notice seconds before
// the entry expires. So the member is probably alive and only cut off from the store, and the group
// is used until the entry is overdue. If many runners lose the store together, most large groups
// have such a member; without them the remaining groups would be overloaded.
#include "daemon/target_view.h"

#include <algorithm>

namespace jaynotch {

namespace {

const pool* find_pool(const configuration& tables, const runner& row)
{
    for (const pool& one : tables.pools) {
        const bool matches =
            one.kind == pool_kind::plain ? !row.joins_groups() : one.model == row.model;
        if (one.service == row.service && matches)
            return &one;
    }
    return nullptr;
}

target to_target(const groups::registered_runner& entry, const pool& source)
{
    const runner& row = entry.row;
    target made;
    made.id = target_id{start_name(row.id, row.born_ms)};
    made.pool = source.name;
    made.address = row.address;
    made.instance = row.id;
    made.failure_domain = row.failure_domain;
    made.places = row.places;
    made.leaving = row.leaving;
    made.cold_until = entry.cold_until;
    return made;
}

bool same_list(const std::vector<target>& a, const std::vector<target>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const target& x, const target& y) {
        return x.id == y.id && x.pool == y.pool && x.address == y.address &&
               x.leaving == y.leaving && x.places == y.places && x.fencing == y.fencing &&
               x.cold_until == y.cold_until;
    });
}

} // namespace

std::string start_name(const vm_id& server, std::int64_t born_ms)
{
    return server.value() + "@" + std::to_string(born_ms);
}

bool target_lists::same(const target_lists& other) const
{
    return same_list(groups, other.groups) && same_list(servers, other.servers);
}

target_lists targets_of(const groups::runner_registry& registry, const configuration& tables,
                        time_point now)
{
    target_lists made;
    for (const vm_id& id : registry.plain_servers()) {
        const groups::registered_runner& entry = *registry.find(id);
        const pool* source = find_pool(tables, entry.row);
        if (source == nullptr)
            continue;
        made.servers.push_back(to_target(entry, *source));
        made.servers.back().leaving |= registry.is_evacuated(entry.row.failure_domain);
    }
    for (const vm_id& id : registry.heads()) {
        const groups::registered_runner& entry = *registry.find(id);
        const runner& row = entry.row;
        const pool* source =
            row.group->phase == member_phase::open ? find_pool(tables, row) : nullptr;
        if (source == nullptr)
            continue;
        const groups::group_key key = groups::key_of(*row.group);
        target group = to_target(entry, *source);
        group.id = target_id{key.first.value() + "/" + std::to_string(key.second)};
        group.group = key.first;
        group.fencing = fencing_number{key.second};
        group.version = source->model;
        group.leaving = group.leaving || registry.is_evacuated(row.failure_domain);
        const std::size_t listed = registry.members_of(key);
        if (listed < source->replica_vms) {
            const auto missing = registry.missing_from(key, now);
            group.leaving = group.leaving || listed + missing.count < source->replica_vms;
            made.valid_until = std::min(made.valid_until, missing.until);
        }
        made.groups.push_back(std::move(group));
    }
    return made;
}

} // namespace jaynotch
