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

/// Number of reports before the first move of a layer. A map from fewer reports fits their noise
/// and would soon need another move.
constexpr std::uint32_t reportsBeforeFirstMove = 6;
/// Minimum gain, in standard deviations of the error of both estimates, after the loads drifted.
constexpr double significantDeviations = 0.75;
/// The same shortly after the load of an expert jumped, because the first map after the jump is
/// based on a single report.
constexpr double unsettledDeviations = 0.3;
/// The same without drift. Such a gain means that the first estimate was wrong, or that the noise
/// is underestimated.
constexpr double noDriftDeviations = 3.0;
/// Minimum difference from the loads that a map was computed for, in units of the variance that
/// noise explains, to count as drift.
constexpr double driftFactor = 2.2;
/// Minimum ratio of a move's gain to its cost.
constexpr double paybackFactor = 2.0;
/// When the found skew exceeds that of a greedy map by this much, the search restarts.
constexpr double restartSkew = 0.02;
/// Times of a rank, relative to a balanced group, up to which a restart leaves experts in place.
constexpr std::array<double, 3> restartCeilings = {1.0, 0.95, 0.85};

/// When the current skew exceeds that of a greedy map by this much, the current map is not improved
/// step by step, because too many steps would be needed.
constexpr double maxIncrementalSkew = 0.25;
/// Maximum number of terms that a decision evaluates, see SearchBudget; about 5 ms on one core.
constexpr std::uint64_t maxDecisionTerms = 400000;

/// Assessment of a layer before the search.
struct LayerAssessment
{
    std::uint32_t layer = 0;
    LoadForecast forecast;
    SearchProblem problem;
    double currentSkew = 1;
    /// Expected skew of a greedy map, approximately what a search can reach.
    double greedySkew = 1;
    /// Minimum total gain of all moves.
    double neededGain = 0;
    /// Reason why the layer keeps its map, if no search is needed to know it.
    StayReason stayReason = StayReason::None;
};

/// Returns the minimum gain in skew of one copied replica: its value until the loads drift is then
/// paybackFactor times the cost of the weight store's time, both by the declared weights.
double paybackGain(const RankGroup &group, const LoadForecast &forecast)
{
    const double horizon = std::chrono::duration<double>(forecast.horizon).count();
    const double copySeconds = static_cast<double>(group.expertBytes) / group.storeBytesPerSecond;
    const double valuePerSkew = group.skewWeight * horizon / group.layers;
    if (valuePerSkew <= 0)
        return std::numeric_limits<double>::infinity();
    return paybackFactor * group.costWeight * copySeconds / valuePerSkew;
}

/// Returns the largest standard deviation of a rank's time that the errors of two estimates cause:
/// the one that the current map was computed from and the newest one. Even with noise alone, a
/// better estimate always suggests a gain of this order; a policy that follows it would move
/// experts forever without drift.
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

/// Returns whether the loads differ from those that the current map was computed for by more than
/// the errors of both estimates explain, or the rank speeds differ at all. Also true when the map
/// was computed just after a jump, from a barely known load. Without drift, the sum of
/// the squared differences, each divided by the share, is about relativeVariance: noise makes a new
/// estimate differ slightly everywhere, and moves must not follow it.
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

/// Returns the minimum gain that noise does not explain.
double neededGain(const RankGroup &group, const LayerPlacement &placement,
                  const LoadForecast &forecast, bool drifted)
{
    double deviations = drifted ? significantDeviations : noDriftDeviations;
    if (!placement.basis.shares.empty() && !placement.basis.settled)
        deviations = unsettledDeviations;
    return deviations * noiseSkew(group, placement, forecast);
}

LayerAssessment assessLayer(const RankGroup &group, const LayerPlacement &placement,
                            std::uint32_t layer)
{
    LayerAssessment assessment;
    assessment.layer = layer;
    const LoadEstimate &estimate = placement.estimate;
    if (placement.reportsAtLastDecision == estimate.reports)
        assessment.stayReason = StayReason::NoNewReport;
    else if (estimate.reports < reportsBeforeFirstMove)
        assessment.stayReason = StayReason::TooFewReports;
    if (assessment.stayReason != StayReason::None)
        return assessment;
    assessment.forecast = forecastLoads(estimate);
    assessment.problem = {assessment.forecast.shares, assessment.forecast.noise};
    assessment.currentSkew = expectedSkew(group, placement.map, assessment.problem);
    assessment.greedySkew =
        expectedSkew(group, greedyLayerMap(group, assessment.problem.loads), assessment.problem);
    const bool drifted = hasDrifted(group, placement.basis, assessment.forecast);
    assessment.neededGain = neededGain(group, placement, assessment.forecast, drifted);
    if (assessment.currentSkew - assessment.greedySkew < assessment.neededGain)
        assessment.stayReason = drifted ? StayReason::GainWithinNoise : StayReason::NoDrift;
    return assessment;
}

