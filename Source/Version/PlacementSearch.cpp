#include "Version/PlacementSearch.h"

#include <algorithm>
#include <optional>

#include "Version/LayerSearch.h"

namespace wisteria {

namespace {

/// Number of first steps that are tried with a second step when no single step is worthwhile. More
/// take longer and lead to the same skew.
constexpr std::size_t lookAheadWidth = 2;

/// Steps that are applied together.
struct StepPlan
{
    std::vector<SearchStep> steps;
    /// Sum of SearchStep::placed.
    std::uint32_t placed = 0;
    double gain = 0;
};

bool isWorthwhile(const StepPlan &plan, const SearchLimits &limits)
{
    return plan.placed > 0 && plan.gain > 0 && plan.gain / plan.placed >= limits.minGainPerReplica;
}

StepPlan planOf(const LayerSearch &search, const SearchStep &step)
{
    return {{step}, step.placed, search.gainOf(step.change)};
}

/// Combines each of the best first steps with its best second step. A hot expert may fit on another
/// rank only after that rank hands off other load: the first step alone makes that rank the
/// straggler, and only a second step relieves it.
StepPlan planTwoSteps(const LayerSearch &search, const std::vector<SearchStep> &firstSteps,
                      const SearchLimits &limits)
{
    StepPlan best;
    const std::size_t width = std::min(lookAheadWidth, firstSteps.size());
    for (std::size_t i = 0; i < width; ++i) {
        LayerSearch ahead = search;
        ahead.apply(firstSteps[i]);
        const std::vector<SearchStep> &secondSteps = ahead.scan();
        if (secondSteps.empty())
            continue;
        const SearchStep &second = secondSteps.front();
        StepPlan plan{{firstSteps[i], second}, firstSteps[i].placed + second.placed, 0};
        plan.gain = search.skew() - (ahead.skew() - ahead.gainOf(second.change));
        const bool better = best.placed == 0 || plan.gain / plan.placed > best.gain / best.placed;
        if (isWorthwhile(plan, limits) && better)
            best = plan;
    }
    return best;
}

StepPlan nextSteps(LayerSearch &search, const SearchLimits &limits)
{
    const std::vector<SearchStep> steps = search.scan();
    if (steps.empty())
        return {};
    if (steps.front().change < 0) {
        StepPlan plan = planOf(search, steps.front());
        if (isWorthwhile(plan, limits))
            return plan;
    }
    return planTwoSteps(search, steps, limits);
}

} // namespace

double expectedSkew(const RankGroup &group, const LayerMap &map, const SearchProblem &problem)
{
    const SearchLimits limits;
    SearchBudget budget;
    return LayerSearch(group, map, map, problem, limits, budget).skew();
}

SearchResult improveLayerMap(const RankGroup &group, const LayerMap &current, const LayerMap &start,
                             const SearchProblem &problem, const SearchLimits &limits,
                             SearchBudget &budget)
{
    LayerSearch search(group, current, start, problem, limits, budget);
    SearchResult result;
    result.map = start;
    result.foundSkew = search.skew();
    result.currentSkew =
        start == current ? result.foundSkew : expectedSkew(group, current, problem);
    // Every plan lowers the skew, so the search ends; the bounds limit its time.
    for (std::uint32_t round = 0; round < limits.maxMoves && budget.terms > 0; ++round) {
        const StepPlan plan = nextSteps(search, limits);
        if (!isWorthwhile(plan, limits))
            break;
        for (const SearchStep &step : plan.steps)
            search.apply(step);
        if (countMoves(current, search.map()) > limits.maxMoves)
            break;
        result.map = search.map();
        result.foundSkew = search.skew();
    }
    result.moves = countMoves(current, result.map);
    return result;
}

} // namespace wisteria
