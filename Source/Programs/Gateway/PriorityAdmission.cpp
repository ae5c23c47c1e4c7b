#include "Programs/Gateway/PriorityAdmission.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

namespace {

/// The least urgent priority that engines know.
constexpr std::uint32_t maxEnginePriority = 9;

} // namespace

PriorityAdmission::PriorityAdmission(GatewayContext &context, const PriorityLimits *limits,
                                     std::string service, std::uint32_t priority,
                                     std::string organisation)
    : context_(context), limits_(limits), service_(std::move(service)), priority_(priority),
      organisation_(std::move(organisation))
{
    if (limits_ != nullptr)
        step_ = priorityStepOf(*limits_, priority_);
}

std::optional<std::uint32_t> PriorityAdmission::enginePriority() const
{
    if (limits_ == nullptr)
        return std::nullopt;
    return std::min(priority_, maxEnginePriority);
}

bool PriorityAdmission::starved(TimePoint now) const
{
    return step_ > 0
        && isStarved(context_.priorityCounts[service_], limits_->priorities[step_], now);
}

std::uint32_t PriorityAdmission::dispatchPriority(TimePoint now) const
{
    if (limits_ == nullptr)
        return priority_;
    return limits_->priorities[starved(now) ? 0 : step_];
}

double PriorityAdmission::maxLoad(TimePoint now) const
{
    if (limits_ == nullptr)
        return allSlots;
    return maxLoadOf(*limits_, starved(now) ? 0 : step_);
}

bool PriorityAdmission::mayExceedFreeShare(TimePoint now) const
{
    return limits_ != nullptr && !limits_->maxRequests.empty() && (step_ == 0 || starved(now));
}

std::size_t PriorityAdmission::ahead(TimePoint now) const
{
    const OrganisationShares *shares =
        context_.fairQueueing ? &context_.organisationShares : nullptr;
    return countAhead(queue(), dispatchPriority(now), shares, organisation_, now);
}

bool PriorityAdmission::othersFirst(TimePoint now) const
{
    return (limits_ != nullptr || context_.fairQueueing) && !queued_ && ahead(now) > 0;
}

bool PriorityAdmission::waitCanSucceed(milliseconds wait, TimePoint now) const
{
    return wisteria::waitCanSucceed(queue(), ahead(now), wait, now);
}

void PriorityAdmission::joinQueue(TimePoint now)
{
    if (queued_)
        return;
    queuedPriority_ = dispatchPriority(now);
    wisteria::joinQueue(queue(), queuedPriority_, organisation_);
    queued_ = true;
}

void PriorityAdmission::updateQueuedPriority(TimePoint now)
{
    const std::uint32_t current = dispatchPriority(now);
    if (!queued_ || current == queuedPriority_)
        return;
    leaveQueue(queue(), queuedPriority_, organisation_);
    queuedPriority_ = current;
    wisteria::joinQueue(queue(), queuedPriority_, organisation_);
}

void PriorityAdmission::noteStart(bool beyondFreeShare, TimePoint now)
{
    noteDispatched(queue(), now);
    if (context_.fairQueueing)
        noteOrganisationStart(context_.organisationShares, organisation_, now);
    if (limits_ == nullptr || decided_)
        return;
    const std::uint32_t priority = limits_->priorities[step_];
    countPriorityStart(context_.metrics, service_, priority,
                       {.starved = starved(now), .beyondFreeShare = beyondFreeShare});
    noteDecided(context_.priorityCounts[service_], priority, true, now);
    decided_ = true;
}

void PriorityAdmission::leave(TimePoint now)
{
    if (queued_)
        leaveQueue(queue(), queuedPriority_, organisation_);
    queued_ = false;
    if (limits_ != nullptr && !decided_)
        noteDecided(context_.priorityCounts[service_], limits_->priorities[step_], false, now);
    decided_ = true;
}

} // namespace wisteria
