// Generates the fault schedule of a soak run from a seed: process, link, store and configuration
// faults that may overlap in time.
//
//   for (const planned_fault& planned : draw_plan({.seed = 7, .daemons = 4, .runners = 13}))
//       std::printf("%s\n", to_string(planned).c_str());
//
// draw_plan() is deterministic: equal settings give equal plans, in order of time.
#pragma once

#include "base/base.h"
#include "standins/fault_proxy.h"

#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

enum class daemon_fault {
    kill,   ///< SIGKILL, followed by a restart
    pause,  ///< SIGSTOP, later SIGCONT: the daemon misses time that the other nodes see pass
    stop,   ///< SIGTERM, followed by a restart after the process has exited
    reload, ///< rewrites the settings file and sends SIGHUP
};
template <>
struct enum_names<daemon_fault> {
    static constexpr std::array entries{
        named{daemon_fault::kill, "kill"}, named{daemon_fault::pause, "pause"},
        named{daemon_fault::stop, "stop"}, named{daemon_fault::reload, "reload"}};
};

enum class runner_fault {
    crash, ///< exits without deregistering; its entry expires later and a new runner is added
    drain, ///< announces that it is draining, then exits
    mute,  ///< accepts requests and sends no answer
    refuse,
    fail,
    cut,     ///< closes the connection after running a request
    forge,   ///< sends answers to other requests before the right one
    cut_mid, ///< closes the connection in the middle of a stream
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
/// A fault on one daemon's link to the store, on the link from its peers, or on the link of all
/// daemons to one runner.
struct planned_link_fault {
    link_end end = link_end::store;
    std::size_t index = 0;
    link_fault fault = link_fault::silence;
    std::chrono::milliseconds delay{0};
};
/// The store answers every request with 503, or all daemons' links to it have the same fault.
struct planned_store_fault {
    link_fault fault = link_fault::none; ///< none: the store answers 503
};
/// An operator publishes a new configuration version.
struct configuration_change {};
/// Sound servers that read and write nothing for a while, keep their connections and go on.
struct planned_pause {
    std::size_t first = 0; ///< counted among the servers that are alive then
    double share = 0.0;    ///< of the servers that are alive then; at least one is paused
};

enum class fleet_loss {
    kill,  ///< the processes are killed, which closes their connections
    power, ///< they lose power: no connection is closed, and the other ends hear nothing
};
template <>
struct enum_names<fleet_loss> {
    static constexpr std::array entries{named{fleet_loss::kill, "kill"},
                                        named{fleet_loss::power, "power"}};
};

/// All daemons are lost at once and started again, in any order.
struct planned_fleet_outage {
    fleet_loss how = fleet_loss::kill;
    std::chrono::milliseconds down{1'300};
    std::chrono::milliseconds start_interval{0}; ///< between two starts
    std::size_t times = 1;                       ///< in a row
    bool first_start = false; ///< the settings say that the whole system starts for the first time
    link_fault store_fault = link_fault::none;    ///< of the daemons' links to the store
    std::chrono::milliseconds store_fault_for{0}; ///< from the loss on
    /// Daemons that reach no runner, from this long before the loss until long after it.
    std::size_t cut_off = 0;
    client_cut cut_how = client_cut::drop;
    std::chrono::milliseconds cut_before{4'000};
};

/// Operators evacuate one of the two failure domains and take it back.
struct planned_evacuation {
    std::size_t domain = 0;
};

/// The store comes back from a copy that was made when this fault began.
struct planned_store_return {};

/// The open connections between daemons and to the store pass nothing more and stay open; later
/// ones work.
struct planned_silence {};

/// A plain server's entry is removed without a word of it, and it serves on for a while.
struct planned_departure {
    std::size_t runner = 0;
};

/// The operators take away all keys, then the last workspace, and give both back.
struct planned_key_removal {};

struct planned_fault {
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds active_for{0};
    std::variant<planned_daemon_fault, planned_runner_fault, planned_link_fault,
                 planned_store_fault, configuration_change, planned_pause, planned_evacuation,
                 planned_store_return, planned_silence, planned_departure, planned_key_removal>
        action;
};

struct fault_plan_settings {
    std::uint64_t seed = 1;
    std::size_t daemons = 4;
    std::size_t runners = 13;
    std::chrono::milliseconds length{10'000};
    double faults_per_s = 1.2;
    bool pauses = true;        ///< servers are paused too; the other faults are the same without
    bool evacuations = true;   ///< in some seeds; the other faults are the same without
    bool store_returns = true; ///< the same
    bool key_removals = false; ///< the other faults are the same with them
    std::size_t plain_servers = 3; ///< the last ones of the runners
    /// Only silent connections, each with a change of the configuration and a server that leaves
    /// without a word.
    bool silences = false;
    bool pause_after_maintenance =
        false; ///< only planned work, each time followed by a pause of most servers
};

std::vector<planned_fault> draw_plan(const fault_plan_settings& settings);
/// The loss of all daemons that ends the run of a seed.
planned_fleet_outage draw_fleet_outage(std::uint64_t seed);
std::string to_string(const planned_fault& planned);
std::string to_string(const planned_fleet_outage& planned);

} // namespace jaynotch
