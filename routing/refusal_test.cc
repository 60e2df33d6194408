// A group that changes its members refuses requests of itself, before its ticket is withdrawn.
#include "routing/core_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

/// Sends a request and has the group called `broken` refuse it as not run, the other one answer.
/// Returns whether the request ended in an answer.
bool ask(fixture& place, std::uint64_t id, const std::string& broken, std::size_t& refused)
{
    command_list next = place.chat(id);
    for (int sendings = 0; sendings < 8; ++sendings) {
        if (first<refuse>(next) != nullptr)
            return false;
        const auto* sent = first<send_attempt>(next);
        if (sent == nullptr) {
            next = place.pass(std::chrono::milliseconds{50});
            continue;
        }
        const send_attempt order = *sent;
        place.send(attempt_sent{order.request, order.attempt});
        attempt_head head;
        head.request = order.request;
        head.attempt = order.attempt;
        head.status = order.target.value() == broken ? 409 : 200;
        head.reported_not_run = order.target.value() == broken;
        head.version = "v1";
        refused += head.reported_not_run ? 1 : 0;
        next = place.send(head);
        if (head.reported_not_run)
            continue;
        attempt_finished finished;
        finished.request = order.request;
        finished.attempt = order.attempt;
        finished.complete = true;
        place.send(finished);
        return true;
    }
    return false;
}

} // namespace

// One of two groups gets a new member. For a second its engines answer "did not run", and since it
// has nothing in flight it looks the idler of the two and draws every request. The callers saw 13
// of 129 calls refused while the other group was whole: the retries were charged to the budget,
// which was soon empty.
Test(refusal, an_incomplete_group_costs_no_caller_an_answer)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fixture place{2, "entry-1", seed};
        std::size_t refused = 0;
        for (std::uint64_t id = 1; id <= 200; ++id) {
            cr_assert(ask(place, id, "group-1", refused), "seed %lu: call %lu was refused", seed,
                      id);
            place.pass(std::chrono::milliseconds{10});
        }
        // 2 s of calls against a rest of half a second: one look each, and one for the start.
        cr_assert(refused <= 5, "seed %lu: %zu sendings went to the broken group", seed, refused);
    }
}

// The group is whole again, at another fencing number. What it said before is no longer true, so it
// gets requests at once.
Test(refusal, a_new_fencing_number_ends_the_refusal_pause)
{
    fixture place{1};
    command_list next = place.chat(1);
    const send_attempt order = *first<send_attempt>(next);
    attempt_head head;
    head.request = order.request;
    head.attempt = order.attempt;
    head.status = 409;
    head.reported_not_run = true;
    cr_assert(first<send_attempt>(place.send(head)) == nullptr, "sent again to the group at rest");
    target buffered = make_group(1);
    buffered.fencing = fencing_number{8};
    next = place.send(groups_changed{{buffered}});
    if (first<send_attempt>(next) == nullptr)
        next = place.pass(std::chrono::milliseconds{50});
    cr_assert(first<send_attempt>(next) != nullptr, "the whole group gets nothing");
}
