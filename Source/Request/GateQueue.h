#pragma once

#include <functional>
#include <vector>

#include "Request/AgentGate.h"

namespace wisteria {

/// When to come back after a refusal that passes soon, and after one that lasts a while.
constexpr milliseconds shortGateRetry{100};
constexpr milliseconds longGateRetry{1'000};

/// Builds the refusal of an attempt.
RefuseAttempt refusal(StreamId stream, v1::VerdictKind kind, v1::Reason reason,
                      milliseconds retryAfter);

/// Refuses a run that was never handed to the backend server. For a key this is remembered, so
/// that the same try, arriving late or twice, does not run after all.
RefuseAttempt refuseNotRun(GateState &state, const GateRun &run, v1::Reason reason,
                           milliseconds retryAfter);

/// Requests that the backend server runs at once.
std::uint32_t slots(const GateState &state);

/// Whether the run could start now if it were first in the queue.
bool mayStartNow(const GateState &state, const GateRun &run);

/// Whether the run's deadline has passed.
bool pastDeadline(const GateState &state, const GateRun &run, TimePoint now);

/// Time until a request of this priority would start; zero when it can start at once.
microseconds expectedStart(const GateState &state, std::uint32_t priority);

/// Queues a run behind those of its priority and before those of lower ones.
void enqueue(GateState &state, GateRun run);

/// Starts queued runs while there is room.
void startQueued(GateState &state, TimePoint now, GateActions &actions);

/// Refuses every queued run that the predicate picks.
void refuseQueued(GateState &state, v1::Reason reason, milliseconds retryAfter,
                  GateActions &actions, const std::function<bool(const GateRun &)> &picks);

/// Answers an attempt that must not be queued, and says so; otherwise may mark it to run alone.
/// @return Whether the attempt was answered.
bool answeredAtGate(GateState &state, GateRun &run, TimePoint now, WallTime wall,
                    GateActions &actions);

} // namespace wisteria
