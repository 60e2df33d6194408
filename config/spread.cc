// Who asks whom.
//
// Watchers. Two nodes of each failure domain, the highest of the live ones by rendezvous hashing,
// read the head and watch it; so calls on the platform grow with failure domains, not with nodes.
// A watcher that can't reach the platform says so on its frames, and the next of four candidates
// steps in; when none of the four can, the first two go on trying. A watch may die without a sign,
// so watchers also read the head each ten seconds.
//
// Everyone else hears the revision on every peer frame and asks the sender for the head and the
// pages that differ: one round trip if it lags by a few revisions. A peer that does not answer
// costs its deadline and is followed by another, chosen at random, and each third time by the
// platform, with a growing jittered wait. A peer answers within a budget of bytes a second. So a
// healed domain catches up by doubling from node to node and no single node is asked by all.
//
// Why no node's revision ever goes down: `put_in_force` is the only place that sets it, it takes
// `m_fetch`, and `admit` lets into `m_fetch` only heads above what is installed. An old head
// from a lagging peer, a paused watch or a platform restored from a backup is thus ignored.
//
// Why a head is never put in force in part: the tables are put together from all pages at once,
// each checked against its digest, and only then replace what is installed.
#include "config/spread.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::size_t most_reply_bytes = 700U << 10U; ///< leaves room in a frame for the head
constexpr std::size_t most_remembered = 16;
constexpr std::size_t history_for_peers = 2;
constexpr std::size_t most_peers = 2048;
constexpr std::size_t peers_before_platform = 2;
constexpr std::size_t most_doublings = 6;
constexpr duration settle = std::chrono::seconds{2}; ///< before a new node counts as a watcher
constexpr duration behind_interval = std::chrono::seconds{2};

error foreign(const std::string& theirs, const std::string& ours)
{
    return {error_kind::invalid_table,
            "a head record of deployment '" + theirs + "' reached a node of '" + ours + "'",
            "see which nodes and keys the two deployments share; they must share none"};
}

/// Sixty-four entries would double what each change costs on each node; the whole history is read
/// from the platform by whoever asks for it.
head_record shortened(const head_record& head)
{
    head_record out = head;
    out.history.resize(std::min(out.history.size(), history_for_peers));
    return out;
}

} // namespace

spread_core::spread_core(spread_settings settings, random_source random)
    : m_settings{std::move(settings)}, m_random{random}, m_backoff{m_settings.least_backoff},
      m_reply_tokens{4.0 * m_settings.reply_bytes_s}
{}

config_revision spread_core::revision() const
{
    return m_installed ? m_installed->head.revision() : config_revision{};
}

bool spread_core::behind() const
{
    return m_highest > revision();
}

spread_commands spread_core::tick(time_point now)
{
    spread_commands out;
    if (!m_started) {
        m_started = now;
        m_calling = true;
        out.emplace_back(read_head{});
    }
    if (m_asked && now >= m_ask_again) {
        m_asked = false;
        ++m_asked_in_vain;
    }
    if (behind() && !m_asked)
        ask_someone(now, out);
    choose_watchers(out);
    keep_up_with_platform(now, out);
    return out;
}

void spread_core::keep_up_with_platform(time_point now, spread_commands& out)
{
    if (m_failing_since && now - *m_failing_since >= m_settings.lost_after)
        set_lost(true, out);
    if (m_calling)
        return;
    const bool settled = now - *m_started >= settle;
    if (m_watching && settled && !m_watch_up && now >= m_call_again) {
        m_watch_up = true;
        m_calling = true;
        m_next_check = now + m_settings.check_interval;
        out.emplace_back(watch_head{});
        return;
    }
    const bool check_due = m_watch_up && now >= m_next_check;
    const bool retry_due = !(m_watching && settled) && m_failing_since && now >= m_call_again;
    if (!check_due && !retry_due)
        return;
    m_next_check = now + m_settings.check_interval;
    m_calling = true;
    out.emplace_back(read_head{});
}

spread_commands spread_core::domain_changed(time_point /*now*/, std::vector<node_id> live)
{
    spread_commands out;
    m_domain = std::move(live);
    choose_watchers(out);
    return out;
}

