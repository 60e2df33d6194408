#include "soak/soak_run.h"

#include "soak/soak_callers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>

// Start, let groups form, begin to ask, harm, heal, ask on, stop. Each fault is a coroutine of its
// own, which harms, waits and heals; the book is told of both. After the last fault everything must
// serve again.

namespace jaynotch {

namespace asio = boost::asio;

namespace {

constexpr duration longest_start = std::chrono::seconds{20};
constexpr duration max_stop_time = std::chrono::seconds{12};
constexpr duration entry_lapse = std::chrono::milliseconds{1'500}; ///< three heartbeats
constexpr duration drained_for = std::chrono::milliseconds{4'000}; ///< then the server ends
constexpr duration restart_after = std::chrono::milliseconds{150};
constexpr duration healing = std::chrono::seconds{6};
constexpr duration last_asking = std::chrono::seconds{2};
constexpr duration look = std::chrono::milliseconds{20};

class soak_driver {
public:
    explicit soak_driver(const soak_settings& settings)
        : m_settings{settings}, m_book{settings.site.stream_events},
          m_site{m_io, settings.site, m_book}, m_callers{m_io, m_site, m_book,
                                                         random_source{settings.seed ^ 0x5eedULL}}
    {}

    soak_outcome run()
    {
        m_site.start();
        if (!run_until([&] { return serving(); }, longest_start))
            return {{"no group serves " + std::to_string(longest_start / look) +
                     " looks after the start"},
                    {},
                    0,
                    0};
        m_callers.start(m_settings.callers);
        soak_outcome seen;
        for (const planned_fault& one : plan()) {
            seen.story.push_back(to_string(one));
            ++m_under_way;
            asio::co_spawn(m_io, play(one), [this](std::exception_ptr failed) {
                --m_under_way;
                if (failed)
                    std::rethrow_exception(failed);
            });
        }
        run_for(m_settings.length);
        run_until([&] { return m_under_way == 0; }, longest_start);
        if (m_under_way != 0)
            seen.problems.push_back("a fault did not come to its end: a process did not stop");
        run_for(healing);
        const std::size_t before = m_book.whole();
        run_for(last_asking);
        if (m_book.whole() == before)
            seen.problems.push_back("nothing serves after everything was healed");
        m_callers.stop();
        if (!run_until([&] { return m_callers.idle(); }, longest_start))
            seen.problems.push_back("callers still wait for answers");
        m_site.note_runs();
        for (std::string& end : m_site.unexpected_ends())
            seen.problems.push_back(std::move(end));
        for (const auto& list : {m_site.fabric().broken, m_book.broken(), m_problems})
            seen.problems.insert(seen.problems.end(), list.begin(), list.end());
        seen.requests = m_book.requests();
        seen.whole = m_book.whole();
        return seen;
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
        return draw_plan(drawn);
    }

    template <class Done>
    bool run_until(Done done, duration longest)
    {
        const time_point until = runtime_clock::now() + longest;
        m_io.restart();
        while (!done() && runtime_clock::now() < until)
            m_io.run_one_for(std::chrono::milliseconds{20});
        return done();
    }
    void run_for(duration time)
    {
        const time_point until = runtime_clock::now() + time;
        run_until([&] { return runtime_clock::now() >= until; }, time);
    }

    bool serving()
    {
        std::size_t open = 0;
        for (const soak_runner& one : m_site.runners())
            open += one.server->open() ? 1 : 0;
        constexpr std::size_t enough = 2;
        return open >= enough;
    }

    asio::awaitable<void> pause(duration time) { return standin_sleep(m_io.get_executor(), time); }

    asio::awaitable<void> play(planned_fault one)
    {
        co_await pause(one.at);
        co_await std::visit([&](const auto& what) { return harm_it(what, one.lasts); }, one.what);
    }

    std::size_t harm_begins(const std::string& node, bool planned)
    {
        return m_book.harmed({node, runtime_clock::now(), time_point::max(), planned});
    }
    void harm_ends(std::size_t number) { m_book.healed(number, runtime_clock::now()); }

    asio::awaitable<void> harm_it(harm_daemon what, duration lasts)
    {
        soak_daemon& one = m_site.daemons()[what.daemon];
        // One that is being stopped or restarted is left to that.
        if (!one.process || one.stopping)
            co_return;
        const bool planned = what.fault == daemon_fault::stop || what.fault == daemon_fault::reload;
        const std::size_t number = harm_begins(one.name, planned);
        switch (what.fault) {
        case daemon_fault::kill:
            one.stopping = true;
            one.process->signal(SIGKILL);
            co_await end_and_restart(what.daemon, false);
            break;
        case daemon_fault::pause:
            one.process->signal(SIGSTOP);
            co_await pause(lasts);
            if (one.process)
                one.process->signal(SIGCONT);
            break;
        case daemon_fault::stop:
            one.stopping = true;
            one.process->signal(SIGTERM);
            one.process->signal(SIGCONT); // one that was paused goes on, and ends
            co_await end_and_restart(what.daemon, true);
            break;
        case daemon_fault::reload:
            m_site.write_settings(one);
            one.process->signal(SIGHUP);
            break;
        }
        harm_ends(number);
    }

    asio::awaitable<void> end_and_restart(std::size_t index, bool graceful)
    {
        soak_daemon& one = m_site.daemons()[index];
        const time_point until = runtime_clock::now() + max_stop_time;
        std::optional<int> code;
        while (!(code = one.process->poll()) && runtime_clock::now() < until)
            co_await pause(look);
        if (!code) {
            m_problems.push_back(one.name + " did not end within the time of a planned stop");
            one.process->signal(SIGKILL);
        }
        else if (graceful && *code != 0)
            m_problems.push_back(one.name + " ended a planned stop with code " +
                                 std::to_string(*code));
        co_await pause(restart_after);
        m_site.launch(index);
    }

    asio::awaitable<void> harm_it(harm_runner what, duration lasts)
    {
        const std::shared_ptr<runner_standin> server = m_site.runners()[what.runner].server;
        if (!server->alive())
            co_return;
        if (what.fault == runner_fault::drain) {
            co_await drain(*server);
            co_return;
        }
        const std::size_t number = harm_begins({}, false);
        runner_faults& faults = server->faults;
        const runner_faults sound;
        switch (what.fault) {
        case runner_fault::crash:
            server->crash();
            co_await pause(entry_lapse);
            server->stop();
            replace(*server);
            break;
        case runner_fault::mute:
            faults.mute = true;
            break;
        case runner_fault::refuse:
            faults.refuse = true;
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
        if (what.fault != runner_fault::crash)
            co_await pause(lasts);
        faults = sound;
        harm_ends(number);
    }

    asio::awaitable<void> drain(runner_standin& server)
    {
        server.drain();
        m_book.draining(server.id(), runtime_clock::now());
        co_await pause(drained_for);
        server.stop();
        replace(server);
    }

    /// Another of its kind comes, with nothing on its host.
    void replace(const runner_standin& gone)
    {
        const runner_standin_settings& was = gone.settings();
        m_site.add_runner(was.service, was.zone, was.domain);
    }

    asio::awaitable<void> harm_it(harm_link what, duration lasts)
    {
        soak_site& site = m_site;
        const bool of_runner = what.end == link_end::runner;
        std::shared_ptr<fault_proxy> link;
        if (of_runner)
            link = site.runners()[what.index].link;
        else if (what.end == link_end::store)
            link = site.daemons()[what.index].store_link;
        else
            link = site.daemons()[what.index].peer_link;
        const std::size_t number =
            harm_begins(of_runner ? std::string{} : site.daemons()[what.index].name, false);
        link->set(what.fault, what.delay);
        co_await pause(lasts);
        link->set(link_fault::none);
        harm_ends(number);
    }

    asio::awaitable<void> harm_it(harm_store what, duration lasts)
    {
        const std::size_t number = harm_begins({}, false);
        if (what.fault == link_fault::none)
            m_site.store().is_unavailable = true;
        for (soak_daemon& one : m_site.daemons())
            one.store_link->set(what.fault, std::chrono::milliseconds{300});
        co_await pause(lasts);
        m_site.store().is_unavailable = false;
        for (soak_daemon& one : m_site.daemons())
            one.store_link->set(link_fault::none);
        harm_ends(number);
    }

    asio::awaitable<void> harm_it(change_configuration /*what*/, duration /*lasts*/)
    {
        m_site.next_version();
        co_return;
    }

    const soak_settings& m_settings;
    asio::io_context m_io;
    promise_book m_book;
    soak_site m_site;
    soak_callers m_callers;
    std::size_t m_under_way = 0;
    std::vector<std::string> m_problems;
};

} // namespace

soak_outcome run_soak(const soak_settings& settings)
{
    soak_driver driver{settings};
    return driver.run();
}

} // namespace jaynotch
