// Public header of the outside library: data types for external systems, independent of any wire
// format. Adapters fill them: `services/` from this project's own formats, `platform/` from those
// of the users' platform.
#pragma once

#include "outside/call_facts.h"
#include "outside/kv_store.h"
#include "outside/kv_types.h"
#include "outside/kv_watch.h"
#include "outside/runner.h"
#include "outside/site.h"
