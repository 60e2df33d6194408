// Public header of the stand-ins: small servers on loopback that take the place of the platform,
// of model engines and of plain services in tests, demos and benchmarks, and that can be made to
// fail in every way the real ones do.
//
//   boost::asio::io_context io;
//   auto fleet = standin_fleet::start(io.get_executor(), {.engines = 8, .fabric_domains = 2});
//   fleet.value()->engine(3).apply({.pause = true});
//
// Each also answers POST /fault with the same switches as JSON (faults.h), and the program
// jaynotch-standin runs any of them alone or a whole fleet in one process.
#pragma once

#include "standins/engine_standin.h"
#include "standins/faults.h"
#include "standins/fleet.h"
#include "standins/kv_standin.h"
#include "standins/plain_standin.h"
#include "standins/standin_server.h"
#include "standins/vm_list_standin.h"
#include "standins/weight_standin.h"
