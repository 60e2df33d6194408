// Groups that are lost under load, and cuts of this node's links, told apart.
#include "routing/core_fixture.h"

#include <criterion/criterion.h>

#include <deque>
#include <functional>
#include <set>

using namespace jaynotch;
using namespace jaynotch::testing;
using namespace std::chrono_literals;

namespace {

constexpr int groups = 6;

/// Six groups in three failure domains, and other nodes in domains a (the own one), b and c.
fixture make_world(core_settings settings = fixture::default_settings())
{
    settings.failure_domain = failure_domain_id{"a"};
    fixture world{settings, 0, 1};
    std::vector<target> formed = make_groups(groups);
    for (std::size_t at = 0; at < formed.size(); ++at)
        formed[at].failure_domain =
            failure_domain_id{std::string(1, static_cast<char>('a' + at % 3))};
    world.send(groups_changed{formed});
    relay_nodes_changed seen;
    for (const std::string name : {"a-2", "a-3", "b-1", "b-2", "c-1"})
        seen.nodes.push_back({node_id{name}, failure_domain_id{name.substr(0, 1)}, name + ":7340"});
    world.send(seen);
    return world;
}

bool is_dark(const std::set<std::string>& dark, const target_id& target)
{
    return dark.contains(target.value());
}

/// In a set of dark targets: no host can be connected, as if this node's own link were full.
const std::string everything = "everything";

/// Passes `span`; requests at dark groups bring nothing, probes of them fail, others open at once.
command_list pass_with_dark(fixture& world, duration span, const std::set<std::string>& dark)
{
    command_list all;
    for (duration passed{0}; passed < span; passed += 10ms) {
        const command_list out = world.pass(10ms);
        for (const command& each : out) {
            if (const auto* probe = std::get_if<probe_server>(&each); probe != nullptr)
                world.send(server_probed{probe->target, !probe->needs_response &&
                                                            !is_dark(dark, probe->target) &&
                                                            !dark.contains(everything)});
        }
        all.insert(all.end(), out.begin(), out.end());
    }
    return all;
}

/// Starts `count` requests; those at dark groups stall, also when they are sent again.
void send_requests(fixture& world, std::uint64_t count, const std::set<std::string>& dark)
{
    std::vector<send_attempt> stalled;
    const auto take = [&](const command_list& out) {
        const auto* sent = first<send_attempt>(out);
        if (sent != nullptr && !sent->relayed && is_dark(dark, sent->target))
            stalled.push_back(*sent);
    };
    for (std::uint64_t id = 1; id <= count; ++id)
        take(world.chat(id));
    for (std::size_t at = 0; at < stalled.size(); ++at) {
        const send_attempt failed = stalled[at];
        world.send(attempt_sent{failed.request, failed.attempt});
        take(world.send(attempt_failed{failed.request, failed.attempt, attempt_failure::stalled}));
    }
}

attempt_head no_server_either(const send_attempt& attempt)
{
    attempt_head head;
    head.request = attempt.request;
    head.attempt = attempt.attempt;
    head.status = 503;
    head.refusal = relay_refusal{{error_kind::unavailable, "none either", ""}, ran_state::no, 0ms};
    head.refusal->reaches_no_server = true;
    return head;
}

const std::set<std::string> all_groups{"group-1", "group-2", "group-3",
                                       "group-4", "group-5", "group-6"};

/// A world whose groups are all out of reach and whose node has found that.
fixture make_cut_world()
{
    fixture world = make_world();
    send_requests(world, 30, all_groups);
    pass_with_dark(world, 4s, all_groups);
    cr_assert(world.core.cut_off());
    return world;
}

/// Has the nodes that `agrees` names answer detours of one request with "none either"; the command
/// list after the last one.
command_list refuse_detours(fixture& world, std::uint64_t id,
                            const std::function<bool(const std::string&)>& agrees)
{
    command_list out = world.chat(id);
    for (int asked = 0; asked < 4; ++asked) {
        const auto* sent = first<send_attempt>(out);
        if (sent == nullptr || !sent->relayed || !agrees(sent->address))
            break;
        out = world.send(no_server_either(*sent));
    }
    return out;
}

/// All other nodes have said that they reach no server either.
void lose_for_all(fixture& world)
{
    for (std::uint64_t id = 50; id < 60 && world.core.cut_off(); ++id) {
        refuse_detours(world, id, [](const std::string&) { return true; });
        world.pass(100ms);
    }
    cr_assert_not(world.core.cut_off());
}

/// A server answers through the node; 1 if the caller gets it.
std::size_t answer(fixture& world, const send_attempt& sent)
{
    attempt_head head;
    head.request = sent.request;
    head.attempt = sent.attempt;
    head.status = 200;
    world.send(attempt_sent{sent.request, sent.attempt});
    world.send(head);
    const command_list out =
        world.send(attempt_finished{sent.request, sent.attempt, true, std::nullopt});
    return first<complete>(out) == nullptr ? 0 : 1;
}

/// How many of `count` requests are served while all other nodes but `serving` reach no server.
std::size_t served_through(fixture& world, std::size_t count, const std::string& serving)
{
    const auto cut_off_too = [&](const std::string& node) { return !node.starts_with(serving); };
    std::size_t served = 0;
    for (std::uint64_t id = 100; id < 100 + count; ++id) {
        const command_list out = refuse_detours(world, id, cut_off_too);
        const auto* sent = first<send_attempt>(out);
        if (sent != nullptr && sent->relayed)
            served += answer(world, *sent);
        world.pass(20ms);
    }
    return served;
}

} // namespace

