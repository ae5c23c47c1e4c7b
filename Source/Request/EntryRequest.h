#pragma once

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Request/EntryState.h"

namespace wisteria {

/// Ends of a request that got no answer.
enum class EndKind {
    NotRun, ///< Proved not to have run and never to run.
    OutcomeUnknown, ///< May have run.
    AlreadyRun, ///< The key ran before; its answer is no longer held.
};

/// Tell the caller that there is no answer.
struct Refusal
{
    EndKind end = EndKind::NotRun;
    v1::Reason reason = v1::REASON_UNSPECIFIED;
    /// When another try may help; zero when none will.
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

/// Takes a version of the configuration into force. Versions that are not newer are ignored.
/// Beliefs about backend servers that stay declared at the same address are kept.
void setConfiguration(EntryState &state, EntryShared &shared, const ConfigState &config,
                      TimePoint now);

/// Tells which entries share the work, this one included; sizes of subsets and static shares of
/// organisations' limits follow from it. Takes effect at once.
void setEntries(EntryState &state, EntryShared &shared, const std::vector<std::string> &names,
                TimePoint now);

/// Admits, limits and routes a new request. `request` must be fresh.
/// @return SendAttempt or Refusal.
EntryAction startRequest(EntryState &state, EntryShared &shared, RequestState &request,
                         const CallerRequest &caller, TimePoint now);

/// Whether the frame answers the request's outstanding attempt. Chunks that do not are dropped.
bool belongsTo(const EntryState &state, const RequestState &request, const v1::AgentFrame &frame);

/// Takes a frame of an agent: its load, its verdict, or evidence in its end. Feed every frame,
/// chunks included; frames of other requests or attempts give Nothing. After an `end` frame that
/// follows StartAnswer also call answerEnded().
EntryAction attemptVerdict(EntryState &state, EntryShared &shared, RequestState &request,
                           const v1::AgentFrame &frame, TimePoint now);

/// Whether the answer that the end frame closes arrived whole. Every chunk frame must have been fed
/// to attemptVerdict().
bool answerIsWhole(const RequestState &request, const v1::AnswerEnd &end);

/// The attempt's stream or connection failed before a verdict. After StartAnswer call
/// answerEnded() instead.
/// @param mayHaveReachedAgent False only if no byte of the attempt was handed to the socket.
EntryAction attemptLost(EntryState &state, EntryShared &shared, RequestState &request,
                        bool mayHaveReachedAgent, TimePoint now);

/// The caller's deadline passed. Before StartAnswer gives the Refusal; afterwards Nothing, and the
/// shell cuts the answer and calls answerEnded(). Cancel the outstanding stream in both cases.
EntryAction deadlinePassed(EntryState &state, EntryShared &shared, RequestState &request,
                           TimePoint now);

/// The answer that StartAnswer began is over.
/// @param complete False when it was cut.
void answerEnded(EntryState &state, EntryShared &shared, RequestState &request, bool complete,
                 TimePoint now);

/// The caller hung up; cancel the outstanding stream.
void callerLeft(EntryState &state, EntryShared &shared, RequestState &request, TimePoint now);

/// Takes a load report that came with a heartbeat.
void observeLoad(EntryState &state, const std::string &backendServer, const v1::LoadReport &load,
                 std::uint64_t configVersion, TimePoint now);

/// A heartbeat to the backend server's agent was not answered.
void observeUnreachable(EntryState &state, const std::string &backendServer, TimePoint now);

/// Takes in which VMs the platform's list names as leaving or no more. Backend servers on others
/// are asked again.
void observeVms(EntryState &state, const std::set<std::string> &leaving);

/// VMs of the backend servers that this entry routes to.
std::set<std::string> routedVms(const EntryState &state);

/// Names of the backend servers that this entry routes to and so sends heartbeats.
std::vector<std::string> heartbeatTargets(const EntryState &state);

/// Agent address of a declared backend server; empty when it is not declared.
std::string agentAddress(const EntryState &state, const std::string &backendServer);

/// Takes in the suspects that a heartbeat reported.
void observeSuspects(EntryShared &shared, const v1::Heartbeat &heartbeat, TimePoint now);

/// Suspects to report with a heartbeat.
std::vector<v1::SuspectReport> suspectsToReport(EntryShared &shared, TimePoint now);

} // namespace wisteria
