// Reports about a member are ordered as in SWIM (Das, Gupta and Motivala 2002), with the boot
// number compared before the incarnation. (boot, incarnation, state) is a total order, and an entry
// is only ever replaced by a greater one. Duplicate, reordered and outdated reports therefore
// change nothing, and two tables that received the same reports in any order are equal.
#include "peers/member_table.h"

#include <algorithm>
#include <tuple>

namespace jaynotch {

std::uint64_t member_hash(const member& known)
{
    if (!known.live())
        return 0;
    // The state is left out of the hash. Suspicions are short-lived, so including them would make
    // digests differ and trigger table syncs, and a suspicion that does not arrive does no harm.
    const std::string text = known.node.value() + '/' + std::to_string(known.boot) + '/' +
                             std::to_string(known.incarnation);
    return hash64(text);
}

bool supersedes(const member& reported, const member& known) noexcept
{
    return std::tie(reported.boot, reported.incarnation, reported.state) >
           std::tie(known.boot, known.incarnation, known.state);
}

std::optional<member> member_table::merge(const member& reported, time_point now)
{
    const auto found = m_rows.find(reported.node);
    if (found == m_rows.end()) {
        if (m_rows.size() >= max_members && !evict_oldest())
            return std::nullopt;
        m_rows.emplace(reported.node, row{reported, now});
        m_digest ^= member_hash(reported);
        return reported;
    }
    row& stored = found->second;
    const bool already_left =
        stored.known.state == member_state::left && reported.boot == stored.known.boot;
    if (already_left || !supersedes(reported, stored.known))
        return std::nullopt;
    m_digest ^= member_hash(stored.known) ^ member_hash(reported);
    stored = {reported, now};
    return reported;
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
    for (const auto& [node, stored] : m_rows)
        out.push_back(stored.known);
    return out;
}

std::vector<member> member_table::live_or_recent(time_point now, duration age) const
{
    std::vector<member> out;
    for (const auto& [node, stored] : m_rows) {
        if (stored.known.live() || now - stored.changed < age)
            out.push_back(stored.known);
    }
    return out;
}

void member_table::remove_expired(time_point now, duration age)
{
    std::erase_if(m_rows, [&](const auto& entry) {
        return !entry.second.known.live() && now - entry.second.changed >= age;
    });
}

std::vector<member> member_table::expired_suspects(time_point now, duration age) const
{
    std::vector<member> out;
    for (const auto& [node, stored] : m_rows) {
        if (stored.known.state == member_state::suspect && now - stored.changed >= age)
            out.push_back(stored.known);
    }
    return out;
}

std::vector<node_id> member_table::select(const std::function<bool(const member&)>& wanted) const
{
    std::vector<node_id> out;
    for (const auto& [node, stored] : m_rows) {
        if (wanted(stored.known))
            out.push_back(node);
    }
    return out;
}

bool member_table::evict_oldest()
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
