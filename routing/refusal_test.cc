// A group that changes its members refuses requests itself before its completeness ticket is
// withdrawn.
#include "routing/core_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

/// Sends a request; the group with the id `broken` refuses it as not run, other groups answer it.
/// Returns whether the request was answered.
bool answered(fixture& world, std::uint64_t id, const std::string& broken, std::size_t& refused)
{
    command_list next = world.chat(id);
    for (int attempts = 0; attempts < 8; ++attempts) {
        if (first<refuse>(next) != nullptr)
            return false;
        const auto* sent = first<send_attempt>(next);
        if (sent == nullptr) {
            next = world.pass(std::chrono::milliseconds{50});
            continue;
        }
        const send_attempt attempt = *sent;
        world.send(attempt_sent{attempt.request, attempt.attempt});
        attempt_head head;
        head.request = attempt.request;
        head.attempt = attempt.attempt;
        head.status = attempt.target.value() == broken ? 409 : 200;
        head.reported_not_run = attempt.target.value() == broken;
        head.version = "v1";
        refused += head.reported_not_run ? 1 : 0;
        next = world.send(head);
        if (head.reported_not_run)
            continue;
        attempt_finished finished;
        finished.request = attempt.request;
        finished.attempt = attempt.attempt;
        finished.complete = true;
        world.send(finished);
        return true;
    }
    return false;
}

} // namespace

// Guards against refused calls while one of two groups replaces a member. For a second its engines
// answer "did not run"; with nothing in flight it looks like the less loaded group and attracts
// every request. When the retries were charged to the retry budget, it was soon empty, and 13 of
// 129 calls were refused although the other group was complete.
Test(refusal, an_incomplete_group_costs_no_caller_an_answer)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fixture world{2, "entry-1", seed};
        std::size_t refused = 0;
        for (std::uint64_t id = 1; id <= 200; ++id) {
            cr_assert(answered(world, id, "group-1", refused), "seed %lu: call %lu was refused",
                      seed, id);
            world.pass(std::chrono::milliseconds{10});
        }
        // 2 s of calls with a refusal pause of 0.5 s: one probe per pause, and the first request.
        cr_assert(refused <= 5, "seed %lu: %zu attempts went to the incomplete group", seed,
                  refused);
    }
}

// Guards against a refusal pause that outlasts its reason: a group that is complete again, with a
// new fencing number, must get requests at once.
Test(refusal, a_new_fencing_number_ends_the_refusal_pause)
{
    fixture world{1};
    command_list next = world.chat(1);
    const send_attempt attempt = *first<send_attempt>(next);
    attempt_head head;
    head.request = attempt.request;
    head.attempt = attempt.attempt;
    head.status = 409;
    head.reported_not_run = true;
    cr_assert(first<send_attempt>(world.send(head)) == nullptr, "sent again to the refusing group");
    target restored = make_group(1);
    restored.fencing = fencing_number{8};
    next = world.send(groups_changed{{restored}});
    if (first<send_attempt>(next) == nullptr)
        next = world.pass(std::chrono::milliseconds{50});
    cr_assert(first<send_attempt>(next) != nullptr, "the complete group gets no request");
}
