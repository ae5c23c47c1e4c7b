#include "Version/LayerSearch.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace wisteria {

namespace {

/// Range of k, see expectedSkew(). Below it the bound is loose; above it the bound equals the plain
/// maximum.
constexpr double minSharpness = 20;
constexpr double maxSharpness = 300;
/// Maximum argument of the exponential; the sum over all ranks stays finite.
constexpr double maxExponent = 600;

/// Returns the loads scaled so that a balanced group's time is 1.
std::vector<double> scaledLoads(const RankGroup &group, const std::vector<double> &loads)
{
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    double speed = 0;
    for (const RankCapacity &rank : group.ranks)
        speed += rank.speed;
    std::vector<double> scaled = loads;
    for (double &load : scaled)
        load = total > 0 ? load * speed / total : 0;
    return scaled;
}

} // namespace

LayerSearch::LayerSearch(const RankGroup &group, const LayerMap &current, const LayerMap &start,
                         const SearchProblem &problem, const SearchLimits &limits,
                         SearchBudget &budget)
    : group_(group), limits_(limits), budget_(budget), map_(start),
      loads_(scaledLoads(group, problem.loads)), relativeVariance_(problem.noise * problem.noise),
      held_(group.ranks.size() * loads_.size(), 0), currentHeld_(held_),
      copied_(group.ranks.size(), 0), holders_(loads_.size()), loadChange_(group.ranks.size(), 0.0),
      squareChange_(group.ranks.size(), 0.0)
{
    for (std::size_t rank = 0; rank < map_.ranks.size(); ++rank) {
        for (const ExpertId expert : current.ranks[rank])
            currentHeld_[index(rank, expert)] = 1;
        for (const ExpertId expert : map_.ranks[rank]) {
            held_[index(rank, expert)] = 1;
            holders_[expert].push_back(rank);
            copied_[rank] += needsCopy(rank, expert) ? 1 : 0;
        }
    }
    computeTimes();
    chooseSharpness();
    computeSum();
}

double LayerSearch::skew() const
{
    return 1.0 + std::log(sum_) / sharpness_;
}

double LayerSearch::gainOf(double change) const
{
    return -std::log1p(change / sum_) / sharpness_;
}

double LayerSearch::exponent(double mean, double variance) const
{
    return sharpness_ * (mean - 1.0) + sharpness_ * sharpness_ * variance / 2;
}

void LayerSearch::computeTimes()
{
    mean_.assign(map_.ranks.size(), 0.0);
    variance_.assign(map_.ranks.size(), 0.0);
    for (std::size_t rank = 0; rank < map_.ranks.size(); ++rank) {
        const double speed = group_.ranks[rank].speed;
        for (const ExpertId expert : map_.ranks[rank]) {
            const double share = loads_[expert] / static_cast<double>(holders_[expert].size());
            mean_[rank] += share / speed;
            variance_[rank] += relativeVariance_ * share * share / (speed * speed);
        }
    }
}

void LayerSearch::computeSum()
{
    terms_.resize(mean_.size());
    for (std::size_t rank = 0; rank < mean_.size(); ++rank)
        terms_[rank] = std::exp(exponent(mean_[rank], variance_[rank]));
    sum_ = std::accumulate(terms_.begin(), terms_.end(), 0.0);
}

/// Chooses k. The bound on the maximum of n normal variables is tightest at
/// k = sqrt(2 log n) / deviation. A rank whose time is far above the others would overflow the
/// exponential; k is reduced then, as only that rank contributes anyway.
void LayerSearch::chooseSharpness()
{
    const double ranks = static_cast<double>(mean_.size());
    const double variance = std::accumulate(variance_.begin(), variance_.end(), 0.0) / ranks;
    sharpness_ = maxSharpness;
    if (variance > 0) {
        const double tightest = std::sqrt(2 * std::log(std::max(ranks, 2.0)) / variance);
        sharpness_ = std::clamp(tightest, minSharpness, maxSharpness);
    }
    for (std::size_t rank = 0; rank < mean_.size(); ++rank) {
        while (exponent(mean_[rank], variance_[rank]) > maxExponent)
            sharpness_ /= 2;
    }
}

bool LayerSearch::hasCapacity(std::size_t rank, ExpertId expert) const
{
    if (limits_.stagingCapacity.empty())
        return true;
    return copied_[rank] + (needsCopy(rank, expert) ? 1 : 0) <= limits_.stagingCapacity[rank];
}

