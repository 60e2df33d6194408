// What the test fixtures of registry daemons share: settings, and the loop that runs them.
//
//   daemon_settings chosen = registry_settings(0, store->address());
//   cr_assert(run_io_until(io, [&] { return daemon->ready(); }, std::chrono::seconds{10}));
#pragma once

#include "base/base.h"
#include "daemon/settings.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>

namespace jaynotch {

/// Settings of the daemon with the given number, on free ports.
inline daemon_settings registry_settings(std::size_t number, const std::string& store)
{
    daemon_settings made;
    made.source = source_kind::registry;
    made.first_start = true;
    made.node = node_id{"node-" + std::to_string(number)};
    made.failure_domain = failure_domain_id{"zone-a"};
    made.deployment = "test";
    made.listen = "127.0.0.1:0";
    made.ready_listen = "127.0.0.1:0";
    made.admin_listen = "127.0.0.1:0";
    made.peer_listen = "127.0.0.1:0";
    made.key_value = {store};
    made.seed = number + 1;
    return made;
}

/// Runs the io_context until `done` returns true, at most for `longest`; returns whether it did.
template <class Done>
bool run_io_until(boost::asio::io_context& io, Done done, duration longest)
{
    const time_point until = runtime_clock::now() + longest;
    io.restart();
    while (!done() && runtime_clock::now() < until)
        io.run_one_for(std::chrono::milliseconds{20});
    return done();
}

} // namespace jaynotch
