// Tests of the key relay in a small simulated network: nodes in failure domains, lost messages, and
// a platform whose changes only watchers receive.
#include "peers/key_relay.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <set>

using namespace jaynotch;

namespace {

struct node {
    node_id name;
    std::string domain;
    key_relay_core core;
    bool up = true;
    std::size_t sent = 0; ///< number of messages
};

struct in_flight_message {
    node_id to;
    key_message message;
};

/// The nodes, the messages between them, and the platform's keys.
class network {
public:
    network(std::size_t nodes, std::size_t domains, std::uint64_t seed,
            bool platform_reachable = true)
        : platform_unreachable{!platform_reachable}, m_random{seed}
    {
        for (std::size_t i = 0; i < nodes; ++i)
            add("n" + std::to_string(i), "d" + std::to_string(i % domains));
        members_changed();
    }

    void add(const std::string& name, const std::string& domain)
    {
        key_relay_settings settings;
        settings.self = node_id{name};
        m_nodes.push_back(
            {node_id{name}, domain, key_relay_core{settings, random_source{m_random.bits()}}});
    }

    void members_changed()
    {
        std::vector<node_id> all;
        for (const node& each : m_nodes) {
            if (each.up)
                all.push_back(each.name);
        }
        for (node& each : m_nodes) {
            std::vector<node_id> own;
            for (const node& other : m_nodes) {
                if (other.up && other.domain == each.domain)
                    own.push_back(other.name);
            }
            run(each, each.core.members_changed(own, all));
        }
    }

    /// Writes a value to the platform. Watchers receive it unless the platform is unreachable.
    void write(const std::string& key, std::int64_t revision, const std::string& more = "")
    {
        m_platform[key] = {key, revision, key + "@" + std::to_string(revision) + more};
        if (platform_unreachable)
            return;
        for (node& each : m_nodes) {
            if (each.up && each.core.watching())
                run(each, each.core.key_changed(m_now, m_platform[key]));
        }
    }

    /// A node reads the whole platform, as it does at its start.
    void read_platform(std::size_t index)
    {
        node& reader = m_nodes[index];
        for (const auto& [key, entry] : m_platform)
            run(reader, reader.core.read(entry));
        reader.core.platform_read();
    }

    void step(duration by = std::chrono::milliseconds{100})
    {
        m_now += by;
        for (node& each : m_nodes) {
            if (each.up)
                run(each, each.core.tick(m_now));
        }
        deliver();
    }

    void steps(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            step();
    }

    bool all_nodes_have(const std::string& key, std::int64_t revision) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const node& each) {
            const auto found = each.core.keys().find(key);
            return !each.up ||
                   (found != each.core.keys().end() && found->second.revision >= revision);
        });
    }

    std::vector<node>& nodes() { return m_nodes; }

    double loss = 0.0;
    bool platform_unreachable;
    std::string partitioned_domain; ///< its messages to and from other domains are lost
    bool revision_decreased = false;

