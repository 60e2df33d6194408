#include "peers/sent_frames.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

sent_frames::frame_ptr frame(std::size_t bytes)
{
    return std::make_shared<const std::string>(bytes, 'x');
}

/// A table whose peer has acknowledged a frame.
sent_frames proven_connection()
{
    sent_frames sent;
    sent.add(frame(10), start);
    sent.acknowledge(1, start);
    return sent;
}

} // namespace

// Guards against a silent connection that is believed in until something is idle for minutes.
Test(sent_frames, a_frame_without_acknowledgement_is_overdue_within_a_second)
{
    sent_frames sent = proven_connection();
    cr_assert_not(sent.is_overdue(start + 1h), "nothing is awaited");
    sent.add(frame(10), start + 1h);
    cr_assert_not(sent.is_overdue(start + 1h + 600ms));
    cr_assert(sent.is_overdue(start + 1h + 1s));
}

// Guards against later frames that hide the oldest one, which is never acknowledged.
Test(sent_frames, later_frames_do_not_postpone_it)
{
    sent_frames sent = proven_connection();
    for (duration passed{0}; passed <= 1s; passed += 100ms)
        sent.add(frame(10), start + passed);
    cr_assert(sent.is_overdue(start + 1s));
}

// Guards against taking a slow link for a silent connection.
Test(sent_frames, a_large_frame_on_a_slow_link_is_not_overdue)
{
    sent_frames sent = proven_connection();
    constexpr std::size_t units = 40;
    sent.add(frame(units * ack_unit_bytes), start);
    for (std::size_t unit = 1; unit < units; ++unit) {
        const time_point now = start + unit * 500ms;
        cr_assert_not(sent.is_overdue(now));
        sent.acknowledge(1, now);
        cr_assert_not(sent.empty());
    }
    sent.acknowledge(1, start + units * 500ms);
    cr_assert(sent.empty());
}

// Guards against peers with little processor whose connections are replaced again and again while
// they read as fast as they can.
Test(sent_frames, a_peer_that_acknowledges_late_is_waited_for_longer)
{
    sent_frames sent = proven_connection();
    sent.add(frame(10), start);
    sent.acknowledge(1, start + 600ms);
    sent.add(frame(10), start + 1s);
    cr_assert_not(sent.is_overdue(start + 3s));
    cr_assert(sent.is_overdue(start + 7s));
    sent.acknowledge(1, start + 1s);
    time_point now = start + 1s;
    for (int prompt = 0; prompt < 64; ++prompt, now += 10ms) {
        sent.add(frame(10), now);
        sent.acknowledge(1, now + 1ms);
    }
    sent.add(frame(10), now);
    cr_assert(sent.is_overdue(now + 1s), "prompt acknowledgements shorten it again");
}

// Guards against a connection that is replaced each 0.7 s, which is more work for a busy peer.
Test(sent_frames, each_replaced_connection_doubles_the_time)
{
    sent_frames sent = proven_connection();
    time_point now = start;
    for (const duration expected : {700ms, 1'400ms, 2'800ms, 5'600ms, 6'000ms, 6'000ms}) {
        sent.add(frame(10), now);
        cr_assert_not(sent.is_overdue(now + expected - 1ms));
        cr_assert(sent.is_overdue(now + expected));
        now += expected;
        sent.take_for_resend();
    }
}

// Guards against sending a frame for ever to a peer that reads it and never acknowledges it.
Test(sent_frames, a_frame_is_sent_again_once)
{
    sent_frames sent = proven_connection();
    const auto first = frame(10);
    const auto second = frame(20);
    sent.add(first, start);
    sent.add(second, start);
    const auto again = sent.take_for_resend();
    const std::deque<sent_frames::frame_ptr> both{first, second};
    cr_assert(again == both);
    cr_assert(sent.empty());
    for (const auto& each : again)
        sent.add(each, start + 1s);
    const auto third = frame(30);
    sent.add(third, start + 1s);
    const std::deque<sent_frames::frame_ptr> only_third{third};
    cr_assert(sent.take_for_resend() == only_third);
}

// Guards against closing connections to a build that does not acknowledge as if they were silent.
Test(sent_frames, a_peer_that_never_acknowledged_gets_more_time_and_no_frame_twice)
{
    sent_frames sent;
    sent.add(frame(10), start);
    cr_assert_not(sent.is_overdue(start + 2s));
    cr_assert(sent.is_overdue(start + 10s), "it may have been silent from the start");
    cr_assert(sent.take_for_resend().empty());
}

// Guards against memory that grows while a peer reads nothing.
Test(sent_frames, what_is_kept_is_bounded)
{
    sent_frames sent = proven_connection();
    std::size_t bytes = 0;
    for (; !sent.full(); bytes += 1U << 20U)
        sent.add(frame(1U << 20U), start);
    cr_assert_leq(bytes, 8U << 20U);
    sent = proven_connection();
    std::size_t frames = 0;
    for (; !sent.full(); ++frames)
        sent.add(frame(10), start);
    cr_assert_leq(frames, 1000U);
}
