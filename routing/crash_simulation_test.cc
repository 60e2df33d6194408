// Simulated fleets in which one part of some requests ends servers: how many end until it is
// blocked, and what is blocked beside it.
//
// Nodes send requests to groups that answer several at once. A request has a part that all share,
// one of `topics` parts, and its own content. A request with the culprit ends its group `begin`
// after it was sent, with all that had just begun there; it is then retried once. Evidence takes
// `gossip` to reach the other nodes.
#include "base/random.h"
#include "routing/crash_suspects.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <deque>
#include <map>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t groups = 18;
constexpr std::size_t topics = 60;
constexpr duration begin = 150ms;    ///< from the sending to the first event
constexpr duration lives_on = 250ms; ///< after which an answer counts as going well
constexpr duration down = 5s;        ///< of a group whose server has ended
constexpr duration check = 25ms;     ///< until an end is known to its callers' nodes
const content_id culprit{1};
const content_id common{2};

struct site {
    std::size_t nodes = 4;
    double sound_s = 54.0; ///< requests per second, all nodes together
    double bad_s = 6.0;
    duration gossip = 150ms;
    /// The common part and the topics are as usual at the start; else the culprit was sound then.
    bool culprit_is_new = true;
};

struct outcome {
    std::size_t ended = 0;         ///< servers
    std::size_t ended_late = 0;    ///< by requests sent 3 s after the fifth end, or later
    std::size_t sound_refused = 0; ///< requests
    std::size_t sound = 0;
};

struct open_request {
    std::size_t node = 0;
    std::size_t group = 0;
    time_point sent;
    std::vector<content_id> contents;
    bool bad = false;
    bool retried = false;
    bool noted = false;
};

class simulation {
public:
    simulation(site chosen, std::uint64_t seed)
        : m_site{chosen}, m_random{seed}, m_suspects(chosen.nodes), m_up(groups)
    {}

    outcome run()
    {
        constexpr duration step = 5ms;
        for (m_now = time_point{} + 10s; m_now < time_point{} + 40s; m_now += step) {
            const double step_s = std::chrono::duration<double>(step).count();
            const bool trouble = m_now >= time_point{} + 15s;
            if (m_random.chance(m_site.sound_s * step_s))
                arrive(false);
            if (m_random.chance(m_site.bad_s * step_s))
                arrive(trouble);
            advance();
            exchange();
        }
        return m_result;
    }

private:
    void arrive(bool bad)
    {
        open_request made;
        made.node = m_random.index(m_site.nodes);
        made.bad = bad;
        const std::size_t topic = std::min(m_random.index(topics), m_random.index(topics));
        made.contents = {content_id{1'000'000 + ++m_last}, common, content_id{100 + topic}};
        if (bad || (!m_site.culprit_is_new && m_now < time_point{} + 15s && m_random.chance(0.1)))
            made.contents.push_back(culprit);
        m_result.sound += bad ? 0 : 1;
        if (m_suspects[made.node].is_blocked(made.contents))
            m_result.sound_refused += bad ? 0 : 1;
        else
            send(std::move(made));
    }

    void send(open_request made)
    {
        std::vector<std::size_t> up;
        for (std::size_t group = 0; group < groups; ++group) {
            if (m_now >= m_up[group])
                up.push_back(group);
        }
        if (up.empty())
            return;
        made.group = up[m_random.index(up.size())];
        made.sent = m_now;
        m_open.push_back(std::move(made));
    }

    void advance()
    {
        for (std::size_t at = 0; at < m_open.size(); ++at) {
            open_request& each = m_open[at];
            if (each.bad && m_now - each.sent >= begin) {
                end_group(each.group, each.sent);
                at = static_cast<std::size_t>(-1); // the list has changed
                continue;
            }
            if (!each.bad && !each.noted && m_now - each.sent >= begin + lives_on) {
                each.noted = true;
                m_suspects[each.node].note_served(each.contents, each.sent + begin, m_now);
            }
        }
        std::erase_if(m_open, [&](const open_request& each) { return m_now - each.sent >= 1s; });
    }

