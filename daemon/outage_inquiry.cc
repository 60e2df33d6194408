#include "daemon/outage_inquiry.h"

#include "base/log.h"
#include "daemon/daemon_setup.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// A round of questions is confirmed when every node that was alive recently has answered that it
// does not reach the store. A node that this one considers dead may be alive behind a network
// partition and reach the store, so its answer is required until it has been dead for longer than
// partitions last. The answer of a node that has left is not required.
//
// A node that answers "not reached" neither claims a manager's key nor manages for a while, so it
// is safe to act on its answer even if the check was wrong or is some time old. One check may
// therefore answer many questions, and its result stays valid for some time (peers/store_checks.h).
// That saves calls to the store, which cost money also while it is down.

namespace jaynotch {

namespace {

namespace net = boost::asio;

/// The store usually answers within milliseconds, and within a few tenths of a second when slow.
constexpr duration check_timeout = std::chrono::milliseconds{400};
/// How long the answer of a dead node is still required. Longer than nodes are partitioned from
/// each other without either of them being restarted.
constexpr duration dead_node_retention = std::chrono::seconds{10};
/// How long updates from a manager without the store are accepted: as long as this node refrains
/// from managing.
constexpr duration outage_report_validity = std::chrono::seconds{2};

} // namespace

outage_inquiry::outage_inquiry(net::io_context& io, const daemon_settings& settings, kv_service& kv,
                               peer_service& peers, outage_hooks hooks)
    : m_io{io}, m_settings{settings}, m_kv{kv}, m_peers{peers}, m_hooks{std::move(hooks)}
{}

void outage_inquiry::update_members()
{
    if (m_members_version == m_peers.members_version())
        return;
    m_members_version = m_peers.members_version();
    const time_point now = runtime_clock::now();
    for (const member& one : m_peers.members()) {
        const auto known = m_nodes.find(one.node);
        if (one.live())
            m_nodes[one.node].reset();
        else if (known != m_nodes.end() && one.state == member_state::left)
            m_nodes.erase(known);
        else if (known != m_nodes.end() && !known->second)
            known->second = now;
    }
}

void outage_inquiry::start_round(const failure_domain_id& domain)
{
    update_members();
    const time_point now = runtime_clock::now();
    std::erase_if(m_nodes, [&](const auto& entry) {
        return entry.second && now - *entry.second > dead_node_retention;
    });
    round& started = m_rounds[domain];
    if (started.number == 0 || started.unanswered != started.logged) {
        std::vector<std::string> names;
        for (const node_id& node : started.unanswered)
            names.push_back(node.value());
        log_event(log_level::warning, "outage_asked",
                  {{"domain", domain.value()}, {"unconfirmed_by", names}});
        started.logged = started.unanswered;
    }
    started.number = ++m_last_round;
    started.asked = now;
    started.unanswered.clear();
    for (const auto& [node, dead_since] : m_nodes) {
        if (node == m_settings.node)
            continue;
        started.unanswered.insert(node);
        m_peers.send_server_message(node, store_question{domain, started.number});
    }
    if (started.unanswered.empty())
        m_hooks.on_confirmed(domain, started.asked);
}

void outage_inquiry::receive(const node_id& from, const store_answer& reply)
{
    const auto found = m_rounds.find(reply.domain);
    // An answer to an earlier round may be so old that its sender may manage again.
    if (found == m_rounds.end() || reply.reached || reply.round != found->second.number)
        return;
    if (found->second.unanswered.erase(from) != 0 && found->second.unanswered.empty())
        m_hooks.on_confirmed(reply.domain, found->second.asked);
}

void outage_inquiry::receive(const node_id& from, const store_question& asked)
{
    const requester to{from, asked};
    if (m_hooks.manages(asked.domain))
        return answer(to, true);
    if (const std::optional<bool> reached = m_checks.known(runtime_clock::now()))
        return answer(to, *reached);
    m_waiting_requesters.push_back(to);
    if (!m_checking)
        begin_check();
}

void outage_inquiry::answer(const requester& to, bool reached)
{
    if (!reached) {
        m_outage_reported_at = runtime_clock::now();
        m_hooks.on_outage_reported(to.question.domain);
    }
    m_peers.send_server_message(to.node,
                                store_answer{to.question.domain, to.question.round, reached});
}

void outage_inquiry::begin_check()
{
    m_checking = true;
    ++m_check;
    net::co_spawn(m_io, call_store(), net::detached);
    net::co_spawn(m_io, time_out(m_check), net::detached);
}

net::awaitable<void> outage_inquiry::call_store()
{
    const auto self = shared_from_this();
    const std::uint64_t check = m_check;
    const result<kv_read> read = co_await m_kv.get(m_settings.deployment + "/outage-check");
    finish_check(check, read.has_value());
}

net::awaitable<void> outage_inquiry::time_out(std::uint64_t check)
{
    const auto self = shared_from_this();
    co_await sleep_for(m_io, check_timeout);
    finish_check(check, false);
}

void outage_inquiry::finish_check(std::uint64_t check, bool reached)
{
    if (!m_checking || check != m_check)
        return;
    m_checking = false;
    m_checks.note(reached, runtime_clock::now());
    for (const requester& waiting : std::exchange(m_waiting_requesters, {}))
        answer(waiting, reached);
}

bool outage_inquiry::recently_reported_outage() const
{
    return runtime_clock::now() - m_outage_reported_at < outage_report_validity;
}

} // namespace jaynotch
