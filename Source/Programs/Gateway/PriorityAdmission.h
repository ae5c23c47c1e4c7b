#pragma once

#include <cstdint>
#include <string>

#include "Programs/Gateway/GatewayContext.h"

namespace wisteria {

/// How urgent a request is, which share of an engine's slots it may use, and its place in the
/// admission queue. A service whose routes have one priority has no limits and counts; its requests
/// are ordered by the priority of the route or the organisation.
class PriorityAdmission
{
public:
    /// @param limits Null if the service's routes have one priority.
    /// @param priority Priority of the route or the organisation.
    PriorityAdmission(GatewayContext &context, const PriorityLimits *limits, std::string service,
                      std::uint32_t priority, std::string organisation);
    PriorityAdmission(const PriorityAdmission &) = delete;
    PriorityAdmission &operator=(const PriorityAdmission &) = delete;

    std::uint32_t priority() const { return priority_; }
    const std::string &organisation() const { return organisation_; }
    /// Position of the priority among those of the service; 0 is the most urgent.
    std::size_t step() const { return step_; }
    /// The priority that an engine is told; empty if the service's routes have one priority.
    std::optional<std::uint32_t> enginePriority() const;

    /// The priority that determines the order of dispatch; that of the most urgent requests while
    /// its own is starved.
    std::uint32_t dispatchPriority(TimePoint now) const;
    /// Fraction of an engine's slots that a first send, or a move off a slow server, may use.
    double maxLoad(TimePoint now) const;
    /// Whether the limit of the priority is below all slots now.
    bool limited(TimePoint now) const { return maxLoad(now) < allSlots; }

    /// Whether the request may start beyond this gateway's share of free slots: the most urgent
    /// ones, and starved ones, of a service with limits.
    bool mayExceedFreeShare(TimePoint now) const;

    /// Whether waiting requests are served before this one, which has just arrived.
    bool othersFirst(TimePoint now) const;
    /// Whether a wait is likely to end with a slot.
    bool waitCanSucceed(milliseconds wait, TimePoint now) const;

    bool queued() const { return queued_; }
    void joinQueue(TimePoint now);
    /// Counts a queued request under its current dispatch priority, which changes when its priority
    /// becomes starved or is no longer so. Requests that arrive compare theirs with these counts.
    void updateQueuedPriority(TimePoint now);
    /// Records that the request got a slot for its first send.
    /// @param beyondFreeShare See BackendChoice.
    void noteStart(bool beyondFreeShare, TimePoint now);
    /// Leaves the queue. Without a start, the request counts as not served.
    void leave(TimePoint now);

    /// Maximum load of a backend server for a request of the most urgent priority, as a fraction of
    /// its slots.
    static constexpr double allSlots = 1.0;

private:
    AdmissionQueue &queue() const { return context_.admissionQueues[service_]; }
    bool starved(TimePoint now) const;
    std::size_t ahead(TimePoint now) const;

    GatewayContext &context_;
    const PriorityLimits *limits_;
    std::string service_;
    std::uint32_t priority_;
    std::string organisation_;
    std::size_t step_ = 0;
    /// The priority that it is counted under in the admission queue.
    std::uint32_t queuedPriority_ = 0;
    bool queued_ = false;
    /// Whether it is known that the request started or will not start.
    bool decided_ = false;
};

} // namespace wisteria
