// The daemon of one entry VM. Exit codes: 0 stopped gracefully, 1 a defect, 2 a setting is wrong,
// 3 a port can't be opened.
#include "daemon/daemon.h"
#include "daemon/registry_daemon.h"

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

int refuse_start(const error& why)
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

/// Reads the settings anew at each SIGHUP; a daemon of our own form has nothing to read.
void watch_hangups(boost::asio::signal_set& hangups, const std::function<void()>& reload)
{
    hangups.async_wait([&hangups, reload](const boost::system::error_code& failed, int /*number*/) {
        if (failed)
            return;
        reload();
        watch_hangups(hangups, reload);
    });
}

template <class Daemon>
int run(const daemon_settings& settings, const std::function<void(Daemon&)>& reload)
{
    boost::asio::io_context io{1};
    result<std::unique_ptr<Daemon>> made = Daemon::create(io, settings);
    if (!made)
        return refuse_start(made.error());
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
    watch_hangups(hangups, [&] { reload(*running); });
    running->on_superseded(end);
    running->start();
    if (settings.form == source_form::registry)
        defer_routine_log_lines(); // it flushes several times a second
    io.run();
    flush_log_at_exit();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const result<started_with> started = settings_from_flags(argc, argv);
    if (!started)
        return refuse_start(started.error());
    const daemon_settings& settings = started.value().settings;
    const result<void> fine = check(settings);
    if (!fine)
        return refuse_start(fine.error());
    if (started.value().check_only) {
        std::puts("settings are fine");
        return 0;
    }
    install_json_log("jaynotchd", settings.node.value());
    std::signal(SIGPIPE, SIG_IGN);
    try {
        if (settings.form == source_form::own)
            return run<class daemon>(settings, [](class daemon&) {});
        return run<registry_daemon>(settings, [&](registry_daemon& running) {
            const result<daemon_settings> again = settings_read_again(settings);
            if (again)
                running.reload(again.value());
            else
                log_event(log_level::error, "settings_unreadable",
                          {{"reason", to_string(again.error())}});
        });
    }
    catch (const std::exception& thrown) {
        log_event(log_level::error, "daemon_failed", {{"message", thrown.what()}});
        return exit_defect;
    }
}
