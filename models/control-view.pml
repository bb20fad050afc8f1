/* The view agreement with the chain, as in src/replica, as small as it can be and still go wrong.
 *
 * Epochs 1 to 3. Epoch 1 is decided and installed at the start; epochs 2 and 3 are agreed on by two proposals each. Disks 0, 1
 * and 2 are the members and the voters of epoch 1; a view leaves any of them out of the chain, and its voters change only one for
 * one: a voter outside the new chain may hand its vote to a member that has none. Disk 3 is empty: the one that a wiped machine comes back with, or (REPLACEMENT) a
 * spare machine. Each epoch has one batch, named by the epoch; a state is the set of its batches. One disk may be lost, and
 * once the power fails, for one machine or for all.
 *
 * Messages are facts that stay: a fact may be read never (lost), often (repeated), and in any order. A proposal is
 * carried on by whoever has its answers; a decision, an opening and a commit may be learnt by all. So the model does more than the
 * program does, never less: suspicion may be wrong at any time, and any set of members may be left out of a view.
 *
 * Checked at every step:
 *   - one view an epoch
 *   - every acknowledged batch is in the starting state of every later view that is decided
 *   - a read that a majority of the voters confirmed holds all that was acknowledged before it began
 *   - states that are shown are prefixes of one history
 *   - after a loss some disk that is left holds all that was acknowledged
 *   - after the loss of one disk a majority of the voters is left (not with REPLACEMENT, where two are lost)
 *
 * Variants that must be rejected (tests/replica/model runs them):
 *   -DACKNOWLEDGED_BEFORE_SYNC  a batch is passed on before the disk has it
 *   -DPROMISE_WITHOUT_SEALING   a member that has promised goes on in the chain
 *   -DFORGOTTEN_VOTE            a restart forgets the vote
 *   -DREAD_WITHOUT_CONTACT      the tail answers reads alone
 *   -DJOINER_NOT_SYNCED         a member passes the opening on without the starting state
 *   -DUNSYNCED_SOURCE           whoever promised may be the source (with -DLEAST=1 -DSECOND=1 -DNO_LOSS)
 *   -DSHRINKING_VOTERS          the voters of a view are its members
 *   -DLEAVES_BEFORE_SETTLED     a member that is left out ends once the view is decided (with -DREPLACEMENT)
 */

/* Bounds. Proposals for epoch 2 and for epoch 3; 0: epoch 3 is left out. NO_READS, NO_POWER and NO_LOSS leave
 * out what they say. */
#ifndef FIRST
#define FIRST 2
#endif
#ifndef SECOND
#define SECOND 0
#endif
/* A view has at least so many members. */
#ifndef LEAST
#define LEAST 2
#endif
#define BIT(x) (1 << (x))
#define HAS(set, x) (((set) >> (x)) & 1)
#define SIZE(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))
#define WITHIN(small, large) (((small) & ~(large)) == 0)
#define SLOT(target, number) (((target) - 2) * 2 + (number) - 1)

/* Each disk. The vote is one for the epoch after `epoch`. */
byte living = 0;    /* until all is set up */
byte epoch[4];
byte promised[4];
byte accepted[4];
byte stored[4];    /* with the pending batch */
byte applied[4];    /* without it */
byte synced[4];    /* newest epoch whose starting state was brought here */
byte session;      /* a bit for each disk, changed by a restart */
byte installed;      /* a bit for each process: knows that the epoch is installed */
#ifdef ACKNOWLEDGED_BEFORE_SYNC
byte safe[4];      /* what a loss of power leaves of `stored` */
#endif

/* Views that are decided, by epoch. */
byte decided = 2;
byte members[4];
byte voters[4];
byte source[4];
byte start[4];
byte sessions[4];
/* How far the opening and the batch got down the chain; whether the tail had them. */
byte opened[4];
byte passed[4];
byte ended = 2;
byte committed = 0;

/* Promises by proposal number and disk, and the proposals. */
byte promisers[4];
byte promisedSession[4];
byte reportAccepted[16];
byte reportSynced[16];
byte reportStored[16];
byte reportApplied[16];
byte proposed;     /* a bit for each slot */
byte accepters[4];
byte noted;        /* a bit for each slot that was decided */
byte valueMembers[4];
byte valueVoters[4];
byte valueSource[4];
byte valueStart[4];
byte valueSessions[4];

