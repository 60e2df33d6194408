// How configurations propagate.
//
// Watchers: the two live nodes of each failure domain that rank highest by rendezvous hashing read
// the head and watch it, so the load on the platform grows with the number of failure domains, not
// of nodes. A watcher that can't reach the platform reports this in its frames, and the next of
// four candidates replaces it. If none of the four reaches the platform, the first two keep
// retrying. A watch may stop delivering without an error, so watchers also read the head every ten
// seconds.
//
// All other nodes learn of a new revision from the digest on every peer frame. They request the
// head and the pages that differ from the sender, which takes one round trip if they lag by a few
// revisions. If a peer does not reply in time, another is chosen at random; every third attempt
// also reads from the platform. Timeouts grow and are jittered, and replies are limited to a budget
// of bytes per second. So after a partition the number of up-to-date nodes in a domain doubles from
// round to round, and no single node serves all of them.
//
// The installed revision never decreases: only `install_fetched` sets it, from `m_fetch`, and
// `fetch_if_newer` accepts only heads above the installed revision into `m_fetch`. This rejects an
// old head from a lagging peer, a paused watch or a platform restored from a backup.
//
// A revision is never installed in part: the tables are assembled from all pages, each checked
// against its digest, and replace the installed tables in one step.
#include "config/spread.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::size_t max_reply_bytes = 700U << 10U; ///< leaves room in a frame for the head
constexpr std::size_t max_recent_revisions = 16;
constexpr std::size_t peer_history_entries = 2;
constexpr std::size_t max_tracked_peers = 2048;
constexpr std::size_t peer_requests_per_platform_call = 2;
constexpr std::size_t max_timeout_doublings = 6;
constexpr duration watcher_settle_time = std::chrono::seconds{2}; ///< from start to the first watch
constexpr duration platform_retry_interval = std::chrono::seconds{2};

error foreign_deployment_error(const std::string& theirs, const std::string& ours)
{
    return {error_kind::invalid_table,
            "a head record of deployment '" + theirs + "' reached a node of '" + ours + "'",
            "see which nodes and keys the two deployments share; they must share none"};
}

/// The head as it is sent to peers. The full history of 64 entries would double the cost of each
/// change on each node; config_service::history() reads it from the platform when it is needed.
head_record with_recent_history(const head_record& head)
{
    head_record out = head;
    out.history.resize(std::min(out.history.size(), peer_history_entries));
    return out;
}

} // namespace

spread_core::spread_core(spread_settings settings, random_source random)
    : m_settings{std::move(settings)}, m_random{random}, m_backoff{m_settings.initial_backoff},
      m_reply_tokens{4.0 * m_settings.reply_bytes_s}
{}

config_revision spread_core::revision() const
{
    return m_installed ? m_installed->head.revision() : config_revision{};
}

bool spread_core::behind() const
{
    return m_highest_known > revision();
}

spread_commands spread_core::tick(time_point now)
{
    spread_commands out;
    if (!m_start_time) {
        m_start_time = now;
        m_call_pending = true;
        out.emplace_back(read_head{});
    }
    if (m_request_pending && now >= m_request_deadline) {
        m_request_pending = false;
        ++m_failed_requests;
    }
    if (behind() && !m_request_pending)
        request_from_any(now, out);
    choose_watchers(out);
    schedule_platform_calls(now, out);
    return out;
}

void spread_core::schedule_platform_calls(time_point now, spread_commands& out)
{
    if (m_failing_since && now - *m_failing_since >= m_settings.platform_lost_after)
        set_platform_lost(true, out);
    if (m_call_pending)
        return;
    const bool settled = now - *m_start_time >= watcher_settle_time;
    if (m_watching && settled && !m_watch_active && now >= m_next_call) {
        m_watch_active = true;
        m_call_pending = true;
        m_next_check = now + m_settings.check_interval;
        out.emplace_back(watch_head{});
        return;
    }
    const bool check_due = m_watch_active && now >= m_next_check;
    const bool retry_due = !(m_watching && settled) && m_failing_since && now >= m_next_call;
    if (!check_due && !retry_due)
        return;
    m_next_check = now + m_settings.check_interval;
    m_call_pending = true;
    out.emplace_back(read_head{});
}

spread_commands spread_core::domain_changed(time_point /*now*/, std::vector<node_id> live)
{
    spread_commands out;
    m_domain_nodes = std::move(live);
    choose_watchers(out);
    return out;
}

