// Public header of the routing library, which decides how each request is handled.
//
// `request_core` is a deterministic decision core without I/O. The caller translates network
// activity into events, and carries out the returned commands in order before it passes in the next
// event:
//
//   result<request_core> made = request_core::create(settings, random_source{seed}, now);
//   request_core core = std::move(made).value();
//   command_list commands;
//   core.handle(tables_installed{tables}, now, commands);
//   core.handle(groups_changed{{group_target}}, now, commands);
//   core.handle(request_arrived{info}, now, commands);   // -> send_attempt, or refuse
//   core.handle(attempt_sent{info.id, attempt}, now, commands);
//   core.handle(attempt_head{...}, now, commands);       // -> deliver, or cancel_attempt
//   core.handle(attempt_finished{...}, now, commands);   // -> complete
//   core.handle(tick{}, now, commands);                  // every 10 to 50 ms
//
// Each accepted request gets exactly one final command: complete, refuse, replay, end_truncated or,
// if its caller has disconnected, forget.
#pragma once

#include "routing/request_commands.h"
#include "routing/request_core.h"
#include "routing/request_events.h"
