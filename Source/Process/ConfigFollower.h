#pragma once

#include <memory>
#include <string>

#include "Connection/LogClient.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// Name of the log's stream that holds the configuration.
inline constexpr const char *configStream = "config";

/// Progress and health of a follower, for status and metrics.
struct FollowerStatus
{
    Offset version = 0;
    Offset position = 0;
    /// One past the log's newest record, as of the last read.
    Offset logEnd = 1;
    bool logReachable = false;
    /// Why the follower can't replay further records, and the remedy; empty while it can.
    std::string blocked;
    /// Whether a snapshot in the log differed from the replayed state.
    bool diverged = false;
    /// `as_of` of the newest snapshot in the log; 0 for none.
    Offset newestSnapshot = 0;
};

/// Follows the configuration stream. poll() and adopt() must be called on one thread; all other
/// functions are thread-safe.
class ConfigFollower
{
public:
    /// @param log Must outlive the follower; used only by poll().
    explicit ConfigFollower(LogClient &log, std::string stream = configStream);
    ~ConfigFollower();

    /// Reads once, waiting up to `wait` for a new record, and replays the records that were read.
    /// @return Whether the version changed. Errors as LogClient::read() if the log does not answer;
    /// Conflict if it answers but can't be followed, see FollowerStatus::blocked. The state stays
    /// on errors.
    Result<bool> poll(milliseconds wait);

    /// Adopts a peer's state if it is newer, for when the log does not answer or has dropped needed
    /// records.
    /// @return Whether the state was replaced.
    bool adopt(const v1::SnapshotRecord &snapshot);

    /// The state after the last poll() or adopt(); never null and never older than one returned
    /// before.
    std::shared_ptr<const ConfigState> state() const;

    /// Whether all records that the log held at the first read have been replayed. False again
    /// while records that the state needs have expired and no usable snapshot was found.
    bool caughtUp() const;

    /// Whether the state may be served: the follower has caught up with the log once, or has
    /// adopted a peer's state and the log does not answer. A process that had caught up continues
    /// with its state even if it can't follow the log any more; status() reports that.
    bool usable() const;

    FollowerStatus status() const;

    /// Waits until the log is replayed beyond a position, at most for `limit`.
    /// @return The state at the end of the wait, changed or not.
    std::shared_ptr<const ConfigState> waitBeyond(Offset position, milliseconds limit) const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
