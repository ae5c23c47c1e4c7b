#include "Soak/SoakFaults.h"

#include <array>
#include <csignal>
#include <utility>

namespace wisteria::soak {

namespace {

constexpr std::array<std::pair<LinkFault, const char *>, 4> linkFaults = {{
    {LinkFault::Delayed, "delayed"},
    {LinkFault::Silenced, "silenced"},
    {LinkFault::RequestsCut, "cut towards the server"},
    {LinkFault::AnswersCut, "cut towards the client"},
}};

} // namespace

SoakFaults::SoakFaults(Fleet &fleet, std::uint64_t seed,
                       std::function<void(const std::string &)> tell)
    : fleet_(fleet), random_(seed), needsRandom_(~seed), tell_(std::move(tell))
{ }

std::size_t SoakFaults::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

milliseconds SoakFaults::between(int low, int high)
{
    return milliseconds(std::uniform_int_distribution<int>(low, high)(random_));
}

void SoakFaults::until(TimePoint at, std::function<void()> end)
{
    endings_.push_back({at, std::move(end)});
}

void SoakFaults::work(TimePoint now)
{
    std::vector<Ending> due;
    std::erase_if(endings_, [&](Ending &ending) {
        if (ending.at > now)
            return false;
        due.push_back(std::move(ending));
        return true;
    });
    for (const Ending &ending : due)
        ending.end();
    if (now >= nextNeedAt_)
        putInNeed(now);
    if (now < nextAt_)
        return;
    nextAt_ = now + between(100, 700);
    begin(now);
}

void SoakFaults::heal()
{
    for (const Ending &ending : std::exchange(endings_, {}))
        ending.end();
}

void SoakFaults::begin(TimePoint now)
{
    switch (below(4)) {
    case 0:
        harmServerLink(now);
        return;
    case 1:
        harmStore(now);
        return;
    case 2:
        harmGateway(now);
        return;
    default:
        planWork(now);
        return;
    }
}

void SoakFaults::harmServerLink(TimePoint now)
{
    const std::size_t server = below(fleet_.serverLinks().size());
    FaultProxy &link = *fleet_.serverLinks()[server];
    const std::string name = "link of server-" + std::to_string(server);
    if (below(3) == 0) {
        tell_(name + " is reset");
        link.resetConnections();
        return;
    }
    const auto &[fault, word] = linkFaults.at(below(linkFaults.size()));
    const milliseconds length = between(200, 2500);
    tell_(name + " is " + word + " for " + std::to_string(length.count()) + " ms");
    link.setFault(fault);
    until(now + length, [&link] { link.setFault(LinkFault::None); });
}

void SoakFaults::harmStore(TimePoint now)
{
    const milliseconds length = between(200, 2500);
    const std::string times = " for " + std::to_string(length.count()) + " ms";
    switch (below(3)) {
    case 0:
        tell_("link of the store is reset");
        fleet_.storeLink().resetConnections();
        return;
    case 1:
        tell_("the store is away" + times);
        fleet_.store().setUnavailable(true);
        until(now + length, [this] { fleet_.store().setUnavailable(false); });
        return;
    default:
        const auto &[fault, word] = linkFaults.at(below(linkFaults.size()));
        tell_("link of the store is " + std::string(word) + times);
        fleet_.storeLink().setFault(fault);
        until(now + length, [this] { fleet_.storeLink().setFault(LinkFault::None); });
        return;
    }
}

void SoakFaults::harmGateway(TimePoint now)
{
    const std::size_t number = below(fleet_.gateways().size());
    GatewayProcess &gateway = *fleet_.gateways()[number];
    const std::string name = "gateway-" + std::to_string(number);
    const milliseconds length = between(100, 1500);
    if (!gateway.running())
        return;
    if (below(2) == 0) {
        tell_(name + " stands for " + std::to_string(length.count()) + " ms");
        gateway.signal(SIGSTOP);
        until(now + length, [&gateway] { gateway.signal(SIGCONT); });
        return;
    }
    tell_(name + " is killed, and started after " + std::to_string(length.count()) + " ms");
    gateway.kill();
    until(now + length, [&gateway] {
        if (!gateway.running())
            gateway.start();
    });
}

void SoakFaults::putInNeed(TimePoint now)
{
    const auto draw = [this](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(needsRandom_);
    };
    nextNeedAt_ = now + milliseconds(draw(300, 1500));
    const auto server =
        static_cast<std::size_t>(draw(0, static_cast<int>(fleet_.serverLinks().size()) - 1));
    const milliseconds length{draw(300, 3000)};
    const bool rests = draw(0, 1) == 0;
    tell_("server-" + std::to_string(server) + (rests ? " asks for rest" : " names a limit")
          + " for " + std::to_string(length.count()) + " ms");
    fleet_.setNeed(server, rests ? Need::Rest : Need::Limit);
    until(now + length, [this, server] { fleet_.setNeed(server, Need::None); });
}

void SoakFaults::planWork(TimePoint now)
{
    const milliseconds length = between(300, 2000);
    const std::size_t server = below(fleet_.serverLinks().size());
    switch (below(4)) {
    case 0: {
        const std::size_t number = below(fleet_.gateways().size());
        tell_("SIGHUP for gateway-" + std::to_string(number));
        fleet_.gateways()[number]->signal(SIGHUP);
        return;
    }
    case 1:
        tell_("server-" + std::to_string(server) + " leaves for a while");
        fleet_.report(server, true);
        until(now + length, [this, server] { fleet_.report(server, false); });
        return;
    case 2:
        tell_("a new configuration");
        fleet_.publish(true);
        return;
    default:
        tell_("streams break off for a while");
        fleet_.setCrashing(true);
        until(now + length, [this] { fleet_.setCrashing(false); });
        return;
    }
}

} // namespace wisteria::soak
