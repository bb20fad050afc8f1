/* A move of one slice from host A to host B while a query runs, hosts die and words arrive late: the protocol of
 * src/layout/changes.hpp, as small as it can be and still go wrong. C is the slice's other holder.
 *
 * Checked at every state: the newest layout has a complete holder that is asked; an answer that a query takes holds
 * every write that was done before the query began; the move ends, done or undone, once failures stop.
 *
 * Two variants must be rejected (tests/layout/model runs all three):
 *   -DTOO_EARLY   B is asked before it has caught up with what was written
 *   -DNO_RETIRE   A leaves the layout at once at hand-over, while older plans still ask it
 */

mtype = { none, copying, catching, handing, serving, retired };

mtype b = none, a = serving, c = serving;  /* in the newest layout */
byte version = 0;                           /* the last write */
byte va = 0, vb = 0, vc = 0;                /* what each host holds */
mtype toldA = serving, toldB = none;        /* what A and B know of themselves */
mtype knowsA = serving, knowsB = none;      /* what the gatherer has been told: it plans on that */
bool deadA = false, deadB = false;
byte deaths = 0;
bool ended = false;

bool out = false;                           /* a query is out */
bool planA, planB, planC;                   /* whom it may ask */
byte since;                                 /* the version known as it began */
byte queries = 0, writes = 0;

#define COMPLETE(s) (s == handing || s == serving || s == retired)
#define ASKED(s) (s == handing || s == serving)

/* Writes go to all whom the newest layout has take them; a host that is copying gets them as it catches up. */
active proctype Writer() {
    do
    :: atomic { writes < 2 ->
        writes++; version++;
        if :: a != none && !deadA -> va = version :: else fi;
        if :: b != none && b != copying && !deadB -> vb = version :: else fi;
        vc = version
    }
    :: ended && writes == 2 -> break
    od
}

active proctype Controller() {
    byte copied;
    atomic { b = copying; copied = va }
    /* the copy takes a while: what is written meanwhile is missing from it */
    do
    :: b == copying && deadA -> atomic { copied = vc; deadA -> skip }; break
    :: b == copying && !deadA -> break
    od;
    atomic {
        if
        :: deadB -> b = none; goto over
        :: else -> vb = (vb > copied -> vb : copied); b = catching
        fi
    }
#ifndef TOO_EARLY
    atomic {  /* the source's log, from A or, where that died, anew from C */
        if
        :: deadB -> b = none; goto over
        :: else -> vb = (deadA -> vc : va)
        fi
    }
#endif
    atomic { if :: deadB -> b = none; goto over :: else -> b = handing fi }
    /* until B says that it knows, or dies, or is late */
    do
    :: atomic { deadB -> b = none; goto over }
    :: atomic { toldB == handing -> break }
    :: atomic { toldB != handing && !deadB -> b = retired; goto withdraw }
    od;
    atomic {
        if
        :: deadB -> b = none; goto over
        :: else ->
            b = serving;
#ifdef NO_RETIRE
            a = none; goto over
#else
            a = retired
#endif
        fi
    }
    /* A goes once no query is out on an older plan; where B dies first, A serves again */
    do
    :: atomic { deadB -> b = none; a = serving; goto over }
    :: atomic { deadA || (knowsA == retired && !(out && planA)) -> a = none; goto over }
    od;
withdraw:
    do
    :: atomic { deadB || (knowsB == retired && !(out && planB)) -> b = none; break }
    od;
over:
    ended = true
}

/* Words reach hosts and the gatherer late; one that another overtakes is never heard. */
active proctype Words() {
    do
    :: atomic { !deadA && toldA != a -> toldA = a }
    :: atomic { !deadB && toldB != b -> toldB = b }
    :: atomic { knowsA != a || knowsB != b -> knowsA = a; knowsB = b }
    :: ended && (toldA == a || deadA) && (toldB == b || deadB) && knowsA == a && knowsB == b -> break
    od
}

active proctype Killer() {
    do
    :: atomic { deaths < 1 && !deadB -> deadB = true; deaths++ }
    :: atomic { deaths < 1 && !deadA && !deadB -> deadA = true; deaths++ }
    :: break
    od
}

/* A gatherer plans on the newest layout that it knows and holds the plan to the answer; a host answers only for what it believes to
 * hold complete. What it answers must hold what was written before the query began. */
active proctype Query() {
    do
    :: atomic { queries < 2 ->
        queries++; out = true; since = version;
        planA = ASKED(knowsA); planB = ASKED(knowsB); planC = ASKED(c);
        assert(planA || planB || planC)
    };
        if
        :: atomic { planA && !deadA && COMPLETE(toldA) -> assert(va >= since) }
        :: atomic { planB && !deadB && COMPLETE(toldB) -> assert(vb >= since) }
        :: atomic { planC -> assert(vc >= since) }
        fi;
        atomic { out = false; planA = false; planB = false; planC = false }
    :: queries == 2 -> break
    od
}

#define sound (COMPLETE(c) || COMPLETE(a) || COMPLETE(b))
ltl holder { [] sound }
ltl ends { <> ended }
