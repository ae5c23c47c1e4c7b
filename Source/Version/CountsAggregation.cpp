#include "Version/CountsAggregation.h"

#include <algorithm>
#include <iterator>

namespace wisteria {

void addCounts(CountsAggregation &aggregation, const CountsReply &reply)
{
    if (aggregation.awaited > 0)
        --aggregation.awaited;
    CountsReply &sum = aggregation.sum;
    if (reply.epoch < sum.epoch)
        return;
    if (sum.group != reply.group || sum.epoch != reply.epoch) {
        sum = reply;
        return;
    }
    sum.ranks += reply.ranks;
    sum.passes = std::max(sum.passes, reply.passes);
    if (sum.counts.empty())
        sum.counts.resize(reply.counts.size());
    if (sum.counts.size() != reply.counts.size())
        return;
    for (std::size_t i = 0; i < reply.counts.size(); ++i)
        sum.counts[i] += reply.counts[i];
}

bool isDue(const CountsAggregation &aggregation, TimePoint now)
{
    return aggregation.awaited == 0 || now - aggregation.since >= aggregation.timeout;
}

std::vector<CountsAggregation> extractDue(std::vector<CountsAggregation> &aggregations,
                                          TimePoint now)
{
    const auto firstDue = std::stable_partition(
        aggregations.begin(), aggregations.end(),
        [now](const CountsAggregation &aggregation) { return !isDue(aggregation, now); });
    std::vector<CountsAggregation> due(std::make_move_iterator(firstDue),
                                       std::make_move_iterator(aggregations.end()));
    aggregations.erase(firstDue, aggregations.end());
    return due;
}

} // namespace wisteria
