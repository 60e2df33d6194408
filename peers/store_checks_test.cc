#include "peers/store_checks.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

// Load: three managers that the store turns away ask all nodes each 300 ms. Guards against a call
// for each question.
Test(store_checks, one_call_answers_the_questions_of_several_managers)
{
    store_checks checks;
    const time_point start{1h};
    int calls = 0;
    for (duration passed{0}; passed < 3s; passed += 100ms) {
        if (checks.known(start + passed))
            continue;
        ++calls;
        checks.note(true, start + passed);
    }
    cr_assert_leq(calls, 5, "30 questions");
}

// Failure: the store goes down for all. Guards against an outage that is denied for long.
Test(store_checks, an_old_success_does_not_deny_an_outage)
{
    store_checks checks;
    const time_point start{1h};
    cr_assert_not(checks.known(start));
    checks.note(true, start);
    cr_assert_eq(checks.known(start + 500ms), std::optional{true});
    cr_assert_not(checks.known(start + 700ms), "asks the store again");
    checks.note(false, start + 700ms);
    cr_assert_eq(checks.known(start + 2s), std::optional{false});
    cr_assert_not(checks.known(start + 3s));
}