private:
    void run(node& from, const key_relay_commands& commands)
    {
        for (const key_relay_command& command : commands) {
            if (const auto* message = std::get_if<send_key_message>(&command)) {
                ++from.sent;
                m_in_flight.push_back({message->to, {from.name, message->body}});
            }
            else if (const auto* announced = std::get_if<announce_key>(&command))
                announce(from, announced->notice);
            else if (const auto* updated = std::get_if<key_updated>(&command)) {
                std::int64_t& highest = m_highest[from.name][updated->entry.key];
                revision_decreased = revision_decreased || updated->entry.revision <= highest;
                highest = updated->entry.revision;
            }
            else if (const auto* change = std::get_if<watch_keys>(&command)) {
                for (const auto& [key, entry] : m_platform) {
                    if (change->on && !platform_unreachable)
                        run(from, from.core.key_changed(m_now, entry));
                }
                if (change->on && !platform_unreachable)
                    from.core.platform_read();
            }
        }
    }

    void announce(const node& from, const key_notice& notice)
    {
        for (node& each : m_nodes) {
            if (each.up && each.name != from.name && !lost(from, each))
                run(each, each.core.notice_received(m_now, notice));
        }
    }

    bool lost(const node& from, const node& to)
    {
        const bool partitioned = from.domain != to.domain && (from.domain == partitioned_domain ||
                                                              to.domain == partitioned_domain);
        return partitioned || m_random.chance(loss);
    }

    void deliver()
    {
        std::deque<in_flight_message> now;
        now.swap(m_in_flight);
        for (const in_flight_message& each : now) {
            const auto by_name = [&](const node_id& name) {
                return std::find_if(m_nodes.begin(), m_nodes.end(),
                                    [&](const node& one) { return one.name == name; });
            };
            const auto from = by_name(each.message.from);
            const auto to = by_name(each.to);
            if (to->up && !lost(*from, *to))
                run(*to, to->core.message_received(m_now, each.message));
        }
    }

    random_source m_random;
    time_point m_now{std::chrono::seconds{100}};
    std::vector<node> m_nodes;
    std::deque<in_flight_message> m_in_flight;
    std::map<std::string, relayed_key> m_platform;
    std::map<node_id, std::map<std::string, std::int64_t>> m_highest;
};

} // namespace

// Exactly two nodes of each failure domain must watch the platform. Otherwise the number of calls
// to the platform would grow with the fleet.
Test(key_relay, two_nodes_of_each_domain_watch_at_any_size)
{
    for (const std::size_t nodes : {2U, 4U, 12U, 60U, 410U}) {
        network net{nodes, 2, 1};
        const auto watching = std::count_if(net.nodes().begin(), net.nodes().end(),
                                            [](const node& each) { return each.core.watching(); });
        cr_assert_eq(watching, static_cast<std::ptrdiff_t>(std::min<std::size_t>(nodes, 4)));
    }
}

// A fifth of all messages is lost while a value is written. Most nodes must get it within two
// seconds, and the rest after the loss ends.
Test(key_relay, a_value_reaches_most_nodes_within_two_seconds_despite_message_loss)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        network net{40, 4, seed};
        net.steps(20);
        net.loss = 0.2;
        net.write("r1", 5);
        net.steps(20);
        const auto missing =
            std::count_if(net.nodes().begin(), net.nodes().end(),
                          [](const node& n) { return !n.core.keys().contains("r1"); });
        // Nodes that did not receive the rumor get the value with their next comparison.
        cr_assert(missing <= 12, "seed %lu: %ld of 40 nodes without the value", seed, missing);
        net.loss = 0.0;
        net.steps(400);
        cr_assert(net.all_nodes_have("r1", 5), "seed %lu", seed);
    }
}

// An entry VM is replaced during an outage of the platform. The new node can't read any record and
// would refuse all requests although all groups serve. It must get the records from a peer.
Test(key_relay, a_node_started_during_an_outage_gets_all_keys_from_a_peer)
{
    network net{4, 3, 7};
    for (int i = 0; i < 30; ++i)
        net.write("r" + std::to_string(i), 10 + i);
    net.steps(30);
    net.platform_unreachable = true;
    net.nodes()[3].up = false;
    net.add("fresh", "d1");
    net.members_changed();
    net.steps(15);
    cr_assert_eq(net.nodes().back().core.keys().size(), 30);
}

// Guards against a failure domain that gets nothing from the others: all its nodes have started
// together, and the platform has answered none of them.
Test(key_relay, nodes_without_tables_get_them_from_another_failure_domain)
{
    network net{6, 2, 7, false};
    for (int i = 0; i < 30; ++i)
        net.write("r" + std::to_string(i), 10 + i);
    net.read_platform(0);
    net.steps(30);
    for (const node& each : net.nodes()) {
        cr_assert_eq(each.core.keys().size(), 30U, "%s", each.name.value().c_str());
        cr_assert(each.core.synced());
    }
}

