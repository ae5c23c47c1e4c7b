#include "Process/AgentGroup.h"

#include <utility>

#include "Connection/HttpLogClient.h"
#include "Connection/HttpRankClient.h"
#include "Connection/PeerGroupLink.h"
#include "Process/Logging.h"
#include "Process/MapSwitchRunner.h"

namespace wisteria {

class AgentGroup::Private
{
public:
    Private(EventLoop &loop, const AgentGroupSettings &settings, const std::string &logUrl,
            std::uint64_t incarnation, Metrics &metrics, AgentGroupEvents events)
        : events_(std::move(events)), reader_(logUrl), appender_(logUrl),
          engine_(settings.engineUrl, settings.rank), link_(loop, settings.agents),
          runner_(loop, membershipOf(settings, incarnation),
                  MapSwitchPorts{reader_, appender_, engine_, link_}, metrics,
                  [this](const MapSwitchStatus &status) { noteStatus(status); })
    {
        // Until the join is read back the rank runs no steps.
        events_.stalled(true);
    }

    MapSwitchRunner &runner() { return runner_; }

private:
    static GroupMembership membershipOf(const AgentGroupSettings &settings,
                                        std::uint64_t incarnation)
    {
        const auto ranks = static_cast<std::uint32_t>(settings.agents.size());
        return {settings.name, {settings.rank, incarnation}, ranks, settings.checksFencing};
    }

    void noteStatus(const MapSwitchStatus &status)
    {
        events_.stalled(status.stalled);
        if (!status.superseded)
            return;
        loggerFor("map")->warn("A newer agent has joined for this rank; this one ends.");
        events_.superseded();
    }

    AgentGroupEvents events_;
    HttpLogClient reader_;
    HttpLogClient appender_;
    HttpRankClient engine_;
    PeerGroupLink link_;
    MapSwitchRunner runner_;
};

AgentGroup::AgentGroup(EventLoop &loop, const AgentGroupSettings &settings,
                       const std::string &logUrl, std::uint64_t incarnation, Metrics &metrics,
                       AgentGroupEvents events)
    : private_(
        std::make_unique<Private>(loop, settings, logUrl, incarnation, metrics, std::move(events)))
{ }

AgentGroup::~AgentGroup() = default;

void AgentGroup::deliver(const v1::GroupMessage &message)
{
    private_->runner().deliver(message);
}

void AgentGroup::beginLeaving()
{
    private_->runner().setDraining(true);
}

} // namespace wisteria
