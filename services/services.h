// Public header of the services library: the outside systems that a daemon talks to, in our terms.
//
//   kv.h           the key-value service: compare-and-swap, leases, watches
//   vm_list.h      the lagging list of live and leaving VMs
//   engine.h       the model engine on each backend VM
//
// Each outside system is met through one narrow class in our own terms; its wire form stays in one
// adapter file. Every call has a timeout and returns a result. The kinds of its errors:
//
//   unavailable        nothing was sent: refused, no route, or the service said that it did nothing
//   unknown_outcome    a write was sent and its reply did not come; it may have taken effect
//   deadline_exceeded  a read took too long
//   protocol           the answer is not what the wire form allows
//   too_large          the answer is over the stated size
#pragma once

#include "outside/kv_store.h"
#include "outside/kv_types.h"
#include "services/engine.h"
#include "services/kv.h"
#include "services/kv_wire.h"
#include "services/vm_list.h"
