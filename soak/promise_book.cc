#include "soak/promise_book.h"

#include "load/retry_excess.h"

#include <algorithm>
#include <set>

// Some guarantees hold at all times: an answer belongs to its request and is complete, a request
// answered as not run has not run, and an order runs at most once. Others have a time bound or
// concern planned maintenance. They hold only for nodes without a recent fault, and are checked
// only for periods in which no fault affected the node.

namespace jaynotch {

namespace {

constexpr std::uint32_t ok = 200;
constexpr std::uint32_t unauthorized = 401;
constexpr std::uint32_t bad_gateway = 502;

/// Whether the status guarantees that the request has not run and never will.
bool promises_not_run(std::uint32_t status)
{
    constexpr std::array promises{408U, 421U, 429U, 503U};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

std::string describe(const request_record& request)
{
    return request.id + " at " + request.node;
}

} // namespace

void promise_checker::record_request(request_record request)
{
    request_history& history = m_requests[request.id];
    history.request = std::move(request);
}

void promise_checker::record_run(const std::string& id, const std::string& runner, time_point now)
{
    m_requests[id].runs.push_back({runner, now});
}

void promise_checker::record_arrival(const std::string& id, const std::string& service,
                                     time_point at, const std::string& runner)
{
    request_history& history = m_requests[id];
    history.arrivals.push_back(at);
    history.service = service;
    m_arrivals[runner].push_back({id, at});
}

void promise_checker::record_refusal(const std::string& id, const std::string& runner,
                                     time_point at, duration pause)
{
    m_refusals.push_back({runner, m_requests[id].request.node, at, at + pause});
}

void promise_checker::record_answer(const std::string& id, received_answer answer, time_point now)
{
    request_history& history = m_requests[id];
    history.ended = true;
    history.answer = std::move(answer);
    history.ended_at = now;
}

void promise_checker::record_version(std::int64_t version, time_point now, bool holds_keys)
{
    m_accepted[version] = now;
    const bool removed =
        !m_key_removals.empty() && m_key_removals.back().until == time_point::max();
    if (holds_keys && removed)
        m_key_removals.back().until = now;
    else if (!holds_keys && !removed)
        m_key_removals.push_back({now, time_point::max()});
}

std::size_t promise_checker::record_fault(fault_period period)
{
    m_fault_periods.push_back(std::move(period));
    return m_fault_periods.size() - 1;
}

std::size_t promise_checker::successes() const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(),
                      [](const auto& entry) { return entry.second.answer.status == ok; }));
}

std::vector<promise_checker::second_counts> promise_checker::counts_by_second() const
{
    time_point first = time_point::max();
    for (const auto& [id, history] : m_requests)
        first = std::min(first, history.request.sent);
    std::vector<second_counts> counts;
    for (const auto& [id, history] : m_requests) {
        const auto second =
            static_cast<std::size_t>((history.request.sent - first) / std::chrono::seconds{1});
        if (counts.size() <= second)
            counts.resize(second + 1);
        ++counts[second].sent;
        counts[second].served += history.answer.status == ok ? 1 : 0;
    }
    return counts;
}

bool promise_checker::undisturbed(const std::string& node, time_point from, time_point until,
                                  bool include_planned) const
{
    return std::none_of(
        m_fault_periods.begin(), m_fault_periods.end(), [&](const fault_period& period) {
            const bool same_node = period.node.empty() || period.node == node;
            const bool is_counted = include_planned || !period.planned;
            const bool overlaps =
                period.from <= until &&
                (period.until == time_point::max() || period.until + m_bounds.recovery >= from);
            return same_node && is_counted && overlaps;
        });
}

time_point promise_checker::after_silences(time_point bound, time_point until) const
{
    for (const time_point silence : m_silences) {
        if (silence <= until)
            bound = std::max(bound, silence + m_bounds.recovery + m_bounds.slack);
    }
    return bound;
}

std::string promise_checker::expected_body(const request_history& history) const
{
    if (history.request.kind != caller_request_kind::stream)
        return history.runs.empty()
                   ? std::string{}
                   : "answer of " + history.runs.back().runner + " to " + history.request.id;
    std::string body;
    for (std::size_t event = 1; event <= m_stream_events; ++event)
        body += "id: " + std::to_string(event) + "\ndata: e" + std::to_string(event) + "\n\n";
    return body;
}

