#include "Version/PlacementStaging.h"

#include <algorithm>
#include <chrono>

namespace wisteria {

namespace {

struct Replica
{
    std::uint32_t layer;
    ExpertId expert;
};

Result<void> checkMap(const RankGroup &group, const ExpertMap &map)
{
    if (map.layers.size() != group.layers) {
        return failure(ErrorKind::BadInput,
                       "the map has " + std::to_string(map.layers.size())
                           + " layers, but the group has " + std::to_string(group.layers)
                           + "; use a map for this group");
    }
    for (const LayerMap &layer : map.layers) {
        BOOST_OUTCOME_TRYV(checkLayerMap(group, layer));
    }
    return boost::outcome_v2::success();
}

std::vector<Replica> replicasToCopy(const ExpertMap &current, const ExpertMap &next,
                                    std::size_t rank)
{
    std::vector<Replica> replicas;
    for (std::uint32_t layer = 0; layer < next.layers.size(); ++layer) {
        const std::vector<ExpertId> &held = current.layers[layer].ranks[rank];
        for (const ExpertId expert : missingExperts(held, next.layers[layer].ranks[rank]))
            replicas.push_back({layer, expert});
    }
    return replicas;
}

/// Checks that a rank can hold its current replicas and the staged ones together. Otherwise it
/// would run out of memory during the staging, while the old replicas are in use; a refusal in
/// advance leaves the group unchanged.
Result<void> checkCapacity(const RankGroup &group, const ExpertMap &current, std::size_t rank,
                           std::size_t staged)
{
    std::uint64_t held = staged;
    for (const LayerMap &layer : current.layers)
        held += layer.ranks[rank].size();
    const std::uint64_t memory = group.ranks[rank].memoryBytes;
    if (memory == 0 || held * group.expertBytes <= memory)
        return boost::outcome_v2::success();
    return failure(ErrorKind::BadInput,
                   "rank " + std::to_string(rank) + " needs "
                       + std::to_string(held * group.expertBytes) + " bytes while staging but has "
                       + std::to_string(memory)
                       + "; switch fewer experts at a time or declare fewer slots");
}

/// Returns the time to transfer `bytes`, rounded up. It is computed from the total of all
/// transfers: rounding each transfer would make the plan slower than the store's rate.
milliseconds transferTime(const RankGroup &group, std::uint64_t bytes)
{
    const double needed = static_cast<double>(bytes) / group.storeBytesPerSecond;
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(needed));
}

} // namespace

Result<StagingPlan> planStaging(const RankGroup &group, const ExpertMap &current,
                                const ExpertMap &next)
{
    BOOST_OUTCOME_TRYV(checkRankGroup(group));
    BOOST_OUTCOME_TRYV(checkMap(group, current));
    BOOST_OUTCOME_TRYV(checkMap(group, next));
    std::vector<std::vector<Replica>> perRank;
    std::size_t maxTransfers = 0;
    for (std::size_t rank = 0; rank < group.ranks.size(); ++rank) {
        perRank.push_back(replicasToCopy(current, next, rank));
        BOOST_OUTCOME_TRYV(checkCapacity(group, current, rank, perRank.back().size()));
        maxTransfers = std::max(maxTransfers, perRank.back().size());
    }
    StagingPlan plan;
    std::uint64_t bytes = 0;
    for (std::size_t round = 0; round < maxTransfers; ++round) {
        for (std::size_t rank = 0; rank < perRank.size(); ++rank) {
            if (round >= perRank[rank].size())
                continue;
            StagedTransfer transfer;
            transfer.rank = static_cast<std::uint32_t>(rank);
            transfer.layer = perRank[rank][round].layer;
            transfer.expert = perRank[rank][round].expert;
            transfer.bytes = group.expertBytes;
            transfer.bytesPerSecond = group.storeBytesPerSecond;
            transfer.beginAfter = transferTime(group, bytes);
            bytes += group.expertBytes;
            transfer.endAfter = transferTime(group, bytes);
            plan.transfers.push_back(transfer);
        }
    }
    plan.duration = transferTime(group, bytes);
    return plan;
}

} // namespace wisteria
