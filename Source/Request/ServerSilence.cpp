#include "Request/ServerSilence.h"

#include <algorithm>

namespace wisteria {

TimePoint lastSignOfLife(const BackendState &state)
{
    const bool reportsAnswers = state.reportedLoad && state.reportedLoad->engineAnswers;
    return reportsAnswers ? std::max(state.answeredAt, state.reportedLoad->receivedAt)
                          : state.answeredAt;
}

bool isSilenceSuspected(const BackendState &state, TimePoint sentAt, TimePoint now)
{
    return now - std::max(sentAt, lastSignOfLife(state)) >= silenceBeforeCheck;
}

void noteSignOfLife(BackendState &state, TimePoint now)
{
    state.answeredAt = now;
    state.silentUntil = TimePoint();
}

void noteSilent(BackendState &state, TimePoint now)
{
    state.silentUntil = now + silentTime;
}

bool isSilent(const BackendState &state, TimePoint now)
{
    return now < state.silentUntil;
}

bool isReportOverdue(const BackendState &state, TimePoint now, milliseconds loadLifetime)
{
    return state.reportedLoad && now - state.reportedLoad->receivedAt > loadLifetime;
}

} // namespace wisteria
