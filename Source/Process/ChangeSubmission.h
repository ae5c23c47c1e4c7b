#pragma once

#include <optional>

#include "Process/Time.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// One operator's change on its way into the log.
struct Submission
{
    v1::ChangeRecord change;
    TimePoint deadline;
    /// Offset of an append that was answered.
    std::optional<Offset> appendedAt;
    /// Whether any append may have been written, by this admin or by another one that was sent the
    /// same change id before. Failure guarded against: an admin dies after its append, the operator
    /// repeats the change at another one during an outage, hears "nothing was written", and the
    /// first append turns up. Only a change id that was never sent before begins with false.
    bool mayStand = true;
    /// No append before this moment.
    TimePoint nextAppend;
};

/// What an append gave, as far as a submission cares.
enum class AppendOutcome {
    Written, ///< Answered with an offset.
    NotWritten, ///< Surely not in the log.
    Unknown, ///< May be in the log already or appear later.
};

enum class SubmissionStep {
    Append, ///< Append the record now; a duplicate of it is harmless by its change id.
    Wait, ///< Read on and ask again.
    Accepted, ///< In force.
    Refused, ///< Judged and refused, or surely never written.
    NotYetKnown, ///< Out of time while the record may stand in the log.
};

/// What to do next, and the answer once there is one.
struct SubmissionDecision
{
    SubmissionStep step = SubmissionStep::Wait;
    Offset version = 0;
    /// Why it was refused or is not known, and what to do.
    std::string reason;
};

/// Decides on a submission from what was replayed so far. The verdict is the log's alone: nothing
/// is called accepted or refused before the record was read back, except when it was never written.
SubmissionDecision decideSubmission(const Submission &submission, const ConfigState &state,
                                    TimePoint now);

/// Takes what an append gave.
void noteAppend(Submission &submission, AppendOutcome outcome, Offset offset, TimePoint now);

/// What became of a change id, from what was replayed so far.
SubmissionDecision outcomeOf(const std::string &changeId, const ConfigState &state);

} // namespace wisteria