/// Improves the current map step by step. If the result stays well above a greedy map, restarts
/// from sticky maps, which leave only those experts in place that fit below a ceiling. Restarts are
/// skipped when the staging capacity is limited, because sticky maps copy too much at once.
SearchResult searchLayer(const RankGroup &group, const LayerMap &current,
                         const LayerAssessment &assessment, const SearchLimits &limits,
                         SearchBudget &budget)
{
    SearchResult best;
    best.map = current;
    best.currentSkew = assessment.currentSkew;
    best.foundSkew = assessment.currentSkew;
    const bool boundedCapacity = !limits.stagingCapacity.empty();
    if (boundedCapacity || assessment.currentSkew < assessment.greedySkew + maxIncrementalSkew)
        best = improveLayerMap(group, current, current, assessment.problem, limits, budget);
    if (boundedCapacity || best.foundSkew < assessment.greedySkew + restartSkew)
        return best;
    for (const double ceiling : restartCeilings) {
        if (budget.terms == 0 && best.moves > 0)
            break;
        const LayerMap start = stickyLayerMap(group, assessment.problem.loads, current, ceiling);
        SearchResult found =
            improveLayerMap(group, current, start, assessment.problem, limits, budget);
        const double foundCost = limits.minGainPerReplica * found.moves;
        if (found.foundSkew + foundCost < best.foundSkew + limits.minGainPerReplica * best.moves)
            best = std::move(found);
    }
    return best;
}

LayerDecision decideLayer(const RankGroup &group, const LayerPlacement &placement,
                          const LayerAssessment &assessment,
                          std::vector<std::uint32_t> &stagingCapacity, SearchBudget &budget)
{
    LayerDecision decision;
    decision.layer = assessment.layer;
    decision.stayReason = assessment.stayReason;
    if (assessment.stayReason != StayReason::None)
        return decision;
    SearchLimits limits;
    limits.maxMoves = slotsOf(group);
    limits.minGainPerReplica = paybackGain(group, assessment.forecast);
    limits.stagingCapacity = stagingCapacity;
    SearchResult found = searchLayer(group, placement.map, assessment, limits, budget);
    if (found.moves == 0)
        decision.stayReason = StayReason::NoPayback;
    else if (found.currentSkew - found.foundSkew < assessment.neededGain)
        decision.stayReason = StayReason::GainWithinNoise;
    else if (!reserveStagingCapacity(stagingCapacity, placement.map, found.map))
        decision.stayReason = StayReason::NoStagingCapacity;
    if (decision.stayReason != StayReason::None)
        return decision;
    decision.next = std::move(found.map);
    decision.currentSkew = found.currentSkew;
    decision.nextSkew = found.foundSkew;
    decision.moves = found.moves;
    decision.basis = {assessment.forecast.shares, assessment.forecast.uncertainty,
                      assessment.forecast.settled, speedsOf(group)};
    return decision;
}

} // namespace

PlacementDecision decideCostAware(const RankGroup &group, const PlacementState &state,
                                  std::vector<std::uint32_t> stagingCapacity)
{
    std::vector<LayerAssessment> assessments;
    for (std::uint32_t layer = 0; layer < state.layers.size(); ++layer)
        assessments.push_back(assessLayer(group, state.layers[layer], layer));
    std::stable_sort(assessments.begin(), assessments.end(),
                     [](const LayerAssessment &a, const LayerAssessment &b) {
                         return a.currentSkew - a.greedySkew > b.currentSkew - b.greedySkew;
                     });
    SearchBudget budget{maxDecisionTerms};
    PlacementDecision decision;
    decision.layers.resize(state.layers.size());
    for (const LayerAssessment &assessment : assessments) {
        decision.layers[assessment.layer] =
            decideLayer(group, state.layers[assessment.layer], assessment, stagingCapacity, budget);
    }
    return decision;
}

} // namespace wisteria
