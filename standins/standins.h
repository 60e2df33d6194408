// Public header of the stand-ins: small servers on loopback that replace the platform, model
// engines and plain services in tests, demos and benchmarks, and that can simulate their faults.
//
//   boost::asio::io_context io;
//   auto fleet = standin_fleet::start(io.get_executor(), {.engines = 8, .fabric_domains = 2});
//   fleet.value()->engine(3).apply({.pause = true});
//
// Each stand-in also accepts faults as JSON in POST /fault (faults.h). The program jaynotch-standin
// runs a single stand-in or a complete fleet.
#pragma once

#include "standins/engine_standin.h"
#include "standins/faults.h"
#include "standins/fleet.h"
#include "standins/kv_standin.h"
#include "standins/plain_standin.h"
#include "standins/standin_server.h"
#include "standins/vm_list_standin.h"
#include "standins/weight_standin.h"
