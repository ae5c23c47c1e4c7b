#include "Soak/GatewayStops.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

#include <poll.h>

namespace wisteria::soak {

namespace {

/// Makes the draws independent of those of SoakFaults for the same seed.
constexpr std::uint64_t stopSeedOffset = 0x5706;
constexpr int pollMilliseconds = 10;
/// How long the store stays away after a stop has begun.
constexpr milliseconds silentTime{1000};

std::string nameOf(std::size_t gateway)
{
    return "gateway-" + std::to_string(gateway);
}

} // namespace

GatewayStops::GatewayStops(Fleet &fleet, std::uint64_t seed,
                           std::function<void(const std::string &)> log)
    : fleet_(fleet), random_(seed ^ stopSeedOffset), log_(std::move(log))
{
    constexpr int latestStart = 2500;
    nextAt_ = monotonicNow() + milliseconds(draw(500, latestStart));
}

int GatewayStops::draw(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(random_);
}

bool GatewayStops::anyStopping() const
{
    return std::ranges::any_of(fleet_.gateways(),
                               [](const auto &gateway) { return gateway->stopping(); });
}

void GatewayStops::advance(TimePoint now)
{
    runLaterSteps(now);
    checkEnds(now);
    if (now >= nextAt_ && toStop_.empty())
        planStops();
    const auto mayBeStopped = [now](const auto &gateway) { return gateway->mayBeStopped(now); };
    while (!toStop_.empty() && mayBeStopped(fleet_.gateways()[toStop_.front()])
           && (!inTurn_ || std::ranges::all_of(fleet_.gateways(), mayBeStopped))) {
        stop(toStop_.front(), now);
        toStop_.pop_front();
        nextAt_ = now + milliseconds(draw(500, 3000));
    }
}

void GatewayStops::planStops()
{
    const std::size_t count = fleet_.gateways().size();
    inTurn_ = draw(0, 1) == 0;
    const auto first = static_cast<std::size_t>(draw(0, static_cast<int>(count) - 1));
    const std::size_t stops = draw(0, 2) == 0 ? 1 : count;
    for (std::size_t i = 0; i < stops; ++i)
        toStop_.push_back((first + i) % count);
}

void GatewayStops::stop(std::size_t gateway, TimePoint now)
{
    constexpr std::array<const char *, 5> descriptions = {
        "", ", twice", " with SIGHUP before and after", " during a change", ", the store silent"};
    ++begun_;
    GatewayProcess &process = *fleet_.gateways()[gateway];
    const auto beside = static_cast<Beside>(draw(0, static_cast<int>(descriptions.size()) - 1));
    const milliseconds pause{draw(0, 3000)};
    log_(nameOf(gateway) + " is stopped" + descriptions.at(static_cast<std::size_t>(beside)));
    if (beside == Beside::Reload)
        process.signal(SIGHUP);
    if (beside == Beside::Change)
        fleet_.publish(draw(0, 1) == 0);
    if (beside == Beside::SilentStore) {
        fleet_.setStoreLinkFault(LinkFault::Blackholed);
        laterSteps_.push_back(
            {now + silentTime, [this] { fleet_.setStoreLinkFault(LinkFault::None); }});
    }
    process.terminate();
    const auto later = [&](int signal) {
        laterSteps_.push_back({now + pause, [&process, signal] {
                                   if (process.stopping())
                                       process.signal(signal);
                               }});
    };
    if (beside == Beside::SecondSignal)
        later(SIGTERM);
    if (beside == Beside::Reload)
        later(SIGHUP);
}

void GatewayStops::runLaterSteps(TimePoint now)
{
    std::vector<LaterStep> due;
    std::erase_if(laterSteps_, [&](LaterStep &later) {
        if (later.at > now)
            return false;
        due.push_back(std::move(later));
        return true;
    });
    for (const LaterStep &later : due)
        later.step();
}

void GatewayStops::checkEnds(TimePoint now)
{
    for (std::size_t gateway = 0; gateway < fleet_.gateways().size(); ++gateway) {
        GatewayProcess &process = *fleet_.gateways()[gateway];
        const std::optional<StopResult> result = process.checkStopped(now);
        if (!result)
            continue;
        if (!result->clean)
            fleet_.recorder().noteViolation(nameOf(gateway) + " did not exit with 0 after SIGTERM");
        if (!result->inTime)
            fleet_.recorder().noteViolation(nameOf(gateway) + " outlived its grace period");
        const milliseconds away{draw(0, 800)};
        laterSteps_.push_back({now + away, [this, &process] {
                                   if (process.running())
                                       return;
                                   fleet_.noteGatewayBegin();
                                   process.start();
                               }});
    }
}

void GatewayStops::finish()
{
    toStop_.clear();
    while (anyStopping() || !laterSteps_.empty()) {
        const TimePoint now = monotonicNow();
        runLaterSteps(now);
        checkEnds(now);
        ::poll(nullptr, 0, pollMilliseconds);
    }
}

} // namespace wisteria::soak