byte acknowledged = 0;
byte history = 0;  /* the longest state shown */

/* A read: the process and one, who confirmed, what was acknowledged as it began. */
byte reader = 0;
byte confirmed;
byte floor;

bool power = false;
bool wiped = false;
bool departed = false;

#define VIEW(i) epoch[i]
#define MAY_VOTE(i, number) (HAS(living, i) && HAS(members[VIEW(i)] | voters[VIEW(i)], i) && \
                             (VIEW(i) == 1 && number <= FIRST || VIEW(i) == 2 && number <= SECOND))
#define RANK(i) (i == source[VIEW(i)] -> 0 : 1 + SIZE(members[VIEW(i)] & ~BIT(source[VIEW(i)]) & (BIT(i) - 1)))
#define LAST(i) (SIZE(members[VIEW(i)]) - 1)
#define MAJORITY(e) (SIZE(voters[e]) / 2 + 1)
#define LISTED(i) (HAS(members[VIEW(i)], i) && HAS(session, i) == HAS(sessions[VIEW(i)], i))
#ifdef PROMISE_WITHOUT_SEALING
#define UNSEALED(i) (accepted[i] == 0)
#else
#define UNSEALED(i) (promised[i] == 0)
#endif
#define ACTIVE(i) (HAS(living, i) && LISTED(i) && UNSEALED(i))
#define SYNCED(i) (synced[i] == VIEW(i))
#ifdef JOINER_NOT_SYNCED
#define MAY_OPEN(i) true
#else
#define MAY_OPEN(i) SYNCED(i)
#endif
#ifdef READ_WITHOUT_CONTACT
#define CONFIRMED(e) true
#else
#define CONFIRMED(e) (SIZE(confirmed) >= MAJORITY(e))
#endif

/* States are ordered by their newest batch: one is a prefix of another if it holds all up to its own newest. */
#define UPTO(set) (HAS(set, 2) -> 7 : (HAS(set, 1) -> 3 : 1))
#define PREFIX(small, large) ((small) == ((large) & UPTO(small)))

inline expose(state) {
    if
    :: PREFIX(history, state) -> history = state
    :: else -> assert(PREFIX(state, history))
    fi
}
inline acknowledge(batch) {
    acknowledged = acknowledged | BIT(batch);
    assert(!(HAS(decided, 2) && batch < 2) || HAS(start[2], batch));
    assert(!(HAS(decided, 3) && batch < 3) || HAS(start[3], batch))
}
/* The write that this process left open as the head of an earlier epoch is done if the epoch starts from it. */
inline closeWrite(i, batch) {
    if
    :: batch < VIEW(i) && source[batch] == i && passed[batch] > 0 && !HAS(acknowledged, batch) &&
       HAS(sessions[batch], i) == HAS(session, i) && start[VIEW(i)] == (start[VIEW(i)] & UPTO(BIT(batch))) &&
       HAS(start[VIEW(i)], batch) && SIZE(members[VIEW(i)]) > 1 -> acknowledge(batch)
    :: else
    fi
}
inline install(i) {
    installed = installed | BIT(i);
    if :: stored[i] == start[VIEW(i)] -> applied[i] = stored[i] :: else fi;
    expose(applied[i]);
    closeWrite(i, 1);
    closeWrite(i, 2)
}
inline forced(i) {
#ifdef ACKNOWLEDGED_BEFORE_SYNC
    safe[i] = stored[i]
#else
    skip
#endif
}
inline endRead(i) {
    if :: reader == i + 1 -> reader = 0; confirmed = 0; floor = 0 :: else fi
}
inline enter_view(i, e) {
    epoch[i] = e;
    promised[i] = 0;
    accepted[i] = 0;
    installed = installed & ~BIT(i);
    endRead(i)
}
/* Nobody needs the promise once the proposal's value is proposed. */
inline promise(i, number) {
    slot = SLOT(VIEW(i) + 1, number);
    promised[i] = number;
    if
    :: !HAS(proposed, slot) ->
       promisers[slot] = promisers[slot] | BIT(i);
       promisedSession[slot] = promisedSession[slot] | (session & BIT(i));
       reportAccepted[slot * 4 + i] = accepted[i];
       reportSynced[slot * 4 + i] = synced[i];
       reportStored[slot * 4 + i] = stored[i];
       reportApplied[slot * 4 + i] = applied[i]
    :: else
    fi;
    endRead(i);
    slot = 0
}
inline decide(target, slot) {
    if
    :: HAS(decided, target) ->
       assert(members[target] == valueMembers[slot] && voters[target] == valueVoters[slot] && source[target] == valueSource[slot] &&
              start[target] == valueStart[slot] && sessions[target] == valueSessions[slot])
    :: else ->
       decided = decided | BIT(target);
       members[target] = valueMembers[slot];
       voters[target] = valueVoters[slot];
       source[target] = valueSource[slot];
       start[target] = valueStart[slot];
       sessions[target] = valueSessions[slot];
       assert(WITHIN(acknowledged, start[target]))
    fi;
    noted = noted | BIT(slot);
    accepters[slot] = 0
}
/* A view is decided as soon as a majority has accepted it, whoever learns of that and when. */
inline accept(i, number) {
    slot = SLOT(VIEW(i) + 1, number);
    promised[i] = number;
    accepted[i] = number;
    if :: !HAS(noted, slot) -> accepters[slot] = accepters[slot] | BIT(i) :: else fi;
    if
    :: SIZE(accepters[slot] & voters[VIEW(i)]) >= MAJORITY(VIEW(i)) -> decide(VIEW(i) + 1, slot)
    :: else
    fi;
    endRead(i);
    slot = 0
}
inline commit(i) {
    applied[i] = stored[i];
    expose(applied[i]);
    if :: RANK(i) == 0 -> acknowledge(VIEW(i)) :: else fi
}

