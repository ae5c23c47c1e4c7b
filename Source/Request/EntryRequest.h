#pragma once

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Request/EntryState.h"

namespace wisteria {

/// Ends of a request that got no answer.
enum class EndKind {
    NotRun, ///< Proved that it has not run and never will.
    OutcomeUnknown, ///< May have run.
    AlreadyRun, ///< The key ran before; its answer is no longer stored.
};

/// End the request at the caller with an error instead of an answer.
struct Refusal
{
    EndKind end = EndKind::NotRun;
    v1::Reason reason = v1::REASON_UNSPECIFIED;
    /// Time after which another try may succeed; zero if none will.
    milliseconds retryAfter{0};
};

/// Open a stream to the agent and send the head, then the body.
struct SendAttempt
{
    std::string backendServer;
    /// IP number and port of the agent.
    std::string address;
    v1::RunHead head;
};

/// Begin to stream the answer to the caller.
struct StartAnswer
{
    std::uint32_t httpStatus = 0;
    std::string contentType;
};

/// Nothing to do.
struct Nothing
{ };

using EntryAction = std::variant<Nothing, SendAttempt, Refusal, StartAnswer>;

/// Puts a version of the configuration into force. Versions that are not newer are ignored.
/// The state of backend servers that stay declared at the same address is kept.
void setConfiguration(EntryState &state, EntryShared &shared, const ConfigState &config,
                      TimePoint now);

/// Sets the names of all entries that serve callers, this one included. They determine the subset
/// of backend servers and the static shares of organisations' limits. Takes effect at once.
void setEntries(EntryState &state, EntryShared &shared, const std::vector<std::string> &names,
                TimePoint now);

/// Admits, limits and routes a new request. `request` must be newly constructed.
/// @return SendAttempt or Refusal.
EntryAction startRequest(EntryState &state, EntryShared &shared, RequestState &request,
                         const CallerRequest &caller, TimePoint now);

/// Whether an agent's verdict passes on an answer that no backend server can have given.
bool isMalformed(const v1::Verdict &verdict);

/// Whether the frame belongs to the request's outstanding attempt. Other frames must be dropped.
bool belongsTo(const EntryState &state, const RequestState &request, const v1::AgentFrame &frame);

/// Applies a frame of an agent: its load report, its verdict, or a death reported by its end. Call
/// it with every frame, chunks included; frames of other requests or attempts return Nothing. After
/// an `end` frame that follows StartAnswer also call answerEnded().
EntryAction applyFrame(EntryState &state, EntryShared &shared, RequestState &request,
                       const v1::AgentFrame &frame, TimePoint now);

/// Whether the answer that the end frame closes arrived completely. Every chunk frame must have
/// been passed to applyFrame().
bool isAnswerComplete(const RequestState &request, const v1::AnswerEnd &end);

/// Retries or ends the request after the attempt's stream or connection failed before a verdict.
/// After StartAnswer call answerEnded() instead.
/// @param mayHaveReachedAgent False only if no byte of the attempt was handed to the socket.
EntryAction attemptLost(EntryState &state, EntryShared &shared, RequestState &request,
                        bool mayHaveReachedAgent, TimePoint now);

/// Ends the request because the caller's deadline has passed. Cancel the outstanding stream in any
/// case.
/// @return The Refusal before StartAnswer. Afterwards Nothing, and the I/O layer cuts the answer
/// and calls answerEnded().
EntryAction deadlinePassed(EntryState &state, EntryShared &shared, RequestState &request,
                           TimePoint now);

/// Records the end of the answer that StartAnswer began.
/// @param complete False if it was cut.
void answerEnded(EntryState &state, EntryShared &shared, RequestState &request, bool complete,
                 TimePoint now);

/// Ends the request because the caller hung up. Cancel the outstanding stream.
void callerLeft(EntryState &state, EntryShared &shared, RequestState &request, TimePoint now);

/// Applies a load report that arrived with a heartbeat.
void observeLoad(EntryState &state, const std::string &backendServer, const v1::LoadReport &load,
                 std::uint64_t configVersion, TimePoint now);

/// Records that the backend server's agent did not answer a heartbeat.
void observeUnreachable(EntryState &state, const std::string &backendServer, TimePoint now);

/// Sets the VMs that the platform lists as leaving or no longer lists. Backend servers on other VMs
/// are eligible again.
void observeVms(EntryState &state, const std::set<std::string> &leaving);

/// VMs of the backend servers that this entry routes to.
std::set<std::string> routedVms(const EntryState &state);

/// Names of the backend servers that this entry routes to and therefore sends heartbeats to.
std::vector<std::string> heartbeatTargets(const EntryState &state);

/// Agent address of a declared backend server; empty when it is not declared.
std::string agentAddress(const EntryState &state, const std::string &backendServer);

/// Merges the suspects that a heartbeat reported.
void mergeSuspects(EntryShared &shared, const v1::Heartbeat &heartbeat, TimePoint now);

/// Suspects to report with a heartbeat.
std::vector<v1::SuspectReport> suspectsToReport(EntryShared &shared, TimePoint now);

} // namespace wisteria
