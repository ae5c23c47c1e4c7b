#include "Process/BackendHealth.h"

#include <utility>

namespace wisteria {

namespace {

constexpr milliseconds checkInterval(250);
constexpr milliseconds checkTimeout(1000);

BackendCondition conditionOf(BackendCallEnd end)
{
    switch (end) {
    case BackendCallEnd::Complete:
        return BackendCondition::Up;
    case BackendCallEnd::TimedOut:
    case BackendCallEnd::Malformed:
        return BackendCondition::Stalled;
    case BackendCallEnd::NotConnected:
    case BackendCallEnd::ConnectionLost:
        break;
    }
    return BackendCondition::Dead;
}

/// Receives the end of a check.
class CheckHandler : public BackendCallHandler
{
public:
    explicit CheckHandler(std::function<void(BackendCallEnd)> ended) : ended_(std::move(ended)) { }
    void answerStarted(std::uint32_t, const std::string &) override { }
    void answerBytes(std::string_view) override { }
    void answerEnded(BackendCallEnd end) override { ended_(end); }

private:
    std::function<void(BackendCallEnd)> ended_;
};

} // namespace

bool noteLoss(HealthCheckState &state)
{
    state.connectionLost = state.inProgress;
    return !state.inProgress;
}

std::optional<BackendCondition> finishCheck(HealthCheckState &state, BackendCallEnd end)
{
    state.inProgress = false;
    const BackendCondition condition = conditionOf(end);
    if (std::exchange(state.connectionLost, false) && condition == BackendCondition::Up)
        return std::nullopt;
    return condition;
}

BackendHealth::BackendHealth(EventLoop &loop, BackendClient &backend,
                             std::function<void(BackendCondition)> onCondition)
    : loop_(loop), backend_(backend), onCondition_(std::move(onCondition))
{ }

void BackendHealth::start()
{
    check();
    loop_.runAfter(checkInterval, [this] { start(); });
}

void BackendHealth::noteConnectionLost()
{
    if (noteLoss(checkState_))
        check();
}

void BackendHealth::check()
{
    if (std::exchange(checkState_.inProgress, true))
        return;
    backend_.checkHealth(checkTimeout, std::make_shared<CheckHandler>([this](BackendCallEnd end) {
                             if (const auto condition = finishCheck(checkState_, end))
                                 onCondition_(*condition);
                             else
                                 check();
                         }));
}

} // namespace wisteria
