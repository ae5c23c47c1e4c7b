#include "Request/BackendRegistry.h"

#include <algorithm>
#include <functional>

namespace wisteria {

namespace {

/// How long a backend server that refused a connection is avoided at first; doubled with each
/// further failure. A crashed one is back after some seconds, and a try costs one retry.
constexpr milliseconds firstAvoidance{300};
constexpr milliseconds maxAvoidance{2400};
/// Failures in a row after which a server that still takes connections is avoided as well. One
/// that fails a part of its requests at random seldom gets there, and keeps its share of the work.
constexpr std::uint32_t failuresBeforeAvoidance = 3;
/// Loads that differ by less count as equal, in parts of the slots.
constexpr double tie = 0.02;
/// A backend server of another failure domain must have so much less load, in parts of its slots,
/// to be preferred: about one request. Bytes between domains are dear, and an answer stays longer
/// on its way.
constexpr double domainBias = 0.09;

/// A server that left so long ago, and has no entry, is gone.
constexpr std::chrono::minutes drainingLifetime{10};

bool wasTried(const BackendCriteria &criteria, const std::string &id)
{
    return std::find(criteria.tried.begin(), criteria.tried.end(), id) != criteria.tried.end();
}

/// Ranks a candidate; the least wins.
struct Candidate
{
    BackendState *state = nullptr;
    double load = 0;
    bool avoided = false;
    bool elsewhere = false;
    bool beyondShare = false;

    double cost() const { return load + (elsewhere ? domainBias : 0); }

