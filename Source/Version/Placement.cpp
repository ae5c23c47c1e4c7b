#include "Version/Placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "Version/PlacementGreedy.h"
#include "Version/PlacementSearch.h"

namespace wisteria {

namespace {

constexpr std::chrono::minutes period(10);
/// Reports that the first move of a layer waits for. A map that fits the noise of fewer reports
/// would have to be moved again.
constexpr std::uint32_t reportsBeforeFirstMove = 6;
/// How many standard deviations of the estimates' own errors a gain must exceed.
constexpr double significantDeviations = 0.75;
/// Without drift, a gain must exceed this many: the first estimate was far off, or the noise is not
/// what it is taken for.
constexpr double certainDeviations = 3.0;
/// How much the loads must differ from those that a map was made for, in units of the variance that
/// noise explains, to count as drift.
constexpr double driftFactor = 2.2;
/// A move must gain this multiple of what it costs.
constexpr double paybackFactor = 2.0;
/// Skew above that of a map made from scratch at which the search begins afresh.
constexpr double restartSkew = 0.02;
/// Times, relative to a balanced group's, up to which a fresh beginning leaves experts in place.
constexpr std::array<double, 3> restartCeilings = {1.0, 0.95, 0.85};

constexpr std::array<std::pair<const char *, PlacementPolicy>, 4> policyNames = {{
    {"static", PlacementPolicy::Static},
    {"greedy", PlacementPolicy::Greedy},
    {"periodic", PlacementPolicy::Periodic},
    {"wisteria", PlacementPolicy::Wisteria},
}};

LayerDecision stay(std::uint32_t layer, StayReason reason)
{
    LayerDecision decision;
    decision.layer = layer;
    decision.stay = reason;
    return decision;
}

LayerDecision decideGreedy(const RankGroup &group, const LayerPlacement &placement,
                           std::uint32_t layer)
{
    if (placement.newestLoads.empty() || placement.decidedAtReports == placement.estimate.reports)
        return stay(layer, StayReason::NoNewReport);
    LayerDecision decision;
    decision.layer = layer;
    decision.next = greedyLayerMap(group, placement.newestLoads);
    decision.moves = countMoves(placement.map, *decision.next);
    if (decision.moves == 0)
        return stay(layer, StayReason::GainWithinNoise);
    return decision;
}

/// Skew that one loaded replica must gain to be worth its share of the weight store's time, by the
/// declared weights, before the loads have drifted on.
double paybackSkew(const RankGroup &group, const LoadForecast &forecast)
{
    const double horizon = std::chrono::duration<double>(forecast.horizon).count();
    const double loading = static_cast<double>(group.expertBytes) / group.storeBytesPerSecond;
    const double worth = group.skewWeight * horizon / group.layers;
    if (worth <= 0)
        return std::numeric_limits<double>::infinity();
    return paybackFactor * group.costWeight * loading / worth;
}

/// Standard deviation that the errors of two estimates feign of the time of the rank that depends
/// most on single experts: of the estimate that the present map was made for, and of the newest.
/// With noise alone, a better estimate always seems to offer a gain of this order; a map that
/// chased it would move for ever without drift.
double noiseSkew(const RankGroup &group, const LayerPlacement &placement,
                 const LoadForecast &forecast)
{
    const std::vector<std::uint32_t> counts = replicaCounts(placement.map, group.experts);
    const double ranks = static_cast<double>(group.ranks.size());
    double largest = 0;
    for (std::size_t rank = 0; rank < placement.map.ranks.size(); ++rank) {
        double variance = 0;
        for (const ExpertId expert : placement.map.ranks[rank]) {
            const double share =
                forecast.shares[expert] * ranks / (counts[expert] * group.ranks[rank].speed);
            variance += share * share;
        }
        largest = std::max(largest, variance);
    }
    return forecast.noise
        * std::sqrt(largest * (forecast.uncertainty + placement.basis.uncertainty));
}

std::vector<double> speedsOf(const RankGroup &group)
{
    std::vector<double> speeds;
    for (const RankCapacity &rank : group.ranks)
        speeds.push_back(rank.speed);
    return speeds;
}

/// Whether loads or ranks differ from what the present map was made for by more than the errors of
/// both estimates explain, or an expert had just jumped and its load was barely known: the mean
/// squared difference, in units of its variance, is 1 without drift. Noise makes a new estimate
/// differ a little everywhere, which moves must not chase.
bool hasDrifted(const RankGroup &group, const MapBasis &basis, const LoadForecast &forecast)
{
    if (basis.shares.empty() || !basis.settled || basis.rankSpeeds != speedsOf(group))
        return true;
    const double uncertainty = basis.uncertainty + forecast.uncertainty;
    const double relativeVariance = forecast.noise * forecast.noise * uncertainty;
    double sum = 0;
    for (ExpertId expert = 0; expert < group.experts; ++expert) {
        const double difference = forecast.shares[expert] - basis.shares[expert];
        const double size = std::max(forecast.shares[expert], basis.shares[expert]);
        sum += size > 0 ? difference * difference / size : 0;
    }
    return sum > driftFactor * relativeVariance;
}

std::uint32_t slotsOf(const RankGroup &group)
{
    std::uint32_t slots = 0;
    for (const RankCapacity &rank : group.ranks)
        slots += rank.slots;
    return slots;
}

/// Improves the present map step by step. Where that gets stuck well above what a map from scratch
/// would reach, begins again from maps that only keep the experts in place that fit.
SearchResult searchLayer(const RankGroup &group, const LayerMap &present,
                         const SearchProblem &problem, const SearchLimits &limits)
{
    SearchResult best = improveLayerMap(group, present, present, problem, limits);
    const double fromScratch = expectedSkew(group, greedyLayerMap(group, problem.loads), problem);
    if (best.foundSkew < fromScratch + restartSkew)
        return best;
    for (const double ceiling : restartCeilings) {
        const LayerMap start = stickyLayerMap(group, problem.loads, present, ceiling);
        SearchResult found = improveLayerMap(group, present, start, problem, limits);
        const double furtherCost = limits.minGainPerMove * found.moves;
        if (found.foundSkew + furtherCost < best.foundSkew + limits.minGainPerMove * best.moves)
            best = std::move(found);
    }
    return best;
}

LayerDecision decideWisteria(const RankGroup &group, const LayerPlacement &placement,
                             std::uint32_t layer, std::vector<std::uint32_t> stagingRoom)
{
    const LoadEstimate &estimate = placement.estimate;
    if (placement.decidedAtReports == estimate.reports)
        return stay(layer, StayReason::NoNewReport);
    if (estimate.reports < reportsBeforeFirstMove)
        return stay(layer, StayReason::TooFewReports);
    const LoadForecast forecast = forecastLoads(estimate);
    SearchProblem problem;
    problem.loads = forecast.shares;
    problem.noise = forecast.noise;
    SearchLimits limits;
    limits.maxMoves = slotsOf(group);
    limits.minGainPerMove = paybackSkew(group, forecast);
    limits.stagingRoom = std::move(stagingRoom);
    SearchResult found = searchLayer(group, placement.map, problem, limits);
    if (found.moves == 0)
        return stay(layer, StayReason::NoPayback);
    const double gain = found.presentSkew - found.foundSkew;
    const double deviation = noiseSkew(group, placement, forecast);
    if (gain < significantDeviations * deviation)
        return stay(layer, StayReason::GainWithinNoise);
    if (gain < certainDeviations * deviation && !hasDrifted(group, placement.basis, forecast))
        return stay(layer, StayReason::NoDrift);
    LayerDecision decision;
    decision.layer = layer;
    decision.next = std::move(found.map);
    decision.presentSkew = found.presentSkew;
    decision.nextSkew = found.foundSkew;
    decision.moves = found.moves;
    decision.basis = {forecast.shares, forecast.uncertainty, forecast.settled, speedsOf(group)};
    return decision;
}

/// Replicas that each rank can stage beside all that it holds; empty when no rank's memory is
/// bounded.
std::vector<std::uint32_t> stagingRoomOf(const RankGroup &group, const PlacementState &state)
{
    const bool bounded = std::any_of(group.ranks.begin(), group.ranks.end(),
                                     [](const RankCapacity &rank) { return rank.memoryBytes > 0; });
    if (!bounded || group.expertBytes == 0)
        return {};
    std::vector<std::uint32_t> room(group.ranks.size());
    for (std::size_t rank = 0; rank < room.size(); ++rank) {
        std::uint64_t held = 0;
        for (const LayerPlacement &layer : state.layers)
            held += layer.map.ranks[rank].size();
        const std::uint64_t fitting = group.ranks[rank].memoryBytes / group.expertBytes;
        const std::uint64_t free = fitting > held ? fitting - held : 0;
        const bool unbounded = group.ranks[rank].memoryBytes == 0;
        constexpr std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
        room[rank] = static_cast<std::uint32_t>(unbounded ? most : std::min(free, most));
    }
    return room;
}

/// Takes the room that a layer's new replicas need. While they are staged, the old replicas are
/// still in use: without the room, the rank would run out of memory in the middle of a step.
bool reserveStagingRoom(std::vector<std::uint32_t> &room, const LayerMap &present,
                        const LayerMap &next)
{
    std::vector<std::uint32_t> left = room;
    for (std::size_t rank = 0; rank < left.size(); ++rank) {
        const std::size_t needed = missingExperts(present.ranks[rank], next.ranks[rank]).size();
        if (needed > left[rank])
            return false;
        left[rank] -= static_cast<std::uint32_t>(needed);
    }
    room = std::move(left);
    return true;
}

LayerDecision decideLayer(PlacementPolicy policy, const RankGroup &group,
                          const PlacementState &state, std::uint32_t layer, bool periodicDue,
                          const std::vector<std::uint32_t> &stagingRoom)
{
    const LayerPlacement &placement = state.layers[layer];
    switch (policy) {
    case PlacementPolicy::Static:
        return stay(layer, StayReason::PolicyNeverMoves);
    case PlacementPolicy::Greedy:
        return decideGreedy(group, placement, layer);
    case PlacementPolicy::Periodic:
        return periodicDue ? decideGreedy(group, placement, layer)
                           : stay(layer, StayReason::NotDue);
    case PlacementPolicy::Wisteria:
        return decideWisteria(group, placement, layer, stagingRoom);
    }
    return stay(layer, StayReason::PolicyNeverMoves);
}

bool isPeriodicDue(const PlacementState &state, TimePoint now)
{
    const bool reported =
        std::any_of(state.layers.begin(), state.layers.end(),
                    [](const LayerPlacement &layer) { return layer.estimate.reports > 0; });
    return reported && (!state.lastPeriodic || now - *state.lastPeriodic >= period);
}

} // namespace

Result<PlacementPolicy> placementPolicyFromName(const std::string &name)
{
    for (const auto &[known, policy] : policyNames) {
        if (name == known)
            return policy;
    }
    return failure(ErrorKind::BadInput,
                   "unknown policy '" + name + "'; use static, greedy, periodic or wisteria");
}

const char *stayReasonText(StayReason reason)
{
    switch (reason) {
    case StayReason::None:
        return "moves";
    case StayReason::PolicyNeverMoves:
        return "the policy never moves experts";
    case StayReason::NotDue:
        return "the next decision is not due yet";
    case StayReason::NoDrift:
        return "loads and ranks are what the present map was made for";
    case StayReason::NoNewReport:
        return "no load report came since the last decision";
    case StayReason::TooFewReports:
        return "too few load reports came to tell load from noise";
    case StayReason::GainWithinNoise:
        return "the gain can't be told from noise";
    case StayReason::NoPayback:
        return "no move would pay back before the loads have drifted on";
    case StayReason::NoStagingRoom:
        return "a rank lacks the memory to stage new weights beside the old";
    case StayReason::SwitchPending:
        return "an earlier switch is still under way";
    }
    return "unknown";
}

bool PlacementDecision::moves() const
{
    return std::any_of(layers.begin(), layers.end(),
                       [](const LayerDecision &layer) { return layer.next.has_value(); });
}

Result<PlacementState> startPlacement(const RankGroup &group, const ExpertMap &map)
{
    BOOST_OUTCOME_TRYV(checkRankGroup(group));
    if (map.layers.size() != group.layers) {
        return failure(ErrorKind::BadInput,
                       "the map has " + std::to_string(map.layers.size())
                           + " layers, but the group has " + std::to_string(group.layers)
                           + "; make a map for this group");
    }
    PlacementState state;
    for (const LayerMap &layer : map.layers) {
        BOOST_OUTCOME_TRYV(checkLayerMap(group, layer));
        state.layers.emplace_back();
        state.layers.back().map = layer;
    }
    return state;
}

Result<void> takeLoadReport(const RankGroup &group, PlacementState &state, const LoadReport &report)
{
    if (report.layer >= state.layers.size()) {
        return failure(ErrorKind::BadInput,
                       "a load report is for layer " + std::to_string(report.layer)
                           + ", but the group has " + std::to_string(state.layers.size())
                           + "; number layers from 0");
    }
    LayerPlacement &layer = state.layers[report.layer];
    const std::uint32_t before = layer.estimate.reports;
    BOOST_OUTCOME_TRYV(observeLoads(layer.estimate, report, group.experts));
    if (layer.estimate.reports > before)
        layer.newestLoads = report.loads;
    return boost::outcome_v2::success();
}

PlacementDecision decidePlacement(PlacementPolicy policy, const RankGroup &group,
                                  PlacementState &state, TimePoint now)
{
    PlacementDecision decision;
    const bool periodicDue = isPeriodicDue(state, now);
    std::vector<std::uint32_t> stagingRoom = stagingRoomOf(group, state);
    for (std::uint32_t layer = 0; layer < state.layers.size(); ++layer) {
        if (state.switching) {
            decision.layers.push_back(stay(layer, StayReason::SwitchPending));
            continue;
        }
        LayerPlacement &placement = state.layers[layer];
        LayerDecision next = decideLayer(policy, group, state, layer, periodicDue, stagingRoom);
        if (next.next && !reserveStagingRoom(stagingRoom, placement.map, *next.next))
            next = stay(layer, StayReason::NoStagingRoom);
        placement.decidedAtReports = placement.estimate.reports;
        decision.layers.push_back(std::move(next));
    }
    if (!state.switching && periodicDue)
        state.lastPeriodic = now;
    state.switching = state.switching || decision.moves();
    return decision;
}

void switchDone(PlacementState &state, const PlacementDecision &decision, bool inForce)
{
    state.switching = false;
    if (!inForce)
        return;
    for (const LayerDecision &layer : decision.layers) {
        if (!layer.next)
            continue;
        state.layers[layer.layer].map = *layer.next;
        state.layers[layer.layer].basis = layer.basis;
    }
}

} // namespace wisteria
