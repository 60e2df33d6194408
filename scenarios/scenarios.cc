#include "scenarios/scenarios.h"

#include "scenarios/invariants.h"
#include "scenarios/lua_host.h"
#include "scenarios/world.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace jaynotch {

namespace {

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file{path};
    if (!file)
        throw exception{{error_kind::not_found, "cannot read " + path.string(),
                         "give the path of a scenario file"}};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The comment at the head of a scenario, without the comment marks.
std::string read_head_comment(const std::string& script)
{
    std::istringstream lines{script};
    std::string description;
    std::string line;
    while (std::getline(lines, line) && line.starts_with("--"))
        description += line.substr(std::min<std::size_t>(line.size(), 3)) + "\n";
    return description;
}

void check_invariants(scenario_world& world)
{
    for (const auto& name : world.unexpected_exits())
        world.add_problem(name + " exited unexpectedly");
    auto* fleet = const_cast<standin_fleet*>(world.fleet());
    if (fleet == nullptr)
        return;
    for (const auto& problem :
         find_violations(collect_records(*fleet, world.plain_calls(), world.wrong_answers())))
        world.add_problem(problem);
    if (world.wrong_answers() > 0) {
        for (const auto& detail : world.wrong_details())
            world.add_problem("  " + detail);
    }
}

} // namespace

scenario_outcome run_scenario(const std::string& path, const scenario_options& options)
{
    const std::filesystem::path file{path};
    scenario_outcome outcome;
    outcome.name = file.stem().string();
    const auto start_time = std::chrono::steady_clock::now();
    try {
        std::filesystem::create_directories(options.logs);
        const std::string script = read_file(file);
        outcome.description = read_head_comment(script);
        scenario_world world{outcome.name, options};
        lua_host lua{[&](std::string_view name, const boost::json::object& arguments) {
            return world.call(name, arguments);
        }};
        result<void> ran = lua.run(read_file(file.parent_path() / "prelude.lua"), "prelude.lua");
        if (ran)
            ran = lua.run(script, file.filename().string());
        if (!ran)
            world.add_problem(ran.error().message);
        check_invariants(world);
        outcome.checks = world.checks();
        outcome.problems = world.problems();
    }
    catch (const std::exception& failed) {
        outcome.problems.emplace_back(failed.what());
    }
    outcome.seconds =
        std::chrono::duration<double>{std::chrono::steady_clock::now() - start_time}.count();
    return outcome;
}

} // namespace jaynotch
