#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Gateway/ScriptedServer.h"
#include "Gateway/StoreStandIn.h"
#include "Process/Endpoint.h"
#include "Process/Time.h"

namespace wisteria::gateway_tests {

/// Backend servers that run all work together, so that each crash stops all of them for a while.
class CrashingGroup
{
public:
    /// Closes the group because one of its servers has crashed.
    void close(TimePoint now);
    /// Whether requests are still held, while the crash is not noticed by the others.
    bool stalled(TimePoint now) const;
    /// Whether the group takes no work.
    bool closed(TimePoint now) const;

private:
    std::atomic<TimePoint> closedAt_{TimePoint{}};
};

/// How a crashing server behaves.
struct CrashingServerPlan
{
    std::string service = "plain";
    /// Answers events of a stream instead of a plain answer.
    bool streams = false;
    milliseconds workTime{30};
    int status = 200;
    /// Answers that are no streams have no length, and end with their connection.
    bool answersWithoutLength = false;
    /// How long after it has begun to run a poison request the server crashes.
    milliseconds crashAfter{60};
    milliseconds downTime{2000};
    /// Poison requests are answered like all others for this time after the server was made.
    milliseconds soundTime{0};
    /// After a crash the server returns under a new id, at the same address.
    bool returnsUnderNewId = false;
    /// A poison request goes on to run after its time limit and without its caller. Otherwise the
    /// server answers 504 at the limit, and drops what has lost its connection.
    bool outlivesCallers = false;
    /// Resets this many of each hundred requests instead of answering them.
    int resetsOfHundred = 0;
    /// The server is one of a group; null if it works alone.
    std::shared_ptr<CrashingGroup> group{};
};

/// What poison requests and crashes did to a number of servers.
struct CrashHistory
{
    std::vector<TimePoint> poisonArrivals;
    std::vector<TimePoint> crashes;
    /// When copies of poison requests ended with their server, also several at one crash.
    std::vector<TimePoint> endedCopies;

    /// The same of each poison request, by its body.
    std::map<std::string, CrashHistory> byRequest{};

    void merge(const CrashHistory &other);
    /// Number of poison requests that arrived later than `time` after a crash, counted from 1.
    std::size_t arrivalsAfterCrash(std::size_t crash, milliseconds time) const;
    /// The same after the end of a copy.
    std::size_t arrivalsAfterCopy(std::size_t copy, milliseconds time) const;
};

/// The body of a poison request begins with this.
inline constexpr const char *poisonMark = "poison";
/// The id of a prompt part that crashes servers begins with this.
inline constexpr const char *poisonPartMark = "badbad";

/// A backend server that crashes some time after it has begun to run a poison request: all its
/// connections are reset, none is accepted until it has restarted, with a new start time in the
/// store's list.
class CrashingServer
{
public:
    CrashingServer(StoreStandIn &store, std::string id, std::uint32_t ip, CrashingServerPlan plan);
    ~CrashingServer();
    CrashingServer(const CrashingServer &) = delete;
    CrashingServer &operator=(const CrashingServer &) = delete;

    /// Crashes the server from outside, with whatever it runs.
    void crash() { crashNow_ = true; }

    CrashHistory history() const;

private:
    /// A request that runs, or a connection without one.
    struct Connection
    {
        std::string received;
        TimePoint endsAt = TimePoint::max();
        std::string answer;
        bool poison = false;
        bool resets = false;
        /// The answer ends with the connection.
        bool closes = false;
        std::string attemptId;
        std::string body;
    };

    void run();
    void listen();
    void restart();
    void announce();
    void acceptOne();
    void read(int descriptor, TimePoint now);
    void begin(int descriptor, Connection &connection, TimePoint now);
    void answerAtTimeLimit(const SeenRequest &request, Connection &connection, TimePoint now);
    bool answerMisdirected(const SeenRequest &request, Connection &connection, TimePoint now);
    void drop(int descriptor);
    void finishDue(TimePoint now);
    void endStalled(TimePoint now);
    void noteEndedCopies(const std::vector<Connection> &ended, TimePoint now);
    /// @param cause Body of the poison request that crashes the server; empty for another cause.
    void crashAll(const std::string &cause, TimePoint now);

    StoreStandIn &store_;
    std::string firstId_;
    std::string id_;
    CrashingServerPlan plan_;
    Endpoint endpoint_;
    int listener_ = -1;
    TimePoint madeAt_;
    TimePoint restartAt_;
    /// Unix milliseconds of the last start.
    std::uint64_t startedAt_;
    int requests_ = 0;
    std::map<int, Connection> connections_;
    /// Poison requests that run on without their caller.
    std::vector<Connection> orphans_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> crashNow_ = false;
    mutable std::mutex mutex_;
    CrashHistory history_;
    std::thread thread_;
};

} // namespace wisteria::gateway_tests