void spread_core::choose_watchers(spread_commands& out)
{
    std::vector<std::string> names;
    names.reserve(m_domain_nodes.size());
    for (const node_id& node : m_domain_nodes)
        names.push_back(node.value());
    const std::string key = "config-watch/" + m_settings.failure_domain.value();
    std::vector<std::string> preferred;
    std::vector<std::string> without_platform;
    for (const std::size_t index : rendezvous(key, names, m_settings.watcher_candidates)) {
        const bool self = names[index] == m_settings.self.value();
        const auto found = m_peer_platform_lost.find(wire_key(names[index]));
        const bool is_lost =
            self ? m_platform_lost : found != m_peer_platform_lost.end() && found->second;
        (is_lost ? without_platform : preferred).push_back(names[index]);
    }
    preferred.insert(preferred.end(), without_platform.begin(), without_platform.end());
    preferred.resize(std::min(preferred.size(), m_settings.watchers_per_domain));
    const bool chosen =
        std::find(preferred.begin(), preferred.end(), m_settings.self.value()) != preferred.end();
    if (chosen == m_watching)
        return;
    m_watching = chosen;
    if (!chosen && m_watch_active) {
        m_watch_active = false;
        m_call_pending = false;
        out.emplace_back(stop_watch{});
    }
}

spread_commands spread_core::peer_confirmation_received(time_point /*now*/,
                                                        const confirmation& confirmed)
{
    spread_commands out;
    if (m_peer_platform_lost.size() >= max_tracked_peers &&
        !m_peer_platform_lost.contains(confirmed.node))
        m_peer_platform_lost.erase(m_peer_platform_lost.begin());
    m_peer_platform_lost[confirmed.node] = confirmed.platform_lost;
    choose_watchers(out);
    return out;
}

spread_commands spread_core::peer_message_received(time_point now, const config_message& message)
{
    spread_commands out;
    if (const auto* digest = std::get_if<config_digest>(&message.body))
        handle_digest(now, message.from, *digest, out);
    if (const auto* request = std::get_if<config_request>(&message.body))
        handle_request(now, message.from, *request, out);
    if (const auto* reply = std::get_if<config_reply>(&message.body))
        handle_reply(now, message.from, *reply, out);
    return out;
}

void spread_core::handle_digest(time_point now, const node_id& from, const config_digest& digest,
                                spread_commands& out)
{
    if (m_peer_digests.size() >= max_tracked_peers && !m_peer_digests.contains(from))
        m_peer_digests.erase(m_peer_digests.begin());
    m_peer_digests[from] = digest;
    m_peer_platform_lost[wire_key(from.value())] = digest.platform_lost;
    const bool revision_rose = digest.revision > m_highest_known;
    m_highest_known = std::max(m_highest_known, digest.revision);
    if (revision_rose)
        m_failed_requests = 0;
    if (digest.revision > revision() && !m_request_pending)
        request_from_peer(now, from, out);
}

void spread_core::request_from_peer(time_point now, const node_id& peer, spread_commands& out)
{
    config_request request{revision(), {}};
    if (m_fetch)
        request.digests.assign(m_fetch->missing.begin(), m_fetch->missing.end());
    const auto doublings = std::min(m_failed_requests, max_timeout_doublings);
    const duration wait = m_settings.peer_timeout * (std::int64_t{1} << doublings);
    m_request_pending = true;
    m_request_deadline = now + duration{m_random.between(wait.count(), 3 * wait.count() / 2)};
    out.emplace_back(send_to_peer{peer, std::move(request)});
}

void spread_core::request_from_any(time_point now, spread_commands& out)
{
    std::vector<node_id> newer_nodes;
    for (const auto& [node, digest] : m_peer_digests) {
        if (digest.revision > revision())
            newer_nodes.push_back(node);
    }
    const bool platform_turn = m_failed_requests % (peer_requests_per_platform_call + 1) ==
                               peer_requests_per_platform_call;
    if (newer_nodes.empty() || platform_turn)
        request_from_platform(now, out);
    if (!newer_nodes.empty())
        request_from_peer(now, newer_nodes[m_random.index(newer_nodes.size())], out);
}

