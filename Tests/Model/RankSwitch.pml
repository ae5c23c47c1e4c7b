/* Switches of a group's expert map with two ranks and two leaders that know nothing of each other.
 *
 * Every order that was ever given may be carried out at any later moment, any number of times and in
 * any order; a leader's view of a rank may be arbitrarily old. A leader may do whatever its guards
 * allow, at any moment, so every order of the real phases is among what is checked, and a leader that
 * dies is one that does nothing more. Checked: no pass begins while two ranks have different maps.
 * Not modelled: copying, epochs, progress (the tests in virtual time cover them).
 *
 * Each guard can be left out (-DNO_...); the checker must then find a counterexample.
 *
 * With -DSILENT_LEADER a held group may go on without the rank beside the leader that had it held,
 * as after that VM froze: each leader has another rank hold the group, the one after its own, uses a
 * pass for one version only and arms the rank beside it last. Whoever finds the group held arms
 * nothing for that pass.
 */
#define RANKS 2
#define LEADERS 2
#define LAST_STEP 2
#define VERSIONS 3
#define STEPS 3

/* Ranks. What stands behind a version is its maker, as leader + 1; 0 is the first map. */
byte map[RANKS];
byte content[RANKS];
byte prepared[RANKS];
byte preparedContent[RANKS];
byte armed[RANKS];
byte armedStep[RANKS];
byte highest[RANKS];
byte held[RANKS];
/* The last pass that was begun. */
byte step;

/* Orders given so far, a bit for each rank. */
byte prepares[6]; /* version * LEADERS + maker */
byte arms[9]; /* version * STEPS + step */
byte disarms[VERSIONS];
byte holds[STEPS];
byte gos[STEPS];

/* Views, leader * RANKS + rank. */
bool seen[4];
byte seenMap[4];
byte seenPrepared[4];
byte seenArmed[4];
byte seenArmedStep[4];
byte seenHeld[4];

/* The version that each leader made last, and the pass that it arms it for. */
byte made[LEADERS];
byte madeStep[LEADERS];
/* The version for which a leader had a pass held, leader * STEPS + step. */
byte heldFor[6];

#define BIT(r) (1 << (r))
#define AT(l, r) ((l) * RANKS + (r))
#define SHOWS(i, v) (seenMap[i] == v || seenPrepared[i] == v || seenArmed[i] == v)
#define ABOVE(i, v) (seenMap[i] > v || seenPrepared[i] > v || seenArmed[i] > v)
#define LACKS(i, v) (ABOVE(i, v) && !SHOWS(i, v))
#define BOTH_SEEN(l) (seen[AT(l, 0)] && seen[AT(l, 1)])
#define BOTH_SHOW(l, v) (SHOWS(AT(l, 0), v) && SHOWS(AT(l, 1), v))
#define ARMED_AT(i, v, s) (seenArmed[i] == v && seenArmedStep[i] == s)
#define ALIKE(i, v, s) (ARMED_AT(i, v, s) || seenMap[i] == v)
#define HELD_AT(l, s) (seenHeld[AT(l, 0)] == s || seenHeld[AT(l, 1)] == s)

#ifdef NO_LACKING
#define MAY_DISARM(l, v) (!SHOWS(AT(l, 0), v) || !SHOWS(AT(l, 1), v))
#else
#define MAY_DISARM(l, v) (LACKS(AT(l, 0), v) || LACKS(AT(l, 1), v))
#endif

#ifdef NO_MAKER
#define MAY_ARM(l, v) (v > 0)
#else
#define MAY_ARM(l, v) (v == made[l])
#endif

#ifdef NO_HOLD
#define SEEN_HELD(l, s) (true)
#else
#define SEEN_HELD(l, s) HELD_AT(l, s)
#endif

#ifdef NO_ONE_STEP
#define SAME_STEP(l, s) (true)
#else
#define SAME_STEP(l, s) (madeStep[l] == 0 || madeStep[l] == s)
#endif

