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
        return BackendCondition::Stalled;
    case BackendCallEnd::NotConnected:
    case BackendCallEnd::ConnectionLost:
        break;
    }
    return BackendCondition::Dead;
}

/// Hears how a check ended.
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

bool checkAfterCut(HealthChecks &checks)
{
    checks.cutSince = checks.underWay;
    return !checks.underWay;
}

std::optional<BackendCondition> checkEnded(HealthChecks &checks, BackendCallEnd end)
{
    checks.underWay = false;
    const BackendCondition condition = conditionOf(end);
    if (std::exchange(checks.cutSince, false) && condition == BackendCondition::Up)
        return std::nullopt;
    return condition;
}

BackendHealth::BackendHealth(EventLoop &loop, BackendClient &backend,
                             std::function<void(BackendCondition)> seen)
    : loop_(loop), backend_(backend), seen_(std::move(seen))
{ }

void BackendHealth::start()
{
    check();
    loop_.runAfter(checkInterval, [this] { start(); });
}

void BackendHealth::noteCut()
{
    if (checkAfterCut(checks_))
        check();
}

void BackendHealth::check()
{
    if (std::exchange(checks_.underWay, true))
        return;
    backend_.checkHealth(checkTimeout, std::make_shared<CheckHandler>([this](BackendCallEnd end) {
                             if (const auto condition = checkEnded(checks_, end))
                                 seen_(*condition);
                             else
                                 check();
                         }));
}

} // namespace wisteria
