// Public header of the scenario library: stories of failures, told in Lua, played on real daemons
// over loopback and judged by what the stand-ins saw.
//
//   scenario_options options{.programs = "build", .logs = "build/scenarios"};
//   scenario_outcome seen = run_scenario("scenarios/lost_reply.lua", options);
//   if (!seen.problems.empty()) ...
//
// A scenario is a Lua file that opens with its story. scenarios/prelude.lua, which is run before
// each, defines the words that it is told in. After every scenario the invariants that must hold
// whatever happens are checked from the stand-ins' accounts (invariants.h).
#pragma once

#include "base/base.h"

#include <string>
#include <vector>

namespace jaynotch {

struct scenario_options {
    std::string programs = "build";       ///< folder of jaynotchd
    std::string logs = "build/scenarios"; ///< where the daemons' logs go
    bool show_notes = false;
};

struct scenario_outcome {
    std::string name;
    std::string description; ///< the comment at the top of the file
    double seconds = 0.0;
    std::uint64_t checks = 0;
    std::vector<std::string> problems; ///< empty if all went well
};

scenario_outcome run_scenario(const std::string& path, const scenario_options& options);

} // namespace jaynotch
