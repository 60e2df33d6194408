// File descriptors of the process, which callers' connections share with those to backend servers,
// peers and the platform.
//
//   if (const auto limit = raise_descriptor_limit())
//       limits.connections = std::min(limits.connections, caller_connections(*limit));
#pragma once

#include <cstddef>
#include <optional>

namespace jaynotch {

/// Raises the process's limit of open descriptors as far as it is allowed to; the limit in force.
/// nullopt if the system states none.
std::optional<std::size_t> raise_descriptor_limit();

/// How many callers' connections leave descriptors for everything else.
std::size_t caller_connections(std::size_t descriptors);

} // namespace jaynotch
