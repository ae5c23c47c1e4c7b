#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "Version/ExpertMap.h"
#include "Version/PlacementSearch.h"

namespace wisteria {

/// Stands for a free slot.
inline constexpr std::size_t noSlot = std::numeric_limits<std::size_t>::max();

/// One step of the search: on `rank`, the expert in `slot` gives way to `expert` (or a free slot
/// takes it); in an exchange, the rank `other` takes the former expert in place of `expert`.
struct SearchStep
{
    std::size_t rank = 0;
    std::size_t slot = noSlot;
    ExpertId expert = 0;
    std::size_t other = 0;
    std::size_t otherSlot = noSlot;
    std::uint32_t moves = 0;
    /// Change of the sum that the skew is the logarithm of; below 0 for a gain.
    double change = 0;

    bool isExchange() const { return otherSlot != noSlot; }
};

/// The search's working state: the map, and of each rank the mean and variance of its time and its
/// term of the sum that expectedSkew() takes the logarithm of.
class LayerSearch
{
public:
    /// @param current The map in force, which the moves are counted from.
    LayerSearch(const RankGroup &group, const LayerMap &current, const LayerMap &start,
                const SearchProblem &problem, const SearchLimits &limits, SearchBudget &budget);

    /// Expected skew of the map as it stands.
    double skew() const;

    /// Expected skew that a change of the sum gains.
    double gainOf(double change) const;

    const LayerMap &map() const { return map_; }

    /// Looks at the steps that touch the busiest rank and keeps, for each other rank that takes
    /// part, the one that lowers the sum most a loaded replica or raises it least. Steps in which
    /// the busiest rank only drops an expert for another one come in when no other step lowers it.
    /// @return Those steps, the best first; the first may still be a loss.
    const std::vector<SearchStep> &scan();

    /// Changes the map by a step.
    void apply(const SearchStep &step);

private:
    bool holds(std::size_t rank, ExpertId expert) const { return held_[index(rank, expert)]; }
    bool isNew(std::size_t rank, ExpertId expert) const
    {
        return currentHeld_[index(rank, expert)] == 0;
    }
    std::size_t index(std::size_t rank, ExpertId expert) const
    {
        return rank * loads_.size() + expert;
    }
    double exponent(double mean, double variance) const;
    void setUpRanks();
    void setUpSum();
    void chooseSharpness();
    bool hasCapacity(std::size_t rank, ExpertId expert) const;
    void touch(std::size_t rank, double load, double square);
    void touchHolders(ExpertId expert, std::size_t from, std::size_t to);
    double touchedChange();
    double partnersUpTo() const;
    double replaceChange(std::size_t rank, std::size_t slot, ExpertId expert);
    double exchangeChange(std::size_t rank, std::size_t slot, std::size_t other,
                          std::size_t otherSlot);
    void consider(std::size_t partner, const SearchStep &step);
    void considerFurtherReplica(std::size_t busiest, ExpertId expert, std::size_t rank);
    void considerExchange(std::size_t busiest, std::size_t slot, std::size_t rank);
    void considerDrop(std::size_t busiest, std::size_t slot);
    void place(std::size_t rank, std::size_t slot, ExpertId expert);

    const RankGroup &group_;
    const SearchLimits &limits_;
    SearchBudget &budget_;
    LayerMap map_;
    std::vector<double> loads_;
    double relativeVariance_;
    double sharpness_ = 0;
    std::vector<char> held_;
    /// What each rank holds by the map in force, and how many experts are new to it by now. Room
    /// for copies is asked for at every step that is looked at.
    std::vector<char> currentHeld_;
    std::vector<std::uint32_t> copied_;
    std::vector<std::vector<std::size_t>> holders_;
    std::vector<double> mean_;
    std::vector<double> variance_;
    std::vector<double> terms_;
    double sum_ = 0;
    // Scratch of one evaluation: changes of the touched ranks.
    std::vector<double> loadChange_;
    std::vector<double> squareChange_;
    std::vector<std::size_t> touched_;
    std::vector<SearchStep> steps_;
};

} // namespace wisteria
