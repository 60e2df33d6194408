// Public header of the services library: clients of the external systems that a daemon uses.
//
//   kv.h           the key-value service: compare-and-swap, leases, watches
//   vm_list.h      the platform's list of live and leaving VMs, which may be out of date
//   engine.h       the model engine on each backend VM
//
// Each external system has one client class that uses the project's own types; its wire format is
// confined to one source file. Every call has a timeout and returns a result. Kinds of errors:
//
//   unavailable        the call was not sent, had no effect, or is repeatable and its connection
//                      failed
//   unknown_outcome    a write was sent but not confirmed; it may have taken effect
//   deadline_exceeded  a read or a repeatable call did not complete within its timeout
//   protocol           the response does not conform to the wire format
//   too_large          the response exceeds the size limit
#pragma once

#include "outside/kv_store.h"
#include "outside/kv_types.h"
#include "services/engine.h"
#include "services/kv.h"
#include "services/kv_wire.h"
#include "services/vm_list.h"
