#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Gateway/CrashingFleet.h"
#include "Gateway/GatewayUnderTest.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// Lets a process run for a small part of the time only, as on a VM with a part of a core.
class Throttle
{
public:
    explicit Throttle(pid_t process) : process_(process), thread_([this] { run(); }) { }
    ~Throttle()
    {
        stopping_ = true;
        thread_.join();
    }
    Throttle(const Throttle &) = delete;
    Throttle &operator=(const Throttle &) = delete;

private:
    void run()
    {
        constexpr int runMilliseconds = 1;
        constexpr int pauseMilliseconds = 39;
        while (!stopping_) {
            ::kill(process_, SIGSTOP);
            ::poll(nullptr, 0, pauseMilliseconds);
            ::kill(process_, SIGCONT);
            ::poll(nullptr, 0, runMilliseconds);
        }
    }

    pid_t process_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

/// How one connection of a caller ended.
enum class TryEnd {
    Served,
    Unread, ///< Refused, or closed without a byte.
    Failed, ///< Answered with a failure, or not at all in time.
};

/// Time after which callers give up a request that nobody answers.
constexpr int patienceMilliseconds = 1000;

TryEnd tryOnce(const Endpoint &gateway, const std::string &request)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(gateway.port);
    address.sin_addr.s_addr = htonl(gateway.ip);
    TryEnd end = TryEnd::Unread;
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
        std::string answer;
        pollfd wanted{descriptor, POLLIN, 0};
        ssize_t count = 1;
        while (count > 0 && answer.find("done") == std::string::npos) {
            if (::poll(&wanted, 1, patienceMilliseconds) <= 0) {
                end = TryEnd::Failed;
                break;
            }
            std::array<char, 1024> bytes{};
            count = ::recv(descriptor, bytes.data(), bytes.size(), 0);
            if (count > 0)
                answer.append(bytes.data(), static_cast<std::size_t>(count));
        }
        if (!answer.empty())
            end = answer.starts_with("HTTP/1.1 200") ? TryEnd::Served : TryEnd::Failed;
    }
    ::close(descriptor);
    return end;
}

/// One request of a caller: its first connection that was read, and its end at last.
struct CallerEnd
{
    TryEnd first = TryEnd::Failed;
    bool served = false;
};

/// Sends requests at a rate with new connections, first to one gateway, and to the others in turn
/// as long as a connection is closed unread.
std::vector<CallerEnd> callAtRate(const GatewayFleet &fleet, std::size_t first, int perSecond,
                                  milliseconds time, const std::string &name)
{
    const TimePoint begin = monotonicNow();
    const auto count = static_cast<std::size_t>(perSecond * time.count() / 1000);
    std::vector<std::future<CallerEnd>> calls;
    for (std::size_t i = 0; i < count; ++i) {
        sleepUntil(begin + time * i / count);
        calls.push_back(std::async(std::launch::async, [&fleet, first, i, name] {
            constexpr std::size_t tries = 3;
            CallerEnd end;
            for (std::size_t attempt = 0; attempt < tries; ++attempt) {
                const std::size_t gateway = (first + attempt * (1 + i % 2)) % fleet.size();
                const std::string id = name + std::to_string(i) + "-" + std::to_string(attempt);
                end.first = tryOnce(fleet.callers(gateway), requestFor("/again/x", id));
                if (end.first != TryEnd::Unread)
                    break;
            }
            end.served = end.first == TryEnd::Served;
            return end;
        }));
    }
    std::vector<CallerEnd> ends;
    for (auto &call : calls)
        ends.push_back(call.get());
    return ends;
}

double shareServed(const std::vector<CallerEnd> &ends)
{
    const auto served =
        std::count_if(ends.begin(), ends.end(), [](const CallerEnd &end) { return end.served; });
    return static_cast<double>(served) / static_cast<double>(ends.size());
}

} // namespace

// Guards against a gateway that accepts more connections than it can read, so that all their
// requests, and those on open connections, are answered too late.
TEST_CASE("Requests are served while one gateway gets most new connections")
{
    constexpr int usualPerSecond = 60;
    constexpr int floodPerSecond = 350;
    CrashingFleet fleet(4, {.workTime = milliseconds(10)});
    const Throttle throttle(fleet.gateways().process(0));
    const std::vector<CallerEnd> before =
        callAtRate(fleet.gateways(), 0, usualPerSecond, milliseconds(2000), "b");
    auto others = std::async(std::launch::async, [&] {
        return callAtRate(fleet.gateways(), 1, usualPerSecond, milliseconds(5000), "o");
    });
    const std::vector<CallerEnd> during =
        callAtRate(fleet.gateways(), 0, floodPerSecond, milliseconds(5000), "f");
    const double servedBefore = shareServed(before);
    const double servedDuring = shareServed(during);
    CAPTURE(servedBefore, servedDuring);
    CHECK(servedBefore >= 0.9);
    constexpr double leastOfBefore = 0.75;
    CHECK(servedDuring >= leastOfBefore * servedBefore);
    CHECK(shareServed(others.get()) >= leastOfBefore * servedBefore);
}
