// Tests of the choice of followers with the nodes of one failure domain on a simulated clock. The
// nodes call a store that some of them can't reach, and push to each other without loss.
#include "peers/store_followers.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <set>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

/// How the store responds to a node.
enum class store_access {
    answers,
    refuses, ///< resets or rejects: the call fails at once
    hangs,   ///< no response: the call fails when it times out
};

class domain {
public:
    explicit domain(std::size_t nodes)
    {
        std::vector<node_id> names;
        for (std::size_t index = 0; index < nodes; ++index)
            names.emplace_back("node-" + std::to_string(index));
        for (const node_id& name : names) {
            m_nodes.push_back({name, store_followers{{.self = name}}});
            m_nodes.back().followers.members_changed(names);
        }
    }

    /// The nodes in the order of their ranks.
    [[nodiscard]] std::vector<std::size_t> ranked() const
    {
        std::vector<std::size_t> order(m_nodes.size());
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            order[m_nodes[index].followers.rank()] = index;
        return order;
    }

    void set_store_access(std::size_t node, store_access now) { m_nodes[node].store = now; }
    void kill(std::size_t node) { m_nodes[node].alive = false; }
    /// Time of a call that has news; by default the store answers at once.
    void set_call_time(duration time) { m_call_time = time; }

    /// Changes the store. Returns the time until all live nodes, except those in `skipped_nodes`,
    /// know the change.
    duration propagation_time(const std::set<std::size_t>& skipped_nodes)
    {
        ++m_change;
        const time_point start = m_now;
        const auto all_know = [&] {
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                const bool counts = m_nodes[index].alive && !skipped_nodes.contains(index);
                if (counts && m_nodes[index].known < m_change)
                    return false;
            }
            return true;
        };
        while (!all_know() && m_now - start < 20s)
            step();
        return m_now - start;
    }

    void run(duration time)
    {
        for (const time_point until = m_now + time; m_now < until;)
            step();
    }

    [[nodiscard]] std::size_t calls() const { return m_calls; }
    [[nodiscard]] std::size_t following() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_nodes.begin(), m_nodes.end(), [](const node& one) { return one.called_until; }));
    }

private:
    static constexpr duration step_time = 10ms;
    static constexpr duration wait = 1s;    ///< of a call without a change
    static constexpr duration timeout = 2s; ///< of a call without a response
    static constexpr duration push_interval = 400ms;

    struct node {
        node_id name;
        store_followers followers;
        store_access store = store_access::answers;
        bool alive = true;
        int known = 0;                          ///< last known change
        std::optional<time_point> called_until; ///< end of the current call, if any
        time_point called;
        time_point next_call{};
        time_point pushed{};
    };
    struct push {
        time_point arrival;
        node_id from;
        duration age;
        int known = 0;
    };

    void step()
    {
        m_now += step_time;
        for (node& one : m_nodes) {
            if (one.alive)
                step_node(one);
        }
        while (!m_pushes.empty() && m_pushes.front().arrival <= m_now) {
            for (node& one : m_nodes) {
                if (one.alive && one.name != m_pushes.front().from) {
                    one.followers.push_received(m_pushes.front().from, m_pushes.front().age, m_now);
                    one.known = std::max(one.known, m_pushes.front().known);
                }
            }
            m_pushes.pop_front();
        }
    }

    void step_node(node& one)
    {
        const bool should_follow = one.followers.should_follow(m_now);
        if (!one.called_until && should_follow && m_now >= one.next_call) {
            ++m_calls;
            one.called = m_now;
            one.called_until = m_now + (one.store == store_access::answers ? wait : timeout);
        }
        if (one.called_until)
            update_call(one);
        const std::optional<duration> age = one.followers.store_age(m_now);
        if (age && m_now - one.pushed >= push_interval)
            push_to_domain(one, *age);
    }

    void update_call(node& one)
    {
        const bool changed = one.known < m_change;
        const bool finished = m_now >= *one.called_until;
        const bool news = m_now - one.called >= m_call_time && (changed || m_call_time > 0ms);
        if (one.store == store_access::answers && (news || finished)) {
            one.called_until.reset();
            one.known = m_change;
            one.followers.store_answered(m_now);
            push_to_domain(one, duration{0});
        }
        else if (one.store == store_access::refuses ||
                 (one.store == store_access::hangs && finished)) {
            one.called_until.reset();
            one.next_call = m_now + 800ms;
            one.followers.store_failed(m_now);
        }
    }

    void push_to_domain(node& one, duration age)
    {
        one.pushed = m_now;
        m_pushes.push_back({m_now + step_time, one.name, age, one.known});
    }

    time_point m_now{std::chrono::hours{1}};
    std::vector<node> m_nodes;
    std::deque<push> m_pushes;
    int m_change = 0;
    std::size_t m_calls = 0;
    duration m_call_time{0};
};

/// Time within which all nodes must know a change: the shortest time that operators require for a
/// change to be in force, less the time for a full read.
constexpr duration max_propagation_time = 2s + 700ms;

constexpr std::array sizes{4U, 24U, 82U};

} // namespace

// Without faults exactly two nodes must follow the store, whatever the size of the domain, so that
// the number of calls does not grow with it. A change must reach all nodes within 100 ms.
Test(store_followers, two_nodes_follow_at_any_domain_size)
{
    for (const std::size_t size : sizes) {
        domain simulation{size};
        simulation.run(10s);
        cr_assert_eq(simulation.following(), 2U);
        cr_assert_leq(simulation.calls(), 2 * 10 + 2 * size,
                      "two calls per second, plus the calls at the start");
        cr_assert_lt(simulation.propagation_time({}), 100ms);
    }
}

