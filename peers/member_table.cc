// The order of reports is that of SWIM (Das, Gupta and Motivala 2002) with the start put before the
// incarnation. Each report is a point in a total order (boot, incarnation, state), and a table only
// moves up in it. So duplicates, reordered and old reports change nothing, and two tables that
// heard the same reports in any order agree.
#include "peers/member_table.h"

#include <algorithm>
#include <tuple>

namespace jaynotch {

std::uint64_t member_hash(const member& known)
{
    if (!known.live())
        return 0;
    // Suspicions come and go quickly; leaving them out keeps the digests of two tables equal more
    // often, and a lost suspicion costs nothing.
    const std::string text = known.node.value() + '/' + std::to_string(known.boot) + '/' +
                             std::to_string(known.incarnation);
    return hash64(text);
}

bool supersedes(const member& heard, const member& known) noexcept
{
    return std::tie(heard.boot, heard.incarnation, heard.state) >
           std::tie(known.boot, known.incarnation, known.state);
}

std::optional<member> member_table::merge(const member& heard, time_point now)
{
    const auto found = m_rows.find(heard.node);
    if (found == m_rows.end()) {
        if (m_rows.size() >= max_members && !make_room())
            return std::nullopt;
        m_rows.emplace(heard.node, row{heard, now});
        m_digest ^= member_hash(heard);
        return heard;
    }
    row& held = found->second;
    const bool left_for_good =
        held.known.state == member_state::left && heard.boot == held.known.boot;
    if (left_for_good || !supersedes(heard, held.known))
        return std::nullopt;
    m_digest ^= member_hash(held.known) ^ member_hash(heard);
    held = {heard, now};
    return heard;
}

const member* member_table::find(const node_id& node) const
{
    const auto found = m_rows.find(node);
    return found == m_rows.end() ? nullptr : &found->second.known;
}

std::vector<member> member_table::all() const
{
    std::vector<member> out;
    out.reserve(m_rows.size());
    for (const auto& [node, held] : m_rows)
        out.push_back(held.known);
    return out;
}

std::vector<member> member_table::worth_telling(time_point now, duration age) const
{
    std::vector<member> out;
    for (const auto& [node, held] : m_rows) {
        if (held.known.live() || now - held.changed < age)
            out.push_back(held.known);
    }
    return out;
}

void member_table::forget(time_point now, duration age)
{
    std::erase_if(m_rows, [&](const auto& entry) {
        return !entry.second.known.live() && now - entry.second.changed >= age;
    });
}

std::vector<member> member_table::overdue_suspects(time_point now, duration age) const
{
    std::vector<member> out;
    for (const auto& [node, held] : m_rows) {
        if (held.known.state == member_state::suspect && now - held.changed >= age)
            out.push_back(held.known);
    }
    return out;
}

std::vector<node_id> member_table::select(const std::function<bool(const member&)>& wanted) const
{
    std::vector<node_id> out;
    for (const auto& [node, held] : m_rows) {
        if (wanted(held.known))
            out.push_back(node);
    }
    return out;
}

// A full table drops whoever has been gone longest; live members are never dropped.
bool member_table::make_room()
{
    auto oldest = m_rows.end();
    for (auto entry = m_rows.begin(); entry != m_rows.end(); ++entry) {
        if (entry->second.known.live())
            continue;
        if (oldest == m_rows.end() || entry->second.changed < oldest->second.changed)
            oldest = entry;
    }
    if (oldest == m_rows.end())
        return false;
    m_rows.erase(oldest);
    return true;
}

} // namespace jaynotch
