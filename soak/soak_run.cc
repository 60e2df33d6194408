#include "soak/soak_run.h"

#include "soak/soak_callers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <numeric>

// A run starts the site, waits until groups have formed, starts the callers, injects the planned
// faults, waits for recovery, checks that requests succeed again, and stops. Each fault is a
// coroutine that starts the fault, waits and ends it, and records both times in the checker.

namespace jaynotch {

namespace asio = boost::asio;

namespace {

constexpr duration max_start_time = std::chrono::seconds{20};
constexpr duration max_stop_time = std::chrono::seconds{12};
constexpr duration entry_lifetime = std::chrono::milliseconds{1'500}; ///< three heartbeats
constexpr duration drain_time = std::chrono::milliseconds{4'000};     ///< then the server exits
constexpr duration departed_time = std::chrono::milliseconds{6'000};  ///< the same, without a word
constexpr duration restart_delay = std::chrono::milliseconds{150};
constexpr duration recovery_time = std::chrono::seconds{6};
constexpr duration final_load_time = std::chrono::seconds{2};
constexpr duration store_delay = std::chrono::milliseconds{300};
constexpr duration max_loop_stall = std::chrono::seconds{2};
constexpr duration quota_period = std::chrono::milliseconds{100};
constexpr duration poll_interval = std::chrono::milliseconds{20};

class soak_driver {
public:
    explicit soak_driver(const soak_settings& settings)
        : m_settings{settings}, m_checker{settings.site.stream_events, settings.site.bounds},
          m_site{m_io, settings.site, m_checker}, m_callers{
                                                      m_io, m_site, m_checker,
                                                      random_source{settings.seed ^ 0x5eedULL}}
    {}

    soak_outcome run()
    {
        m_site.start();
        if (!run_until([&] { return serving(); },
                       max_start_time + m_settings.site.configuration.load))
            return {{"too few servers are ready " + std::to_string(max_start_time / poll_interval) +
                     " poll intervals after the start"},
                    {},
                    0,
                    0};
        // Not before: a fleet that starts for the first time finds a small registry.
        m_site.store().link.set_rate(m_settings.site.store_link_bytes_per_s,
                                     m_settings.site.store_link_sharing);
        if (m_settings.daemon_quota < 1.0)
            asio::co_spawn(m_io, keep_quota(), asio::detached);
        m_site.begin_traffic();
        m_callers.start(m_settings.callers);
        if (m_settings.requests_per_s > 0.0)
            m_callers.start_at_rate(m_settings.requests_per_s);
        soak_outcome outcome;
        for (const planned_fault& fault : plan()) {
            outcome.faults.push_back(to_string(fault));
            ++m_active_faults;
            asio::co_spawn(m_io, inject_planned(fault), [this](std::exception_ptr failed) {
                --m_active_faults;
                if (failed)
                    std::rethrow_exception(failed);
            });
        }
        run_for(m_settings.length);
        run_until([&] { return m_active_faults == 0; }, max_start_time);
        if (m_active_faults != 0)
            outcome.problems.push_back(
                "a fault did not end in time: a process may not have stopped");
        if (m_settings.final_outage) {
            outcome.faults.push_back(to_string(*m_settings.final_outage));
            lose_fleet(*m_settings.final_outage);
        }
        else
            run_for(recovery_time);
        const std::size_t before = m_checker.successes();
        run_for(final_load_time);
        if (m_checker.successes() == before)
            outcome.problems.push_back("no request succeeded after all faults had ended");
        m_callers.stop();
        if (!run_until([&] { return m_callers.idle(); }, max_start_time))
            outcome.problems.push_back("some callers are still waiting for answers");
        m_callers_done = true;
        m_site.record_runs();
        for (std::string& end : m_site.unexpected_exits())
            outcome.problems.push_back(std::move(end));
        for (const auto& list : {m_site.fabric().broken, m_checker.violations(), m_problems})
            outcome.problems.insert(outcome.problems.end(), list.begin(), list.end());
        if (!outcome.problems.empty() && m_longest_stall >= max_loop_stall)
            outcome.problems.push_back(
                "the soak's event loop stood still for " +
                std::to_string(m_longest_stall / std::chrono::milliseconds{1}) +
                " ms, and with it the store and all servers");
        outcome.requests = m_checker.requests();
        outcome.successes = m_checker.successes();
        outcome.by_second = m_checker.counts_by_second();
        return outcome;
    }

private:
    std::vector<planned_fault> plan() const
    {
        fault_plan_settings drawn;
        drawn.seed = m_settings.seed;
        drawn.daemons = m_settings.site.daemons;
        drawn.runners = m_settings.site.runners + m_settings.site.servers;
        drawn.length = m_settings.length;
        drawn.faults_per_s = m_settings.faults_per_s;
        drawn.pauses = m_settings.pauses;
        drawn.evacuations = m_settings.evacuations;
        drawn.store_returns = m_settings.store_returns;
        drawn.key_removals = m_settings.key_removals;
        drawn.plain_servers = m_settings.site.servers;
        drawn.silences = m_settings.silences;
        drawn.pause_after_maintenance = m_settings.pause_after_maintenance;
        return draw_plan(drawn);
    }

    /// Loses all daemons at once and starts them again. Callers go on meanwhile.
    void lose_fleet(const planned_fleet_outage& planned)
    {
        if (planned.cut_off > 0) {
            m_site.cut_off(planned.cut_off, planned.cut_how);
            for (std::size_t index = 0; index < planned.cut_off; ++index) {
                const std::string& node = m_site.daemons()[index].name;
                begin_fault({.node = node, .cuts_links = true}); // to the end of the run
                m_checker.record_cut(node);
            }
            run_for(planned.cut_before);
        }
        m_site.publish_version();
        const std::size_t fault_index = begin_fault({.stops_process = true, .cuts_links = true});
        const time_point lost_at = runtime_clock::now();
        asio::co_spawn(m_io, disturb_store(planned), asio::detached);
        for (std::size_t time = 0; time < planned.times; ++time) {
            stop_all(planned);
            if (m_settings.runners_lost_too)
                replace_all_runners();
            run_for(planned.down);
            start_all(planned);
        }
        run_until([&] { return !m_store_disturbed; }, max_start_time);
        end_fault(fault_index);
        m_checker.record_fleet_outage(lost_at, runtime_clock::now());
        run_for(m_settings.site.bounds.fleet_recovery);
    }

    void stop_all(const planned_fleet_outage& planned)
    {
        if (planned.how == fleet_loss::power)
            m_site.drop_connections();
        for (soak_daemon& daemon : m_site.daemons()) {
            daemon.stopping = true;
            daemon.process->signal(SIGKILL);
        }
    }

    void replace_all_runners()
    {
        std::vector<std::shared_ptr<runner_standin>> lost;
        for (const soak_runner& runner : m_site.runners()) {
            if (runner.server->alive())
                lost.push_back(runner.server);
        }
        for (const auto& server : lost) {
            server->stop();
            replace(*server);
        }
    }

    void start_all(const planned_fleet_outage& planned)
    {
        std::vector<std::size_t> order(m_site.daemons().size());
        std::iota(order.begin(), order.end(), 0);
        random_source random{m_settings.seed};
        for (std::size_t left = order.size(); left > 1; --left)
            std::swap(order[left - 1], order[random.index(left)]);
        for (const std::size_t index : order) {
            m_site.daemons()[index].first_start = planned.first_start;
            asio::co_spawn(m_io, start_again(index), asio::detached);
            run_for(planned.start_interval);
        }
        run_until([&] { return m_site.all_running(); }, max_start_time);
    }

    asio::awaitable<void> start_again(std::size_t index)
    {
        co_await m_site.write_settings(m_site.daemons()[index]);
        m_site.launch(index);
    }

    asio::awaitable<void> disturb_store(planned_fleet_outage planned)
    {
        if (planned.store_fault == link_fault::none)
            co_return;
        m_store_disturbed = true;
        for (soak_daemon& daemon : m_site.daemons())
            daemon.store_link->set(planned.store_fault, store_delay);
        co_await pause(planned.store_fault_for);
        for (soak_daemon& daemon : m_site.daemons())
            daemon.store_link->set(link_fault::none);
        m_store_disturbed = false;
    }

    template <class Done>
    bool run_until(Done done, duration timeout)
    {
        const time_point until = runtime_clock::now() + timeout;
        m_io.restart();
        while (!done() && runtime_clock::now() < until) {
            const time_point began = runtime_clock::now();
            m_io.run_one_for(std::chrono::milliseconds{20});
            m_longest_stall = std::max(m_longest_stall, runtime_clock::now() - began);
        }
        return done();
    }
    void run_for(duration time)
    {
        const time_point until = runtime_clock::now() + time;
        run_until([&] { return runtime_clock::now() >= until; }, time);
    }

    /// Whether enough servers accept requests to begin.
    bool serving()
    {
        std::size_t open = 0;
        for (const soak_runner& runner : m_site.runners())
            open += runner.server->open() ? 1 : 0;
        return open >= m_settings.site.open_before_traffic;
    }

    asio::awaitable<void> pause(duration time) { return standin_sleep(m_io.get_executor(), time); }

    asio::awaitable<void> inject_planned(planned_fault planned)
    {
        co_await pause(planned.at);
        co_await std::visit([&](const auto& spec) { return inject(spec, planned.active_for); },
                            planned.action);
    }

    std::size_t begin_fault(fault_period begun)
    {
        begun.from = runtime_clock::now();
        return m_checker.record_fault(std::move(begun));
    }
    void end_fault(std::size_t fault_index)
    {
        m_checker.record_fault_end(fault_index, runtime_clock::now());
    }

    asio::awaitable<void> inject(planned_daemon_fault spec, duration active_for)
    {
        soak_daemon& daemon = m_site.daemons()[spec.daemon];
        // Skips a daemon that is being stopped or restarted.
        if (!daemon.process || daemon.stopping)
            co_return;
        const bool planned = spec.fault == daemon_fault::stop || spec.fault == daemon_fault::reload;
        const std::size_t fault_index =
            begin_fault({.node = daemon.name,
                         .planned = planned,
                         .stops_process = spec.fault != daemon_fault::reload});
        switch (spec.fault) {
        case daemon_fault::kill:
            daemon.stopping = true;
            daemon.process->signal(SIGKILL);
            co_await end_and_restart(spec.daemon, false);
            break;
        case daemon_fault::pause:
            daemon.process->signal(SIGSTOP);
            co_await pause(active_for);
            if (daemon.process)
                daemon.process->signal(SIGCONT);
            break;
        case daemon_fault::stop:
            daemon.stopping = true;
            daemon.process->signal(SIGTERM);
            // A paused process handles SIGTERM only after SIGCONT.
            daemon.process->signal(SIGCONT);
            co_await end_and_restart(spec.daemon, true);
            break;
        case daemon_fault::reload:
            co_await m_site.write_settings(daemon);
            if (daemon.process && !daemon.stopping)
                daemon.process->signal(SIGHUP);
            break;
        }
        end_fault(fault_index);
    }

    asio::awaitable<void> keep_quota()
    {
        const auto running =
            std::chrono::duration_cast<duration>(m_settings.daemon_quota * quota_period);
        while (!m_callers_done) {
            co_await pause(running);
            signal_all(SIGSTOP);
            co_await pause(quota_period - running);
            signal_all(SIGCONT);
        }
    }

    void signal_all(int number)
    {
        for (const soak_daemon& daemon : m_site.daemons()) {
            if (daemon.process)
                daemon.process->signal(number);
        }
    }

    /// Waits for the exit of a daemon that was signalled, with SIGKILL as a last resort, and
    /// restarts it.
    asio::awaitable<void> end_and_restart(std::size_t index, bool graceful)
    {
        soak_daemon& daemon = m_site.daemons()[index];
        const time_point until = runtime_clock::now() + max_stop_time;
        std::optional<int> code;
        while (!(code = daemon.process->poll()) && runtime_clock::now() < until)
            co_await pause(poll_interval);
        if (!code) {
            m_problems.push_back(daemon.name +
                                 " did not exit within the time allowed for a planned stop");
            daemon.process->signal(SIGKILL);
        }
        else if (graceful && *code != 0)
            m_problems.push_back(daemon.name + " exited from a planned stop with code " +
                                 std::to_string(*code));
        co_await pause(restart_delay);
        co_await m_site.write_settings(daemon);
        m_site.launch(index);
    }

    asio::awaitable<void> inject(planned_runner_fault spec, duration active_for)
    {
        const std::shared_ptr<runner_standin> server = m_site.runners()[spec.runner].server;
        if (!server->alive())
            co_return;
        if (spec.fault == runner_fault::drain) {
            co_await drain(*server);
            co_return;
        }
        const std::size_t fault_index = begin_fault({});
        runner_faults& faults = server->faults;
        const runner_faults no_faults;
        switch (spec.fault) {
        case runner_fault::crash:
            server->crash();
            co_await pause(entry_lifetime);
            server->stop();
            replace(*server);
            break;
        case runner_fault::mute:
            faults.mute = true;
            break;
        case runner_fault::refuse:
            faults.refuse = true;
            if (spec.runner % 2 == 0) // the others name no pause
                faults.pause = "2";
            break;
        case runner_fault::fail:
            faults.fail = true;
            break;
        case runner_fault::cut:
            faults.cut = true;
            break;
        case runner_fault::forge:
            faults.foreign = true;
            break;
        case runner_fault::cut_mid:
            faults.cut_after = m_settings.site.stream_events / 2;
            break;
        case runner_fault::drain:
            break;
        }
        if (spec.fault != runner_fault::crash)
            co_await pause(active_for);
        faults = no_faults;
        end_fault(fault_index);
    }

    asio::awaitable<void> drain(runner_standin& server)
    {
        server.drain();
        m_checker.record_drain(server.id(), runtime_clock::now());
        co_await pause(drain_time);
        server.stop();
        replace(server);
    }

    /// Adds a runner of the same service, zone and domain, with no model on its host.
    void replace(const runner_standin& replaced)
    {
        const runner_standin_settings& old_settings = replaced.settings();
        m_site.add_runner(old_settings.service, old_settings.zone, old_settings.domain);
    }

    asio::awaitable<void> inject(planned_link_fault spec, duration active_for)
    {
        soak_site& site = m_site;
        const bool of_runner = spec.end == link_end::runner;
        std::shared_ptr<fault_proxy> link;
        if (of_runner)
            link = site.runners()[spec.index].link;
        else if (spec.end == link_end::store)
            link = site.daemons()[spec.index].store_link;
        else
            link = site.daemons()[spec.index].peer_link;
        const std::size_t fault_index =
            begin_fault({.node = of_runner ? std::string{} : site.daemons()[spec.index].name,
                         .cuts_links = true});
        link->set(spec.fault, spec.delay);
        co_await pause(active_for);
        link->set(link_fault::none);
        end_fault(fault_index);
    }

    asio::awaitable<void> inject(planned_store_fault spec, duration active_for)
    {
        const std::size_t fault_index = begin_fault({});
        if (spec.fault == link_fault::none)
            m_site.store().is_unavailable = true;
        for (soak_daemon& daemon : m_site.daemons())
            daemon.store_link->set(spec.fault, store_delay);
        co_await pause(active_for);
        m_site.store().is_unavailable = false;
        for (soak_daemon& daemon : m_site.daemons())
            daemon.store_link->set(link_fault::none);
        end_fault(fault_index);
    }

    asio::awaitable<void> inject(configuration_change /*spec*/, duration /*active_for*/)
    {
        m_site.publish_version();
        co_return;
    }

    /// Operators and runners write again what the copy lacks, each after a while. The entries of
    /// runners that have ended since the copy was made expire.
    asio::awaitable<void> inject(planned_store_return /*spec*/, duration active_for)
    {
        constexpr duration away = std::chrono::milliseconds{300};
        constexpr duration rewrite_interval = std::chrono::milliseconds{60};
        constexpr int other_writes = 1'000; // of others that use the store
        const kv_store copy = m_site.store().store;
        co_await pause(active_for);
        for (int number = 0; number < other_writes; ++number)
            m_site.store().put("other/key", std::to_string(number));
        m_site.publish_version(); // in force, and then lost by the store
        co_await pause(away);
        const std::size_t fault_index = begin_fault({});
        m_site.store().is_unavailable = true;
        co_await pause(away);
        m_site.store().restore(copy);
        m_site.store().is_unavailable = false;
        co_await pause(rewrite_interval);
        m_site.write_again();
        for (std::size_t index = 0; index < m_site.runners().size(); ++index) {
            const std::shared_ptr<runner_standin> server = m_site.runners()[index].server;
            if (server->alive())
                server->publish();
            else
                server->stop();
            co_await pause(rewrite_interval);
        }
        end_fault(fault_index);
        co_await pause(m_settings.site.bounds.recovery + away);
        m_site.publish_version(); // to be in force within its bound
    }

    asio::awaitable<void> inject(planned_key_removal /*spec*/, duration active_for)
    {
        m_site.publish_version(version_keys::none);
        co_await pause(active_for / 2);
        m_site.publish_version(version_keys::no_workspaces);
        co_await pause(active_for / 2);
        m_site.publish_version(version_keys::two_newest);
    }

    asio::awaitable<void> inject(planned_silence /*spec*/, duration /*active_for*/)
    {
        m_site.silence_nodes();
        m_checker.record_silence(runtime_clock::now());
        co_return;
    }

    asio::awaitable<void> inject(planned_departure spec, duration /*active_for*/)
    {
        const std::shared_ptr<runner_standin> server = m_site.runners()[spec.runner].server;
        if (!server->alive())
            co_return;
        server->unregister();
        m_checker.record_drain(server->id(), runtime_clock::now());
        co_await pause(departed_time);
        server->stop();
        replace(*server);
    }

    asio::awaitable<void> inject(planned_evacuation spec, duration active_for)
    {
        const std::string domain = m_site.domain_name(spec.domain);
        const std::string key = "op/evacuate/" + domain;
        m_site.set_evacuated(key, true);
        m_checker.record_evacuation(domain, runtime_clock::now());
        co_await pause(active_for);
        m_checker.record_return(domain, runtime_clock::now());
        m_site.set_evacuated(key, false);
    }

    asio::awaitable<void> inject(planned_pause spec, duration active_for)
    {
        std::vector<std::shared_ptr<runner_standin>> alive;
        for (const soak_runner& runner : m_site.runners()) {
            if (runner.server->alive())
                alive.push_back(runner.server);
        }
        if (alive.empty())
            co_return;
        const auto wanted =
            static_cast<std::size_t>(std::ceil(spec.share * static_cast<double>(alive.size())));
        const time_point now = runtime_clock::now();
        for (std::size_t i = 0; i < std::max<std::size_t>(1, wanted); ++i) {
            runner_standin& server = *alive[(spec.first + i) % alive.size()];
            server.pause(active_for);
            m_checker.record_pause(server.id(), now, now + active_for);
        }
        co_await pause(active_for);
    }

    const soak_settings& m_settings;
    asio::io_context m_io;
    promise_checker m_checker;
    soak_site m_site;
    soak_callers m_callers;
    std::size_t m_active_faults = 0;
    bool m_callers_done = false;
    bool m_store_disturbed = false;
    duration m_longest_stall{};
    std::vector<std::string> m_problems;
};

} // namespace

soak_outcome run_soak(const soak_settings& settings)
{
    soak_driver driver{settings};
    return driver.run();
}

} // namespace jaynotch
