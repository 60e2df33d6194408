// Clients that don't behave, against a real daemon whose memory and descriptors are scarce.
//
//   guarded_daemon daemon{{.memory_mb = 64, .max_descriptors = 512}};
//   crowd clients{daemon.listen(), 8};
//   clients.send_all(head);
//   clients.push(piece, max_bytes);     // until the daemon closes or reads no more
//   daemon.expect_sound();              // lives, within its memory and descriptors, answers
#pragma once

#include "hostile/crowd.h"
#include "hostile/guarded_daemon.h"
