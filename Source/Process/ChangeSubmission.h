#pragma once

#include <optional>

#include "Process/Time.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// One operator's change that is being appended to the log.
struct Submission
{
    v1::ChangeRecord change;
    TimePoint deadline;
    /// Offset of the append, once the log has confirmed it.
    std::optional<Offset> appendedAt;
    /// Whether any append may have been written, by this admin or by another one that received the
    /// same change id before. Guards against this failure: an admin crashes after its append, the
    /// operator repeats the change at another one during an outage and is told that nothing was
    /// written, and then the first append appears. Only a change id that was never sent before
    /// starts with false.
    bool mayBeWritten = true;
    /// Earliest time of the next append.
    TimePoint nextAppend;
};

/// Result of an append.
enum class AppendOutcome {
    Written, ///< The log answered with an offset.
    NotWritten, ///< Certainly not in the log.
    Unknown, ///< The record may be in the log already or appear later.
};

/// Next action of a submission, or its final outcome.
enum class SubmissionStep {
    Append, ///< Append the record now; a duplicate has no effect because of its change id.
    Wait, ///< Read further records and decide again.
    Accepted, ///< In force.
    Refused, ///< Refused by the rules, or certainly never written.
    NotYetKnown, ///< Timed out while the record may be in the log.
};

/// Next step of a submission, with the version or reason once the outcome is known.
struct SubmissionDecision
{
    SubmissionStep step = SubmissionStep::Wait;
    /// Version of an accepted change; otherwise 0.
    Offset version = 0;
    /// Why the change was refused or its outcome is unknown, and the remedy.
    std::string reason;
};

/// Decides the next step of a submission from the state that was replayed so far. Only replay
/// determines the verdict: a change counts as accepted or refused only after its record was read
/// back, except that a change that was never written is refused.
SubmissionDecision decideSubmission(const Submission &submission, const ConfigState &state,
                                    TimePoint now);

/// Records the result of an append.
/// @param offset Offset of the record if `outcome` is Written.
void noteAppend(Submission &submission, AppendOutcome outcome, Offset offset, TimePoint now);

/// Returns the outcome of a change id in the state that was replayed so far: Accepted, Refused or
/// NotYetKnown.
SubmissionDecision outcomeOf(const std::string &changeId, const ConfigState &state);

} // namespace wisteria
