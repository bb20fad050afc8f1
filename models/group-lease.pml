/* A lease handed on: one holder, a leader, and the next leader, as in src/lease_sessions/lease_manager.hpp. Time is counted in ticks that
 * all clocks see (drift and margin are a matter of figures, not of order). The holder counts its lease from when it sent a
 * renewal; a leader confirms only while it leads, and a new leader lets the lease run its full time anew.
 * Checked: the next holder never begins while the old one still acts.
 *
 * Two variants must be rejected (tests/cluster/model runs all three):
 *   -DNO_PROLONG    the new leader counts on from what it knew of the lease: a renewal that the old one confirmed is unknown to it
 *   -DFROM_ANSWER   the holder counts from when the answer came, not from when it asked
 */

#define TTL 3
#define LAST 11

byte now = 0;
byte until = TTL;        /* the holder acts before this */
byte ends1 = TTL;        /* the first leader ends the lease at this */
byte ends2 = TTL;        /* and the second, once it leads */
bool leads2 = false;     /* elected: from here on the first confirms nothing, though it may not know */
bool granted = false;    /* the next holder acts */
bool asked = false;
byte sent, number = 0;   /* of the renewal that is out */
byte answer = 0;         /* the number that was confirmed last */

#define ACTS (now < until)

active proctype Time() {
    do
    :: atomic { now < LAST -> now++; assert(!(granted && ACTS)) }
    :: now == LAST -> break
    od
}
active proctype Holder() {
    do
    :: atomic { !asked && ACTS && number < 4 -> asked = true; sent = now; number++ }
    :: atomic {
        asked && answer == number ->
        asked = false;
#ifdef FROM_ANSWER
        if :: ACTS -> until = now + TTL :: else -> skip fi
#else
        if :: ACTS && sent + TTL > until -> until = sent + TTL :: else -> skip fi
#endif
       }
    :: atomic { asked -> asked = false }  /* the answer is lost */
    :: now == LAST -> break
    od
}
active proctype Leader1() {
    byte took = 0;       /* the renewal it works on */
    bool proven = false;
    do
    :: atomic {
        asked && took != number && !granted ->
        took = number; proven = false;
        if :: now + TTL > ends1 -> ends1 = now + TTL :: else -> skip fi
       }
    /* a majority answered signs sent since: nobody else had been elected before the renewal came */
    :: atomic { took != 0 && !proven && !leads2 -> proven = true }
    :: atomic { proven && answer != took -> answer = took }  /* may arrive much later */
    :: atomic { !leads2 && !granted && now >= ends1 -> granted = true; assert(!ACTS) }
    :: now == LAST -> break
    od
}
active proctype Leader2() {
    do
    :: atomic {
        !leads2 && now < LAST - TTL ->
        leads2 = true;
#ifndef NO_PROLONG
        ends2 = now + TTL
#endif
       }
    :: atomic { leads2 && !granted && now >= ends2 -> granted = true; assert(!ACTS) }
    :: now == LAST -> break
    od
}
