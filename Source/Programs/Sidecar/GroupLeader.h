#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Process/EventLog.h"
#include "Process/Metrics.h"
#include "Programs/Sidecar/EngineClient.h"
#include "Version/RankSwitch.h"
#include "Version/RelayPlan.h"

namespace wisteria {

/// Callbacks by which the leader sends to the sidecars of the service's engines.
struct LeaderTransport
{
    /// Sends a message to the sidecars on the engines' VMs, which may include this sidecar.
    std::function<void(const std::vector<Endpoint> &engines, const GroupMessage &message)> sendAll;
    /// Requests the counts of the engines' ranks, summed by relays on the way so that the replies
    /// fit the bandwidth of this VM's link.
    /// @param engines Those from which a message arrived most recently come first.
    std::function<void(const std::vector<Endpoint> &engines)> requestCounts;
};

/// Polls the ranks of a service's groups, decides on new expert maps and drives the switches to
/// them. Used by the sidecar that leads the service.
class GroupLeader
{
public:
    GroupLeader(EngineClient &engineClient, EventLog &log, Metrics &metrics,
                LeaderTransport transport, const LinkBandwidth &bandwidth, Endpoint ownEngine);

    /// Sets the engines of the service, as listed by the gateways.
    void setEngines(const std::vector<Endpoint> &engines, const ExpertProfile &profile);

    /// Stores a rank's status.
    void applyStatus(const RankStatus &status, TimePoint now);
    /// Adds the ranks' expert counts to the demand of their group; ignored for an unknown group.
    void applyCounts(const CountsReply &reply, TimePoint now);

    /// Sends the polls that are due, reads engines of silent sidecars directly and advances all
    /// switches; called at the sidecar's work interval (25 ms) while this sidecar leads.
    void runDueWork(TimePoint now);

    /// Advances the switches of all groups by the state received so far.
    void decide(TimePoint now);

    /// Drops the state of the groups because another sidecar leads, except for their epochs,
    /// highest versions and last held passes.
    void stop();

private:
    void poll(TimePoint now);
    void pollRanks(TimePoint now);
    milliseconds rankPollPeriod() const;
    std::vector<Endpoint> mostRecentFirst(std::vector<Endpoint> engines) const;
    void advance(GroupSwitch &group, TimePoint now);
    void executeActions(const std::string &name, const std::vector<SwitchAction> &actions);
    void orderDirectly(const std::string &name, const SwitchAction &action);
    RankCommand commandFor(const std::string &name, const SwitchAction &action) const;
    void readSilentRanks(TimePoint now);
    std::vector<Endpoint> silentEngines(TimePoint now) const;
    void noteReachability(std::size_t silent);
    void readDirectly(const Endpoint &engine);
    void readExpertsDirectly(RankStatus status);
    void logEvent(const GroupSwitch &group, SwitchEvent event, TimePoint now);

    EngineClient &engineClient_;
    EventLog &log_;
    Metrics &metrics_;
    LeaderTransport transport_;
    LinkBandwidth bandwidth_;
    Endpoint ownEngine_;
    /// Interval between two requests for the ranks' counts.
    milliseconds countsPeriod_{0};
    std::vector<Endpoint> engines_;
    ExpertProfile profile_;
    SwitchTiming timing_;
    PlacementBounds bounds_;
    std::map<std::string, GroupSwitch> groups_;
    std::map<Endpoint, TimePoint> lastReceivedAt_;
    std::map<Endpoint, TimePoint> readDirectlyAt_;
    TimePoint directReadRoundAt_;
    bool isolated_ = false;
    TimePoint polledRanksAt_;
    TimePoint requestedCountsAt_;
    TimePoint leadingSince_;
};

} // namespace wisteria
