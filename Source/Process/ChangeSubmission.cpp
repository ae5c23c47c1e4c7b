#include "Process/ChangeSubmission.h"

#include "Version/ConfigObject.h"

namespace wisteria {

namespace {

/// Delay after an append that was not written, so that retries don't overload a failing log.
constexpr milliseconds retryDelayNotWritten(200);
/// Delay after an append whose answer was lost, in which the record may appear in the log.
constexpr milliseconds retryDelayUnknown(500);

SubmissionDecision verdictOf(const v1::SeenChange &seen)
{
    if (seen.accepted())
        return {SubmissionStep::Accepted, seen.offset(), ""};
    return {SubmissionStep::Refused, 0, seen.reason()};
}

SubmissionDecision timedOut(const Submission &submission)
{
    if (submission.mayBeWritten) {
        return {SubmissionStep::NotYetKnown, 0,
                "the log has not shown the change in time; ask with 'wisteriactl outcome "
                    + submission.change.change_id()
                    + "', or apply again with the same --change-id, which is harmless"};
    }
    return {SubmissionStep::Refused, 0,
            "the log does not answer and nothing was written; the configuration in force stays, "
            "apply again once 'wisteriactl status' shows the log as reachable"};
}

} // namespace

SubmissionDecision decideSubmission(const Submission &submission, const ConfigState &state,
                                    TimePoint now)
{
    const v1::ChangeRecord &change = submission.change;
    const auto seen = state.seen.find(change.change_id());
    if (seen != state.seen.end()) {
        const bool differs = seen->second.content_digest() != contentDigest(change);
        if (seen->second.accepted() && differs) {
            return {SubmissionStep::Refused, 0,
                    "change id " + change.change_id() + " was used at offset "
                        + std::to_string(seen->second.offset())
                        + " for something else; give a new change id"};
        }
        return verdictOf(seen->second);
    }
    if (submission.appendedAt && state.position >= *submission.appendedAt) {
        return {SubmissionStep::Refused, 0,
                "the record at offset " + std::to_string(*submission.appendedAt)
                    + " was not understood as a change; check that all processes run one release"};
    }
    if (now >= submission.deadline)
        return timedOut(submission);
    if (!submission.appendedAt && now >= submission.nextAppend)
        return {SubmissionStep::Append, 0, ""};
    return {};
}

void noteAppend(Submission &submission, AppendOutcome outcome, Offset offset, TimePoint now)
{
    switch (outcome) {
    case AppendOutcome::Written:
        submission.appendedAt = offset;
        submission.mayBeWritten = true;
        return;
    case AppendOutcome::NotWritten:
        submission.nextAppend = now + retryDelayNotWritten;
        return;
    case AppendOutcome::Unknown:
        submission.mayBeWritten = true;
        submission.nextAppend = now + retryDelayUnknown;
        return;
    }
}

SubmissionDecision outcomeOf(const std::string &changeId, const ConfigState &state)
{
    const auto seen = state.seen.find(changeId);
    if (seen != state.seen.end())
        return verdictOf(seen->second);
    return {SubmissionStep::NotYetKnown, 0,
            "change id " + changeId + " is not among the log's records up to offset "
                + std::to_string(state.position)
                + "; it may still arrive: apply again with the same --change-id, or settle it with "
                  "'wisteriactl outcome --cancel'"};
}

} // namespace wisteria
