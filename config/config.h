// Public header of the config library. It accepts changes of the routes and pools tables by a
// compare-and-swap in the key-value service and installs every accepted revision on all nodes.
//
//   auto config = config_service::create(io, settings, kv, peers).value();
//   config->on_installed([&](std::shared_ptr<const configuration> tables) { ... });
//   co_spawn(io, config->run(), detached);
//   change_request request{.base = config_revision{7}, ...};   // named: see below
//   result<accepted_change> accepted = co_await config->apply(request);
//
// g++ 12 miscompiles braced temporaries inside a co_await expression; name the request first.
//
// Parts: head.h (the head record and the keys), accept.h (plans the acceptance of a change),
// store.h (reads and writes the configuration in the key-value service), spread.h (propagates
// revisions between nodes), collect.h (deletes unused pages), node_registry.h (peer addresses of
// the nodes), config_service.h (connects these to the network and to timers).
#pragma once

#include "base/base.h"
#include "config/config_service.h"
#include "services/services.h"
#include "tables/merge.h"
#include "tables/pages.h"
#include "tables/parse.h"
