// Starts the daemon of a test, and tells what can be seen of its process from outside.
#pragma once

#include "scenarios/child_process.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace jaynotch {

/// Starts jaynotchd from a shell that first executes `prepare`. It ends with the test's process,
/// also if that is killed or ends in an assertion.
child_process start_daemon(const std::string& prepare, const std::vector<std::string>& flags,
                           const std::string& log_file);
/// Calls `memory` until it stays the same, so that a process has taken what clients have sent;
/// returns the last value.
std::size_t settled(const std::function<std::size_t()>& memory);
/// The port of "IP:port".
std::string port_of(const std::string& address);
/// The most bytes of memory that a process has used so far (its resident set).
std::size_t peak_memory(int pid);
/// Bytes that wait in the receive queues of all sockets at the port of "IP:port". The platform
/// counts them as the process's memory.
std::size_t unread_bytes(const std::string& address);
std::size_t open_sockets(int pid);
/// The status of the answer to a request's text on a connection of its own, which the request asks
/// to close; 0 if there is none.
int status_of_answer(const std::string& address, std::string text);

} // namespace jaynotch
