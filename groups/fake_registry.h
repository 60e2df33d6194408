// A simulation for tests: runners that register themselves, the part of the platform's store that
// managers use, and the managers of one failure domain, on a clock controlled by the test.
//
//   fake_registry world{{.managers = 2, .domains = 2, .runners = 9}};
//   world.run(5s);
//   world.kill("r-a-0");
//   world.run(2s);
//   cr_assert_eq(world.open_groups("big"), 2);
//   cr_assert(world.violation().empty(), "%s", world.violation().c_str());
//
// Runners refuse an order whose fencing number is lower than one that they have accepted. Two
// invariants of the orders are checked, and violation() describes the first violation:
//
// - a runner is not ordered to join another group while the head of its present group is open;
// - a head is ordered to open only with the number of members that the model needs, after every
//   live member has been ready in the group.
#pragma once

#include "groups/formation.h"
#include "outside/kv_store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jaynotch::groups {

struct fake_registry_settings {
    std::size_t managers = 1;
    std::size_t domains = 1; ///< fabric domains of the one failure domain
    std::size_t runners = 9; ///< in each of them
    std::uint64_t seed = 1;
    bool traffic = false; ///< whether there is traffic from the start, which slows loads
    std::int64_t max_groups_per_term = formation_settings{}.max_groups_per_term;
    std::chrono::milliseconds warm_up{1'100}; ///< of all models
};

class fake_registry {
public:
    explicit fake_registry(fake_registry_settings settings);

    /// Advances the clock by `time`.
    void run(duration time);
    /// Runs until `done` holds; false if it doesn't within `longest`.
    bool run_until(const std::function<bool()>& done, duration longest);
    /// The runner stops; its entry expires after three heartbeat intervals.
    void kill(const std::string& id);
    /// Starts the runner again under the same id; models staged on its host are kept.
    void restart_runner(const std::string& id);
    /// Cuts the runner off from the managers and the store; it continues to work, but its entry
    /// expires.
    void disconnect(const std::string& id);
    /// The runner's process stops, while its host still accepts connections: it answers nothing and
    /// sends no heartbeats until resume().
    void pause(const std::string& id);
    /// The runner answers probes only after this time, as a server short of processor time does;
    /// it keeps its entry. 0: at once.
    void answer_late(const std::string& id, duration late);
    /// The runner continues, and executes the orders that have arrived meanwhile.
    void resume(const std::string& id);
    /// Removes the entry of a running runner; the runner writes it again after `away`.
    void expire_entry(const std::string& id, duration away);
    /// Announces in the runner's entry that it is about to leave.
    void drain(const std::string& id);
    /// The runner's entry says that it stays cold for `left`.
    void set_cold(const std::string& id, std::chrono::milliseconds left);
    void add(const std::string& id, std::size_t domain);
    void begin_traffic();
    /// Operators evacuate the failure domain or withdraw that, and every manager's node knows.
    void set_evacuated(bool evacuated);
    /// Stops the manager's process at once; its lease expires.
    void kill_manager(std::size_t index);
    /// Starts a new manager process in its place, which knows only what the registry shows.
    void start_manager(std::size_t index);
    /// From now on, orders are with this probability unanswered and executed 2 to 12 s later.
    void lose_orders(double chance) { m_lost_orders = chance; }
    /// From now on, orders are with this probability unanswered, but executed at once.
    void lose_answers(double chance) { m_lost_answers = chance; }
    /// From now on, reports show the runners' state of `late` ago.
    [[nodiscard]] std::vector<std::string> runner_ids() const;
    /// Requests for runners' reports so far.
    [[nodiscard]] std::size_t report_requests() const { return m_report_requests; }
    void delay_reports(duration late) { m_report_delay = late; }
    /// From now on, managers receive each entry `late` after it was written.
    void delay_entries(duration late) { m_entry_delay = late; }
    /// Reports to every manager that requests to this head's group get no answer.
    void report_unresponsive_group(const std::string& head);
    /// The same to one node only.
    void report_unresponsive_group(const std::string& head, std::size_t manager,
                                   silence_evidence evidence = silence_evidence::stopped_streams);
    /// Begins an outage of the store: no answers and no updates, while leases expire.
    void store_down();
    /// Ends the outage. Runners write their entries again after `entries_late`; until then the
    /// registry shows the entries from before the outage.
    void store_up(duration entries_late = duration{0});
    /// Whether leases survive an outage of the store, so that a manager resumes its old term.
    bool leases_outlast_outages = false;
    /// Cuts the manager's node off from all runners, or reconnects it. Its peers and the store stay
    /// in reach.
    void cut_manager(std::size_t index) { m_cut_managers.insert(index); }
    void reconnect_manager(std::size_t index) { m_cut_managers.erase(index); }
    /// Tells the manager what its node believes about its reach of backend servers.
    void report_reach(std::size_t manager, bool cut_off);
    /// Whether other nodes answer a manager's questions about a runner.
    bool peers_answer = true;
    /// Whether other nodes reach a runner that a manager does not reach.
    bool peers_reach_runner = false;
    /// Whether another node reaches the store while these managers don't.
    bool peers_reach_store = false;

