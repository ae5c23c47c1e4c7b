#include "Request/BackendBoard.h"

#include <algorithm>
#include <functional>

namespace wisteria {

namespace {

/// How long a backend server that refused a connection is avoided at first; doubled with each
/// further failure. A crashed one is back after some seconds, and a try costs one retry.
constexpr milliseconds firstAvoidance{300};
constexpr milliseconds longestAvoidance{2400};
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
constexpr std::chrono::minutes leavingLifetime{10};

bool wasTried(const BackendWish &wish, const std::string &id)
{
    return std::find(wish.tried.begin(), wish.tried.end(), id) != wish.tried.end();
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
        return paceOf(*candidate.state, now, loadLifetime) >= moveAtPace;
    };
    if (!std::all_of(candidates.begin(), candidates.end(), slow))
        std::erase_if(candidates, slow);
}

/// The best of several; the search begins at a drawn place, so that equals share the work.
const Candidate *bestOf(const std::vector<Candidate> &candidates, double draw)
{
    if (candidates.empty())
        return nullptr;
    const auto start = static_cast<std::size_t>(draw * static_cast<double>(candidates.size()));
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
std::string wishedOf(const ServerLimits &limits, std::vector<Candidate> atLimit,
                     const Candidate *instead, double draw, TimePoint now)
{
    std::erase_if(atLimit, [&](const Candidate &candidate) {
        const bool worse = instead != nullptr && !candidate.before(*instead);
        return worse || limits.at(candidate.state->entry.id).askAgainAt > now;
    });
    const Candidate *best = bestOf(atLimit, draw);
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
    return entry.recordedAt && other.recordedAt && *entry.recordedAt > *other.recordedAt;
}

/// Marks the older of two at one address. What was told of the address is of the one that is there.
void settleBetween(BackendState &younger, BackendState &older)
{
    older.replaced = true;
    if (younger.told || !older.told)
        return;
    younger.told = older.told;
    younger.told->own = younger.own;
}

/// Settles between a backend server and those that stand at its address as well.
void settleAddress(BackendBoard &board, BackendState &state)
{
    for (auto &[id, other] : board.backends) {
        if (&other == &state || other.entry.address != state.entry.address)
            continue;
        if (isYounger(state.entry, other.entry))
            settleBetween(state, other);
        else if (isYounger(other.entry, state.entry))
            settleBetween(other, state);
    }
}

/// Whether a group opened again and may have other engines than the list that is known names.
bool awaitsList(const BackendBoard &board, const std::string &service, TimePoint now)
{
    const auto opened = board.openedAt.find(service);
    return opened != board.openedAt.end() && board.listReadAt < opened->second
        && now - opened->second < openingReadWait;
}

bool saidAnything(const BackendBoard &board, const std::string &id)
{
    return board.limits.contains(id) || board.restUntil.contains(id)
        || board.leavingSince.contains(id);
}

/// When the server of an id started, as far as is known; 0 when it is not.
std::uint64_t knownStart(const BackendBoard &board, const std::string &id)
{
    const auto present = board.backends.find(id);
    if (present != board.backends.end())
        return present->second.entry.startedAt;
    const auto lapsed = board.lapsedStarts.find(id);
    return lapsed == board.lapsedStarts.end() ? 0 : lapsed->second;
}

/// A server that starts under the id of another knows nothing of what that one said.
void forgetFormerServer(BackendBoard &board, const BackendEntry &entry)
{
    const std::uint64_t start = knownStart(board, entry.id);
    board.lapsedStarts.erase(entry.id);
    if (start == 0 || start == entry.startedAt)
        return;
    board.limits.erase(entry.id);
    board.restUntil.erase(entry.id);
    board.leavingSince.erase(entry.id);
}

/// Why backend servers of the service are no candidates.
struct Unfit
{
    bool notOpen = false;
    bool tried = false;
    /// When the first rest ends.
    std::optional<TimePoint> restEnds;
};

/// Until when a backend server rests; nothing when it does not.
std::optional<TimePoint> restOf(const BackendBoard &board, const std::string &id, TimePoint now)
{
    const auto rest = board.restUntil.find(id);
    if (rest == board.restUntil.end() || rest->second <= now)
        return std::nullopt;
    return rest->second;
}

/// Backend servers that may take a request.
struct Candidates
{
    std::vector<Candidate> free;
    /// They named a limit, and nothing is permitted there now.
    std::vector<Candidate> atLimit;
    Unfit unfit;
};

Candidates candidatesFor(BackendBoard &board, const BackendWish &wish, TimePoint now)
{
    Candidates candidates;
    Unfit &unfit = candidates.unfit;
    const bool listAwaited = wish.inGroup && awaitsList(board, wish.service, now);
    // Mostly none has said anything, and three look-ups for each of thousands of servers count.
    const bool anySaid =
        !board.limits.empty() || !board.restUntil.empty() || !board.leavingSince.empty();
    for (auto &[id, state] : board.backends) {
        if (state.entry.service != wish.service || state.entry.draining || state.replaced)
            continue;
        if (anySaid && board.leavingSince.contains(id))
            continue;
        if (const auto restEnds = anySaid ? restOf(board, id, now) : std::nullopt) {
            unfit.restEnds = std::min(unfit.restEnds.value_or(*restEnds), *restEnds);
            continue;
        }
        if (listAwaited || !isOpen(state, wish.inGroup, now, board.loadLifetime)) {
            unfit.notOpen = true;
            continue;
        }
        if (wasTried(wish, id)) {
            unfit.tried = true;
            continue;
        }
        const bool permitted = !anySaid || isPermitted(board.limits, id, now);
        auto &kind = permitted ? candidates.free : candidates.atLimit;
        kind.push_back({&state, loadWithOneMore(state, now, board.loadLifetime),
                        state.avoidUntil > now, state.entry.failureDomain != wish.failureDomain,
                        wish.keepsToShare && exceedsShare(state, now, board.loadLifetime)});
    }
    return candidates;
}

BackendChoice choiceOfNone(const Unfit &unfit)
{
    if (unfit.notOpen)
        return {.why = NoBackend::NotOpen};
    if (unfit.tried)
        return {.why = NoBackend::AllTried};
    if (unfit.restEnds)
        return {.why = NoBackend::Resting, .freeAt = *unfit.restEnds};
    return {.why = NoBackend::Unknown};
}

} // namespace

void putBackend(BackendBoard &board, const BackendEntry &entry, TimePoint now)
{
    forgetFormerServer(board, entry);
    BackendState &state = board.backends[entry.id];
    const bool restarted =
        state.entry.startedAt != entry.startedAt || state.entry.address != entry.address;
    if (restarted) {
        const std::uint32_t own = state.own;
        state = BackendState{};
        state.own = own;
        state.since = now;
    }
    // A record that is read once more, as after lost history, tells nothing new.
    const bool renewed = !entry.recordedAt || entry.recordedAt != state.entry.recordedAt;
    const bool settle = restarted || (state.replaced && renewed);
    state.entry = entry;
    if (!settle)
        return;
    state.replaced = false;
    settleAddress(board, state);
}

void removeBackend(BackendBoard &board, const std::string &id)
{
    const auto found = board.backends.find(id);
    if (found == board.backends.end())
        return;
    std::erase_if(board.lapsedStarts,
                  [&board](const auto &entry) { return !saidAnything(board, entry.first); });
    if (saidAnything(board, id))
        board.lapsedStarts[id] = found->second.entry.startedAt;
    board.backends.erase(found);
}

double expectedLoad(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    if (!state.told || now - state.told->at > loadLifetime)
        return state.own;
    const double told = state.told->running + state.told->waiting;
    const double others = std::max(0.0, told - state.told->own);
    return others + state.own;
}

double paceOf(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    const bool fresh = state.told && now - state.told->at <= loadLifetime;
    return fresh ? std::max(1.0, state.told->pace) : 1.0;
}

void noteListRead(BackendBoard &board, TimePoint at)
{
    board.listReadAt = std::max(board.listReadAt, at);
}

bool noteOpening(BackendBoard &board, const BackendState &state, const LoadTold &told)
{
    const bool opens = told.open && state.told && !state.told->open;
    if (!opens)
        return false;
    TimePoint &openedAt = board.openedAt[state.entry.service];
    if (openedAt != TimePoint() && told.at - openedAt < openingSpread)
        return false;
    openedAt = told.at;
    return true;
}

bool isOpen(const BackendState &state, bool inGroup, TimePoint now, milliseconds loadLifetime)
{
    const bool fresh = state.told && now - state.told->at <= loadLifetime;
    if (fresh)
        return state.told->open;
    return !inGroup || now - state.since >= firstReportWait;
}

std::uint32_t shareOfFree(std::uint32_t free, std::uint32_t gateways, double draw)
{
    const std::uint32_t count = std::max(1U, gateways);
    const std::uint32_t leftOver = free % count;
    return free / count + (draw * count < leftOver ? 1 : 0);
}

void noteLoad(BackendState &state, LoadTold told, double draw)
{
    const std::uint32_t taken = told.running + told.waiting;
    const std::uint32_t free = state.entry.slots - std::min(state.entry.slots, taken);
    told.own = state.own;
    told.freeShare = shareOfFree(free, told.gateways, draw);
    state.told = told;
}

void noteAnswer(BackendState &state, const AnswerTold &answer, bool inGroup, TimePoint now,
                double draw)
{
    const bool closable = inGroup && answer.notExecuted && !answer.wantsRest;
    if (!answer.load && !closable)
        return;
    LoadTold told = state.told.value_or(LoadTold{});
    if (answer.load) {
        told.running = answer.load->running;
        told.waiting = answer.load->waiting;
    }
    told.at = now;
    told.open = !(closable && told.running + told.waiting < state.entry.slots);
    noteLoad(state, told, draw);
}

void forgetOldLimits(BackendBoard &board, TimePoint now)
{
    std::erase_if(board.limits, [&board, now](const auto &entry) {
        return isOld(entry.second.word, now) && !board.backends.contains(entry.first);
    });
}

void noteRest(BackendBoard &board, const std::string &id, TimePoint until, TimePoint now)
{
    std::erase_if(board.restUntil, [now](const auto &entry) { return entry.second <= now; });
    TimePoint &known = board.restUntil[id];
    known = std::max(known, until);
}

bool noteLeaving(BackendBoard &board, const std::string &id, TimePoint now)
{
    std::erase_if(board.leavingSince, [&board, now](const auto &entry) {
        return now - entry.second > leavingLifetime && !board.backends.contains(entry.first);
    });
    return board.leavingSince.try_emplace(id, now).second;
}

bool exceedsShare(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    if (!state.told || now - state.told->at > loadLifetime)
        return false;
    return state.own >= std::uint64_t{state.told->own} + state.told->freeShare;
}

double loadWithOneMore(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    const double expected = expectedLoad(state, now, loadLifetime) + 1;
    return expected * paceOf(state, now, loadLifetime) / state.entry.slots;
}

BackendChoice chooseBackend(BackendBoard &board, const BackendWish &wish, TimePoint now,
                            double draw)
{
    Candidates candidates = candidatesFor(board, wish, now);
    std::vector<Candidate> &atLimit = candidates.atLimit;
    if (candidates.free.empty() && atLimit.empty())
        return choiceOfNone(candidates.unfit);
    BackendChoice choice;
    dropSlow(candidates.free, now, board.loadLifetime);
    dropSlow(atLimit, now, board.loadLifetime);
    const auto hasPlace = [&wish](const Candidate &candidate) {
        return candidate.load <= wish.fullAt && !candidate.beyondShare;
    };
    std::erase_if(atLimit, std::not_fn(hasPlace));
    const Candidate *best = bestOf(candidates.free, draw);
    const bool found = best != nullptr && hasPlace(*best);
    choice.wished = wishedOf(board.limits, atLimit, found ? best : nullptr, draw, now);
    if (best != nullptr)
        choice.load = best->load;
    if (found) {
        choice.why = NoBackend::None;
        choice.backend = best->state;
        return choice;
    }
    choice.why = atLimit.empty() ? NoBackend::AllFull : NoBackend::AtLimit;
    if (!atLimit.empty())
        choice.freeAt = earliestPermit(board.limits, atLimit, now);
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
    state.avoidUntil = now + std::min(longestAvoidance, firstAvoidance * (1 << doublings));
}

} // namespace wisteria
