// A content is blocked once `ends_to_block` servers have ended under it without any server having
// answered a request with it in the meantime.
//
// Most requests that a crash interrupts are innocent, and innocent contents that many requests
// share are interrupted most often. But they are answered often, too: an answer proves that a
// content doesn't end servers, and clears it. A culprit is never answered. An answer that began up
// to `answer_memory` before a server ended counts as well, because servers may end faster than an
// answer can be known to go well; a content that only turns bad at some time is therefore found
// that much later.
//
// A block can be a mistake, for example if all servers are down for another reason and nothing is
// answered. So it ends by itself; the next end of a server renews it, an answer clears it.
//
// Evidence is exchanged as single facts ("this server ended under this content", "this content was
// answered"), so nodes need no agreement, and facts may arrive twice or in any order. A blocked
// content is announced again from time to time, so that nodes that start later learn of it.
//
// Bounds: callers choose contents, so both tables have a maximum size. A full table takes no new
// content; suspects that are not blocked leave it within `suspicion_time`.
#include "routing/crash_suspects.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jaynotch {

namespace {

/// After this time without another end of a server, a suspect is forgotten.
constexpr std::chrono::seconds suspicion_time{60};
/// A blocked content is tried again after this time; one more end of a server blocks it anew. The
/// time bounds what a mistake costs.
constexpr std::chrono::minutes block_time{2};
/// Interval of the announcements of a blocked content, of all nodes together.
constexpr std::chrono::seconds announce_interval{10};
/// The same for `start_time` after a node has started, which may not receive the first one.
constexpr std::chrono::milliseconds start_announce_interval{500};
constexpr std::chrono::seconds start_time{2};
constexpr std::chrono::seconds cleanup_interval{1};

constexpr std::size_t max_suspects = 2'048;
constexpr std::size_t max_answers_remembered = 16'384;
/// Contents reported to the other nodes when a server ends.
constexpr std::size_t max_reports_per_end = 64;

std::uint32_t short_hash(const vm_id& server)
{
    return static_cast<std::uint32_t>(hash64(server.value()));
}

} // namespace

std::string_view to_name(evidence_kind kind)
{
    constexpr std::array<std::string_view, 3> names{"server_ended", "served", "blocked"};
    return names.at(static_cast<std::size_t>(kind));
}

void crash_suspects::note_ended(const vm_id& server, std::span<const content_id> contents,
                                time_point now)
{
    std::vector<content_id> distinct(contents.begin(), contents.end());
    std::sort(distinct.begin(), distinct.end());
    distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
    // Harmless contents need no report, and the most suspicious ones come first.
    std::erase_if(distinct, [&](content_id content) { return was_served(content, now); });
    const auto ends_of = [&](content_id content) {
        const suspect* row = find(content);
        return row == nullptr ? std::size_t{0} : row->ends.size();
    };
    std::stable_sort(distinct.begin(), distinct.end(),
                     [&](content_id a, content_id b) { return ends_of(a) > ends_of(b); });
    const std::uint32_t ended = short_hash(server);
    for (std::size_t at = 0; at < distinct.size(); ++at) {
        if (at < max_reports_per_end)
            share({distinct[at], evidence_kind::server_ended, ended, {}, {}});
        add_end(distinct[at], {ended, now}, now);
    }
}

void crash_suspects::add_end(content_id content, server_end ended, time_point now)
{
    if (was_served(content, ended.at)) {
        share({content, evidence_kind::served, 0, {}, now - m_served.at(content)});
        return;
    }
    suspect* added = find_or_add(content);
    if (added == nullptr)
        return;
    suspect& row = *added;
    const bool known = std::any_of(row.ends.begin(), row.ends.end(), [&](const server_end& each) {
        return each.server == ended.server;
    });
    if (known)
        return;
    row.last_end = std::max(row.last_end, ended.at);
    if (row.ends.size() < m_limits.ends_to_block)
        row.ends.push_back(ended);
    if (row.ends.size() >= m_limits.ends_to_block && !row.blocked)
        block(content, row, now);
}

void crash_suspects::block(content_id content, suspect& row, time_point now)
{
    row.blocked = true;
    m_newly_blocked.push_back(content);
    share_blocked(content, row, now);
}

void crash_suspects::share_blocked(content_id content, suspect& row, time_point now)
{
    row.last_announced = now;
    share({content, evidence_kind::blocked, 0, now - row.last_end, {}});
}

crash_suspects::suspect* crash_suspects::find_or_add(content_id content)
{
    const auto found = m_suspects.find(content);
    if (found != m_suspects.end())
        return &found->second;
    if (m_suspects.size() >= max_suspects)
        return nullptr;
    return &m_suspects.emplace(content, suspect{}).first->second;
}

