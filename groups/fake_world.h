// A simulation of several daemons' managers and ticket boards over the fakes, with delays, losses,
// pauses and outages drawn from a seed. Messages are delivered from a queue in the order of their
// times; nothing else of a network is modelled.
//
//   fake_world world{options, seed};
//   world.step();                       // advances by options.step
//   world.violations();                 // empty if every invariant has held so far
#pragma once

#include "groups/fake_fleet.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jaynotch::groups {

inline constexpr auto fake_deployment = "fake";

struct world_options {
    std::size_t nodes = 3;
    std::size_t domains = 2;
    std::size_t vms_per_domain = 7;
    bool engines_check_fencing = true;
    double faults_per_step = 0.0; ///< probability of a new fault in each step
    duration step = 250ms;
};

class fake_world {
public:
    fake_world(const world_options& options, std::uint64_t seed);

    void step();
    void run(duration span);
    /// Ends all faults and outages of the platform and the engines, and revives dead engines.
    void heal();
    void install(std::shared_ptr<const configuration> tables);

    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    /// Records and engines as text, for the diagnosis of a failed run.
    [[nodiscard]] std::string describe() const;
    /// Groups with a valid ticket on every node that is not paused.
    [[nodiscard]] std::vector<complete_group> complete_everywhere() const;
    [[nodiscard]] std::vector<complete_group> complete_on(std::size_t node_index) const;
    [[nodiscard]] domain_record record(std::size_t domain) const;

    // Faults and state, controlled directly by tests of a single scenario.
    fake_engine& engine(const vm_id& vm) { return *m_engines.at(vm); }
    std::map<vm_id, std::shared_ptr<fake_engine>>& engines() { return m_engines; }
    void kill(const vm_id& vm) { engine(vm).alive = false; }
    void pause_node(std::size_t node_index, duration span);
    void platform_down(bool down) { m_platform_down = down; }
    void lose_replies(double probability) { m_reply_loss = probability; }
    void set_extra_rows(std::vector<vm_row> extra) { m_extra_rows = std::move(extra); }
    /// The manager that leads `domain`, or -1.
    [[nodiscard]] int leader(std::size_t domain) const;
    /// Whether a node that resumes after a pause sends its deferred orders even past `not_after`.
    void send_late_orders(bool late) { m_send_late_orders = late; }
    fake_store& store() { return m_store; }

private:
    struct node {
        node_id name;
        std::vector<domain_manager> managers;
        std::unique_ptr<ticket_board> board;
        time_point paused_until;
        /// Messages received, and orders about to be sent, during a pause.
        std::vector<std::function<void()>> deferred;
    };

    void schedule(duration delay, std::function<void()> action);
    duration delay();
    void deliver(std::size_t node_index, const manager_event& event, std::size_t domain);
    void deliver_to_board(std::size_t node_index, const board_event& event);
    void execute(std::size_t node_index, std::size_t domain, const manager_command& command);
    void execute(std::size_t node_index, const board_command& command);
    void probe_vm(std::size_t node_index, const vm_id& vm);
    void push_ticket(std::size_t node_index, const ticket_changed& change);
    void dispatch_order(std::size_t node_index, std::size_t domain, const manager_command& command);
    void maybe_inject_fault();
    void deliver_updates();
    void advance_loads();
    void check();
    void add_violation(std::string what);

    world_options m_options;
    random_source m_random;
    time_point m_now{std::chrono::hours{1}};
    fake_store m_store;
    std::shared_ptr<const configuration> m_tables;
    std::map<vm_id, std::shared_ptr<fake_engine>> m_engines;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<fabric_domain_id> m_domains;
    std::multimap<time_point, std::function<void()>> m_queue;
    std::vector<vm_row> m_extra_rows;
    std::set<vm_id> m_hidden; ///< live VMs that the list omits
    bool m_platform_down = false;
    bool m_send_late_orders = false;
    double m_reply_loss = 0.0;
    time_point m_next_update;
    std::int64_t m_delivered_revision = -1;
    std::uint64_t m_replacements = 0;
    std::uint64_t m_orders = 0;
    std::map<std::string, time_point> m_last_complete; ///< by group and members
    std::vector<std::string> m_violations;
};

} // namespace jaynotch::groups
