#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Process/EventLog.h"
#include "Process/Metrics.h"
#include "Programs/Sidecar/EngineClient.h"
#include "Version/GroupMembers.h"
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

/// Polls the ranks of one group, decides on new expert maps and drives the switches to them. Used
/// by the sidecar that leads the group. It also polls engines whose group it does not know, and,
/// less often, those of other groups, to find all ranks of its own.
class GroupLeader
{
public:
    GroupLeader(EngineClient &engineClient, EventLog &log, Metrics &metrics,
                LeaderTransport transport, const LinkBandwidth &bandwidth, Endpoint ownEngine);

    /// Sets the engines of the service, as listed by the gateways.
    void setEngines(const std::vector<Endpoint> &engines, const ExpertProfile &profile);

    /// Leads a group from now on, or records that the own rank in it has changed.
    /// @param rank Rank of the own engine.
    void lead(const std::string &group, std::uint32_t rank);

    bool leading() const { return leading_; }

    /// Stores a rank's status. One of another group is used only to learn the engine's group.
    void applyStatus(const RankStatus &status, TimePoint now);
    /// Adds the ranks' expert counts to the group's demand; ignored for another group.
    void applyCounts(const CountsReply &reply, TimePoint now);

    /// Sends the polls that are due, reads engines of silent sidecars directly and advances the
    /// switch; called at the sidecar's work interval (25 ms) while this sidecar leads.
    void runDueWork(TimePoint now);

    /// Advances the group's switch by the state received so far.
    void decide(TimePoint now);

    /// Drops the group's state because this sidecar no longer leads it, except for its epoch,
    /// highest version and last held pass.
    void stop();

private:
    void pollRanks(TimePoint now);
    void pollCounts(TimePoint now);
    std::size_t countsBytes() const;
    void executeActions(const std::vector<SwitchAction> &actions);
    void orderDirectly(const SwitchAction &action);
    RankCommand commandFor(const SwitchAction &action) const;
    void readSilentRanks(TimePoint now);
    void noteReachability(std::size_t silent);
    void readDirectly(const Endpoint &engine);
    void applyDirectReport(const Endpoint &engine, const RankReport &report);
    void applyToGroup(RankStatus status, TimePoint now);
    void readExpertsDirectly(RankStatus status);
    void logLeading(const char *event) const;
    void logEvent(SwitchEvent event, TimePoint now);

    EngineClient &engineClient_;
    EventLog &log_;
    Metrics &metrics_;
    LeaderTransport transport_;
    LinkBandwidth bandwidth_;
    Endpoint ownEngine_;
    /// Interval between two requests for the ranks' counts.
    milliseconds countsPeriod_{0};
    ExpertProfile profile_;
    SwitchTiming timing_;
    PlacementBounds bounds_;
    bool leading_ = false;
    std::uint32_t rank_ = 0;
    GroupSwitch group_;
    GroupMembers members_;
    std::map<Endpoint, TimePoint> readDirectlyAt_;
    TimePoint directReadRoundAt_;
    /// Ranks whose last status named experts that the profile does not have.
    std::set<std::uint32_t> badExperts_;
    bool isolated_ = false;
    TimePoint requestedCountsAt_;
    TimePoint leadingSince_;
};

} // namespace wisteria
