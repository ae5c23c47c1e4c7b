#pragma once

#include "Connection/LogClient.h"
#include "Process/ChangeSubmission.h"
#include "Process/ConfigFollower.h"

namespace wisteria {

/// Appends a change and reads on until its verdict is known or the time is up. Blocks the caller;
/// the follower must be polled by another thread meanwhile.
/// @param firstAttempt Whether no admin was ever sent this change id.
SubmissionDecision submitChange(v1::ChangeRecord change, bool firstAttempt, LogClient &log,
                                const ConfigFollower &follower, milliseconds timeout);

} // namespace wisteria
