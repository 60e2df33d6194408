#include "soak/promise_book.h"

#include <algorithm>
#include <set>

// Some promises hold always: an answer belongs to its request and is whole, "did not run" is true,
// an order runs once. Others have a time bound, or concern planned work, and hold for nodes that
// nothing harmed for a while before; they are checked only where the plan of faults left the node
// alone.

namespace jaynotch {

namespace {

constexpr std::uint32_t ok = 200;
constexpr std::uint32_t unauthorized = 401;

/// Statuses that promise that the request has not run and never will.
bool promises_not_run(std::uint32_t status)
{
    constexpr std::array promises{408U, 421U, 429U, 503U};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

std::string name_of(const asked_request& asked)
{
    return asked.id + " at " + asked.node;
}

} // namespace

void promise_book::asked(asked_request request)
{
    account& made = m_requests[request.id];
    made.asked = std::move(request);
}

void promise_book::ran(const std::string& id, const std::string& runner, time_point now)
{
    m_requests[id].runs.push_back({runner, now});
}

void promise_book::answered(const std::string& id, seen_answer answer, time_point now)
{
    account& one = m_requests[id];
    one.ended = true;
    one.answer = std::move(answer);
    one.ended_at = now;
}

std::size_t promise_book::harmed(harm what)
{
    m_harms.push_back(std::move(what));
    return m_harms.size() - 1;
}

std::size_t promise_book::whole() const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(),
                      [](const auto& entry) { return entry.second.answer.status == ok; }));
}

bool promise_book::calm(const std::string& node, time_point from, time_point until,
                        bool planned_counts) const
{
    return std::none_of(m_harms.begin(), m_harms.end(), [&](const harm& one) {
        const bool here = one.node.empty() || one.node == node;
        const bool counts = planned_counts || !one.planned;
        const bool then = one.from <= until &&
                          (one.until == time_point::max() || one.until + m_times.settled >= from);
        return here && counts && then;
    });
}

std::string promise_book::expected_body(const account& one) const
{
    if (one.asked.kind != asked_kind::stream)
        return one.runs.empty() ? std::string{}
                                : "answer of " + one.runs.back().runner + " to " + one.asked.id;
    std::string body;
    for (std::size_t event = 1; event <= m_stream_events; ++event)
        body += "id: " + std::to_string(event) + "\ndata: e" + std::to_string(event) + "\n\n";
    return body;
}

void promise_book::check_answer(const account& one, std::vector<std::string>& out) const
{
    if (one.answer.status != ok)
        return;
    if (one.runs.empty())
        out.push_back(name_of(one.asked) + ": a success, but no server ran it");
    if (one.answer.id != one.asked.id)
        out.push_back(name_of(one.asked) + ": got the answer to " + one.answer.id);
    // Several servers may have run a read; the answer is that of one of them.
    const bool of_any_run = std::any_of(one.runs.begin(), one.runs.end(), [&](const run& each) {
        account alone = one;
        alone.runs = {each};
        return one.answer.body == expected_body(alone);
    });
    if (!of_any_run)
        out.push_back(name_of(one.asked) + ": a success that is not its server's whole answer: \"" +
                      one.answer.body + "\"");
}

void promise_book::check_runs(const account& one, std::vector<std::string>& out) const
{
    if (one.asked.id.empty()) {
        out.push_back("a server ran a request that nobody sent");
        return;
    }
    if (one.asked.kind == asked_kind::order && one.runs.size() > 1)
        out.push_back(name_of(one.asked) + ": an order ran " + std::to_string(one.runs.size()) +
                      " times");
    if (one.ended && promises_not_run(one.answer.status) && !one.runs.empty())
        out.push_back(name_of(one.asked) + ": answered " + std::to_string(one.answer.status) +
                      ", but it ran");
    if (one.ended && one.answer.status == unauthorized && !one.runs.empty())
        out.push_back(name_of(one.asked) + ": refused for its key, but it ran");
}

