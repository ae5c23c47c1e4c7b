#include "Programs/Gateway/CallerSessions.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/DispatchOrder.h"
#include "Programs/Gateway/GatewayMetrics.h"
#include "Request/HeldMemory.h"

namespace wisteria {

namespace {

/// Time for the first bytes of a request on a connection whose caller was about to send it.
constexpr milliseconds firstBytesTime{300};

} // namespace

CallerSessions::CallerSessions(GatewayContext &context, std::size_t maxHeldBytes)
    : context_(context), maxHeldBytes_(maxHeldBytes)
{ }

void CallerSessions::accept(int descriptor)
{
    const std::uint64_t id = ++lastSession_;
    sessions_[id] = std::make_unique<Session>(
        context_, descriptor,
        SessionEvents{.closed = [this, id] { end(id); },
                      .queued = [this, id] { waiting_.push_back(id); },
                      .received = [this](std::size_t bytes) { noteReceived(bytes); },
                      .slotFreed = [this] { scheduleDispatch(); }});
}

void CallerSessions::end(std::uint64_t id)
{
    const auto found = sessions_.find(id);
    if (found == sessions_.end())
        return;
    // A callback of the session may be running, so it is destroyed at the end of the loop's round.
    std::shared_ptr<Session> ended = std::move(found->second);
    sessions_.erase(found);
    context_.loop.defer([ended] {});
    scheduleDispatch();
}

void CallerSessions::scheduleDispatch()
{
    if (dispatchScheduled_ || waiting_.empty())
        return;
    dispatchScheduled_ = true;
    context_.loop.defer([this] {
        dispatchScheduled_ = false;
        dispatchWaiting();
    });
}

void CallerSessions::dispatchWaiting()
{
    std::erase_if(waiting_, [this](std::uint64_t id) { return waitingExchange(id) == nullptr; });
    const TimePoint now = monotonicNow();
    std::vector<WaitingRequest> waiting;
    waiting.reserve(waiting_.size());
    for (const std::uint64_t id : waiting_) {
        PriorityAdmission &admission = waitingExchange(id)->admission();
        admission.updateQueuedPriority(now);
        waiting.push_back({id, admission.dispatchPriority(now), admission.organisation()});
    }
    const OrganisationShares *shares =
        context_.fairQueueing ? &context_.organisationShares : nullptr;
    for (const std::uint64_t id : dispatchOrder(waiting, shares, now)) {
        if (Exchange *exchange = waitingExchange(id))
            exchange->tryDispatch(now);
    }
}

/// Returns the session's request if it is in the admission queue, otherwise null.
Exchange *CallerSessions::waitingExchange(std::uint64_t id)
{
    const auto found = sessions_.find(id);
    if (found == sessions_.end() || found->second->idle())
        return nullptr;
    Exchange *exchange = found->second->exchange();
    return exchange->waiting() && exchange->admission().queued() ? exchange : nullptr;
}

std::vector<std::uint64_t> CallerSessions::ids() const
{
    std::vector<std::uint64_t> ids;
    ids.reserve(sessions_.size());
    for (const auto &[id, session] : sessions_)
        ids.push_back(id);
    return ids;
}

void CallerSessions::checkTimeouts(TimePoint now)
{
    // Each of them may end its session.
    for (const std::uint64_t id : ids()) {
        const auto found = sessions_.find(id);
        if (found != sessions_.end())
            found->second->checkTimeouts(now);
    }
    boundHeldBytes(now);
}

/// Checks the bound again once callers have sent a part of it. Long requests that arrive at once
/// would exceed it by far between two checks of the timeouts.
void CallerSessions::noteReceived(std::size_t bytes)
{
    constexpr std::size_t checksPerLimit = 32;
    receivedBytes_ += bytes;
    if (boundScheduled_ || receivedBytes_ < maxHeldBytes_ / checksPerLimit)
        return;
    boundScheduled_ = true;
    context_.loop.defer([this] {
        boundScheduled_ = false;
        boundHeldBytes(monotonicNow());
    });
}

void CallerSessions::boundHeldBytes(TimePoint now)
{
    receivedBytes_ = 0;
    if (heldBytes() <= maxHeldBytes_)
        return;
    std::vector<HeldBytes> held;
    held.reserve(sessions_.size());
    for (const auto &[id, session] : sessions_)
        held.push_back({id, session->heldBytes(), session->since()});
    for (const std::uint64_t id : sessionsToCut(std::move(held), maxHeldBytes_)) {
        const auto found = sessions_.find(id);
        if (found == sessions_.end())
            continue;
        countCutRequest(context_.metrics);
        found->second->cut(now);
    }
}

void CallerSessions::closeIdle(TimePoint now)
{
    for (const std::uint64_t id : ids()) {
        const auto found = sessions_.find(id);
        if (found != sessions_.end() && found->second->unused(firstBytesTime, now))
            found->second->closeIdle();
    }
}

void CallerSessions::endForStop(bool streams, TimePoint now)
{
    for (const std::uint64_t id : ids()) {
        const auto found = sessions_.find(id);
        if (found != sessions_.end() && (streams || !found->second->streaming()))
            found->second->endForStop(now);
    }
}

std::size_t CallerSessions::busy() const
{
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(),
                      [](const auto &entry) { return !entry.second->idle(); }));
}

std::size_t CallerSessions::heldBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[id, session] : sessions_)
        bytes += session->heldBytes();
    return bytes;
}

} // namespace wisteria