// Guards against nodes that ask those without tables for seconds, beside one that has told them
// that it has read everything.
Test(key_relay, a_node_that_announces_a_reading_is_asked_next)
{
    key_relay_core relay{{.self = node_id{"n0"}}, random_source{3}};
    std::vector<node_id> all;
    for (int i = 0; i < 50; ++i)
        all.emplace_back("n" + std::to_string(i));
    relay.members_changed(all, all);
    const time_point now{std::chrono::hours{1}};
    key_reply announcement;
    announcement.reading_took = std::chrono::milliseconds{800};
    relay.message_received(now, {node_id{"n7"}, announcement});
    const key_relay_commands asked = relay.tick(now);
    cr_assert_eq(asked.size(), 1U);
    cr_assert_eq(std::get<send_key_message>(asked.front()).to.value(), "n7");
}

// The same with so many records that they need several replies. Guards against a new node that
// waits for the next comparison, 20 s later, before it requests the rest.
Test(key_relay, a_node_started_during_an_outage_gets_a_thousand_keys_within_five_seconds)
{
    network net{24, 1, 7};
    for (int i = 0; i < 1'100; ++i)
        net.write("r" + std::to_string(i), 10 + i, std::string(600, 'v'));
    net.steps(1'000);
    cr_assert(net.all_nodes_have("r1099", 10 + 1'099));
    net.platform_unreachable = true;
    net.nodes()[3].up = false;
    net.add("fresh", "d0");
    net.members_changed();
    net.steps(50);
    cr_assert_eq(net.nodes().back().core.keys().size(), 1'100U);
}

// Both watchers of a domain crash. Other nodes of the domain must become watchers.
Test(key_relay, dead_watchers_are_replaced)
{
    network net{10, 1, 3};
    for (node& each : net.nodes()) {
        if (each.core.watching())
            each.up = false;
    }
    net.members_changed();
    net.write("r", 2);
    net.steps(10);
    cr_assert(net.all_nodes_have("r", 2));
}

// During an outage of the platform and a partition, one node of a domain gets a new key and its
// rumor is lost. The other nodes of the domain must get the key by comparison.
Test(key_relay, a_partitioned_domain_catches_up_by_comparison)
{
    network net{12, 3, 9};
    net.steps(10);
    net.platform_unreachable = true;
    net.partitioned_domain = "d0";
    const auto in_domain = [&](const std::string& domain) -> node& {
        return *std::find_if(net.nodes().begin(), net.nodes().end(),
                             [&](const node& each) { return each.domain == domain; });
    };
    (void)in_domain("d0").core.key_changed(time_point{std::chrono::seconds{200}}, {"a", 3, "v"});
    net.steps(1800); // three minutes, with a comparison with a random peer about every 20 s
    std::size_t have = 0;
    for (const node& each : net.nodes())
        have += each.core.keys().contains("a") ? 1 : 0;
    cr_assert_eq(have, 4, "%zu nodes of the partitioned domain have the key", have);
    net.partitioned_domain.clear();
    net.platform_unreachable = false;
    net.write("a", 4);
    net.steps(20);
    cr_assert(net.all_nodes_have("a", 4));
}

// A notice announces a revision that no node has, because it was forged or its origin crashed.
// Requests for it must end. Otherwise each such notice would cost every node two messages per
// second for ever.
Test(key_relay, requests_for_a_nonexistent_revision_end)
{
    network net{4, 1, 11};
    net.steps(20);
    for (node& each : net.nodes())
        (void)each.core.notice_received(time_point{std::chrono::seconds{102}},
                                        {wire_key("ghost"), 99, {}});
    std::size_t before = 0;
    for (const node& each : net.nodes())
        before += each.sent;
    net.steps(600);
    std::size_t after = 0;
    for (const node& each : net.nodes())
        after += each.sent;
    // Per node twelve requests and replies, and a comparison and its reply about every 20 s.
    cr_assert(after - before < 4 * (2 * 12 + 2 * 8), "%zu messages", after - before);
}

// Random sequences of message loss, outages of the platform, partitions, crashes and writes. No
// node's revision of a key may decrease, and after all faults end, every node must get the newest
// value of each key.
Test(key_relay, random_histories_never_lower_revisions_and_converge)
{
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        random_source random{seed};
        network net{6 + random.index(20), 1 + random.index(4), seed};
        std::int64_t revision = 0;
        for (int step = 0; step < 300; ++step) {
            net.loss = random.chance(0.3) ? 0.5 : 0.0;
            net.platform_unreachable = random.chance(0.2);
            net.partitioned_domain = random.chance(0.2) ? "d0" : "";
            if (random.chance(0.1)) {
                node& victim = net.nodes()[random.index(net.nodes().size())];
                victim.up = !victim.up;
                net.members_changed();
            }
            if (random.chance(0.3))
                net.write("r" + std::to_string(random.index(5)), ++revision);
            net.step();
        }
        for (node& each : net.nodes())
            each.up = true;
        net.loss = 0.0;
        net.platform_unreachable = false;
        net.partitioned_domain.clear();
        net.members_changed();
        for (int i = 0; i < 5; ++i)
            net.write("r" + std::to_string(i), ++revision);
        net.steps(500);
        for (int i = 0; i < 5; ++i)
            cr_assert(net.all_nodes_have("r" + std::to_string(i), revision - 4 + i), "seed %lu",
                      seed);
        cr_assert(!net.revision_decreased, "seed %lu", seed);
    }
}

namespace {

/// A core with two neighbours. The test delivers its messages.
key_relay_core make_core(const std::string& name)
{
    key_relay_settings settings;
    settings.self = node_id{name};
    key_relay_core made{settings, random_source{1}};
    const std::vector<node_id> own{node_id{"n0"}, node_id{"n1"}, node_id{"n2"}};
    made.members_changed(own, own);
    return made;
}

/// The bodies of the messages to a node.
std::vector<key_body> bodies_sent_to(const std::string& name, const key_relay_commands& commands)
{
    std::vector<key_body> bodies;
    for (const key_relay_command& one : commands) {
        const auto* message = std::get_if<send_key_message>(&one);
        if (message != nullptr && message->to == node_id{name})
            bodies.push_back(message->body);
    }
    return bodies;
}

bool reports_fresh_neighbour(const key_relay_commands& commands)
{
    return std::any_of(commands.begin(), commands.end(), [](const key_relay_command& one) {
        return std::holds_alternative<neighbour_fresh>(one);
    });
}

} // namespace

// A watcher receives a change from a peer of another domain before it receives it from the
// platform, whose report is not new then. Guards against neighbours that never get the change.
Test(key_relay, keys_received_from_peers_are_pushed_too)
{
    const time_point now{std::chrono::hours{1}};
    key_relay_core watcher = make_core("n0");
    watcher.push({});
    watcher.message_received(now, {node_id{"far"}, key_reply{{{"config", 7, "v"}}, {}, {}, false}});
    watcher.key_changed(now, {"config", 7, "v"});
    const auto count_pushed = [&] {
        const std::vector<key_body> bodies = bodies_sent_to("n1", watcher.push({}));
        return std::get<key_reply>(bodies.at(0)).entries.size();
    };
    cr_assert_eq(count_pushed(), 1U);
    watcher.message_received(
        now, {node_id{"n2"}, key_reply{{{"config", 8, "v"}}, duration{0}, 1, false}});
    cr_assert_eq(count_pushed(), 1U, "the other watcher may not know all neighbours");
    cr_assert_eq(count_pushed(), 0U);
}

// When a fleet starts, every node reads all entries. If these were announced and pushed, each node
// would get them again from both watchers, which is megabytes during its start.
Test(key_relay, a_full_read_is_compared_not_pushed)
{
    const time_point now{std::chrono::hours{1}};
    key_relay_core watcher = make_core("n0");
    key_relay_core other = make_core("n1");
    for (int index = 0; index < 100; ++index) {
        const relayed_key entry{"r" + std::to_string(index), 5 + index, "v"};
        cr_assert_eq(watcher.read(entry).size(), 1U, "only an update of this node");
        if (index != 42)
            other.read(entry);
    }
    watcher.stop_pushing();
    const std::vector<key_body> pushed = bodies_sent_to("n1", watcher.push({}));
    cr_assert(std::get<key_reply>(pushed.at(0)).entries.empty());
    const auto asked =
        bodies_sent_to("n0", other.message_received(now, {node_id{"n0"}, pushed.at(0)}));
    const auto answer =
        bodies_sent_to("n1", watcher.message_received(now, {node_id{"n1"}, asked.at(0)}));
    cr_assert_eq(std::get<key_reply>(answer.at(0)).entries.size(), 1U);
    other.message_received(now, {node_id{"n0"}, answer.at(0)});
    cr_assert(other.keys().contains("r42"));
}

// A push is lost when a connection is reset, and the next one has no entries. Guards against a
// neighbour that counts as fresh although it lacks the lost entries.
Test(key_relay, after_a_lost_push_a_neighbour_is_fresh_only_after_a_comparison)
{
    time_point now{std::chrono::hours{1}};
    key_relay_core watcher = make_core("n0");
    key_relay_core other = make_core("n1");
    const auto deliver = [&](const key_relay_commands& pushed) {
        key_relay_commands all;
        for (const key_body& body : bodies_sent_to("n1", pushed)) {
            for (key_relay_command& one : other.message_received(now, {node_id{"n0"}, body}))
                all.push_back(std::move(one));
        }
        return all;
    };
    const auto compare = [&](const key_relay_commands& asked) {
        const std::vector<key_body> request = bodies_sent_to("n0", asked);
        cr_assert_eq(request.size(), 1U);
        return deliver(watcher.message_received(now, {node_id{"n1"}, request.front()}));
    };
    const key_relay_commands first = deliver(watcher.push({}));
    cr_assert(!reports_fresh_neighbour(first), "the entries before its first push are unknown");
    compare(first);
    cr_assert(reports_fresh_neighbour(deliver(watcher.push({}))));

    watcher.key_changed(now, {"config", 7, "v"});
    watcher.push({}); // lost
    now += std::chrono::seconds{1};
    const key_relay_commands after = deliver(watcher.push({}));
    cr_assert(!reports_fresh_neighbour(after));
    compare(after);
    cr_assert(other.keys().contains("config"));
    cr_assert(reports_fresh_neighbour(deliver(watcher.push({}))));

    watcher.stop_pushing();
    now += std::chrono::seconds{1};
    cr_assert(!reports_fresh_neighbour(deliver(watcher.push({}))),
              "entries may be missing from its pushes");
}

// A push gets lost after its sender replied to a comparison, and a later push overtakes the reply.
// Guards against a neighbour that counts as fresh although it lacks the lost entries.
Test(key_relay, a_reply_that_a_later_push_overtakes_proves_nothing)
{
    const time_point now{std::chrono::hours{1}};
    key_relay_core watcher = make_core("n0");
    key_relay_core other = make_core("n1");
    const auto deliver = [&](const key_body& body) {
        return other.message_received(now, {node_id{"n0"}, body});
    };
    const auto push = [&] { return bodies_sent_to("n1", watcher.push({})).at(0); };
    const std::vector<key_body> asked = bodies_sent_to("n0", deliver(push()));
    const key_body reply =
        bodies_sent_to("n1", watcher.message_received(now, {node_id{"n1"}, asked.at(0)})).at(0);
    watcher.key_changed(now, {"config", 7, "v"});
    push(); // lost
    deliver(push());
    deliver(reply);
    cr_assert_not(reports_fresh_neighbour(deliver(push())));
}

// Two nodes of a domain watch the platform. The others must get each change at once, and pushes
// without entries when nothing changes, since without pushes they would watch the platform too.
Test(key_relay, a_push_sends_each_change_to_the_domain_once)
{
    key_relay_settings settings;
    settings.self = node_id{"n0"};
    key_relay_core watcher{settings, random_source{1}};
    const time_point now{std::chrono::hours{1}};
    watcher.members_changed({node_id{"n0"}, node_id{"n1"}, node_id{"n2"}},
                            {node_id{"n0"}, node_id{"n1"}, node_id{"n2"}, node_id{"far"}});
    watcher.key_changed(now, {"key", 5, "value"});
    const auto pushed_to = [](const key_relay_commands& commands) {
        std::size_t entries = 0;
        std::set<node_id> to;
        for (const key_relay_command& one : commands) {
            const auto& message = std::get<send_key_message>(one);
            to.insert(message.to);
            entries += std::get<key_reply>(message.body).entries.size();
        }
        return std::pair{to, entries};
    };
    const std::set<node_id> neighbours{node_id{"n1"}, node_id{"n2"}};
    cr_assert(pushed_to(watcher.push({})) == std::pair(neighbours, std::size_t{2}));
    cr_assert(pushed_to(watcher.push({})) == std::pair(neighbours, std::size_t{0}));
}

namespace {

std::vector<node_id> domain_of(std::size_t nodes)
{
    std::vector<node_id> names;
    for (std::size_t index = 0; index < nodes; ++index)
        names.emplace_back("n" + std::to_string(index));
    return names;
}

key_relay_core make_core_in(const std::vector<node_id>& domain, const node_id& self)
{
    key_relay_settings settings;
    settings.self = self;
    key_relay_core made{settings, random_source{1}};
    made.members_changed(domain, domain);
    return made;
}

} // namespace

// A push in a large domain goes to some neighbours, which forward it. Each neighbour must get it
// exactly once, and no node may send it to more than a few.
Test(key_relay, a_push_reaches_each_node_of_a_large_domain_once)
{
    const time_point now{std::chrono::hours{1}};
    for (const std::size_t nodes : {2U, 33U, 34U, 100U, 137U}) {
        const std::vector<node_id> domain = domain_of(nodes);
        key_relay_core pusher = make_core_in(domain, domain.front());
        pusher.key_changed(now, {"key", 5, "value"});
        std::map<node_id, std::size_t> received;
        const key_relay_commands pushed = pusher.push({});
        std::size_t most_sent = pushed.size();
        for (const key_relay_command& one : pushed) {
            const auto& direct = std::get<send_key_message>(one);
            ++received[direct.to];
            key_relay_core neighbour = make_core_in(domain, direct.to);
            std::size_t forwarded = 0;
            for (const key_relay_command& next :
                 neighbour.message_received(now, {domain.front(), direct.body})) {
                const auto* message = std::get_if<send_key_message>(&next);
                const auto* reply =
                    message == nullptr ? nullptr : std::get_if<key_reply>(&message->body);
                if (reply == nullptr)
                    continue;
                ++forwarded;
                ++received[message->to];
                cr_assert(reply->origin == domain.front());
                cr_assert(reply->forward_to.empty());
                cr_assert_eq(reply->entries.size(), 1U);
            }
            most_sent = std::max(most_sent, forwarded);
        }
        cr_assert_eq(received.size(), nodes - 1);
        cr_assert(std::all_of(received.begin(), received.end(),
                              [](const auto& each) { return each.second == 1; }));
        cr_assert_leq(most_sent, 32U, "%zu of %zu", most_sent, nodes);
    }
}

// Several nodes of a large domain push. Guards against a node whose link carries the pushes of all
// of them to its neighbours.
Test(key_relay, nodes_that_push_have_different_forwarders)
{
    constexpr std::size_t pushers = 8;
    const std::vector<node_id> domain = domain_of(100);
    std::map<node_id, std::size_t> forwarded; // pushes that the node forwards
    std::vector<std::string> names;
    for (const node_id& node : domain)
        names.push_back(node.value());
    std::sort(names.begin(), names.end());
    for (const std::size_t index : rendezvous(key_relay_settings{}.name, names, pushers)) {
        key_relay_core pusher = make_core_in(domain, node_id{names[index]});
        for (const key_relay_command& one : pusher.push({}))
            ++forwarded[std::get<send_key_message>(one).to];
    }
    for (const auto& [node, pushes] : forwarded)
        cr_assert_leq(pushes, 2U, "%s forwards %zu", node.value().c_str(), pushes);
    cr_assert_geq(forwarded.size(), 10 * (pushers - 1));
}

// Guards against a forwarded push that looks fresher than it is, or is taken for the forwarder's.
Test(key_relay, a_forwarded_push_counts_as_its_origins_and_ages_on_the_way)
{
    const time_point now{std::chrono::hours{1}};
    key_relay_core watcher = make_core("n0");
    key_relay_core forwarder = make_core("n1");
    key_relay_core receiver = make_core("n2");
    const auto push_through = [&](duration store_age) {
        key_reply pushed = std::get<key_reply>(bodies_sent_to("n2", watcher.push(store_age)).at(0));
        pushed.forward_to = {node_id{"n2"}};
        const std::vector<key_body> sent_on = bodies_sent_to(
            "n2", forwarder.message_received(now, {node_id{"n0"}, pushed, duration{20}}));
        return receiver.message_received(now, {node_id{"n1"}, sent_on.at(0), duration{3}});
    };
    const std::vector<key_body> asked = bodies_sent_to("n0", push_through(duration{0}));
    cr_assert_eq(asked.size(), 1U, "it compares with the origin");
    receiver.message_received(
        now,
        {node_id{"n0"},
         bodies_sent_to("n2", watcher.message_received(now, {node_id{"n2"}, asked.at(0)})).at(0)});
    const key_relay_commands after = push_through(duration{100});
    const auto* fresh = std::get_if<neighbour_fresh>(&after.back());
    cr_assert(fresh != nullptr);
    cr_assert(fresh->neighbour == node_id{"n0"});
    cr_assert(fresh->store_age == duration{123});
}

// Guards against entries that arrive without the word whether the store had an outage, which
// decides whether a missing server is kept.
Test(key_relay, pushes_forwarded_pushes_and_replies_tell_of_outages)
{
    const time_point now{std::chrono::hours{1}};
    key_relay_core watcher = make_core("n0");
    key_relay_core forwarder = make_core("n1");
    watcher.set_store_record(now - duration{500}, now - duration{7});
    const std::vector<key_body> pushes =
        bodies_sent_to("n2", watcher.push(duration{7}, store_record{duration{500}, duration{7}}));
    key_reply pushed = std::get<key_reply>(pushes.at(0));
    cr_assert(pushed.store && pushed.store->steady == duration{500});
    pushed.forward_to = {node_id{"n2"}};
    const std::vector<key_body> sent_on = bodies_sent_to(
        "n2", forwarder.message_received(now, {node_id{"n0"}, pushed, duration{20}}));
    const auto& forwarded = std::get<key_reply>(sent_on.at(0));
    cr_assert(forwarded.store && forwarded.store->steady == duration{520});
    cr_assert(forwarded.store->heard == duration{27});
    const std::vector<key_body> replies =
        bodies_sent_to("n2", watcher.message_received(now, {node_id{"n2"}, key_request{}}));
    const auto& reply = std::get<key_reply>(replies.at(0));
    cr_assert(reply.store && reply.store->steady == duration{500});
    cr_assert(reply.store->heard == duration{7});
}

// Load: after a failure of the store a stand-in pushes for the first time, and each neighbour that
// does not rely on it soon reads everything itself. Guards against a comparison that counts only
// with the next push.
Test(key_relay, a_comparison_makes_the_push_before_it_count)
{
    const time_point now{std::chrono::hours{1}};
    key_relay_core stand_in = make_core("n0");
    key_relay_core receiver = make_core("n1");
    stand_in.members_changed({node_id{"n0"}, node_id{"n1"}}, {node_id{"n0"}, node_id{"n1"}});
    const std::vector<key_body> pushed = bodies_sent_to("n1", stand_in.push(duration{100}));
    const key_relay_commands first =
        receiver.message_received(now, {node_id{"n0"}, pushed.at(0), duration{5}});
    cr_assert_not(reports_fresh_neighbour(first));
    const std::vector<key_body> asked = bodies_sent_to("n0", first);
    const std::vector<key_body> compared =
        bodies_sent_to("n1", stand_in.message_received(now, {node_id{"n1"}, asked.at(0)}));
    const duration later{20};
    const key_relay_commands after =
        receiver.message_received(now + later, {node_id{"n0"}, compared.at(0), duration{1}});
    cr_assert(reports_fresh_neighbour(after));
    const auto* fresh = std::get_if<neighbour_fresh>(&after.back());
    cr_assert(fresh != nullptr && fresh->store_age == duration{105} + later);
}

// Load: a configuration of 840 routes (0.24 MB) in a domain of 25 nodes with links of 20 Mbit/s.
// Guards against a follower whose requests and connections wait for seconds behind its pushes.
Test(key_relay, a_large_push_does_not_fill_the_link_of_a_follower)
{
    constexpr std::size_t nodes = 25;
    constexpr std::size_t config_bytes = 240'000;
    std::vector<node_id> domain;
    for (std::size_t index = 0; index < nodes; ++index)
        domain.emplace_back("n" + std::to_string(index));
    const time_point now{std::chrono::hours{1}};
    key_relay_core follower = make_core("n0");
    follower.members_changed(domain, domain);
    follower.push({});
    follower.key_changed(now, {"config", 5, std::string(config_bytes, 'x')});
    std::size_t sent = 0;
    std::set<node_id> reached;
    for (const key_relay_command& one : follower.push({})) {
        const auto* message = std::get_if<send_key_message>(&one);
        if (message == nullptr)
            continue;
        const auto& push = std::get<key_reply>(message->body);
        for (const relayed_key& entry : push.entries)
            sent += entry.value.size();
        reached.insert(message->to);
        reached.insert(push.forward_to.begin(), push.forward_to.end());
    }
    cr_assert_eq(reached.size(), nodes - 1);
    constexpr std::size_t bytes_of_half_a_second = 20'000'000 / 8 / 2;
    cr_assert_leq(sent, bytes_of_half_a_second);
}

// Guards against a changed configuration that waits for the next push.
Test(key_relay, an_urgent_key_is_sent_at_once_and_pushed_too)
{
    const time_point now{std::chrono::hours{1}};
    key_relay_settings settings;
    settings.self = node_id{"n0"};
    settings.is_urgent = [](std::string_view key) { return key == "config"; };
    key_relay_core watcher{settings, random_source{1}};
    watcher.members_changed(domain_of(3), domain_of(3));
    watcher.push({});
    cr_assert(bodies_sent_to("n1", watcher.key_changed(now, {"config", 5, "v"})).empty(),
              "the first value, which all nodes read when they start");
    watcher.push({});
    cr_assert(bodies_sent_to("n1", watcher.key_changed(now, {"vm", 6, "v"})).empty());
    for (const bool watched : {true, false}) {
        const relayed_key changed{"config", watched ? 7 : 8, "v"};
        const key_relay_commands sent =
            watched ? watcher.key_changed(now, changed) : watcher.read(changed);
        const std::vector<key_body> copies = bodies_sent_to("n1", sent);
        cr_assert_eq(copies.size(), 1U);
        cr_assert(std::get<key_reply>(copies.at(0)).entries.at(0) == changed);
        cr_assert_not(std::get<key_reply>(copies.at(0)).push_number.has_value());
    }
    cr_assert_eq(std::get<key_reply>(bodies_sent_to("n1", watcher.push({})).at(0)).entries.size(),
                 2U);
}

// Guards against a node that takes the answer of a peer without any values for a comparison: when
// all nodes start at once, it would not ask again for many seconds.
Test(key_relay, a_node_answered_by_peers_without_values_asks_again_soon)
{
    network net{4, 1, 1, false};
    net.write("a", 7);
    net.steps(20);
    net.read_platform(2);
    net.steps(20);
    cr_assert(net.all_nodes_have("a", 7));
}

// Guards against a value that is too large for the budget of replies and therefore never sent.
Test(key_relay, a_value_larger_than_the_reply_budget_is_handed_over)
{
    network net{2, 1, 1, false};
    const key_relay_settings limits;
    net.write(
        "a", 7,
        std::string(2 * limits.max_reply_bytes + static_cast<std::size_t>(limits.max_reply_bytes_s),
                    'x'));
    net.read_platform(0);
    net.steps(50);
    cr_assert(net.all_nodes_have("a", 7));
}
