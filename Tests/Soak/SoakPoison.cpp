#include "Soak/SoakPoison.h"

#include <string>

#include <arpa/inet.h>
#include <poll.h>

#include "Soak/KeepAliveCaller.h"

namespace wisteria::soak {

using namespace gateway_tests;

namespace {

constexpr std::size_t maxServers = 4;
constexpr std::size_t maxPoisonRequests = 2;
/// A service at which two poison requests hide each other, in every other run.
constexpr std::size_t smallServers = 3;
/// Sends that may follow later than `settleTime` after the third copy ended with its server.
constexpr std::size_t maxLaterSends = 3;
constexpr std::size_t countedCopy = 3;
constexpr milliseconds settleTime{3000};
constexpr milliseconds soundInterval{30};
/// Makes the draws independent of those of SoakFaults for the same seed.
constexpr std::uint64_t poisonSeedOffset = 0xC4A5;

constexpr milliseconds usualDeadline{1000};

std::string requestWithBody(const std::string &id, const std::string &body,
                            milliseconds deadline = usualDeadline)
{
    return "POST /crash/x HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Token key1\r\n"
           "Wisteriawind-Attempt-Id: "
        + id + "\r\nWisteriawind-Deadline-Ms: " + std::to_string(deadline.count())
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

SoakPoison::SoakPoison(Fleet &fleet, std::uint64_t seed)
    : fleet_(fleet), random_(seed ^ poisonSeedOffset)
{
    const auto draw = [this](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random_);
    };
    constexpr milliseconds soundTime{1500};
    CrashingServerPlan plan{.service = "crashing",
                            .crashAfter = milliseconds(draw(5, 200)),
                            .downTime = milliseconds(draw(500, 2500)),
                            .soundTime = draw(0, 1) * soundTime,
                            .returnsUnderNewId = draw(0, 1) == 1};
    std::size_t servers = static_cast<std::size_t>(draw(1, maxServers));
    std::size_t poisonRequests = static_cast<std::size_t>(draw(1, maxPoisonRequests));
    const std::vector<milliseconds> intervals = {milliseconds(draw(100, 800)),
                                                 milliseconds(draw(100, 800))};
    if (draw(0, 1) == 1) {
        servers = smallServers;
        poisonRequests = maxPoisonRequests;
    }
    plan.outlivesCallers = draw(0, 1) == 1;
    shortDeadline_ = milliseconds(draw(20, 300));
    for (std::size_t i = 0; i < servers; ++i) {
        servers_.push_back(std::make_unique<CrashingServer>(
            fleet_.store(), "crashing-" + std::to_string(i), INADDR_LOOPBACK, plan));
    }
    for (std::size_t i = 0; i < poisonRequests; ++i)
        threads_.emplace_back([this, i, interval = intervals[i]] { repeatPoison(i, interval); });
    threads_.emplace_back([this] { sendSound(); });
}

SoakPoison::~SoakPoison()
{
    stop();
}

void SoakPoison::stop()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void SoakPoison::repeatPoison(std::size_t number, milliseconds interval)
{
    const std::string body = poisonMark + std::to_string(number);
    for (std::size_t i = 0; !stopping_; ++i) {
        KeepAliveCaller caller(fleet_, i % fleet_.gateways().size());
        const milliseconds deadline = i % 2 == 0 ? usualDeadline : shortDeadline_;
        const std::string id = body + "-" + std::to_string(i);
        caller.call({id, requestWithBody(id, body, deadline)});
        ::poll(nullptr, 0, static_cast<int>(interval.count()));
    }
}

void SoakPoison::sendSound()
{
    for (std::size_t i = 0; !stopping_; ++i) {
        KeepAliveCaller caller(fleet_, i % fleet_.gateways().size());
        const std::string id = "sound-" + std::to_string(i);
        const CallResult answer = caller.call({id, requestWithBody(id, id)});
        if (answer.status == 200)
            ++servedSound_;
        if (answer.status >= 400 && answer.status < 500)
            fleet_.recorder().noteViolation(id + ": a sound request beside poison requests got "
                                            + std::to_string(answer.status));
        ::poll(nullptr, 0, static_cast<int>(soundInterval.count()));
    }
}

void SoakPoison::finish()
{
    stop();
    CrashHistory history;
    for (const auto &server : servers_)
        history.merge(server->history());
    for (const auto &[body, one] : history.byRequest) {
        const std::size_t later = one.arrivalsAfterCopy(countedCopy, settleTime);
        if (later > maxLaterSends)
            fleet_.recorder().noteViolation(body + " reached servers " + std::to_string(later)
                                            + " times later than 3 s after the third of its copies "
                                              "had ended with its server; "
                                            + std::to_string(one.endedCopies.size())
                                            + " ended in all");
    }
}

std::size_t SoakPoison::crashes() const
{
    CrashHistory history;
    for (const auto &server : servers_)
        history.merge(server->history());
    return history.crashes.size();
}

} // namespace wisteria::soak
