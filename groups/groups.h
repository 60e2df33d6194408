// Public header of the groups library: forming, guarding and repairing replicas of several VMs.
//
// - domain_manager (groups/manager.h) assigns the VMs of one fabric domain to groups;
// - ticket_board (groups/ticket_board.h) tells which groups are complete and may be given requests.
//
// Both are decision cores: events in, commands out. The shell hands each report to both.
//
// Where runners register themselves and check fencing numbers, `formation` (groups/formation.h)
// does the work of both without records, probes or tickets.
#pragma once

#include "groups/formation.h"
#include "groups/manager.h"
#include "groups/record.h"
#include "groups/runner_registry.h"
#include "groups/ticket_board.h"
#include "groups/types.h"
