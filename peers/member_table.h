// The table of known daemons, and the order that decides which of two reports about one is newer.
//
//   std::optional<member> changed = table.merge(reported, now);  // nullopt: nothing new
#pragma once

#include "base/base.h"
#include "peers/member.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

/// Maximum number of members in a table: five times the intended fleet size of 410 nodes.
inline constexpr std::size_t max_members = 2048;

/// Returns whether `reported` is newer than `known`. Compares the boot numbers first, then the
/// incarnations, then the states in the order of member_state. member_table::merge also keeps a
/// member that has left in that state until it restarts.
bool supersedes(const member& reported, const member& known) noexcept;

/// Hash of a member for member_table::digest(); 0 if the member is not live.
std::uint64_t member_hash(const member& known);

class member_table {
public:
    /// Stores the report if it is newer than the known one. Returns the stored member, or nullopt
    /// if the table did not change.
    std::optional<member> merge(const member& reported, time_point now);
    [[nodiscard]] const member* find(const node_id& node) const;
    [[nodiscard]] std::vector<member> all() const;
    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    /// Hash over the names, boot numbers and incarnations of all live members. Tables with the same
    /// live members have the same digest.
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }
    /// Members that are live or changed within the last `age`, as sent to a node that asks for the
    /// table.
    [[nodiscard]] std::vector<member> live_or_recent(time_point now, duration age) const;
    /// Removes members that have been dead or have left for at least `age`.
    void remove_expired(time_point now, duration age);
    /// Members that have been suspected for at least `age`.
    [[nodiscard]] std::vector<member> expired_suspects(time_point now, duration age) const;
    /// Sorted names of the members for which `wanted` returns true.
    [[nodiscard]] std::vector<node_id>
    select(const std::function<bool(const member&)>& wanted) const;

private:
    struct row {
        member known;
        time_point changed;
    };
    /// Removes the member that has been dead or has left for longest. Returns false if all members
    /// are live.
    bool evict_oldest();

    std::map<node_id, row> m_rows;
    std::uint64_t m_digest = 0;
};

} // namespace jaynotch
