// What first events take beyond the engine's published figures.
#include "routing/first_event_delay.h"

#include <criterion/criterion.h>

using namespace jaynotch;

// Load: engines that need 100 ms more for each first event than their figures say, in a burst in
// which most requests queue in the engine besides.
Test(first_event_delay, the_usual_delay_is_learnt_and_forgotten)
{
    first_event_delay delay;
    for (int sample = 0; sample < 32; ++sample)
        delay.note(sample % 3 == 0 ? 100.0 : 400.0);
    cr_assert_float_eq(delay.usual_ms(), 100.0, 1e-9);
    for (int sample = 0; sample < 32; ++sample)
        delay.note(-20.0);
    cr_assert_float_eq(delay.usual_ms(), 0.0, 1e-9);
}
