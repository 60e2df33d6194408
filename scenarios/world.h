// The system under test of a scenario and the operations that scripts call: stand-ins in this
// process, daemons as child processes, the network between them, and load generators. Each scenario
// has its own instance.
#pragma once

#include "load/load.h"
#include "scenarios/child_process.h"
#include "scenarios/forwarder.h"
#include "scenarios/scenarios.h"
#include "standins/standin_testing.h"
#include "standins/standins.h"

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

/// One daemon of a scenario: its addresses and its current process.
struct scenario_daemon {
    std::string name;
    std::string failure_domain;
    std::string listen;
    std::string peer_listen;
    std::string admin_listen;
    std::string peer_advertise; ///< address of its forwarder
    std::vector<std::string> command_line;
    std::optional<child_process> process;
    bool end_expected = false; ///< the scenario stopped or killed it
};

/// A load generator that runs concurrently with the scenario. The report is set once it ends.
struct running_load {
    std::optional<load_report> report;
};

class scenario_world {
public:
    scenario_world(std::string name, const scenario_options& options);
    ~scenario_world();
    scenario_world(const scenario_world&) = delete;
    scenario_world& operator=(const scenario_world&) = delete;

    /// Executes one operation of the script; throws if it fails.
    boost::json::value call(std::string_view name, const boost::json::object& arguments);

    [[nodiscard]] std::uint64_t checks() const { return m_checks; }
    [[nodiscard]] const std::vector<std::string>& problems() const { return m_problems; }
    void add_problem(std::string problem) { m_problems.push_back(std::move(problem)); }
    [[nodiscard]] const std::vector<plain_call_record>& plain_calls() const
    {
        return m_plain_calls;
    }
    [[nodiscard]] std::uint64_t wrong_answers() const { return m_wrong_answers; }
    [[nodiscard]] const std::vector<std::string>& wrong_details() const { return m_wrong_details; }
    [[nodiscard]] const standin_fleet* fleet() const { return m_fleet.get(); }
    /// Names of daemons that exited without having been stopped or killed by the scenario.
    std::vector<std::string> unexpected_exits();

private:
    using arguments_type = boost::json::object;
    using operation = boost::json::value (scenario_world::*)(const arguments_type&);
    struct operation_row {
        std::string_view name;
        operation handler;
    };
    static const std::vector<operation_row>& operations();

    // The operations; scenarios/prelude.lua documents their arguments and results.

    // Checks, time and records (world.cc).
    boost::json::value check(const arguments_type& arguments);
    boost::json::value render(const arguments_type& arguments);
    boost::json::value note(const arguments_type& arguments);
    boost::json::value wait(const arguments_type& arguments);
    boost::json::value now(const arguments_type& arguments);
    boost::json::value account(const arguments_type& arguments);
    boost::json::value kv_entries(const arguments_type& arguments);

    // Daemons (world_daemons.cc).
    boost::json::value start_fleet(const arguments_type& arguments);
    boost::json::value start_daemon(const arguments_type& arguments);
    boost::json::value restart(const arguments_type& arguments);
    boost::json::value signal(const arguments_type& arguments);
    boost::json::value await_exit(const arguments_type& arguments);
    boost::json::value http(const arguments_type& arguments);
    /// Starts the daemon's process and waits until its admin address answers.
    void launch(scenario_daemon& daemon);
    scenario_daemon& find_daemon(const std::string& name);

    // Faults (world_faults.cc).
    boost::json::value fault(const arguments_type& arguments);
    boost::json::value fault_fabric(const arguments_type& arguments);
    boost::json::value change_vm(const arguments_type& arguments);
    boost::json::value cut(const arguments_type& arguments);
    boost::json::value heal(const arguments_type& arguments);
    boost::json::value expire_lease(const arguments_type& arguments);
    /// Replaces failure domains and "platform" with the names of the processes in them.
    std::vector<std::string> expand_names(const std::vector<std::string>& names) const;

    // Load (world_load.cc).
    boost::json::value ask(const arguments_type& arguments);
    boost::json::value order(const arguments_type& arguments);
    boost::json::value start_load(const arguments_type& arguments);
    boost::json::value finish_load(const arguments_type& arguments);
    void record_wrong_answer(const call_result& result, std::string_view call_kind);
    std::string listen_address_of(const std::string& name);

    std::string m_name;
    scenario_options m_options;
    test_runtime m_runtime;
    std::shared_ptr<standin_fleet> m_fleet;
    std::shared_ptr<loopback_network> m_network;
    std::string m_kv_address;  ///< of its forwarder
    std::string m_vms_address; ///< of its forwarder
    std::map<std::string, scenario_daemon> m_daemons;
    std::vector<std::shared_ptr<running_load>> m_loads;
    std::vector<plain_call_record> m_plain_calls;
    std::uint64_t m_wrong_answers = 0;
    std::vector<std::string> m_wrong_details;
    std::uint64_t m_checks = 0;
    std::vector<std::string> m_problems;
    time_point m_start_time = runtime_clock::now();
};

} // namespace jaynotch
