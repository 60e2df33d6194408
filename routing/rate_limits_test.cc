// Simulates fleets of entry nodes in front of one server that names a rate limit. Responses, gossip
// and membership views are delayed; there is no network and the clock is simulated.
#include "routing/rate_limits.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <memory>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

const vm_id server{"i-limited"};
const failure_domain_id server_domain{"zone-0"};

class fleet {
public:
    fleet(std::size_t nodes, double per_second, double demand_per_node, std::uint64_t seed)
        : m_per_second{per_second}, m_demand{demand_per_node}, m_random{seed}
    {
        for (std::size_t index = 0; index < nodes; ++index)
            join();
        for (node& one : m_nodes)
            one.last_seen = views();
    }

    std::size_t join()
    {
        const std::string number = std::to_string(m_nodes.size());
        const node_id name{"node-" + number};
        m_nodes.push_back({name, failure_domain_id{"zone-" + std::to_string(m_nodes.size() % 3)},
                           std::make_unique<rate_limits>(name)});
        return m_nodes.size() - 1;
    }
    void kill(std::size_t at) { m_nodes[at].running = m_nodes[at].alive = false; }
    void restart(std::size_t at)
    {
        m_nodes[at].limits = std::make_unique<rate_limits>(m_nodes[at].name);
        m_nodes[at].running = m_nodes[at].alive = true;
        m_nodes[at].last_seen.clear();
        m_nodes[at].limit_named_at.reset();
    }
    void freeze(std::size_t at) { m_nodes[at].running = false; }
    void wake(std::size_t at) { m_nodes[at].running = true; }
    /// Sets the network partition of a node; nodes in different partitions cannot reach one
    /// another.
    void set_partition(std::size_t at, int partition) { m_nodes[at].partition = partition; }
    void lift() { m_limited = false; }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    [[nodiscard]] const failure_domain_id& domain(std::size_t at) const
    {
        return m_nodes[at].domain;
    }
    [[nodiscard]] const rate_limits& at(std::size_t at) const { return *m_nodes[at].limits; }

    void run(duration span)
    {
        for (const time_point until = m_now + span; m_now < until;)
            step();
    }

    /// Maximum number of requests that the server got in any `window` after `since`, counting only
    /// nodes to which it had named its limit at least `settling_time` before.
    [[nodiscard]] std::size_t max_in_window(duration window, duration since) const
    {
        std::size_t most = 0;
        std::size_t from = 0;
        for (std::size_t to = 0; to < m_arrivals.size(); ++to) {
            while (m_arrivals[to] - m_arrivals[from] >= window)
                ++from;
            if (m_arrivals[from] - m_begun >= since)
                most = std::max(most, to - from + 1);
        }
        return most;
    }
    [[nodiscard]] std::size_t arrivals() const { return m_arrivals.size(); }

private:
    static constexpr duration step_time = 20ms;
    static constexpr duration settling_time = 500ms;
    static constexpr duration answer_time = 200ms;
    static constexpr duration rumor_time = 300ms;
    static constexpr duration failure_detection_time = 5s;
    static constexpr duration view_interval = 1s;

    struct node {
        node_id name;
        failure_domain_id domain;
        std::unique_ptr<rate_limits> limits;
        bool running = true;
        bool alive = true;
        int partition = 0;
        double wanted = 0.0;
        std::map<std::size_t, time_point> last_seen; ///< when each node was last reachable
        time_point view_updated_at{};
        std::optional<time_point> limit_named_at; ///< when a response first reached the node
    };
    struct answer {
        time_point due;
        std::size_t to;
        std::optional<double> limit;
    };
    struct rumor {
        time_point due;
        std::size_t from;
        std::optional<double> limit;
        time_point observed;
    };

    [[nodiscard]] std::map<std::size_t, time_point> views() const
    {
        std::map<std::size_t, time_point> all;
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
            all[index] = m_now;
        return all;
    }

