#include "Soak/SoakEngines.h"

#include <string>

#include <arpa/inet.h>
#include <poll.h>

#include "Gateway/ScriptedAnswers.h"
#include "Soak/KeepAliveCaller.h"

namespace wisteria::soak {

using namespace gateway_tests;

namespace {

constexpr std::size_t vmCount = 3;
constexpr std::size_t callerCount = 3;
constexpr int eventCount = 6;
constexpr int eventMilliseconds = 30;
constexpr int pauseMilliseconds = 20;
/// Callers leave a stream after two seconds without an event.
constexpr milliseconds callerPatience{2000};
/// Time between the end of a freeze and the next one: a stream that was moved once, which its route
/// allows, has ended.
constexpr int calmMilliseconds = 1200;
constexpr std::size_t checkedFreezes = 3;
/// Makes the draws independent of those of SoakFaults for the same seed.
constexpr std::uint64_t engineSeedOffset = 0xF7EE;

std::string streamRequest(const std::string &id)
{
    return "POST /engine/x HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Token key1\r\n"
           "Wisteriawind-Attempt-Id: "
        + id + "\r\nWisteriawind-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
}

std::string eventsFrom(int first, int last)
{
    std::string events;
    for (int event = first; event <= last; ++event)
        events += eventText(event);
    return events;
}

} // namespace

SoakEngines::SoakEngines(Fleet &fleet, std::uint64_t seed)
    : fleet_(fleet), random_(seed ^ engineSeedOffset)
{
    for (std::size_t i = 0; i < vmCount; ++i) {
        vms_.push_back(
            std::make_unique<EngineVm>(INADDR_LOOPBACK + 1 + static_cast<std::uint32_t>(i),
                                       [this](EngineVm &vm, const SeenRequest &request,
                                              ScriptPeer &peer) { runStream(vm, request, peer); }));
        for (const auto &gateway : fleet_.gateways())
            vms_.back()->reportTo(gateway->messages());
        fleet_.store().put("keyed.servers", "engine-" + std::to_string(i),
                           {{"service", "engine"},
                            {"address", toText(vms_.back()->endpoint())},
                            {"zone", "c"},
                            {"slot_count", 16},
                            {"state", "ready"}});
    }
    threads_.emplace_back([this] { freezeRepeatedly(); });
    for (std::size_t i = 0; i < callerCount; ++i)
        threads_.emplace_back([this, i] { callRepeatedly(i); });
}

SoakEngines::~SoakEngines()
{
    stop();
}

void SoakEngines::stop()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void SoakEngines::freezeRepeatedly()
{
    const auto draw = [this](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random_);
    };
    while (!stopping_) {
        EngineVm &vm = *vms_[static_cast<std::size_t>(draw(0, vmCount - 1))];
        vm.setFrozen(true);
        ::poll(nullptr, 0, draw(300, 3500));
        vm.setFrozen(false);
        ++freezes_;
        ::poll(nullptr, 0, calmMilliseconds);
    }
}

void SoakEngines::runStream(EngineVm &vm, const SeenRequest &request, ScriptPeer &peer)
{
    const std::string id = request.header("Wisteriawind-Attempt-Id");
    fleet_.recorder().noteRun(id, request.target());
    const std::string last = request.header("Last-Event-Id");
    if (!vm.engineSilent())
        peer.send(streamHead(request));
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= eventCount; ++event) {
        // A frozen engine goes on when its VM wakes.
        while (vm.engineSilent() && !stopping_)
            ::poll(nullptr, 0, eventMilliseconds);
        if (peer.waitForEnd(milliseconds(eventMilliseconds)) || stopping_)
            return;
        peer.send(chunk(eventText(event)));
    }
    peer.send("0\r\n\r\n");
}

void SoakEngines::callRepeatedly(std::size_t caller)
{
    for (std::size_t i = 0; !stopping_; ++i) {
        const bool checked = onlyFreezes_;
        const std::string id = "engine-" + std::to_string(caller) + "-" + std::to_string(i);
        KeepAliveCaller connection(fleet_, (caller + i) % fleet_.gateways().size());
        const TimePoint begun = monotonicNow();
        const CallResult answer = connection.call({id, streamRequest(id)});
        const milliseconds took = remaining(begun, monotonicNow());
        const bool complete = answer.status == 200 && answer.whole;
        complete_ += complete ? 1 : 0;
        if (answer.status == 200 && !eventsFrom(1, eventCount).starts_with(answer.body))
            fleet_.recorder().noteViolation(id + ": wrong events: " + answer.body);
        if (complete && answer.body != eventsFrom(1, eventCount))
            fleet_.recorder().noteViolation(id + ": a complete stream lacks events");
        if (checked && (!complete || took > callerPatience))
            fleet_.recorder().noteViolation(id + ": status " + std::to_string(answer.status)
                                            + " after " + std::to_string(took.count())
                                            + " ms while only single VMs froze");
        ::poll(nullptr, 0, pauseMilliseconds);
    }
}

void SoakEngines::checkFreezes()
{
    onlyFreezes_ = true;
    const std::size_t before = freezes_;
    while (freezes_ < before + checkedFreezes)
        ::poll(nullptr, 0, pauseMilliseconds);
    onlyFreezes_ = false;
}

} // namespace wisteria::soak