#define ONE_ARMED(l, v, s) (ARMED_AT(AT(l, 0), v, s) || ARMED_AT(AT(l, 1), v, s))
#ifdef NO_ALL_ARMED
#define RELEASABLE(l, v, s) ONE_ARMED(l, v, s)
#else
#define RELEASABLE(l, v, s) \
    (ONE_ARMED(l, v, s) && ALIKE(AT(l, 0), v, s) && ALIKE(AT(l, 1), v, s))
#endif

/* The next version of a leader: above all that it has seen and made, and never the other's. */
#ifdef NO_OWN_NUMBERS
#define MINE(l, v) (true)
#else
#define MINE(l, v) (v % LEADERS == l)
#endif
#define NEW_TO(l, v) (v > made[l] && !ABOVE(AT(l, 0), v - 1) && !ABOVE(AT(l, 1), v - 1) && MINE(l, v))

/* Orders that a rank may carry out now; others are refused and change nothing. */
#define PREPARE(v, l) \
    atomic { \
        (prepares[(v) * LEADERS + l] & BIT(r)) && v > highest[r] && armed[r] == 0 -> \
        highest[r] = v; prepared[r] = v; preparedContent[r] = l + 1 \
    }
#define ARM(v, s) \
    atomic { \
        (arms[(v) * STEPS + s] & BIT(r)) && prepared[r] == v && s > step \
            && (armed[r] != v || armedStep[r] != s) -> \
        armed[r] = v; armedStep[r] = s \
    }
#define DISARM(v) \
    atomic { (disarms[v] & BIT(r)) && armed[r] == v -> armed[r] = 0; armedStep[r] = 0 }
#define HOLD(s) atomic { (holds[s] & BIT(r)) && held[r] == 0 && s > step -> held[r] = s }
#define GO(s) atomic { (gos[s] & BIT(r)) && held[r] == s -> held[r] = 0 }

proctype Engine(byte r)
{
    do
    :: PREPARE(1, 0)
    :: PREPARE(1, 1)
    :: PREPARE(2, 0)
    :: PREPARE(2, 1)
    :: ARM(1, 1)
    :: ARM(1, 2)
    :: ARM(2, 1)
    :: ARM(2, 2)
    :: DISARM(1)
    :: DISARM(2)
    :: HOLD(1)
    :: HOLD(2)
    :: GO(1)
    :: GO(2)
    od
}