void promise_checker::check_answer(const request_history& history,
                                   std::vector<std::string>& out) const
{
    if (history.answer.status != ok)
        return;
    if (history.runs.empty())
        out.push_back(describe(history.request) + ": answered with success, but no server ran it");
    if (history.answer.id != history.request.id)
        out.push_back(describe(history.request) + ": received the answer to " + history.answer.id);
    // A read may have run on several servers; the answer must be that of one of them.
    const bool matches_any_run =
        std::any_of(history.runs.begin(), history.runs.end(), [&](const run& each) {
            request_history with_single_run = history;
            with_single_run.runs = {each};
            return history.answer.body == expected_body(with_single_run);
        });
    if (!matches_any_run)
        out.push_back(describe(history.request) +
                      ": a successful answer that is not the complete answer of its server: \"" +
                      history.answer.body + "\"");
}

void promise_checker::check_runs(const std::string& id, const request_history& history,
                                 std::vector<std::string>& out) const
{
    if (history.request.id.empty()) {
        out.push_back("a server ran a request that no caller sent, \"" + id + "\" at " +
                      (history.runs.empty() ? "none" : history.runs.front().runner));
        return;
    }
    if (history.request.kind == caller_request_kind::order && history.runs.size() > 1)
        out.push_back(describe(history.request) + ": an order ran " +
                      std::to_string(history.runs.size()) + " times");
    if (history.ended && promises_not_run(history.answer.status) && !history.runs.empty())
        out.push_back(describe(history.request) + ": answered " +
                      std::to_string(history.answer.status) + ", but it ran");
    if (history.ended && history.answer.status == unauthorized && !history.runs.empty())
        out.push_back(describe(history.request) + ": refused because of its key, but it ran");
}

void promise_checker::check_servers(const request_history& history, std::vector<std::string>& out)
{
    std::set<std::string> servers;
    for (const run& each : history.runs)
        servers.insert(each.runner);
    if (servers.size() > history.request.max_servers)
        out.push_back(describe(history.request) + ": ran on " + std::to_string(servers.size()) +
                      " servers, " + std::to_string(history.request.max_servers) + " are allowed");
}

std::string promise_checker::describe_wait(const request_history& history) const
{
    std::string text =
        "after " +
        std::to_string((history.ended_at - history.request.sent) / std::chrono::milliseconds{1}) +
        " ms";
    for (const run& each : history.runs) {
        const auto pauses = m_pauses.find(each.runner);
        if (pauses != m_pauses.end() &&
            std::any_of(pauses->second.begin(), pauses->second.end(), [&](const time_range& pause) {
                return pause.from <= history.ended_at && pause.until >= history.request.sent;
            }))
            text += ", " + each.runner + " paused";
    }
    return text;
}

/// A planned stop truncates no answer: a request that has reached a server is answered. Neither
/// does a pause of its server, as it ends long before the request's deadline. A bad gateway says
/// that the server was given up on.
void promise_checker::check_planned_stop(const request_history& history,
                                         std::vector<std::string>& out) const
{
    const bool cut = history.answer.status == 0;
    if (!history.ended || history.runs.empty() || (!cut && history.answer.status != bad_gateway))
        return;
    if (undisturbed(history.request.node, history.request.sent, history.ended_at, false))
        out.push_back(
            describe(history.request) + (cut ? ": connection cut off" : ": answered 502") +
            ", though only planned maintenance was under way (" + describe_wait(history) + ")");
}

void promise_checker::check_drain(const request_history& history,
                                  std::vector<std::string>& out) const
{
    for (const run& each : history.runs) {
        const auto drain_started = m_draining.find(each.runner);
        if (drain_started == m_draining.end())
            continue;
        const time_point deadline =
            after_silences(drain_started->second + m_bounds.drain + m_bounds.slack, each.at);
        if (each.at > deadline && history.request.sent > deadline &&
            undisturbed(history.request.node, drain_started->second, each.at, true))
            out.push_back(describe(history.request) + ": sent to " + each.runner +
                          " after the time allowed for its drain");
    }
}

void promise_checker::check_evacuation(const request_history& history,
                                       std::vector<std::string>& out) const
{
    for (const run& each : history.runs) {
        const auto domain = m_domains.find(each.runner);
        if (domain == m_domains.end() || !m_evacuations.contains(domain->second))
            continue;
        for (const time_range& evacuated : m_evacuations.at(domain->second)) {
            const time_point deadline = evacuated.from + m_bounds.evacuate + m_bounds.slack;
            if (each.at > deadline && each.at < evacuated.until &&
                undisturbed(history.request.node, evacuated.from, each.at, true))
                out.push_back(describe(history.request) + ": sent to " + each.runner +
                              " after the time allowed for the evacuation of " + domain->second);
        }
    }
}

