#include "Gateway/GatewayFleet.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Gateway/GatewayUnderTest.h"

namespace wisteria::gateway_tests {

namespace {

/// Time that a gateway has to act on a signal of a backend server.
constexpr milliseconds reactionTime{500};

/// Opens what a gateway's log lines are written to: a new file in the folder that the environment
/// variable WISTERIA_TEST_LOGS names, if it is set.
int openGatewayLog()
{
    std::string path = "/dev/null";
    if (const char *folder = std::getenv("WISTERIA_TEST_LOGS")) {
        static std::atomic<int> count{0};
        const std::string name = std::to_string(::getpid()) + "-" + std::to_string(count++);
        path = std::string(folder) + "/gateway-" + name + ".log";
    }
    constexpr mode_t mode = 0644;
    return ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, mode);
}

} // namespace

std::uint32_t unusedLoopbackAddresses()
{
    constexpr std::uint32_t addressesPerProcess = 4096;
    constexpr std::uint32_t addressesPerCall = 64;
    constexpr std::uint32_t processes = 4000;
    static std::atomic<std::uint32_t> calls{0};
    const auto process = static_cast<std::uint32_t>(::getpid());
    const std::uint32_t call = calls++ % (addressesPerProcess / addressesPerCall);
    return INADDR_LOOPBACK + (1 + process % processes) * addressesPerProcess
        + call * addressesPerCall;
}

GatewayFleet::GatewayFleet(std::size_t gateways)
{
    store.put("keyed.op", "config", configurationOf(configurationVersion_));
    const std::uint32_t firstAddress = unusedLoopbackAddresses();
    for (std::size_t i = 0; i < gateways; ++i)
        callers_.push_back({firstAddress + static_cast<std::uint32_t>(i), freePort()});
}

GatewayFleet::~GatewayFleet()
{
    for (const pid_t child : children_)
        ::kill(child, SIGKILL);
    for (const pid_t child : children_)
        ::waitpid(child, nullptr, 0);
}

void GatewayFleet::addServer(const std::string &id, const ScriptedServer &server)
{
    store.put("keyed.servers", id,
              {{"service", "plain"},
               {"address", toText(server.endpoint())},
               {"zone", "a"},
               {"slot_count", 8},
               {"state", "ready"}});
}

pid_t GatewayFleet::startGateway(const std::string &settings)
{
    const int log = openGatewayLog();
    const pid_t child = startProgram("wisteria-gateway", settings, {}, log);
    ::close(log);
    return child;
}

void GatewayFleet::start(const std::string &moreSettings)
{
    for (std::size_t i = 0; i < callers_.size(); ++i) {
        settings_.push_back(writeSettings("front-" + std::to_string(i),
                                          {.store = store.endpoint(), .callers = callers_[i]}));
        std::ofstream(settings_.back(), std::ios::app) << moreSettings;
        children_.push_back(startGateway(settings_.back()));
    }
    for (const Endpoint &callers : callers_) {
        constexpr int noRoute = 404;
        const bool known = eventually([&callers] {
            return callServer(callers, requestFor("/none/x", "a0")).status == noRoute;
        });
        if (!known)
            throw std::runtime_error("a gateway of the fleet does not start");
    }
}

void GatewayFleet::changeConfiguration(nlohmann::json configuration)
{
    configuration["version"] = ++configurationVersion_;
    store.put("keyed.op", "config", configuration);
}

void GatewayFleet::restart(std::size_t gateway)
{
    ::kill(children_[gateway], SIGKILL);
    ::waitpid(children_[gateway], nullptr, 0);
    children_[gateway] = startGateway(settings_[gateway]);
}

void GatewayFleet::restartAll()
{
    for (const pid_t child : children_)
        ::kill(child, SIGKILL);
    for (const pid_t child : children_)
        ::waitpid(child, nullptr, 0);
    for (std::size_t i = 0; i < children_.size(); ++i)
        children_[i] = startGateway(settings_[i]);
}

