// File descriptors of the process.
//
//   const std::optional<std::size_t> limit = raise_descriptor_limit();
#pragma once

#include <cstddef>
#include <optional>

namespace jaynotch {

/// Raises the process's limit of open descriptors as far as it is allowed to; the limit in force.
/// nullopt if the system states none.
std::optional<std::size_t> raise_descriptor_limit();

} // namespace jaynotch
