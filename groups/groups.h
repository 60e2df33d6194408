// Public header of the groups library, which forms, monitors and repairs replicas that span several
// VMs.
//
// - domain_manager (groups/manager.h) assigns the VMs of one fabric domain to groups;
// - ticket_board (groups/ticket_board.h) tracks which groups are complete and may receive requests.
//
// Both are decision cores without I/O: events in, commands out. The daemon's driver delivers each
// report to both.
//
// Where runners register themselves and check fencing numbers, groups/formation.h replaces both and
// needs no records, probes or tickets.
#pragma once

#include "groups/formation.h"
#include "groups/manager.h"
#include "groups/record.h"
#include "groups/runner_registry.h"
#include "groups/ticket_board.h"
#include "groups/types.h"