active [4] proctype Process() {
    byte slot;
    do
    /* Learns a view. */
    :: d_step { HAS(living, _pid) && epoch[_pid] < 2 && HAS(decided, 2) -> enter_view(_pid, 2) }
    :: d_step { HAS(living, _pid) && epoch[_pid] < 3 && HAS(decided, 3) -> enter_view(_pid, 3) }
    /* Votes on the next one. */
    :: d_step { MAY_VOTE(_pid, 1) && promised[_pid] < 1 -> promise(_pid, 1) }
    :: d_step { MAY_VOTE(_pid, 2) && promised[_pid] < 2 -> promise(_pid, 2) }
    :: d_step { MAY_VOTE(_pid, 1) && promised[_pid] < 2 && accepted[_pid] < 1 && HAS(proposed, SLOT(epoch[_pid] + 1, 1)) ->
                accept(_pid, 1) }
    :: d_step { MAY_VOTE(_pid, 2) && accepted[_pid] < 2 && HAS(proposed, SLOT(epoch[_pid] + 1, 2)) ->
                accept(_pid, 2) }
    /* Brings its disk to the starting state: it has it, or a synced member sends it. */
    :: d_step { HAS(living, _pid) && HAS(members[epoch[_pid]], _pid) && UNSEALED(_pid) && !SYNCED(_pid) &&
                (stored[_pid] == start[epoch[_pid]] || applied[_pid] == start[epoch[_pid]]) ->
                stored[_pid] = start[epoch[_pid]]; forced(_pid); synced[_pid] = epoch[_pid] }
    :: d_step { ACTIVE(_pid) && !SYNCED(_pid) && SYNCED(source[epoch[_pid]]) && HAS(living, source[epoch[_pid]]) &&
                stored[_pid] != start[epoch[_pid]] && applied[_pid] != start[epoch[_pid]] ->
                stored[_pid] = start[epoch[_pid]]; applied[_pid] = stored[_pid]; forced(_pid);
                synced[_pid] = epoch[_pid] }
    /* The opening runs down the chain; the tail installs the view, the others learn of it. */
    :: d_step { ACTIVE(_pid) && MAY_OPEN(_pid) && opened[epoch[_pid]] == RANK(_pid) && RANK(_pid) < LAST(_pid) ->
                opened[epoch[_pid]]++ }
    :: d_step { ACTIVE(_pid) && MAY_OPEN(_pid) && opened[epoch[_pid]] == LAST(_pid) && RANK(_pid) == LAST(_pid) &&
                !HAS(installed, _pid) -> ended = ended | BIT(epoch[_pid]); install(_pid) }
    :: d_step { ACTIVE(_pid) && SYNCED(_pid) && HAS(ended, epoch[_pid]) && !HAS(installed, _pid) &&
                RANK(_pid) < LAST(_pid) -> install(_pid) }
    /* A batch: head, the members between, tail, and the commit. */
    :: d_step { ACTIVE(_pid) && SYNCED(_pid) && HAS(installed, _pid) && RANK(_pid) == 0 && passed[epoch[_pid]] == 0 &&
                LAST(_pid) > 0 && epoch[_pid] < 3 ->
                stored[_pid] = stored[_pid] | BIT(epoch[_pid]); passed[epoch[_pid]] = 1 }
    :: d_step { ACTIVE(_pid) && SYNCED(_pid) && HAS(installed, _pid) && RANK(_pid) > 0 &&
                passed[epoch[_pid]] == RANK(_pid) && RANK(_pid) < LAST(_pid) ->
                stored[_pid] = stored[_pid] | BIT(epoch[_pid]); passed[epoch[_pid]]++ }
    :: d_step { ACTIVE(_pid) && SYNCED(_pid) && HAS(installed, _pid) && RANK(_pid) > 0 &&
                passed[epoch[_pid]] == RANK(_pid) && RANK(_pid) == LAST(_pid) && !HAS(committed, epoch[_pid]) ->
                stored[_pid] = stored[_pid] | BIT(epoch[_pid]); committed = committed | BIT(epoch[_pid]);
                commit(_pid) }
    :: d_step { ACTIVE(_pid) && HAS(installed, _pid) && HAS(committed, epoch[_pid]) &&
                HAS(stored[_pid], epoch[_pid]) && !HAS(applied[_pid], epoch[_pid]) -> commit(_pid) }
#ifdef ACKNOWLEDGED_BEFORE_SYNC
    :: d_step { HAS(living, _pid) && safe[_pid] != stored[_pid] -> safe[_pid] = stored[_pid] }
#endif
#ifndef NO_READS
    /* A read at the tail: begun, confirmed, answered. */
    :: d_step { reader == 0 && acknowledged != 0 && ACTIVE(_pid) && HAS(installed, _pid) && RANK(_pid) == LAST(_pid) ->
                reader = _pid + 1; confirmed = BIT(_pid) & voters[epoch[_pid]]; floor = acknowledged }
    :: d_step { reader != 0 && HAS(living, _pid) && epoch[_pid] == epoch[reader - 1] && UNSEALED(_pid) &&
                HAS(voters[epoch[_pid]], _pid) && !HAS(confirmed, _pid) -> confirmed = confirmed | BIT(_pid) }
    :: d_step { reader == _pid + 1 && ACTIVE(_pid) && HAS(installed, _pid) && CONFIRMED(epoch[_pid]) ->
                assert(WITHIN(floor, applied[_pid])); reader = 0; confirmed = 0; floor = 0 }
#endif
    od
}

