// What a soak does to its processes and links, drawn from a seed: series of faults that overlap.
//
//   for (const planned_fault& one : draw_plan({.seed = 7, .daemons = 4, .runners = 13}))
//       std::printf("%s\n", to_string(one).c_str());
//
// A pure function of its settings: the same seed is the same plan.
#pragma once

#include "base/base.h"
#include "soak/fault_proxy.h"

#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

enum class daemon_fault {
    kill,   ///< SIGKILL, and a new start
    pause,  ///< SIGSTOP, and SIGCONT: its clocks stand still, those of the others go on
    stop,   ///< SIGTERM, and a new start once it has ended
    reload, ///< its settings file written anew, and SIGHUP
};
template <>
struct enum_names<daemon_fault> {
    static constexpr std::array entries{
        named{daemon_fault::kill, "kill"}, named{daemon_fault::pause, "pause"},
        named{daemon_fault::stop, "stop"}, named{daemon_fault::reload, "reload"}};
};

enum class runner_fault {
    crash, ///< gone without a word; its entry goes later, and a new runner comes
    drain, ///< tells that it leaves, and leaves
    mute,  ///< takes everything and answers nothing
    refuse,
    fail,
    cut,     ///< ends its connections after it ran a request
    forge,   ///< sends answers that belong to others before its own
    cut_mid, ///< ends streams in their middle
};
template <>
struct enum_names<runner_fault> {
    static constexpr std::array entries{
        named{runner_fault::crash, "crash"}, named{runner_fault::drain, "drain"},
        named{runner_fault::mute, "mute"},   named{runner_fault::refuse, "refuse"},
        named{runner_fault::fail, "fail"},   named{runner_fault::cut, "cut"},
        named{runner_fault::forge, "forge"}, named{runner_fault::cut_mid, "cut_mid"}};
};

enum class link_end { store, peers, runner };
template <>
struct enum_names<link_end> {
    static constexpr std::array entries{named{link_end::store, "store"},
                                        named{link_end::peers, "peers"},
                                        named{link_end::runner, "runner"}};
};

struct planned_daemon_fault {
    daemon_fault fault = daemon_fault::kill;
    std::size_t daemon = 0;
};
struct planned_runner_fault {
    runner_fault fault = runner_fault::crash;
    std::size_t runner = 0;
};
/// The link of a daemon to the store or from its peers, or that of all daemons to a runner.
struct planned_link_fault {
    link_end end = link_end::store;
    std::size_t index = 0;
    link_fault fault = link_fault::silence;
    std::chrono::milliseconds delay{0};
};
/// The store answers 503 to everybody, or its links to all daemons fail alike.
struct planned_store_fault {
    link_fault fault = link_fault::none; ///< none: it refuses
};
/// The operators change the configuration.
struct configuration_change {};

struct planned_fault {
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds active_for{0};
    std::variant<planned_daemon_fault, planned_runner_fault, planned_link_fault,
                 planned_store_fault, configuration_change>
        action;
};

struct fault_plan_settings {
    std::uint64_t seed = 1;
    std::size_t daemons = 4;
    std::size_t runners = 13;
    std::chrono::milliseconds length{10'000};
    double faults_per_s = 1.2;
};

std::vector<planned_fault> draw_plan(const fault_plan_settings& settings);
std::string to_string(const planned_fault& planned);

} // namespace jaynotch