void LayerSearch::addRankChange(std::size_t rank, double load, double square)
{
    if (loadChange_[rank] == 0 && squareChange_[rank] == 0)
        changedRanks_.push_back(rank);
    loadChange_[rank] += load;
    squareChange_[rank] += square;
}

/// Adds the load changes of an expert's current holders when its number of replicas changes from
/// `from` to `to`.
void LayerSearch::addHolderChanges(ExpertId expert, std::size_t from, std::size_t to)
{
    const double before = loads_[expert] / static_cast<double>(from);
    const double after = loads_[expert] / static_cast<double>(to);
    for (const std::size_t holder : holders_[expert])
        addRankChange(holder, after - before, after * after - before * before);
}

/// Returns the change of the sum from the rank changes added since the last call, and clears them.
double LayerSearch::evaluateChange()
{
    double change = 0;
    budget_.terms -= std::min<std::uint64_t>(budget_.terms, changedRanks_.size());
    for (const std::size_t rank : changedRanks_) {
        const double speed = group_.ranks[rank].speed;
        const double mean = mean_[rank] + loadChange_[rank] / speed;
        const double square = squareChange_[rank] * relativeVariance_ / (speed * speed);
        change += std::exp(exponent(mean, variance_[rank] + square)) - terms_[rank];
        loadChange_[rank] = 0;
        squareChange_[rank] = 0;
    }
    changedRanks_.clear();
    return change;
}

double LayerSearch::replaceChange(std::size_t rank, std::size_t slot, ExpertId expert)
{
    const std::size_t replicas = holders_[expert].size();
    addHolderChanges(expert, replicas, replicas + 1);
    const double added = loads_[expert] / static_cast<double>(replicas + 1);
    addRankChange(rank, added, added * added);
    if (slot != noSlot) {
        const ExpertId dropped = map_.ranks[rank][slot];
        const std::size_t left = holders_[dropped].size() - 1;
        addHolderChanges(dropped, left + 1, left);
        const double share = loads_[dropped] / static_cast<double>(left);
        addRankChange(rank, -share, -share * share);
    }
    return evaluateChange();
}

double LayerSearch::exchangeChange(std::size_t rank, std::size_t slot, std::size_t otherRank,
                                   std::size_t otherSlot)
{
    const ExpertId outgoing = map_.ranks[rank][slot];
    const ExpertId incoming = map_.ranks[otherRank][otherSlot];
    const double outgoingLoad = loads_[outgoing] / static_cast<double>(holders_[outgoing].size());
    const double incomingLoad = loads_[incoming] / static_cast<double>(holders_[incoming].size());
    addRankChange(rank, incomingLoad - outgoingLoad,
                  incomingLoad * incomingLoad - outgoingLoad * outgoingLoad);
    addRankChange(otherRank, outgoingLoad - incomingLoad,
                  outgoingLoad * outgoingLoad - incomingLoad * incomingLoad);
    return evaluateChange();
}

void LayerSearch::consider(std::size_t partner, const SearchStep &step)
{
    SearchStep &best = steps_[partner];
    if (best.placed == 0 || step.change / step.placed < best.change / best.placed)
        best = step;
}

/// Evaluates adding a replica of one of the busiest rank's experts on another rank.
void LayerSearch::considerFurtherReplica(std::size_t busiest, ExpertId expert, std::size_t rank)
{
    if (holds(rank, expert) || mean_[rank] >= mean_[busiest] || !hasCapacity(rank, expert))
        return;
    if (map_.ranks[rank].size() < group_.ranks[rank].slots)
        consider(rank, {rank, noSlot, expert, 0, noSlot, 1, replaceChange(rank, noSlot, expert)});
    for (std::size_t slot = 0; slot < map_.ranks[rank].size(); ++slot) {
        if (holders_[map_.ranks[rank][slot]].size() < 2)
            continue;
        consider(rank, {rank, slot, expert, 0, noSlot, 1, replaceChange(rank, slot, expert)});
    }
}

