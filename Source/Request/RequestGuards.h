#pragma once

namespace wisteria {

/// Guards of the request path, each against one way to break a promise. All are on in the product;
/// mutation tests switch one off at a time to show that a test notices.
struct RequestGuards
{
    /// Entry drops frames whose request id or attempt is not the one it waits for.
    bool dropForeignFrames = true;
    /// Entry remembers that an earlier attempt may have run when a later one is refused.
    bool rememberMayHaveRun = true;
    /// Entry and agent say NOT_RUN of a repeated key only when the key's home vouches for it.
    bool repeatsNeedProof = true;
    /// Agent runs only keys whose home it is.
    bool ownerOnly = true;
    /// Agent remembers the keys that it ran.
    bool keyMemory = true;
    /// Agent refuses keys that an earlier incarnation may have run.
    bool keyFloor = true;
    /// Agent refuses keys of a former home that has not released them.
    bool ownership = true;
    /// Agent never runs a try of a key older than one that it refused.
    bool refusedTries = true;
    /// Agent refuses what is past its deadline instead of running it.
    bool queueDeadline = true;
};

} // namespace wisteria