void spread_core::request_from_platform(time_point now, spread_commands& out)
{
    if (m_call_pending || now < m_next_call)
        return;
    m_call_pending = true;
    m_next_call = now + duration{m_random.between(platform_retry_interval.count() / 2,
                                                  platform_retry_interval.count())};
    if (m_fetch)
        out.emplace_back(read_pages{{m_fetch->missing.begin(), m_fetch->missing.end()}});
    else
        out.emplace_back(read_head{});
}

/// Takes `bytes` from the token bucket, which holds at most four seconds' worth. False if it is
/// overdrawn; the last reply that is allowed may overdraw it.
bool spread_core::consume_reply_budget(time_point now, std::size_t bytes)
{
    const double capacity = 4.0 * m_settings.reply_bytes_s;
    const double seconds = std::chrono::duration<double>(now - m_last_refill).count();
    m_reply_tokens = std::min(capacity, m_reply_tokens + seconds * m_settings.reply_bytes_s);
    m_last_refill = now;
    if (m_reply_tokens < 0.0)
        return false;
    m_reply_tokens -= static_cast<double>(bytes);
    return true;
}

void spread_core::handle_request(time_point now, const node_id& to,
                                 const config_request& peer_request, spread_commands& out)
{
    if (!m_installed || (peer_request.digests.empty() && peer_request.base >= revision()))
        return;
    config_reply reply{revision(), {}, {}, {}};
    std::vector<std::string> wanted = peer_request.digests;
    if (wanted.empty()) {
        const auto base = std::find_if(
            m_recent_revisions.begin(), m_recent_revisions.end(),
            [&](const auto& recent) { return recent.head.revision() == peer_request.base; });
        // If the base is not among the recent revisions, the peer gets the head and requests the
        // pages that it lacks.
        const std::vector<std::string> current_digests = m_recent_revisions.back().digests;
        if (base != m_recent_revisions.end()) {
            std::set_difference(current_digests.begin(), current_digests.end(),
                                base->digests.begin(), base->digests.end(),
                                std::back_inserter(wanted));
            reply.delta = render_delta(base->head, with_recent_history(m_installed->head));
        }
        if (reply.delta.empty())
            reply.head = m_installed->head_for_peers;
    }
    std::size_t bytes = reply.head.size() + reply.delta.size();
    for (const std::string& digest : wanted) {
        const auto page = m_pages.find(digest);
        if (page == m_pages.end())
            continue;
        if (!reply.pages.empty() && bytes + page->second.size() > max_reply_bytes)
            break;
        bytes += page->second.size();
        reply.pages.push_back({digest, page->second});
    }
    if (bytes == 0 || !consume_reply_budget(now, bytes))
        return;
    out.emplace_back(send_to_peer{to, std::move(reply)});
}

void spread_core::handle_reply(time_point now, const node_id& from, const config_reply& reply,
                               spread_commands& out)
{
    m_request_pending = false;
    const bool had_fetch = m_fetch.has_value();
    if (!reply.head.empty())
        fetch_head_text(reply.head, out);
    if (!reply.delta.empty() && m_installed) {
        // A delta that is not based on the installed head, as after an installation since the
        // request, is ignored.
        const result<head_record> head = apply_delta(m_installed->head, reply.delta);
        if (head)
            fetch_if_newer(head.value(), out);
    }
    const bool added_any = add_fetched_pages(reply.pages) || (!had_fetch && m_fetch);
    m_failed_requests = added_any ? 0 : m_failed_requests + 1;
    // After a reply that added nothing, the next tick sends a request to another peer.
    if (added_any)
        continue_fetch(now, from, out);
}

spread_commands spread_core::platform_head_received(time_point now,
                                                    const std::optional<std::string>& value)
{
    spread_commands out;
    platform_call_succeeded(out);
    if (value)
        fetch_head_text(*value, out);
    continue_fetch(now, std::nullopt, out);
    return out;
}

spread_commands spread_core::platform_pages_received(time_point now,
                                                     const std::vector<config_page>& pages)
{
    spread_commands out;
    platform_call_succeeded(out);
    add_fetched_pages(pages);
    continue_fetch(now, std::nullopt, out);
    return out;
}

spread_commands spread_core::accepted(time_point now, const std::string& head,
                                      const std::vector<config_page>& pages)
{
    spread_commands out;
    fetch_head_text(head, out);
    add_fetched_pages(pages);
    continue_fetch(now, std::nullopt, out);
    return out;
}

