// Public header of the scenario library. A scenario is a Lua script that injects failures into real
// daemons on the loopback interface and checks how they react.
//
//   scenario_options options{.programs = "build", .logs = "build/scenarios"};
//   scenario_outcome outcome = run_scenario("scenarios/lost_claim.lua", options);
//   if (!outcome.problems.empty()) ...
//
// A scenario file begins with a comment that describes it. scenarios/prelude.lua runs before each
// scenario and defines the functions that it calls. After every scenario the invariants are checked
// against the records of the stand-ins and the callers (invariants.h).
#pragma once

#include "base/base.h"

#include <string>
#include <vector>

namespace jaynotch {

struct scenario_options {
    std::string programs = "build";       ///< folder of jaynotchd
    std::string logs = "build/scenarios"; ///< folder for the daemons' logs
    bool show_notes = false;
};

struct scenario_outcome {
    std::string name;
    std::string description; ///< the comment at the head of the file
    double seconds = 0.0;
    std::uint64_t checks = 0;
    std::vector<std::string> problems; ///< empty if the scenario passed
};

scenario_outcome run_scenario(const std::string& path, const scenario_options& options);

} // namespace jaynotch
