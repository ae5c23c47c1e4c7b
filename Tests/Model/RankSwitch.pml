/* Switch of a group's expert map, with two ranks and two leaders that don't know of each other.
 *
 * Every order that was ever sent may be executed at any later time, any number of times and in any
 * sequence; a leader's view of a rank may be arbitrarily old. A leader may do anything that its
 * guards allow, at any time. So every sequence of the real phases is checked, and a dead leader is
 * one that does nothing more. Checked: no pass begins while two ranks have different maps. Not
 * modelled: copying, epochs and progress, which the tests in virtual time cover.
 *
 * With any single guard left out (-DNO_...) the checker must find a counterexample. CMakeLists.txt
 * lists the guards that are left out in each variant.
 *
 * With -DSILENT_LEADER a held group may be released without a status of the rank beside the leader
 * that ordered the hold, as after that VM froze. For this each leader orders the rank after its own
 * to hold, uses a pass for one version only, and arms the rank beside itself last. A leader that
 * finds the group held by another leader arms no rank for that pass. The program follows this
 * variant. The base variant, where a leader orders its own rank to hold, checks the guards for
 * leaders whose ranks are all reachable.
 *
 * With -DRESTARTS, on top of SILENT_LEADER, leaders are killed at any time and start again without
 * memory, while the orders of their earlier lives go on being executed. Passes need not begin, as
 * in a group without work. The first life of a leader is the first in its epoch. Leader 0 switches
 * maps, and both recover holds. A hold is at most one pass beyond the latest one that its leader
 * knows (MAX_AHEAD).
 */
#define RANKS 2
#define LEADERS 2
#define LAST_PASS 2
#ifdef RESTARTS
#define VERSIONS 5
#else
#define VERSIONS 3
#endif
#define PASSES 3

/* State of the ranks. The content of a version is its creator, as leader + 1; 0 is the first
 * map. */
byte map[RANKS];
byte content[RANKS];
byte prepared[RANKS];
byte preparedContent[RANKS];
byte armed[RANKS];
byte armedPass[RANKS];
byte highest[RANKS];
byte held[RANKS];
/* Latest pass that was begun. */
byte pass;

/* Orders sent so far, one bit per rank. */
byte prepares[VERSIONS * LEADERS]; /* version * LEADERS + creator */
byte arms[VERSIONS * PASSES]; /* version * PASSES + pass */
byte disarms[VERSIONS];
byte holds[PASSES];
byte releases[PASSES];

/* The leaders' views of the ranks, by leader * RANKS + rank. */
bool seen[4];
byte seenMap[4];
byte seenPrepared[4];
byte seenArmed[4];
byte seenArmedPass[4];
byte seenHeld[4];

/* The version that each leader created last, and the pass for which it arms ranks. */
byte created[LEADERS];
byte armingPass[LEADERS];
/* The version for which a leader ordered a hold before a pass, by leader * PASSES + pass. */
byte heldFor[6];

#ifdef RESTARTS
#define MAX_AHEAD 1
/* Times that leader 0 is killed; the other one begins its life when it is needed. */
#define LIVES (l == 0 -> 1 : 0)
/* The highest version that a leader created in any life; its clock keeps it from using one again. */
byte used[LEADERS];
/* Lives that a leader has begun after its first one. */
byte restarts[LEADERS];
/* The latest pass that a leader knows in this life, and the one that its own rank was at when it
 * began. */
byte seenPass[LEADERS];
byte startPass[LEADERS];
#define LATER_THAN_USED(l, v) (v > used[l])
#define NOTE_USED(l, v) used[l] = v;
#define NOTE_PASS(l) seenPass[l] = pass;
#define PASS_NEWS(l) || seenPass[l] != pass
/* Guard: a hold is not far beyond the latest pass that its leader knows. */
#ifdef NO_PASS_BOUND
#define NEAR_PASS(l, p) (true)
#else
#define NEAR_PASS(l, p) (p <= seenPass[l] + MAX_AHEAD)
#endif
/* Guard: a hold is beyond all that earlier lives of its leader can have ordered. */
#ifdef NO_START_PASS
#define NEW_PASS(l, p) (p > seenPass[l])
#else
#define NEW_PASS(l, p) (p > seenPass[l] && (restarts[l] == 0 || p > startPass[l] + MAX_AHEAD))
#endif
#define MAY_HOLD(l, p) (l == 0 && seen[AT(l, l)] && NEAR_PASS(l, p) && NEW_PASS(l, p))
#define RESTART \
    atomic { \
        restarts[l] < LIVES -> \
        restarts[l]++; seen[AT(l, 0)] = false; seen[AT(l, 1)] = false; created[l] = 0; \
        armingPass[l] = 0; heldFor[l * PASSES + 1] = 0; heldFor[l * PASSES + 2] = 0; \
        FORGET(AT(l, 0)); FORGET(AT(l, 1)); seenPass[l] = pass; startPass[l] = pass \
    }
