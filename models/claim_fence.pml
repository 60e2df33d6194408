/* Assignment of a VM to groups by leases, fencing numbers and tickets. The model has two managers,
 * one VM, two groups and two nodes that issue tickets. It is split into two parts that together
 * cover the protocol and are each small enough for an exhaustive search.
 *
 * Part 1, managers: a manager that passes its guard still holds the lease in the store, the record
 * is never overwritten without having been read, and no two orders for different groups carry the
 * same fencing number.
 * Part 2, tickets: even if delayed orders reach an engine that ignores fencing, no two valid tickets
 * assign the VM to different groups.
 *
 * Time is a counter that may advance at any moment. A process that is not scheduled models a paused
 * one, so a manager may pause between any two statements. A reply of the store may be lost. An order
 * arrives at most ORDER ticks after it was sent; a lost order is modelled by a manager that stops
 * before sending it. -DCHECKS=0 models an engine that ignores fencing.
 *
 * Mutations that the checker must detect:
 *   -DNO_PAUSE_GUARD     a VM counts towards its new group immediately (ticket_board.cc, `settled`)
 *   -DNO_SELF_STOP       a manager does not check its own clock (leadership.cc, `leading`)
 *   -DLEASE_FROM_REPLY   the lease is counted from the reply instead of the request
 *   -DNO_GAP_GUARD       the SETTLED time continues over a gap between answers, in which the VM
 *                        may have been in another group
 *   -DSETTLED_FROM_SENDING  the SETTLED time is counted from sending the probe, not from its answer
 *   -DNO_COMPARE         the record is written without comparing its revision
 *
 * The release of a VM and the wait for it to become quiet (vm_table.cc) are not modelled: the
 * properties hold without them.
 */
#ifndef CHECKS
#define CHECKS 0
#endif
#ifndef PART
#define PART 1
#endif
#ifndef END
#define END 6      /* ticks of one run */
#endif
#define LEASE 2    /* lease of the manager's key */
#define MARGIN 1   /* the manager stops this long before its lease ends */
#define ORDER 1    /* longest delivery time of an order */
#define TICKET 1   /* a ticket ends this long after the probe it is based on was sent */
#ifdef NO_PAUSE_GUARD
#define SETTLED 0
#else
#define SETTLED 2  /* a VM counts once it has been observed in its group for this long */
#endif

byte now = 1;

/* The store: the record (group of the VM, revision) and the manager's key. */
byte record_group = 1, revision = 1;
byte holder = 0, lease_end = 0;

/* The engine: its group and the highest fencing number that it has accepted. */
byte engine_group = 1, engine_fencing = 1;

byte ordered[4]; /* group that was ordered with each fencing number */

/* At most one order in transit per manager. An order for group 0 releases the
 * VM. */
bool order_out[3];
byte order_group[3], order_fencing[3], order_until[3];

/* The nodes: since when and when last each observed the VM in its group, and the end of its ticket.
 * A conflict needs one node with a ticket for each group, so node 0 represents every node that issues
 * tickets for group 1, and node 1 those for group 2. */
byte seen_since[2], seen_at[2], ticket_until[2];

/* True if the VM may have been in another group, unobserved, since the last answer. */
#ifdef NO_GAP_GUARD
#define GAP(n) false
#else
#define GAP(n) (now - seen_at[n] >= 2)
#endif

#define in_force(n) (now < ticket_until[n])

/* Clears an expired ticket, only to reduce the number of states. */
inline forget(n) {
    if
    :: now >= ticket_until[n] -> ticket_until[n] = 0
    :: else -> skip
    fi
}

active proctype clock() {
    do
    :: atomic {
           now < END && !(order_out[1] && order_until[1] <= now) &&
           !(order_out[2] && order_until[2] <= now) ->
           now++;
           forget(0);
           forget(1)
       }
    :: now >= END -> break
    od
}

