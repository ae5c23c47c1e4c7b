#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Programs/Gateway/CrashDetector.h"
#include "Programs/Gateway/PoisonGuard.h"

namespace wisteria {

/// One request as the protection against poison requests sees it.
class RequestSuspicion
{
public:
    /// @param request Must outlive this object.
    RequestSuspicion(CrashDetector &crashes, PoisonGuard &poison, const GatewayRequest &request,
                     std::string organisation, std::string service);
    ~RequestSuspicion();
    RequestSuspicion(const RequestSuspicion &) = delete;
    RequestSuspicion &operator=(const RequestSuspicion &) = delete;

    const RequestIdentity &identity();
    const Fingerprint &fingerprint() { return identity().request; }
    /// Text of the fingerprint; empty if there was no need to compute it.
    std::string fingerprintIfKnown() const;
    /// Fingerprints of the shared parts of the prompt, by the parts' ids.
    std::map<std::string, std::string> partFingerprints();
    /// Whether the request is suspect only because crashes of it may be unknown.
    bool isOnlyUnproven(TimePoint now);
    /// Whether the request can't be served, as it has no sends left.
    bool isSpent(TimePoint now);
    /// How suspect the request is. Computes its fingerprints only if any request is suspect.
    Suspicion level(TimePoint now);
    /// When the request may be sent as far as other runs of its suspects are concerned.
    /// @param openedAt When the service's group opened last.
    TimePoint mayRunAt(TimePoint openedAt, TimePoint now);
    /// Takes the turn of the request to run, right before it is sent.
    /// @return When it may be sent; not after `now` if at once.
    TimePoint takeTurn(TimePoint openedAt, TimePoint now);
    /// See BackendCriteria::suspectHash.
    std::optional<std::uint64_t> hashIfSuspect(TimePoint now);
    /// See BackendCriteria::crashed.
    std::vector<CrashedProcess> crashedIfSuspect(TimePoint now);
    /// Looks whether a server has returned of those that the request may not be sent to because
    /// they crashed. See CrashDetector::probeReturn().
    void probeReturnIfSuspect(const std::function<void()> &returned, TimePoint now);
    /// Time that the request needs to have left to be sent.
    /// @param wholeTime From its arrival to its deadline.
    milliseconds timeNeeded(milliseconds targetLatency, milliseconds wholeTime, TimePoint now);
    /// Why the request is refused, for its caller; empty if it is not quarantined.
    std::string refusalText(TimePoint now);

    /// Records that the request is sent, and that the send has ended.
    void beginRun(const SuspectSend &send, TimePoint now);
    void endRun(TimePoint now);

    /// Records that the connection of a send ended.
    /// @param checked Called when it is known whether the server crashed, unless this object is
    /// destroyed before.
    void noteConnectionEnded(const std::string &server, TimePoint now,
                             std::function<void()> checked);
    /// Records that the gateway gives up a send, so that a crash right after it can be traced.
    void noteGivenUp(const std::string &server, TimePoint now);
    /// Records that the backend server does not run the current send, before its end is recorded.
    void noteNotRun(RunEnd end) { end_ = end; }
    /// Records that a backend server ran the request to its end.
    void noteCompleted(const CompletedRun &run, TimePoint now);
    /// Records that a backend server ran the request to its end if it is found to live on.
    /// @param marksEnd Whether the answer marked its own end.
    void noteCompletedIfSurvived(const CompletedRun &run, bool marksEnd, TimePoint now);
    /// Records that a backend server answered the request, with the caller at fault.
    void noteAnswered();
    /// Records that the request is refused because it is quarantined.
    void noteRefused(TimePoint now);

private:
    CrashDetector &crashes_;
    PoisonGuard &poison_;
    const GatewayRequest &request_;
    std::string organisation_;
    std::string service_;
    std::optional<RequestIdentity> identity_;
    /// When the current or last send began.
    TimePoint sentAt_{};
    SendId sendId_ = 0;
    RunEnd end_ = RunEnd::Unknown;
    /// Suspects of the current send.
    std::vector<Fingerprint> running_;
    /// Cleared by the destructor, for callbacks that may come later.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace wisteria