#define FORGET(i) \
    seenMap[i] = 0; seenPrepared[i] = 0; seenArmed[i] = 0; seenArmedPass[i] = 0; seenHeld[i] = 0
#else
#define LATER_THAN_USED(l, v) (true)
#define NOTE_USED(l, v)
#define NOTE_PASS(l)
#define PASS_NEWS(l)
#define MAY_HOLD(l, p) (true)
#define RESTART atomic { false -> skip }
#endif

#define BIT(r) (1 << (r))
#define AT(l, r) ((l) * RANKS + (r))
#define HAS_VERSION(i, v) (seenMap[i] == v || seenPrepared[i] == v || seenArmed[i] == v)
#define ABOVE(i, v) (seenMap[i] > v || seenPrepared[i] > v || seenArmed[i] > v)
#define HAS_SUPERSEDED(i, v) (ABOVE(i, v) && !HAS_VERSION(i, v))
#define BOTH_SEEN(l) (seen[AT(l, 0)] && seen[AT(l, 1)])
#define BOTH_HAVE(l, v) (HAS_VERSION(AT(l, 0), v) && HAS_VERSION(AT(l, 1), v))
#define ARMED_AT(i, v, p) (seenArmed[i] == v && seenArmedPass[i] == p)
#define ARMED_OR_SWITCHED(i, v, p) (ARMED_AT(i, v, p) || seenMap[i] == v)
#define HELD_AT(l, p) (seenHeld[AT(l, 0)] == p || seenHeld[AT(l, 1)] == p)

/* Guard: a rank is disarmed only after a rank has superseded the version. */
#ifdef NO_SUPERSEDED
#define MAY_DISARM(l, v) (!HAS_VERSION(AT(l, 0), v) || !HAS_VERSION(AT(l, 1), v))
#else
#define MAY_DISARM(l, v) (HAS_SUPERSEDED(AT(l, 0), v) || HAS_SUPERSEDED(AT(l, 1), v))
#endif

/* Guard: only the leader that created a version arms ranks for it. */
#ifdef NO_CREATOR
#define MAY_ARM(l, v) (v > 0)
#else
#define MAY_ARM(l, v) (v == created[l])
#endif

/* Guard: ranks are armed only after the group was seen held before the pass. Unused with
 * SILENT_LEADER, which always checks the hold. */
#ifdef NO_HOLD
#define SEEN_HELD(l, p) (true)
#else
#define SEEN_HELD(l, p) HELD_AT(l, p)
#endif

/* Guard: a leader arms ranks for one pass only. */
#ifdef NO_SINGLE_PASS
#define SAME_PASS(l, p) (true)
#else
#define SAME_PASS(l, p) (armingPass[l] == 0 || armingPass[l] == p)
#endif

#define ONE_ARMED(l, v, p) (ARMED_AT(AT(l, 0), v, p) || ARMED_AT(AT(l, 1), v, p))
/* Guard: a hold is released only after all ranks were seen armed or switched. */
#ifdef NO_ALL_ARMED
#define RELEASABLE(l, v, p) ONE_ARMED(l, v, p)
#else
#define RELEASABLE(l, v, p) \
    (ONE_ARMED(l, v, p) && ARMED_OR_SWITCHED(AT(l, 0), v, p) && ARMED_OR_SWITCHED(AT(l, 1), v, p))
#endif

/* The next version of a leader is above all that it has seen and created. Guard: the two leaders
 * never use the same number. */
#ifdef NO_OWN_NUMBERS
#define OWN_NUMBER(l, v) (true)
#else
#define OWN_NUMBER(l, v) (v % LEADERS == l)
#endif
#define IS_NEW(l, v) \
    (v > created[l] && LATER_THAN_USED(l, v) && !ABOVE(AT(l, 0), v - 1) && !ABOVE(AT(l, 1), v - 1) && OWN_NUMBER(l, v))

/* Orders that a rank may execute now; others are refused and change nothing. */
#define PREPARE(v, l) \
    atomic { \
        (prepares[(v) * LEADERS + l] & BIT(r)) && v > highest[r] && armed[r] == 0 -> \
        highest[r] = v; prepared[r] = v; preparedContent[r] = l + 1 \
    }