// Failure: several groups are lost within two seconds. Guards against taking that for a cut of the
// node's own links, and sending requests of the remaining groups' pool through other nodes.
Test(lost_groups, half_of_the_groups_lost_at_once_are_no_cut)
{
    fixture world = make_world();
    const std::set<std::string> dark{"group-1", "group-2", "group-4"};
    send_requests(world, 30, dark);
    const command_list out = pass_with_dark(world, 4s, dark);
    cr_assert_gt(count<probe_server>(out), 0U, "the losses raise a suspicion");
    cr_assert_eq(count<reach_changed>(out), 0U);
    cr_assert_eq(world.core.counters().detours, 0U);
    cr_assert_gt(world.core.counters().losses_told_from_cuts, 0U);
}

// Failure: one node loses its links to all servers, which hang. Guards against missing a real cut.
Test(lost_groups, a_real_cut_of_the_node_is_found)
{
    fixture world = make_cut_world();
    const command_list next = world.chat(100);
    const auto* sent = first<send_attempt>(next);
    cr_assert(sent != nullptr && sent->relayed);
}

// Failure: a failure domain loses its links, and its nodes ask one another. Guards against taking
// their agreement for a loss of all servers.
Test(lost_groups, nodes_of_the_own_failure_domain_are_cut_off_alike)
{
    fixture world = make_cut_world();
    const auto own_domain = [](const std::string& node) { return node.starts_with("a-"); };
    for (std::uint64_t id = 100; id < 104; ++id) {
        const command_list out = refuse_detours(world, id, own_domain);
        const auto* sent = first<send_attempt>(out);
        cr_assert(sent != nullptr && sent->relayed, "a node of another domain is asked");
        cr_assert_not(own_domain(sent->address));
        world.send(caller_gone{sent->request});
    }
    cr_assert(world.core.cut_off());
}

// Failure: all groups of a pool are lost on all nodes. Guards against requests that are passed
// around among nodes none of which reaches a server.
Test(lost_groups, a_loss_for_all_nodes_ends_the_detours)
{
    fixture world = make_cut_world();
    for (std::uint64_t id = 100; id < 102; ++id) { // five nodes, three for each request
        const command_list end = refuse_detours(world, id, [](const std::string&) { return true; });
        cr_assert_neq(first<refuse>(end), nullptr);
    }
    const command_list told = world.pass(10ms);
    cr_assert(first<reach_changed>(told)->state == reach_state::lost_for_all);
    const std::uint64_t before = world.core.counters().detours;
    world.chat(110);
    world.pass(100ms);
    cr_assert_eq(world.core.counters().detours, before);
    request_info relayed;
    relayed.id = request_id{111};
    relayed.kind = request_kind::chat;
    relayed.model = "summary";
    relayed.workspace = workspace_id{"dealers"};
    relayed.relayed = relayed_request{};
    const command_list refused = world.send(request_arrived{relayed});
    cr_assert_neq(first<refuse>(refused), nullptr, "nor can it help others");
    cr_assert(first<refuse>(refused)->reaches_no_server);
}