    void step()
    {
        m_now += step_time;
        deliver_answers();
        deliver_rumors();
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (m_nodes[index].running)
                act(index);
        }
    }

    void deliver_answers()
    {
        for (; !m_answers.empty() && m_answers.front().due <= m_now; m_answers.pop_front()) {
            const answer& arrived = m_answers.front();
            node& one = m_nodes[arrived.to];
            if (!one.running)
                continue;
            one.limit_named_at = one.limit_named_at.value_or(m_now);
            if (one.limits->server_report(server, server_domain, arrived.limit, m_now))
                m_rumors.push_back({m_now + rumor_time, arrived.to, arrived.limit, m_now});
        }
    }

    void deliver_rumors()
    {
        for (; !m_rumors.empty() && m_rumors.front().due <= m_now; m_rumors.pop_front()) {
            const rumor& spread = m_rumors.front();
            for (std::size_t to = 0; to < m_nodes.size(); ++to) {
                node& one = m_nodes[to];
                const bool reached = one.running && one.partition == m_nodes[spread.from].partition;
                if (to != spread.from && reached)
                    one.limits->peer_report(server, server_domain, spread.limit, spread.observed,
                                            m_now);
            }
        }
    }

    void act(std::size_t index)
    {
        node& one = m_nodes[index];
        if (m_now - one.view_updated_at >= view_interval)
            update_view(one);
        one.limits->tick(m_now);
        const double step_s = std::chrono::duration<double>(step_time).count();
        one.wanted = std::min(3.0, one.wanted + m_demand * step_s * 2.0 * m_random.unit());
        for (; one.wanted >= 1.0 && one.limits->may_send(server, m_now); one.wanted -= 1.0) {
            one.limits->consume(server, m_now);
            if (one.limit_named_at && m_now - *one.limit_named_at >= settling_time)
                m_arrivals.push_back(m_now);
            const std::optional<double> announced =
                m_limited ? std::optional{m_per_second} : std::nullopt;
            m_answers.push_back({m_now + answer_time, index, announced});
        }
    }

    void update_view(node& one)
    {
        one.view_updated_at = m_now;
        std::vector<fleet_member> members;
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            const node& other = m_nodes[index];
            if (other.running && other.partition == one.partition)
                one.last_seen[index] = m_now;
            const auto last = one.last_seen.find(index);
            if (last != one.last_seen.end())
                members.push_back(
                    {other.name, other.domain, m_now - last->second < failure_detection_time});
        }
        one.limits->fleet_updated(members, m_now);
    }

    double m_per_second;
    double m_demand;
    random_source m_random;
    time_point m_begun{std::chrono::hours{1}};
    time_point m_now = m_begun;
    bool m_limited = true;
    std::vector<node> m_nodes;
    std::deque<answer> m_answers;
    std::deque<rumor> m_rumors;
    std::vector<time_point> m_arrivals;
};

constexpr duration window = 4s;
/// Time for all nodes to learn of a limit.
constexpr duration learning_time = 3s;
constexpr std::array sizes{1U, 4U, 35U, 117U, 410U};
constexpr std::array limits{0.3, 1.4, 1.9, 7.5, 40.0};

/// Bound on the requests in `window`: 1.5 times the limit, plus five.
std::size_t allowed(double per_second)
{
    return static_cast<std::size_t>(4.0 * per_second * 1.5 + 5.0);
}

} // namespace

// Guards against shares that are each rounded up to one request a second, which exceeds the limit
// in a large fleet, and against shares that leave much of the limit unused.
Test(rate_limits, total_rate_stays_within_the_limit_at_every_fleet_size)
{
    constexpr double demand = 20.0;
    for (const std::size_t nodes : sizes) {
        for (const double limit : limits) {
            fleet sim{nodes, limit, demand, 1};
            sim.run(20s);
            cr_assert_leq(sim.max_in_window(window, learning_time), allowed(limit),
                          "%zu nodes, %.1f", nodes, limit);
            const double wanted = std::min(limit, demand * static_cast<double>(nodes));
            const auto least = static_cast<std::size_t>(20.0 * wanted * 0.75);
            cr_assert_geq(sim.arrivals(), least, "%zu nodes, %.1f", nodes, limit);
        }
    }
}

