// Nodes before servers that share one processor, as on a machine that lacks processor time: each
// request that reaches a server costs work, also if nobody waits for its answer any more, and is
// worked on in order of arrival.
#include "routing/modelled_fixture.h"

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <memory>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

constexpr std::size_t nodes = 8;
constexpr int groups = 12;
constexpr duration work = 5ms;     ///< of a request
constexpr double capacity = 200.0; ///< requests a second

class congested_fleet {
public:
    congested_fleet()
    {
        for (std::size_t node = 0; node < nodes; ++node) {
            m_nodes.push_back(std::make_unique<modelled_world>(groups, settings_of(node)));
            m_nodes.back()->send(fleet_size_updated{nodes});
        }
    }

    /// Callers send at this rate, at random, whether earlier requests are answered or not.
    void run(double per_s, duration time)
    {
        const time_point until = now() + time;
        while (now() < until) {
            m_due += per_s * 0.01;
            for (; m_due >= 1.0; m_due -= 1.0)
                submit();
            for (std::size_t node = 0; node < nodes; ++node)
                take(node, m_nodes[node]->pass(10ms));
            serve();
        }
    }

    /// All callers of that many requests come at once.
    void submit_burst(std::size_t count)
    {
        for (std::size_t each = 0; each < count; ++each)
            submit();
    }

    std::size_t submitted = 0;
    std::size_t served = 0; ///< whose answer was delivered

private:
    struct job {
        std::size_t node;
        send_attempt order;
    };

    static core_settings settings_of(std::size_t node)
    {
        core_settings settings = modelled_settings();
        settings.node = node_id{"node-" + std::to_string(node)};
        return settings;
    }

    [[nodiscard]] time_point now() const { return m_nodes.front()->now; }

    void submit()
    {
        ++submitted;
        const std::size_t node = m_random.index(nodes);
        take(node, m_nodes[node]->submit("/chat/x", "a.example", "key-1", 200));
    }

    void take(std::size_t node, const command_list& out)
    {
        for (const command& each : out) {
            if (const auto* order = std::get_if<send_attempt>(&each))
                m_jobs.push_back({node, *order});
            served += std::holds_alternative<complete>(each) ? 1 : 0;
        }
    }

    void serve()
    {
        m_processor += 10ms;
        for (; !m_jobs.empty() && m_processor >= work; m_processor -= work) {
            const job next = m_jobs.front();
            m_jobs.pop_front();
            take(next.node, m_nodes[next.node]->begin(next.order));
            take(next.node, m_nodes[next.node]->send(attempt_finished{
                                next.order.request, next.order.attempt, true, std::nullopt}));
        }
        if (m_jobs.empty())
            m_processor = {};
    }

    std::vector<std::unique_ptr<modelled_world>> m_nodes;
    std::deque<job> m_jobs;
    duration m_processor{};
    double m_due = 0.0;
    random_source m_random{1};
};

} // namespace

// Guards against a collapse that lasts: a fleet that bears a load has to bear it again after a
// moment in which all callers came at once.
Test(congestion, a_load_that_was_borne_is_borne_again_after_a_burst)
{
    congested_fleet fleet;
    fleet.run(0.9 * capacity, 5s);
    cr_assert_geq(fleet.served, fleet.submitted * 95 / 100);
    fleet.submit_burst(1'200);
    fleet.run(0.9 * capacity, 15s);
    const std::size_t submitted = fleet.submitted;
    const std::size_t served = fleet.served;
    fleet.run(0.9 * capacity, 5s);
    cr_assert_geq(fleet.served - served, (fleet.submitted - submitted) * 95 / 100, "%zu of %zu",
                  fleet.served - served, fleet.submitted - submitted);
}

// Guards against a fleet that finishes nothing in time under a load that it can't bear.
Test(congestion, most_of_the_capacity_is_served_beyond_it)
{
    for (const double multiple : {1.2, 1.5, 2.0, 4.0}) {
        congested_fleet fleet;
        fleet.run(multiple * capacity, 20s);
        const std::size_t served = fleet.served;
        fleet.run(multiple * capacity, 10s);
        cr_assert_geq(fleet.served - served, std::size_t(0.8 * capacity * 10.0),
                      "%zu at %.1f times the capacity", fleet.served - served, multiple);
    }
}
