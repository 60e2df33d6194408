// Public header of the config library: changes of the two tables are accepted once, by a
// compare-and-swap in the key-value service, and come into force on every node for good.
//
//   auto config = config_service::create(io, settings, kv, peers).value();
//   config->on_installed([&](std::shared_ptr<const configuration> tables) { ... });
//   co_spawn(io, config->run(), detached);
//   change_request request{.base = config_revision{7}, ...};   // named: see below
//   result<accepted_change> done = co_await config->apply(request);
//
// g++ 12 miscompiles braced temporaries inside a co_await expression; name the request first.
//
// Parts: head.h (the head record), accept.h (what a change does to it), spread.h (who watches, who
// asks whom), collect.h (old pages), config_service.h (the shell).
#pragma once

#include "base/base.h"
#include "config/config_service.h"
#include "services/services.h"
#include "tables/merge.h"
#include "tables/pages.h"
#include "tables/parse.h"