// Guards against exceeding the limit because two nodes take the same share: while nodes restart or
// pause, or a domain is cut off, the nodes' membership views differ.
Test(rate_limits, total_rate_stays_within_the_limit_during_faults)
{
    for (const std::size_t nodes : {4U, 35U, 117U}) {
        for (const double limit : limits) {
            const std::uint64_t seeds = nodes > 100 ? 2 : 8;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                fleet sim{nodes, limit, 6.0, seed};
                random_source random{seed};
                sim.run(5s);
                for (int fault = 0; fault < 6; ++fault) {
                    const std::size_t one = random.index(sim.size());
                    const std::size_t other = random.index(sim.size());
                    sim.kill(one);
                    sim.freeze(other);
                    sim.run(std::chrono::milliseconds{random.between(500, 4'000)});
                    sim.restart(one);
                    sim.wake(other);
                    sim.join();
                    const std::string cut = "zone-" + std::to_string(random.index(3));
                    for (std::size_t at = 0; at < sim.size(); ++at)
                        sim.set_partition(at, sim.domain(at).value() == cut ? 1 : 0);
                    sim.run(std::chrono::milliseconds{random.between(1'000, 9'000)});
                    for (std::size_t at = 0; at < sim.size(); ++at)
                        sim.set_partition(at, 0);
                    sim.run(std::chrono::milliseconds{random.between(100, 3'000)});
                }
                cr_assert_leq(sim.max_in_window(window, learning_time), allowed(limit),
                              "%zu nodes, %.1f, seed %zu", nodes, limit,
                              static_cast<std::size_t>(seed));
            }
        }
    }
}

// Guards against nodes that keep enforcing a limit that the server no longer names: nodes without a
// share send nothing to the server and learn this from the others.
Test(rate_limits, a_lifted_limit_reaches_all_nodes_promptly)
{
    fleet sim{117, 1.9, 6.0, 3};
    sim.run(8s);
    sim.lift();
    sim.run(2s);
    for (std::size_t at = 0; at < sim.size(); ++at)
        cr_assert(sim.at(at).empty(), "node %zu", at);
}

// Guards against a node without a share that never sends again because no other node reports to it
// that the limit was lifted. It must send occasional trial requests.
Test(rate_limits, a_node_without_updates_sends_trial_requests)
{
    const node_id self{"node-0"};
    rate_limits limits{self};
    time_point now{1h};
    std::vector<fleet_member> members;
    for (int index = 0; index < 40; ++index)
        members.push_back({node_id{"node-" + std::to_string(index)}, server_domain, true});
    vm_id refused;
    limits.fleet_updated(members, now);
    for (int index = 0; limits.share(refused).value_or(1.0) > 0.0; ++index) {
        refused = vm_id{"i-" + std::to_string(index)};
        limits.peer_report(refused, server_domain, 1.0, now, now);
    }
    cr_assert(!limits.may_send(refused, now + 9s));
    cr_assert_eq(limits.wait(refused, now), duration::max());
    std::size_t trials = 0;
    for (const time_point until = now + 400s; now < until; now += 1s) {
        limits.fleet_updated(members, now);
        limits.tick(now);
        if (limits.may_send(refused, now)) {
            limits.consume(refused, now);
            ++trials;
        }
    }
    cr_assert_geq(trials, 2U);
    cr_assert_leq(trials, 40U);
}

// Guards against an older peer report that overrides a later response of the server, and against a
// newer one that is ignored.
Test(rate_limits, the_latest_observation_of_a_server_wins)
{
    rate_limits limits{node_id{"node-0"}};
    const time_point now{1h};
    cr_assert(limits.server_report(server, server_domain, 2.0, now));
    cr_assert(!limits.server_report(server, server_domain, 2.0, now + 100ms),
              "an unchanged limit is not reported again at once");
    limits.peer_report(server, server_domain, std::nullopt, now, now + 200ms);
    cr_assert(limits.share(server));
    limits.peer_report(server, server_domain, std::nullopt, now + 300ms, now + 400ms);
    cr_assert(!limits.share(server));
    cr_assert(limits.server_report(server, server_domain, 2.0, now + 1s));
    cr_assert(limits.server_report(server, server_domain, std::nullopt, now + 2s));
    cr_assert(limits.may_send(server, now + 2s));
}
