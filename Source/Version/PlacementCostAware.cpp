#include "Version/PlacementCostAware.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "Version/PlacementGreedy.h"
#include "Version/PlacementSearch.h"

namespace wisteria {

namespace {

/// Reports that the first move of a layer waits for. A map that fits the noise of fewer reports
/// would have to be moved again.
constexpr std::uint32_t reportsBeforeFirstMove = 6;
/// How many standard deviations of the estimates' own errors a gain must exceed.
constexpr double significantDeviations = 0.75;
/// The same shortly after an expert jumped, as the first map for it rests on a single report.
constexpr double unsettledDeviations = 0.3;
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

/// Skew above that of a map made from scratch at which steps from the present map aren't tried, as
/// they would be too many.
constexpr double hopelessSkew = 0.25;
/// Terms that a decision evaluates at most; some 5 ms on a core of today.
constexpr std::uint64_t decisionTerms = 400000;

/// What is known of a layer before any search.
struct LayerOutlook
{
    std::uint32_t layer = 0;
    LoadForecast forecast;
    SearchProblem problem;
    double currentSkew = 1;
    /// Expected skew of a map made from scratch: about what a search can reach.
    double scratchSkew = 1;
    /// Gain that the moves must reach together.
    double neededGain = 0;
    /// Why the layer stays, if that is clear without a search.
    StayReason stay = StayReason::None;
};

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

/// Gain that can't be explained by noise.
double neededGain(const RankGroup &group, const LayerPlacement &placement,
                  const LoadForecast &forecast, bool drifted)
{
    double deviations = drifted ? significantDeviations : certainDeviations;
    if (!placement.basis.shares.empty() && !placement.basis.settled)
        deviations = unsettledDeviations;
    return deviations * noiseSkew(group, placement, forecast);
}

LayerOutlook assessLayer(const RankGroup &group, const LayerPlacement &placement,
                         std::uint32_t layer)
{
    LayerOutlook outlook;
    outlook.layer = layer;
    const LoadEstimate &estimate = placement.estimate;
    if (placement.decidedAtReports == estimate.reports)
        outlook.stay = StayReason::NoNewReport;
    else if (estimate.reports < reportsBeforeFirstMove)
        outlook.stay = StayReason::TooFewReports;
    if (outlook.stay != StayReason::None)
        return outlook;
    outlook.forecast = forecastLoads(estimate);
    outlook.problem = {outlook.forecast.shares, outlook.forecast.noise};
    outlook.currentSkew = expectedSkew(group, placement.map, outlook.problem);
    outlook.scratchSkew =
        expectedSkew(group, greedyLayerMap(group, outlook.problem.loads), outlook.problem);
    const bool drifted = hasDrifted(group, placement.basis, outlook.forecast);
    outlook.neededGain = neededGain(group, placement, outlook.forecast, drifted);
    if (outlook.currentSkew - outlook.scratchSkew < outlook.neededGain)
        outlook.stay = drifted ? StayReason::GainWithinNoise : StayReason::NoDrift;
    return outlook;
}

/// Improves the present map step by step. Where that gets stuck well above what a map from scratch
/// would reach, begins again from maps that only keep the experts in place that fit. Such maps load
/// too much at once for ranks that have little room to stage.
SearchResult searchLayer(const RankGroup &group, const LayerMap &current,
                         const LayerOutlook &outlook, const SearchLimits &limits,
                         SearchBudget &budget)
{
    SearchResult best;
    best.map = current;
    best.currentSkew = outlook.currentSkew;
    best.foundSkew = outlook.currentSkew;
    const bool boundedCapacity = !limits.stagingCapacity.empty();
    if (boundedCapacity || outlook.currentSkew < outlook.scratchSkew + hopelessSkew)
        best = improveLayerMap(group, current, current, outlook.problem, limits, budget);
    if (boundedCapacity || best.foundSkew < outlook.scratchSkew + restartSkew)
        return best;
    for (const double ceiling : restartCeilings) {
        if (budget.terms == 0 && best.moves > 0)
            break;
        const LayerMap start = stickyLayerMap(group, outlook.problem.loads, current, ceiling);
        SearchResult found =
            improveLayerMap(group, current, start, outlook.problem, limits, budget);
        const double furtherCost = limits.minGainPerMove * found.moves;
        if (found.foundSkew + furtherCost < best.foundSkew + limits.minGainPerMove * best.moves)
            best = std::move(found);
    }
    return best;
}

LayerDecision decideLayer(const RankGroup &group, const LayerPlacement &placement,
                          const LayerOutlook &outlook, std::vector<std::uint32_t> &stagingCapacity,
                          SearchBudget &budget)
{
    LayerDecision decision;
    decision.layer = outlook.layer;
    decision.stay = outlook.stay;
    if (outlook.stay != StayReason::None)
        return decision;
    SearchLimits limits;
    limits.maxMoves = slotsOf(group);
    limits.minGainPerMove = paybackSkew(group, outlook.forecast);
    limits.stagingCapacity = stagingCapacity;
    SearchResult found = searchLayer(group, placement.map, outlook, limits, budget);
    if (found.moves == 0)
        decision.stay = StayReason::NoPayback;
    else if (found.currentSkew - found.foundSkew < outlook.neededGain)
        decision.stay = StayReason::GainWithinNoise;
    else if (!reserveStagingCapacity(stagingCapacity, placement.map, found.map))
        decision.stay = StayReason::NoStagingCapacity;
    if (decision.stay != StayReason::None)
        return decision;
    decision.next = std::move(found.map);
    decision.currentSkew = found.currentSkew;
    decision.nextSkew = found.foundSkew;
    decision.moves = found.moves;
    decision.basis = {outlook.forecast.shares, outlook.forecast.uncertainty,
                      outlook.forecast.settled, speedsOf(group)};
    return decision;
}

} // namespace

PlacementDecision decideCostAware(const RankGroup &group, const PlacementState &state,
                                  std::vector<std::uint32_t> stagingCapacity)
{
    std::vector<LayerOutlook> outlooks;
    for (std::uint32_t layer = 0; layer < state.layers.size(); ++layer)
        outlooks.push_back(assessLayer(group, state.layers[layer], layer));
    std::stable_sort(outlooks.begin(), outlooks.end(),
                     [](const LayerOutlook &a, const LayerOutlook &b) {
                         return a.currentSkew - a.scratchSkew > b.currentSkew - b.scratchSkew;
                     });
    SearchBudget budget{decisionTerms};
    PlacementDecision decision;
    decision.layers.resize(state.layers.size());
    for (const LayerOutlook &outlook : outlooks) {
        decision.layers[outlook.layer] =
            decideLayer(group, state.layers[outlook.layer], outlook, stagingCapacity, budget);
    }
    return decision;
}

} // namespace wisteria
