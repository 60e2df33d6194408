#include "soak/fault_plan.h"
#include "soak/promise_book.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t events = 2;
const std::string whole_stream = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";

time_point at(duration since_start)
{
    return time_point{std::chrono::hours{1}} + since_start;
}

asked_request order(std::string id, duration sent = 0s)
{
    return {std::move(id), asked_kind::order, "entry-1", 0, at(sent)};
}

/// One request with a key of a version, sent and answered.
void ask_with_key(promise_book& book, const std::string& id, std::int64_t key, duration sent,
                  std::uint32_t status)
{
    book.asked({id, asked_kind::read, "entry-1", key, at(sent), 1});
    if (status == 200)
        book.ran(id, "a-1", at(sent));
    book.answered(id, {status, id, "answer of a-1 to " + id}, at(sent + 10ms));
}

void assert_one(const promise_book& book, const std::string& part)
{
    const std::vector<std::string> broken = book.broken();
    cr_assert_eq(broken.size(), 1U, "%zu, first: %s", broken.size(),
                 broken.empty() ? "none" : broken.front().c_str());
    cr_assert(broken.front().find(part) != std::string::npos, "%s", broken.front().c_str());
}

} // namespace

Test(promise_book, a_sound_day_breaks_nothing)
{
    promise_book book{events};
    book.asked(order("1"));
    book.ran("1", "a-1", at(1ms));
    book.answered("1", {200, "1", "answer of a-1 to 1"}, at(5ms));
    book.asked({"2", asked_kind::stream, "entry-1", 0, at(0s), 2});
    book.ran("2", "m-1", at(1ms));
    book.ran("2", "m-2", at(2ms)); // it was resumed
    book.answered("2", {200, "2", whole_stream}, at(5ms));
    book.asked(order("3"));
    book.answered("3", {503, "3", ""}, at(5ms));
    cr_assert(book.broken().empty(), "%s", book.broken().front().c_str());
    cr_assert_eq(book.whole(), 2U);
}

Test(promise_book, an_order_that_ran_twice_shows)
{
    promise_book book{events};
    book.asked(order("1"));
    book.ran("1", "a-1", at(1ms));
    book.ran("1", "a-2", at(2ms));
    book.answered("1", {200, "1", "answer of a-2 to 1"}, at(5ms));
    assert_one(book, "ran 2 times");
}

Test(promise_book, a_stream_on_a_server_too_many_shows)
{
    promise_book book{events};
    book.asked({"1", asked_kind::stream, "entry-1", 0, at(0s), 2});
    book.ran("1", "m-1", at(1ms));
    book.ran("1", "m-2", at(2ms));
    book.ran("1", "m-2", at(3ms));
    cr_assert(book.broken().empty(), "the same server twice is one server");
    book.ran("1", "m-3", at(4ms));
    assert_one(book, "ran on 3 servers, 2 are allowed");
}

Test(promise_book, a_false_word_that_it_did_not_run_shows)
{
    promise_book book{events};
    book.asked(order("1"));
    book.answered("1", {503, "1", ""}, at(5ms));
    book.ran("1", "a-1", at(3s)); // later, behind a cut
    assert_one(book, "but it ran");
}

Test(promise_book, foreign_partial_and_invented_answers_show)
{
    promise_book foreign{events};
    foreign.asked(order("1"));
    foreign.ran("1", "a-1", at(1ms));
    foreign.answered("1", {200, "2", "answer of a-1 to 1"}, at(5ms));
    assert_one(foreign, "got the answer to 2");

    promise_book partial{events};
    partial.asked({"1", asked_kind::stream, "entry-1", 0, at(0s), 2});
    partial.ran("1", "m-1", at(1ms));
    partial.answered("1", {200, "1", "id: 2\ndata: e2\n\n"}, at(5ms));
    assert_one(partial, "not its server's whole answer");

    promise_book smuggled{events};
    smuggled.ran("nobody's", "a-1", at(1ms));
    assert_one(smuggled, "nobody sent");
}

// A daemon is stopped on purpose and cuts a request that has reached its server. Around a failure
// the same is nobody's fault.
Test(promise_book, a_planned_stop_that_cuts_shows_but_not_a_failure)
{
    for (const bool failure : {false, true}) {
        promise_book book{events};
        const std::size_t stop = book.harmed({"entry-1", at(1s), time_point::max(), true});
        if (failure)
            book.harmed({"entry-1", at(1s), at(2s), false});
        book.asked(order("1", 1s));
        book.ran("1", "a-1", at(1001ms));
        book.answered("1", {0, "", ""}, at(1500ms));
        book.healed(stop, at(2s));
        if (failure)
            cr_assert(book.broken().empty());
        else
            assert_one(book, "cut off");
    }
}

Test(promise_book, a_drained_server_that_still_gets_work_shows)
{
    promise_book book{events};
    book.draining("a-1", at(1s));
    book.asked(order("1", 2s));
    book.ran("1", "a-1", at(2s));
    book.answered("1", {200, "1", "answer of a-1 to 1"}, at(2100ms));
    cr_assert(book.broken().empty(), "within the bound");
    book.asked(order("2", 6s));
    book.ran("2", "a-1", at(6s));
    book.answered("2", {200, "2", "answer of a-1 to 2"}, at(6100ms));
    assert_one(book, "long after it began to leave");
}

Test(promise_book, a_change_that_is_late_or_goes_back_shows)
{
    promise_book late{events};
    for (std::int64_t version = 1; version <= 4; ++version)
        late.accepted(version, at(version * 1s));
    ask_with_key(late, "1", 2, 6s, 200); // revoked at 4 s
    cr_assert(late.broken().empty(), "not due yet");
    ask_with_key(late, "2", 2, 9s, 200);
    assert_one(late, "had revoked");

    promise_book unknown{events};
    unknown.accepted(1, at(1s));
    ask_with_key(unknown, "1", 1, 8s, 401);
    assert_one(unknown, "was refused");

    promise_book backwards{events};
    for (std::int64_t version = 1; version <= 3; ++version)
        backwards.accepted(version, at(version * 100ms));
    ask_with_key(backwards, "1", 3, 400ms, 200);
    ask_with_key(backwards, "2", 1, 600ms, 200);
    assert_one(backwards, "after one of 3");
}

Test(fault_plan, a_seed_is_a_plan)
{
    const auto story = [](std::uint64_t seed) {
        std::string told;
        for (const planned_fault& one : draw_plan({.seed = seed}))
            told += to_string(one) + "\n";
        return told;
    };
    cr_assert_eq(story(5), story(5));
    cr_assert_neq(story(5), story(7));
}

Test(fault_plan, every_third_seed_has_planned_work_only)
{
    for (const planned_fault& one : draw_plan({.seed = 9, .length = 60s})) {
        const auto* daemon = std::get_if<harm_daemon>(&one.what);
        const auto* runner = std::get_if<harm_runner>(&one.what);
        const bool planned = std::holds_alternative<change_configuration>(one.what) ||
                             (daemon != nullptr && (daemon->fault == daemon_fault::stop ||
                                                    daemon->fault == daemon_fault::reload)) ||
                             (runner != nullptr && runner->fault == runner_fault::drain);
        cr_assert(planned, "%s", to_string(one).c_str());
    }
}
