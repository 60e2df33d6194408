// Loopback addresses for test programs that listen on a given address.
#pragma once

#include <string>

namespace jaynotch {

/// "127.0.0.1:PORT" with an unused port outside the kernel's range for outgoing connections, so
/// that a restarted program can listen on it again. A process gets the same port again only after
/// the whole range (12000 to 31999) has been used.
std::string free_address();

} // namespace jaynotch
