#pragma once

#include <functional>
#include <vector>

#include "Request/AgentAdmission.h"

namespace wisteria {

/// Retry-after times of refusals with a short-lived and with a longer-lasting cause.
constexpr milliseconds shortAdmissionRetry{100};
constexpr milliseconds longAdmissionRetry{1'000};

/// Builds the refusal of an attempt.
RefuseAttempt refusal(StreamId stream, v1::VerdictKind kind, v1::Reason reason,
                      milliseconds retryAfter);

/// Builds the refusal of an attempt that was never sent to the backend server: NOT_RUN if no try so
/// far can run, otherwise OUTCOME_UNKNOWN. For a key the refusal is recorded, so that the same try
/// does not run if it arrives late or twice.
RefuseAttempt refuseUnsent(AdmissionState &state, const AgentAttempt &run, v1::Reason reason,
                           milliseconds retryAfter);

/// Number of requests that the backend server runs at once.
std::uint32_t slots(const AdmissionState &state);

/// Whether the attempt could start now if it were first in the queue.
bool mayStartNow(const AdmissionState &state, const AgentAttempt &run);

/// Whether the attempt's deadline has passed; false if the queueDeadline guard is off.
bool pastDeadline(const AdmissionState &state, const AgentAttempt &run, TimePoint now);

/// Time until a request of this priority would start; zero when it can start at once. The largest
/// number is served first; the gateway's scale is the reverse.
microseconds expectedQueueTime(const AdmissionState &state, std::uint32_t priority);

/// Queues an attempt behind those of the same priority and before those of lower priority.
void enqueue(AdmissionState &state, AgentAttempt run);

/// Starts queued attempts while slots are free, and refuses those past their deadline.
void startQueued(AdmissionState &state, TimePoint now, AdmissionActions &actions);

/// Refuses every queued attempt that the predicate selects.
void refuseQueued(AdmissionState &state, v1::Reason reason, milliseconds retryAfter,
                  AdmissionActions &actions,
                  const std::function<bool(const AgentAttempt &)> &selects);

/// Answers an attempt that must not be queued. Otherwise sets its key and may mark it to run
/// alone.
/// @return Whether the attempt was answered.
bool answeredAtAdmission(AdmissionState &state, AgentAttempt &run, TimePoint now, WallTime wall,
                         AdmissionActions &actions);

} // namespace wisteria