    [[nodiscard]] std::size_t open_groups(const std::string& model) const;
    [[nodiscard]] std::string head_of(const std::string& model, std::size_t index) const;
    [[nodiscard]] std::vector<std::string> members_of(const std::string& head) const;
    /// Live runners that are in no open group.
    [[nodiscard]] std::vector<std::string> spare() const;
    /// Number of live runners on whose hosts `model` is staged.
    [[nodiscard]] std::size_t staged(const std::string& model) const;
    /// Number of managers that lead.
    [[nodiscard]] std::size_t leaders() const;
    /// Index of the first manager that leads, or the number of managers if none does.
    [[nodiscard]] std::size_t leader() const;
    /// The first violation of an invariant; empty if there is none.
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    /// Number of orders sent.
    [[nodiscard]] std::size_t orders() const { return m_orders; }
    /// Number of probes that managers have sent to runners.
    [[nodiscard]] std::size_t probes() const { return m_probes; }

    static std::vector<pool> pools();

private:
    struct fake_runner {
        runner row;
        bool alive = true;
        bool reachable = true;
        bool paused = false;
        duration late{0}; ///< until it answers a probe
        bool listed = true;
        time_point unlist_at = time_point::max();
        time_point list_at = time_point::max();
        std::int64_t fence = 0;
        std::int64_t epoch = 0;
        std::string loaded_model;
        std::vector<vm_id> members; ///< of its group, by rank
        /// The groups and epochs in which it has been ready since its start.
        std::set<std::pair<group_id, std::int64_t>> was_ready;
        std::string joining_model;
        time_point joined_at = time_point::max();
        time_point opens_at = time_point::max();
        std::optional<runner> pending_entry; ///< first entry written during an outage
        std::int64_t begun_orders = 0;
        std::string staging;
        time_point staged_at = time_point::max();
        /// Its reports, each with the time from which it applies.
        std::deque<std::pair<time_point, runner_report>> reports;
    };
    struct fake_manager {
        std::unique_ptr<runner_registry> registry;
        formation_manager core;
        bool alive = true;
    };
    struct due_order {
        time_point at;
        std::size_t manager = 0;
        send_order order;
        bool answered = true;
        bool carried_out = true;
    };

    fake_manager make_manager(std::size_t manager) const;
    void deliver_initial_state(std::size_t manager);
    void unlist(fake_runner& unlisted);
    void step();
    void broadcast(const formation_event& event);
    void deliver(std::size_t manager, const formation_event& event);
    void carry_out(std::size_t manager, const formation_command& command);
    [[nodiscard]] probe_outcome outcome_of(std::size_t manager, const probe_member& asked);
    static void note_report(fake_runner& target, time_point now);
    void send(std::size_t manager, const send_order& order);
    [[nodiscard]] runner_report report_of(const fake_runner& target) const;
    void publish(fake_runner& changed);
    void publish_entry(const runner& row);
    void publish_key();
    order_reply execute(fake_runner& target, const send_order& order);
    void count_order(fake_runner& target);
    order_reply join(fake_runner& target, const join_group& order);
    order_reply open(fake_runner& target, const open_group& order);
    void advance(fake_runner& target);
    void record_violation(const std::string& what);
    fake_runner* find(const std::string& id);

    fake_registry_settings m_settings;
    random_source m_random;
    time_point m_now{std::chrono::hours{1}};
    kv_store m_store;
    std::int64_t m_key_revision = 0;
    std::vector<peer_row> m_peers;
    std::map<std::string, fake_runner> m_runners;
    std::map<std::string, runner> m_published; ///< entries in the registry
    std::vector<fake_manager> m_managers;
    std::set<std::size_t> m_cut_managers; ///< that reach no runner
    std::deque<due_order> m_due;
    std::int64_t m_last_born_ms = 0;
    std::deque<std::pair<time_point, runner>> m_delayed_entries; ///< written, not yet delivered
    duration m_entry_delay{0};
    duration m_report_delay{0};
    double m_lost_orders = 0.0;
    double m_lost_answers = 0.0;
    bool m_traffic = false;
    std::size_t m_report_requests = 0;
    bool m_store_down = false;
    bool m_evacuated = false;
    std::size_t m_orders = 0;
    std::size_t m_probes = 0;
    std::string m_violation;
};

} // namespace jaynotch::groups
