#include "peers/store_outage.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

/// A node that has had answers of the store for a while, the last one at `start`.
store_outage steady_node()
{
    store_outage node{{}};
    node.store_answered(start - 60s);
    node.store_answered(start);
    return node;
}

bool keeps_entries(const store_outage& node, time_point now)
{
    return now < node.grace_until();
}

} // namespace

// Guards against removing the fleet after the store was down for all.
Test(store_outage, entries_are_kept_after_an_outage)
{
    store_outage node = steady_node();
    node.store_failed();
    node.store_failed();
    node.store_answered(start + 3s);
    cr_assert(keeps_entries(node, start + 5s));
    cr_assert_not(keeps_entries(node, start + 5'300ms));
    cr_assert(node.steady_since() == start + 3s);
}

// Guards against taking one silent connection for an outage of the store.
Test(store_outage, a_single_failure_is_no_outage)
{
    store_outage node = steady_node();
    node.store_failed();
    node.store_answered(start + 4s);
    cr_assert_not(keeps_entries(node, start + 4s));
    cr_assert(node.steady_since() == start - 60s);
}

// Guards against keeping entries after a gap in which none can have expired.
Test(store_outage, a_short_gap_is_no_outage)
{
    store_outage node = steady_node();
    for (int failure = 0; failure < 20; ++failure)
        node.store_failed();
    node.store_answered(start + 2'300ms);
    cr_assert_not(keeps_entries(node, start + 2'300ms));
}

// Guards against keeping the entries of servers that left while this node alone was cut off.
Test(store_outage, a_neighbour_that_was_answered_disproves_it)
{
    store_outage node = steady_node();
    node.store_failed();
    node.store_failed();
    node.store_answered(start + 5s);
    cr_assert(keeps_entries(node, start + 5s));
    node.neighbour_knows(start - 90s, start + 5'100ms);
    cr_assert_not(keeps_entries(node, start + 5'100ms));
    cr_assert(node.steady_since() == start - 90s);
}

// Guards against removing servers at a node that made no call during the outage.
Test(store_outage, a_neighbour_that_saw_the_outage_is_believed)
{
    store_outage node = steady_node();
    node.neighbour_knows(start + 3'800ms, start + 4s);
    cr_assert(keeps_entries(node, start + 5'900ms));
    cr_assert_not(keeps_entries(node, start + 6s));
}

// Guards against a neighbour that was cut off alone: it must not start a grace period elsewhere.
Test(store_outage, a_neighbour_that_was_cut_off_starts_no_grace_period)
{
    store_outage node = steady_node();
    node.neighbour_answered(start + 3s);
    node.neighbour_knows(start + 3'800ms, start + 4s);
    cr_assert_not(keeps_entries(node, start + 4s));
}

// Guards against believing in an outage less because a neighbour saw its end some time earlier.
Test(store_outage, the_first_who_saw_its_end_says_when_the_grace_period_ends)
{
    store_outage node = steady_node();
    node.store_failed();
    node.store_failed();
    node.store_answered(start + 4s);
    node.neighbour_knows(start + 3'700ms, start + 4'100ms);
    cr_assert(keeps_entries(node, start + 5'800ms));
    cr_assert_not(keeps_entries(node, start + 5'900ms));
}

// Guards against a neighbour that denies an outage because it has heard nothing since.
Test(store_outage, a_neighbour_that_has_not_heard_of_the_store_since_disproves_nothing)
{
    store_outage node = steady_node();
    node.store_failed();
    node.store_failed();
    node.store_answered(start + 4s);
    node.neighbour_knows(start - 90s, start + 500ms);
    cr_assert(keeps_entries(node, start + 6s));
}

// Guards against a node that has its tables from a peer and removes the fleet after an outage in
// which it called the store for the first time.
Test(store_outage, a_node_that_the_store_never_answered_knows_of_an_outage)
{
    store_outage node{{}};
    node.informed(start - 60s, start);
    node.store_failed();
    node.store_failed();
    node.store_answered(start + 3s);
    cr_assert(keeps_entries(node, start + 5s));
}
