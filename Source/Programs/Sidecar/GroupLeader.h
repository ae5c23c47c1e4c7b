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

/// How the leader reaches the sidecars of the service's engines.
struct LeaderTransport
{
    /// Sends a message to the sidecars on the engines' VMs; the own one may be among them.
    std::function<void(const std::vector<Endpoint> &engines, const GroupMessage &message)> sendAll;
    /// Asks for the counts of the engines' ranks, in as many sums as the link of this VM bears.
    /// The ones heard of last come first.
    std::function<void(const std::vector<Endpoint> &engines)> requestCounts;
};

/// The work of the sidecar that leads its service's groups: polls the ranks, decides on new maps
/// and carries switches through.
class GroupLeader
{
public:
    GroupLeader(EngineClient &engines, EventLog &log, Metrics &metrics, LeaderTransport transport,
                const LinkBandwidth &bandwidth, Endpoint ownEngine);

    /// The engines of the service, as the gateways name them.
    void setEngines(const std::vector<Endpoint> &engines, const ExpertProfile &profile);

    void applyStatus(const RankStatus &status, TimePoint now);
    void applyCounts(const CountsReply &reply, TimePoint now);

    /// Polls and decides; called often while it leads.
    void work(TimePoint now);

    /// Decides on what has come in.
    void decide(TimePoint now);

    /// Forgets everything: another one leads.
    void stop();

private:
    void poll(TimePoint now);
    void pollRanks(TimePoint now);
    milliseconds rankPollPeriod() const;
    std::vector<Endpoint> mostRecentFirst(std::vector<Endpoint> engines) const;
    void advance(GroupSwitch &group, TimePoint now);
    void carryOut(const std::string &name, const std::vector<SwitchAction> &actions);
    void orderDirectly(const std::string &name, const SwitchAction &action);
    RankCommand commandFor(const std::string &name, const SwitchAction &action) const;
    void readSilentRanks(TimePoint now);
    std::vector<Endpoint> silentEngines(TimePoint now) const;
    void noteReachability(std::size_t silent);
    void readDirectly(const Endpoint &engine);
    void readExpertsDirectly(RankStatus status);
    void logEvent(const GroupSwitch &group, SwitchEvent event, TimePoint now);

    EngineClient &engines_;
    EventLog &log_;
    Metrics &metrics_;
    LeaderTransport transport_;
    LinkBandwidth bandwidth_;
    Endpoint ownEngine_;
    /// Pause between two questions for the ranks' counts.
    milliseconds countsPeriod_{0};
    std::vector<Endpoint> members_;
    ExpertProfile profile_;
    SwitchTiming timing_;
    PlacementBounds bounds_;
    std::map<std::string, GroupSwitch> groups_;
    std::map<Endpoint, TimePoint> lastReceivedAt_;
    std::map<Endpoint, TimePoint> readDirectlyAt_;
    TimePoint directRoundAt_;
    bool isolated_ = false;
    TimePoint polledRanksAt_;
    TimePoint requestedCountsAt_;
    TimePoint leadsSince_;
};

} // namespace wisteria
