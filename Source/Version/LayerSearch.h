#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "Version/ExpertMap.h"
#include "Version/PlacementSearch.h"

namespace wisteria {

/// Denotes no slot: a step's expert goes into a free slot, or the step is no exchange.
inline constexpr std::size_t noSlot = std::numeric_limits<std::size_t>::max();

/// One step of the search: `rank` replaces the expert in `slot` by `expert`, or adds it in a free
/// slot. In an exchange, `otherRank` replaces `expert` in `otherSlot` by the expert that `rank`
/// drops.
struct SearchStep
{
    std::size_t rank = 0;
    std::size_t slot = noSlot;
    ExpertId expert = 0;
    std::size_t otherRank = 0;
    std::size_t otherSlot = noSlot;
    /// Replicas that the step places: 1, or 2 for an exchange. Also counts replicas that the rank
    /// has in the map in force and need not copy.
    std::uint32_t placed = 0;
    /// Change of the sum whose logarithm expectedSkew() takes; negative for a gain.
    double change = 0;

    bool isExchange() const { return otherSlot != noSlot; }
};

/// Working state of the search: the map, and for each rank the mean and variance of its time and
/// its term exp(k mean + k^2 variance / 2) of the sum whose logarithm expectedSkew() takes.
class LayerSearch
{
public:
    /// @param current The map in force, whose replicas need no copy.
    LayerSearch(const RankGroup &group, const LayerMap &current, const LayerMap &start,
                const SearchProblem &problem, const SearchLimits &limits, SearchBudget &budget);

    /// Returns the expected skew of the map with the steps applied so far.
    double skew() const;

    /// Returns the gain in expected skew from a change of the sum.
    double gainOf(double change) const;

    const LayerMap &map() const { return map_; }

    /// Evaluates the steps that involve the busiest rank and keeps, for each partner rank, the one
    /// with the lowest change of the sum per placed replica. Steps in which the busiest rank only
    /// replaces one of its experts by another are evaluated when no other step lowers the sum.
    /// @return The kept steps, the best first; even the first one may raise the sum.
    const std::vector<SearchStep> &scan();

    /// Applies a step to the map.
    void apply(const SearchStep &step);

private:
    /// Whether the rank has the expert; unrelated to a hold of the group.
    bool holds(std::size_t rank, ExpertId expert) const { return held_[index(rank, expert)]; }
    bool needsCopy(std::size_t rank, ExpertId expert) const
    {
        return currentHeld_[index(rank, expert)] == 0;
    }
    std::size_t index(std::size_t rank, ExpertId expert) const
    {
        return rank * loads_.size() + expert;
    }
    double exponent(double mean, double variance) const;
    void computeTimes();
    void computeSum();
    void chooseSharpness();
    bool hasCapacity(std::size_t rank, ExpertId expert) const;
    void addRankChange(std::size_t rank, double load, double square);
    void addHolderChanges(ExpertId expert, std::size_t from, std::size_t to);
    double evaluateChange();
    double maxPartnerTime() const;
    double replaceChange(std::size_t rank, std::size_t slot, ExpertId expert);
    double exchangeChange(std::size_t rank, std::size_t slot, std::size_t otherRank,
                          std::size_t otherSlot);
    void consider(std::size_t partner, const SearchStep &step);
    void considerFurtherReplica(std::size_t busiest, ExpertId expert, std::size_t rank);
    void considerExchange(std::size_t busiest, std::size_t slot, std::size_t rank);
    void considerReplacement(std::size_t busiest, std::size_t slot);
    void assignSlot(std::size_t rank, std::size_t slot, ExpertId expert);

    const RankGroup &group_;
    const SearchLimits &limits_;
    SearchBudget &budget_;
    LayerMap map_;
    std::vector<double> loads_;
    double relativeVariance_;
    /// k in expectedSkew().
    double sharpness_ = 0;
    std::vector<char> held_;
    /// Experts that each rank has in the map in force, and the number that it has to copy so far.
    /// Both are stored because every evaluated step checks the staging capacity.
    std::vector<char> currentHeld_;
    std::vector<std::uint32_t> copied_;
    std::vector<std::vector<std::size_t>> holders_;
    std::vector<double> mean_;
    std::vector<double> variance_;
    std::vector<double> terms_;
    double sum_ = 0;
    // Scratch space of one evaluation: the changes of the ranks involved.
    std::vector<double> loadChange_;
    std::vector<double> squareChange_;
    std::vector<std::size_t> changedRanks_;
    std::vector<SearchStep> steps_;
};

} // namespace wisteria
