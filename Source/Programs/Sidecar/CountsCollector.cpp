#include "Programs/Sidecar/CountsCollector.h"

#include <algorithm>
#include <utility>

#include "Process/Time.h"
#include "Version/CountsEncoding.h"
#include "Version/DemandPlacement.h"

namespace wisteria {

CountsCollector::CountsCollector(EngineClient &engineClient, EventLog &log, SidecarLink &link,
                                 const LinkBandwidth &bandwidth, Endpoint ownEngine,
                                 std::function<void(const CountsReply &)> completed)
    : engineClient_(engineClient), log_(log), link_(link), bandwidth_(bandwidth),
      ownEngine_(ownEngine), completed_(std::move(completed))
{ }

void CountsCollector::requestCounts(const std::vector<Endpoint> &engines)
{
    std::vector<Endpoint> others = engines;
    std::erase(others, ownEngine_);
    link_.sendToEngine(ownEngine_, CountsPoll{});
    requestFromBranches(others);
}

/// @return Number of sidecars that were asked for one sum each.
std::size_t CountsCollector::requestFromBranches(const std::vector<Endpoint> &engines)
{
    const auto plan = relayPlan(engines, countsBytes(), bandwidth_);
    for (const RelayBranch &branch : plan)
        link_.sendToEngine(branch.first, CountsPoll{branch.rest});
    return plan.size();
}

/// Size of one reply with the counts of all experts.
std::size_t CountsCollector::countsBytes() const
{
    return encodedCountsBytes(std::size_t{profile_.sets} * profile_.expertsPerSet);
}

void CountsCollector::beginAggregation(const Endpoint &requester, const CountsPoll &poll,
                                       TimePoint now)
{
    // Ends an earlier aggregation for the same requester; replies that it still lacks are added
    // to the new one.
    for (CountsAggregation &earlier : aggregations_) {
        if (earlier.requester == requester)
            earlier.awaited = 0;
    }
    sendDue(now);
    const std::size_t branches = requestFromBranches(poll.engines);
    aggregations_.push_back(
        {.requester = requester,
         .since = now,
         .timeout = aggregationTime(poll.engines.size(), countsBytes(), bandwidth_),
         .awaited = branches + 1,
         .sum = {}});
    engineClient_.readCounts(ownEngine_, [this, requester](Result<ExpertCounts> counts) {
        noteReadResult(counts);
        if (!counts.has_error() && group_)
            addOwn(requester, std::move(counts.value()), monotonicNow());
    });
}

/// Logs the first failure after a success; counts are read up to 20 times a second.
void CountsCollector::noteReadResult(const Result<ExpertCounts> &counts)
{
    if (counts.has_error() && !readFailed_) {
        log_.info("engine.no_counts",
                  {{"engine", toText(ownEngine_)}, {"reason", counts.error().message}});
    }
    readFailed_ = counts.has_error();
}

void CountsCollector::addOwn(const Endpoint &requester, ExpertCounts counts, TimePoint now)
{
    CountsReply reply{.group = *group_,
                      .epoch = counts.epoch,
                      .ranks = 1,
                      .passes = counts.pass - std::min(counts.pass, counts_.pass)};
    if (reply.passes > 0)
        reply.counts = countsSince(counts_.counts, counts.counts);
    counts_ = std::move(counts);
    addTo(requester, reply, now);
}

void CountsCollector::addReply(const CountsReply &reply, TimePoint now)
{
    if (!aggregations_.empty())
        addTo(aggregations_.front().requester, reply, now);
}

void CountsCollector::addTo(const Endpoint &requester, const CountsReply &reply, TimePoint now)
{
    const auto found = std::find_if(aggregations_.begin(), aggregations_.end(),
                                    [&requester](const CountsAggregation &aggregation) {
                                        return aggregation.requester == requester;
                                    });
    if (found == aggregations_.end())
        return;
    addCounts(*found, reply);
    sendDue(now);
}

void CountsCollector::sendDue(TimePoint now)
{
    for (const CountsAggregation &aggregation : extractDue(aggregations_, now)) {
        if (aggregation.sum.ranks == 0)
            continue;
        if (aggregation.requester.ip == ownEngine_.ip)
            completed_(aggregation.sum);
        else
            link_.sendToAddress(aggregation.requester, aggregation.sum);
    }
}

} // namespace wisteria
