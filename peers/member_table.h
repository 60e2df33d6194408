// Every daemon that this node has heard of, and which of two reports about one wins.
//
//   std::optional<member> changed = table.merge(heard, now);
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

/// Most members known at once: five times the fleet aimed at.
inline constexpr std::size_t max_members = 2048;

/// Whether `heard` is newer than `known`: a later start first, then a later incarnation, then the
/// graver state. A member that left stays left until it starts again.
bool supersedes(const member& reported, const member& known) noexcept;

/// What a live member adds to a table's digest; 0 for others.
std::uint64_t member_hash(const member& known);

class member_table {
public:
    /// Takes the report in if it is newer; gives the member as it now stands if so.
    std::optional<member> merge(const member& reported, time_point now);
    [[nodiscard]] const member* find(const node_id& node) const;
    [[nodiscard]] std::vector<member> all() const;
    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    /// Hash of all live members' names, starts and incarnations; equal tables, equal digests.
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }
    /// Members that changed within `age` or are live: what a newcomer needs.
    [[nodiscard]] std::vector<member> live_or_recent(time_point now, duration age) const;
    /// Drops members dead or gone for longer than `age`.
    void remove_expired(time_point now, duration age);
    /// Suspects of `domain` whose suspicion is older than `age`.
    [[nodiscard]] std::vector<member> expired_suspects(time_point now, duration age) const;
    /// Names of the members that `wanted` picks, sorted.
    [[nodiscard]] std::vector<node_id>
    select(const std::function<bool(const member&)>& wanted) const;

private:
    struct row {
        member known;
        time_point changed;
    };
    bool evict_oldest();

    std::map<node_id, row> m_rows;
    std::uint64_t m_digest = 0;
};

} // namespace jaynotch