std::vector<CallResult> GatewayFleet::sendAtRate(const RequestMaker &maker, double perSecond,
                                                 milliseconds time) const
{
    const TimePoint begin = monotonicNow();
    const auto count =
        static_cast<std::size_t>(perSecond * static_cast<double>(time.count()) / 1000);
    std::vector<std::future<CallResult>> calls;
    for (std::size_t i = 0; i < count; ++i) {
        const TimePoint due = begin + time * i / count;
        const milliseconds left = remaining(monotonicNow(), due);
        ::poll(nullptr, 0, static_cast<int>(std::max<std::int64_t>(0, left.count())));
        const std::size_t gateway = i % size();
        const std::string request =
            maker("g" + std::to_string(gateway) + "-" + std::to_string(i), i);
        calls.push_back(std::async(std::launch::async, [this, gateway, request] {
            return callServer(callers_[gateway], request);
        }));
    }
    std::vector<CallResult> results;
    results.reserve(calls.size());
    for (auto &call : calls)
        results.push_back(call.get());
    return results;
}

std::vector<CallResult> GatewayFleet::sendAtRate(const std::string &target, int perSecond,
                                                 milliseconds time) const
{
    const auto maker = [&target](const std::string &id, std::size_t) {
        return requestFor(target, id);
    };
    return sendAtRate(maker, perSecond, time);
}

std::size_t gatewayOf(const SeenRequest &request)
{
    return std::stoul(request.header("Wisteriawind-Attempt-Id").substr(1));
}

void ArrivalLog::note(const SeenRequest &request, bool signalled, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::size_t gateway = gatewayOf(request);
    arrivals_.push_back({gateway, now});
    signalledAt_.resize(std::max(signalledAt_.size(), gateway + 1));
    if (signalled && signalledAt_[gateway] == TimePoint())
        signalledAt_[gateway] = now;
}

std::size_t ArrivalLog::maxAfterAnswer(milliseconds time) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t maxCount = 0;
    for (const Arrival &answered : arrivals_) {
        const auto within = [&answered, time](const Arrival &arrival) {
            return arrival.gateway == answered.gateway && arrival.at >= answered.at + reactionTime
                && arrival.at < answered.at + time;
        };
        const auto count = std::count_if(arrivals_.begin(), arrivals_.end(), within);
        maxCount = std::max(maxCount, static_cast<std::size_t>(count));
    }
    return maxCount;
}

std::size_t ArrivalLog::countLaterThan(milliseconds time) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto late = [this, time](const Arrival &arrival) {
        const TimePoint signalledAt = signalledAt_[arrival.gateway];
        return signalledAt != TimePoint() && arrival.at > signalledAt + time;
    };
    return static_cast<std::size_t>(std::count_if(arrivals_.begin(), arrivals_.end(), late));
}

std::vector<Arrival> ArrivalLog::fromSignalled() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Arrival> signalled;
    for (const Arrival &arrival : arrivals_) {
        const TimePoint signalledAt = signalledAt_[arrival.gateway];
        if (signalledAt != TimePoint() && arrival.at >= signalledAt + reactionTime)
            signalled.push_back(arrival);
    }
    return signalled;
}

TimePoint ArrivalLog::firstSignalAt() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    TimePoint first;
    for (const TimePoint at : signalledAt_) {
        if (at != TimePoint() && (first == TimePoint() || at < first))
            first = at;
    }
    return first;
}

std::size_t ArrivalLog::count() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_.size();
}

std::size_t maxWithin(const std::vector<Arrival> &arrivals, TimePoint after, milliseconds span)
{
    std::size_t maxCount = 0;
    for (const Arrival &first : arrivals) {
        if (first.at < after)
            continue;
        const auto within = [&](const Arrival &arrival) {
            return arrival.at >= first.at && arrival.at < first.at + span;
        };
        const auto count = std::count_if(arrivals.begin(), arrivals.end(), within);
        maxCount = std::max(maxCount, static_cast<std::size_t>(count));
    }
    return maxCount;
}

} // namespace wisteria::gateway_tests
