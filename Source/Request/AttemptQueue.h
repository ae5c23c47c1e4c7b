#pragma once

#include <functional>
#include <vector>

#include "Request/AgentAdmission.h"

namespace wisteria {

/// When to come back after a refusal that passes soon, and after one that lasts a while.
constexpr milliseconds shortAdmissionRetry{100};
constexpr milliseconds longAdmissionRetry{1'000};

/// Builds the refusal of an attempt.
RefuseAttempt refusal(StreamId stream, v1::VerdictKind kind, v1::Reason reason,
                      milliseconds retryAfter);

/// Refuses a run that was never handed to the backend server. For a key this is remembered, so
/// that the same try, arriving late or twice, does not run after all.
RefuseAttempt refuseNotRun(AdmissionState &state, const AgentAttempt &run, v1::Reason reason,
                           milliseconds retryAfter);

/// Requests that the backend server runs at once.
std::uint32_t slots(const AdmissionState &state);

/// Whether the run could start now if it were first in the queue.
bool mayStartNow(const AdmissionState &state, const AgentAttempt &run);

/// Whether the run's deadline has passed.
bool pastDeadline(const AdmissionState &state, const AgentAttempt &run, TimePoint now);

/// Time until a request of this priority would start; zero when it can start at once.
microseconds expectedStart(const AdmissionState &state, std::uint32_t priority);

/// Queues a run behind those of its priority and before those of lower ones.
void enqueue(AdmissionState &state, AgentAttempt run);

/// Starts queued runs while there is room.
void startQueued(AdmissionState &state, TimePoint now, AdmissionActions &actions);

/// Refuses every queued run that the predicate picks.
void refuseQueued(AdmissionState &state, v1::Reason reason, milliseconds retryAfter,
                  AdmissionActions &actions,
                  const std::function<bool(const AgentAttempt &)> &picks);

/// Answers an attempt that must not be queued, and says so; otherwise may mark it to run alone.
/// @return Whether the attempt was answered.
bool answeredAtAdmission(AdmissionState &state, AgentAttempt &run, TimePoint now, WallTime wall,
                         AdmissionActions &actions);

} // namespace wisteria
