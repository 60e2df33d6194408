/* Claim and fence: two managers, one VM, two groups, two nodes that issue tickets, in two parts
 * that together cover the protocol and are each small enough to be searched whole.
 *
 * Part 1, managers: one that passes its guard still holds the lease in the store, the record is never
 * overwritten unread, and no two orders for different groups carry one fencing number.
 * Part 2, tickets: when orders of the past reach an engine that ignores fencing, no two tickets in force
 * name the VM for different groups.
 *
 * Time is a counter that moves on at any moment, so a process that isn't scheduled is a paused one:
 * a manager may sleep between any two of its lines. A reply of the store may be lost. An order
 * arrives at most ORDER ticks after it was sent; a lost one is a manager that stops before it. -DCHECKS=0 is an engine that ignores fencing.
 *
 * Mutants that the checker must catch:
 *   -DNO_PAUSE_GUARD     a VM counts towards its new group at once (ticket_board.cc, `settled`)
 *   -DNO_SELF_STOP       a manager doesn't look at its own clock (leadership.cc, `leading`)
 *   -DLEASE_FROM_REPLY   the lease is counted from the reply instead of the sending
 *   -DNO_GAP_GUARD       that time runs on over a gap in which the VM may have been elsewhere
 *   -DSETTLED_FROM_SENDING  that time is counted from the probe's sending, not from its answer
 *   -DNO_COMPARE         the record is written without comparing its revision
 *
 * The release and the wait for quiet (vm_table.cc) are left out: the promises hold without them.
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
#define LEASE 2    /* of the manager's key */
#define MARGIN 1   /* the manager stops this much earlier */
#define ORDER 1    /* the order horizon */
#define TICKET 1   /* a ticket ends this long after the report it rests on */
#ifdef NO_PAUSE_GUARD
#define SETTLED 0
#else
#define SETTLED 2  /* seen in its group for this long before it counts */
#endif

byte now = 1;

/* The store: the record (group of the VM, revision) and the manager's key. */
byte record_group = 1, revision = 1;
byte holder = 0, lease_end = 0;

/* The engine. */
byte engine_group = 1, engine_fencing = 1;

byte ordered[4]; /* the group that was ordered with each fencing number */

/* One order under way for each manager; group 0 releases. */
bool order_out[3];
byte order_group[3], order_fencing[3], order_until[3];

/* The nodes: since when and when last each saw the VM in its group, and its ticket's end. A conflict needs one node with a ticket for each
 * group, so node 0 stands for any that issues one for group 1 and node 1 for group 2. */
byte seen_since[2], seen_at[2], ticket_until[2];

/* Between two answers this far apart the VM may have served elsewhere unseen. */
#ifdef NO_GAP_GUARD
#define GAP(n) false
#else
#define GAP(n) (now - seen_at[n] >= 2)
#endif

#define in_force(n) (now < ticket_until[n])

/* Tickets that have run out are cleared: fewer states, nothing else. */
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
    /* What the guard is for: at this moment nobody else can be manager. */
    assert(holder == i && now < lease_end)
}

inline send(i, g) {
    atomic {
        if
        :: !order_out[i] ->
           /* One revision, one assignment. */
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
    /* Campaign: once the key is free. */
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
    /* Read the record, decide, and look at the clock. */
    atomic {
        sent = 0;
        known = revision;
        target = 3 - record_group;
        guard(i)
    }
    /* Paused here, the write below comes late. With or without a reply the record is read back. */
    atomic {
#ifdef NO_COMPARE
        assert(revision == known); /* somebody's change is overwritten unread */
#endif
        if
        :: revision == known && holder == i && now < lease_end ->
           record_group = target; revision++; known = revision
        :: else -> goto stop
        fi
    }
    atomic { guard(i) }
    /* Paused here, the order below is one from the past. */
    send(i, target);
stop:
    atomic { sent = 0; until = 0; known = 0; target = 0 }
}

proctype node(byte n) {
    byte sent;
    bool here;
    do
    :: now < END ->
       sent = now;                             /* the probe leaves */
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
           :: else -> ticket_until[n] = 0 /* contradicted, or already over */
           fi;
           assert(!(in_force(0) && in_force(1)));
           here = false; sent = 0
       }
    :: now >= END -> break
    od
}

/* Part 2 puts one order each in the place of the two managers: to any group, at any time, however
 * late, taken by an engine that ignores fencing. The record isn't asked: whatever it says, the
 * reports alone keep the two tickets apart. More orders than that
 * within one probe's gap, back and forth, could show each node the group that it looks for. It
 * takes as many managers woken from the past, and engines that load a group in no time. */
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
