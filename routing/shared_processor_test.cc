// Nodes before engines whose streams share one processor, as on a machine that lacks processor
// time: the more streams are open, the slower all of them are, and a stream that is cut at its
// deadline has cost nearly all of its work.
#include "routing/modelled_fixture.h"

#include <criterion/criterion.h>

#include <deque>
#include <memory>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

constexpr std::size_t nodes = 4;
constexpr int groups = 24;
constexpr int events = 28;
constexpr duration least_gap = 50ms; ///< of an engine that has its processor for itself
constexpr duration event_work = 2ms;
constexpr double capacity = 1'000.0 / 2.0 / events; ///< streams a second

struct open_stream {
    std::size_t node;
    send_attempt order;
    time_point ready; ///< earliest time of its next event
    int done = 0;
};

class streaming_fleet {
public:
    streaming_fleet()
    {
        for (std::size_t node = 0; node < nodes; ++node) {
            core_settings settings = modelled_settings();
            settings.started_again = true;
            settings.node = node_id{"node-" + std::to_string(node)};
            m_nodes.push_back(std::make_unique<modelled_world>(groups, settings));
            m_nodes.back()->send(fleet_size_updated{nodes});
        }
    }

    /// Callers send at this rate, whether earlier requests are answered or not.
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

    void submit()
    {
        ++submitted;
        const std::size_t node = m_random.index(nodes);
        take(node, m_nodes[node]->submit("/chat/x", "a.example", "key-1", 200));
    }

    std::size_t submitted = 0;
    std::size_t complete = 0;
    std::size_t cut = 0;

private:
    [[nodiscard]] time_point now() const { return m_nodes.front()->now; }

    void take(std::size_t node, const command_list& out)
    {
        for (const command& each : out) {
            if (const auto* order = std::get_if<send_attempt>(&each))
                m_streams.push_back({node, *order, now() + least_gap});
            if (const auto* cancelled = std::get_if<cancel_attempt>(&each))
                std::erase_if(m_streams, [&](const open_stream& stream) {
                    return stream.node == node && stream.order.attempt == cancelled->attempt;
                });
            complete += std::holds_alternative<jaynotch::complete>(each) ? 1 : 0;
            cut += std::holds_alternative<end_truncated>(each) ? 1 : 0;
        }
    }

    void serve()
    {
        m_processor = std::min<duration>(m_processor + 10ms, 20ms);
        for (std::size_t waiting = m_streams.size(); waiting > 0 && m_processor >= event_work;
             --waiting) {
            open_stream stream = m_streams.front();
            m_streams.pop_front();
            if (stream.ready <= now()) {
                m_processor -= event_work;
                ++stream.done;
                stream.ready = now() + least_gap;
            }
            else {
                m_streams.push_back(stream);
                continue;
            }
            if (stream.done < events)
                m_streams.push_back(stream);
            pass_on(stream);
        }
    }

    void pass_on(const open_stream& stream)
    {
        modelled_world& world = *m_nodes[stream.node];
        const send_attempt& order = stream.order;
        if (stream.done == 1)
            take(stream.node, world.begin(order));
        else
            take(stream.node, world.send(attempt_progress{order.request, order.attempt, 1}));
        if (stream.done == events)
            take(stream.node,
                 world.send(attempt_finished{order.request, order.attempt, true, std::nullopt}));
    }

    std::vector<std::unique_ptr<modelled_world>> m_nodes;
    std::deque<open_stream> m_streams;
    duration m_processor{};
    double m_due = 0.0;
    random_source m_random{1};
};

} // namespace

// Guards against streams that are all cut near their end, since more are open than can be finished.
Test(shared_processor, streams_are_finished_beyond_the_capacity)
{
    for (const double multiple : {1.3, 2.0, 4.0}) {
        streaming_fleet fleet;
        fleet.run(multiple * capacity, 20s);
        const std::size_t complete = fleet.complete;
        const std::size_t cut = fleet.cut;
        fleet.run(multiple * capacity, 20s);
        cr_expect_geq(fleet.complete - complete, std::size_t(0.8 * capacity * 20.0),
                      "%zu complete, %zu cut, at %.1f times the capacity",
                      fleet.complete - complete, fleet.cut - cut, multiple);
    }
}

// Guards against a return after which nothing is finished, since all callers come at once to nodes
// that have not seen yet what the servers bear.
Test(shared_processor, nodes_that_have_just_started_serve_within_seconds)
{
    streaming_fleet fleet;
    for (int caller = 0; caller < 300; ++caller)
        fleet.submit();
    fleet.run(1.3 * capacity, 5s);
    const std::size_t complete = fleet.complete;
    fleet.run(1.3 * capacity, 10s);
    cr_expect_geq(fleet.complete - complete, std::size_t(0.8 * capacity * 10.0),
                  "%zu complete, %zu cut", fleet.complete - complete, fleet.cut);
}

// Guards against refusals by nodes that have just started where the servers bear the load.
Test(shared_processor, a_load_that_is_borne_is_not_refused_at_the_start)
{
    streaming_fleet fleet;
    fleet.run(0.8 * capacity, 20s);
    const auto in_progress = std::size_t(0.8 * capacity * 3.0);
    cr_expect_geq(fleet.complete + in_progress, fleet.submitted, "%zu of %zu complete",
                  fleet.complete, fleet.submitted);
}

// Guards against paying for a whole request where the node is overloaded: it is refused before
// anything of it is known, with a time to return.
Test(shared_processor, a_request_beyond_the_limit_is_refused_early)
{
    core_settings settings = modelled_settings();
    settings.started_again = true;
    modelled_world world{1, settings};
    std::size_t admitted = 0;
    std::optional<refuse> refused;
    while (!(refused = world.core.refuse_early()) && admitted < 100) {
        ++admitted;
        world.submit();
    }
    cr_assert(refused);
    cr_assert_eq(admitted, 2U, "a quarter of eight places");
    cr_assert_geq(refused->retry_after.value().count(), 500);
    cr_assert_eq(world.core.counters().refused_overload, 1U);
}

// Guards against a node that was never started again, or has no model servers, and refuses.
Test(shared_processor, a_node_that_starts_first_has_no_limit)
{
    modelled_world world{1};
    for (int request = 0; request < 20; ++request) {
        cr_assert(!world.core.refuse_early());
        world.submit();
    }
}
