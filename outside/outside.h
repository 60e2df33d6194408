// Public header of the outside library: the outside systems as this project sees them. Types only;
// adapters (`services/` for our own forms, `platform/` for the users') fill them.
#pragma once

#include "outside/call_facts.h"
#include "outside/kv_store.h"
#include "outside/kv_types.h"
#include "outside/kv_watch.h"
#include "outside/runner.h"
#include "outside/site.h"
