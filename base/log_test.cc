#include "base/log_buffer.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};

std::string line(char letter, std::size_t length = 100)
{
    return std::string(length - 1, letter) + "\n";
}

std::string drain(log_buffer& lines)
{
    std::string all;
    for (std::string_view next = lines.front(64); !next.empty(); next = lines.front(64)) {
        all += next;
        lines.consume(next.size());
    }
    return all;
}

} // namespace

Test(log_buffer, urgent_lines_are_written_first)
{
    log_buffer lines{{}};
    lines.add(log_level::info, "a", line('a'), start);
    lines.add(log_level::error, "b", line('b'), start);
    const std::string out = drain(lines);
    cr_assert_eq(out, line('b') + line('a'));
}

// Interleaved lines would both be unreadable, so a partly written line is completed before any
// other, even an urgent one.
Test(log_buffer, a_partly_written_line_is_completed_first)
{
    log_buffer lines{{}};
    lines.add(log_level::info, "a", line('a'), start);
    lines.consume(lines.front(10).size());
    lines.add(log_level::error, "b", line('b'), start);
    cr_assert_eq(drain(lines), line('a').substr(10) + line('b'));
}

// Without a reader the buffer must not grow beyond its limits. It keeps space for urgent lines and
// counts the lines that it drops.
Test(log_buffer, an_unread_log_stays_within_its_bounds)
{
    log_buffer lines{{.max_buffered_bytes = 1'000, .max_buffered_routine_bytes = 700}};
    for (int index = 0; index < 50; ++index)
        lines.add(log_level::info, "routine", line('a'), start);
    cr_assert_eq(lines.buffered_bytes(), 700U);
    for (int index = 0; index < 50; ++index)
        lines.add(log_level::error, "urgent", line('b'), start);
    cr_assert_eq(lines.buffered_bytes(), 1'000U);
    const auto dropped = lines.take_dropped();
    cr_assert_eq(dropped.at("routine"), 43U);
    cr_assert_eq(dropped.at("urgent"), 47U);
    cr_assert(lines.take_dropped().empty());
    cr_assert_eq(lines.dropped(), 90U);
}

// A node produces routine lines faster than its limit. The excess must be dropped, and urgent
// lines, which have a limit of their own, must still be accepted.
Test(log_buffer, routine_lines_are_rate_limited)
{
    log_buffer lines{{.routine_bytes_s = 1'000.0, .burst_s = 2.0}};
    std::size_t accepted = 0;
    for (int step = 0; step < 1'000; ++step) {
        accepted += lines.add(log_level::info, "routine", line('a'), start + step * 10ms) ? 1 : 0;
        drain(lines);
    }
    cr_assert_leq(accepted, 121U); // ten seconds at ten lines a second, and a full bucket
    cr_assert_geq(accepted, 115U);
    cr_assert(lines.add(log_level::error, "urgent", line('b'), start + 10s));
}
