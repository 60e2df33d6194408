// For tests of the manager: a failure domain in good order to begin with, and what must hold at the
// end.
//
//   fake_registry world = serving({.domains = 2, .runners = 9});
//   ...
//   assert_no_violations(world);
#pragma once

#include "groups/fake_registry.h"

#include <criterion/criterion.h>

namespace jaynotch::groups {

/// A failure domain whose groups are all open and whose callers have begun.
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