void spread_core::platform_call_succeeded(spread_commands& out)
{
    m_call_pending = false;
    m_failing_since.reset();
    m_backoff = m_settings.initial_backoff;
    set_platform_lost(false, out);
}

spread_commands spread_core::platform_call_failed(time_point now)
{
    spread_commands out;
    m_call_pending = false;
    m_watch_active = false;
    if (!m_failing_since)
        m_failing_since = now;
    const duration max_backoff =
        m_watching ? m_settings.max_watcher_backoff : m_settings.max_other_backoff;
    m_backoff = std::min(m_backoff, max_backoff);
    m_next_call = now + duration{m_random.between(m_backoff.count() / 2, m_backoff.count())};
    m_backoff = std::min(2 * m_backoff, max_backoff);
    return out;
}

void spread_core::set_platform_lost(bool lost, spread_commands& out)
{
    if (lost == m_platform_lost)
        return;
    m_platform_lost = lost;
    out.emplace_back(announce{{revision(), m_platform_lost}});
    choose_watchers(out);
}

void spread_core::fetch_head_text(const std::string& text, spread_commands& out)
{
    result<head_record> parsed = parse_head(text);
    if (!parsed) {
        out.emplace_back(report{"config_head_refused", parsed.error()});
        return;
    }
    fetch_if_newer(parsed.value(), out);
}

/// Begins to fetch a head if it is newer than the installed one and the one being fetched.
void spread_core::fetch_if_newer(const head_record& head, spread_commands& out)
{
    if (head.manifest.deployment != m_settings.deployment) {
        out.emplace_back(
            report{"config_foreign_deployment",
                   foreign_deployment_error(head.manifest.deployment, m_settings.deployment)});
        return;
    }
    if (m_installed && head.revision() < revision() && !m_older_head_reported) {
        m_older_head_reported = true;
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
    m_older_head_reported = false;
    pending_fetch next{head, {}, {}};
    std::map<std::string, std::string> already_received;
    if (m_fetch)
        already_received = std::move(m_fetch->received);
    for (const std::string& digest : referenced_digests(head.manifest)) {
        const auto received = already_received.find(digest);
        if (received != already_received.end())
            next.received.insert(*received);
        else if (!m_pages.contains(digest))
            next.missing.insert(digest);
    }
    m_highest_known = std::max(m_highest_known, head.revision());
    m_fetch = std::move(next);
}

bool spread_core::add_fetched_pages(const std::vector<config_page>& pages)
{
    if (!m_fetch)
        return false;
    bool added_any = false;
    for (const config_page& page : pages) {
        if (!m_fetch->missing.contains(page.digest) || page_digest(page.bytes) != page.digest)
            continue;
        m_fetch->missing.erase(page.digest);
        m_fetch->received[page.digest] = page.bytes;
        added_any = true;
    }
    return added_any;
}

/// Installs the fetched head if it has all pages. Otherwise requests the missing ones from the peer
/// `from`, or from the platform if there is no `from`.
void spread_core::continue_fetch(time_point now, const std::optional<node_id>& from,
                                 spread_commands& out)
{
    if (!m_fetch)
        return;
    if (m_fetch->missing.empty()) {
        install_fetched(out);
        return;
    }
    if (from) {
        request_from_peer(now, *from, out);
        return;
    }
    if (m_call_pending)
        return;
    m_call_pending = true;
    out.emplace_back(read_pages{{m_fetch->missing.begin(), m_fetch->missing.end()}});
}

void spread_core::install_fetched(spread_commands& out)
{
    pending_fetch done = std::move(*m_fetch);
    m_fetch.reset();
    std::map<std::string, std::string> pages = std::move(done.received);
    std::vector<table_page> parts;
    recent_revision recent{done.head, referenced_digests(done.head.manifest)};
    recent.head.history.resize(1);
    for (const std::string& digest : recent.digests) {
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
    m_recent_revisions.push_back(std::move(recent));
    if (m_recent_revisions.size() > max_recent_revisions)
        m_recent_revisions.pop_front();
    auto shared = std::make_shared<const configuration>(std::move(tables).value());
    m_installed = {shared, std::move(done.head), {}};
    m_installed->head_for_peers = render_head(with_recent_history(m_installed->head));
    m_request_pending = false;
    m_failed_requests = 0;
    out.emplace_back(install{shared});
    out.emplace_back(announce{{revision(), m_platform_lost}});
}

} // namespace jaynotch
