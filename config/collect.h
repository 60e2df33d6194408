// Garbage collection of pages and revision records that no kept revision references.
#pragma once

#include "config/head.h"
#include "outside/kv_types.h"

#include <vector>

namespace jaynotch {

/// Transactions that delete the unreferenced keys, given all entries under keys.all() as of one
/// read. Each transaction succeeds only if the head has not been swapped since that read.
std::vector<kv_transaction> plan_collection(const config_keys& keys,
                                            const std::vector<kv_entry>& entries);

} // namespace jaynotch
