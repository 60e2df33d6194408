// How many servers a request runs on, against what its route allows.
#include "routing/modelled_fixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

using world = modelled_world;

constexpr std::size_t most_servers = 2; // of the routes in store_tables()

enum class step {
    sent,
    answer_begins,
    part,
    refused, ///< by the server, which says that it did not run
    failure, ///< the server's own
    overloaded,
    cut,
    not_connected,
    silence,
    group_lost,
    count, ///< how many there are
};

constexpr auto step_count = static_cast<std::size_t>(step::count);

struct seen_sending {
    send_attempt order;
    bool sent = false;
    bool repeated = false;    ///< sent to the same server once more
    bool did_not_run = false; ///< the server said so of what it got last
    bool delivered = false;   ///< its answer has begun, and no refusal can follow
};

/// Slow reference: looks at every sending anew before each further one.
class sending_history {
public:
    sending_history(world& here, const command_list& asked) : m_world{here} { take(asked); }

    void play(step next)
    {
        if (m_over || m_sendings.empty())
            return;
        seen_sending& now = m_sendings.back();
        const bool leaves = next != step::not_connected && next != step::cut &&
                            next != step::silence && next != step::group_lost;
        now.repeated = now.repeated || (next == step::sent && now.sent);
        now.sent = now.sent || leaves;
        now.did_not_run = now.did_not_run || (next == step::refused && !now.delivered);
        take(carry_out(next, now.order));
    }

    [[nodiscard]] bool broken() const { return m_broken; }

private:
    command_list carry_out(step next, const send_attempt& order)
    {
        constexpr std::uint32_t ok = 200;
        constexpr std::uint32_t server_error = 500;
        constexpr std::uint32_t unavailable = 503;
        switch (next) {
        case step::sent:
            return m_world.send(attempt_sent{order.request, order.attempt});
        case step::answer_begins:
            return m_world.send(head_of(order, ok));
        case step::part:
            return m_world.send(attempt_progress{order.request, order.attempt, 1});
        case step::refused: {
            attempt_head refusal = head_of(order, unavailable);
            refusal.reported_not_run = true;
            return m_world.send(refusal);
        }
        case step::failure:
            return m_world.send(head_of(order, server_error));
        case step::overloaded:
            return m_world.send(head_of(order, unavailable));
        case step::cut:
            return m_world.lose(order);
        case step::not_connected:
            return m_world.lose(order, attempt_failure::not_connected);
        case step::silence:
            return m_world.pass(700ms);
        case step::group_lost:
            return m_world.send(group_broken{order.target});
        case step::count:
            break;
        }
        return {};
    }

    void take(const command_list& said)
    {
        for (const command& each : said) {
            if (const auto* order = std::get_if<send_attempt>(&each)) {
                m_broken = m_broken || servers_used() >= most_servers;
                m_sendings.push_back({*order});
            }
            if (std::holds_alternative<deliver>(each))
                m_sendings.back().delivered = true;
            m_over = m_over || std::holds_alternative<refuse>(each) ||
                     std::holds_alternative<end_truncated>(each) ||
                     std::holds_alternative<complete>(each);
        }
    }

    [[nodiscard]] std::size_t servers_used() const
    {
        const auto used =
            std::count_if(m_sendings.begin(), m_sendings.end(), [](const seen_sending& each) {
                return each.sent && (each.repeated || !each.did_not_run);
            });
        return static_cast<std::size_t>(used);
    }

    world& m_world;
    std::vector<seen_sending> m_sendings;
    bool m_over = false;
    bool m_broken = false;
};

core_settings small_settings()
{
    core_settings settings = shared_settings();
    settings.prefix_index_entries = 4;
    return settings;
}

world make_world()
{
    world made{4, small_settings()};
    std::vector<target> servers;
    for (int number = 1; number <= 4; ++number)
        servers.push_back(server(number));
    made.send(servers_changed{servers});
    return made;
}

/// Plays every history of `length` steps and returns how many ran on too many servers.
std::size_t count_broken(const std::string& path, std::size_t length)
{
    std::size_t histories = 1;
    for (std::size_t at = 0; at < length; ++at)
        histories *= step_count;
    std::size_t broken = 0;
    for (std::size_t number = 0; number < histories; ++number) {
        world here = make_world();
        sending_history told{here, here.ask(path)};
        for (std::size_t at = 0, rest = number; at < length; ++at, rest /= step_count)
            told.play(static_cast<step>(rest % step_count));
        broken += told.broken() ? 1 : 0;
    }
    return broken;
}

} // namespace

// Seen: streams ran on three servers though their routes allow two, always while groups stood still
// after the loss of a member.
// How: a stream went to a group that gave nothing. After half a second its node moved it to another
// group, where it began. Then that group fell silent too, and the node moved it to a third.
// Cause: a sending that ended without any part of an answer was taken for one that no server ran.
// Proof: the log of each sending told servers_used=0 after a move by target_silent, and the server
// that had been left was still working on the stream.
Test(servers_limit, a_stream_that_left_a_silent_group_has_used_a_server)
{
    world here = make_world();
    const send_attempt first = *only<send_attempt>(here.ask());
    here.send(attempt_sent{first.request, first.attempt});
    const auto second = only<send_attempt>(here.pass(700ms));
    cr_assert(second, "another group is free");
    here.begin(*second);
    cr_assert(!only<send_attempt>(here.pass(4s)), "a third server");
}

// Guards against a third server after a connection that a live server closed before any answer.
Test(servers_limit, a_connection_cut_before_any_answer_uses_up_a_server)
{
    world here = make_world();
    const send_attempt first = *only<send_attempt>(here.ask());
    here.send(attempt_sent{first.request, first.attempt});
    const auto second = only<send_attempt>(here.lose(first));
    cr_assert(second, "one more server is allowed");
    here.begin(*second);
    cr_assert(!only<send_attempt>(here.lose(*second)), "a third server");
}

// Guards against repeats of the HTTP client's own that the pool's retries don't bound.
Test(servers_limit, a_repeat_to_the_same_server_is_charged)
{
    const auto retries_left = [](const world& here) {
        double sum = 0.0;
        for (const pool_status& pool : here.core.pools())
            sum += pool.retries_left;
        return sum;
    };
    world here = make_world();
    const send_attempt first = *only<send_attempt>(here.ask());
    here.send(attempt_sent{first.request, first.attempt});
    const double before = retries_left(here);
    here.send(attempt_sent{first.request, first.attempt});
    cr_assert_float_eq(retries_left(here), before - 1.0, 1e-9);
}

// Guards against "it did not run" when the server says so of a repeat and may have run the first.
Test(servers_limit, a_refusal_of_a_repeat_says_nothing_of_the_first)
{
    world here{1, small_settings()};
    const send_attempt order = *only<send_attempt>(here.ask());
    here.send(attempt_sent{order.request, order.attempt});
    command_list said = here.refuse_it(order);
    const command_list later = here.pass(10s);
    said.insert(said.end(), later.begin(), later.end());
    cr_assert_eq(only<refuse>(said)->ran, ran_state::unknown);
}

// Guards against any other way to one server too many: every short history of a stream and of a
// read.
Test(servers_limit, every_short_history_of_a_stream)
{
    const std::size_t broken = count_broken("/chat/x", 5);
    cr_assert_eq(broken, 0U, "%zu histories", broken);
}
Test(servers_limit, every_short_history_of_a_read)
{
    const std::size_t broken = count_broken("/chat/deep/x", 4);
    cr_assert_eq(broken, 0U, "%zu histories", broken);
}
