#include "Gateway/CrashingServer.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Gateway/ScriptedAnswers.h"

namespace wisteria::gateway_tests {

namespace {

constexpr int pollMilliseconds = 5;
/// How long a group's requests stall after a crash, and how long it takes no work.
constexpr milliseconds stallTime{300};
constexpr milliseconds closedTime{1200};

void resetConnection(int descriptor)
{
    const linger now{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::close(descriptor);
}

std::size_t countLater(const std::vector<TimePoint> &times, TimePoint than)
{
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [than](TimePoint at) { return at > than; }));
}

std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
}

} // namespace

void CrashHistory::merge(const CrashHistory &other)
{
    poisonArrivals.insert(poisonArrivals.end(), other.poisonArrivals.begin(),
                          other.poisonArrivals.end());
    crashes.insert(crashes.end(), other.crashes.begin(), other.crashes.end());
    endedCopies.insert(endedCopies.end(), other.endedCopies.begin(), other.endedCopies.end());
    std::sort(poisonArrivals.begin(), poisonArrivals.end());
    std::sort(crashes.begin(), crashes.end());
    std::sort(endedCopies.begin(), endedCopies.end());
    for (const auto &[body, history] : other.byRequest)
        byRequest[body].merge(history);
}

std::size_t CrashHistory::arrivalsAfterCrash(std::size_t crash, milliseconds time) const
{
    return crashes.size() < crash ? 0 : countLater(poisonArrivals, crashes[crash - 1] + time);
}

std::size_t CrashHistory::arrivalsAfterCopy(std::size_t copy, milliseconds time) const
{
    return endedCopies.size() < copy ? 0 : countLater(poisonArrivals, endedCopies[copy - 1] + time);
}

void CrashingGroup::close(TimePoint now)
{
    closedAt_ = now;
}

bool CrashingGroup::stalled(TimePoint now) const
{
    return now - closedAt_.load() < stallTime;
}

bool CrashingGroup::closed(TimePoint now) const
{
    return now - closedAt_.load() < closedTime;
}

CrashingServer::CrashingServer(StoreStandIn &store, std::string id, std::uint32_t ip,
                               CrashingServerPlan plan)
    : store_(store), firstId_(std::move(id)), id_(firstId_),
      plan_(std::move(plan)), endpoint_{ip, 0}, madeAt_(monotonicNow()),
      startedAt_(unixMilliseconds())
{
    listen();
    announce();
    thread_ = std::thread([this] { run(); });
}

CrashingServer::~CrashingServer()
{
    stopping_ = true;
    thread_.join();
    for (const auto &[descriptor, connection] : connections_)
        ::close(descriptor);
    if (listener_ >= 0)
        ::close(listener_);
}

CrashHistory CrashingServer::history() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return history_;
}

void CrashingServer::listen()
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint_.port);
    address.sin_addr.s_addr = htonl(endpoint_.ip);
    socklen_t size = sizeof(address);
    if (::bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::listen(listener_, 64) != 0)
        throw std::runtime_error("the crashing server can't listen on loopback");
    ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
    endpoint_.port = ntohs(address.sin_port);
}

void CrashingServer::announce()
{
    store_.put("keyed.servers", id_,
               {{"service", plan_.service},
                {"address", toText(endpoint_)},
                {"zone", "a"},
                {"slot_count", 8},
                {"state", "ready"},
                {"born", startedAt_}});
}

void CrashingServer::run()
{
    while (!stopping_) {
        std::vector<pollfd> polled;
        if (listener_ >= 0)
            polled.push_back({listener_, POLLIN, 0});
        for (const auto &[descriptor, connection] : connections_)
            polled.push_back({descriptor, POLLIN, 0});
        ::poll(polled.data(), polled.size(), pollMilliseconds);
        const TimePoint now = monotonicNow();
        for (const pollfd &ready : polled) {
            if (ready.revents == 0)
                continue;
            if (ready.fd == listener_)
                acceptOne();
            else
                read(ready.fd, now);
        }
        finishDue(now);
        if (crashNow_.exchange(false))
            crashAll({}, now);
        if (listener_ < 0 && now >= restartAt_)
            restart();
    }
}

void CrashingServer::restart()
{
    startedAt_ = std::max(startedAt_ + 1, unixMilliseconds());
    if (plan_.returnsUnderNewId) {
        store_.append("keyed.servers", id_, {});
        id_ = firstId_ + "-" + std::to_string(startedAt_);
    }
    listen();
    announce();
}

void CrashingServer::acceptOne()
{
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0)
        connections_[descriptor];
}

void CrashingServer::read(int descriptor, TimePoint now)
{
    char bytes[4096];
    const ssize_t count = ::recv(descriptor, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        drop(descriptor);
        return;
    }
    Connection &connection = connections_[descriptor];
    connection.received.append(bytes, static_cast<std::size_t>(count));
    begin(descriptor, connection, now);
}

void CrashingServer::drop(int descriptor)
{
    ::close(descriptor);
    const auto dropped = connections_.extract(descriptor);
    if (plan_.outlivesCallers && dropped && dropped.mapped().poison)
        orphans_.push_back(dropped.mapped());
}