/* What this promiser could start the next view from (storedBy in view_planner.cpp): the epoch plus one, 0 for nothing. */
inline weigh(base, report) {
    if
    :: reportSynced[report] == base -> weight = base + 1; state = reportStored[report]
    :: reportSynced[report] != base &&
       (reportStored[report] == start[base] || reportApplied[report] == start[base]) ->
       weight = base + 1; state = start[base]
    :: else ->
       if
       :: reportSynced[report] + 1 == base -> weight = base; state = reportStored[report]
       :: else ->
#ifdef UNSYNCED_SOURCE
          weight = reportSynced[report] + 1; state = reportStored[report]
#else
          weight = 0; state = 0
#endif
       fi
    fi
}
/* The best source among these promisers. */
inline chooseSource(base, slot, among) {
    best = 0; i = 0;
    do
    :: i < 4 ->
       if
       :: HAS(among, i) ->
          weigh(base, slot * 4 + i);
          if
          :: weight > best || (weight == best && weight > 0 && state > valueStart[slot]) ->
             best = weight; valueSource[slot] = i; valueStart[slot] = state
          :: else
          fi
       :: else
       fi;
       i++
    :: else -> break
    od
}
inline copyValue(slot, from) {
    valueMembers[slot] = valueMembers[from];
    valueVoters[slot] = valueVoters[from];
    valueSource[slot] = valueSource[from];
    valueStart[slot] = valueStart[from];
    valueSessions[slot] = valueSessions[from];
    proposed = proposed | BIT(slot)
}
#define NOT_SYNCED(slot, base, i) \
    (HAS(promisers[slot] & members[base], i) && reportSynced[(slot) * 4 + i] != base)