    bool before(const Candidate &other) const
    {
        if (beyondShare != other.beyondShare)
            return !beyondShare;
        if (avoided != other.avoided)
            return !avoided;
        return cost() < other.cost() - tie;
    }
};

/// Leaves slow backend servers out as long as there is another, even when that one is full: a
/// single request on a slow rank slows down the passes of its whole group.
void dropSlow(std::vector<Candidate> &candidates, TimePoint now, milliseconds loadLifetime)
{
    const auto slow = [&](const Candidate &candidate) {
        return slowdownOf(*candidate.state, now, loadLifetime) >= moveAtSlowdown;
    };
    if (!std::all_of(candidates.begin(), candidates.end(), slow))
        std::erase_if(candidates, slow);
}

/// The best of several; the search begins at a drawn place, so that equals share the work.
const Candidate *bestOf(const std::vector<Candidate> &candidates, double randomUnit)
{
    if (candidates.empty())
        return nullptr;
    const auto start =
        static_cast<std::size_t>(randomUnit * static_cast<double>(candidates.size()));
    const Candidate *best = &candidates[start % candidates.size()];
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const Candidate &next = candidates[(start + i) % candidates.size()];
        if (next.before(*best))
            best = &next;
    }
    return best;
}

/// The best of those at their limit that is better than the one chosen instead. One that was asked
/// about a moment ago is left out: it has nothing to grant, and another one may.
std::string preferredAtLimitOf(const ServerLimits &limits, std::vector<Candidate> atLimit,
                               const Candidate *instead, double randomUnit, TimePoint now)
{
    std::erase_if(atLimit, [&](const Candidate &candidate) {
        const bool worse = instead != nullptr && !candidate.before(*instead);
        return worse || limits.at(candidate.state->entry.id).nextRequestAt > now;
    });
    const Candidate *best = bestOf(atLimit, randomUnit);
    return best == nullptr ? std::string() : best->state->entry.id;
}

/// The earliest moment at which a question at one of them may be answered with a permit.
TimePoint earliestPermit(const ServerLimits &limits, const std::vector<Candidate> &atLimit,
                         TimePoint now)
{
    TimePoint earliest = TimePoint::max();
    for (const Candidate &candidate : atLimit)
        earliest = std::min(earliest, limits.at(candidate.state->entry.id).nextPermitAt);
    return std::max(earliest, now);
}

/// Whether one entry is surely younger than another one at its address.
bool isYounger(const BackendEntry &entry, const BackendEntry &other)
{
    if (entry.startedAt != 0 && other.startedAt != 0)
        return entry.startedAt > other.startedAt;
    return entry.recordOffset && other.recordOffset && *entry.recordOffset > *other.recordOffset;
}

/// Marks the older of two at one address. What was told of the address is of the one that is there.
void settleBetween(BackendState &younger, BackendState &older)
{
    older.replaced = true;
    if (younger.reportedLoad || !older.reportedLoad)
        return;
    younger.reportedLoad = older.reportedLoad;
    younger.reportedLoad->ownInFlight = younger.ownInFlight;
}

/// Settles between a backend server and those that stand at its address as well.
void settleAddress(BackendRegistry &registry, BackendState &state)
{
    for (auto &[id, other] : registry.backends) {
        if (&other == &state || other.entry.address != state.entry.address)
            continue;
        if (isYounger(state.entry, other.entry))
            settleBetween(state, other);
        else if (isYounger(other.entry, state.entry))
            settleBetween(other, state);
    }
}

/// Whether a group opened again and may have other engines than the list that is known names.
bool awaitsList(const BackendRegistry &registry, const std::string &service, TimePoint now)
{
    const auto opened = registry.openedAt.find(service);
    return opened != registry.openedAt.end() && registry.listReadAt < opened->second
        && now - opened->second < openingReadWait;
}

bool saidAnything(const BackendRegistry &registry, const std::string &id)
{
    return registry.limits.contains(id) || registry.backoffUntil.contains(id)
        || registry.drainingSince.contains(id);
}

/// When the server of an id started, as far as is known; 0 when it is not.
std::uint64_t knownStart(const BackendRegistry &registry, const std::string &id)
{
    const auto present = registry.backends.find(id);
    if (present != registry.backends.end())
        return present->second.entry.startedAt;
    const auto expired = registry.expiredStartTimes.find(id);
    return expired == registry.expiredStartTimes.end() ? 0 : expired->second;
}

/// A server that starts under the id of another knows nothing of what that one said.
void forgetFormerServer(BackendRegistry &registry, const BackendEntry &entry)
{
    const std::uint64_t start = knownStart(registry, entry.id);
    registry.expiredStartTimes.erase(entry.id);
    if (start == 0 || start == entry.startedAt)
        return;
    registry.limits.erase(entry.id);
    registry.backoffUntil.erase(entry.id);
    registry.drainingSince.erase(entry.id);
}

/// Why backend servers of the service are no candidates.
struct Unfit
{
    bool notOpen = false;
    bool tried = false;
    /// When the first rest ends.
    std::optional<TimePoint> backoffEnds;
};

/// Until when a backend server rests; nothing when it does not.
std::optional<TimePoint> backoffOf(const BackendRegistry &registry, const std::string &id,
                                   TimePoint now)
{
    const auto backoff = registry.backoffUntil.find(id);
    if (backoff == registry.backoffUntil.end() || backoff->second <= now)
        return std::nullopt;
    return backoff->second;
}

/// Backend servers that may take a request.
struct Candidates
{
    std::vector<Candidate> free;
    /// They named a limit, and nothing is permitted there now.
    std::vector<Candidate> atLimit;
    Unfit unfit;
};

Candidates candidatesFor(BackendRegistry &registry, const BackendCriteria &criteria, TimePoint now)
{
    Candidates candidates;
    Unfit &unfit = candidates.unfit;
    const bool listAwaited = criteria.inGroup && awaitsList(registry, criteria.service, now);
    // Mostly none has said anything, and three look-ups for each of thousands of servers count.
    const bool anySaid = !registry.limits.empty() || !registry.backoffUntil.empty()
        || !registry.drainingSince.empty();
    for (auto &[id, state] : registry.backends) {
        if (state.entry.service != criteria.service || state.entry.draining || state.replaced)
            continue;
        if (anySaid && registry.drainingSince.contains(id))
            continue;
        if (const auto backoffEnds = anySaid ? backoffOf(registry, id, now) : std::nullopt) {
            unfit.backoffEnds = std::min(unfit.backoffEnds.value_or(*backoffEnds), *backoffEnds);
            continue;
        }
        if (listAwaited || !isOpen(state, criteria.inGroup, now, registry.loadLifetime)) {
            unfit.notOpen = true;
            continue;
        }
        if (wasTried(criteria, id)) {
            unfit.tried = true;
            continue;
        }
        const bool permitted = !anySaid || isPermitted(registry.limits, id, now);
        auto &kind = permitted ? candidates.free : candidates.atLimit;
        kind.push_back(
            {&state, loadWithOneMore(state, now, registry.loadLifetime), state.avoidUntil > now,
             state.entry.failureDomain != criteria.failureDomain,
             criteria.withinFreeShare && exceedsShare(state, now, registry.loadLifetime)});
    }
    return candidates;
}

BackendChoice choiceOfNone(const Unfit &unfit)
{
    if (unfit.notOpen)
        return {.reason = NoBackendReason::NotOpen};
    if (unfit.tried)
        return {.reason = NoBackendReason::AllTried};
    if (unfit.backoffEnds)
        return {.reason = NoBackendReason::BackingOff, .freeAt = *unfit.backoffEnds};
    return {.reason = NoBackendReason::Unknown};
}

} // namespace

