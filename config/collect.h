// Deletes pages and revision records that no kept revision needs any more.
#pragma once

#include "config/head.h"
#include "outside/kv_types.h"

#include <vector>

namespace jaynotch {

/// Transactions that delete what is safe to delete, given all entries under keys.all() as they
/// stood at one moment. Each holds only as long as the head has not been swapped since.
std::vector<kv_transaction> plan_collection(const config_keys& keys,
                                            const std::vector<kv_entry>& entries);

} // namespace jaynotch
