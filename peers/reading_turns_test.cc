// Tests of the order in which nodes without tables read everything from the store.
#include "peers/reading_turns.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};

/// Nodes of a failure domain that may read at that time.
std::size_t readers(const reading_turns& turns, std::size_t domain, std::size_t fleet,
                    duration after)
{
    std::size_t count = 0;
    for (std::size_t rank = 0; rank < domain; ++rank)
        count += turns.may_read(rank, fleet, start + after) ? 1 : 0;
    return count;
}

} // namespace

// Guards against a fleet whose nodes all ask a slow store at once.
Test(reading_turns, readers_grow_no_faster_than_the_time_that_passed)
{
    const reading_turns turns{{.settle = 100ms, .round = 1s}, start};
    cr_assert_eq(readers(turns, 100, 300, 50ms), 0U);
    cr_assert_eq(readers(turns, 100, 300, 200ms), 1U);
    cr_assert_eq(readers(turns, 100, 300, 1'200ms), 2U);
    cr_assert_eq(readers(turns, 100, 300, 3'200ms), 4U);
    cr_assert_eq(readers(turns, 100, 300, 7'200ms), 8U);
    cr_assert_eq(readers(turns, 100, 300, 15'200ms), 16U);
}

// Guards against nodes that wait for others although the store is fast enough for all.
Test(reading_turns, all_read_as_soon_as_a_short_reading_is_announced)
{
    reading_turns turns{{.settle = 100ms, .affordable = 1s}, start};
    turns.reading_announced(20ms);
    cr_assert_eq(readers(turns, 10, 28, 0ms), 10U);
    cr_assert_eq(readers(turns, 10, 300, 200ms), 1U, "300 readings take six seconds");
    turns.reading_announced(800ms);
    cr_assert_eq(readers(turns, 10, 28, 200ms), 1U);
}

// Guards against a node that never reads since it knows no other.
Test(reading_turns, a_node_alone_reads_after_the_time_to_learn_of_others)
{
    const reading_turns turns{{.settle = 100ms}, start};
    cr_assert_not(turns.may_read(0, 1, start + 99ms));
    cr_assert(turns.may_read(0, 1, start + 100ms));
}
