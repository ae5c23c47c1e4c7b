#pragma once

namespace wisteria {

/// Checks on the path from an entry, which takes requests of callers, to an agent, which runs them
/// at its backend server. A key is an idempotency key; its owner is the backend server that may run
/// it.
///
/// Each check prevents one violation of the guarantees. All are on in production; mutation tests
/// disable one at a time to show that a test fails without it.
struct RequestGuards
{
    /// The entry drops frames whose request id or attempt is not the expected one.
    bool dropForeignFrames = true;
    /// The entry remembers that an earlier attempt may have run when a later one is refused.
    bool rememberMayHaveRun = true;
    /// Entry and agent report NOT_RUN for a repeated key only if the key's owner confirms it.
    bool repeatsNeedProof = true;
    /// The agent runs only keys that it owns.
    bool ownerOnly = true;
    /// The agent remembers the keys that it ran.
    bool keyMemory = true;
    /// The agent refuses keys that an earlier incarnation may have run.
    bool keyFloor = true;
    /// The agent refuses keys that their previous owner has not released.
    bool ownership = true;
    /// The agent never runs an attempt of a key that is older than one it refused.
    bool refusedTries = true;
    /// The agent refuses a request past its deadline instead of running it.
    bool queueDeadline = true;
};

} // namespace wisteria
