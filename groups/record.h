// The assignment record of one fabric domain: which VMs form which groups. It is a single value
// under one key, so one compare-and-swap replaces it atomically and no two writers can assign a VM
// to two groups. The key's mod_revision is the fencing number of the orders derived from it.
//
//   const result<domain_record> read = parse_record(entry);
//   kv_put write{record_key(deployment, domain), format_record(changed)};
#pragma once

#include "groups/types.h"

#include <string>
#include <string_view>
#include <vector>

namespace jaynotch::groups {

/// One replica and the standbys bound to it.
struct group_assignment {
    group_id group;
    pool_id pool;
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::vector<member> members;  ///< by rank
    std::vector<member> standbys; ///< bound: may replace any member without a new record
    bool draining = false;        ///< receives no new requests; changed once none is in flight
    bool retiring = false;        ///< dissolved once it has drained
    group_id replaces;            ///< the group that this one will replace, or empty

    friend bool operator==(const group_assignment&, const group_assignment&) = default;
};

/// All assignments of one fabric domain. VMs not named are free.
struct domain_record {
    fabric_domain_id domain;
    std::string change;      ///< unique name of the write that made this revision
    fencing_number revision; ///< the key's mod_revision, not in the value; 0 if never written
    std::vector<group_assignment> groups;

    friend bool operator==(const domain_record&, const domain_record&) = default;
};

/// Prefix of the keys of all records, for a watch.
std::string record_prefix(std::string_view deployment);
std::string record_key(std::string_view deployment, const fabric_domain_id& domain);
std::string manager_key(std::string_view deployment, const fabric_domain_id& domain);
/// Whether `key` is the key of a domain's record.
bool is_record_key(std::string_view deployment, std::string_view key);

/// The record as JSON, without its revision.
std::string format_record(const domain_record& record);
/// Fails if the record is too large, malformed, or names a VM or a group twice.
result<domain_record> parse_record(const kv_entry& entry);

} // namespace jaynotch::groups