void spread_core::choose_watchers(spread_commands& out)
{
    std::vector<std::string> names;
    names.reserve(m_domain.size());
    for (const node_id& node : m_domain)
        names.push_back(node.value());
    const std::string key = "config-watch/" + m_settings.failure_domain.value();
    std::vector<std::string> sound;
    std::vector<std::string> lost;
    for (const std::size_t chosen : rendezvous(key, names, m_settings.candidates)) {
        const bool self = names[chosen] == m_settings.self.value();
        const auto heard = m_lost_peers.find(wire_key(names[chosen]));
        const bool is_lost = self ? m_lost : heard != m_lost_peers.end() && heard->second;
        (is_lost ? lost : sound).push_back(names[chosen]);
    }
    sound.insert(sound.end(), lost.begin(), lost.end());
    sound.resize(std::min(sound.size(), m_settings.watchers));
    const bool chosen =
        std::find(sound.begin(), sound.end(), m_settings.self.value()) != sound.end();
    if (chosen == m_watching)
        return;
    m_watching = chosen;
    if (!chosen && m_watch_up) {
        m_watch_up = false;
        m_calling = false;
        out.emplace_back(stop_watch{});
    }
}

spread_commands spread_core::peer_confirmed(time_point /*now*/, const confirmation& heard)
{
    spread_commands out;
    if (m_lost_peers.size() >= most_peers && !m_lost_peers.contains(heard.node))
        m_lost_peers.erase(m_lost_peers.begin());
    m_lost_peers[heard.node] = heard.platform_lost;
    choose_watchers(out);
    return out;
}

spread_commands spread_core::peer_spoke(time_point now, const config_message& message)
{
    spread_commands out;
    if (const auto* digest = std::get_if<config_digest>(&message.body))
        hear_digest(now, message.from, *digest, out);
    if (const auto* request = std::get_if<config_request>(&message.body))
        answer(now, message.from, *request, out);
    if (const auto* reply = std::get_if<config_reply>(&message.body))
        take_reply(now, message.from, *reply, out);
    return out;
}

void spread_core::hear_digest(time_point now, const node_id& from, const config_digest& heard,
                              spread_commands& out)
{
    if (m_peers.size() >= most_peers && !m_peers.contains(from))
        m_peers.erase(m_peers.begin());
    m_peers[from] = heard;
    m_lost_peers[wire_key(from.value())] = heard.platform_lost;
    const bool news = heard.revision > m_highest;
    m_highest = std::max(m_highest, heard.revision);
    if (news)
        m_asked_in_vain = 0;
    if (heard.revision > revision() && !m_asked)
        ask_peer(now, from, out);
}

void spread_core::ask_peer(time_point now, const node_id& peer, spread_commands& out)
{
    config_request request{revision(), {}};
    if (m_fetch)
        request.digests.assign(m_fetch->missing.begin(), m_fetch->missing.end());
    const auto doublings = std::min(m_asked_in_vain, most_doublings);
    const duration wait = m_settings.peer_wait * (std::int64_t{1} << doublings);
    m_asked = true;
    m_ask_again = now + duration{m_random.between(wait.count(), 3 * wait.count() / 2)};
    out.emplace_back(tell_peer{peer, std::move(request)});
}

void spread_core::ask_someone(time_point now, spread_commands& out)
{
    std::vector<node_id> able;
    for (const auto& [node, digest] : m_peers) {
        if (digest.revision > revision())
            able.push_back(node);
    }
    const bool platform_turn =
        m_asked_in_vain % (peers_before_platform + 1) == peers_before_platform;
    if (able.empty() || platform_turn)
        call_platform(now, out);
    if (!able.empty())
        ask_peer(now, able[m_random.index(able.size())], out);
}

void spread_core::call_platform(time_point now, spread_commands& out)
{
    if (m_calling || now < m_call_again)
        return;
    m_calling = true;
    m_call_again =
        now + duration{m_random.between(behind_interval.count() / 2, behind_interval.count())};
    if (m_fetch)
        out.emplace_back(read_pages{{m_fetch->missing.begin(), m_fetch->missing.end()}});
    else
        out.emplace_back(read_head{});
}