#define UNSYNCED_MEMBER(slot, base) \
    (NOT_SYNCED(slot, base, 0) || NOT_SYNCED(slot, base, 1) || NOT_SYNCED(slot, base, 2) || NOT_SYNCED(slot, base, 3))
/* A voter outside the new chain hands its vote to a member without one, or keeps it. */
#define HANDS_OVER(slot, base, i) (HAS(voters[base], i) && !HAS(valueMembers[slot], i) && \
                                   HAS(valueMembers[slot], 3) && !HAS(voters[base], 3))
inline chooseVoters(base, slot) {
#ifdef SHRINKING_VOTERS
    valueVoters[slot] = valueMembers[slot]
#else
    if
    :: valueVoters[slot] = voters[base]
    :: HANDS_OVER(slot, base, 0) -> valueVoters[slot] = (voters[base] & ~1) | 8
    :: HANDS_OVER(slot, base, 1) -> valueVoters[slot] = (voters[base] & ~2) | 8
    :: HANDS_OVER(slot, base, 2) -> valueVoters[slot] = (voters[base] & ~4) | 8
    fi
#endif
}
/* The sessions that a view lists: those of the promises, and for the empty disk the one it has. */
inline compose(base, slot) {
    wanted = promisers[slot] & members[base] & ~excluded;
    chooseSource(base, slot, wanted);
    if :: best == 0 -> chooseSource(base, slot, promisers[slot] & members[base]) :: else fi;
    /* A voter outside the chain, where a member of the chain proves that nothing was acknowledged in it. */
    if :: best == 0 && UNSYNCED_MEMBER(slot, base) -> chooseSource(base, slot, promisers[slot]) :: else fi;
    if
    :: best > 0 && SIZE(wanted | BIT(valueSource[slot]) | joiner) >= LEAST ->
       valueMembers[slot] = wanted | BIT(valueSource[slot]) | joiner;
       valueSessions[slot] = ((promisedSession[slot] & ~joiner) | (session & joiner)) & valueMembers[slot];
       chooseVoters(base, slot);
       proposed = proposed | BIT(slot)
    :: else -> valueSource[slot] = 0; valueStart[slot] = 0
    fi
}
inline anyExcluded() {
    if
    :: excluded = 0 :: excluded = 1 :: excluded = 2 :: excluded = 4 :: excluded = 8
    :: excluded = 3 :: excluded = 5 :: excluded = 6 :: excluded = 9 :: excluded = 10 :: excluded = 12
    fi;
    if
    :: joiner = 0
#ifndef REPLACEMENT  /* there it leaves for good, and does not ask to be taken in */
    :: HAS(living, 0) && !HAS(members[base], 0) -> joiner = 1
    :: HAS(living, 1) && !HAS(members[base], 1) -> joiner = 2
    :: HAS(living, 2) && !HAS(members[base], 2) -> joiner = 4
#endif
    :: HAS(living, 3) && !HAS(members[base], 3) -> joiner = 8
    fi
}
inline forget(slot) {
    promisers[slot] = 0;
    promisedSession[slot] = 0;
    i = 0;
    do
    :: i < 4 ->
       reportAccepted[slot * 4 + i] = 0;
       reportSynced[slot * 4 + i] = 0;
       reportStored[slot * 4 + i] = 0;
       reportApplied[slot * 4 + i] = 0;
       i++
    :: else -> break
    od
}
inline propose(target, number) {
    base = target - 1; slot = SLOT(target, number); i = 0; best = 0;
    do
    :: i < 4 ->
       if
       :: HAS(promisers[slot], i) && reportAccepted[slot * 4 + i] > best -> best = reportAccepted[slot * 4 + i]
       :: else
       fi;
       i++
    :: else -> break
    od;
    if
    :: best > 0 -> copyValue(slot, SLOT(target, best))
    :: else -> anyExcluded(); compose(base, slot)
    fi;
    if :: HAS(proposed, slot) -> forget(slot) :: else fi;
    base = 0; slot = 0; i = 0; best = 0; weight = 0; state = 0; wanted = 0; excluded = 0; joiner = 0
}
#define SEALED_CHAIN(set) ((set) != 0)
#define MAY_PROPOSE(t, b) \
    (HAS(decided, t - 1) && !HAS(proposed, SLOT(t, b)) && SIZE(promisers[SLOT(t, b)] & voters[t - 1]) >= MAJORITY(t - 1) && \
     SEALED_CHAIN(promisers[SLOT(t, b)] & members[t - 1]))