void putBackend(BackendRegistry &registry, const BackendEntry &entry, TimePoint now)
{
    forgetFormerServer(registry, entry);
    BackendState &state = registry.backends[entry.id];
    const bool restarted =
        state.entry.startedAt != entry.startedAt || state.entry.address != entry.address;
    if (restarted) {
        const std::uint32_t ownInFlight = state.ownInFlight;
        state = BackendState{};
        state.ownInFlight = ownInFlight;
        state.since = now;
    }
    // A record that is read once more, as after lost history, tells nothing new.
    const bool renewed = !entry.recordOffset || entry.recordOffset != state.entry.recordOffset;
    const bool settle = restarted || (state.replaced && renewed);
    state.entry = entry;
    if (!settle)
        return;
    state.replaced = false;
    settleAddress(registry, state);
}

void removeBackend(BackendRegistry &registry, const std::string &id)
{
    const auto found = registry.backends.find(id);
    if (found == registry.backends.end())
        return;
    std::erase_if(registry.expiredStartTimes,
                  [&registry](const auto &entry) { return !saidAnything(registry, entry.first); });
    if (saidAnything(registry, id))
        registry.expiredStartTimes[id] = found->second.entry.startedAt;
    registry.backends.erase(found);
}

double expectedLoad(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    if (!state.reportedLoad || now - state.reportedLoad->at > loadLifetime)
        return state.ownInFlight;
    const double reported = state.reportedLoad->running + state.reportedLoad->waiting;
    const double others = std::max(0.0, reported - state.reportedLoad->ownInFlight);
    return others + state.ownInFlight;
}

double slowdownOf(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    const bool fresh = state.reportedLoad && now - state.reportedLoad->at <= loadLifetime;
    return fresh ? std::max(1.0, state.reportedLoad->slowdown) : 1.0;
}

void noteListRead(BackendRegistry &registry, TimePoint at)
{
    registry.listReadAt = std::max(registry.listReadAt, at);
}

bool noteOpening(BackendRegistry &registry, const BackendState &state, const BackendLoad &load)
{
    const bool opens = load.open && state.reportedLoad && !state.reportedLoad->open;
    if (!opens)
        return false;
    TimePoint &openedAt = registry.openedAt[state.entry.service];
    if (openedAt != TimePoint() && load.at - openedAt < openingSpread)
        return false;
    openedAt = load.at;
    return true;
}

bool isOpen(const BackendState &state, bool inGroup, TimePoint now, milliseconds loadLifetime)
{
    const bool fresh = state.reportedLoad && now - state.reportedLoad->at <= loadLifetime;
    if (fresh)
        return state.reportedLoad->open;
    return !inGroup || now - state.since >= firstReportWait;
}

std::uint32_t shareOfFreeSlots(std::uint32_t free, std::uint32_t gateways, double randomUnit)
{
    const std::uint32_t count = std::max(1U, gateways);
    const std::uint32_t leftOver = free % count;
    return free / count + (randomUnit * count < leftOver ? 1 : 0);
}

void noteLoad(BackendState &state, BackendLoad load, double randomUnit)
{
    const std::uint32_t taken = load.running + load.waiting;
    const std::uint32_t free = state.entry.slots - std::min(state.entry.slots, taken);
    load.ownInFlight = state.ownInFlight;
    load.freeSlotShare = shareOfFreeSlots(free, load.gateways, randomUnit);
    state.reportedLoad = load;
}

