#pragma once

#include "Connection/LogClient.h"
#include "Process/ChangeSubmission.h"
#include "Process/ConfigFollower.h"

namespace wisteria {

/// Appends a change and waits until its verdict is known or the timeout expires. Blocks the calling
/// thread; another thread must poll the follower meanwhile.
/// @param firstAttempt Whether this change id was never sent to any admin before.
SubmissionDecision submitChange(v1::ChangeRecord change, bool firstAttempt, LogClient &log,
                                const ConfigFollower &follower, milliseconds timeout);

} // namespace wisteria