#define ARM(v, p) \
    atomic { \
        (arms[(v) * PASSES + p] & BIT(r)) && prepared[r] == v && p > pass \
            && (armed[r] != v || armedPass[r] != p) -> \
        armed[r] = v; armedPass[r] = p \
    }
#define DISARM(v) \
    atomic { (disarms[v] & BIT(r)) && armed[r] == v -> armed[r] = 0; armedPass[r] = 0 }
#define HOLD(p) atomic { (holds[p] & BIT(r)) && held[r] == 0 && p > pass -> held[r] = p }
#define RELEASE(p) atomic { (releases[p] & BIT(r)) && held[r] == p -> held[r] = 0 }

proctype Engine(byte r)
{
    do
#ifdef RESTARTS
    :: PREPARE(3, 1)
    :: PREPARE(2, 0)
    :: PREPARE(4, 0)
    :: ARM(4, 1)
    :: ARM(4, 2)
    :: DISARM(4)
#else
    :: PREPARE(1, 0)
    :: PREPARE(1, 1)
    :: PREPARE(2, 0)
    :: PREPARE(2, 1)
    :: ARM(1, 1)
    :: ARM(1, 2)
    :: DISARM(1)
#endif
    :: ARM(2, 1)
    :: ARM(2, 2)
    :: DISARM(2)
    :: HOLD(1)
    :: HOLD(2)
    :: RELEASE(1)
    :: RELEASE(2)
    od
}

/* All ranks begin each pass together. */
proctype Passes()
{
    byte r;
    do
    :: atomic {
           pass < LAST_PASS && held[0] != pass + 1 && held[1] != pass + 1 ->
           pass++;
           for (r : 0 .. RANKS - 1) {
               if
               :: armed[r] != 0 && armedPass[r] == pass ->
                  map[r] = armed[r];
                  content[r] = preparedContent[r];
                  armed[r] = 0;
                  armedPass[r] = 0;
                  prepared[r] = 0;
                  preparedContent[r] = 0
               :: else
               fi
           }
           r = 0;
           assert(map[0] == map[1] && content[0] == content[1])
       }
    od
}

/* Updates a leader's view of one rank. */
#define READ(r) \
    atomic { \
        !seen[AT(l, r)] || seenMap[AT(l, r)] != map[r] || seenPrepared[AT(l, r)] != prepared[r] \
            || seenArmed[AT(l, r)] != armed[r] || seenArmedPass[AT(l, r)] != armedPass[r] \
            || seenHeld[AT(l, r)] != held[r] PASS_NEWS(l) -> \
        NOTE_PASS(l) seen[AT(l, r)] = true; seenMap[AT(l, r)] = map[r]; seenPrepared[AT(l, r)] = prepared[r]; \
        seenArmed[AT(l, r)] = armed[r]; seenArmedPass[AT(l, r)] = armedPass[r]; \
        seenHeld[AT(l, r)] = held[r] \
    }
#ifdef SILENT_LEADER
#define MAY_CREATE(l) (true)
#else
#define MAY_CREATE(l) BOTH_SEEN(l)
#endif
/* Creates a version and orders both ranks to prepare it. */
#define CREATE(v) \
    atomic { \
        MAY_CREATE(l) && IS_NEW(l, v) -> \
        created[l] = v; NOTE_USED(l, v) armingPass[l] = 0; prepares[(v) * LEADERS + l] = 3 \
    }
#ifdef SILENT_LEADER
#define OTHER(l) (1 - (l))
/* Guard: a hold is ordered only after both ranks have the version. */
#ifdef NO_PREPARED_FIRST
#define PREPARED_FIRST(l) (true)
#else
#define PREPARED_FIRST(l) BOTH_HAVE(l, created[l])
#endif
/* Orders the rank after its own to hold the group before a pass. */
#define REQUEST_HOLD(p) \
    atomic { \
        created[l] != 0 && heldFor[l * PASSES + p] == 0 && PREPARED_FIRST(l) \
            && MAY_HOLD(l, p) -> \
        heldFor[l * PASSES + p] = created[l]; holds[p] = holds[p] | BIT(OTHER(l)) \
    }