    void end_group(std::size_t group, time_point sent)
    {
        ++m_result.ended;
        if (m_result.ended == 5)
            m_fifth = m_now;
        if (m_result.ended > 5 && sent >= m_fifth + 3s)
            ++m_result.ended_late;
        m_up[group] = m_now + down;
        const vm_id server{"i-" + std::to_string(m_result.ended)};
        std::map<std::size_t, std::vector<content_id>> interrupted; // by node
        std::vector<open_request> retried;
        std::erase_if(m_open, [&](const open_request& each) {
            if (each.group != group)
                return false;
            if (m_now - each.sent < begin + lives_on) {
                auto& contents = interrupted[each.node];
                contents.insert(contents.end(), each.contents.begin(), each.contents.end());
            }
            if (!each.retried)
                retried.push_back(each);
            return true;
        });
        for (const auto& [node, contents] : interrupted)
            m_checks.push_back({m_now + check, node, server, contents});
        for (open_request& each : retried) {
            each.retried = true;
            each.noted = false;
            if (!m_suspects[each.node].is_suspected(each.contents))
                send(std::move(each));
        }
    }

    void exchange()
    {
        for (const end_check& each : m_checks) {
            if (each.due <= m_now)
                m_suspects[each.node].note_ended(each.server, each.contents, m_now);
        }
        std::erase_if(m_checks, [&](const end_check& each) { return each.due <= m_now; });
        for (std::size_t node = 0; node < m_suspects.size(); ++node) {
            m_suspects[node].tick(m_now);
            for (const crash_evidence& each : m_suspects[node].take_evidence())
                m_messages.push_back({m_now, node, each});
        }
        while (!m_messages.empty() && m_now - m_messages.front().sent >= m_site.gossip) {
            const message& next = m_messages.front();
            crash_evidence heard = next.evidence;
            heard.age += m_now - next.sent;
            for (std::size_t node = 0; node < m_suspects.size(); ++node) {
                if (node != next.from)
                    m_suspects[node].note_evidence(heard, m_now);
            }
            m_messages.pop_front();
        }
    }

    struct end_check {
        time_point due;
        std::size_t node = 0;
        vm_id server;
        std::vector<content_id> contents;
    };
    struct message {
        time_point sent;
        std::size_t from = 0;
        crash_evidence evidence;
    };

    site m_site;
    random_source m_random;
    std::vector<crash_suspects> m_suspects;
    std::vector<time_point> m_up; ///< when each group serves again
    std::vector<open_request> m_open;
    std::vector<end_check> m_checks;
    std::deque<message> m_messages;
    time_point m_now;
    time_point m_fifth;
    std::uint64_t m_last = 0;
    outcome m_result;
};

/// Checks the bounds over some seeds: three late requests at most, half of the sound ones served.
void check_bounds(const site& chosen, const char* name)
{
    constexpr std::uint64_t seeds = 20;
    outcome all;
    std::size_t most_ended = 0;
    std::size_t most_late = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const outcome one = simulation{chosen, seed}.run();
        all.ended += one.ended;
        all.sound += one.sound;
        all.sound_refused += one.sound_refused;
        most_ended = std::max(most_ended, one.ended);
        most_late = std::max(most_late, one.ended_late);
    }
    std::printf("%s: %.1f servers ended (at most %zu), %zu late, %zu of %zu sound refused\n", name,
                static_cast<double>(all.ended) / seeds, most_ended, most_late, all.sound_refused,
                all.sound);
    cr_assert_leq(most_late, 3U, "%s", name);
    cr_assert_lt(all.sound_refused * 2, all.sound, "%s", name);
}

} // namespace

// Guards against a fleet that finds a part too late, or blocks sound requests beside it.
Test(crash_simulation, a_new_part_is_found_on_four_nodes)
{
    check_bounds({}, "4 nodes");
}
Test(crash_simulation, a_new_part_is_found_on_many_nodes)
{
    check_bounds({.nodes = 40, .sound_s = 200.0, .bad_s = 20.0, .gossip = 500ms}, "40 nodes");
}
Test(crash_simulation, a_rare_part_is_found)
{
    check_bounds({.bad_s = 0.7}, "rare");
}
Test(crash_simulation, a_part_that_turns_bad_is_found)
{
    check_bounds({.culprit_is_new = false}, "turns bad");
}
Test(crash_simulation, a_part_is_found_in_little_traffic)
{
    check_bounds({.sound_s = 8.0, .bad_s = 3.0}, "little traffic");
}
