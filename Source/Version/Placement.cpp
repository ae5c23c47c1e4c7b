#include "Version/Placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "Version/PlacementCostAware.h"
#include "Version/PlacementGreedy.h"

namespace wisteria {

namespace {

constexpr std::chrono::minutes periodicInterval(10);
constexpr std::array<std::pair<const char *, PlacementPolicy>, 4> policyNames = {{
    {"static", PlacementPolicy::Static},
    {"greedy", PlacementPolicy::Greedy},
    {"periodic", PlacementPolicy::Periodic},
    {"wisteria", PlacementPolicy::CostAware},
}};

LayerDecision unchangedLayer(std::uint32_t layer, StayReason reason)
{
    LayerDecision decision;
    decision.layer = layer;
    decision.stayReason = reason;
    return decision;
}

LayerDecision decideGreedy(const RankGroup &group, const LayerPlacement &placement,
                           std::uint32_t layer)
{
    if (placement.newestLoads.empty()
        || placement.reportsAtLastDecision == placement.estimate.reports)
        return unchangedLayer(layer, StayReason::NoNewReport);
    LayerDecision decision;
    decision.layer = layer;
    decision.next = greedyLayerMap(group, placement.newestLoads);
    decision.moves = countMoves(placement.map, *decision.next);
    if (decision.moves == 0)
        return unchangedLayer(layer, StayReason::GainWithinNoise);
    return decision;
}

/// Returns the number of replicas that each rank can stage beside those that it holds; empty when
/// no rank's memory is limited.
std::vector<std::uint32_t> stagingCapacityOf(const RankGroup &group, const PlacementState &state)
{
    const bool bounded = std::any_of(group.ranks.begin(), group.ranks.end(),
                                     [](const RankCapacity &rank) { return rank.memoryBytes > 0; });
    if (!bounded || group.expertBytes == 0)
        return {};
    std::vector<std::uint32_t> capacity(group.ranks.size());
    for (std::size_t rank = 0; rank < capacity.size(); ++rank) {
        std::uint64_t held = 0;
        for (const LayerPlacement &layer : state.layers)
            held += layer.map.ranks[rank].size();
        const std::uint64_t fitting = group.ranks[rank].memoryBytes / group.expertBytes;
        const std::uint64_t free = fitting > held ? fitting - held : 0;
        const bool unbounded = group.ranks[rank].memoryBytes == 0;
        constexpr std::uint64_t maxReplicas = std::numeric_limits<std::uint32_t>::max();
        capacity[rank] =
            static_cast<std::uint32_t>(unbounded ? maxReplicas : std::min(free, maxReplicas));
    }
    return capacity;
}

/// Decides on one layer for the policies that treat each layer separately.
LayerDecision decideLayer(PlacementPolicy policy, const RankGroup &group,
                          const LayerPlacement &placement, std::uint32_t layer, bool periodicDue)
{
    if (policy == PlacementPolicy::Static)
        return unchangedLayer(layer, StayReason::PolicyNeverMoves);
    if (policy == PlacementPolicy::Periodic && !periodicDue)
        return unchangedLayer(layer, StayReason::NotDue);
    return decideGreedy(group, placement, layer);
}

PlacementDecision decideLayers(PlacementPolicy policy, const RankGroup &group,
                               const PlacementState &state, bool periodicDue)
{
    std::vector<std::uint32_t> stagingCapacity = stagingCapacityOf(group, state);
    if (policy == PlacementPolicy::CostAware)
        return decideCostAware(group, state, std::move(stagingCapacity));
    PlacementDecision decision;
    for (std::uint32_t layer = 0; layer < state.layers.size(); ++layer) {
        const LayerPlacement &placement = state.layers[layer];
        LayerDecision next = decideLayer(policy, group, placement, layer, periodicDue);
        if (next.next && !reserveStagingCapacity(stagingCapacity, placement.map, *next.next))
            next = unchangedLayer(layer, StayReason::NoStagingCapacity);
        decision.layers.push_back(std::move(next));
    }
    return decision;
}

PlacementDecision stayWhileSwitching(const PlacementState &state)
{
    PlacementDecision decision;
    for (std::uint32_t layer = 0; layer < state.layers.size(); ++layer)
        decision.layers.push_back(unchangedLayer(layer, StayReason::SwitchPending));
    return decision;
}

bool isPeriodicDue(const PlacementState &state, TimePoint now)
{
    const bool reported =
        std::any_of(state.layers.begin(), state.layers.end(),
                    [](const LayerPlacement &layer) { return layer.estimate.reports > 0; });
    return reported
        && (!state.lastPeriodicDecision || now - *state.lastPeriodicDecision >= periodicInterval);
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
        return "loads and ranks still match those that the current map was computed for";
    case StayReason::NoNewReport:
        return "no load report arrived since the last decision";
    case StayReason::TooFewReports:
        return "too few load reports arrived to distinguish load from noise";
    case StayReason::GainWithinNoise:
        return "the gain is not larger than the noise";
    case StayReason::NoPayback:
        return "no move would pay back before the loads drift";
    case StayReason::NoStagingCapacity:
        return "a rank lacks the memory to stage new weights beside the old ones";
    case StayReason::SwitchPending:
        return "an earlier switch is in progress";
    }
    return "unknown";
}

bool PlacementDecision::hasNewMap() const
{
    return std::any_of(layers.begin(), layers.end(),
                       [](const LayerDecision &layer) { return layer.next.has_value(); });
}

Result<PlacementState> initialPlacement(const RankGroup &group, const ExpertMap &map)
{
    BOOST_OUTCOME_TRYV(checkRankGroup(group));
    if (map.layers.size() != group.layers) {
        return failure(ErrorKind::BadInput,
                       "the map has " + std::to_string(map.layers.size())
                           + " layers, but the group has " + std::to_string(group.layers)
                           + "; use a map for this group");
    }
    PlacementState state;
    for (const LayerMap &layer : map.layers) {
        BOOST_OUTCOME_TRYV(checkLayerMap(group, layer));
        state.layers.emplace_back();
        state.layers.back().map = layer;
    }
    return state;
}

Result<void> addLoadReport(const RankGroup &group, PlacementState &state, const LoadReport &report)
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
    if (state.switching)
        return stayWhileSwitching(state);
    const bool periodicDue = isPeriodicDue(state, now);
    PlacementDecision decision = decideLayers(policy, group, state, periodicDue);
    for (LayerPlacement &layer : state.layers)
        layer.reportsAtLastDecision = layer.estimate.reports;
    if (periodicDue)
        state.lastPeriodicDecision = now;
    state.switching = decision.hasNewMap();
    return decision;
}

void endSwitch(PlacementState &state, const PlacementDecision &decision, bool inForce)
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
