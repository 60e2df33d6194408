// Helpers for tests of the formation manager: a failure domain whose groups are serving, and the
// check of the invariants at the end.
//
//   fake_registry world = serving_fleet({.domains = 2, .runners = 9});
//   ...
//   assert_no_violations(world);
#pragma once

#include "groups/fake_registry.h"

#include <criterion/criterion.h>

namespace jaynotch::groups {

/// A failure domain with all groups open, after the first request.
inline fake_registry serving_fleet(fake_registry_settings settings)
{
    fake_registry world{settings};
    world.run(12s);
    world.begin_traffic();
    return world;
}

inline void assert_no_violations(const fake_registry& world)
{
    cr_assert(world.violation().empty(), "%s", world.violation().c_str());
}

} // namespace jaynotch::groups