// Both followers are alive but can't reach the store. Guards against neighbours that keep outdated
// tables because they still receive frames from the followers.
Test(store_followers, a_change_reaches_all_nodes_when_no_follower_reaches_the_store)
{
    for (const std::size_t size : sizes) {
        for (const store_access failure : {store_access::refuses, store_access::hangs}) {
            domain simulation{size};
            simulation.run(10s);
            const std::vector<std::size_t> order = simulation.ranked();
            simulation.set_store_access(order[0], failure);
            simulation.set_store_access(order[1], failure);
            cr_assert_lt(simulation.propagation_time({order[0], order[1]}), max_propagation_time,
                         "%zu nodes", size);
            simulation.run(3s);
            cr_assert_lt(simulation.propagation_time({}), max_propagation_time,
                         "their neighbours push to the nodes without access");
        }
    }
}

// Guards against a stand-in that waits after a failure that was due to its connection alone.
Test(store_followers, a_stand_in_tries_again_at_once_after_a_single_failure)
{
    const std::vector<node_id> names{node_id{"a"}, node_id{"b"}, node_id{"c"}};
    for (const node_id& name : names) {
        store_followers followers{{.self = name}};
        followers.members_changed(names);
        time_point now{1h};
        followers.store_answered(now);
        now += 1'600ms;
        if (followers.rank() < 2)
            continue;
        cr_assert(followers.should_follow(now));
        followers.store_failed(now += 1s);
        cr_assert(followers.should_follow(now));
        followers.store_failed(now += 1s);
        cr_assert_not(followers.should_follow(now + 1s), "the store turns it away");
        cr_assert(followers.should_follow(now + 2s));
    }
}

// Both followers crash. Stand-ins must take over in time for a change to reach all nodes.
Test(store_followers, a_change_reaches_all_nodes_when_all_followers_are_dead)
{
    for (const std::size_t size : sizes) {
        domain simulation{size};
        simulation.run(10s);
        const std::vector<std::size_t> order = simulation.ranked();
        simulation.kill(order[0]);
        simulation.kill(order[1]);
        cr_assert_lt(simulation.propagation_time({}), max_propagation_time, "%zu nodes", size);
    }
}

// The store rejects calls of the third of the nodes with the lowest ranks, which includes both
// followers and, in larger domains, the first stand-ins. Another node must stand in before a change
// is overdue, and the rejected nodes must not overload the store with retries.
Test(store_followers, a_change_reaches_all_nodes_when_the_first_third_is_refused)
{
    for (const std::size_t size : sizes) {
        domain simulation{size};
        simulation.run(10s);
        const std::vector<std::size_t> order = simulation.ranked();
        for (std::size_t rank = 0; rank < (size + 2) / 3; ++rank)
            simulation.set_store_access(order[rank], store_access::refuses);
        cr_assert_lt(simulation.propagation_time({}), max_propagation_time, "%zu nodes", size);
        const std::size_t before = simulation.calls();
        simulation.run(10s);
        // The two followers retry every 0.8 s, one or a few nodes stand in, and rejected nodes
        // retry when no other node is fresh.
        cr_assert_leq(simulation.calls() - before, 2 * 13 + 2 * 10 + 2 * size);
    }
}

// Stand-ins must stop when the store answers the permanent followers again.
Test(store_followers, stand_ins_stop_when_a_follower_recovers)
{
    for (const std::size_t size : sizes) {
        domain simulation{size};
        const std::vector<std::size_t> order = simulation.ranked();
        simulation.set_store_access(order[0], store_access::refuses);
        simulation.set_store_access(order[1], store_access::refuses);
        simulation.run(10s);
        simulation.set_store_access(order[0], store_access::answers);
        simulation.set_store_access(order[1], store_access::answers);
        simulation.run(5s);
        cr_assert_eq(simulation.following(), 2U, "%zu nodes", size);
    }
}

// No node reaches the store. If all nodes kept calling it, the calls would overload it on its
// return.
Test(store_followers, an_outage_costs_few_calls)
{
    for (const std::size_t size : sizes) {
        domain simulation{size};
        simulation.run(10s);
        const std::vector<std::size_t> order = simulation.ranked();
        for (const std::size_t node : order)
            simulation.set_store_access(node, store_access::refuses);
        const std::size_t before = simulation.calls();
        simulation.run(8s);
        cr_assert_leq(simulation.calls() - before, 2 * 10 + 4 * size);
        for (const std::size_t node : order)
            simulation.set_store_access(node, store_access::answers);
        cr_assert_lt(simulation.propagation_time({}), 1s);
    }
}

// Load: each read of everything by a stand-in costs the store like any other call, on all failure
// domains at once. The store fails for a moment and answers again. Guards against a domain whose
// nodes all read everything since the first stand-in has not been heard of yet.
Test(store_followers, few_nodes_stand_in_when_the_store_answers_again)
{
    for (const std::size_t size : sizes) {
        domain simulation{size};
        simulation.run(10s);
        const std::vector<std::size_t> order = simulation.ranked();
        for (const std::size_t node : {order[0], order[1]})
            simulation.set_store_access(node, store_access::hangs);
        simulation.set_call_time(200ms);
        std::size_t most = 0;
        for (int steps = 0; steps < 500; ++steps) {
            simulation.run(10ms);
            most = std::max(most, simulation.following());
        }
        cr_assert_leq(most, 2U + 1U, "the followers that fail, and one stand-in");
    }
}
