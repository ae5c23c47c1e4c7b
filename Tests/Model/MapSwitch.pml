/* Agreement on one expert map: two ranks, two coordinators one after the other, one replaced rank.
 *
 * The log is modelled by what its replay gives, so an append is one atomic change when it lands.
 * Commits land at any time after they were sent; orders and reads happen at any time; a lease lapses
 * at any time. Checked: every step runs on one map on all ranks. Not modelled: staging, the orders
 * between agent and engine, progress (the fault matrix covers them).
 *
 * Each guard can be left out (-DNO_...); the checker must then find a counterexample.
 */
#define RANKS 2
#define LAST_STEP 4

/* Replayed state of the group's stream; attempt 1 runs under token 1, attempt 2 under token 2. */
byte token = 1;
byte members = 1;
byte decided;
byte committed;
byte current;
byte previous;
byte fromStep;

/* Coordinators. */
bool arming[3];
bool cancelled[3];
bool commitSent[3];
byte switchStep[3];
byte knownMembers[3];
bool promised[6]; /* attempt * RANKS + rank */

/* Ranks and the engines beside them. */
byte step[RANKS];
byte hold[RANKS];
byte armed[RANKS];
byte armedMembers[RANKS];
byte joinedAt[RANKS];
bool running[RANKS];
/* A replaced engine that has begun no step yet; its predecessor may have begun the next one. */
bool fresh[RANKS];
byte engineCurrent[RANKS];
byte enginePrevious[RANKS];
byte engineFrom[RANKS];

/* Map that a step ran on, plus one. */
byte usedMap[LAST_STEP + 1];

#define PROMISED(a, r) promised[(a) * RANKS + (r)]

#ifdef NO_TOKEN_CHECK
#define TOKEN_OK(a) true
#else
#define TOKEN_OK(a) ((a) == token)
#endif
#ifdef NO_MEMBER_CHECK
#define MEMBERS_OK(a) true
#else
#define MEMBERS_OK(a) (knownMembers[a] == members)
#endif
#ifdef NO_FIRST_DECISION
#define FIRST_OK(a) true
#else
#define FIRST_OK(a) ((a) > decided)
#endif
#ifdef NO_ALL_PROMISES
#define PROMISES_OK(a) (PROMISED(a, 0) || PROMISED(a, 1))
#else
#define PROMISES_OK(a) (PROMISED(a, 0) && PROMISED(a, 1))
#endif
#ifdef NO_PASSED_STEP
#define STEP_OK(a, r) true
#elif defined(NO_FRESH_STEP)
#define STEP_OK(a, r) (step[r] < switchStep[a])
#else
#define STEP_OK(a, r) (step[r] + fresh[r] < switchStep[a])
#endif

/* A rank arms only once it has begun a step on its present map. All ranks have then begun every step
 * before it, so that a replaced rank, which may repeat a step, never needs a third map. */
#ifdef NO_ACTIVE_MAP
#define ACTIVE_OK(r) true
#else
#define ACTIVE_OK(r) (step[r] >= engineFrom[r])
#endif

inline adopt(r)
{
    engineCurrent[r] = current;
    enginePrevious[r] = previous;
    engineFrom[r] = fromStep
}

inline letGo(r)
{
    hold[r] = 0;
    armed[r] = 0;
    armedMembers[r] = 0
}

inline begin(r)
{
    step[r] = step[r] + 1;
    fresh[r] = false;
    if
    :: step[r] < engineFrom[r] -> used = enginePrevious[r]
    :: else -> used = engineCurrent[r]
    fi;
    assert(usedMap[step[r]] == 0 || usedMap[step[r]] == used + 1);
    usedMap[step[r]] = used + 1;
    used = 0
}

/* Reads the stream to its end. */
inline readStream(r)
{
    if
    :: armed[r] == 0 || committed == armed[r] || decided >= armed[r] || token > armed[r] ||
       members > armedMembers[r] ->
        adopt(r);
        letGo(r)
    :: else -> skip
    fi
}

proctype Rank(byte r)
{
    byte used;
    byte a;
    do
    :: atomic { running[r] && step[r] < LAST_STEP && (hold[r] == 0 || step[r] + 1 < hold[r]) &&
                step[1 - r] >= step[r] -> begin(r) }
    :: atomic { running[r] && armed[r] == 0 ->
                if
                :: a = 1
                :: a = 2
                fi;
                if
                :: arming[a] && !PROMISED(a, r) && joinedAt[r] <= knownMembers[a] && STEP_OK(a, r) && ACTIVE_OK(r) ->
                    hold[r] = switchStep[a];
                    armed[r] = a;
                    armedMembers[r] = knownMembers[a];
                    PROMISED(a, r) = true
                :: else -> skip
                fi;
                a = 0 }
    :: atomic { running[r] -> readStream(r) }
    /* The armed rank's timeout. */
    :: atomic { armed[r] != 0 && armed[r] > decided -> decided = armed[r] }
    :: atomic { armed[r] != 0 && cancelled[armed[r]] -> letGo(r) }
#ifdef NO_HOLD
    :: atomic { armed[r] != 0 -> letGo(r) }
#endif
    od
}

/* Rank 0's VM is replaced once, at any time. The new engine repeats a step that is not complete. */
proctype Replacement()
{
    atomic {
        running[0] = false;
        letGo(0);
        fresh[0] = true;
        if
        :: step[0] > step[1] -> step[0] = step[0] - 1
        :: else -> skip
        fi
    }
#ifndef NO_JOIN
    atomic {
        members = members + 1;
        joinedAt[0] = members
    }
#endif
    atomic {
        adopt(0);
        running[0] = true
    }
}

proctype Coordinator(byte a)
{
    byte room;
    if
    :: a == 2 -> token = 2
    :: else -> skip
    fi;
    atomic {
        if
        :: room = 1
        :: room = 2
        fi;
        knownMembers[a] = members;
        switchStep[a] = (step[0] > step[1] -> step[0] : step[1]) + room;
        arming[a] = true
    }
    if
    :: atomic { PROMISES_OK(a) -> commitSent[a] = true }
    :: cancelled[a] = true
    fi
}

/* A commit lands late or never. */
proctype Commit(byte a)
{
    atomic {
        commitSent[a] ->
        if
        :: TOKEN_OK(a) && MEMBERS_OK(a) && FIRST_OK(a) && committed != a ->
            previous = current;
            current = a;
            fromStep = switchStep[a];
            committed = a;
            decided = (decided > a -> decided : a)
        :: else -> skip
        fi
    }
}

init
{
    atomic {
        joinedAt[0] = 1;
        joinedAt[1] = 1;
        running[0] = true;
        running[1] = true;
        run Rank(0);
        run Rank(1);
        run Replacement();
        run Coordinator(1);
        run Coordinator(2);
        run Commit(1);
        run Commit(2)
    }
}
