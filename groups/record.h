// The assignment record of one fabric domain: which VMs form which groups. It is one value under
// one key, so a single compare-and-swap changes it as a whole and a VM can't be written into two
// groups. The key's mod_revision is the fencing number of the orders that follow from it.
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
    std::vector<member> standbys; ///< bound: may take the place of any member without a new record
    bool draining = false;        ///< takes no new requests; changed when it has none in flight
    bool retiring = false;        ///< drained to be dissolved
    group_id replaces;            ///< the group that this one is built beside, or empty

    friend bool operator==(const group_assignment&, const group_assignment&) = default;
};

/// Everything assigned in one fabric domain. VMs not named are free.
struct domain_record {
    fabric_domain_id domain;
    std::string change;      ///< unique name of the write: settles a lost reply
    fencing_number revision; ///< the key's mod_revision; 0 if never written; not in the value
    std::vector<group_assignment> groups;

    friend bool operator==(const domain_record&, const domain_record&) = default;
};

/// Prefix of all records' keys, to be watched.
std::string record_prefix(std::string_view deployment);
std::string record_key(std::string_view deployment, const fabric_domain_id& domain);
std::string manager_key(std::string_view deployment, const fabric_domain_id& domain);
/// Whether `key` is that of some domain's record.
bool is_record_key(std::string_view deployment, std::string_view key);

/// The record as JSON, without its revision.
std::string format_record(const domain_record& record);
/// Refuses a record that is malformed or names a VM twice.
result<domain_record> parse_record(const kv_entry& entry);

} // namespace jaynotch::groups
