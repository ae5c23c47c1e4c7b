#include "Soak/SoakFaults.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

namespace wisteria::soak {

using gateway_tests::StoreFault;

namespace {

constexpr std::array<std::pair<LinkFault, const char *>, 4> linkFaults = {{
    {LinkFault::Delayed, "delayed"},
    {LinkFault::Blackholed, "blocked in both directions"},
    {LinkFault::RequestsBlocked, "blocked towards the server"},
    {LinkFault::AnswersBlocked, "blocked towards the client"},
}};

/// Makes the generator of evacuations independent of those of neighbouring seeds.
constexpr std::uint64_t evacuationSeedOffset = 0x9E3779B97F4A7C15;
/// Seeds from this one on have outages in which all gateways are killed.
constexpr std::uint64_t firstOutageSeed = 10000;

int randomInt(std::mt19937_64 &random, int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(random);
}

} // namespace

SoakFaults::SoakFaults(Fleet &fleet, std::uint64_t seed,
                       std::function<void(const std::string &)> log)
    : fleet_(fleet), random_(seed), signalRandom_(~seed),
      evacuationRandom_(seed + evacuationSeedOffset), coldRandom_(seed ^ 0xC01DULL),
      leavingRandom_(seed ^ 0x1EA7E5ULL), troubleRandom_(seed ^ 0xB20CE17ULL),
      outageRandom_(seed ^ 0x0A7A6EULL), storeMayBeAway_(seed % 4 != 3), log_(std::move(log)),
      stops_(fleet, seed, log_)
{
    // Evacuated servers get no traffic, and faults of their links then have no effect: every second
    // seed has no evacuations, the others have seconds without any.
    nextEvacuationAt_ = seed % 2 == 0
        ? monotonicNow() + milliseconds(randomInt(evacuationRandom_, 0, 4000))
        : TimePoint::max();
    if (seed >= firstOutageSeed)
        nextOutageAt_ = monotonicNow() + milliseconds(randomInt(outageRandom_, 1500, 3000));
}

std::size_t SoakFaults::randomBelow(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

milliseconds SoakFaults::randomDuration(int low, int high)
{
    return milliseconds(randomInt(random_, low, high));
}

void SoakFaults::scheduleEnd(TimePoint at, std::function<void()> end)
{
    scheduledEnds_.push_back({at, std::move(end)});
}

void SoakFaults::advance(TimePoint now)
{
    std::vector<ScheduledEnd> due;
    std::erase_if(scheduledEnds_, [&](ScheduledEnd &ending) {
        if (ending.at > now)
            return false;
        due.push_back(std::move(ending));
        return true;
    });
    for (const ScheduledEnd &ending : due)
        ending.end();
    stops_.advance(now);
    if (now >= nextSignalAt_)
        startServerSignal(now);
    if (now >= nextEvacuationAt_)
        startEvacuation(now);
    if (now >= nextColdAt_)
        startColdPhase(now);
    if (now >= nextLeavingAt_)
        startLeaving(now);
    if (now >= nextTroubleAt_)
        startTrouble(now);
    if (now >= nextOutageAt_)
        startOutage(now);
    if (now < nextAt_)
        return;
    nextAt_ = now + randomDuration(100, 700);
    injectFault(now);
}

void SoakFaults::endAll()
{
    for (const ScheduledEnd &ending : std::exchange(scheduledEnds_, {}))
        ending.end();
    stops_.finish();
    // What follows is checked with the servers that never leave.
    for (std::size_t server = linkedServerCount; server < serverCount; ++server)
        fleet_.leave(server, Leaving::Removal);
}

void SoakFaults::injectFault(TimePoint now)
{
    switch (randomBelow(4)) {
    case 0:
        injectServerLinkFault(now);
        return;
    case 1:
        injectStoreFault(now);
        return;
    case 2:
        injectGatewayFault(now);
        return;
    default:
        injectOperationalEvent(now);
        return;
    }
}

void SoakFaults::injectServerLinkFault(TimePoint now)
{
    const std::size_t server = randomBelow(fleet_.serverLinks().size());
    FaultProxy &link = *fleet_.serverLinks()[server];
    const std::string name = "link of server-" + std::to_string(server);
    if (randomBelow(3) == 0) {
        log_(name + " is reset");
        link.resetConnections();
        return;
    }
    const auto &[fault, description] = linkFaults.at(randomBelow(linkFaults.size()));
    const milliseconds length = randomDuration(200, 2500);
    log_(name + " is " + description + " for " + std::to_string(length.count()) + " ms");
    link.setFault(fault);
    scheduleEnd(now + length, [&link] { link.setFault(LinkFault::None); });
}

void SoakFaults::injectStoreFault(TimePoint now)
{
    const milliseconds length = randomDuration(200, 2500);
    const std::string times = " for " + std::to_string(length.count()) + " ms";
    switch (storeMayBeAway_ ? randomBelow(3) : 0) {
    case 0:
        log_("link of the store is reset");
        fleet_.resetStoreLink();
        return;
    case 1:
        log_("the store is unavailable" + times);
        fleet_.setStoreUnavailable(true);
        scheduleEnd(now + length, [this] { fleet_.setStoreUnavailable(false); });
        return;
    default:
        const auto &[fault, description] = linkFaults.at(randomBelow(linkFaults.size()));
        log_("link of the store is " + std::string(description) + times);
        fleet_.setStoreLinkFault(fault);
        scheduleEnd(now + length, [this] { fleet_.setStoreLinkFault(LinkFault::None); });
        return;
    }
}

void SoakFaults::injectGatewayFault(TimePoint now)
{
    const std::size_t number = randomBelow(fleet_.gateways().size());
    GatewayProcess &gateway = *fleet_.gateways()[number];
    const std::string name = "gateway-" + std::to_string(number);
    const milliseconds length = randomDuration(100, 1500);
    if (!gateway.running())
        return;
    if (randomBelow(2) == 0) {
        log_(name + " is suspended for " + std::to_string(length.count()) + " ms");
        fleet_.setSuspended(number, true);
        gateway.suspend();
        scheduleEnd(now + length, [this, &gateway, number] {
            fleet_.noteGatewayBegin();
            gateway.resume();
            fleet_.setSuspended(number, false);
        });
        return;
    }
    log_(name + " is killed, and restarted after " + std::to_string(length.count()) + " ms");
    gateway.kill();
    scheduleEnd(now + length, [this, &gateway] {
        if (gateway.running())
            return;
        fleet_.noteGatewayBegin();
        gateway.start();
    });
}

void SoakFaults::startServerSignal(TimePoint now)
{
    nextSignalAt_ = now + milliseconds(randomInt(signalRandom_, 300, 1500));
    const auto server = static_cast<std::size_t>(
        randomInt(signalRandom_, 0, static_cast<int>(fleet_.serverLinks().size()) - 1));
    const milliseconds length{randomInt(signalRandom_, 300, 3000)};
    const bool backoff = randomInt(signalRandom_, 0, 1) == 0;
    log_("server-" + std::to_string(server)
         + (backoff ? " asks for backoff" : " advertises a limit") + " for "
         + std::to_string(length.count()) + " ms");
    fleet_.setSignal(server, backoff ? ServerSignal::Backoff : ServerSignal::Limit);
    scheduleEnd(now + length, [this, server] { fleet_.setSignal(server, ServerSignal::None); });
}

/// Some evacuations last longer than the bound. One in four is of both domains, or of one domain
/// twice; these are short, because all requests are refused while both domains are evacuated.
void SoakFaults::startEvacuation(TimePoint now)
{
    const int records = randomInt(evacuationRandom_, 0, 3) == 0 ? 2 : 1;
    TimePoint lastEnd = now;
    for (int i = 0; i < records; ++i) {
        const std::string &domain =
            Fleet::domains().at(static_cast<std::size_t>(randomInt(evacuationRandom_, 0, 1)));
        const milliseconds length{randomInt(evacuationRandom_, 500, records == 1 ? 9000 : 1500)};
        log_("domain " + domain + " is evacuated for " + std::to_string(length.count()) + " ms");
        fleet_.setEvacuated(domain, true);
        scheduleEnd(now + length, [this, domain] { fleet_.setEvacuated(domain, false); });
        lastEnd = std::max(lastEnd, now + length);
    }
    nextEvacuationAt_ = lastEnd + milliseconds(randomInt(evacuationRandom_, 3000, 8000));
}

void SoakFaults::startColdPhase(TimePoint now)
{
    nextColdAt_ = now + milliseconds(randomInt(coldRandom_, 500, 2000));
    const auto server =
        static_cast<std::size_t>(randomInt(coldRandom_, 0, static_cast<int>(coldServerCount) - 1));
    const std::string name = "cold-" + std::to_string(server);
    if (randomInt(coldRandom_, 0, 3) == 0) {
        log_(name + " restarts");
        fleet_.restartColdServer(server);
        return;
    }
    const milliseconds length{randomInt(coldRandom_, 1000, 3000)};
    const milliseconds unknownFor{randomInt(coldRandom_, 0, 1200)};
    log_(name + " is cold for " + std::to_string(length.count()) + " ms; its entry states it after "
         + std::to_string(unknownFor.count()) + " ms");
    fleet_.setColdUntil(server, now + length);
    scheduleEnd(now + unknownFor, [this, server] { fleet_.putColdServer(server); });
}

/// Lets a server leave for longer than the bound, mostly while some calls of the store fail.
void SoakFaults::startLeaving(TimePoint now)
{
    constexpr std::array<std::pair<Leaving, const char *>, 3> ways = {{
        {Leaving::Removal, "is removed"},
        {Leaving::Draining, "drains"},
        {Leaving::DrainingThenOlder, "drains, and an older heartbeat follows"},
    }};
    constexpr std::array<std::pair<StoreFault, const char *>, 4> faults = {{
        {StoreFault::TooManyCalls, "refused with 429"},
        {StoreFault::Unavailable, "refused with 503"},
        {StoreFault::Lost, "not answered"},
        {StoreFault::Broken, "answered brokenly"},
    }};
    nextLeavingAt_ = now + milliseconds(randomInt(leavingRandom_, 2300, 2900));
    const std::size_t server = nextLeaver_;
    nextLeaver_ = server + 1 < serverCount ? server + 1 : linkedServerCount;
    const auto &[way, description] = ways.at(
        static_cast<std::size_t>(randomInt(leavingRandom_, 0, static_cast<int>(ways.size()) - 1)));
    const auto &[fault, faultDescription] = faults.at(static_cast<std::size_t>(
        randomInt(leavingRandom_, 0, static_cast<int>(faults.size()) - 1)));
    const int period = randomInt(leavingRandom_, 2, 5);
    const milliseconds failing{randomInt(leavingRandom_, 300, 1400)};
    const milliseconds before{randomInt(leavingRandom_, 0, 700)};
    log_("one in " + std::to_string(period) + " calls of the store is " + faultDescription + " for "
         + std::to_string(failing.count()) + " ms; server-" + std::to_string(server) + " "
         + description + " after " + std::to_string(before.count()) + " ms");
    fleet_.failStoreCalls(static_cast<unsigned>(period), fault);
    scheduleEnd(now + failing, [this] { fleet_.failStoreCalls(0, StoreFault::None); });
    scheduleEnd(now + before, [this, server, way = way] { fleet_.leave(server, way); });
    // A server that drains goes on writing heartbeats.
    constexpr milliseconds heartbeatInterval{1200};
    for (int i = 1; i <= 3 && way != Leaving::Removal; ++i) {
        scheduleEnd(now + before + i * heartbeatInterval,
                    [this, server] { fleet_.repeatDraining(server); });
    }
    const milliseconds away{randomInt(leavingRandom_, 4000, 6000)};
    scheduleEnd(now + before + away, [this, server] { fleet_.comeBack(server); });
}

/// Lets a server send broken answers, all or some of them.
void SoakFaults::startTrouble(TimePoint now)
{
    nextTroubleAt_ = now + milliseconds(randomInt(troubleRandom_, 100, 600));
    const auto server =
        static_cast<std::size_t>(randomInt(troubleRandom_, 0, static_cast<int>(serverCount) - 1));
    const auto period = static_cast<unsigned>(randomInt(troubleRandom_, 1, 4));
    const auto firstKind = static_cast<unsigned>(randomInt(troubleRandom_, 0, 1000));
    const milliseconds length{randomInt(troubleRandom_, 300, 3000)};
    log_("one in " + std::to_string(period) + " answers of server-" + std::to_string(server)
         + " is broken for " + std::to_string(length.count()) + " ms, from kind "
         + std::to_string(firstKind) + " on");
    fleet_.setTrouble(server, period, firstKind);
    scheduleEnd(now + length, [this, server] { fleet_.setTrouble(server, 0, 0); });
}

/// Makes the store unavailable, and kills all gateways meanwhile.
void SoakFaults::startOutage(TimePoint now)
{
    constexpr milliseconds restartDelay{300};
    const milliseconds length{randomInt(outageRandom_, 800, 4000)};
    const milliseconds killed{randomInt(outageRandom_, 50, static_cast<int>(length.count()))};
    nextOutageAt_ = now + length + milliseconds(randomInt(outageRandom_, 5000, 9000));
    log_("the store is unavailable for " + std::to_string(length.count())
         + " ms; all gateways are killed after " + std::to_string(killed.count()) + " ms");
    fleet_.setStoreUnavailable(true);
    scheduleEnd(now + length, [this] { fleet_.setStoreUnavailable(false); });
    scheduleEnd(now + killed, [this] {
        for (const auto &gateway : fleet_.gateways()) {
            if (gateway->running())
                gateway->kill();
        }
    });
    scheduleEnd(now + killed + restartDelay, [this] {
        for (const auto &gateway : fleet_.gateways()) {
            if (gateway->running())
                continue;
            fleet_.noteGatewayBegin();
            gateway->start();
        }
    });
}

void SoakFaults::injectOperationalEvent(TimePoint now)
{
    const milliseconds length = randomDuration(300, 2000);
    const std::size_t server = randomBelow(fleet_.serverLinks().size());
    switch (randomBelow(4)) {
    case 0: {
        const std::size_t number = randomBelow(fleet_.gateways().size());
        const GatewayProcess &gateway = *fleet_.gateways()[number];
        if (!gateway.handlesSignals(now))
            return;
        log_("SIGHUP for gateway-" + std::to_string(number));
        gateway.signal(SIGHUP);
        return;
    }
    case 1:
        log_("server-" + std::to_string(server) + " drains for a while");
        fleet_.setDraining(server, true);
        scheduleEnd(now + length, [this, server] { fleet_.setDraining(server, false); });
        return;
    case 2:
        log_("a new configuration is published");
        fleet_.publish(true);
        return;
    default:
        log_("backend servers abort streams for a while");
        fleet_.setAbortingStreams(true);
        scheduleEnd(now + length, [this] { fleet_.setAbortingStreams(false); });
        return;
    }
}

} // namespace wisteria::soak
