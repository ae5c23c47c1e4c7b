#include "Request/BackendRegistry.h"

#include <algorithm>

#include "Request/BackendRanking.h"
#include "Request/ServerSilence.h"

namespace wisteria {

namespace {

/// How long a backend server is avoided at first, after a refused connection or several other
/// failures; doubles with each further failure. A crashed server is back after some seconds, and
/// each send to it until then uses up one of a request's `maxRefusedConnections`.
constexpr milliseconds firstAvoidance{300};
constexpr milliseconds maxAvoidance{2400};
/// Consecutive failures after which a server that still accepts connections is avoided too. A
/// server that fails some requests at random rarely reaches this number and keeps its share of the
/// work.
constexpr std::uint32_t failuresBeforeAvoidance = 3;

/// A server without a store entry counts as gone this long after it announced that it drains.
constexpr std::chrono::minutes drainingLifetime{10};

bool wasTried(const BackendCriteria &criteria, const std::string &id)
{
    return std::find(criteria.tried.begin(), criteria.tried.end(), id) != criteria.tried.end();
}

/// Returns the id of the best backend server at its limit that is better than the chosen one; empty
/// when there is none. A server is skipped until its next permit request is due: its limit owner
/// has just had nothing to grant, and another server's may have.
std::string preferredAtLimitOf(const ServerLimits &limits, std::vector<RankedBackend> atLimit,
                               const RankedBackend *chosen, double randomUnit, TimePoint now)
{
    std::erase_if(atLimit, [&](const RankedBackend &candidate) {
        const bool worse = chosen != nullptr && !candidate.isBetterThan(*chosen);
        return worse || candidate.shareFreeAt > now
            || limits.at(candidate.state->entry.id).nextRequestAt > now;
    });
    const RankedBackend *best = bestOf(atLimit, randomUnit);
    return best == nullptr ? std::string() : best->state->entry.id;
}

/// Returns the earliest time at which a request may be sent to one of the candidates: this
/// gateway's share allows it, and a permit may be granted.
TimePoint earliestSendAt(const ServerLimits &limits, const std::vector<RankedBackend> &atLimit,
                         TimePoint now)
{
    TimePoint earliest = TimePoint::max();
    for (const RankedBackend &candidate : atLimit) {
        const auto limit = limits.find(candidate.state->entry.id);
        const TimePoint permitAt = limit == limits.end() ? TimePoint() : limit->second.nextPermitAt;
        earliest = std::min(earliest, std::max(permitAt, candidate.shareFreeAt));
    }
    return std::max(earliest, now);
}

/// Returns whether an entry is certainly newer than another one with the same address.
bool isNewer(const BackendEntry &entry, const BackendEntry &other)
{
    if (entry.startedAt != 0 && other.startedAt != 0)
        return entry.startedAt > other.startedAt;
    return entry.recordOffset && other.recordOffset && *entry.recordOffset > *other.recordOffset;
}

/// Marks the older of two servers with one address as replaced. The load reported for the address
/// belongs to the newer one.
void markReplaced(BackendState &newer, BackendState &older)
{
    older.replaced = true;
    if (newer.reportedLoad || !older.reportedLoad)
        return;
    newer.reportedLoad = older.reportedLoad;
    newer.reportedLoad->ownInFlight = newer.ownInFlight;
}

/// Marks all but the newest of the backend servers with the same address as replaced.
void resolveAddressConflicts(BackendRegistry &registry, BackendState &state)
{
    for (auto &[id, other] : registry.backends) {
        if (&other == &state || other.entry.address != state.entry.address)
            continue;
        if (isNewer(state.entry, other.entry))
            markReplaced(state, other);
        else if (isNewer(other.entry, state.entry))
            markReplaced(other, state);
    }
}

/// Returns whether a group has just opened again and the list was not read since, so that it may
/// name engines that are gone.
bool awaitsListRead(const BackendRegistry &registry, const std::string &service, TimePoint now)
{
    const auto opened = registry.openedAt.find(service);
    return opened != registry.openedAt.end() && registry.listReadAt < opened->second
        && now - opened->second < openingReadWait;
}

/// Returns whether a backend server has a limit, a backoff or a draining state.
bool hasSignals(const BackendRegistry &registry, const std::string &id)
{
    return registry.limits.contains(id) || registry.backoffUntil.contains(id)
        || registry.drainingSince.contains(id);
}

/// Returns when the server with an id started; 0 when that is unknown.
std::uint64_t knownStartTime(const BackendRegistry &registry, const std::string &id)
{
    const auto present = registry.backends.find(id);
    if (present != registry.backends.end())
        return present->second.entry.startedAt;
    const auto expired = registry.expiredStartTimes.find(id);
    return expired == registry.expiredStartTimes.end() ? 0 : expired->second;
}

/// Removes the limit, backoff and draining state of an earlier server with the same id: a restarted
/// server knows nothing of them.
void discardStaleSignals(BackendRegistry &registry, const BackendEntry &entry)
{
    const std::uint64_t start = knownStartTime(registry, entry.id);
    registry.expiredStartTimes.erase(entry.id);
    if (start == 0 || start == entry.startedAt)
        return;
    registry.limits.erase(entry.id);
    registry.backoffUntil.erase(entry.id);
    registry.drainingSince.erase(entry.id);
}

/// Why backend servers of the service are not candidates.
struct Exclusions
{
    bool notOpen = false;
    bool tried = false;
    bool evacuated = false;
    /// Earliest end of a backoff.
    std::optional<TimePoint> backoffEnds;
};

/// Returns whether the entry says that the server drains, or has been missing for too long.
bool entryEndsWork(const BackendState &state, TimePoint now)
{
    return state.entry.draining || now >= state.usableUntil;
}

/// Returns the end of a backend server's backoff; nothing when it is not backing off.
std::optional<TimePoint> backoffOf(const BackendRegistry &registry, const std::string &id,
                                   TimePoint now)
{
    const auto backoff = registry.backoffUntil.find(id);
    if (backoff == registry.backoffUntil.end() || backoff->second <= now)
        return std::nullopt;
    return backoff->second;
}

/// Returns whether a backend server gets requests only when all candidates are like it.
bool isAvoided(const BackendRegistry &registry, const BackendState &state, bool inGroup,
               TimePoint now)
{
    return state.avoidUntil > now || isSilent(state, now)
        || (inGroup && isReportOverdue(state, now, registry.loadLifetime));
}

/// Backend servers that may get a request.
struct Candidates
{
    /// This gateway's share allows a request, and they have no rate limit or this gateway holds a
    /// permit for it.
    std::vector<RankedBackend> eligible;
    /// Without a permit for their rate limit, or this gateway's send share is used up.
    std::vector<RankedBackend> atLimit;
    Exclusions exclusions;
};

bool hasCrashed(const BackendCriteria &criteria, const BackendEntry &entry)
{
    return std::any_of(
        criteria.crashed.begin(), criteria.crashed.end(), [&entry](const CrashedProcess &process) {
            return process.server == entry.id && process.startedAt == entry.startedAt;
        });
}

Candidates candidatesFor(BackendRegistry &registry, const BackendCriteria &criteria, TimePoint now)
{
    Candidates candidates;
    Exclusions &exclusions = candidates.exclusions;
    const bool listAwaited = criteria.inGroup && awaitsListRead(registry, criteria.service, now);
    // Usually no server has any of these, and three look-ups for each of thousands of servers are
    // expensive.
    const bool anySignals = !registry.limits.empty() || !registry.backoffUntil.empty()
        || !registry.drainingSince.empty();
    const bool anyEvacuated = !registry.evacuatedDomains.empty();
    const auto share = sendShareOf(registry.coldServers, criteria.service);
    for (auto &[id, state] : registry.backends) {
        if (state.entry.service != criteria.service || entryEndsWork(state, now) || state.replaced
            || hasCrashed(criteria, state.entry))
            continue;
        if (anySignals && registry.drainingSince.contains(id))
            continue;
        if (anyEvacuated && registry.evacuatedDomains.contains(state.entry.failureDomain)) {
            exclusions.evacuated = true;
            continue;
        }
        if (const auto backoffEnds = anySignals ? backoffOf(registry, id, now) : std::nullopt) {
            exclusions.backoffEnds =
                std::min(exclusions.backoffEnds.value_or(*backoffEnds), *backoffEnds);
            continue;
        }
        if (listAwaited || !isOpen(state, criteria.inGroup, now, registry.loadLifetime)) {
            exclusions.notOpen = true;
            continue;
        }
        if (wasTried(criteria, id)) {
            exclusions.tried = true;
            continue;
        }
        const bool permitted = !anySignals || isPermitted(registry.limits, id, now);
        const TimePoint shareFreeAt =
            share ? nextSendAt(registry.coldServers, *share, id) : TimePoint();
        auto &kind = permitted && shareFreeAt <= now ? candidates.eligible : candidates.atLimit;
        kind.push_back({.state = &state,
                        .load = loadWithOneMore(state, now, registry.loadLifetime),
                        .avoided = isAvoided(registry, state, criteria.inGroup, now),
                        .otherDomain = state.entry.failureDomain != criteria.failureDomain,
                        .overFreeShare = criteria.withinFreeShare
                            && exceedsFreeShare(state, now, registry.loadLifetime),
                        .isCold = isCold(registry.coldServers, id, now),
                        .shareFreeAt = shareFreeAt});
    }
    return candidates;
}

BackendChoice noBackendChoice(const Exclusions &exclusions)
{
    if (exclusions.notOpen)
        return {.reason = NoBackendReason::NotOpen};
    if (exclusions.tried)
        return {.reason = NoBackendReason::AllTried};
    if (exclusions.backoffEnds)
        return {.reason = NoBackendReason::BackingOff, .retryAt = *exclusions.backoffEnds};
    if (exclusions.evacuated)
        return {.reason = NoBackendReason::Evacuated};
    return {.reason = NoBackendReason::NoneAvailable};
}

} // namespace

void putBackend(BackendRegistry &registry, const BackendEntry &entry, TimePoint now)
{
    discardStaleSignals(registry, entry);
    noteColdEntry(registry.coldServers, registry.limits, entry, now);
    BackendState &state = registry.backends[entry.id];
    const bool isNewServer =
        state.entry.startedAt != entry.startedAt || state.entry.address != entry.address;
    if (isNewServer) {
        const std::uint32_t ownInFlight = state.ownInFlight;
        state = BackendState{};
        state.ownInFlight = ownInFlight;
        state.knownSince = now;
    }
    // A record that is read again, for example after the store lost its history, carries no new
    // information.
    const bool renewed = !entry.recordOffset || entry.recordOffset != state.entry.recordOffset;
    const bool recheckAddress = isNewServer || (state.replaced && renewed);
    state.entry = entry;
    state.usableUntil = TimePoint::max();
    if (!recheckAddress)
        return;
    state.replaced = false;
    resolveAddressConflicts(registry, state);
}

bool isLeaving(const BackendRegistry &registry, const std::string &id, TimePoint now)
{
    const auto found = registry.backends.find(id);
    return found == registry.backends.end() || entryEndsWork(found->second, now)
        || registry.drainingSince.contains(id);
}

void removeBackend(BackendRegistry &registry, const std::string &id)
{
    const auto found = registry.backends.find(id);
    if (found == registry.backends.end())
        return;
    std::erase_if(registry.expiredStartTimes,
                  [&registry](const auto &item) { return !hasSignals(registry, item.first); });
    if (hasSignals(registry, id))
        registry.expiredStartTimes[id] = found->second.entry.startedAt;
    registry.backends.erase(found);
}

double expectedRequests(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    if (!state.reportedLoad || now - state.reportedLoad->receivedAt > loadLifetime)
        return state.ownInFlight;
    const double reported = state.reportedLoad->running + state.reportedLoad->waiting;
    const double others = std::max(0.0, reported - state.reportedLoad->ownInFlight);
    return others + state.ownInFlight;
}

double slowdownOf(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    const bool fresh = state.reportedLoad && now - state.reportedLoad->receivedAt <= loadLifetime;
    return fresh ? std::max(1.0, state.reportedLoad->slowdown) : 1.0;
}

void noteListRead(BackendRegistry &registry, TimePoint at)
{
    registry.listReadAt = std::max(registry.listReadAt, at);
}

bool noteGroupOpening(BackendRegistry &registry, const BackendState &state, const BackendLoad &load)
{
    const bool opens = load.open && state.reportedLoad && !state.reportedLoad->open;
    if (!opens)
        return false;
    TimePoint &openedAt = registry.openedAt[state.entry.service];
    if (openedAt != TimePoint() && load.receivedAt - openedAt < openingSpread)
        return false;
    openedAt = load.receivedAt;
    return true;
}

bool isOpen(const BackendState &state, bool inGroup, TimePoint now, milliseconds loadLifetime)
{
    const bool fresh = state.reportedLoad && now - state.reportedLoad->receivedAt <= loadLifetime;
    if (fresh)
        return state.reportedLoad->open;
    return !inGroup || now - state.knownSince >= firstReportWait;
}

std::uint32_t shareOfFreeSlots(std::uint32_t free, std::uint32_t gateways, double randomUnit)
{
    const std::uint32_t count = std::max(1U, gateways);
    const std::uint32_t leftOver = free % count;
    return free / count + (randomUnit * count < leftOver ? 1 : 0);
}

void noteLoad(BackendState &state, BackendLoad load, double randomUnit)
{
    const std::uint32_t occupied = load.running + load.waiting;
    const std::uint32_t free = state.entry.slots - std::min(state.entry.slots, occupied);
    load.ownInFlight = state.ownInFlight;
    load.freeSlotShare = shareOfFreeSlots(free, load.gateways, randomUnit);
    state.reportedLoad = load;
    if (load.engineAnswers)
        state.silentUntil = TimePoint();
}

void noteAnswer(BackendState &state, const AnswerFeedback &feedback, bool inGroup, TimePoint now,
                double randomUnit)
{
    const bool mayBeClosed = inGroup && feedback.notExecuted && !feedback.asksForBackoff;
    if (!feedback.load && !mayBeClosed)
        return;
    BackendLoad load = state.reportedLoad.value_or(BackendLoad{});
    if (feedback.load) {
        load.running = feedback.load->running;
        load.waiting = feedback.load->waiting;
    }
    load.receivedAt = now;
    load.engineAnswers = true;
    load.open = !(mayBeClosed && load.running + load.waiting < state.entry.slots);
    noteLoad(state, load, randomUnit);
}

void noteSend(BackendRegistry &registry, const BackendState &state, TimePoint now)
{
    consumePermit(registry.limits, state.entry.id, now);
    noteSend(registry.coldServers, state.entry.service, state.entry.id, now);
}

void removeExpiredLimits(BackendRegistry &registry, TimePoint now)
{
    std::erase_if(registry.limits, [&registry, now](const auto &item) {
        const auto &[id, limit] = item;
        return isObsolete(limit, now)
            || (isExpired(limit.advertised, now) && !rateOf(limit.cold, now)
                && !registry.backends.contains(id));
    });
    removeStaleState(registry.coldServers, now);
}

void noteBackoff(BackendRegistry &registry, const std::string &id, TimePoint until, TimePoint now)
{
    std::erase_if(registry.backoffUntil, [now](const auto &item) { return item.second <= now; });
    TimePoint &known = registry.backoffUntil[id];
    known = std::max(known, until);
}

bool noteDraining(BackendRegistry &registry, const std::string &id, TimePoint now)
{
    std::erase_if(registry.drainingSince, [&registry, now](const auto &item) {
        return now - item.second > drainingLifetime && !registry.backends.contains(item.first);
    });
    return registry.drainingSince.try_emplace(id, now).second;
}

bool exceedsFreeShare(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    if (!state.reportedLoad || now - state.reportedLoad->receivedAt > loadLifetime)
        return false;
    return state.ownInFlight
        >= std::uint64_t{state.reportedLoad->ownInFlight} + state.reportedLoad->freeSlotShare;
}

double loadWithOneMore(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    const double expected = expectedRequests(state, now, loadLifetime) + 1;
    return expected * slowdownOf(state, now, loadLifetime) / state.entry.slots;
}

BackendChoice chooseBackend(BackendRegistry &registry, const BackendCriteria &criteria,
                            TimePoint now, double randomUnit)
{
    Candidates candidates = candidatesFor(registry, criteria, now);
    std::vector<RankedBackend> &atLimit = candidates.atLimit;
    if (candidates.eligible.empty() && atLimit.empty())
        return noBackendChoice(candidates.exclusions);
    BackendChoice choice;
    dropSlow(candidates.eligible, now, registry.loadLifetime);
    dropSlow(atLimit, now, registry.loadLifetime);
    dropFullBesideCold(candidates.eligible, criteria.maxLoad);
    std::erase_if(atLimit, [&criteria](const RankedBackend &candidate) {
        return !candidate.hasSlot(criteria.maxLoad);
    });
    const RankedBackend *best = criteria.suspectHash
        ? designatedOf(candidates.eligible, *criteria.suspectHash, criteria.maxLoad)
        : bestOf(candidates.eligible, randomUnit);
    bool found = best != nullptr && best->hasSlot(criteria.maxLoad);
    if (!found && criteria.mayExceedFreeShare) {
        const RankedBackend *beyondShare = anyBeyondFreeShare(
            candidates.eligible, criteria.maxLoad, now, registry.loadLifetime, randomUnit);
        found = choice.beyondFreeShare = beyondShare != nullptr;
        best = found ? beyondShare : best;
    }
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
        choice.retryAt = earliestSendAt(registry.limits, atLimit, now);
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