void noteAnswer(BackendState &state, const AnswerFeedback &feedback, bool inGroup, TimePoint now,
                double randomUnit)
{
    const bool closable = inGroup && feedback.notExecuted && !feedback.asksForBackoff;
    if (!feedback.load && !closable)
        return;
    BackendLoad load = state.reportedLoad.value_or(BackendLoad{});
    if (feedback.load) {
        load.running = feedback.load->running;
        load.waiting = feedback.load->waiting;
    }
    load.at = now;
    load.open = !(closable && load.running + load.waiting < state.entry.slots);
    noteLoad(state, load, randomUnit);
}

void forgetOldLimits(BackendRegistry &registry, TimePoint now)
{
    std::erase_if(registry.limits, [&registry, now](const auto &entry) {
        return isExpired(entry.second.advertised, now) && !registry.backends.contains(entry.first);
    });
}

void noteBackoff(BackendRegistry &registry, const std::string &id, TimePoint until, TimePoint now)
{
    std::erase_if(registry.backoffUntil, [now](const auto &entry) { return entry.second <= now; });
    TimePoint &known = registry.backoffUntil[id];
    known = std::max(known, until);
}

bool noteDraining(BackendRegistry &registry, const std::string &id, TimePoint now)
{
    std::erase_if(registry.drainingSince, [&registry, now](const auto &entry) {
        return now - entry.second > drainingLifetime && !registry.backends.contains(entry.first);
    });
    return registry.drainingSince.try_emplace(id, now).second;
}

bool exceedsShare(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    if (!state.reportedLoad || now - state.reportedLoad->at > loadLifetime)
        return false;
    return state.ownInFlight
        >= std::uint64_t{state.reportedLoad->ownInFlight} + state.reportedLoad->freeSlotShare;
}

double loadWithOneMore(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    const double expected = expectedLoad(state, now, loadLifetime) + 1;
    return expected * slowdownOf(state, now, loadLifetime) / state.entry.slots;
}

BackendChoice chooseBackend(BackendRegistry &registry, const BackendCriteria &criteria,
                            TimePoint now, double randomUnit)
{
    Candidates candidates = candidatesFor(registry, criteria, now);
    std::vector<Candidate> &atLimit = candidates.atLimit;
    if (candidates.free.empty() && atLimit.empty())
        return choiceOfNone(candidates.unfit);
    BackendChoice choice;
    dropSlow(candidates.free, now, registry.loadLifetime);
    dropSlow(atLimit, now, registry.loadLifetime);
    const auto hasSlot = [&criteria](const Candidate &candidate) {
        return candidate.load <= criteria.maxLoad && !candidate.beyondShare;
    };
    std::erase_if(atLimit, std::not_fn(hasSlot));
    const Candidate *best = bestOf(candidates.free, randomUnit);
    const bool found = best != nullptr && hasSlot(*best);
    choice.preferredAtLimit =
        preferredAtLimitOf(registry.limits, atLimit, found ? best : nullptr, randomUnit, now);
    if (best != nullptr)
        choice.load = best->load;
    if (found) {
        choice.reason = NoBackendReason::None;
        choice.backend = best->state;
        return choice;
    }
    choice.reason = atLimit.empty() ? NoBackendReason::AllFull : NoBackendReason::AtLimit;
    if (!atLimit.empty())
        choice.freeAt = earliestPermit(registry.limits, atLimit, now);
    return choice;
}

void noteReplaced(BackendState &state)
{
    state.replaced = true;
}

void noteSuccess(BackendState &state)
{
    state.failures = 0;
    state.avoidUntil = TimePoint();
}

void noteFailure(BackendState &state, bool sure, TimePoint now)
{
    ++state.failures;
    if (!sure && state.failures < failuresBeforeAvoidance)
        return;
    const std::uint32_t doublings =
        std::min(sure ? state.failures - 1 : state.failures - failuresBeforeAvoidance, 3U);
    state.avoidUntil = now + std::min(maxAvoidance, firstAvoidance * (1 << doublings));
}

} // namespace wisteria