bool spread_core::may_reply(time_point now, std::size_t bytes)
{
    const double most = 4.0 * m_settings.reply_bytes_s;
    const double seconds = std::chrono::duration<double>(now - m_refilled).count();
    m_reply_tokens = std::min(most, m_reply_tokens + seconds * m_settings.reply_bytes_s);
    m_refilled = now;
    if (m_reply_tokens < 0.0)
        return false;
    m_reply_tokens -= static_cast<double>(bytes);
    return true;
}

void spread_core::answer(time_point now, const node_id& to, const config_request& asked,
                         spread_commands& out)
{
    if (!m_installed || (asked.digests.empty() && asked.base >= revision()))
        return;
    config_reply reply{revision(), {}, {}, {}};
    std::vector<std::string> wanted = asked.digests;
    if (wanted.empty()) {
        const auto base = std::find_if(m_recent.begin(), m_recent.end(), [&](const auto& past) {
            return past.head.revision() == asked.base;
        });
        // Of a base that we don't remember we can't tell what is missing; the peer can.
        const std::vector<std::string> now_needed = m_recent.back().digests;
        if (base != m_recent.end()) {
            std::set_difference(now_needed.begin(), now_needed.end(), base->digests.begin(),
                                base->digests.end(), std::back_inserter(wanted));
            reply.delta = render_delta(base->head, shortened(m_installed->head));
        }
        if (reply.delta.empty())
            reply.head = m_installed->peer_text;
    }
    std::size_t bytes = reply.head.size() + reply.delta.size();
    for (const std::string& digest : wanted) {
        const auto page = m_pages.find(digest);
        if (page == m_pages.end())
            continue;
        if (!reply.pages.empty() && bytes + page->second.size() > most_reply_bytes)
            break;
        bytes += page->second.size();
        reply.pages.push_back({digest, page->second});
    }
    if (bytes == 0 || !may_reply(now, bytes))
        return;
    out.emplace_back(tell_peer{to, std::move(reply)});
}

void spread_core::take_reply(time_point now, const node_id& from, const config_reply& reply,
                             spread_commands& out)
{
    m_asked = false;
    const bool had_fetch = m_fetch.has_value();
    if (!reply.head.empty())
        consider(reply.head, out);
    if (!reply.delta.empty() && m_installed) {
        // One that does not fit, since we have moved on meanwhile, is as if it had not come.
        const result<head_record> head = apply_delta(m_installed->head, reply.delta);
        if (head)
            admit(head.value(), out);
    }
    const bool helped = take_pages(reply.pages) || (!had_fetch && m_fetch);
    m_asked_in_vain = helped ? 0 : m_asked_in_vain + 1;
    // A reply of no use is followed by another peer at the next tick.
    if (helped)
        proceed(now, from, out);
}

spread_commands spread_core::platform_head(time_point now, const std::optional<std::string>& value)
{
    spread_commands out;
    platform_answered(out);
    if (value)
        consider(*value, out);
    proceed(now, std::nullopt, out);
    return out;
}

spread_commands spread_core::platform_pages(time_point now, const std::vector<config_page>& pages)
{
    spread_commands out;
    platform_answered(out);
    take_pages(pages);
    proceed(now, std::nullopt, out);
    return out;
}

spread_commands spread_core::accepted(time_point now, const std::string& head,
                                      const std::vector<config_page>& pages)
{
    spread_commands out;
    consider(head, out);
    take_pages(pages);
    proceed(now, std::nullopt, out);
    return out;
}

void spread_core::platform_answered(spread_commands& out)
{
    m_calling = false;
    m_failing_since.reset();
    m_backoff = m_settings.least_backoff;
    set_lost(false, out);
}

spread_commands spread_core::platform_failed(time_point now)
{
    spread_commands out;
    m_calling = false;
    m_watch_up = false;
    if (!m_failing_since)
        m_failing_since = now;
    const duration most = m_watching ? m_settings.most_backoff : m_settings.slow_backoff;
    m_backoff = std::min(m_backoff, most);
    m_call_again = now + duration{m_random.between(m_backoff.count() / 2, m_backoff.count())};
    m_backoff = std::min(2 * m_backoff, most);
    return out;
}