/* All ranks begin each pass together. */
proctype Passes()
{
    byte r;
    do
    :: atomic {
           step < LAST_STEP && held[0] != step + 1 && held[1] != step + 1 ->
           step++;
           for (r : 0 .. RANKS - 1) {
               if
               :: armed[r] != 0 && armedStep[r] == step ->
                  map[r] = armed[r];
                  content[r] = preparedContent[r];
                  armed[r] = 0;
                  armedStep[r] = 0;
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

/* Reads one rank. */
#define READ(r) \
    atomic { \
        !seen[AT(l, r)] || seenMap[AT(l, r)] != map[r] || seenPrepared[AT(l, r)] != prepared[r] \
            || seenArmed[AT(l, r)] != armed[r] || seenArmedStep[AT(l, r)] != armedStep[r] \
            || seenHeld[AT(l, r)] != held[r] -> \
        seen[AT(l, r)] = true; seenMap[AT(l, r)] = map[r]; seenPrepared[AT(l, r)] = prepared[r]; \
        seenArmed[AT(l, r)] = armed[r]; seenArmedStep[AT(l, r)] = armedStep[r]; \
        seenHeld[AT(l, r)] = held[r] \
    }
#ifdef SILENT_LEADER
#define MAY_MAKE(l) (true)
#else
#define MAY_MAKE(l) BOTH_SEEN(l)
#endif
/* Makes a version and asks both ranks to prepare it. */
#define MAKE(v) \
    atomic { \
        MAY_MAKE(l) && NEW_TO(l, v) -> \
        made[l] = v; madeStep[l] = 0; prepares[(v) * LEADERS + l] = 3 \
    }
#ifdef SILENT_LEADER
#define OTHER(l) (1 - (l))
#ifdef NO_PREPARED_FIRST
#define PREPARED_FIRST(l) (true)
#else
#define PREPARED_FIRST(l) BOTH_SHOW(l, made[l])
#endif
/* Holds a pass at the rank after its own. */
#define ASK_HOLD(s) \
    atomic { \
        made[l] != 0 && heldFor[l * STEPS + s] == 0 && PREPARED_FIRST(l) -> \
        heldFor[l * STEPS + s] = made[l]; holds[s] = holds[s] | BIT(OTHER(l)) \
    }
#define OWN_HOLD(l, v, s) (heldFor[(l) * STEPS + s] == v && seenHeld[AT(l, OTHER(l))] == s)
#ifdef NO_OWN_LAST
#define MAY_ARM_RANK(l, r, v, s) (true)
#else
#define MAY_ARM_RANK(l, r, v, s) (r != l || ARMED_AT(AT(l, OTHER(l)), v, s))
#endif
#define ASK_ARM_RANK(r, v, s) \
    atomic { \
        !(arms[(v) * STEPS + s] & BIT(r)) && MAY_ARM(l, v) && BOTH_SHOW(l, v) \
            && OWN_HOLD(l, v, s) && SAME_STEP(l, s) && MAY_ARM_RANK(l, r, v, s) -> \
        madeStep[l] = s; arms[(v) * STEPS + s] = arms[(v) * STEPS + s] | BIT(r) \
    }
/* Arms one rank after the other. */
#define ASK_ARM(v, s) \
    ASK_ARM_RANK(0, v, s) \
    :: ASK_ARM_RANK(1, v, s)
#ifdef NO_LACKING_OTHERS
#define SURELY_UNARMED(l) (seenArmed[AT(l, l)] == 0)
#else
#define SURELY_UNARMED(l) \
    (seenArmed[AT(l, l)] == 0 && made[l] != 0 && seenPrepared[AT(l, l)] == made[l])
#endif
/* Lets go what the other leader has held here, whatever its own rank is. */
#define ASK_GO_WITHOUT(h) \
    atomic { \
        !(gos[h] & BIT(l)) && seen[AT(l, l)] && seenHeld[AT(l, l)] == h && SURELY_UNARMED(l) -> \
        gos[h] = gos[h] | BIT(l) \
    }
#else
/* Holds a pass at its own rank. */
#define ASK_HOLD(s) \
    atomic { made[l] != 0 && !(holds[s] & BIT(l)) -> holds[s] = holds[s] | BIT(l) }
#define ASK_GO_WITHOUT(h) atomic { false -> skip }
/* Arms both ranks once both show the version and the pass is held. */
#define ASK_ARM(v, s) \
    atomic { \
        arms[(v) * STEPS + s] == 0 && MAY_ARM(l, v) && BOTH_SHOW(l, v) && SEEN_HELD(l, s) \
            && SAME_STEP(l, s) -> \
        madeStep[l] = s; arms[(v) * STEPS + s] = 3 \
    }
#endif
/* Disarms what can't be complete any more. */
#define ASK_DISARM(v) \
    atomic { \
        disarms[v] == 0 && BOTH_SEEN(l) && v != made[l] && MAY_DISARM(l, v) -> disarms[v] = 3 \
    }
/* Lets a held pass go when both ranks are armed alike for it or a later one. */
#define ASK_GO(v, s, h) \
    atomic { \
        gos[h] != 3 && BOTH_SEEN(l) && RELEASABLE(l, v, s) && HELD_AT(l, h) -> gos[h] = 3 \
    }

proctype Leader(byte l)
{
    do
    :: READ(0)
    :: READ(1)
    :: MAKE(1)
    :: MAKE(2)
    :: ASK_HOLD(1)
    :: ASK_HOLD(2)
    :: ASK_ARM(1, 1)
    :: ASK_ARM(1, 2)
    :: ASK_ARM(2, 1)
    :: ASK_ARM(2, 2)
    :: ASK_DISARM(1)
    :: ASK_DISARM(2)
    :: ASK_GO(1, 1, 1)
    :: ASK_GO(1, 2, 1)
    :: ASK_GO(1, 2, 2)
    :: ASK_GO(2, 1, 1)
    :: ASK_GO(2, 2, 1)
    :: ASK_GO(2, 2, 2)
    :: ASK_GO_WITHOUT(1)
    :: ASK_GO_WITHOUT(2)
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