// Failure: the same. Guards against a refusal that sends its caller back before any group can be.
Test(lost_groups, a_refusal_names_the_time_that_groups_need)
{
    fixture world = make_cut_world();
    refuse_detours(world, 100, [](const std::string&) { return true; });
    const command_list end = refuse_detours(world, 101, [](const std::string&) { return true; });
    const auto* refused = first<refuse>(end);
    cr_assert(refused != nullptr && refused->ran == ran_state::no);
    cr_assert_geq(refused->retry_after->count(), 2'000);
}

// Failure: the same, until one server is back. Guards against a loss that outlasts the servers.
Test(lost_groups, one_server_in_reach_ends_a_loss_for_all)
{
    fixture world = make_cut_world();
    lose_for_all(world);
    std::set<std::string> dark = all_groups;
    dark.erase("group-5");
    const command_list out = pass_with_dark(world, 3s, dark);
    bool reached = false;
    for (const command& each : out) {
        if (const auto* changed = std::get_if<reach_changed>(&each); changed != nullptr)
            reached = changed->state == reach_state::reached;
    }
    cr_assert(reached);
}

// Failure: groups are lost while this node's connections fail. Guards against refusing a request
// that no other node takes although a server of this node is left.
Test(lost_groups, a_request_that_no_node_takes_returns_to_a_sound_server)
{
    fixture world = make_world();
    command_list out = world.chat(1);
    for (int failures = 0; failures < 2; ++failures) {
        const send_attempt sent = *first<send_attempt>(out);
        cr_assert(!sent.relayed);
        out =
            world.send(attempt_failed{sent.request, sent.attempt, attempt_failure::not_connected});
    }
    for (int asked = 0; asked < 3; ++asked) {
        const send_attempt sent = *first<send_attempt>(out);
        cr_assert(sent.relayed.has_value());
        out = world.send(no_server_either(sent));
    }
    const auto* sent = first<send_attempt>(out);
    cr_assert(sent != nullptr && !sent->relayed, "three groups have not failed");
    cr_assert_eq(world.core.counters().detours_returned, 1U);
}

// Failure: some groups are lost and this node is cut off from the others. Guards against a cut that
// is missed, or that never ends, because of the losses.
Test(lost_groups, a_cut_among_losses_is_found_and_its_end_too)
{
    fixture world = make_cut_world();
    const std::set<std::string> dark{"group-1", "group-2", "group-4"};
    pass_with_dark(world, 4s, dark);
    cr_assert_not(world.core.cut_off());
}

// Failure: silent groups whose manager has ended them. Guards against evidence from servers that
// are known to be lost.
Test(lost_groups, ended_groups_prove_nothing_about_the_links)
{
    server_reach reach;
    const auto hash = [](const std::string& name) { return hash64(name); };
    const std::vector<std::uint64_t> before{hash("1"), hash("2"), hash("3"), hash("4")};
    const std::vector<std::uint64_t> after{hash("3"), hash("4")};
    reach.note_servers(before);
    reach.note_silent("1", before.size());
    reach.note_silent("2", before.size());
    reach.note_servers(after);
    reach.note_silent("3", after.size());
    cr_assert_not(reach.in_doubt());
}

// Load: the node's own link is full, as while it passes a large configuration on to its neighbours,
// and no connection opens in time. Guards against taking that for a cut from the servers.
Test(lost_groups, a_node_whose_link_is_full_is_not_cut_off)
{
    fixture world = make_world();
    send_requests(world, 30, all_groups);
    std::set<std::string> full = all_groups;
    full.insert(everything);
    const command_list out = pass_with_dark(world, 500ms, full);
    cr_assert_gt(count<probe_server>(out), 0U);
    cr_assert_not(world.core.cut_off());
    cr_assert_eq(world.core.counters().detours, 0U);
    pass_with_dark(world, 3s, full);
    cr_assert(world.core.cut_off(), "others take its duties over if it lasts");
}

// Failure: most nodes are cut off from all servers, and one is not. Guards against nodes that are
// cut off alike outvoting the one that serves.
Test(lost_groups, nodes_that_are_cut_off_alike_do_not_end_the_detours)
{
    fixture world = make_cut_world();
    const std::size_t served = served_through(world, 10, "a-2");
    cr_expect(world.core.cut_off());
    cr_assert_geq(served, 9U);
}

// Failure: no node reaches a server, then one does. Guards against nodes that go on refusing
// although another one can serve for them again.
Test(lost_groups, a_node_that_reaches_servers_again_is_found)
{
    fixture world = make_cut_world();
    lose_for_all(world);
    const std::size_t served = served_through(world, 100, "b-2");
    cr_expect(world.core.cut_off());
    cr_assert_geq(served, 40U);
}

// Failure: no node reaches a server. Guards against detours that grow with the requests while no
// node can help.
Test(lost_groups, few_requests_ask_again_while_no_node_can_help)
{
    fixture world = make_cut_world();
    lose_for_all(world);
    const std::uint64_t before = world.core.counters().detours;
    for (std::uint64_t id = 100; id < 300; ++id) {
        refuse_detours(world, id, [](const std::string&) { return true; });
        world.pass(10ms);
    }
    const std::uint64_t asked = world.core.counters().detours - before;
    cr_expect_gt(asked, 0U);
    cr_assert_leq(asked, 40U, "%zu in two seconds", std::size_t(asked));
}

// Failure: no node reaches a server. Guards against holding a request until its deadline when it is
// known that nobody can serve it.
Test(lost_groups, a_request_that_no_node_can_serve_is_refused_at_once)
{
    fixture world = make_cut_world();
    lose_for_all(world);
    refuse_detours(world, 100, [](const std::string&) { return true; }); // asks again
    const command_list end = world.chat(101);
    const auto* refused = first<refuse>(end);
    cr_assert(refused != nullptr && refused->ran == ran_state::no);
    cr_assert_geq(refused->retry_after->count(), 2'000);
}

// Failure: a node has no tables yet, as after a return of all. Guards against taking its refusal
// for the news that it reaches no server.
Test(lost_groups, a_node_that_refuses_for_another_reason_says_nothing_about_servers)
{
    fixture world = make_cut_world();
    for (std::uint64_t id = 100; id < 120; ++id) {
        command_list out = world.chat(id);
        for (const auto* sent = first<send_attempt>(out); sent != nullptr && sent->relayed;
             sent = first<send_attempt>(out))
        {
            attempt_head head = no_server_either(*sent);
            head.refusal->reaches_no_server = false;
            out = world.send(head);
        }
        world.pass(100ms);
    }
    cr_assert(world.core.cut_off());
}

namespace {

/// Requests and callers of a node whose servers hang, while another node answers after a while.
class hanging_world {
public:
    /// `opens`: servers open connections while they hang; `nodes_answer`: other nodes are answered.
    explicit hanging_world(fixture start, bool opens = false, bool nodes_answer = true)
        : m_world{std::move(start)}, m_dark{opens ? std::set<std::string>{} : all_groups},
          m_nodes_answer{nodes_answer}
    {}

    void run(duration time, int requests_per_step)
    {
        for (duration passed{0}; passed < time; passed += 10ms) {
            for (int sent = 0; sent < requests_per_step; ++sent) {
                m_callers.emplace_back(m_world.now + patience, request_id{++m_last_id});
                take(m_world.chat(m_last_id));
            }
            take(pass_with_dark(m_world, 10ms, m_dark));
            for (; is_due(m_at_nodes); m_at_nodes.pop_front())
                answered += answer(m_world, m_at_nodes.front().second);
            for (; is_due(m_stalling); m_stalling.pop_front()) {
                const send_attempt& sent = m_stalling.front().second;
                take(m_world.send(
                    attempt_failed{sent.request, sent.attempt, attempt_failure::stalled}));
            }
            for (; is_due(m_callers); m_callers.pop_front())
                m_world.send(caller_gone{m_callers.front().second});
        }
    }

    [[nodiscard]] bool cut_off() const { return m_world.core.cut_off(); }

    std::size_t refused = 0; ///< since this node has too many requests
    std::size_t answered = 0;

private:
    static constexpr duration time_to_answer = 300ms;
    static constexpr duration time_to_stall = 600ms;
    static constexpr std::uint64_t stalled_every = 10; // the others hang
    static constexpr duration patience = 1'200ms;

    template <class What>
    bool is_due(const std::deque<std::pair<time_point, What>>& waiting) const
    {
        return !waiting.empty() && waiting.front().first <= m_world.now;
    }

    void take(const command_list& out)
    {
        for (const command& each : out) {
            const auto* refusal = std::get_if<refuse>(&each);
            if (refusal != nullptr && refusal->failure.kind == error_kind::overloaded)
                ++refused;
            const auto* sent = std::get_if<send_attempt>(&each);
            if (sent != nullptr && sent->relayed && m_nodes_answer)
                m_at_nodes.emplace_back(m_world.now + time_to_answer, *sent);
            else if (sent != nullptr && !sent->relayed) {
                m_world.send(attempt_sent{sent->request, sent->attempt});
                if (sent->request.value() % stalled_every == 0)
                    m_stalling.emplace_back(m_world.now + time_to_stall, *sent);
            }
        }
    }

    fixture m_world;
    std::set<std::string> m_dark;
    bool m_nodes_answer;
    std::deque<std::pair<time_point, send_attempt>> m_at_nodes;
    std::deque<std::pair<time_point, send_attempt>> m_stalling;
    std::deque<std::pair<time_point, request_id>> m_callers;
    std::uint64_t m_last_id = 0;
};

} // namespace

// Failure: this node loses its links to all servers, which hang. Guards against a limit on open
// requests that is learned from requests at those servers and refuses what other nodes can serve.
Test(lost_groups, requests_that_a_cut_made_late_do_not_limit_those_of_other_nodes)
{
    hanging_world world{make_world()};
    world.run(600ms, 4);
    world.run(400ms, 1);
    cr_expect(world.cut_off());
    world.refused = 0;
    world.run(2s, 1);
    cr_assert_eq(world.refused, 0U, "%zu of 200 refused", world.refused);
}

// Failure: the same right after a start, when the limit is low. Guards against requests that hang
// at servers out of reach taking its places from those that other nodes can serve.
Test(lost_groups, a_node_that_starts_cut_off_passes_its_requests_on)
{
    core_settings settings = fixture::default_settings();
    settings.started_again = true;
    hanging_world world{make_world(settings)};
    world.run(1s, 1);
    cr_expect(world.cut_off());
    world.refused = 0;
    world.run(2s, 1);
    cr_assert_eq(world.refused, 0U, "%zu of 200 refused", world.refused);
}

// Failure: this node is cut off by something that opens its connections and passes nothing. Guards
// against taking an open connection for a server in reach.
Test(lost_groups, servers_that_only_open_connections_while_others_are_answered_are_a_cut)
{
    hanging_world world{make_world(), true};
    world.run(2s, 1);
    cr_expect(world.cut_off());
    const std::size_t before = world.answered;
    world.run(1s, 1);
    cr_assert_geq(world.answered - before, 95U);
}

// Failure: all servers are paused, which open connections, too. Guards against taking that for a
// cut.
Test(lost_groups, servers_that_are_silent_for_all_nodes_are_no_cut)
{
    hanging_world world{make_world(), true, false};
    world.run(3s, 1);
    cr_assert_not(world.cut_off());
}

// Failure: the first of these ends. Guards against a cut that never ends, or ends with a
// connection.
Test(lost_groups, a_response_ends_the_cut_of_open_connections)
{
    server_reach reach;
    for (const char* server : {"1", "2", "3"})
        reach.note_silent(server, 6);
    reach.note_probe("4", true, 6);
    cr_assert(reach.asks_others());
    reach.note_served_elsewhere();
    cr_assert_not(reach.cut_off());
    reach.note_served_elsewhere();
    cr_assert(reach.cut_off() && reach.needs_response());
    reach.note_probe("4", true, 6);
    reach.note_probe("5", true, 6);
    cr_assert(reach.state() == reach_state::reached && !reach.asks_others());
}