void spread_core::set_lost(bool lost, spread_commands& out)
{
    if (lost == m_lost)
        return;
    m_lost = lost;
    out.emplace_back(announce{{revision(), m_lost}});
    choose_watchers(out);
}

void spread_core::consider(const std::string& text, spread_commands& out)
{
    result<head_record> parsed = parse_head(text);
    if (!parsed) {
        out.emplace_back(report{"config_head_refused", parsed.error()});
        return;
    }
    admit(parsed.value(), out);
}

/// Takes a head for fetching if it is newer than what is installed and what is being fetched.
void spread_core::admit(const head_record& head, spread_commands& out)
{
    if (head.manifest.deployment != m_settings.deployment) {
        out.emplace_back(report{"config_foreign_deployment",
                                foreign(head.manifest.deployment, m_settings.deployment)});
        return;
    }
    if (m_installed && head.revision() < revision() && !m_told_behind) {
        m_told_behind = true;
        out.emplace_back(
            report{"config_older_head",
                   {error_kind::conflict,
                    "a head of revision " + std::to_string(head.revision().value()) +
                        " was seen after revision " + std::to_string(revision().value()),
                    "if the key-value service was restored from a backup, apply the current tables "
                    "again (jaynotch get, jaynotch apply)"}});
    }
    const config_revision known = m_fetch ? m_fetch->head.revision() : revision();
    if (head.revision() <= known)
        return;
    m_told_behind = false;
    fetch next{head, {}, {}};
    std::map<std::string, std::string> had;
    if (m_fetch)
        had = std::move(m_fetch->got);
    for (const std::string& digest : referenced_digests(head.manifest)) {
        const auto got = had.find(digest);
        if (got != had.end())
            next.got.insert(*got);
        else if (!m_pages.contains(digest))
            next.missing.insert(digest);
    }
    m_highest = std::max(m_highest, head.revision());
    m_fetch = std::move(next);
}

bool spread_core::take_pages(const std::vector<config_page>& pages)
{
    if (!m_fetch)
        return false;
    bool helped = false;
    for (const config_page& page : pages) {
        if (!m_fetch->missing.contains(page.digest) || page_digest(page.bytes) != page.digest)
            continue;
        m_fetch->missing.erase(page.digest);
        m_fetch->got[page.digest] = page.bytes;
        helped = true;
    }
    return helped;
}

/// Puts the fetched head in force if nothing is missing, else asks on: the peer that helped, or
/// the platform if the head came from there.
void spread_core::proceed(time_point now, const std::optional<node_id>& from, spread_commands& out)
{
    if (!m_fetch)
        return;
    if (m_fetch->missing.empty()) {
        put_in_force(out);
        return;
    }
    if (from) {
        ask_peer(now, *from, out);
        return;
    }
    if (m_calling)
        return;
    m_calling = true;
    out.emplace_back(read_pages{{m_fetch->missing.begin(), m_fetch->missing.end()}});
}

void spread_core::put_in_force(spread_commands& out)
{
    fetch done = std::move(*m_fetch);
    m_fetch.reset();
    std::map<std::string, std::string> pages = std::move(done.got);
    std::vector<table_page> parts;
    remembered past{done.head, referenced_digests(done.head.manifest)};
    past.head.history.resize(1);
    for (const std::string& digest : past.digests) {
        const auto kept = m_pages.find(digest);
        if (kept != m_pages.end())
            pages.insert(*kept);
        parts.push_back({digest, pages.at(digest)});
    }
    result<configuration> tables = from_pages(done.head.manifest, parts);
    if (!tables) {
        out.emplace_back(report{"config_pages_refused", tables.error()});
        return;
    }
    tables.value().revision = done.head.revision();
    m_pages = std::move(pages);
    m_recent.push_back(std::move(past));
    if (m_recent.size() > most_remembered)
        m_recent.pop_front();
    auto shared = std::make_shared<const configuration>(std::move(tables).value());
    m_installed = {shared, std::move(done.head), {}};
    m_installed->peer_text = render_head(shortened(m_installed->head));
    m_asked = false;
    m_asked_in_vain = 0;
    out.emplace_back(install{shared});
    out.emplace_back(announce{{revision(), m_lost}});
}

} // namespace jaynotch
