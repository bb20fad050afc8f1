/* Voters that forget: five of them, no disk, two candidates in one term, and a voter that forgets all and recovers,
 * at any moment, as in src/raft/raft_consensus.hpp. Checked: the term never has two leaders. (What a recovering voter takes over of
 * the log is not part of this model.)
 *
 * Two variants must be rejected (tests/cluster/model runs all three):
 *   -DFORGETS     one that forgot votes again at once
 *   -DNO_PROMISE  who says yes to a pre-vote does not remember the term: so one that forgot its vote may hear of it from nobody
 */

#define N 5
#define MOST 3
#define NONE 9
#define USED 8

bool know[N], whole[N];      /* knows of the term; has its memory */
byte vote[N], life[N];
byte leader = NONE;

proctype Candidate(byte c) {
    byte yes = 1, j = 0;
    bool alive = true;
    know[c] = true;
    do   /* would you? A majority must know of the term before anybody votes in it */
    :: j < N && j != c -> atomic {
        if
        :: whole[j] ->
           yes++;
#ifndef NO_PROMISE
           know[j] = true;
#endif
        :: true -> skip   /* lost */
        fi;
        j++
       }
    :: j == c -> j++
    :: j == N -> break
    od;
    atomic {
        alive = (life[c] == 0 && yes >= MOST && vote[c] == NONE);
        if :: alive -> vote[c] = c :: else -> skip fi;
        yes = 1; j = 0
    }
    do
    :: alive && j < N && j != c -> atomic {
        if
        :: whole[j] && vote[j] == NONE -> vote[j] = c; know[j] = true; yes++
        :: true -> skip
        fi;
        j++
       }
    :: j == c -> j++
    :: !alive || j == N -> break
    od;
    atomic {
        if
        :: alive && life[c] == 0 && yes >= MOST -> assert(leader == NONE || leader == c); leader = c
        :: else -> skip
        fi
    }
}

/* A power cut: all is gone. It asks the others, each at its own moment, and needs a majority that remembers. */
proctype Forget() {
    byte j = 0, k = 0, got = 0;
    bool most = false;
    atomic {
        do
        :: j < N - 1 -> j++
        :: whole[j] -> break
        od;
        whole[j] = false; know[j] = false; vote[j] = NONE; life[j]++
    }
#ifdef FORGETS
    whole[j] = true
#else
    do
    :: k < N && k != j -> atomic {
        if
        :: whole[k] -> got++; most = most || know[k]
        :: true -> skip
        fi;
        k++
       }
    :: k == j -> k++
    :: k == N -> break
    od;
    atomic {
        if
        :: got >= MOST -> know[j] = most; vote[j] = (most -> USED : NONE); whole[j] = true
        :: else -> skip   /* it goes on asking; here it stays away */
        fi
    }
#endif
}

init {
    byte i = 0;
    atomic {
        do :: i < N -> whole[i] = true; vote[i] = NONE; i++ :: i == N -> break od;
        run Candidate(0); run Candidate(1); run Forget()
    }
}
