#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Process/EventLog.h"
#include "Process/Metrics.h"
#include "Programs/Sidecar/EngineClient.h"
#include "Version/ExpertMapCache.h"

namespace wisteria {

/// Sends the leader's orders to the engine on the same VM.
class RankOrderExecutor
{
public:
    /// @param completed Called when an order has succeeded or failed: the engine's state may have
    /// changed.
    RankOrderExecutor(EngineClient &engineClient, EventLog &log, Metrics &metrics, Endpoint engine,
                      std::function<void()> completed);

    /// Sends a leader's order to the engine, with retries. Ignores an order that is already in
    /// progress, and logs and drops a Prepare whose map can't be resolved.
    /// @param sender The leader, or the relay that forwarded the command; for logs.
    void execute(const RankCommand &command, const Endpoint &sender, const ExpertProfile &profile,
                 std::size_t groupSize);

    /// Drops the known maps and the orders in progress, because the engine is no longer in the
    /// group that they were for.
    void leaveGroup();

    /// Records the map version in force at the engine.
    void noteInForce(std::uint64_t version) { mapCache_.inForce = version; }

    /// Whether the whole map of a version is known, so that a Prepare may contain only changes to
    /// it.
    bool hasMapOf(std::uint64_t version, const ExpertProfile &profile) const
    {
        return hasMap(mapCache_, profile, version);
    }

    /// Map version of the last Prepare that the engine accepted; 0 for none.
    std::uint64_t acceptedVersion() const { return acceptedVersion_; }

private:
    bool isInProgress(const RankOrder &order) const;
    void send(const RankOrder &order, const Endpoint &sender, int attemptsDone);
    void finish(const RankOrder &order, const Endpoint &sender, std::uint64_t membership,
                const Result<void> &result);

    EngineClient &engineClient_;
    EventLog &log_;
    Metrics &metrics_;
    Endpoint engine_;
    std::function<void()> completed_;
    ExpertMapCache mapCache_;
    std::vector<RankOrder> inProgress_;
    /// Incremented when the engine leaves its group: groups use the same epochs and versions, so an
    /// order of the former group may equal one of the new group.
    std::uint64_t membership_ = 0;
    std::uint64_t acceptedVersion_ = 0;
};

} // namespace wisteria