void crash_suspects::note_served(std::span<const content_id> contents, time_point begun,
                                 time_point now)
{
    for (const content_id content : contents) {
        remember_answer(content, begun);
        if (m_suspects.contains(content)) {
            share({content, evidence_kind::served, 0, {}, now - begun});
            clear(content, begun);
        }
    }
}

void crash_suspects::remember_answer(content_id content, time_point begun)
{
    const auto found = m_served.find(content);
    if (found != m_served.end())
        found->second = std::max(found->second, begun);
    else if (m_served.size() < max_answers_remembered)
        m_served.emplace(content, begun);
}

bool crash_suspects::was_served(content_id content, time_point ended) const
{
    const auto found = m_served.find(content);
    return found != m_served.end() && ended - found->second <= m_limits.answer_memory;
}

/// Removes the ends that an answer, begun at `served_at`, excuses.
void crash_suspects::clear(content_id content, time_point served_at)
{
    const auto found = m_suspects.find(content);
    if (found == m_suspects.end())
        return;
    suspect& row = found->second;
    std::erase_if(row.ends, [&](const server_end& each) {
        return each.at - served_at <= m_limits.answer_memory;
    });
    if (row.ends.empty())
        m_suspects.erase(found);
    else
        row.blocked = row.blocked && row.ends.size() >= m_limits.ends_to_block;
}

void crash_suspects::note_evidence(const crash_evidence& received, time_point now)
{
    const time_point at = now - received.age;
    switch (received.kind) {
    case evidence_kind::server_ended:
        add_end(received.content, {received.server, at}, now);
        return;
    case evidence_kind::served:
        remember_answer(received.content, at);
        clear(received.content, at);
        return;
    case evidence_kind::blocked: {
        const time_point last_end = at - received.since_end;
        if (now - last_end >= block_time || was_served(received.content, last_end))
            return;
        suspect* row = find_or_add(received.content);
        if (row == nullptr)
            return;
        if (!row->blocked)
            m_newly_blocked.push_back(received.content);
        row->blocked = true;
        row->last_end = std::max(row->last_end, last_end);
        row->last_announced = now;
        return;
    }
    }
}

void crash_suspects::note_peer_started(time_point now)
{
    m_peers_start_until = now + start_time;
}

void crash_suspects::tick(time_point now)
{
    const duration interval =
        now < m_peers_start_until ? duration{start_announce_interval} : announce_interval;
    for (auto& [content, row] : m_suspects) {
        if (row.blocked && now - row.last_announced >= interval)
            share_blocked(content, row, now);
    }
    if (now < m_next_cleanup)
        return;
    m_next_cleanup = now + cleanup_interval;
    for (auto& [content, row] : m_suspects) {
        if (row.blocked && now - row.last_end >= block_time)
            lift_block(row, now);
    }
    std::erase_if(m_suspects, [&](const auto& entry) {
        return !entry.second.blocked && now - entry.second.last_end >= suspicion_time;
    });
    std::erase_if(m_served,
                  [&](const auto& entry) { return now - entry.second > m_limits.answer_memory; });
}

/// Lets requests with the content be sent again, though not be retried.
void crash_suspects::lift_block(suspect& row, time_point now) const
{
    row.blocked = false;
    row.last_end = now;
    row.ends.assign(m_limits.ends_to_block - 1, {0, now});
}

const crash_suspects::suspect* crash_suspects::find(content_id content) const
{
    const auto found = m_suspects.find(content);
    return found == m_suspects.end() ? nullptr : &found->second;
}

bool crash_suspects::is_blocked(std::span<const content_id> contents) const
{
    return !m_suspects.empty() &&
           std::any_of(contents.begin(), contents.end(), [&](content_id content) {
               const suspect* row = find(content);
               return row != nullptr && row->blocked;
           });
}

bool crash_suspects::is_suspected(std::span<const content_id> contents) const
{
    return !m_suspects.empty() &&
           std::any_of(contents.begin(), contents.end(), [&](content_id content) {
               const suspect* row = find(content);
               return row != nullptr &&
                      (row->blocked || row->ends.size() >= m_limits.ends_to_stop_retries);
           });
}

duration crash_suspects::blocked_for(std::span<const content_id> contents, time_point now) const
{
    duration longest{0};
    for (const content_id content : contents) {
        const suspect* row = find(content);
        if (row != nullptr && row->blocked)
            longest = std::max<duration>(longest, row->last_end + block_time - now);
    }
    return longest;
}

void crash_suspects::share(const crash_evidence& evidence)
{
    m_evidence.push_back(evidence);
}

std::vector<crash_evidence> crash_suspects::take_evidence()
{
    return std::exchange(m_evidence, {});
}

std::vector<content_id> crash_suspects::take_blocked()
{
    return std::exchange(m_newly_blocked, {});
}

} // namespace jaynotch
