#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Process/EventLog.h"
#include "Process/Metrics.h"
#include "Programs/Sidecar/EngineClient.h"
#include "Version/ExpertMapCache.h"

namespace wisteria {

/// Gives the orders of a group's leader to the engine beside the sidecar.
class RankOrderExecutor
{
public:
    /// @param ended Called when an order is done or has failed, as the engine's state may differ.
    RankOrderExecutor(EngineClient &engines, EventLog &log, Metrics &metrics, Endpoint engine,
                      std::function<void()> ended);

    /// Takes a leader's command; one that is under way already is left at that.
    void execute(const RankCommand &command, const Endpoint &leader, const ExpertProfile &profile,
                 std::size_t groupSize);

    /// Notes the version in force at the engine.
    void noteInForce(std::uint64_t version) { mapCache_.inForce = version; }

    /// Whether changes may go on from the map of a version.
    bool hasMapOf(std::uint64_t version, const ExpertProfile &profile) const
    {
        return hasMap(mapCache_, profile, version);
    }

    /// Version of the last order to prepare that the engine took; 0 for none.
    std::uint64_t accepted() const { return accepted_; }

private:
    void send(const RankOrder &order, const Endpoint &leader, int attemptsDone);
    void end(const RankOrder &order, const Endpoint &leader, const Result<void> &result);

    EngineClient &engines_;
    EventLog &log_;
    Metrics &metrics_;
    Endpoint engine_;
    std::function<void()> ended_;
    ExpertMapCache mapCache_;
    std::vector<RankOrder> inProgress_;
    std::uint64_t accepted_ = 0;
};

} // namespace wisteria