void CrashingServer::begin(int descriptor, Connection &connection, TimePoint now)
{
    const std::size_t end = connection.received.find("\r\n\r\n");
    if (end == std::string::npos || connection.endsAt != TimePoint::max())
        return;
    SeenRequest request;
    request.head = connection.received.substr(0, end + 2);
    const std::string length = request.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (connection.received.size() < end + 4 + size)
        return;
    request.body = connection.received.substr(end + 4, size);
    connection.received.erase(0, end + 4 + size);
    connection.body = request.body;
    connection.attemptId = request.header("Wisteriawind-Attempt-Id");
    const bool marked = request.body.starts_with(poisonMark)
        || request.header("Wisteriawind-Prompt-Prefix").find(poisonPartMark) != std::string::npos;
    connection.poison = marked && now >= madeAt_ + plan_.soundTime;
    connection.resets = !connection.poison && (++requests_ * 37) % 100 < plan_.resetsOfHundred;
    connection.endsAt = now + (connection.poison ? plan_.crashAfter : plan_.workTime);
    if (connection.poison) {
        const std::lock_guard<std::mutex> lock(mutex_);
        history_.poisonArrivals.push_back(now);
        history_.byRequest[request.body].poisonArrivals.push_back(now);
    }
    if (answerMisdirected(request, connection, now) || (plan_.group && plan_.group->closed(now)))
        return;
    if (!plan_.streams) {
        connection.closes = plan_.answersWithoutLength;
        constexpr int notModified = 304;
        const std::string body = plan_.status == notModified ? "" : "done";
        connection.answer = connection.closes
            ? headWithoutLength(request, plan_.status, "text/plain") + body
            : sealed(request, plan_.status, body);
        answerAtTimeLimit(request, connection, now);
        return;
    }
    const std::string first = streamHead(request) + chunk(eventText(0));
    ::send(descriptor, first.data(), first.size(), MSG_NOSIGNAL);
    connection.answer = chunk(eventText(1)) + "0\r\n\r\n";
}

/// Answers 504 if the caller's time is over before the request is done.
void CrashingServer::answerAtTimeLimit(const SeenRequest &request, Connection &connection,
                                       TimePoint now)
{
    const std::string left = request.header("Wisteriawind-Deadline-Ms");
    const TimePoint limit = left.empty() ? TimePoint::max() : now + milliseconds(std::stol(left));
    if (plan_.outlivesCallers || connection.endsAt <= limit)
        return;
    connection.poison = false;
    connection.endsAt = limit;
    connection.answer = sealed(request, 504, "out of time");
}

/// Answers 421 if another server, as the one that was here before, is expected.
bool CrashingServer::answerMisdirected(const SeenRequest &request, Connection &connection,
                                       TimePoint now)
{
    const std::string expected = request.header("Wisteriawind-Expect-Instance");
    if (expected.empty() || expected == id_)
        return false;
    connection.poison = false;
    connection.resets = false;
    connection.endsAt = now;
    connection.answer = plainResponse(
        421,
        "Wisteriawind-Not-Executed: 1\r\nWisteriawind-Attempt-Id: " + connection.attemptId + "\r\n",
        "");
    return true;
}

/// Ends the requests of a group that has closed: those that have begun are cut off, the others are
/// refused.
void CrashingServer::endStalled(TimePoint now)
{
    if (plan_.group->stalled(now))
        return;
    for (auto &[descriptor, connection] : connections_) {
        if (connection.endsAt == TimePoint::max())
            continue;
        connection.poison = false;
        connection.resets = plan_.streams && !connection.answer.empty();
        connection.answer =
            plainResponse(503,
                          "Wisteriawind-Not-Executed: 1\r\nWisteriawind-Attempt-Id: "
                              + connection.attemptId + "\r\n",
                          "");
        connection.endsAt = now;
    }
}

void CrashingServer::finishDue(TimePoint now)
{
    if (plan_.group && plan_.group->closed(now)) {
        endStalled(now);
        if (plan_.group->stalled(now))
            return;
    }
    const auto orphan = std::find_if(orphans_.begin(), orphans_.end(),
                                     [now](const auto &one) { return one.endsAt <= now; });
    if (orphan != orphans_.end()) {
        crashAll(std::string(orphan->body), now);
        return;
    }
    std::vector<int> due;
    for (const auto &[descriptor, connection] : connections_) {
        if (connection.endsAt <= now)
            due.push_back(descriptor);
    }
    for (const int descriptor : due) {
        Connection &connection = connections_[descriptor];
        if (connection.poison) {
            crashAll(std::string(connection.body), now);
            return;
        }
        if (connection.resets) {
            resetConnection(descriptor);
            connections_.erase(descriptor);
            continue;
        }
        ::send(descriptor, connection.answer.data(), connection.answer.size(), MSG_NOSIGNAL);
        if (connection.closes) {
            drop(descriptor);
            continue;
        }
        connection.endsAt = TimePoint::max();
        begin(descriptor, connection, now);
    }
}

void CrashingServer::noteEndedCopies(const std::vector<Connection> &ended, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Connection &one : ended) {
        if (!one.poison || one.endsAt == TimePoint::max())
            continue;
        history_.endedCopies.push_back(now);
        history_.byRequest[one.body].endedCopies.push_back(now);
    }
}

void CrashingServer::crashAll(const std::string &cause, TimePoint now)
{
    if (listener_ < 0)
        return;
    for (const auto &[descriptor, connection] : connections_) {
        resetConnection(descriptor);
        orphans_.push_back(connection);
    }
    connections_.clear();
    noteEndedCopies(std::exchange(orphans_, {}), now);
    ::close(listener_);
    listener_ = -1;
    restartAt_ = now + plan_.downTime;
    if (plan_.group)
        plan_.group->close(now);
    const std::lock_guard<std::mutex> lock(mutex_);
    history_.crashes.push_back(now);
    if (!cause.empty())
        history_.byRequest[cause].crashes.push_back(now);
}

} // namespace wisteria::gateway_tests
