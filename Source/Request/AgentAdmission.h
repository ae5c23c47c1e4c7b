#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Peer.pb.h"
#include "Process/Time.h"
#include "Request/KeyMemory.h"
#include "Request/KeyOwnership.h"
#include "Request/PoisonRequests.h"
#include "Request/RequestGuards.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// Identifies one attempt for the I/O layer; never used twice within a process.
using StreamId = std::uint64_t;

/// One attempt that is queued or runs.
struct AgentAttempt
{
    StreamId stream = 0;
    v1::RunHead head;
    TimePoint arrivedAt;
    TimePoint startedAt;
    TimePoint deadline;
    /// Identity of the key; for non-idempotent requests only.
    std::optional<KeyId> key;
    /// Nothing else may run at the backend server meanwhile.
    bool alone = false;
    /// The entry cancelled the stream or its connection broke; the run continues so that a repeat
    /// gets its answer.
    bool abandoned = false;
};

/// State of admission control, the last check before a backend server. One per agent, used by one
/// thread.
struct AdmissionState
{
    /// Set by the I/O layer before the first configuration. An empty address is not compared with
    /// the declared one.
    std::string ownName;
    std::string ownAddress;
    /// Start of the process on the wall clock in milliseconds; differs between its incarnations.
    std::uint64_t incarnation = 0;
    RequestGuards guards;

    std::uint64_t configVersion = 0;
    v1::BackendServer declared;
    v1::Service service;
    bool configured = false;
    bool draining = false;
    bool backendUp = true;
    /// The backend server's process runs, but does not answer its health check in time.
    bool backendStalled = false;
    /// Deaths of the backend server seen by this process.
    std::uint64_t deaths = 0;
    /// Smoothed service time; zero before the first answer.
    microseconds serviceTime{0};
    std::vector<AgentAttempt> queue;
    std::vector<AgentAttempt> running;
    KeyMemory keys;
    KeyOwnership ownership;
    PoisonRequests suspects;
};

/// Send the attempt to the backend server.
struct StartBackend
{
    StreamId stream = 0;
};

/// Answer the attempt with the verdict and end its stream.
struct RefuseAttempt
{
    StreamId stream = 0;
    v1::Verdict verdict;
};

/// Answer the attempt with a stored answer.
struct ReplayAnswer
{
    StreamId stream = 0;
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;
};

/// Cancel the attempt at the backend server; backendEnded() need not follow.
struct CancelBackend
{
    StreamId stream = 0;
};

using AdmissionAction = std::variant<StartBackend, RefuseAttempt, ReplayAnswer, CancelBackend>;
using AdmissionActions = std::vector<AdmissionAction>;

/// How a run at the backend server ended.
enum class BackendEnd {
    Answered, ///< The answer arrived completely.
    NotConnected, ///< Refused or unreachable before any byte of the request was sent.
    Cut, ///< The answer or the request was cut; it may have run.
    Died, ///< The backend server's process died.
    TimedOut, ///< The deadline passed; it may have run.
};

/// End of a run at the backend server.
struct BackendResult
{
    BackendEnd kind = BackendEnd::Answered;
    std::uint32_t httpStatus = 0;
    std::string contentType;
    /// The complete body if it has at most maxStoredAnswerBytes; nothing otherwise.
    std::optional<std::string> body;
};

/// Admits, queues, refuses or replays an attempt that has arrived completely. The I/O layer holds
/// its body.
AdmissionActions attemptArrived(AdmissionState &state, StreamId stream, const v1::RunHead &head,
                                TimePoint now, WallTime wall);

/// Records the end of a run at the backend server and starts queued attempts. If the I/O layer has
/// not sent the ACCEPTED verdict yet, a RefuseAttempt for the same stream holds the verdict to
/// send; otherwise the I/O layer ends the answer with an AnswerEnd frame and ignores that action.
AdmissionActions backendEnded(AdmissionState &state, StreamId stream, const BackendResult &result,
                              TimePoint now);

/// Removes the attempt after the entry cancelled its stream or its connection broke. A
/// non-idempotent attempt that runs already continues.
AdmissionActions streamCancelled(AdmissionState &state, StreamId stream, TimePoint now);

/// Refuses queued attempts past their deadline and removes expired suspects. Must be called every
/// few milliseconds.
AdmissionActions tick(AdmissionState &state, TimePoint now, WallTime wall);

/// Begins draining: queued and new attempts are refused as not run, running ones continue.
AdmissionActions beginDraining(AdmissionState &state, TimePoint now);

/// Whether nothing is queued or running.
bool idle(const AdmissionState &state);

/// Records that the backend server came up or died. A death makes suspects of the requests that
/// ran, and quarantines one that ran alone. The I/O layer then ends each running stream with
/// backendEnded(Died).
AdmissionActions backendHealth(AdmissionState &state, bool up, TimePoint now);

/// Puts a version of the configuration into force. Versions that are not newer are ignored.
/// Queued attempts that this backend server may no longer run are refused.
AdmissionActions setAdmissionConfiguration(AdmissionState &state, const ConfigState &config,
                                           const std::string &ownName, TimePoint now,
                                           WallTime wall);

/// The load that every frame and heartbeat reports.
v1::LoadReport loadReport(const AdmissionState &state);

/// Requests to former owners that must release their keys before this agent runs any key that
/// they may have run.
std::vector<HandoverRequest> pendingHandovers(const AdmissionState &state);

/// Applies the reply of a former owner to a handover request.
void handoverAnswered(AdmissionState &state, const std::string &formerOwner,
                      const v1::KeyHandoverReply &reply, TimePoint now, WallTime wall);

/// Counts the former owners on a VM as released, because the platform lists the VM as gone.
void vmGone(AdmissionState &state, const std::string &vm, TimePoint now, WallTime wall);

/// Answers the handover request of a new owner.
v1::KeyHandoverReply answerHandover(const AdmissionState &state, const v1::KeyHandover &request);

} // namespace wisteria
