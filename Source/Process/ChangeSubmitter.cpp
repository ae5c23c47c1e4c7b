#include "Process/ChangeSubmitter.h"

namespace wisteria {

namespace {

/// Maximum wait for new records before the next decision on the submission.
constexpr milliseconds maxWait(50);

AppendOutcome outcomeOf(const Result<Offset> &result)
{
    if (result.has_value())
        return AppendOutcome::Written;
    const ErrorKind kind = result.error().kind;
    const bool notWritten = kind == ErrorKind::Unavailable || kind == ErrorKind::BadInput;
    return notWritten ? AppendOutcome::NotWritten : AppendOutcome::Unknown;
}

void append(Submission &submission, LogClient &log)
{
    v1::ConfigRecord record;
    *record.mutable_change() = submission.change;
    const milliseconds left = remaining(monotonicNow(), submission.deadline);
    const Result<Offset> result = log.append(configStream, record.SerializeAsString(), left);
    const Offset offset = result.has_value() ? result.value() : 0;
    noteAppend(submission, outcomeOf(result), offset, monotonicNow());
}

} // namespace

SubmissionDecision submitChange(v1::ChangeRecord change, bool firstAttempt, LogClient &log,
                                const ConfigFollower &follower, milliseconds timeout)
{
    const TimePoint start = monotonicNow();
    Submission submission;
    submission.change = std::move(change);
    submission.deadline = start + timeout;
    submission.mayBeWritten = !firstAttempt;
    submission.nextAppend = start;
    auto state = follower.state();
    while (true) {
        const SubmissionDecision decision = decideSubmission(submission, *state, monotonicNow());
        if (decision.step == SubmissionStep::Append)
            append(submission, log);
        else if (decision.step != SubmissionStep::Wait)
            return decision;
        state = follower.waitBeyond(state->position, maxWait);
    }
}

} // namespace wisteria
