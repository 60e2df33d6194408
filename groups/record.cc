// The record's JSON form. Parsing is strict: a value that names a VM or a group twice was not
// written by a manager and is rejected, so the last valid record stays in force.
#include "groups/record.h"

#include <algorithm>
#include <set>

namespace jaynotch::groups {

namespace json = boost::json;

namespace {

constexpr std::string_view record_suffix = "/record";
constexpr std::size_t max_record_bytes = 1U << 20U; ///< the largest value of the platform's store

json::array format_members(const std::vector<member>& members)
{
    json::array out;
    for (const member& one : members)
        out.push_back(json::object{{"vm", one.vm.value()}, {"address", one.address}});
    return out;
}

json::array format_strings(const std::vector<std::string>& values)
{
    json::array out;
    for (const std::string& value : values)
        out.emplace_back(value);
    return out;
}

json::object format_group(const group_assignment& group)
{
    return json::object{{"group", group.group.value()},
                        {"pool", group.pool.value()},
                        {"model", group.model},
                        {"version", group.version},
                        {"adapters", format_strings(group.adapters)},
                        {"members", format_members(group.members)},
                        {"standbys", format_members(group.standbys)},
                        {"draining", group.draining},
                        {"retiring", group.retiring},
                        {"replaces", group.replaces.value()}};
}

std::string read_string(const json::object& from, std::string_view name)
{
    return std::string{from.at(name).as_string()};
}

std::vector<member> read_members(const json::value& from)
{
    std::vector<member> out;
    for (const json::value& one : from.as_array()) {
        const json::object& fields = one.as_object();
        out.push_back({vm_id{read_string(fields, "vm")}, read_string(fields, "address")});
    }
    return out;
}

group_assignment read_group(const json::object& from)
{
    group_assignment group;
    group.group = group_id{read_string(from, "group")};
    group.pool = pool_id{read_string(from, "pool")};
    group.model = read_string(from, "model");
    group.version = read_string(from, "version");
    for (const json::value& adapter : from.at("adapters").as_array())
        group.adapters.emplace_back(adapter.as_string());
    group.members = read_members(from.at("members"));
    group.standbys = read_members(from.at("standbys"));
    group.draining = from.at("draining").as_bool();
    group.retiring = from.at("retiring").as_bool();
    group.replaces = group_id{read_string(from, "replaces")};
    return group;
}

bool has_duplicates(const domain_record& record)
{
    std::set<vm_id> vms;
    std::set<group_id> groups;
    const auto already_named = [&](const member& one) { return !vms.insert(one.vm).second; };
    return std::any_of(record.groups.begin(), record.groups.end(), [&](const auto& group) {
        return !groups.insert(group.group).second ||
               std::any_of(group.members.begin(), group.members.end(), already_named) ||
               std::any_of(group.standbys.begin(), group.standbys.end(), already_named);
    });
}

error bad_record(const kv_entry& entry, std::string_view what)
{
    return {error_kind::protocol, entry.key + ": " + std::string{what},
            "find out who wrote this key; delete it to have the domain formed anew"};
}

} // namespace

std::string record_prefix(std::string_view deployment)
{
    return "/jaynotch/" + std::string{deployment} + "/domain/";
}

std::string record_key(std::string_view deployment, const fabric_domain_id& domain)
{
    return record_prefix(deployment) + domain.value() + std::string{record_suffix};
}

std::string manager_key(std::string_view deployment, const fabric_domain_id& domain)
{
    return record_prefix(deployment) + domain.value() + "/manager";
}

bool is_record_key(std::string_view deployment, std::string_view key)
{
    return key.starts_with(record_prefix(deployment)) && key.ends_with(record_suffix);
}

std::string format_record(const domain_record& record)
{
    json::array groups;
    for (const group_assignment& group : record.groups)
        groups.push_back(format_group(group));
    return json::serialize(json::object{
        {"domain", record.domain.value()}, {"change", record.change}, {"groups", groups}});
}

result<domain_record> parse_record(const kv_entry& entry)
{
    if (entry.value.size() > max_record_bytes)
        return bad_record(entry, "larger than a record can be");
    domain_record record;
    try {
        const json::value parsed = json::parse(entry.value);
        const json::object& fields = parsed.as_object();
        record.domain = fabric_domain_id{read_string(fields, "domain")};
        record.change = read_string(fields, "change");
        for (const json::value& group : fields.at("groups").as_array())
            record.groups.push_back(read_group(group.as_object()));
    }
    catch (const std::exception&) {
        return bad_record(entry, "is not an assignment record");
    }
    if (has_duplicates(record))
        return bad_record(entry, "names a VM or a group twice");
    record.revision = fencing_number{entry.mod_revision};
    return record;
}

} // namespace jaynotch::groups
