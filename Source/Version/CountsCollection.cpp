#include "Version/CountsCollection.h"

#include <algorithm>
#include <iterator>

namespace wisteria {

void addCounts(CountsCollection &collection, const CountsTold &told)
{
    if (collection.awaited > 0)
        --collection.awaited;
    CountsTold &sum = collection.sum;
    if (told.epoch < sum.epoch)
        return;
    if (sum.group != told.group || sum.epoch != told.epoch) {
        sum = told;
        return;
    }
    sum.ranks += told.ranks;
    sum.passes = std::max(sum.passes, told.passes);
    if (sum.counts.empty())
        sum.counts.resize(told.counts.size());
    if (sum.counts.size() != told.counts.size())
        return;
    for (std::size_t i = 0; i < told.counts.size(); ++i)
        sum.counts[i] += told.counts[i];
}

bool isDue(const CountsCollection &collection, TimePoint now)
{
    return collection.awaited == 0 || now - collection.since >= collection.timeout;
}

std::vector<CountsCollection> takeDue(std::vector<CountsCollection> &collections, TimePoint now)
{
    const auto firstDue = std::stable_partition(
        collections.begin(), collections.end(),
        [now](const CountsCollection &collection) { return !isDue(collection, now); });
    std::vector<CountsCollection> due(std::make_move_iterator(firstDue),
                                      std::make_move_iterator(collections.end()));
    collections.erase(firstDue, collections.end());
    return due;
}

} // namespace wisteria
