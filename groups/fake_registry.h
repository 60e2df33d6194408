// For tests: runners that register themselves, the platform's store as far as managers use it, and
// the managers of one failure domain, all on a clock that the test moves.
//
//   fake_registry world{{.managers = 2, .domains = 2, .runners = 9}};
//   world.run(5s);
//   world.kill("r-a-0");
//   world.run(2s);
//   cr_assert_eq(world.open_groups("big"), 2);
//   cr_assert(world.broken().empty(), "%s", world.broken().c_str());
//
// Whatever the orders, three things must hold, and broken() says which did not: no runner joins
// another group while the head of its own serves and it has not left; a head
// opens only when all members were ready in it; no runner obeys an older fencing number than it has
// seen.
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
    bool traffic = false; ///< from the start: loads are slow
};

class fake_registry {
public:
    explicit fake_registry(fake_registry_settings settings);

    void run(duration time);
    /// Runs until `done` holds; false if it doesn't within `longest`.
    bool run_until(const std::function<bool()>& done, duration longest);
    /// The runner falls silent; its entry goes after the time of three heartbeats.
    void kill(const std::string& id);
    /// It starts again under its id; what was staged on its host is still there.
    void start_again(const std::string& id);
    /// The managers don't reach it and its entry goes, though it works on.
    void cut_off(const std::string& id);
    /// The entry of a runner that works on runs out and is written anew after `away`.
    void lose_entry(const std::string& id, duration away);
    void drain(const std::string& id);
    void add(const std::string& id, std::size_t domain);
    void begin_traffic();
    /// The manager's process is gone at once; its lease runs out.
    void kill_manager(std::size_t index);
    /// A fresh process in its place: it knows what the registry shows and nothing else.
    void start_manager(std::size_t index);
    /// From now on, orders get no answer with this chance and are carried out up to 12 s later.
    void lose_orders(double chance) { m_lost_orders = chance; }
    /// From now on, orders are carried out at once but get no answer with this chance.
    void lose_answers(double chance) { m_lost_answers = chance; }
    /// From now on, runners tell in their reports what held this long ago.
    void delay_reports(duration late) { m_reports_late = late; }
    /// From now on the managers hear of each entry this much later than it was written.
    void delay_entries(duration late) { m_entries_late = late; }
    /// Requests at the group of this head get nothing: every manager's node says so.
    void say_silent(const std::string& head);
    /// The store answers nobody and shows nothing from now on; leases run out meanwhile.
    void store_down();
    /// Runners write their entries anew after `entries_late`; until then the registry shows what
    /// they were before the outage.
    void store_up(duration entries_late = duration{0});
    /// Leases don't run out while the store is down, so a manager comes back with its old term.
    bool leases_outlast_outages = false;
    /// What other nodes say when they are asked about a silent runner.
    bool peers_hear = false;
    /// Whether another node reaches the store while these managers don't.
    bool peers_reach_store = false;

    [[nodiscard]] std::size_t open_groups(const std::string& model) const;
    [[nodiscard]] std::string head_of(const std::string& model, std::size_t index) const;
    [[nodiscard]] std::vector<std::string> members_of(const std::string& head) const;
    /// Runners that are in no open group.
    [[nodiscard]] std::vector<std::string> spare() const;
    [[nodiscard]] std::size_t staged(const std::string& model) const;
    [[nodiscard]] std::size_t leaders() const;
    /// Index of a manager that leads; the number of managers if none does.
    [[nodiscard]] std::size_t leader() const;
    [[nodiscard]] const std::string& broken() const { return m_broken; }
    [[nodiscard]] std::size_t orders() const { return m_orders; }

    static std::vector<pool> pools();

private:
    struct fake_runner {
        runner row;
        bool alive = true;
        bool reachable = true;
        bool listed = true;
        time_point unlist_at = time_point::max();
        time_point list_at = time_point::max();
        std::int64_t fence = 0;
        std::int64_t epoch = 0;
        std::string warm;
        std::vector<vm_id> list;                               ///< members of its group
        std::set<std::pair<group_id, std::int64_t>> was_ready; ///< compositions of this life
        std::string joining_model;
        time_point joined_at = time_point::max();
        time_point opens_at = time_point::max();
        std::optional<runner> unwritten; ///< its first entry that the store did not take
        std::int64_t begun_orders = 0;
        std::string staging;
        time_point staged_at = time_point::max();
        std::deque<std::pair<time_point, runner_report>>
            words; ///< by the time from which they held
    };
    struct fake_manager {
        std::unique_ptr<runner_registry> known;
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
    void tell_start(std::size_t manager);
    void unlist(fake_runner& gone);
    void step();
    void tell_all(const formation_event& event);
    void tell(std::size_t manager, const formation_event& event);
    void carry_out(std::size_t manager, const formation_command& command);
    static void note_report(fake_runner& at, time_point now);
    void send(std::size_t manager, const send_order& order);
    [[nodiscard]] runner_report report_of(const fake_runner& at) const;
    void publish(fake_runner& changed);
    void show(const runner& row);
    void publish_key();
    order_reply obey(fake_runner& at, const send_order& order);
    void begin(fake_runner& at);
    order_reply join(fake_runner& at, const join_group& order);
    order_reply open(fake_runner& at, const open_group& order);
    void progress(fake_runner& at);
    void fail(const std::string& what);
    fake_runner* find(const std::string& id);

    fake_registry_settings m_settings;
    random_source m_random;
    time_point m_now{std::chrono::hours{1}};
    kv_store m_store;
    std::int64_t m_key_revision = 0;
    std::vector<peer_row> m_peers;
    std::map<std::string, fake_runner> m_runners;
    std::map<std::string, runner> m_published; ///< what the registry shows
    std::vector<fake_manager> m_managers;
    std::deque<due_order> m_due;
    std::int64_t m_last_birth = 0;
    std::deque<std::pair<time_point, runner>> m_late_entries; ///< written, not heard of yet
    duration m_entries_late{0};
    duration m_reports_late{0};
    double m_lost_orders = 0.0;
    double m_lost_answers = 0.0;
    bool m_traffic = false;
    bool m_store_down = false;
    std::size_t m_orders = 0;
    std::string m_broken;
};

} // namespace jaynotch::groups