inline deliver(m) {
    order_out[m] = false;
    if
    :: CHECKS && order_fencing[m] < engine_fencing -> skip /* refused */
    :: !(CHECKS && order_fencing[m] < engine_fencing) ->
       engine_group = order_group[m];
       if
       :: order_fencing[m] > engine_fencing -> engine_fencing = order_fencing[m]
       :: else -> skip
       fi
    fi;
    order_group[m] = 0; order_fencing[m] = 0; order_until[m] = 0
}

proctype network() {
    do
    :: atomic { order_out[1] -> deliver(1) }
    :: atomic { order_out[2] -> deliver(2) }
    :: now >= END && !order_out[1] && !order_out[2] -> break
    od
}

inline guard(i) {
#ifndef NO_SELF_STOP
    if
    :: now < until -> skip
    :: else -> goto stop
    fi;
#endif
    /* The guard must imply that no other process is manager now. */
    assert(holder == i && now < lease_end)
}

inline send(i, g) {
    atomic {
        if
        :: !order_out[i] ->
           /* Each revision is used for at most one assignment. */
           assert(ordered[known] == 0 || ordered[known] == g);
           ordered[known] = g;
           order_out[i] = true; order_group[i] = g;
                            order_fencing[i] = known; order_until[i] = now + ORDER
        :: else -> skip
        fi
    }
}

proctype manager(byte i) {
    byte sent, until, known, target;
    /* Campaign for the key once it is free. */
    sent = now;
    atomic {
        if
        :: holder == 0 || now >= lease_end -> holder = i; lease_end = now + LEASE
        :: now >= END -> goto stop
        fi
    }
    if
    :: skip
    :: goto stop /* the reply was lost */
    fi;
#ifdef LEASE_FROM_REPLY
    until = now + LEASE - MARGIN;
#else
    until = sent + LEASE - MARGIN;
#endif
    /* Read the record, choose the other group, check the clock. */
    atomic {
        sent = 0;
        known = revision;
        target = 3 - record_group;
        guard(i)
    }
    /* If the manager pauses here, the write below is late. The record is read back whether or not
     * the write was answered. */
    atomic {
#ifdef NO_COMPARE
        assert(revision == known); /* otherwise another manager's change is overwritten unread */
#endif
        if
        :: revision == known && holder == i && now < lease_end ->
           record_group = target; revision++; known = revision
        :: else -> goto stop
        fi
    }
    atomic { guard(i) }
    /* If the manager pauses here, the order below is sent late. */
    send(i, target);
stop:
    atomic { sent = 0; until = 0; known = 0; target = 0 }
}

proctype node(byte n) {
    byte sent;
    bool here;
    do
    :: now < END ->
       sent = now;                             /* the probe is sent */
       here = (engine_group == n + 1);         /* the engine answers */
       atomic {
           if
           :: !here -> seen_since[n] = 0
           :: here && (seen_since[n] == 0 || GAP(n)) ->
#ifdef SETTLED_FROM_SENDING
              seen_since[n] = sent
#else
              seen_since[n] = now
#endif
           :: else -> skip
           fi;
           seen_at[n] = (here -> sent : 0);
           if
           :: here && sent >= seen_since[n] + SETTLED && sent + TICKET > now ->
              ticket_until[n] = sent + TICKET
           :: else -> ticket_until[n] = 0 /* not in the group, not settled, or already expired */
           fi;
           assert(!(in_force(0) && in_force(1)));
           here = false; sent = 0
       }
    :: now >= END -> break
    od
}

/* Part 2 replaces each of the two managers by one order to an arbitrary group at an arbitrary time,
 * accepted by an engine that ignores fencing. The record is not modelled: whatever its content, the
 * nodes' observations alone must keep the two tickets apart. With more than two such orders between
 * two probes, moving the VM back and forth, each node could observe the group that it expects. That
 * would require as many managers resuming late, and engines that load a group instantly. */
proctype order_from_the_past() {
    if
    :: engine_group = 0
    :: engine_group = 1
    :: engine_group = 2
    :: skip
    fi
}

init {
    atomic {
#if PART == 1
        run manager(1); run manager(2); run network()
#else
        run node(0); run node(1);
        run order_from_the_past(); run order_from_the_past()
#endif
    }
}