/// Evaluates exchanging an expert of the busiest rank for the least loaded expert of another rank
/// that the busiest rank can take. Evaluating the more loaded ones too takes longer and leads
/// to the same maps.
void LayerSearch::considerExchange(std::size_t busiest, std::size_t slot, std::size_t rank)
{
    const ExpertId outgoing = map_.ranks[busiest][slot];
    if (holds(rank, outgoing) || mean_[rank] >= mean_[busiest] || !hasCapacity(rank, outgoing))
        return;
    std::size_t lightest = noSlot;
    double minLoad = 0;
    for (std::size_t otherSlot = 0; otherSlot < map_.ranks[rank].size(); ++otherSlot) {
        const ExpertId incoming = map_.ranks[rank][otherSlot];
        const double share = loads_[incoming] / static_cast<double>(holders_[incoming].size());
        if (holds(busiest, incoming) || !hasCapacity(busiest, incoming))
            continue;
        if (lightest != noSlot && share >= minLoad)
            continue;
        lightest = otherSlot;
        minLoad = share;
    }
    if (lightest == noSlot)
        return;
    const double change = exchangeChange(busiest, slot, rank, lightest);
    consider(rank, {busiest, slot, map_.ranks[rank][lightest], rank, lightest, 2, change});
}

/// Evaluates replacing a replicated expert of the busiest rank by another expert.
void LayerSearch::considerReplacement(std::size_t busiest, std::size_t slot)
{
    if (holders_[map_.ranks[busiest][slot]].size() < 2)
        return;
    for (ExpertId expert = 0; expert < loads_.size(); ++expert) {
        if (holds(busiest, expert) || !hasCapacity(busiest, expert))
            continue;
        const double change = replaceChange(busiest, slot, expert);
        consider(busiest, {busiest, slot, expert, 0, noSlot, 1, change});
    }
}

/// Returns the maximum time of a rank that a step may involve as a partner.
double LayerSearch::maxPartnerTime() const
{
    if (limits_.maxPartners == 0 || limits_.maxPartners >= mean_.size())
        return std::numeric_limits<double>::infinity();
    std::vector<double> times = mean_;
    const auto last = times.begin() + limits_.maxPartners;
    std::nth_element(times.begin(), last, times.end());
    return *last;
}

const std::vector<SearchStep> &LayerSearch::scan()
{
    const double timeLimit = maxPartnerTime();
    steps_.assign(map_.ranks.size(), SearchStep());
    const auto largest = std::max_element(terms_.begin(), terms_.end());
    const auto busiest = static_cast<std::size_t>(largest - terms_.begin());
    for (std::size_t slot = 0; slot < map_.ranks[busiest].size(); ++slot) {
        for (std::size_t rank = 0; rank < map_.ranks.size(); ++rank) {
            if (rank == busiest || mean_[rank] > timeLimit)
                continue;
            considerFurtherReplica(busiest, map_.ranks[busiest][slot], rank);
            considerExchange(busiest, slot, rank);
        }
    }
    // Replacing an expert of the busiest rank rarely lowers the sum, and uses up that rank's
    // staging capacity when it does. Evaluated along with the other steps, replacements take most
    // of the work and lead to worse maps.
    const bool improves = std::any_of(steps_.begin(), steps_.end(),
                                      [](const SearchStep &step) { return step.change < 0; });
    for (std::size_t slot = 0; slot < map_.ranks[busiest].size() && !improves; ++slot)
        considerReplacement(busiest, slot);
    std::erase_if(steps_, [](const SearchStep &step) { return step.placed == 0; });
    std::stable_sort(steps_.begin(), steps_.end(), [](const SearchStep &a, const SearchStep &b) {
        return a.change / a.placed < b.change / b.placed;
    });
    return steps_;
}

void LayerSearch::assignSlot(std::size_t rank, std::size_t slot, ExpertId expert)
{
    if (slot == noSlot) {
        map_.ranks[rank].push_back(expert);
    } else {
        ExpertId &held = map_.ranks[rank][slot];
        held_[index(rank, held)] = 0;
        copied_[rank] -= needsCopy(rank, held) ? 1 : 0;
        std::vector<std::size_t> &holders = holders_[held];
        holders.erase(std::find(holders.begin(), holders.end(), rank));
        held = expert;
    }
    held_[index(rank, expert)] = 1;
    copied_[rank] += needsCopy(rank, expert) ? 1 : 0;
    holders_[expert].push_back(rank);
}

void LayerSearch::apply(const SearchStep &step)
{
    if (step.isExchange()) {
        const ExpertId outgoing = map_.ranks[step.rank][step.slot];
        assignSlot(step.rank, step.slot, step.expert);
        assignSlot(step.otherRank, step.otherSlot, outgoing);
    } else {
        assignSlot(step.rank, step.slot, step.expert);
    }
    // Recomputed in full, so that rounding errors don't accumulate over many steps.
    computeTimes();
    computeSum();
}

} // namespace wisteria