#define OWN_HOLD(l, v, p) (heldFor[(l) * PASSES + p] == v && seenHeld[AT(l, OTHER(l))] == p)
/* Guard: a leader arms the rank beside itself last. */
#ifdef NO_OWN_LAST
#define MAY_ARM_RANK(l, r, v, p) (true)
#else
#define MAY_ARM_RANK(l, r, v, p) (r != l || ARMED_AT(AT(l, OTHER(l)), v, p))
#endif
#define REQUEST_ARM_RANK(r, v, p) \
    atomic { \
        !(arms[(v) * PASSES + p] & BIT(r)) && MAY_ARM(l, v) && BOTH_HAVE(l, v) \
            && OWN_HOLD(l, v, p) && SAME_PASS(l, p) && MAY_ARM_RANK(l, r, v, p) -> \
        armingPass[l] = p; arms[(v) * PASSES + p] = arms[(v) * PASSES + p] | BIT(r) \
    }
/* Orders one rank after the other to arm. */
#define REQUEST_ARM(v, p) \
    REQUEST_ARM_RANK(0, v, p) \
    :: REQUEST_ARM_RANK(1, v, p)
/* Guard: the leader's own rank has prepared a version of this leader, so it refuses older ones. */
#ifdef NO_RECOVERY_VERSION
#define OWN_RANK_RECOVERED(l) (seenArmed[AT(l, l)] == 0)
#else
#define OWN_RANK_RECOVERED(l) \
    (seenArmed[AT(l, l)] == 0 && created[l] != 0 && seenPrepared[AT(l, l)] == created[l])
#endif
/* Releases a hold that the other leader ordered, whatever the state of that leader's rank is. */
#define REQUEST_RELEASE_WITHOUT_LEADER(h) \
    atomic { \
        !(releases[h] & BIT(l)) && seen[AT(l, l)] && seenHeld[AT(l, l)] == h \
            && OWN_RANK_RECOVERED(l) -> \
        releases[h] = releases[h] | BIT(l) \
    }
#else
/* Orders its own rank to hold the group before a pass. */
#define REQUEST_HOLD(p) \
    atomic { created[l] != 0 && !(holds[p] & BIT(l)) -> holds[p] = holds[p] | BIT(l) }
#define REQUEST_RELEASE_WITHOUT_LEADER(h) atomic { false -> skip }
/* Orders both ranks to arm after both have the version and the group is held before the pass. */
#define REQUEST_ARM(v, p) \
    atomic { \
        arms[(v) * PASSES + p] == 0 && MAY_ARM(l, v) && BOTH_HAVE(l, v) && SEEN_HELD(l, p) \
            && SAME_PASS(l, p) -> \
        armingPass[l] = p; arms[(v) * PASSES + p] = 3 \
    }
#endif
/* Disarms the ranks armed for a version that the guard allows to disarm. */
#define REQUEST_DISARM(v) \
    atomic { \
        disarms[v] == 0 && BOTH_SEEN(l) && v != created[l] && MAY_DISARM(l, v) -> disarms[v] = 3 \
    }
/* Releases the hold before a pass when both ranks are armed for one version and for that pass or
 * one common later pass, or have switched to the version. */
#define REQUEST_RELEASE(v, p, h) \
    atomic { \
        releases[h] != 3 && BOTH_SEEN(l) && RELEASABLE(l, v, p) && HELD_AT(l, h) -> \
        releases[h] = 3 \
    }

proctype Leader(byte l)
{
    do
    :: READ(0)
    :: READ(1)
    :: CREATE(2)
    :: REQUEST_HOLD(1)
    :: REQUEST_HOLD(2)
#ifdef RESTARTS
    :: RESTART
    :: CREATE(3)
    :: CREATE(4)
    :: REQUEST_ARM(4, 1)
    :: REQUEST_ARM(4, 2)
    :: REQUEST_DISARM(4)
    :: REQUEST_RELEASE(4, 1, 1)
    :: REQUEST_RELEASE(4, 2, 1)
    :: REQUEST_RELEASE(4, 2, 2)
#else
    :: CREATE(1)
    :: REQUEST_ARM(1, 1)
    :: REQUEST_ARM(1, 2)
    :: REQUEST_DISARM(1)
    :: REQUEST_RELEASE(1, 1, 1)
    :: REQUEST_RELEASE(1, 2, 1)
    :: REQUEST_RELEASE(1, 2, 2)
#endif
    :: REQUEST_ARM(2, 1)
    :: REQUEST_ARM(2, 2)
    :: REQUEST_DISARM(2)
    :: REQUEST_RELEASE(2, 1, 1)
    :: REQUEST_RELEASE(2, 2, 1)
    :: REQUEST_RELEASE(2, 2, 2)
    :: REQUEST_RELEASE_WITHOUT_LEADER(1)
    :: REQUEST_RELEASE_WITHOUT_LEADER(2)
    od
}

init
{
    atomic {
        run Engine(0);
        run Engine(1);
        run Passes();
        run Leader(0);
        run Leader(1)
    }
}