/// The keys of the last two versions are valid: older ones must be refused and these accepted, each
/// once the time allowed for applying a version has passed.
void promise_checker::check_key(const request_history& history, std::vector<std::string>& out) const
{
    if (!history.ended || history.request.key_version <= 0)
        return;
    const duration applied = m_bounds.config_apply + m_bounds.slack;
    const auto accepted_before = [&](std::int64_t version) {
        const auto found = m_accepted.find(version);
        return found != m_accepted.end() &&
               history.request.sent >
                   after_silences(found->second + applied, history.request.sent) &&
               undisturbed(history.request.node, found->second, history.ended_at, true);
    };
    const std::int64_t key = history.request.key_version;
    const bool may_be_removed =
        std::any_of(m_key_removals.begin(), m_key_removals.end(), [&](const time_range& removal) {
            return removal.from <= history.ended_at &&
                   (removal.until == time_point::max() ||
                    history.request.sent <=
                        after_silences(removal.until + applied, history.request.sent));
        });
    if (history.answer.status == ok && accepted_before(key + 2))
        out.push_back(describe(history.request) + ": accepted a key that version " +
                      std::to_string(key + 2) + " had revoked");
    const bool may_be_revoked =
        m_accepted.contains(key + 2) && m_accepted.at(key + 2) <= history.ended_at;
    if (history.answer.status == unauthorized && !may_be_revoked && !may_be_removed &&
        accepted_before(key))
        out.push_back(describe(history.request) + ": a key of version " + std::to_string(key) +
                      " was refused");
}

/// A key that no version ever held admits nobody, at any time. While the versions in force hold no
/// keys, no key does.
void promise_checker::check_key_removals(const request_history& history,
                                         std::vector<std::string>& out) const
{
    if (history.request.key_version == key_never_held && !history.runs.empty())
        out.push_back(describe(history.request) + ": ran with a key that no version held");
    if (!history.ended || history.answer.status != ok)
        return;
    for (const time_range& removal : m_key_removals) {
        const time_point applied = removal.from + m_bounds.config_apply + m_bounds.slack;
        if (history.request.sent > after_silences(applied, history.request.sent) &&
            history.ended_at < removal.until &&
            undisturbed(history.request.node, removal.from, history.ended_at, true))
            out.push_back(describe(history.request) + ": accepted while no version held a key");
    }
}

/// A node's process never returns to an older configuration: once it has accepted a key, it accepts
/// no key that was revoked by then, that is, one more than a version older.
void promise_checker::check_versions(std::vector<std::string>& out) const
{
    std::vector<const request_history*> by_end_time;
    for (const auto& [id, history] : m_requests) {
        if (history.ended && history.request.key_version > 0)
            by_end_time.push_back(&history);
    }
    std::sort(by_end_time.begin(), by_end_time.end(),
              [](const request_history* a, const request_history* b) {
                  return a->ended_at < b->ended_at;
              });
    struct accepted_key {
        std::int64_t version = 0;
        time_point at;
    };
    std::map<std::pair<std::string, std::size_t>, accepted_key> newest;
    for (const request_history* history : by_end_time) {
        std::size_t start_count = 0;
        if (const auto starts = m_starts.find(history->request.node); starts != m_starts.end())
            start_count = static_cast<std::size_t>(
                std::count_if(starts->second.begin(), starts->second.end(),
                              [&](time_point start) { return start <= history->request.sent; }));
        accepted_key& newest_accepted = newest[{history->request.node, start_count}];
        const bool after = history->request.sent > newest_accepted.at;
        if (history->answer.status == ok) {
            if (after && history->request.key_version + 1 < newest_accepted.version)
                out.push_back(describe(history->request) + ": accepted a key of version " +
                              std::to_string(history->request.key_version) + " after one of " +
                              std::to_string(newest_accepted.version));
            if (history->request.key_version > newest_accepted.version)
                newest_accepted = {history->request.key_version, history->ended_at};
        }
    }
}

/// A server that asked a node for a pause gets at most two requests from it until the pause ends.
void promise_checker::check_refusals(std::vector<std::string>& out) const
{
    for (const refusal_with_pause& refusal : m_refusals) {
        const auto found = m_arrivals.find(refusal.runner);
        if (found == m_arrivals.end() ||
            !process_ran(refusal.node, refusal.from, refusal.until, true))
            continue;
        const auto count = static_cast<std::size_t>(
            std::count_if(found->second.begin(), found->second.end(), [&](const arrival& one) {
                return one.at > refusal.from + m_bounds.pause_begin && one.at < refusal.until &&
                       m_requests.at(one.request).request.node == refusal.node;
            }));
        if (count > m_bounds.requests_in_pause)
            out.push_back(refusal.runner + " asked " + refusal.node + " for a pause and got " +
                          std::to_string(count) + " requests in it");
    }
}

