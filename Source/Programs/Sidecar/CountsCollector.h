#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Process/EventLog.h"
#include "Programs/Sidecar/EngineClient.h"
#include "Programs/Sidecar/SidecarLink.h"
#include "Version/CountsAggregation.h"
#include "Version/RelayPlan.h"

namespace wisteria {

/// Requests and sums up the expert counts of ranks, for the leader and as a relay on its behalf.
class CountsCollector
{
public:
    /// @param completed Called with each sum that this sidecar requested itself, as the leader.
    CountsCollector(EngineClient &engineClient, EventLog &log, SidecarLink &link,
                    const LinkBandwidth &bandwidth, Endpoint ownEngine,
                    std::function<void(const CountsReply &)> completed);

    void setProfile(const ExpertProfile &profile) { profile_ = profile; }

    /// Sets the group of the own engine; before that, its counts are not used.
    void setGroup(const std::string &group) { group_ = group; }

    /// Requests the counts of the engines' ranks and of the own one, in as many sums as fit the
    /// link's bandwidth.
    void requestCounts(const std::vector<Endpoint> &engines);

    /// Begins an aggregation: requests the counts of the poll's engines and reads those of the own
    /// engine.
    void beginAggregation(const Endpoint &requester, const CountsPoll &poll, TimePoint now);

    /// Adds a reply of another sidecar to the oldest aggregation in progress.
    void addReply(const CountsReply &reply, TimePoint now);

    /// Sends the sums of aggregations that are complete or whose timeout has passed.
    void sendDue(TimePoint now);

private:
    std::size_t requestFromBranches(const std::vector<Endpoint> &engines);
    std::size_t countsBytes() const;
    void noteReadResult(const Result<ExpertCounts> &counts);
    void addOwn(const Endpoint &requester, ExpertCounts counts, TimePoint now);
    void addTo(const Endpoint &requester, const CountsReply &reply, TimePoint now);

    EngineClient &engineClient_;
    EventLog &log_;
    SidecarLink &link_;
    LinkBandwidth bandwidth_;
    Endpoint ownEngine_;
    std::function<void(const CountsReply &)> completed_;
    ExpertProfile profile_;
    std::optional<std::string> group_;
    /// Aggregations that are in progress, the oldest first.
    std::vector<CountsAggregation> aggregations_;
    /// The engine's expert counts as last read; a reply holds the difference to them.
    ExpertCounts counts_;
    /// Whether the last read of the own engine's counts failed.
    bool readFailed_ = false;
};

} // namespace wisteria
