#include "Process/AgentGroup.h"

#include <optional>
#include <utility>

#include "Connection/HttpLogClient.h"
#include "Connection/HttpRankClient.h"
#include "Connection/PeerGroupLink.h"
#include "Process/Logging.h"
#include "Process/MapSwitchRunner.h"
#include "Process/PlacementRunner.h"
#include "Version/PlacementSession.h"

namespace wisteria {

class AgentGroup::Private
{
public:
    Private(EventLoop &loop, const AgentGroupSettings &settings, const std::string &ownName,
            const std::string &logUrl, std::uint64_t incarnation, Metrics &metrics,
            AgentGroupEvents events)
        : settings_(settings), ownName_(ownName), metrics_(metrics), events_(std::move(events)),
          reader_(logUrl), appender_(logUrl), engine_(settings.engineUrl, settings.rank),
          link_(loop, settings.agents),
          runner_(loop, membershipOf(settings, incarnation),
                  MapSwitchPorts{reader_, appender_, engine_, link_}, metrics,
                  [this](const MapSwitchStatus &status) { noteStatus(status); })
    {
        // Until the join is read back the rank runs no steps.
        events_.stalled(true);
    }

    MapSwitchRunner &runner() { return runner_; }

    void configure(const ConfigState &config)
    {
        const std::optional<v1::ExpertSpread> spread = declaredSpread(config);
        const std::string declared = spread ? spread->SerializeAsString() : std::string();
        if (declared == declared_)
            return;
        declared_ = declared;
        placement_.reset();
        if (spread)
            startPlacementFor(*spread);
    }

private:
    static GroupMembership membershipOf(const AgentGroupSettings &settings,
                                        std::uint64_t incarnation)
    {
        const auto ranks = static_cast<std::uint32_t>(settings.agents.size());
        return {settings.name, {settings.rank, incarnation}, ranks, settings.checksFencing};
    }

    std::optional<v1::ExpertSpread> declaredSpread(const ConfigState &config) const
    {
        const auto own = config.objects.find({v1::OBJECT_KIND_BACKEND_SERVER, ownName_});
        if (own == config.objects.end())
            return std::nullopt;
        const std::string &name = own->second.object().backend_server().service();
        const auto service = config.objects.find({v1::OBJECT_KIND_SERVICE, name});
        if (service == config.objects.end()
            || !service->second.object().service().has_expert_spread())
            return std::nullopt;
        return service->second.object().service().expert_spread();
    }

    void startPlacementFor(const v1::ExpertSpread &spread)
    {
        if (spread.ranks() != settings_.agents.size()) {
            loggerFor("placement")
                ->warn(
                    "The service declares {} ranks, but the settings list {} agents of group {}; "
                    "experts stay where they are until the two agree.",
                    spread.ranks(), settings_.agents.size(), settings_.name);
            return;
        }
        placement_ = std::make_unique<PlacementRunner>(groupOf(spread), settings_.name,
                                                       settings_.engineUrl, runner_, metrics_);
    }

    void noteStatus(const MapSwitchStatus &status)
    {
        events_.stalled(status.stalled);
        if (!status.superseded)
            return;
        loggerFor("map")->warn("A newer agent has joined for this rank; this one ends.");
        events_.superseded();
    }

    AgentGroupSettings settings_;
    std::string ownName_;
    Metrics &metrics_;
    AgentGroupEvents events_;
    HttpLogClient reader_;
    HttpLogClient appender_;
    HttpRankClient engine_;
    PeerGroupLink link_;
    MapSwitchRunner runner_;
    /// What the placement was begun with, serialized.
    std::string declared_;
    std::unique_ptr<PlacementRunner> placement_;
};

AgentGroup::AgentGroup(EventLoop &loop, const AgentGroupSettings &settings,
                       const std::string &ownName, const std::string &logUrl,
                       std::uint64_t incarnation, Metrics &metrics, AgentGroupEvents events)
    : private_(std::make_unique<Private>(loop, settings, ownName, logUrl, incarnation, metrics,
                                         std::move(events)))
{ }

AgentGroup::~AgentGroup() = default;

void AgentGroup::deliver(const v1::GroupMessage &message)
{
    private_->runner().deliver(message);
}

void AgentGroup::configure(const ConfigState &config)
{
    private_->configure(config);
}

void AgentGroup::beginLeaving()
{
    private_->runner().setDraining(true);
}

} // namespace wisteria
