// Addresses for programs that are told where to listen.
#pragma once

#include <string>

namespace jaynotch {

/// "127.0.0.1:PORT" of a port that nobody listens on and that no connection is given by the kernel,
/// so that a program which ends can listen on it again. Never the same twice in one process.
std::string free_address();

} // namespace jaynotch