active proctype Proposals() {
    byte base, slot, i, best, weight, state, wanted, excluded, joiner;
    do
    :: atomic { MAY_PROPOSE(2, 1) -> propose(2, 1) }
    :: atomic { MAY_PROPOSE(2, 2) -> propose(2, 2) }
    :: atomic { MAY_PROPOSE(3, 1) -> propose(3, 1) }
    :: atomic { MAY_PROPOSE(3, 2) -> propose(3, 2) }
    od
}

inline restart(disk) {
    session = session ^ BIT(disk);
    installed = installed & ~BIT(disk);
    endRead(disk);
#ifdef FORGOTTEN_VOTE
    promised[disk] = 0; accepted[disk] = 0;
#endif
#ifdef ACKNOWLEDGED_BEFORE_SYNC
    stored[disk] = safe[disk]; applied[disk] = applied[disk] & stored[disk];
#endif
    power = true
}
#define COPY(disk) (HAS(living, disk) && WITHIN(acknowledged, stored[disk]))
inline lose(disk) {
    living = living & ~BIT(disk);
    installed = installed & ~BIT(disk);
    endRead(disk);
    epoch[disk] = 0; promised[disk] = 0; accepted[disk] = 0;
    stored[disk] = 0; applied[disk] = 0; synced[disk] = 0;
    assert(COPY(0) || COPY(1) || COPY(2) || COPY(3));
#ifndef REPLACEMENT
    assert(!HAS(decided, 2) || SIZE(voters[2] & living) >= MAJORITY(2))
#endif
}
/* A member that the newest view leaves out may end for good. */
#ifdef LEAVES_BEFORE_INSTALLED
#define MAY_LEAVE(disk) (HAS(decided, 2) && !HAS(members[2], disk))
#else
#define MAY_LEAVE(disk) (HAS(decided, 2) && !HAS(members[2], disk) && HAS(ended, 2))
#endif

active proctype Faults() {
    byte disk;
    do
#ifndef NO_POWER
    :: d_step { !power && HAS(living, 0) -> restart(0) }
    :: d_step { !power && HAS(living, 1) -> restart(1) }
    :: d_step { !power && HAS(living, 2) -> restart(2) }
    :: d_step { !power && HAS(living, 3) -> restart(3) }
    :: d_step { !power && living != 0 -> restart(0); restart(1); restart(2); restart(3) }
#endif
#ifndef NO_LOSS
    :: d_step { !wiped && HAS(living, 0) -> wiped = true; lose(0); living = living | 8 }
    :: d_step { !wiped && HAS(living, 1) -> wiped = true; lose(1); living = living | 8 }
    :: d_step { !wiped && HAS(living, 2) -> wiped = true; lose(2); living = living | 8 }
#endif
#if defined(REPLACEMENT) && !defined(NO_LOSS)
    :: d_step { !departed && HAS(living, 0) && MAY_LEAVE(0) -> departed = true; lose(0) }
    :: d_step { !departed && HAS(living, 1) && MAY_LEAVE(1) -> departed = true; lose(1) }
#endif
    :: false -> skip
    od
}

init {
    d_step {
        epoch[0] = 1; epoch[1] = 1; epoch[2] = 1; epoch[3] = 1;
        synced[0] = 1; synced[1] = 1; synced[2] = 1;
#ifdef REPLACEMENT
        members[1] = 3; voters[1] = 3; installed = 3; living = 11
#else
        members[1] = 7; voters[1] = 7; installed = 7; living = 7
#endif
    }
}
