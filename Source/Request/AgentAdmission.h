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

/// The shell's name of one attempt; never used twice within a process.
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
    bool alone = false;
    /// The entry is gone; the run goes on so that a repeat finds its answer.
    bool abandoned = false;
};

/// The last gate before a backend server: one per agent, used by one thread.
struct AdmissionState
{
    /// Set by the shell before the first configuration. Empty address: not compared.
    std::string ownName;
    std::string ownAddress;
    /// Differs between lives of the process: its start on the wall clock, in milliseconds.
    std::uint64_t incarnation = 0;
    RequestGuards guards;

    std::uint64_t configVersion = 0;
    v1::BackendServer declared;
    v1::Service service;
    bool configured = false;
    bool leaving = false;
    bool backendUp = true;
    /// The backend server's process lives, but gives its health check no answer in time.
    bool backendStalled = false;
    /// Deaths of the backend server seen by this process.
    std::uint64_t deaths = 0;
    microseconds serviceTime{0};
    std::vector<AgentAttempt> queue;
    std::vector<AgentAttempt> running;
    KeyMemory keys;
    KeyOwnership ownership;
    PoisonRequests suspects;
};

/// Hand the attempt to the backend server.
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

/// Answer the attempt with a kept answer.
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
    Answered, ///< Whole answer.
    Refused, ///< Refused or unreachable before any byte of the request was sent.
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
    /// The whole body if it has at most maxStoredAnswerBytes; nothing otherwise.
    std::optional<std::string> body;
};

/// An attempt arrived whole; the shell holds its body.
AdmissionActions runArrived(AdmissionState &state, StreamId stream, const v1::RunHead &head,
                            TimePoint now, WallTime wall);

/// A run at the backend server ended. If the shell has not sent the ACCEPTED verdict yet, a
/// RefuseAttempt for the same stream says what to send; otherwise the shell ends the answer with
/// an AnswerEnd frame and ignores that action.
AdmissionActions backendEnded(AdmissionState &state, StreamId stream, const BackendResult &result,
                              TimePoint now);

/// The entry cancelled the attempt's stream or its connection broke.
AdmissionActions streamCancelled(AdmissionState &state, StreamId stream, TimePoint now);

/// To be called every few milliseconds: refuses what is past its deadline, forgets old suspects.
AdmissionActions tick(AdmissionState &state, TimePoint now, WallTime wall);

/// Takes no new work from now on: queued attempts are refused as not run, running ones go on.
AdmissionActions beginLeaving(AdmissionState &state, TimePoint now);

/// Whether nothing is queued or running.
bool idle(const AdmissionState &state);

/// The backend server came up or died. Death makes suspects of what ran, or convicts what ran
/// alone. The shell then ends each running stream with backendEnded(Died).
AdmissionActions backendHealth(AdmissionState &state, bool up, TimePoint now);

/// Takes a version of the configuration into force. Versions that are not newer are ignored.
/// Queued attempts that this backend server may no longer run are refused.
AdmissionActions setAdmissionConfiguration(AdmissionState &state, const ConfigState &config,
                                           const std::string &ownName, TimePoint now,
                                           WallTime wall);

/// What rides on every frame and heartbeat.
v1::LoadReport loadReport(const AdmissionState &state);

/// Former homes that must release their keys before this agent runs any key they may have run.
std::vector<HandoverWanted> handoversWanted(const AdmissionState &state);

/// A former home answered.
void handoverAnswered(AdmissionState &state, const std::string &formerOwner,
                      const v1::KeyHandoverReply &reply, TimePoint now, WallTime wall);

/// The platform's list says that the VM is gone: it can run no key any more.
void vmGone(AdmissionState &state, const std::string &vm, TimePoint now, WallTime wall);

/// Answers a new home's question.
v1::KeyHandoverReply answerHandover(const AdmissionState &state, const v1::KeyHandover &question);

} // namespace wisteria