void promise_book::check_servers(const account& one, std::vector<std::string>& out)
{
    std::set<std::string> servers;
    for (const run& each : one.runs)
        servers.insert(each.runner);
    if (servers.size() > one.asked.most_servers)
        out.push_back(name_of(one.asked) + ": ran on " + std::to_string(servers.size()) +
                      " servers, " + std::to_string(one.asked.most_servers) + " are allowed");
}

/// A planned stop cuts nobody off: what has reached a server is answered.
void promise_book::check_stop(const account& one, std::vector<std::string>& out) const
{
    if (!one.ended || one.answer.status != 0 || one.runs.empty())
        return;
    if (calm(one.asked.node, one.asked.sent, one.ended_at, false))
        out.push_back(name_of(one.asked) + ": cut off though nothing but planned work went on");
}

void promise_book::check_drain(const account& one, std::vector<std::string>& out) const
{
    for (const run& each : one.runs) {
        const auto leaving = m_draining.find(each.runner);
        if (leaving == m_draining.end())
            continue;
        const time_point latest = leaving->second + m_times.drain + m_times.slack;
        if (each.at > latest && one.asked.sent > latest &&
            calm(one.asked.node, leaving->second, each.at, true))
            out.push_back(name_of(one.asked) + ": sent to " + each.runner +
                          " long after it began to leave");
    }
}

/// Keys of the last two versions are in force.
void promise_book::check_key(const account& one, std::vector<std::string>& out) const
{
    if (!one.ended || one.asked.key_version == 0)
        return;
    const duration applied = m_times.config_apply + m_times.slack;
    const auto accepted_before = [&](std::int64_t version) {
        const auto found = m_accepted.find(version);
        return found != m_accepted.end() && one.asked.sent > found->second + applied &&
               calm(one.asked.node, found->second, one.ended_at, true);
    };
    const std::int64_t key = one.asked.key_version;
    if (one.answer.status == ok && accepted_before(key + 2))
        out.push_back(name_of(one.asked) + ": a key was taken that version " +
                      std::to_string(key + 2) + " had revoked");
    const bool may_be_revoked =
        m_accepted.contains(key + 2) && m_accepted.at(key + 2) <= one.ended_at;
    if (one.answer.status == unauthorized && !may_be_revoked && accepted_before(key))
        out.push_back(name_of(one.asked) + ": a key of version " + std::to_string(key) +
                      " was refused");
}

/// Within one life of a node, versions never go back: once a key has worked, older ones that it has
/// outlived don't, and it is known.
void promise_book::check_versions(std::vector<std::string>& out) const
{
    std::vector<const account*> in_order;
    for (const auto& [id, one] : m_requests) {
        if (one.ended && one.asked.key_version > 0)
            in_order.push_back(&one);
    }
    std::sort(in_order.begin(), in_order.end(),
              [](const account* a, const account* b) { return a->ended_at < b->ended_at; });
    struct seen {
        std::int64_t version = 0;
        time_point at;
    };
    std::map<std::pair<std::string, std::size_t>, seen> newest;
    for (const account* one : in_order) {
        std::size_t life = 0;
        if (const auto starts = m_starts.find(one->asked.node); starts != m_starts.end())
            life = static_cast<std::size_t>(
                std::count_if(starts->second.begin(), starts->second.end(),
                              [&](time_point start) { return start <= one->asked.sent; }));
        seen& known = newest[{one->asked.node, life}];
        const bool after = one->asked.sent > known.at;
        if (one->answer.status == ok) {
            if (after && one->asked.key_version + 1 < known.version)
                out.push_back(name_of(one->asked) + ": took a key of version " +
                              std::to_string(one->asked.key_version) + " after one of " +
                              std::to_string(known.version));
            if (one->asked.key_version > known.version)
                known = {one->asked.key_version, one->ended_at};
        }
    }
}

std::vector<std::string> promise_book::broken() const
{
    std::vector<std::string> out;
    for (const auto& [id, one] : m_requests) {
        check_runs(one, out);
        if (one.asked.kind != asked_kind::order)
            check_servers(one, out);
        check_answer(one, out);
        check_stop(one, out);
        check_drain(one, out);
        check_key(one, out);
    }
    check_versions(out);
    return out;
}

} // namespace jaynotch
