#include "Programs/Sidecar/RankOrderExecutor.h"

#include <algorithm>
#include <utility>

#include "Programs/Sidecar/SidecarMetrics.h"
#include "Version/OrderRetry.h"

namespace wisteria {

namespace {

bool sameOrder(const RankOrder &a, const RankOrder &b)
{
    return a.kind == b.kind && a.epoch == b.epoch && a.version == b.version && a.pass == b.pass;
}

} // namespace

RankOrderExecutor::RankOrderExecutor(EngineClient &engineClient, EventLog &log, Metrics &metrics,
                                     Endpoint engine, std::function<void()> completed)
    : engineClient_(engineClient), log_(log), metrics_(metrics), engine_(engine),
      completed_(std::move(completed))
{ }

void RankOrderExecutor::execute(const RankCommand &command, const Endpoint &sender,
                                const ExpertProfile &profile, std::size_t groupSize)
{
    RankOrder order = command.order;
    if (isInProgress(order))
        return;
    if (order.kind == RankOrderKind::Prepare) {
        auto map = resolveMap(mapCache_, profile, groupSize, command);
        if (map.has_error()) {
            log_.info("map.refused",
                      {{"version", order.version},
                       {"base", command.base},
                       {"reason", map.error().message}});
            return;
        }
        order.map = std::move(map.value());
    }
    inProgress_.push_back(order);
    send(order, sender, 0);
}

void RankOrderExecutor::leaveGroup()
{
    mapCache_ = {};
    inProgress_.clear();
    ++membership_;
    acceptedVersion_ = 0;
}

bool RankOrderExecutor::isInProgress(const RankOrder &order) const
{
    return std::any_of(inProgress_.begin(), inProgress_.end(),
                       [&order](const RankOrder &other) { return sameOrder(other, order); });
}

/// Sends an order, and resends it while the engine does not answer in time, up to maxOrderAttempts
/// attempts.
void RankOrderExecutor::send(const RankOrder &order, const Endpoint &sender, int attemptsDone)
{
    engineClient_.sendOrder(
        engine_, order,
        [this, order, sender, attemptsDone, membership = membership_](const Result<void> &result) {
            const bool unanswered = result.has_error() && result.error().kind == ErrorKind::Timeout;
            if (unanswered && membership == membership_ && isInProgress(order)
                && shouldResend(attemptsDone + 1)) {
                send(order, sender, attemptsDone + 1);
                return;
            }
            finish(order, sender, membership, result);
        });
}

void RankOrderExecutor::finish(const RankOrder &order, const Endpoint &sender,
                               std::uint64_t membership, const Result<void> &result)
{
    const bool wasInProgress = membership == membership_
        && std::erase_if(inProgress_,
                         [&order](const RankOrder &other) { return sameOrder(other, order); })
            > 0;
    countOrder(metrics_, order.kind, result.has_error() ? "failed" : "done");
    if (result.has_error()) {
        log_.info("order.failed",
                  {{"kind", orderName(order.kind)},
                   {"version", order.version},
                   {"step", order.pass},
                   {"leader", toText(sender)},
                   {"reason", result.error().message}});
    } else if (order.kind == RankOrderKind::Prepare && wasInProgress) {
        acceptedVersion_ = order.version;
    }
    completed_();
}

} // namespace wisteria