/// A node that has passed on a server's word that it leaves sends it no further requests, whatever
/// its links are like.
void promise_checker::check_leaving(std::vector<std::string>& out) const
{
    std::map<std::pair<std::string, std::string>, time_point> said; // by runner and node
    for (const auto& [id, history] : m_requests) {
        if (history.answer.leaving_server.empty())
            continue;
        const auto [entry, added] = said.try_emplace(
            {history.answer.leaving_server, history.request.node}, history.ended_at);
        entry->second = std::min(entry->second, history.ended_at);
    }
    for (const auto& [key, at] : said) {
        const auto& [runner, node] = key;
        const auto arrivals = m_arrivals.find(runner);
        if (arrivals == m_arrivals.end())
            continue;
        for (const arrival& one : arrivals->second) {
            const request_record& request = m_requests.at(one.request).request;
            if (request.node == node && request.sent > at + m_bounds.drain + m_bounds.slack &&
                process_ran(node, at, one.at, false))
                out.push_back(describe(request) + ": sent to " + runner +
                              ", which had said in an answer that it leaves");
        }
    }
}

/// The bound holds for all requests, and for those sent to nodes that reach no server while others
/// do.
void promise_checker::check_fleet_recovery(std::vector<std::string>& out) const
{
    if (!m_fleet_outage)
        return;
    check_recovery_of([](const std::string&) { return true; }, "", out);
    if (!m_cut_off.empty())
        check_recovery_of([this](const std::string& node) { return m_cut_off.contains(node); },
                          " sent to nodes that are cut off from all servers", out);
}

void promise_checker::check_recovery_of(const std::function<bool(const std::string& node)>& counts,
                                        const std::string& what,
                                        std::vector<std::string>& out) const
{
    constexpr double required = 0.25;
    struct served_requests {
        std::size_t served = 0;
        std::size_t all = 0;
        [[nodiscard]] double share() const
        {
            return all == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(all);
        }
    };
    served_requests before;
    served_requests after;
    const time_point recovered = m_fleet_outage->until + m_bounds.fleet_recovery;
    for (const auto& [id, history] : m_requests) {
        const bool is_before = history.ended && history.ended_at < m_fleet_outage->from;
        if (!counts(history.request.node) || (!is_before && history.request.sent < recovered))
            continue;
        served_requests& counted = is_before ? before : after;
        ++counted.all;
        counted.served += history.answer.status == ok ? 1 : 0;
    }
    if (before.share() >= required && after.share() < required)
        out.push_back("after the loss of all nodes " + std::to_string(after.served) + " of " +
                      std::to_string(after.all) + " requests" + what + " were served, before it " +
                      std::to_string(before.served) + " of " + std::to_string(before.all));
}

bool promise_checker::process_ran(const std::string& node, time_point from, time_point until,
                                  bool links) const
{
    return std::none_of(
        m_fault_periods.begin(), m_fault_periods.end(), [&](const fault_period& period) {
            const bool counts = period.stops_process || (links && period.cuts_links);
            const bool same_node = period.node.empty() || period.node == node;
            return counts && same_node && period.from <= until && period.until >= from;
        });
}

/// A service gets no more repeats than all nodes together may send.
void promise_checker::check_retries(std::vector<std::string>& out) const
{
    struct service_times {
        std::vector<time_point> requests;
        std::vector<time_point> repeats;
    };
    std::map<std::string, service_times> services;
    for (const auto& [id, history] : m_requests) {
        if (history.service.empty())
            continue;
        service_times& times = services[history.service];
        times.requests.push_back(history.request.sent);
        std::vector<time_point> arrivals = history.arrivals;
        std::sort(arrivals.begin(), arrivals.end());
        times.repeats.insert(times.repeats.end(), arrivals.begin() + 1, arrivals.end());
    }
    const retry_limit limit{m_bounds.retry_share, m_bounds.retry_extra, m_bounds.retry_window};
    for (const auto& [service, times] : services) {
        const double excess = retry_excess(times.requests, times.repeats, limit);
        if (excess > 0.0)
            out.push_back(service + ": " + std::to_string(excess) +
                          " repeats more than the retry budget allows in a window");
    }
}

std::vector<std::string> promise_checker::violations() const
{
    std::vector<std::string> out;
    for (const auto& [id, history] : m_requests) {
        check_runs(id, history, out);
        if (history.request.kind != caller_request_kind::order)
            check_servers(history, out);
        check_answer(history, out);
        check_planned_stop(history, out);
        check_drain(history, out);
        check_evacuation(history, out);
        check_key(history, out);
        check_key_removals(history, out);
    }
    check_versions(out);
    check_retries(out);
    check_refusals(out);
    check_leaving(out);
    check_fleet_recovery(out);
    return out;
}

} // namespace jaynotch
