#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Process/EventLoop.h"
#include "Programs/Gateway/ServerProbes.h"
#include "Request/BackendRegistry.h"
#include "Request/ServerCrash.h"
#include "Version/CrashMessages.h"

namespace wisteria {

/// A send whose connection ended before the answer was complete, or that was given up.
struct UnansweredSend
{
    std::string server;
    RequestIdentity request;
    TimePoint sentAt;
    SendId id = 0;
};

/// Detects that backend servers crash, and which of this gateway's requests were in flight there.
///
/// A connection that ends shows no crash: servers and links reset connections too. It is one if
/// nothing listens at the server's address right after, or if the server has started again.
class CrashDetector
{
public:
    using Crashed = std::function<void(const ServerCrash &)>;

    CrashDetector(EventLoop &loop, const BackendRegistry &registry, Crashed crashed);
    CrashDetector(const CrashDetector &) = delete;
    CrashDetector &operator=(const CrashDetector &) = delete;

    /// Records a send whose connection ended, and finds out whether its server crashed.
    /// @param checked Called when that is known, within `probeTimeout`.
    void noteConnectionEnded(const UnansweredSend &send, TimePoint now,
                             std::function<void()> checked);
    /// Records a send that this gateway gave up. The server may go on running the request for a
    /// moment and crash.
    /// @param probes Whether to find out soon if it did, though nothing else may be sent there.
    void noteGivenUp(const UnansweredSend &send, bool probes, TimePoint now);
    /// Finds out whether a server survives a request that it has answered. A crash may look like
    /// the end of an answer, or follow on it.
    /// @param marksEnd Whether the answer marked its own end. Otherwise the send counts as
    /// unanswered until its server is found to live on.
    /// @param checked Called when that is known, within `survivalTime` and a probe.
    void checkSurvival(const UnansweredSend &send, bool marksEnd,
                       std::function<void(bool survived)> checked, TimePoint now);
    /// Records that nothing listens at a server's address.
    void noteRefused(const std::string &server, TimePoint now);
    /// Records a server's start time. If it has started again after its connections ended, it
    /// crashed.
    void noteStartTime(const std::string &server, std::uint64_t startedAt, TimePoint now);
    /// Records that another gateway has detected a crash. If connections of this gateway to the
    /// same process ended, it was for that.
    void noteReported(const CrashReport &report, TimePoint now);

    /// Looks whether a server of a service has returned that crashed and that the list still names
    /// as it was before. Several calls close to each other look once.
    /// @param returned Called if one listens again, so that the list is worth reading.
    void probeReturn(const std::string &service, std::function<void()> returned, TimePoint now);

    /// Probes servers once more where that is due, and forgets old sends.
    void checkTimeouts(TimePoint now);

private:
    /// Sends to one server process that got no complete answer, while it is unknown whether it
    /// crashed.
    struct BrokenServer
    {
        struct Send
        {
            InFlightRequest request;
            TimePoint endedAt;
        };

        Endpoint address;
        std::uint64_t startedAt = 0;
        std::string service;
        std::vector<Send> sends;
        /// When the server is probed once more, because it still listened at the first time.
        TimePoint probeAgainAt = TimePoint::max();
    };

    /// A server process that has to live on for some time.
    struct SurvivalCheck
    {
        std::string server;
        Endpoint address;
        std::uint64_t startedAt = 0;
        SendId send = 0;
        TimePoint dueAt;
        std::function<void(bool)> checked;
    };

    /// The last crash of a server that is known.
    struct KnownCrash
    {
        TimePoint at;
        /// Start time of the process that crashed.
        std::uint64_t startedAt = 0;
    };

    BrokenServer *recordUnanswered(const UnansweredSend &send, TimePoint now);
    void finishProbe(const std::string &server, ProbeResult result, bool first);
    void startSurvivalProbes(TimePoint now);
    void finishSurvivalProbe(const SurvivalCheck &check, ProbeResult result);
    void forgetSend(const std::string &server, SendId send);
    void forgetSendsToSuccessor(const std::string &server, BrokenServer &broken) const;
    void confirm(const std::string &server, milliseconds within, TimePoint now);
    void report(const ServerCrash &crash, TimePoint now);
    const BackendEntry *longestDown(const std::string &service) const;
    /// Returns the entry of a server that does not leave; otherwise null.
    const BackendEntry *stayingEntry(const std::string &server) const;
    std::uint32_t countServers(const std::string &service) const;

    const BackendRegistry &registry_;
    Crashed crashed_;
    ServerProbes probes_;
    std::map<std::string, BrokenServer> broken_;
    std::vector<SurvivalCheck> survivalChecks_;
    std::map<std::string, KnownCrash> knownCrashes_;
    TimePoint nextReturnProbeAt_;
};

} // namespace wisteria
