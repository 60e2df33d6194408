// The daemon of one entry VM. Exit codes: 0 stopped gracefully, 1 internal error, 2 invalid
// setting, 3 a port can't be opened.
#include "daemon/daemon.h"
#include "daemon/registry_daemon.h"
#include "daemon/resource_plan.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>

namespace {

using namespace jaynotch;

constexpr int exit_defect = 1;
constexpr int exit_setting = 2;
constexpr int exit_port = 3;

int report_startup_error(const error& why)
{
    std::fprintf(stderr, "jaynotchd: %s\n", to_string(why).c_str());
    return why.kind == error_kind::unavailable ? exit_port : exit_setting;
}

template <class Daemon>
boost::asio::awaitable<void> stop_then_end(Daemon& running, boost::asio::io_context& io)
{
    co_await running.stop();
    io.stop();
}

/// Calls `reload` at each SIGHUP.
void reload_on_hangup(boost::asio::signal_set& hangups, const std::function<void()>& reload)
{
    hangups.async_wait([&hangups, reload](const boost::system::error_code& failed, int /*number*/) {
        if (failed)
            return;
        reload();
        reload_on_hangup(hangups, reload);
    });
}

template <class Daemon>
int run(const daemon_settings& settings, const std::function<void(Daemon&)>& reload)
{
    boost::asio::io_context io{1};
    result<std::unique_ptr<Daemon>> made = Daemon::create(io, settings);
    if (!made)
        return report_startup_error(made.error());
    const std::unique_ptr<Daemon> running = std::move(made).value();
    const auto end = [&] {
        boost::asio::co_spawn(io, stop_then_end(*running, io), boost::asio::detached);
    };
    boost::asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&](const boost::system::error_code& failed, int /*number*/) {
        if (!failed)
            end();
    });
    boost::asio::signal_set hangups{io, SIGHUP};
    reload_on_hangup(hangups, [&] { reload(*running); });
    running->on_superseded(end);
    running->start();
    if (settings.source == source_kind::registry)
        defer_routine_log_lines(); // registry_daemon flushes the log several times a second
    io.run();
    flush_log_at_exit();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const result<startup_settings> started = settings_from_flags(argc, argv);
    if (!started)
        return report_startup_error(started.error());
    daemon_settings settings = started.value().settings;
    apply(plan_resources(resources_of(settings)), settings.limits);
    const result<void> checked = check(settings);
    if (!checked)
        return report_startup_error(checked.error());
    if (started.value().check_only) {
        std::puts("settings are fine");
        return 0;
    }
    install_json_log("jaynotchd", settings.node.value());
    std::signal(SIGPIPE, SIG_IGN);
    try {
        if (settings.source == source_kind::own)
            return run<class daemon>(settings, [](class daemon&) {});
        return run<registry_daemon>(settings, [&](registry_daemon& running) {
            const result<daemon_settings> reloaded = reload_settings(settings);
            if (reloaded)
                running.reload(reloaded.value());
            else
                log_event(log_level::error, "settings_unreadable",
                          {{"reason", to_string(reloaded.error())}});
        });
    }
    catch (const std::exception& thrown) {
        log_event(log_level::error, "daemon_failed", {{"message", thrown.what()}});
        return exit_defect;
    }
}
